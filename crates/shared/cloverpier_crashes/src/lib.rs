//! Detection of requests that crash the upstreams that execute them.
//!
//! A request may crash each upstream that starts to execute the request, and then be sent again: a router retries the
//! request, or the caller repeats the request at any router. The repeats have only their content in common: client
//! account, host, method, path and body. So routers count upstream crashes by request content, exchange the crashes
//! with their peers, and block a content that has crashed too many upstreams.
//!
//! Both router programs, `cloverpier_daemon` and `cloverpier_router`, use the crate. The crate consists of functions
//! and small state machines over plain data, without sockets or a clock: the caller passes the events and the present
//! time. The modules, in the order in which a lost attempt passes through them:
//!
//! | task | module |
//! | --- | --- |
//! | recognize repeats of a request | [`content`] |
//! | find out whether the upstream of a lost attempt crashed | [`lost_attempts`] |
//! | keep the upstreams that failed recently | [`recent_failures`] |
//! | keep the contents that completed recently | [`recent_completions`] |
//! | weight a crash as evidence against the request | [`weight`] |
//! | count the attempts that may still crash their upstreams | [`in_flight`] |
//! | keep the crashes by content, block contents, report to peers | [`registry`] |
//! | combine all of these for one router | [`tracker`] |
//!
//! ```
//! use cloverpier_crashes::prelude::*;
//! use std::time::{Duration, Instant};
//!
//! let content = ContentKey::of(&RequestContent {
//!     account: "lab",
//!     host: "api.example",
//!     method: "POST",
//!     target: "/digests/17",
//!     body: b"log",
//! });
//! let now = Instant::now();
//! let mut registry = CrashRegistry::new(CrashLimit(3), CrashTimestamp::ProcessStart);
//! for upstream in 1..=3 {
//!     let crash = Crash {
//!         id: CrashId { upstream, time_ms: 0 },
//!         at: now,
//!         ran_for: Duration::ZERO,
//!         context: CrashContext::default(),
//!         is_disregarded: false,
//!     };
//!     registry.record(content, crash, now);
//! }
//! assert_eq!(registry.status(content, now), ContentStatus::Blocked);
//! ```

#![warn(clippy::disallowed_methods)]

pub mod content;
pub mod in_flight;
pub mod lost_attempts;
pub mod recent_completions;
pub mod recent_failures;
pub mod registry;
pub mod tracker;
pub mod weight;

/// The types that callers use most. Constants and helper functions are imported from their modules.
pub mod prelude {
    pub use crate::content::{ContentKey, RequestContent};
    pub use crate::in_flight::AttemptNumber;
    pub use crate::lost_attempts::{
        DiscardReason, DiscardedAttempt, LossCause, LostAttempt, LostAttempts, UpstreamResponse,
    };
    pub use crate::recent_completions::RecentCompletions;
    pub use crate::recent_failures::{RecentFailures, UpstreamEvent};
    pub use crate::registry::{
        ContentReport, ContentStatus, Crash, CrashId, CrashLimit, CrashRegistry, CrashTimestamp,
        Evidence, ReportedCrash,
    };
    pub use crate::tracker::{Admission, ConfirmedCrash, CrashTracker, Hold, NeighbourCounts};
    pub use crate::weight::{ConcurrentFailures, CrashContext, ExecutionOrder, Weight};
}

pub use prelude::*;
