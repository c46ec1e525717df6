//! Decisions of the relay: opaque requests and event streams taken to upstreams.
//!
//! The relay forwards requests that it doesn't interpret. What it decides is
//! here, as functions over plain data that know neither sockets nor HTTP: the
//! route of a request, the upstream that gets it, whether another upstream may get
//! it too, how long a silent upstream is believed in, and which routers callers
//! are told of.
//!
//! ```
//! use cloverpier_router_policy::prelude::*;
//!
//! // A request that runs at most once was sent, and the connection broke.
//! let mut attempts = Attempts::new(RetryRule::AtMostOnce, 3);
//! attempts.on_send();
//! let next = attempts.on_outcome(AttemptOutcome::Unknown, true, || true);
//! assert_eq!(next, NextStep::Fail);
//! ```

mod attempts;
mod budget;
mod choice;
mod configuration;
mod events;
mod liveness;
mod load;
mod peers;
mod prompt_locations;
mod store_watch;
mod upstream;
mod upstream_table;

/// What users of the crate need daily.
pub mod prelude {
    pub use crate::attempts::{AttemptOutcome, Attempts, NextStep, RetryRule};
    pub use crate::budget::{BudgetBounds, BudgetUse, PeerBudgetUse, RetryBudget};
    pub use crate::choice::{Choice, Demand, choose_replica, choose_upstream, search_order};
    pub use crate::configuration::{
        ClientAccount, Configuration, ConfigurationIndex, EngineConfig, Limits, Route, RouteTarget,
        ServiceConfig,
    };
    pub use crate::events::{EventError, EventSplitter, StreamEvent};
    pub use crate::liveness::{Liveness, LivenessBounds, LivenessStep};
    pub use crate::load::{Load, PeerLoad};
    pub use crate::peers::{PeerEntry, PeerState, PeerTable, ServiceKey};
    pub use crate::prompt_locations::{PromptKey, PromptLocations, search_timeout};
    pub use crate::store_watch::{Candidate, WatcherRole, max_store_backoff, watcher_role};
    pub use crate::upstream::{Upstream, UpstreamChange, UpstreamKey, UpstreamState};
    pub use crate::upstream_table::UpstreamTable;
}

pub use prelude::*;
