//! The log lines about decisions, each with the inputs of the decision.
//!
//! On-call engineers search for the names of events and fields, so these names stay the same when fields are renamed
//! in the code: a `rename` attribute keeps the old name. Owns no state.

mod admission;
mod coordination;
mod crashes;
mod upstreams;
mod versions;

pub(crate) use admission::*;
pub(crate) use coordination::*;
pub(crate) use crashes::*;
pub(crate) use upstreams::*;
pub(crate) use versions::*;

use cloverpier_observe::Log;
use cloverpier_router_policy::first_event_wait::MoveReason;
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::silence::{SilenceScope, SilenceSign};
use cloverpier_router_policy::stream_version::lookup::UnknownOrigin;
use serde::Serialize;
use std::time::{Duration, Instant};

/// The time from `then` to `now` in whole milliseconds; 0 if `then` is later.
pub(crate) fn ms_since(then: Instant, now: Instant) -> u64 {
    ms(now.saturating_duration_since(then))
}

/// A duration in whole milliseconds.
pub(crate) fn ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// An upstream was chosen for an attempt.
#[derive(Serialize)]
pub(crate) struct UpstreamChosen<'a> {
    /// The request id; empty if the caller set none.
    pub request: &'a str,
    pub route: &'a str,
    pub service: &'a str,
    #[serde(rename = "server")]
    pub upstream: &'a str,
    /// The software version of the upstream; `None` if the platform's list does not contain it.
    pub version: Option<&'a str>,
    /// The number of the attempt, from 1.
    pub attempt: u32,
    /// This router's requests at the upstream.
    pub own_requests: u32,
    /// The requests of other routers at the upstream, by their reports.
    pub peer_requests: u32,
    /// Prompt tokens of the requests of all routers there that the upstream has not read yet.
    pub unread_tokens: u32,
    /// The predicted time to the first event of a stream, with the request's own load in it; `None` while no rate is
    /// known, and for a plain request.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub predicted_ms: Option<u64>,
    /// How long work takes at the upstream, 1 for the usual time, and the age of that knowledge; `None` where no pace was
    /// stated.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub pace: Option<f64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub pace_age_ms: Option<u64>,
    /// Number of engines that responded to the load query before the choice.
    pub loads_reported: usize,
    /// Requests and KV cache tokens in the upstream's response to the load query; `None` without a response.
    pub reported_requests: Option<u32>,
    pub reported_memory: Option<u32>,
    /// The engine to which the KV cache of the stream is replicated.
    #[serde(rename = "backup")]
    pub replica: Option<&'a str>,
    /// A hash of the prompt, the same for all requests with the same prompt, as after a caller's retry.
    pub prompt: Option<PromptKey>,
    /// For a stream, the last event that the caller has received; the upstream sends the events after it.
    pub resumes_after: Option<u64>,
    /// The request in whose response the caller received the first event of the stream, as the caller states it.
    pub resumes: Option<&'a str>,
    /// The version of the upstream that sent the first event of the stream; `None` if the stream has no event, or
    /// another router relayed its first one.
    pub began_version: Option<&'a str>,
    /// Whether the stream is resumed from a replica of its KV cache.
    #[serde(rename = "from_copy")]
    pub from_replica: bool,
    /// Whether the request's content is suspected of crashing upstreams. An upstream with few other requests was chosen
    /// then.
    #[serde(rename = "apart")]
    pub is_isolated: bool,
    /// How the upstream stands with the platform's list, if it is not listed or leaves.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub listing: Option<Listing>,
    /// Number of upstreams of the service that were excluded because they announced that they are leaving.
    pub leaving: usize,
    /// Number of upstreams of the service that were excluded because they requested a pause (`Retry-After`).
    pub waiting: usize,
    /// Number of upstreams of the service that limit their request rate, and how many of them were excluded because no
    /// permit was available.
    pub limited: usize,
    pub without_permit: usize,
    /// The versions of the configuration and of the list of upstreams that the choice was based on.
    #[serde(rename = "catalog_version")]
    pub configuration_version: u64,
    #[serde(rename = "fleet_revision")]
    pub upstreams_revision: u64,
    /// Milliseconds for which a newer list has been known to exist that this router does not have.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub newer_list_known_ms: Option<u64>,
    /// Milliseconds since the list was last shown to be the newest, if that was not recently.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub list_proven_ms: Option<u64>,
    /// Milliseconds since the request arrived.
    pub age_ms: u64,
}

