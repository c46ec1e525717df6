//! Begins to watch an attempt, and compares its first event with what was predicted when the attempt was sent.
//!
//! These are methods of [`StreamRelay`], which owns the state. The table of upstreams learns the rates of the engines
//! from the first events that are recorded here.

use super::StreamRelay;
use crate::decision_log::{FirstEventObserved, ms};
use crate::first_event_watch::FirstEventWatch;
use crate::next_attempt::NextAttempt;
use crate::silence::SilenceWatch;
use cloverpier_router_policy::first_event::FirstEventForecast;
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::replica::Replica;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

impl StreamRelay {
    /// Begins to watch the first event of an attempt whose load has not been added at its upstream yet.
    pub(super) fn watch_first_event(
        &self,
        demand: &Demand<'_>,
        next: Rc<NextAttempt>,
        upstream: &Upstream,
        from_replica: bool,
    ) -> FirstEventWatch {
        FirstEventWatch {
            next,
            forecast: self.forecast_first_event(demand, upstream, from_replica),
            late_at: self.late_at(),
            moves: self.moves,
            was_kept: Cell::new(false),
        }
    }

    /// What would follow an attempt at `upstream`, whose KV cache is replicated at `replica`.
    pub(super) fn next_attempt(
        &self,
        demand: &Demand<'_>,
        upstream: &Upstream,
        replica: Option<&Upstream>,
    ) -> Rc<NextAttempt> {
        let may_move = self.may_be_sent_again();
        let table = self.router.upstreams.borrow();
        Rc::new(NextAttempt {
            router: Rc::clone(&self.router),
            request: Rc::clone(&self.request),
            upstream: upstream.name.clone(),
            tried: self.tried.with(&upstream.name),
            may_be_sent_again: may_move,
            versions: RefCell::new(Some(demand.versions.clone())),
            isolation_key: demand.suspect_content,
            replica: replica.map(|engine| Replica::begin(&table, engine.clone())),
            may_queue: Cell::new(self.may_wait() && !self.is_resuming()),
            is_stream: true,
        })
    }

    /// Whether the route allows another attempt after the one that is about to be sent.
    fn may_be_sent_again(&self) -> bool {
        let mut attempts = self.attempts.clone();
        attempts.on_send();
        attempts.allows_retry_after(AttemptFailure::Stalled.outcome())
    }

    /// Begins to watch the silence of an attempt.
    pub(super) fn watch_silence(&self, next: &Rc<NextAttempt>) -> SilenceWatch {
        let settings = self.router.settings().liveness;
        let gap_objective = self.request.route.gap_objective;
        SilenceWatch {
            next: Rc::clone(next),
            stall_after: settings.stall_after.max(gap_objective.unwrap_or_default()),
            late_after: gap_objective,
            moves: self.moves,
            was_kept: Cell::new(false),
            probed: RefCell::default(),
        }
    }

    /// When the next event comes late for the caller.
    fn late_at(&self) -> Instant {
        let route = &self.request.route;
        match self.interrupted_since.filter(|_| self.is_resuming()) {
            Some(since) => since + route.gap_objective.unwrap_or(route.objective),
            None => self.request.arrived + route.objective,
        }
    }

    /// The forecast of an attempt; `None` if the upstream is no engine or unknown.
    fn forecast_first_event(
        &self,
        demand: &Demand<'_>,
        upstream: &Upstream,
        from_replica: bool,
    ) -> Option<FirstEventForecast> {
        demand.engine_memory?;
        let table = self.router.upstreams.borrow();
        let engine = table.get(&upstream.name)?;
        let has_read_prompt = from_replica || demand.prompt_location == Some(engine.key);
        let own_tokens = if has_read_prompt {
            0
        } else {
            demand.load.unread_tokens
        };
        let forecast = FirstEventForecast::of_attempt(&table, demand, engine, own_tokens);
        Some(forecast)
    }

    /// Records the first event of the current attempt before it counts as progress; does nothing after it. Attempts
    /// that continue a stream are not recorded: their engines may have read the prompt, or read events besides.
    pub(super) fn observe_first_event(&self, now: Instant) {
        let Some(current) = self.current.as_ref() else {
            return;
        };
        let is_new = self.request.last_event.is_none() && !self.is_resuming();
        let forecast = current.first_event.as_ref().and_then(|w| w.forecast);
        let Some(forecast) = forecast.filter(|_| is_new) else {
            return;
        };
        let took = now.saturating_duration_since(current.last_event_at);
        let mut table = self.router.upstreams.borrow_mut();
        table.on_first_event(&current.upstream.name, forecast.sample(took), now);
        drop(table);
        if let Some(predicted) = forecast.predicted {
            self.report_first_event(&current.upstream, &forecast, predicted, took);
        }
    }

    fn report_first_event(
        &self,
        upstream: &Upstream,
        forecast: &FirstEventForecast,
        predicted: Duration,
        took: Duration,
    ) {
        let kind = if took > predicted { "late" } else { "early" };
        let error = took.abs_diff(predicted);
        let router = &self.router;
        router.metrics.first_event_error.observe(kind, error);
        router.log.info(
            "stream.first_event",
            &FirstEventObserved {
                request: &self.request.id,
                upstream: upstream.name.as_str(),
                predicted_ms: ms(predicted),
                observed_ms: ms(took),
                own_tokens: forecast.own_tokens,
                tokens_ahead: forecast.tokens_ahead,
                pace: forecast.pace,
            },
        );
    }
}
