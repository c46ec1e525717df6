//! How requests end, what their callers are told then, and the lines that say so.

use crate::decision_log::{RequestEnded, UpstreamChosen, ms, ms_since};
use crate::intake::RelayRequest;
use crate::reply::{Reply, own_reply, refusal};
use crate::router::Router;
use crate::send::{SendError, WaitError};
use cloverpier_router_policy::prelude::*;
use hyper::StatusCode;
use std::time::{Duration, Instant};

/// When to come back after a refusal, in parts of the objective.
const COME_BACK_OBJECTIVES: f64 = 0.4;
/// Bounds of the time to come back.
const SOONEST_BACK: Duration = Duration::from_millis(40);
const LATEST_BACK: Duration = Duration::from_millis(1_000);

/// How a request ended without a upstream's answer to pass on.
pub(crate) struct GivenUp {
    pub next: NextStep,
    pub timed_out: bool,
    pub reason: String,
}

/// How a stream went, for its last log line.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Progress {
    /// Events passed on.
    pub events: u64,
    /// When the first one was.
    pub first_event: Option<Instant>,
    /// When the last one was.
    pub last_event: Option<Instant>,
    /// The longest pause between two.
    pub max_store_backoff: Duration,
}

impl Progress {
    /// Notes that events were passed on.
    pub fn on_events(&mut self, count: u64, now: Instant) {
        self.events += count;
        self.first_event.get_or_insert(now);
        if let Some(last) = self.last_event.replace(now) {
            let pause = now.saturating_duration_since(last);
            self.max_store_backoff = self.max_store_backoff.max(pause);
        }
    }
}

/// Writes the line that ends a request.
pub(crate) fn log_end(
    router: &Router,
    request: &RelayRequest,
    attempts: &Attempts,
    status: StatusCode,
    end: &'static str,
    progress: &Progress,
) {
    let now = Instant::now();
    router.metrics.requests.count(end);
    router.log.info(
        "request.ended",
        &RequestEnded {
            request: &request.id,
            route: &request.route.name,
            status: status.as_u16(),
            end,
            sent: attempts.sent(),
            events: progress.events,
            first_event_ms: progress.first_event.map(|at| ms_since(request.arrived, at)),
            longest_pause_ms: ms(progress.max_store_backoff),
            age_ms: ms_since(request.arrived, now),
        },
    );
}

/// The answer to a request that is given up, true to what is known of its run.
pub(crate) fn give_up_reply(request: &RelayRequest, given_up: &GivenUp) -> (Reply, &'static str) {
    match given_up.next {
        NextStep::Refuse => {
            let end = if given_up.timed_out {
                "refused-late"
            } else {
                "refused"
            };
            (refusal(&given_up.reason, come_back_in(request)), end)
        }
        _ if given_up.timed_out => (
            own_reply(StatusCode::GATEWAY_TIMEOUT, &given_up.reason),
            "timed-out",
        ),
        _ => (
            own_reply(StatusCode::BAD_GATEWAY, &given_up.reason),
            "failed",
        ),
    }
}

fn come_back_in(request: &RelayRequest) -> Duration {
    let wait = request.route.objective.mul_f64(COME_BACK_OBJECTIVES);
    wait.clamp(SOONEST_BACK, LATEST_BACK)
}

/// What a silence means for a request that was sent.
pub(crate) fn wait_error(silence: WaitError) -> SendError {
    SendError {
        outcome: AttemptOutcome::Unknown,
        reason: silence.reason().to_owned(),
        timed_out: silence == WaitError::TimedOut,
    }
}

/// The name of an outcome, for metrics.
pub(crate) fn outcome_name(outcome: AttemptOutcome) -> &'static str {
    match outcome {
        AttemptOutcome::NotSent => "not-sent",
        AttemptOutcome::Misdirected => "misdirected",
        AttemptOutcome::Refused => "refused",
        AttemptOutcome::Unknown => "unknown",
        AttemptOutcome::Failed => "failed",
    }
}

/// What a request adds to a upstream's load.
pub(crate) fn load_of(request: &RelayRequest) -> Load {
    Load {
        requests: 1,
        unread_tokens: request.size.prompt_tokens,
        memory_tokens: request.size.prompt_tokens + request.size.answer_tokens,
    }
}

/// What a choice was made for, for its log line.
pub(crate) struct ChoiceNote<'a> {
    /// The number of the send.
    pub attempt: u32,
    /// Where the run's memory is copied to.
    pub replica: Option<&'a Upstream>,
    /// The last event that needn't be sent.
    pub resumes_after: Option<u64>,
    /// Whether the upstream has a copy of the lost run's memory.
    pub from_replica: bool,
    /// When the choice was made.
    pub now: Instant,
}

impl ChoiceNote<'_> {
    /// A choice for the next send of a request.
    pub fn of(attempts: &Attempts, now: Instant) -> Self {
        Self {
            attempt: attempts.sent() + 1,
            replica: None,
            resumes_after: None,
            from_replica: false,
            now,
        }
    }
}

/// Writes the line that tells which upstream gets a request, and why that one.
pub(crate) fn log_choice(
    router: &Router,
    request: &RelayRequest,
    table: &UpstreamTable,
    upstream: &Upstream,
    note: &ChoiceNote<'_>,
) {
    let own = table
        .get(&upstream.name)
        .map(|s| s.own_load)
        .unwrap_or_default();
    let peers = table.peer_load.at(UpstreamKey::of(&upstream.name));
    router.log.info(
        "server.chosen",
        &UpstreamChosen {
            request: &request.id,
            route: &request.route.name,
            service: request.service.name.as_str(),
            upstream: upstream.name.as_str(),
            attempt: note.attempt,
            own_requests: own.requests,
            peer_requests: peers.requests,
            unread_tokens: own.unread_tokens + peers.unread_tokens,
            replica: note.replica.map(|b| b.name.as_str()),
            prompt: request.prompt,
            resumes_after: note.resumes_after,
            from_replica: note.from_replica,
            configuration_version: request.configuration_version,
            upstreams_revision: table.revision(),
            age_ms: ms_since(request.arrived, note.now),
        },
    );
}
