//! Makes a stream wait until it is its turn to be sent to an engine.
//!
//! These are methods of [`StreamRelay`], which owns the state. [`crate::admission`] holds the queue;
//! `cloverpier_router_policy::admission` decides which streams wait, for how long, and whose turn it is.

use super::StreamRelay;
use crate::admission::{AdmissionState, InFlightStream, RoomSeen, WaitingPlace, room_for};
use crate::decision_log::{StreamAdmitted, StreamWaiting, ms, ms_since};
use crate::outcome::RequestFailure;
use cloverpier_router_policy::admission::wait::{decide_wait, resumed_wait};
use cloverpier_router_policy::admission::{AccountKey, WaitDecision, WaitInputs, WaitingStream};
use cloverpier_router_policy::prelude::*;
use std::time::{Duration, Instant};

/// Why a stream no longer waits.
enum WaitEnd {
    /// It is its turn.
    Turn,
    /// The time for which it may wait is over.
    TimeOver,
    /// This router shuts down.
    ShuttingDown,
}

impl StreamRelay {
    /// Whether the stream waits when engines have no room. It does if the service's streams are ordered.
    pub(super) fn may_wait(&self) -> bool {
        let table = self.router.upstreams.borrow();
        table
            .first_event_bound(&self.request.service.name)
            .is_some()
    }

    /// Whether the next attempt may go to an engine without room: the caller has a part of the stream, and either the
    /// stream's turn did not come soon enough or streams are not ordered.
    pub(super) fn may_overcommit(&self) -> bool {
        self.is_resuming() && (self.skips_turn || !self.may_wait())
    }

    /// Whether the stream waits before it looks for an engine, because others wait that go before it. A stream in
    /// progress looks for one at once, as its replica may have room, and so does one that left its engine for another
    /// with room.
    pub(super) fn goes_behind_others(&self) -> bool {
        if self.is_resuming() || self.has_left_upstream || !self.may_wait() {
            return false;
        }
        let now = self.router.now();
        let admission = &self.router.admission;
        let (queue, peers) = (admission.queue.borrow(), admission.peers.borrow());
        queue.must_wait(&self.waiting_stream(now), &peers, || self.room().deal(now))
    }

    /// Waits until it is the stream's turn, or until a stream in progress overcommits an engine. `place` is the stream's
    /// place in the queue; `None` if it has none yet.
    pub(super) async fn wait_for_turn(
        &mut self,
        place: &mut Option<WaitingPlace>,
    ) -> Result<(), RequestFailure> {
        self.in_flight = None;
        let now = self.router.now();
        if let Some(place) = place {
            let mut queue = self.router.admission.queue.borrow_mut();
            queue.on_failed_turn(place.ticket, now);
        }
        let place = match place {
            Some(place) => place,
            None => place.insert(self.join_queue(now)?),
        };
        let request = std::rc::Rc::clone(&self.request);
        let waiting = self.wait_at(place);
        let end = request.cancel.run_unless_cancelled(waiting).await;
        let end = end.ok_or_else(RequestFailure::content_blocked)?;
        self.on_wait_ended(end)
    }

    async fn wait_at(&self, place: &WaitingPlace) -> WaitEnd {
        let router = &self.router;
        if router.lifecycle.is_shutting_down() {
            return WaitEnd::ShuttingDown;
        }
        tokio::select! {
            () = place.turn.notified() => {}
            () = router.timers.sleep_until(place.until) => return WaitEnd::TimeOver,
        }
        if router.lifecycle.is_shutting_down() {
            return WaitEnd::ShuttingDown;
        }
        WaitEnd::Turn
    }

    fn on_wait_ended(&mut self, end: WaitEnd) -> Result<(), RequestFailure> {
        let counter = &self.router.metrics.admission;
        let reason = match end {
            WaitEnd::Turn => return Ok(()),
            WaitEnd::TimeOver | WaitEnd::ShuttingDown if self.is_resuming() => {
                counter.count("overcommitted");
                self.skips_turn = true;
                return Ok(());
            }
            WaitEnd::TimeOver => {
                counter.count("timed-out");
                NoUpstream::NoTurn { retry_after: None }
            }
            WaitEnd::ShuttingDown => {
                counter.count("stopped");
                NoUpstream::Stopping
            }
        };
        Err(RequestFailure::without_upstream(&self.attempts, reason))
    }

    /// Adds the stream to the queue, unless it can't wait.
    fn join_queue(&self, now: Instant) -> Result<WaitingPlace, RequestFailure> {
        let stream = self.waiting_stream(now);
        let seen = self.room();
        let ahead = self.ahead_of(&stream);
        let until = match self.decide(now, seen, ahead) {
            WaitDecision::Wait { until } => until,
            WaitDecision::Refuse { retry_after } => {
                self.router.metrics.admission.count("refused");
                let reason = NoUpstream::NoTurn { retry_after };
                return Err(RequestFailure::without_upstream(&self.attempts, reason));
            }
        };
        self.router.metrics.admission.count("waiting");
        self.log_waiting(&stream, seen, ahead, until.saturating_duration_since(now));
        Ok(AdmissionState::join(&self.router, stream, until))
    }

