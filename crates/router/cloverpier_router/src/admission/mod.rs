//! The streams that wait at this router for engines, and the reports about those that wait at others.
//!
//! [`AdmissionState`] owns the queue, the reports of peers and the durations of completed streams. `stream/turn` makes
//! streams wait; [`give_turns`] wakes those whose turn has come; [`reports`] tells peers.
//! `cloverpier_router_policy::admission` decides.

mod reports;
mod room;

pub(crate) use reports::on_report;
pub(crate) use room::{RoomSeen, room_for};

use crate::decision_log::{TurnsGiven, ms};
use crate::router::Router;
use cloverpier_core::ServiceName;
use cloverpier_router_policy::admission::turns::TURN_INTERVAL;
use cloverpier_router_policy::admission::{
    AccountKey, DemandReports, StreamDuration, Ticket, WaitingQueue, WaitingStream,
};
use cloverpier_router_policy::prelude::*;
use cloverpier_settings::AdmissionOrder;
use reports::Reporter;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// How long a router continues its turns and reports after the last stream has waited at it or a peer.
const LINGER: Duration = Duration::from_millis(300);

/// The state of admission at this router.
#[derive(Debug, Default)]
pub(crate) struct AdmissionState {
    /// The waiting streams, and those in flight by account.
    pub queue: RefCell<WaitingQueue>,
    /// The last reports of peers.
    pub peers: RefCell<DemandReports>,
    durations: RefCell<HashMap<ServiceName, StreamDuration>>,
    /// Wake the waiting streams.
    turns: RefCell<HashMap<Ticket, Rc<Notify>>>,
    /// Wakes the loop that gives turns, when a stream waits here or at a peer.
    woken: Notify,
    /// When a stream last waited here or at a peer; `None` before the first.
    last_waited_at: Cell<Option<Instant>>,
}

impl AdmissionState {
    /// Adds a waiting stream and returns its place.
    pub fn join(router: &Rc<Router>, stream: WaitingStream, until: Instant) -> WaitingPlace {
        let state = &router.admission;
        let ticket = state.queue.borrow_mut().join(stream);
        let turn = Rc::new(Notify::new());
        state.turns.borrow_mut().insert(ticket, Rc::clone(&turn));
        state.woken.notify_one();
        WaitingPlace {
            router: Rc::clone(router),
            ticket,
            turn,
            joined_at: router.now(),
            until,
        }
    }

    /// Wakes the loop that gives turns, because streams wait at a peer.
    pub fn on_waiting_elsewhere(&self) {
        self.woken.notify_one();
    }

    /// Wakes all waiting streams, because the shutdown has begun.
    pub fn wake_all(&self) {
        for turn in self.turns.borrow().values() {
            turn.notify_one();
        }
    }

    /// Records the time from sending a stream to its last event.
    pub fn on_completed(&self, service: &ServiceName, took: Duration) {
        let mut durations = self.durations.borrow_mut();
        durations
            .entry(service.clone())
            .or_default()
            .on_completed(took);
    }

    /// The mean time from sending a stream of the service to its last event; `None` before the first.
    pub fn mean_duration(&self, service: &ServiceName) -> Option<Duration> {
        self.durations.borrow().get(service)?.mean()
    }

    /// Whether a stream waits for the service here or at a peer.
    pub fn any_waiting(&self, service: &ServiceName) -> bool {
        let waits_here = self.queue.borrow().first(service).is_some();
        waits_here || self.peers.borrow().any_waiting(ServiceKey::of(service))
    }

    /// Whether a stream waits here or at a peer, or did a moment ago.
    fn is_active(&self, now: Instant) -> bool {
        let waits = !self.queue.borrow().is_empty()
            || !self.peers.borrow().services_with_waiting().is_empty();
        if waits {
            self.last_waited_at.set(Some(now));
        }
        let last = self.last_waited_at.get();
        last.is_some_and(|at| now.saturating_duration_since(at) <= LINGER)
    }
}

/// The place of a waiting stream. Dropping it removes the stream from the queue.
pub(crate) struct WaitingPlace {
    router: Rc<Router>,
    /// Identifies the stream in the queue.
    pub ticket: Ticket,
    /// Wakes the stream at its turn and at the shutdown.
    pub turn: Rc<Notify>,
    /// When the stream began to wait.
    pub joined_at: Instant,
    /// When the stream no longer waits.
    pub until: Instant,
}

