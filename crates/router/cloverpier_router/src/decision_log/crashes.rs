//! Log lines about request contents that crash upstreams.
//!
//! The names of events and fields are outer names; see the parent module. Owns no state.

use cloverpier_crashes::{Admission, DiscardReason};
use serde::Serialize;

/// This router recorded that an upstream crashed while it was running a request of this router.
#[derive(Serialize)]
pub(crate) struct CrashRecorded {
    /// The key of the request's content.
    pub content: String,
    #[serde(rename = "server")]
    pub upstream: String,
    /// The start of the crashed process as a Unix time in milliseconds; 0 if the upstream does not report it.
    #[serde(rename = "start_ms")]
    pub start_time_ms: u64,
    /// Number of other upstreams of the service that failed at about the same time; `None` if there were too many to
    /// list.
    #[serde(rename = "ended_beside")]
    pub concurrent_failures: Option<usize>,
    /// Whether a request with this content completed shortly before; the crash does not count against the content
    /// then.
    #[serde(rename = "ran_well")]
    pub has_completed: bool,
    /// Number of crashes that count against the content.
    #[serde(rename = "ends")]
    pub crash_count: usize,
    /// The sum of the weights of these crashes, in thousandths. A crash has full weight (1000) if nothing but the
    /// content explains it.
    pub evidence: u32,
    /// Milliseconds since the attempt was lost.
    pub age_ms: u64,
}

/// An attempt was lost at an upstream, and no crash is recorded for it.
#[derive(Serialize)]
pub(crate) struct CrashDiscarded {
    /// The key of the request's content.
    pub content: String,
    #[serde(rename = "server")]
    pub upstream: String,
    /// The start of the upstream's process as a Unix time in milliseconds; 0 if the upstream does not report it.
    #[serde(rename = "start_ms")]
    pub start_time_ms: u64,
    pub reason: DiscardReason,
    /// Milliseconds since the attempt was lost.
    pub age_ms: u64,
}

/// A request was held until it was resolved whether its content crashed the upstreams at which attempts were lost.
#[derive(Serialize)]
pub(crate) struct RequestHeld<'a> {
    /// The request id.
    pub request: &'a str,
    /// The key of the request's content.
    pub content: String,
    /// Number of crashes that count against the content.
    #[serde(rename = "ends")]
    pub crash_count: usize,
    pub held_ms: u64,
    /// Whether and how the request is sent after the wait.
    pub admission: Admission,
}

/// A request content was blocked: requests with it are not sent to upstreams any more.
#[derive(Serialize)]
pub(crate) struct ContentBlocked<'a> {
    /// The key of the blocked content.
    pub content: String,
    /// The crashed upstreams, and how long ago each of them crashed.
    #[serde(rename = "ends")]
    pub crashes: Vec<String>,
    /// The source of the change, such as a peer or the settings.
    pub from: &'a str,
}

/// A request content is not blocked any more.
#[derive(Serialize)]
pub(crate) struct ContentUnblocked<'a> {
    /// The key of the unblocked content.
    pub content: String,
    /// The source of the change, such as a peer or the settings.
    pub from: &'a str,
}
