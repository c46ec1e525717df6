//! Watches an attempt of a stream that has no event yet, and collects the inputs of the decision whether it stays.
//!
//! `cloverpier_router_policy::first_event_wait` decides; [`crate::wait`] asks when the attempt counts as stalled, and
//! ends it. A [`FirstEventWatch`] owns what was known when the attempt was sent.

use crate::decision_log::{FirstEventOverdue, ms};
use crate::next_attempt::NextAttempt;
use crate::silence;
use cloverpier_router_policy::first_event::FirstEventForecast;
use cloverpier_router_policy::first_event_wait::{
    Elsewhere, FirstEventStep, FirstEventWait, MoveReason, first_check,
};
use cloverpier_router_policy::heartbeat::is_small_fleet;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// An attempt of a stream that has no event yet.
pub(crate) struct FirstEventWatch {
    /// The attempt that would follow.
    pub next: Rc<NextAttempt>,
    /// What was known of the first event when the attempt was sent; `None` at a service without engines.
    pub forecast: Option<FirstEventForecast>,
    /// When the caller's answer is late.
    pub late_at: Instant,
    /// How often the request was moved away from a living upstream before.
    pub moves: u32,
    /// Whether it was logged that the attempt is kept.
    pub was_kept: Cell<bool>,
}

impl FirstEventWatch {
    /// The time after the sending of the attempt at which [`Self::step`] is first asked.
    pub fn first_check(&self, now: Instant) -> Duration {
        let until_late = self.late_at.saturating_duration_since(now);
        first_check(self.predicted(), until_late, self.stall_timeout())
    }

    /// Decides whether the attempt, which has waited so long without an event, goes on.
    pub fn step(&self, waited: Duration, now: Instant) -> FirstEventStep {
        let wait = FirstEventWait {
            waited,
            predicted: self.predicted(),
            elsewhere: self.elsewhere(now),
            until_late: self.late_at.saturating_duration_since(now),
            until_deadline: self.next.request.time_left(now),
            objective: self.next.request.route.objective,
            stall_after: self.stall_timeout(),
            moves: self.moves,
            others_wait: self.next.would_queue(),
        };
        let step = wait.step();
        self.report(&wait, step);
        step
    }

    /// The time to the first event that was predicted when the attempt was sent; `None` if no rate was known.
    pub fn predicted(&self) -> Option<Duration> {
        self.forecast.and_then(|f| f.predicted)
    }

    fn stall_timeout(&self) -> Duration {
        self.next.router.settings().liveness.first_event_stall_after
    }

    /// The engine that would get the next attempt. While all engines that write streams are silent, no other engine is
    /// expected to be sooner.
    fn elsewhere(&self, now: Instant) -> Elsewhere {
        let (router, service) = (&self.next.router, &self.next.request.service.name);
        if silence::is_service_quiet(router, service, &self.next.upstream, now) {
            return Elsewhere::Nowhere;
        }
        match self.next.elsewhere(now) {
            // In a large fleet, peers' reports contain only a part of the load at the other engine.
            Elsewhere::After(_) if !is_small_fleet(router.peers.count()) => Elsewhere::Unpredicted,
            elsewhere => elsewhere,
        }
    }

    /// Counts and logs a move, and that the attempt is kept, once.
    fn report(&self, wait: &FirstEventWait, step: FirstEventStep) {
        let moved = match step {
            FirstEventStep::Move(reason) => Some(reason),
            FirstEventStep::WaitFor(_) if self.was_kept.replace(true) => return,
            FirstEventStep::WaitFor(_) => None,
        };
        let kind = match moved {
            None => "kept",
            Some(MoveReason::InTimeElsewhere) => "moved-in-time",
            Some(MoveReason::MayHang) => "moved-may-hang",
            Some(MoveReason::Unpredicted) => "moved-unpredicted",
        };
        let router = &self.next.router;
        router.metrics.overdue_first_events.count(kind);
        router.log.info(
            "stream.overdue",
            &FirstEventOverdue {
                request: &self.next.request.id,
                upstream: self.next.upstream.as_str(),
                moved,
                waited_ms: ms(wait.waited),
                predicted_ms: wait.predicted.map(ms),
                has_room_elsewhere: wait.elsewhere != Elsewhere::Nowhere,
                elsewhere_ms: match wait.elsewhere {
                    Elsewhere::After(time) => Some(ms(time)),
                    Elsewhere::Nowhere | Elsewhere::Unpredicted => None,
                },
                until_late_ms: ms(wait.until_late),
                until_deadline_ms: ms(wait.until_deadline),
                moves: wait.moves,
            },
        );
    }
}
