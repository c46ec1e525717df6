//! Ends requests: builds the replies to failed requests, and writes the log lines and counters of ended requests and
//! failed attempts.
//!
//! `cloverpier_router_policy::{attempts, refusal}` decide which kind of reply a caller gets; this module turns the
//! decision into a status and a body. Owns no state.

use crate::decision_log::{RequestEnd, RequestEnded, SendFailed, ms, ms_since};
use crate::relay_request::RelayRequest;
use crate::responses::{ServerResponse, error_response, refusal_response};
use crate::router::Router;
use crate::silence;
use cloverpier_core::UpstreamName;
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::refusal::{Refusal, ServiceState, reason_for_refusal};
use cloverpier_router_policy::silence::{SilenceEvidence, SilenceSign};
use hyper::StatusCode;
use std::time::{Duration, Instant};

/// The reason why a request ends without a response of an upstream that can be passed on.
#[derive(Debug)]
pub(crate) struct RequestFailure {
    /// The kind of reply that the caller gets.
    pub next: NextStep,
    /// Whether the last attempt failed because the request's deadline passed.
    pub is_past_deadline: bool,
    /// The error message in the reply to the caller.
    pub reason: String,
    /// Why no upstream could get the request; `None` if the request failed for another reason.
    no_upstream: Option<NoUpstream>,
}

impl RequestFailure {
    /// The failure of a request whose last attempt failed.
    pub fn after_attempt(failure: &AttemptFailure, next: NextStep) -> Self {
        Self {
            next,
            is_past_deadline: failure.is_past_deadline(),
            reason: failure.to_string(),
            no_upstream: None,
        }
    }

    /// The failure of a request that no upstream can get.
    pub fn without_upstream(attempts: &Attempts, no_upstream: NoUpstream) -> Self {
        Self {
            next: attempts.final_step(),
            is_past_deadline: false,
            reason: "no server takes the request".to_owned(),
            no_upstream: Some(no_upstream),
        }
    }

    /// The failure of a request whose content is blocked because it crashes upstreams. The reply leaves open whether
    /// the request ran, because it may have crashed the last upstream that ran it.
    pub fn content_blocked() -> Self {
        Self {
            next: NextStep::Stop,
            is_past_deadline: false,
            reason: AttemptFailure::Stopped.to_string(),
            no_upstream: None,
        }
    }

    /// The failure of a stream request whose response is no valid event stream. The reply leaves open whether the
    /// request ran.
    pub fn invalid(reason: &str) -> Self {
        Self {
            next: NextStep::Fail,
            is_past_deadline: false,
            reason: reason.to_owned(),
            no_upstream: None,
        }
    }

    /// The reply to the caller. Only a refusal (503) promises that the request has not run.
    pub fn reply(&self, router: &Router, request: &RelayRequest) -> ServerResponse {
        match self.end() {
            RequestEnd::Refused | RequestEnd::RefusedLate => {
                refusal_response(&self.reason, self.refusal(router, request))
            }
            // Callers don't retry after status 400, and it does not promise that the request has not run.
            RequestEnd::Stopped => error_response(StatusCode::BAD_REQUEST, &self.reason),
            RequestEnd::TimedOut => error_response(StatusCode::GATEWAY_TIMEOUT, &self.reason),
            _ => error_response(StatusCode::BAD_GATEWAY, &self.reason),
        }
    }

    /// The reason for refusing the request, which decides when the caller should retry.
    fn refusal(&self, router: &Router, request: &RelayRequest) -> Refusal {
        let service = &request.service.name;
        let table = router.upstreams.borrow();
        reason_for_refusal(ServiceState {
            no_upstream: self.no_upstream,
            wait: table.wait_of_service(service, router.now()),
            is_cut_off: router.reachability.borrow().is_cut_off(service),
            objective: request.route.objective,
        })
    }

    /// The reason for log lines, which distinguishes the cases in which no upstream could get the request.
    pub fn logged_reason(&self) -> &str {
        match self.no_upstream {
            Some(NoUpstream::AllFull) => "all servers are full",
            Some(NoUpstream::NoTurn { .. }) => {
                "all servers are full, and the turn of this stream comes too late"
            }
            Some(NoUpstream::Stopping) => {
                "all servers are full, and this router stops and holds no streams"
            }
            Some(NoUpstream::NoneUsable) => "no server is usable",
            Some(NoUpstream::UnknownVersion(_)) => "the version that began the stream is not known",
            Some(NoUpstream::NoneOfVersion { .. }) => {
                "no server of the version that began the stream is usable"
            }
            Some(NoUpstream::AllPaused) => "all servers have requested a pause",
            Some(NoUpstream::AllRateLimited { .. }) => {
                "all servers limit their request rate, and no permit is available"
            }
            None => &self.reason,
        }
    }

    /// How a request ends whose caller has not received a part of the response.
    pub fn end(&self) -> RequestEnd {
        match (self.next, self.is_past_deadline) {
            (NextStep::Stop, _) => RequestEnd::Stopped,
            (NextStep::Refuse, false) => RequestEnd::Refused,
            (NextStep::Refuse, true) => RequestEnd::RefusedLate,
            (_, true) => RequestEnd::TimedOut,
            (_, false) => RequestEnd::Failed,
        }
    }