/// The first event of a stream, or the first event after the caller resumed the stream here, is passed on.
#[derive(Serialize)]
pub(crate) struct StreamBegan<'a> {
    /// The request id; empty if the caller set none.
    pub request: &'a str,
    #[serde(rename = "server")]
    pub upstream: &'a str,
    /// The software version of the upstream; `None` if the platform's list does not contain it.
    pub version: Option<&'a str>,
    /// The request in whose response the caller received the first event of the stream, as the caller states it;
    /// `None` for a new stream.
    pub resumes: Option<&'a str>,
    /// Number of other routers that acknowledged the record of the version before the event was passed on; `None` if no
    /// record is needed or the stream is not new.
    pub recorded_by: Option<usize>,
}

/// The first event of an attempt arrived that had been predicted when the attempt was sent.
#[derive(Serialize)]
pub(crate) struct FirstEventObserved<'a> {
    /// The request id; empty if the caller set none.
    pub request: &'a str,
    #[serde(rename = "server")]
    pub upstream: &'a str,
    pub predicted_ms: u64,
    pub observed_ms: u64,
    /// Prompt tokens of the attempt, and of other requests there, that were unread when the attempt was sent.
    pub own_tokens: u32,
    pub tokens_ahead: u32,
    /// The engine's pace when the attempt was sent: 1 for the usual one, 2 for an engine that takes twice as long.
    pub pace: f64,
}

/// An attempt without an event at a living engine was kept there, or ended to move the request.
#[derive(Serialize)]
pub(crate) struct FirstEventOverdue<'a> {
    /// The request id; empty if the caller set none.
    pub request: &'a str,
    #[serde(rename = "server")]
    pub upstream: &'a str,
    /// Why the request is moved; `None` if the attempt goes on.
    pub moved: Option<MoveReason>,
    /// Milliseconds since the attempt was sent.
    pub waited_ms: u64,
    /// The time to the first event that was predicted when the attempt was sent; `None` if no rate was known.
    pub predicted_ms: Option<u64>,
    /// Whether another engine has room, and when the first event is expected there; `None` if that is not known.
    pub has_room_elsewhere: bool,
    pub elsewhere_ms: Option<u64>,
    /// Milliseconds until the caller's answer is late, and until the deadline.
    pub until_late_ms: u64,
    pub until_deadline_ms: u64,
    /// How often the request was moved before.
    pub moves: u32,
}

/// The lookup of the software version that began a stream that a caller resumes.
#[derive(Serialize)]
pub(crate) struct OriginSearched<'a> {
    pub request: &'a str,
    /// The request in whose response the caller received the first event of the stream, as the caller states it.
    pub resumes: Option<&'a str>,
    pub service: &'a str,
    /// `found`: a router holds the stream's record; `single-version`: the service has had one version for longer than
    /// any stream lasts; `unknown`.
    pub result: &'a str,
    /// The version that began the stream, if it was found.
    pub version: Option<&'a str>,
    /// Why the version was not found.
    pub reason: Option<UnknownOrigin>,
    /// The router whose reply decided; `None` if this router decided without others.
    pub from: Option<String>,
    /// Number of routers that were queried.
    pub queried: usize,
    pub took_ms: u64,
}

/// An attempt failed.
#[derive(Serialize)]
pub(crate) struct SendFailed<'a> {
    pub request: &'a str,
    #[serde(rename = "server")]
    pub upstream: &'a str,
    pub outcome: AttemptOutcome,
    /// The [`AttemptFailure`] as text.
    pub reason: &'a str,
    /// What the router does next.
    pub next: NextStep,
    /// For a stream, the last event that the caller has received.
    pub last_event: Option<u64>,
    /// Milliseconds since the attempt began.
    pub attempt_ms: u64,
    /// The key that all retries of the request share; set if the request may have run without a response.
    pub content: Option<String>,
    /// What was silent, if the attempt ended because nothing arrived.
    #[serde(flatten)]
    pub silence: Option<SilentAttemptFields>,
    /// Milliseconds since the request arrived.
    pub age_ms: u64,
}

