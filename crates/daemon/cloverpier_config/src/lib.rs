//! What operators configure: services, upstreams and client accounts.
//!
//! An operator states an [`Intent`]; [`plan()`] answers with the changes that
//! it would make against one version; confirming stores the parts and then
//! the [`Root`], whose version is the configuration's. A router applies
//! roots through [`Applied`], which only moves forward.
//!
//! ```
//! use cloverpier_config::prelude::*;
//!
//! let mut intent = Intent::default();
//! intent.services.insert("drafts".into(), Service::model("draft-7b"));
//! let plan = plan(&Config::default(), 0, &intent).unwrap();
//! assert_eq!(plan.changes.len(), 1);
//! ```

mod apply;
mod check;
mod model;
mod parts;
mod plan;

/// What users of the crate need daily.
pub mod prelude {
    pub use crate::apply::{Applied, ApplyStep};
    pub use crate::check::{Fault, check};
    pub use crate::model::{
        Account, Config, Repeatable, Service, ServiceKind, Upstream, UpstreamState,
    };
    pub use crate::parts::{PART_COUNT, Part, PartDigest, Root, join, split};
    pub use crate::plan::{
        Change, ChangeKind, Intent, Item, Plan, PlanError, PlanId, plan, rebase,
    };
}

pub use prelude::*;
