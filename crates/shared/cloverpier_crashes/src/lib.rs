//! What requests do to the upstreams that run them, by what the requests contain.
//!
//! A request may end each upstream that begins to run it, and it comes again: as a retry of a
//! router, as a repeat of its caller, at any router. Nothing but its content is the same then. So
//! routers count, by content, the upstreams that ended while they ran it, inform each other, and send
//! a content to no further upstream once it has ended too many.
//!
//! Both programs use it: everything here is a function or a small state machine over plain data and
//! knows neither sockets nor a clock. In the order in which a lost attempt meets them:
//!
//! | question | module |
//! | --- | --- |
//! | which requests are the same | [`content`] |
//! | did the upstream end under a lost attempt | [`lost_attempts`] |
//! | which upstreams ended recently | [`recent_failures`] |
//! | did the content run well a moment ago | [`recent_completions`] |
//! | how much does an end say against the request that ran there | [`weight`] |
//! | all of these together, as a router sees them | [`tracker`] |
//! | what is known against a content; is it stopped; what do peers get of it | [`registry`] |
//!
//! ```
//! use cloverpier_crashes::prelude::*;
//! use std::time::{Duration, Instant};
//!
//! let content = ContentKey::of(&Content {
//!     account: "lab",
//!     host: "api.example",
//!     method: "POST",
//!     target: "/digests/17",
//!     body: b"log",
//! });
//! let now = Instant::now();
//! let mut book = CrashBook::new(CrashLimit(3), EndsBy::Start);
//! for upstream in 1..=3 {
//!     let end = UpstreamEnd { upstream, start: 0 };
//!     let surroundings = Surroundings::default();
//!     book.record(content, Crash { end, at: now, ran_for: Duration::ZERO, surroundings, excused: false }, now);
//! }
//! assert_eq!(book.verdict(content, now), Verdict::Stopped);
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

/// The types that users of the crate need daily; rules and constants are named by module.
pub mod prelude {
    pub use crate::content::{Content, ContentKey};
    pub use crate::in_flight::AttemptNumber;
    pub use crate::lost_attempts::{
        Dismissal, Dismissed, Loss, LostAttempt, LostAttempts, SignOfLife,
    };
    pub use crate::recent_completions::RecentContents;
    pub use crate::recent_failures::{EndedUpstream, EndedUpstreams};
    pub use crate::registry::{
        ContentReport, Crash, CrashBook, CrashLimit, EndsBy, Evidence, ReportedCrash, UpstreamEnd,
        Verdict,
    };
    pub use crate::tracker::{Admission, CrashCases, Hold, Judged, Neighbours};
    pub use crate::weight::{EndedBeside, OwnEnd, Surroundings, Weight};
}

pub use prelude::*;
