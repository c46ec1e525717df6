//! The log lines of decisions, each with the inputs that decided it.
//!
//! The names of events and fields are what on-call engineers search for, so they stay
//! when the code's names change: `rename` holds the older one.

mod duties;
mod upstreams;
mod versions;

pub(crate) use duties::*;
pub(crate) use upstreams::*;
pub(crate) use versions::*;

use cloverpier_observe::Log;
use cloverpier_router_policy::prelude::*;
use serde::Serialize;
use std::time::{Duration, Instant};

/// Whole milliseconds since a moment.
pub(crate) fn ms_since(then: Instant, now: Instant) -> u64 {
    ms(now.saturating_duration_since(then))
}

/// Whole milliseconds of a duration.
pub(crate) fn ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// A request was sent to an upstream.
#[derive(Serialize)]
pub(crate) struct UpstreamChosen<'a> {
    pub request: &'a str,
    pub route: &'a str,
    pub service: &'a str,
    #[serde(rename = "server")]
    pub upstream: &'a str,
    pub attempt: u32,
    pub own_requests: u32,
    pub peer_requests: u32,
    pub unread_tokens: u32,
    /// Engines that were asked for their load and answered.
    pub loads_reported: usize,
    /// What the upstream answered: requests there, and tokens in its KV cache.
    pub reported_requests: Option<u32>,
    pub reported_memory: Option<u32>,
    #[serde(rename = "backup")]
    pub replica: Option<&'a str>,
    /// The same for all requests with the same prompt, as after a caller's retry.
    pub prompt: Option<PromptKey>,
    pub resumes_after: Option<u64>,
    #[serde(rename = "from_copy")]
    pub from_replica: bool,
    /// Whether it was chosen for having the fewest others, as the request may be what ends upstreams.
    pub apart: bool,
    /// Upstreams of the service that got nothing, as they have said in answers that they leave.
    pub leaving: usize,
    /// The same, as they want nothing for now.
    pub waiting: usize,
    /// Upstreams of the service that limit themselves, and those of them that got nothing as there was no
    /// permit.
    pub limited: usize,
    pub without_permit: usize,
    #[serde(rename = "catalog_version")]
    pub configuration_version: u64,
    #[serde(rename = "fleet_revision")]
    pub upstreams_revision: u64,
    pub age_ms: u64,
}

/// A send failed.
#[derive(Serialize)]
pub(crate) struct SendFailed<'a> {
    pub request: &'a str,
    #[serde(rename = "server")]
    pub upstream: &'a str,
    pub outcome: AttemptOutcome,
    pub reason: &'a str,
    pub next: NextStep,
    pub last_event: Option<u64>,
    /// How long ago the request was sent there.
    pub attempt_ms: u64,
    /// What repeats of the request have in common, where it may have run without an answer.
    pub content: Option<String>,
    pub age_ms: u64,
}

/// How a request ended; the words are those of log lines and of the counter `requests`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(into = "&'static str")]
pub(crate) enum RequestEnd {
    /// The caller got an upstream's whole answer.
    Answered,
    /// The caller got a stream to its end.
    Completed,
    /// A stream broke off and could not continue.
    BrokenOff,
    /// The caller closed the connection.
    CallerLeft,
    /// The caller got "not run".
    Refused,
    /// The same, when its time was over.
    RefusedLate,
    /// The caller got "may have run".
    Failed,
    /// The same, when its time was over.
    TimedOut,
    /// The request was turned down at arrival.
    Rejected,
    /// The answer says not to send it again: its content ends upstreams.
    Stopped,
}

impl From<RequestEnd> for &'static str {
    fn from(end: RequestEnd) -> Self {
        match end {
            RequestEnd::Answered => "answered",
            RequestEnd::Completed => "completed",
            RequestEnd::BrokenOff => "broken-off",
            RequestEnd::CallerLeft => "caller-left",
            RequestEnd::Refused => "refused",
            RequestEnd::RefusedLate => "refused-late",
            RequestEnd::Failed => "failed",
            RequestEnd::TimedOut => "timed-out",
            RequestEnd::Rejected => "rejected",
            RequestEnd::Stopped => "stopped",
        }
    }
}

/// A request ended.
#[derive(Serialize)]
pub(crate) struct RequestEnded<'a> {
    pub request: &'a str,
    pub route: &'a str,
    pub status: u16,
    pub end: RequestEnd,
    /// What decided that the request was given up.
    pub reason: Option<&'a str>,
    pub sent: u32,
    pub events: u64,
    pub first_event_ms: Option<u64>,
    pub longest_pause_ms: u64,
    pub age_ms: u64,
}

/// A request was turned down before it was sent anywhere.
#[derive(Serialize)]
pub(crate) struct RequestRejected<'a> {
    pub request: &'a str,
    pub path: &'a str,
    pub status: u16,
    pub reason: &'a str,
    #[serde(rename = "catalog_version")]
    pub configuration_version: Option<u64>,
}

/// A header that cannot be read was treated as absent.
#[derive(Serialize)]
pub(crate) struct UnreadableHeader<'a> {
    pub request: &'a str,
    pub header: &'a str,
}

/// The machine was suspended, and goes on.
#[derive(Serialize)]
pub(crate) struct MachineResumed {
    pub suspended_ms: u64,
}

/// Something outside was lost or came back.
#[derive(Serialize)]
pub(crate) struct Dependency<'a> {
    pub name: &'a str,
    pub reason: &'a str,
}

/// Logs that something outside was lost, came back, or could not be read.
pub(crate) fn log_dependency(log: &Log, event: &'static str, name: &str, reason: &str) {
    log.info(event, &Dependency { name, reason });
}