impl Drop for WaitingPlace {
    fn drop(&mut self) {
        let state = &self.router.admission;
        state.queue.borrow_mut().leave(self.ticket);
        state.turns.borrow_mut().remove(&self.ticket);
        let waited = self.router.now().saturating_duration_since(self.joined_at);
        self.router.metrics.admission_wait.observe(waited);
    }
}

/// Counts a stream of a client account as in flight until it is dropped.
pub(crate) struct InFlightStream {
    router: Rc<Router>,
    service: ServiceName,
    account: AccountKey,
}

impl InFlightStream {
    /// Counts a stream that is about to be sent.
    pub fn begin(router: &Rc<Router>, service: &ServiceName, account: AccountKey) -> Self {
        router
            .admission
            .queue
            .borrow_mut()
            .on_sent(service, account);
        Self {
            router: Rc::clone(router),
            service: service.clone(),
            account,
        }
    }
}

impl Drop for InFlightStream {
    fn drop(&mut self) {
        let mut queue = self.router.admission.queue.borrow_mut();
        queue.on_ended(&self.service, self.account);
    }
}

/// Sets the bounds on the first event of new streams by the configuration and the settings in force. Without bounds,
/// streams are sent as they come.
pub(crate) fn update_bounds(router: &Router) {
    let is_ordered = router.settings().admission.order == AdmissionOrder::Ordered;
    let configuration = router.store.configuration().filter(|_| is_ordered);
    let bounds = configuration.map(|c| c.first_event_bounds());
    let mut table = router.upstreams.borrow_mut();
    table.set_first_event_bounds(bounds.unwrap_or_default());
}

/// Gives turns to the streams that wait here, and reports to peers, while streams wait anywhere. Runs until the process
/// exits.
pub(crate) async fn give_turns(router: Rc<Router>) {
    let mut reporter = Reporter::default();
    loop {
        router.admission.woken.notified().await;
        reporter.send_if_due(&router);
        let phase = router.rng.borrow_mut().f64();
        router.timers.sleep(TURN_INTERVAL.mul_f64(phase)).await;
        while router.admission.is_active(router.now()) {
            give_turns_now(&router);
            reporter.send_if_due(&router);
            router.timers.sleep(TURN_INTERVAL).await;
        }
    }
}

/// Gives one turn of each service, by the reports that are still valid.
fn give_turns_now(router: &Router) {
    let state = &router.admission;
    let interval = router.settings().heartbeat;
    let mut peers = state.peers.borrow_mut();
    peers.remove_expired(interval, router.now());
    drop(peers);
    let services = state.queue.borrow().services();
    for service in services {
        give_turns_at(router, &service);
    }
}

/// Wakes the streams of a service whose turn has come.
fn give_turns_at(router: &Router, service: &ServiceName) {
    let state = &router.admission;
    let first = state.queue.borrow().first(service).cloned();
    let Some(first) = first else { return };
    let seen = room_for(router, service, first.load, first.engine_memory);
    let mut queue = state.queue.borrow_mut();
    let (peers, mut rng) = (state.peers.borrow(), router.rng.borrow_mut());
    let tickets = queue.turns(service, &peers, &seen.deal(router.now()), &mut rng);
    let turns = state.turns.borrow();
    for turn in tickets.iter().filter_map(|ticket| turns.get(ticket)) {
        turn.notify_one();
    }
    if tickets.is_empty() {
        return;
    }
    let (key, own) = (ServiceKey::of(service), queue.demand(service));
    let fleet = peers.fleet_demand(key, &own);
    let line = TurnsGiven {
        service: service.as_str(),
        turns: tickets.len(),
        waiting_here: own.total_waiting(),
        waiting: fleet.total_waiting(),
        room: seen.room,
        in_flight: seen.in_flight,
        beyond_share: seen.shares(&fleet).beyond(),
        oldest_report_ms: peers.oldest(key, router.now()).map(ms),
    };
    router.log.debug("turns.given", &line);
}