/// What was silent while an attempt made no progress.
#[derive(Serialize)]
pub(crate) struct SilentAttemptFields {
    pub silence: SilenceScope,
    /// Milliseconds since the attempt made progress.
    pub silent_ms: u64,
    /// Milliseconds since the upstream sent a part of a response to any request of this router; `None` if it never has.
    #[serde(rename = "server_silent_ms")]
    pub upstream_silent_ms: Option<u64>,
    /// Number of other upstreams of the service from which something is expected, and how many of these have responded
    /// since the attempt made progress.
    #[serde(rename = "other_servers_awaited")]
    pub others_awaited: usize,
    #[serde(rename = "other_servers_heard")]
    pub others_heard: usize,
}

/// An attempt that seems lost goes on, as nothing proves the loss and no other upstream takes the request on yet.
#[derive(Serialize)]
pub(crate) struct AttemptKept<'a> {
    pub request: &'a str,
    #[serde(rename = "server")]
    pub upstream: &'a str,
    /// The sign by which the attempt seems lost.
    pub sign: SilenceSign,
    #[serde(flatten)]
    pub silence: SilentAttemptFields,
    /// Whether the route allows another attempt; the retry budget is not considered.
    pub may_be_sent_again: bool,
    /// Whether another upstream could take the request now.
    pub has_room_elsewhere: bool,
    pub until_deadline_ms: u64,
}

/// How a request ended. The names in log lines are also the kinds of the metric `requests`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(into = "&'static str")]
pub(crate) enum RequestEnd {
    /// The caller received an upstream's complete response.
    Answered,
    /// The caller received a stream up to its end.
    Completed,
    /// A stream was cut and could not be resumed at another upstream.
    BrokenOff,
    /// The caller closed the connection.
    CallerLeft,
    /// The caller received the response that the request has not run.
    Refused,
    /// Like [`Self::Refused`], because the request's deadline passed.
    RefusedLate,
    /// The caller received an error response that leaves open whether the request ran.
    Failed,
    /// Like [`Self::Failed`], because the request's deadline passed.
    TimedOut,
    /// The request was rejected on arrival.
    Rejected,
    /// The request was blocked because its content crashes upstreams. The caller received an error response that
    /// forbids a retry.
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

/// A request that was admitted ended.
#[derive(Serialize)]
pub(crate) struct RequestEnded<'a> {
    pub request: &'a str,
    pub route: &'a str,
    /// The HTTP status that the caller received.
    pub status: u16,
    pub end: RequestEnd,
    /// Why the request failed; `None` if the caller received an upstream's response or closed the connection.
    pub reason: Option<&'a str>,
    /// Number of attempts.
    #[serde(rename = "sent")]
    pub attempts: u32,
    /// Number of stream events that were sent to the caller; 0 for a plain request.
    pub events: u64,
    /// Milliseconds from the arrival of the request to the first event; `None` without events.
    pub first_event_ms: Option<u64>,
    /// The longest time between two events in milliseconds.
    pub longest_pause_ms: u64,
    /// Milliseconds since the request arrived.
    pub age_ms: u64,
}

/// A request was rejected before it was sent to any upstream.
#[derive(Serialize)]
pub(crate) struct RequestRejected<'a> {
    pub request: &'a str,
    pub path: &'a str,
    /// The HTTP status that the caller received.
    pub status: u16,
    pub reason: &'a str,
    /// The version of the configuration in force; `None` before the first one.
    #[serde(rename = "catalog_version")]
    pub configuration_version: Option<u64>,
}

/// A header of a request was ignored because its value can't be parsed.
#[derive(Serialize)]
pub(crate) struct UnreadableHeader<'a> {
    pub request: &'a str,
    /// The name of the header.
    pub header: &'a str,
}

/// The machine resumed after a suspension.
#[derive(Serialize)]
pub(crate) struct MachineResumed {
    pub suspended_ms: u64,
}

/// An event of something that has a name, such as the store, a settings file or an upstream.
#[derive(Serialize)]
pub(crate) struct NamedEvent<'a> {
    /// The name of the dependency or object that the event is about.
    pub name: &'a str,
    pub reason: &'a str,
}

/// Logs an event with the name of the dependency or object that it is about, and the reason.
pub(crate) fn log_named_event(log: &Log, event: &'static str, name: &str, reason: &str) {
    log.info(event, &NamedEvent { name, reason });
}
