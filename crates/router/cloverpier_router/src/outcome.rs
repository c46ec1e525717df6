//! How requests end: what their callers get, and the log lines and counters that say so.
//!
//! What a caller gets as an answer is decided in `cloverpier_router_policy::{attempts, refusal}`;
//! here it becomes a status and a body.

use crate::decision_log::{RequestEnd, RequestEnded, SendFailed, ms, ms_since};
use crate::relay_request::RelayRequest;
use crate::responses::{ServerResponse, error_response, refusal_response};
use crate::router::Router;
use cloverpier_core::UpstreamName;
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::refusal::Refusal;
use hyper::StatusCode;
use std::time::{Duration, Instant};

/// A request that ends without an upstream's answer to pass on.
#[derive(Debug)]
pub(crate) struct GivenUp {
    /// What the caller gets.
    pub next: NextStep,
    /// Whether the request's time is over.
    pub is_late: bool,
    /// Why, for the caller.
    pub reason: String,
    /// Why no upstream could be given it, for logs.
    no_upstream: Option<NoUpstream>,
}

impl GivenUp {
    /// A request whose last attempt failed.
    pub fn after(failure: &AttemptFailure, next: NextStep) -> Self {
        Self {
            next,
            is_late: failure.is_past_deadline(),
            reason: failure.to_string(),
            no_upstream: None,
        }
    }

    /// A request that no upstream can be given.
    pub fn without_upstream(attempts: &Attempts, no_upstream: NoUpstream) -> Self {
        Self {
            next: attempts.final_step(),
            is_late: false,
            reason: "no server takes the request".to_owned(),
            no_upstream: Some(no_upstream),
        }
    }

    /// A request whose content ends upstreams. It says nothing of whether the request ran: it may be
    /// what ended the last of them.
    pub fn stopped() -> Self {
        Self {
            next: NextStep::Stop,
            is_late: false,
            reason: AttemptFailure::Stopped.to_string(),
            no_upstream: None,
        }
    }

    /// A stream whose answer is not one.
    pub fn invalid(reason: &str) -> Self {
        Self {
            next: NextStep::Fail,
            is_late: false,
            reason: reason.to_owned(),
            no_upstream: None,
        }
    }

    /// The reply to the caller, true to what is known of the request's run.
    pub fn reply(&self, router: &Router, request: &RelayRequest) -> ServerResponse {
        match self.end() {
            RequestEnd::Refused | RequestEnd::RefusedLate => {
                refusal_response(&self.reason, self.refusal(router, request))
            }
            // Not one of the statuses after which callers come again, and no promise that it has
            // not run.
            RequestEnd::Stopped => error_response(StatusCode::BAD_REQUEST, &self.reason),
            RequestEnd::TimedOut => error_response(StatusCode::GATEWAY_TIMEOUT, &self.reason),
            _ => error_response(StatusCode::BAD_GATEWAY, &self.reason),
        }
    }

    /// Why the request is refused, as that decides when its caller should retry.
    fn refusal(&self, router: &Router, request: &RelayRequest) -> Refusal {
        if let Some(NoUpstream::AllRateLimited { retry }) = self.no_upstream {
            return Refusal::UpstreamsRateLimited {
                permit_delay: retry,
            };
        }
        let table = router.upstreams.borrow();
        let objective = request.route.objective;
        match table.wait_of_service(&request.service.name, router.now()) {
            Some(wait) => Refusal::UpstreamsPaused { wait, objective },
            None => Refusal::NoUpstream { objective },
        }
    }

    /// What decided, for logs.
    pub fn logged_reason(&self) -> &str {
        match self.no_upstream {
            Some(NoUpstream::AllFull) => "all servers are full",
            Some(NoUpstream::NoneUsable) => "no server is usable",
            Some(NoUpstream::AllPaused) => "all servers want nothing for now",
            Some(NoUpstream::AllRateLimited { .. }) => {
                "all servers limit themselves, and have no room"
            }
            None => &self.reason,
        }
    }

    /// How the request ended.
    pub fn end(&self) -> RequestEnd {
        match (self.next, self.is_late) {
            (NextStep::Stop, _) => RequestEnd::Stopped,
            (NextStep::Refuse, false) => RequestEnd::Refused,
            (NextStep::Refuse, true) => RequestEnd::RefusedLate,
            (_, true) => RequestEnd::TimedOut,
            (_, false) => RequestEnd::Failed,
        }
    }

    /// The same, of a stream that its caller has begun to receive.
    pub fn end_of_begun(&self) -> RequestEnd {
        if self.next == NextStep::Stop {
            RequestEnd::Stopped
        } else if self.is_late {
            RequestEnd::TimedOut
        } else {
            RequestEnd::BrokenOff
        }
    }
}

/// The end of a request, for its log line.
pub(crate) struct Ending<'a> {
    /// The status that the caller got.
    pub status: StatusCode,
    /// How it ended.
    pub end: RequestEnd,
    /// What decided that it was given up; `None` where an upstream's answer was passed on.
    pub reason: Option<&'a str>,
}

impl Ending<'_> {
    /// A request that ended with an answer, or by its caller.
    pub fn of(status: StatusCode, end: RequestEnd) -> Self {
        Self {
            status,
            end,
            reason: None,
        }
    }
}

/// How a stream progressed, for its last log line.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Progress {
    /// Events passed on.
    pub events: u64,
    /// When the first one was.
    pub first_event: Option<Instant>,
    /// When the last one was.
    last_event: Option<Instant>,
    /// The longest pause between two.
    longest_pause: Duration,
}

impl Progress {
    /// Records that events were passed on.
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
    ending: &Ending<'_>,
    progress: &Progress,
) {
    router.metrics.requests.count(ending.end.into());
    router.log.info(
        "request.ended",
        &RequestEnded {
            request: &request.id,
            route: &request.route.name,
            status: ending.status.as_u16(),
            end: ending.end,
            reason: ending.reason,
            attempts: attempts.sent(),
            events: progress.events,
            first_event_ms: progress.first_event.map(|at| ms_since(request.arrived, at)),
            longest_pause_ms: ms(progress.longest_pause),
            age_ms: ms_since(request.arrived, router.now()),
        },
    );
}

/// A failed attempt, for its counter and its log line.
pub(crate) struct FailedAttempt<'a> {
    /// Where it was, if anywhere.
    pub upstream: Option<&'a UpstreamName>,
    /// What happened.
    pub failure: &'a AttemptFailure,
    /// What follows.
    pub next: NextStep,
    /// The last event that the caller has, of a stream.
    pub last_event: Option<u64>,
    /// When the attempt began.
    pub begun: Instant,
    /// When it was decided.
    pub now: Instant,
}

/// Counts and logs a failed attempt.
pub(crate) fn log_failure(router: &Router, request: &RelayRequest, attempt: &FailedAttempt<'_>) {
    let outcome = attempt.failure.outcome();
    router.metrics.failed_attempts.count(outcome_name(outcome));
    router.log.info(
        "send.failed",
        &SendFailed {
            request: &request.id,
            upstream: attempt.upstream.map_or("", |name| name.as_str()),
            outcome,
            reason: &attempt.failure.to_string(),
            next: attempt.next,
            last_event: attempt.last_event,
            attempt_ms: ms_since(attempt.begun, attempt.now),
            content: (outcome == AttemptOutcome::Unknown)
                .then(|| request.content_key().to_string()),
            age_ms: ms_since(request.arrived, attempt.now),
        },
    );
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
