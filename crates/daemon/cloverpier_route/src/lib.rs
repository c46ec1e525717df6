//! Routing: a router's view of its upstreams, and the choice of an upstream for each request.
//!
//! Load reports lag behind the load, so a router corrects them by the number of its own requests in
//! flight. An upstream without a report does not count as idle. The choice compares two upstreams
//! that are sampled at random (Mitzenmacher, "The power of two choices in randomized load
//! balancing", 2001) and one that recently received the same prompt prefix.
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
//! let mut view = UpstreamView::new("gye-sur".into(), &"vm-1".into());
//! view.apply(&config);
//! let mut rng = fastrand::Rng::with_seed(1);
//! let request = RouteRequest::new("drafts".into());
//! assert!(matches!(view.choose(&request, Instant::now(), &mut rng), Choice::Chosen(_)));
//! ```

mod choose;
mod marks;
mod signs_of_life;
mod silence;
mod stall_timeout;
mod view;

/// The public types of the crate.
pub mod prelude {
    pub use crate::choose::{Choice, ChoiceReason, Chosen, RouteRequest, WeighedUpstream};
    pub use crate::marks::{LeaveMark, LeaveMarks};
    pub use crate::silence::{
        CONTINUE_WITHIN, KeepReason, MAX_ATTEMPTS_AT_ONCE, SilenceStep, SilentAnswer,
    };
    pub use crate::stall_timeout::StallTimeout;
    pub use crate::view::{LoadReport, MAX_TRACKED, UpstreamView};
}

pub use prelude::*;
