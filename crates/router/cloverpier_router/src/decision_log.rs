//! The log lines of decisions, each with the inputs that decided it.
//!
//! The names of events and fields are what on-call engineers search for, so they stay
//! when the code's names change: `rename` holds the older one.

use cloverpier_observe::Log;
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::rollout::evidence::RouteKey;
use cloverpier_router_policy::singleton::autoscaling::{EngineKind, OrderResult};
use serde::Serialize;
use std::net::SocketAddr;
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

/// An upstream ended while it ran a request, as this router saw.
#[derive(Serialize)]
pub(crate) struct CrashRecorded {
    pub content: String,
    #[serde(rename = "server")]
    pub upstream: String,
    /// When it had started, as a Unix time in milliseconds; 0 where it does not say.
    pub start_ms: u64,
    /// Others of its service that ended at about the same time; nothing where they were many.
    pub ended_beside: Option<usize>,
    /// Whether the content ran to its end a moment before, so that the end does not count.
    pub ran_well: bool,
    /// Ends that are known of the content.
    pub ends: usize,
    /// What is known against it, in thousandths of an end that nothing else explains.
    pub evidence: u32,
    /// How long ago the attempt broke off.
    pub age_ms: u64,
}

/// A content is sent to no upstream any more.
#[derive(Serialize)]
pub(crate) struct ContentStopped<'a> {
    pub content: String,
    /// The upstreams that ended, and when.
    pub ends: Vec<String>,
    /// By whom this router learned of the last of them.
    pub from: &'a str,
}

/// A content that was stopped may be sent again.
#[derive(Serialize)]
pub(crate) struct ContentCleared<'a> {
    pub content: String,
    pub from: &'a str,
}

/// What is believed of an upstream has changed.
#[derive(Serialize)]
pub(crate) struct UpstreamBelief<'a> {
    #[serde(rename = "server")]
    pub upstream: &'a str,
    pub address: String,
    pub reason: &'a str,
    pub silent_ms: u64,
}

/// This router has learned that an upstream leaves, otherwise than by its entry.
#[derive(Serialize)]
pub(crate) struct LeavingLearned<'a> {
    #[serde(rename = "server")]
    pub upstream: &'a str,
    pub address: String,
    /// The call whose answer said so, or `peer`.
    pub via: &'a str,
    /// The request's id, if it was one.
    pub request: Option<&'a str>,
    /// The peer that said so.
    pub peer: Option<String>,
    /// Since when the first router has known it.
    pub age_ms: u64,
}

/// An upstream has turned a request away and wants nothing for a time.
#[derive(Serialize)]
pub(crate) struct WaitLearned<'a> {
    #[serde(rename = "server")]
    pub upstream: &'a str,
    pub wait_ms: u64,
    /// The call whose answer said so.
    pub via: &'a str,
    /// The request's id, if it was one.
    pub request: Option<&'a str>,
}

/// An upstream limits itself, names another rate than before, or none any more.
#[derive(Serialize)]
pub(crate) struct LimitLearned<'a> {
    #[serde(rename = "server")]
    pub upstream: &'a str,
    /// Requests a second that it takes from all routers together; nothing where it is not limited
    /// any more.
    pub rate: Option<f64>,
    pub former_rate: Option<f64>,
    /// The call whose answer said so, or `peer`.
    pub via: &'a str,
    /// The request's id, if it was one.
    pub request: Option<&'a str>,
    /// The peer that said so.
    pub peer: Option<String>,
    /// How long ago it reached the first router.
    pub age_ms: u32,
    /// The router that hands out permits for it, as far as this one knows.
    pub limiter: Option<String>,
}

/// A router that should hand out permits does not answer, so that another one is asked.
#[derive(Serialize)]
pub(crate) struct LimiterPassedOver {
    pub limiter: String,
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

/// This router begins or ends to watch the store.
#[derive(Serialize)]
pub(crate) struct WatcherRoleChanged {
    #[serde(rename = "follows")]
    pub watches: bool,
    pub live_peers: usize,
    pub reason: WatcherRole,
}

/// A newer version was put in force.
#[derive(Serialize)]
pub(crate) struct VersionTaken<'a> {
    pub what: &'a str,
    pub version: u64,
    pub from: &'a str,
}

