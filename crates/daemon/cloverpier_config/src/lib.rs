//! The configuration that operators write: services, upstreams and client accounts.
//!
//! An operator submits an [`Intent`]; [`plan()`] returns the changes that it would make to one
//! version of the configuration. When the operator confirms the plan, a router stores the parts and
//! then the [`Root`], whose version is that of the configuration. Every router applies roots through
//! [`AppliedConfig`], which never replaces a version by a lower one. This crate does no I/O.
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

/// All public types and functions, for a glob import.
pub mod prelude {
    pub use crate::apply::{AppliedConfig, ApplyOutcome};
    pub use crate::check::{FieldError, check};
    pub use crate::model::{
        Account, Config, Repeatable, Service, ServiceKind, Upstream, UpstreamState,
    };
    pub use crate::parts::{PART_COUNT, Part, PartDigest, Root, join, split};
    pub use crate::plan::{
        Change, ChangeKind, Intent, Item, Plan, PlanError, PlanId, plan, rebase,
    };
}

pub use prelude::*;
