//! Collects what is known of the silence of an attempt's upstream, and keeps or ends the attempt.
//!
//! `cloverpier_router_policy::silence` decides; [`crate::wait`] asks while nothing arrives. Relies on [`crate::health`] for
//! the times of upstreams' last signs of life, and on [`crate::next_attempt`] for the upstream that would take the request
//! on. A [`SilenceWatch`] owns which upstream was probed last for its attempt, and whether the silence was logged.

use crate::connection::Via;
use crate::decision_log::{AttemptKept, SilentAttemptFields, ms};
use crate::health::HealthTable;
use crate::next_attempt::{Candidate, NextAttempt};
use crate::probe;
use crate::router::Router;
use cloverpier_core::{ServiceName, UpstreamName};
use cloverpier_router_policy::path_evidence::HEARD_TTL;
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::silence::{
    NextUpstream, PROBE_CHECK_PERIOD, QUIET_AFTER, SilenceEvidence, SilenceScope, SilenceSign,
    SilenceStep, SilentAttempt, UNPROVEN_AFTER, UNRESPONSIVE_AFTER,
};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Number of probes that are sent for one attempt in quick succession.
const MAX_FAST_PROBES: u32 = 3;

/// What becomes of a silent attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SilenceOutcome {
    /// The attempt goes on; decide again after this time.
    KeepFor(Duration),
    /// The attempt ends, because another upstream takes the request on.
    Move,
    /// The attempt ends, because another process has the upstream's address.
    UpstreamGone,
}

/// Decides on one attempt while its upstream is silent.
pub(crate) struct SilenceWatch {
    /// The attempt that would follow.
    pub next: Rc<NextAttempt>,
    /// The time without progress after which the attempt counts as stalled.
    pub stall_after: Duration,
    /// The time without progress after which the caller's response is late; `None` if that is not known.
    pub late_after: Option<Duration>,
    /// How often the request was moved away from a living upstream before.
    pub moves: u32,
    /// Whether it was logged that the attempt is kept.
    pub was_kept: Cell<bool>,
    /// The upstream that was probed last because it may take the request on; `None` before the first.
    pub probed: RefCell<Option<ProbedUpstream>>,
}

/// An upstream that was probed because it may take a request on.
#[derive(Debug)]
pub(crate) struct ProbedUpstream {
    name: UpstreamName,
    at: Instant,
    /// Number of probes that were sent for the attempt, this one included.
    count: u32,
}

impl SilenceWatch {
    /// Decides what becomes of the attempt, which seems lost by `sign` and last made progress at `last_progress`.
    pub fn step(&self, sign: SilenceSign, last_progress: Instant, now: Instant) -> SilenceOutcome {
        let (router, upstream) = (&self.next.router, &self.next.upstream);
        if is_gone(router, upstream) {
            return SilenceOutcome::UpstreamGone;
        }
        if sign == SilenceSign::PathLost && self.next.is_allowed(now) {
            // The upstream itself can be reached through a peer.
            return SilenceOutcome::Move;
        }
        if self.awaits_probe(now) {
            return SilenceOutcome::KeepFor(PROBE_CHECK_PERIOD);
        }
        // The table keeps upstreams that have requests of this router.
        let Some(evidence) = evidence(router, upstream, sign, last_progress, now) else {
            return SilenceOutcome::KeepFor(QUIET_AFTER);
        };
        self.step_by(sign, evidence, last_progress, now)
    }

    /// Decides by what is known of the silence.
    fn step_by(
        &self,
        sign: SilenceSign,
        evidence: SilenceEvidence,
        last_progress: Instant,
        now: Instant,
    ) -> SilenceOutcome {
        // A full engine would refuse the request, which helps nobody while its own engine may go on.
        let overcommit = evidence.without_progress >= UNPROVEN_AFTER;
        let candidate = self.next.candidate(overcommit, now);
        let next = candidate.as_ref();
        let attempt = SilentAttempt {
            sign,
            evidence,
            next: next.map(|next| self.next_upstream(next, last_progress, now)),
            stall_after: self.stall_after,
            late_after: self.late_after,
            moves: self.moves,
            is_stream: self.next.is_stream,
        };
        let step = attempt.step();
        self.report(&attempt, step, now);
        match (step, candidate) {
            (SilenceStep::Move, _) => SilenceOutcome::Move,
            (SilenceStep::ProbeNext(after), Some(candidate)) => {
                SilenceOutcome::KeepFor(self.probe(&candidate.upstream, after, now))
            }
            (SilenceStep::ProbeNext(after) | SilenceStep::WaitFor(after), _) => {
                SilenceOutcome::KeepFor(after)
            }
        }
    }

    /// Counts and logs once that the attempt is kept.
    fn report(&self, attempt: &SilentAttempt, step: SilenceStep, now: Instant) {
        if step == SilenceStep::Move || self.was_kept.replace(true) {
            return;
        }
        let (router, request) = (&self.next.router, &self.next.request);
        router
            .metrics
            .kept_attempts
            .count(scope_name(attempt.evidence.scope()));
        let line = AttemptKept {
            request: &request.id,
            upstream: self.next.upstream.as_str(),
            sign: attempt.sign,
            silence: log_fields(&attempt.evidence),
            may_be_sent_again: self.next.may_be_sent_again,
            has_room_elsewhere: attempt.next.is_some(),
            until_deadline_ms: ms(request.time_left(now)),
        };
        router.log.info("attempt.kept", &line);
    }