    fn decide(&self, now: Instant, seen: RoomSeen, ahead: u32) -> WaitDecision {
        if self.is_resuming() {
            let until = now + self.wait_before_overcommit(now);
            return WaitDecision::Wait { until };
        }
        let admission = &self.router.admission;
        decide_wait(&WaitInputs {
            now,
            arrived: self.request.arrived,
            deadline: self.request.deadline,
            max_wait: self.router.settings().admission.max_wait,
            duration: admission.mean_duration(&self.request.service.name),
            ahead,
            room: seen.room,
            in_flight: seen.in_flight,
            waiting_here: admission.queue.borrow().len(),
        })
    }

    /// How long a stream in progress waits for room.
    fn wait_before_overcommit(&self, now: Instant) -> Duration {
        let since = self.interrupted_since.unwrap_or(now);
        let table = self.router.upstreams.borrow();
        let prompt = self.request.load().unread_tokens;
        let service = &self.request.service.name;
        let reading = table.prompt_rates.reading_time(service, prompt, 1.0);
        let interrupted = now.saturating_duration_since(since);
        resumed_wait(self.request.route.gap_objective, interrupted, reading)
    }

    /// Number of streams that go before a stream that joins the queue, over all routers.
    fn ahead_of(&self, stream: &WaitingStream) -> u32 {
        let admission = &self.router.admission;
        let own = admission.queue.borrow().demand(&stream.service);
        let key = ServiceKey::of(&stream.service);
        let fleet = admission.peers.borrow().fleet_demand(key, &own);
        let seen = self.room();
        let is_beyond = seen.shares(&fleet).fraction_within(stream.account) < 1.0;
        fleet.waiting_up_to(stream.rank(is_beyond))
    }

    fn room(&self) -> RoomSeen {
        let service = &self.request.service.name;
        let memory = self.request.engine_memory().unwrap_or_default();
        room_for(&self.router, service, self.request.load(), memory)
    }

    fn account_key(&self) -> Option<AccountKey> {
        let account = self.request.account.as_ref();
        account.map(|account| AccountKey::of(&account.name))
    }

    fn waiting_stream(&self, now: Instant) -> WaitingStream {
        WaitingStream {
            service: self.request.service.name.clone(),
            arrived: self.request.arrived,
            is_resumed: self.last_event.is_some(),
            priority: self.request.priority,
            objective: self.request.route.objective,
            load: self.request.load(),
            engine_memory: self.request.engine_memory().unwrap_or_default(),
            account: self.account_key(),
            failed_turns: 0,
            not_before: now,
        }
    }

    /// Records that an upstream was found, for a stream that may have waited at a place.
    pub(super) fn on_admitted(&mut self, place: Option<WaitingPlace>) {
        if !self.may_wait() {
            return;
        }
        if let Some(place) = place {
            self.log_admitted(&place);
        }
        let (router, service) = (&self.router, &self.request.service.name);
        let account = self.account_key();
        self.in_flight = account.map(|account| InFlightStream::begin(router, service, account));
        self.skips_turn = false;
    }

    /// Records the time from sending the stream to its last event, by which the wait of others is predicted.
    pub(super) fn record_service_time(&self) {
        if self.attempts.sent() == 1 && self.may_wait() {
            let took = self
                .router
                .now()
                .saturating_duration_since(self.attempt_started_at);
            let service = &self.request.service.name;
            self.router.admission.on_completed(service, took);
        }
    }

    fn log_waiting(&self, stream: &WaitingStream, seen: RoomSeen, ahead: u32, wait: Duration) {
        let admission = &self.router.admission;
        let now = self.router.now();
        let key = ServiceKey::of(&stream.service);
        let oldest = admission.peers.borrow().oldest(key, now);
        let line = StreamWaiting {
            request: &self.request.id,
            service: stream.service.as_str(),
            account: self.request.account.as_ref().map_or("", |a| &a.name),
            rank: stream.rank(false),
            room: seen.room,
            in_flight: seen.in_flight,
            ahead,
            waiting_here: admission.queue.borrow().len(),
            oldest_report_ms: oldest.map(ms),
            waits_for_ms: ms(wait),
        };
        self.router.log.info("stream.waiting", &line);
    }

    fn log_admitted(&self, place: &WaitingPlace) {
        self.router.metrics.admission.count("sent");
        let line = StreamAdmitted {
            request: &self.request.id,
            rank: self.router.admission.queue.borrow().rank(place.ticket),
            waited_ms: ms_since(place.joined_at, self.router.now()),
            room: self.room().room,
            overcommits: self.skips_turn,
        };
        self.router.log.info("stream.admitted", &line);
    }
}