    /// How a stream ends whose caller has received a part of it.
    pub fn end_of_started_stream(&self) -> RequestEnd {
        if self.next == NextStep::Stop {
            RequestEnd::Stopped
        } else if self.is_past_deadline {
            RequestEnd::TimedOut
        } else {
            RequestEnd::BrokenOff
        }
    }
}

/// The result of a request, for its log line.
pub(crate) struct RequestSummary<'a> {
    /// The HTTP status that the caller got; 200 for a stream whose caller left, even before the head was sent.
    pub status: StatusCode,
    /// The kind of end, as log lines and the counter `requests` distinguish it.
    pub end: RequestEnd,
    /// Why the request failed; `None` if an upstream's response was passed on or the caller left.
    pub reason: Option<&'a str>,
}

impl RequestSummary<'_> {
    /// The result of a request that ended with a response or because its caller left.
    pub fn of(status: StatusCode, end: RequestEnd) -> Self {
        Self {
            status,
            end,
            reason: None,
        }
    }
}

/// The events of a stream that were passed on, for the log line at its end; the default, without events, for a plain
/// request.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StreamProgress {
    /// Number of events that were passed on.
    pub events: u64,
    /// When the first event was passed on; `None` before.
    pub first_event: Option<Instant>,
    /// When the last events were passed on; `None` before the first.
    last_event: Option<Instant>,
    /// The longest time between two chunks of events that were passed on; zero with fewer than two chunks.
    longest_pause: Duration,
}

impl StreamProgress {
    /// Records that `count` events are passed on.
    pub fn on_events(&mut self, count: u64, now: Instant) {
        self.events += count;
        self.first_event.get_or_insert(now);
        if let Some(last) = self.last_event.replace(now) {
            let pause = now.saturating_duration_since(last);
            self.longest_pause = self.longest_pause.max(pause);
        }
    }
}

/// Counts and logs the end of a request.
pub(crate) fn log_end(
    router: &Router,
    request: &RelayRequest,
    attempts: &Attempts,
    summary: &RequestSummary<'_>,
    progress: &StreamProgress,
) {
    router.metrics.requests.count(summary.end.into());
    router.log.info(
        "request.ended",
        &RequestEnded {
            request: &request.id,
            route: &request.route.name,
            status: summary.status.as_u16(),
            end: summary.end,
            reason: summary.reason,
            attempts: attempts.sent(),
            events: progress.events,
            first_event_ms: progress.first_event.map(|at| ms_since(request.arrived, at)),
            longest_pause_ms: ms(progress.longest_pause),
            age_ms: ms_since(request.arrived, router.now()),
        },
    );
}

/// A failed attempt, for its counter and log line.
pub(crate) struct FailedAttempt<'a> {
    /// The upstream that got the attempt; `None` before any upstream was chosen.
    pub upstream: Option<&'a UpstreamName>,
    /// Why the attempt failed.
    pub failure: &'a AttemptFailure,
    /// The router's next step for the request.
    pub next: NextStep,
    /// The id of the last event of the stream that the caller has received; `None` for a plain request and for a
    /// stream without events.
    pub last_event: Option<u64>,
    /// When the attempt was sent.
    pub started_at: Instant,
    /// When the attempt last made progress; before that, when it was sent.
    pub last_progress: Instant,
    /// When the failure was handled.
    pub now: Instant,
}

/// Counts and logs a failed attempt.
pub(crate) fn log_failure(router: &Router, request: &RelayRequest, attempt: &FailedAttempt<'_>) {
    let outcome = attempt.failure.outcome();
    router.metrics.failed_attempts.count(outcome_name(outcome));
    let silence = silence_of(router, attempt);
    if let Some(evidence) = &silence {
        let scope = silence::scope_name(evidence.scope());
        router.metrics.silent_attempts.count(scope);
    }
    router.log.info(
        "send.failed",
        &SendFailed {
            request: &request.id,
            upstream: attempt.upstream.map_or("", |name| name.as_str()),
            outcome,
            reason: &attempt.failure.to_string(),
            next: attempt.next,
            last_event: attempt.last_event,
            attempt_ms: ms_since(attempt.started_at, attempt.now),
            content: (outcome == AttemptOutcome::Unknown)
                .then(|| request.content_key().to_string()),
            silence: silence.as_ref().map(silence::log_fields),
            age_ms: ms_since(request.arrived, attempt.now),
        },
    );
}

/// What was silent, if the attempt ended because nothing arrived; `None` for other failures.
fn silence_of(router: &Router, attempt: &FailedAttempt<'_>) -> Option<SilenceEvidence> {
    let sign = match attempt.failure {
        AttemptFailure::UpstreamSilent => SilenceSign::Unreachable,
        AttemptFailure::PathLost => SilenceSign::PathLost,
        AttemptFailure::Stalled | AttemptFailure::DeadlinePassedSent => SilenceSign::Stalled,
        _ => return None,
    };
    silence::evidence(
        router,
        attempt.upstream?,
        sign,
        attempt.last_progress,
        attempt.now,
    )
}

/// The label of an outcome in metrics.
pub(crate) fn outcome_name(outcome: AttemptOutcome) -> &'static str {
    match outcome {
        AttemptOutcome::NotSent => "not-sent",
        AttemptOutcome::Misdirected => "misdirected",
        AttemptOutcome::Refused => "refused",
        AttemptOutcome::Unknown => "unknown",
        AttemptOutcome::Failed => "failed",
    }
}