    /// What is known of the upstream that would take on the request, whose attempt last made progress at `last_progress`.
    fn next_upstream(
        &self,
        next: &Candidate,
        last_progress: Instant,
        now: Instant,
    ) -> NextUpstream {
        let (router, name) = (&self.next.router, &next.upstream.name);
        let since = heard_since(self.next.is_stream, last_progress, now);
        // One that limits its request rate is not probed for this.
        let is_limited = router.upstream_limits.is_limited(&next.upstream);
        NextUpstream {
            predicted: next.predicted,
            has_responded: is_limited || router.health.last_heard(name) > Some(since),
            has_progressed: router.health.last_own_response(name) > Some(since),
        }
    }

    /// Probes an upstream that may take the request on, and returns the time until the next decision. After some that
    /// have not responded, the others are probed less often.
    fn probe(&self, upstream: &Upstream, check_after: Duration, now: Instant) -> Duration {
        let router = &self.next.router;
        let health = router.health.of(upstream, Via::Direct, now);
        probe::probe(router, upstream, &health, now);
        let probes = self
            .probed
            .borrow()
            .as_ref()
            .map_or(0, |probed| probed.count);
        *self.probed.borrow_mut() = Some(ProbedUpstream {
            name: upstream.name.clone(),
            at: now,
            count: probes + 1,
        });
        if probes < MAX_FAST_PROBES {
            check_after
        } else {
            QUIET_AFTER
        }
    }

    /// Whether an upstream was probed so shortly ago that its response may still arrive.
    fn awaits_probe(&self, now: Instant) -> bool {
        let probed = self.probed.borrow();
        probed.as_ref().is_some_and(|probed| {
            let is_new = now.saturating_duration_since(probed.at) < UNRESPONSIVE_AFTER;
            let heard_at = self.next.router.health.last_heard(&probed.name);
            is_new && heard_at < Some(probed.at)
        })
    }
}

/// The time since when a sign of life counts: engines that write streams send events all the time, other upstreams one
/// response for each request.
fn heard_since(is_stream: bool, last_progress: Instant, now: Instant) -> Instant {
    let recent = now.checked_sub(HEARD_TTL).unwrap_or(now);
    if is_stream { recent } else { last_progress }
}

/// Whether another process is known to have the upstream's address.
fn is_gone(router: &Router, upstream: &UpstreamName) -> bool {
    let table = router.upstreams.borrow();
    table.get(upstream).is_some_and(UpstreamState::is_replaced)
}

/// When an upstream last sent anything that counts against a sign of loss.
type HeardAt = fn(&HealthTable, &UpstreamName) -> Option<Instant>;

/// An upstream that responds to probes only does not show that it makes progress with requests.
fn heard_at(sign: SilenceSign) -> HeardAt {
    match sign {
        SilenceSign::Stalled => HealthTable::last_own_response,
        SilenceSign::Unreachable | SilenceSign::PathLost => HealthTable::last_heard,
    }
}

/// What is known of the silence of an attempt that last made progress at `last_progress`; `None` for an upstream that
/// this router does not know any more.
pub(crate) fn evidence(
    router: &Router,
    upstream: &UpstreamName,
    sign: SilenceSign,
    last_progress: Instant,
    now: Instant,
) -> Option<SilenceEvidence> {
    let heard_at = |name: &UpstreamName| heard_at(sign)(&router.health, name);
    let table = router.upstreams.borrow();
    let service = &table.get(upstream)?.upstream.service;
    let since = heard_since(router.has_engines(service), last_progress, now);
    let age = |at: Instant| now.saturating_duration_since(at);
    let mut evidence = SilenceEvidence {
        without_progress: age(last_progress),
        upstream_silent: heard_at(upstream).map(age),
        upstream_responding: router.health.responding_since(upstream).map(age),
        others_awaited: 0,
        others_heard: 0,
    };
    for other in awaited(router, &table, service).filter(|name| *name != upstream) {
        evidence.others_awaited += 1;
        evidence.others_heard += usize::from(heard_at(other) > Some(since));
    }
    Some(evidence)
}

/// The upstreams of a service from which this router expects something: the next event of a stream, or the response to a
/// plain request. An engine that reads a prompt is silent for a while.
fn awaited<'a>(
    router: &'a Router,
    table: &'a UpstreamTable,
    service: &ServiceName,
) -> impl Iterator<Item = &'a UpstreamName> {
    let has_engines = router.has_engines(service);
    let upstreams = table.of_service(service);
    let awaited = upstreams.filter(move |state| {
        let name = &state.upstream.name;
        router.health.streams_at(name) > 0 || (!has_engines && state.own_load.requests > 0)
    });
    awaited.map(|state| &state.upstream.name)
}

/// Whether engines of the service other than `upstream` write streams for this router, and no engine has sent anything for
/// a while.
pub(crate) fn is_service_quiet(
    router: &Router,
    service: &ServiceName,
    upstream: &UpstreamName,
    now: Instant,
) -> bool {
    let table = router.upstreams.borrow();
    let others = awaited(router, &table, service).filter(|name| *name != upstream);
    let last_heard = |name: &UpstreamName| router.health.last_own_response(name);
    let mut last_heard = others.map(last_heard).peekable();
    let is_quiet = |at: Instant| now.saturating_duration_since(at) >= QUIET_AFTER;
    last_heard.peek().is_some() && last_heard.all(|at| at.is_some_and(is_quiet))
}

/// The fields of log lines about a silence.
pub(crate) fn log_fields(evidence: &SilenceEvidence) -> SilentAttemptFields {
    SilentAttemptFields {
        silence: evidence.scope(),
        silent_ms: ms(evidence.without_progress),
        upstream_silent_ms: evidence.upstream_silent.map(ms),
        others_awaited: evidence.others_awaited,
        others_heard: evidence.others_heard,
    }
}

/// The label of a scope in metrics.
pub(crate) fn scope_name(scope: SilenceScope) -> &'static str {
    match scope {
        SilenceScope::Attempt => "attempt",
        SilenceScope::Upstream => "server",
        SilenceScope::Service => "service",
    }
}
