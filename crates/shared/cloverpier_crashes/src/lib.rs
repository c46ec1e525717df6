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
//! | which upstreams ended recently | [`ended_upstreams`] |
//! | did the content run well a moment ago | [`recent_contents`] |
//! | how much does an end say against the request that ran there | [`weight`] |
//! | all of these together, as a router sees them | [`cases`] |
//! | what is known against a content; is it stopped; what do peers get of it | [`book`] |
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

pub mod book;
pub mod cases;
pub mod content;
pub mod ended_upstreams;
pub mod lost_attempts;
pub mod recent_contents;
pub mod under_way;
pub mod weight;

/// The types that users of the crate need daily; rules and constants are named by module.
pub mod prelude {
    pub use crate::book::{
        ContentReport, Crash, CrashBook, CrashLimit, EndsBy, Evidence, ReportedCrash, UpstreamEnd,
        Verdict,
    };
    pub use crate::cases::{Admission, CrashCases, Hold, Judged, Neighbours};
    pub use crate::content::{Content, ContentKey};
    pub use crate::ended_upstreams::{EndedUpstream, EndedUpstreams};
    pub use crate::lost_attempts::{
        Dismissal, Dismissed, Loss, LostAttempt, LostAttempts, SignOfLife,
    };
    pub use crate::recent_contents::RecentContents;
    pub use crate::under_way::AttemptNumber;
    pub use crate::weight::{EndedBeside, OwnEnd, Surroundings, Weight};
}

pub use prelude::*;
