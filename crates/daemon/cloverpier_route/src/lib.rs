//! Where each request runs: the view of upstreams, and the choice among them.
//!
//! Load reports lag, so a router corrects them with the work that it has in
//! flight itself; an upstream that never reported isn't considered idle. The
//! choice weighs two upstreams picked at random (Mitzenmacher, "The power of
//! two choices in randomized load balancing", 2001) and the one that served
//! the same prompt prefix last.
//!
//! ```
//! use cloverpier_route::prelude::*;
//! use cloverpier_config::{Config, Service, Upstream};
//! use std::time::Instant;
//!
//! let mut config = Config::default();
//! config.services.insert("drafts".into(), Service::model("m"));
//! let one = Upstream::new("drafts".into(), ([127, 0, 0, 1], 9000).into(), "gye-sur".into());
//! config.upstreams.insert("e1".into(), one);
//! let mut view = View::new("gye-sur".into(), &"vm-1".into());
//! view.apply(&config);
//! let mut rng = fastrand::Rng::with_seed(1);
//! let ask = Ask::new("drafts".into());
//! assert!(matches!(view.choose(&ask, Instant::now(), &mut rng), Choice::Chosen(_)));
//! ```

mod choose;
mod marks;
mod silence;
mod view;

/// What users of the crate need daily.
pub mod prelude {
    pub use crate::choose::{Ask, Choice, Chosen, Weighed, Why};
    pub use crate::marks::{LeaveMark, LeaveMarks};
    pub use crate::silence::Silence;
    pub use crate::view::{CLOSE, LoadReport, View};
}

pub use prelude::*;