/// A newer version was fetched from a peer.
#[derive(Serialize)]
pub(crate) struct VersionFetched<'a> {
    pub what: &'a str,
    pub from: SocketAddr,
    /// Bytes of the reply's body, as they were on the wire.
    pub bytes: usize,
    pub took_ms: u64,
}

/// A newer version could not be fetched from a peer.
#[derive(Serialize)]
pub(crate) struct FetchFailed<'a> {
    pub name: &'a str,
    pub reason: &'a str,
    pub what: &'a str,
    pub from: SocketAddr,
    pub took_ms: u64,
}

/// A configuration was handed to a peer.
#[derive(Serialize)]
pub(crate) struct VersionServed<'a> {
    pub what: &'a str,
    pub version: u64,
    pub bytes: usize,
}

/// A search for the engine that has read a prompt has ended.
#[derive(Debug, Serialize)]
pub(crate) struct PromptSearched<'a> {
    /// The request that goes on with the prompt.
    pub request: &'a str,
    /// The service.
    pub service: &'a str,
    /// The prompt.
    pub prompt: PromptKey,
    /// Engines that were asked recently, for any prompt.
    #[serde(rename = "engines_asked_of_late")]
    pub engines_asked: usize,
    /// Whether one of them has it.
    pub found: bool,
    /// How long it took, in milliseconds.
    pub took_ms: u64,
}

/// An operator's order became known, or was taken back.
#[derive(Debug, Serialize)]
pub(crate) struct RolloutOrdered<'a> {
    pub service: &'a str,
    /// The new version; nothing where the order was taken back.
    pub target: Option<&'a str>,
    pub duration_s: Option<f64>,
    pub from: &'a str,
}

/// A roll-out is further on.
#[derive(Debug, Serialize)]
pub(crate) struct RolloutProgressed<'a> {
    pub service: &'a str,
    pub target: Option<&'a str>,
    pub stage: Stage,
    /// The part of the requests that goes to the new version in the first three stages.
    pub share: f64,
    pub round: u8,
    /// Whether the store holds the end.
    pub is_confirmed: bool,
    /// Attempts of all routers whose reports arrived here.
    pub sent_to_target: u32,
    pub sent_to_former: u32,
    /// What spoke against the version where this router rolled it back: the kind of fault, the
    /// route (nothing for all together), bad answers among all, the part of bad answers that the
    /// former versions have at most, and how many times likelier a worse version is.
    pub fault: Option<String>,
    pub route: Option<RouteKey>,
    pub bad: Option<u32>,
    pub answers: Option<u32>,
    pub former_part: Option<f64>,
    pub ratio: Option<f64>,
    pub from: &'a str,
}

/// This router holds the lease on work that one router at a time does, or does not hold it any more.
#[derive(Debug, Serialize)]
pub(crate) struct LeaseChanged<'a> {
    pub holds: bool,
    pub token: Option<u64>,
    /// The revision of the lease's record.
    pub revision: Option<u64>,
    /// The VM that the record names as the holder.
    pub holder: Option<&'a str>,
}

/// The usage of a window was reported.
#[derive(Debug, Serialize)]
pub(crate) struct UsageReported {
    pub window: u64,
    /// Client accounts with requests in it.
    pub accounts: usize,
    pub requests: u64,
    pub token: u64,
}

/// A data centre was ordered to hold a number of engines.
#[derive(Debug, Serialize)]
pub(crate) struct EnginesOrdered<'a> {
    pub service: &'a str,
    pub data_centre: &'a str,
    pub kind: EngineKind,
    pub count: u32,
    pub result: OrderResult,
    /// The highest recent load, as a number of engines that it would fill.
    pub peak_load: f64,
    pub token: u64,
}
