//! Signs of life of each upstream, shared by everything that waits for it.
//!
//! Owns, for each upstream, the moment of its last activity on any connection, the probe
//! under way, and the signal that it was declared dead. A dead upstream's entry is replaced,
//! so that tasks that wait on the old one see its verdict and new ones begin afresh.

use crate::http_client::HttpClient;
use cloverpier_core::UpstreamName;
use cloverpier_router_policy::prelude::Upstream;
use cloverpier_router_policy::suspicion::PROBE_CONNECT_TIMEOUT;
use cloverpier_timers::Timers;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;
use tokio::sync::Notify;

/// Signs of life of one upstream.
#[derive(Debug)]
pub(crate) struct UpstreamHealth {
    /// When anything arrived from it last.
    pub last_activity: Cell<Instant>,
    /// When part of an answer of its own arrived last; `None` before the first. Another process
    /// at its address has no part in it, unlike in the last activity.
    pub last_own_answer: Cell<Option<Instant>>,
    /// Since when a probe is under way.
    pub probing_since: Cell<Option<Instant>>,
    /// Whether one waits for a permit, as the upstream limits itself.
    pub probe_waits: Cell<bool>,
    is_dead: Cell<bool>,
    /// Whether it began as the upstream's host had no process any more, and it is not known yet that the next
    /// one has started: whatever it waits for is there.
    pub is_of_next_start: Cell<bool>,
    /// Wakes the waiting tasks when the upstream is declared dead.
    pub declared_dead: Notify,
    /// Carries probes and searches, over a connection of their own.
    pub client: HttpClient,
}

impl UpstreamHealth {
    fn new(upstream: &Upstream, timers: &Timers, now: Instant) -> Self {
        Self {
            client: HttpClient::new(upstream.address, PROBE_CONNECT_TIMEOUT, timers.clone()),
            last_activity: Cell::new(now),
            last_own_answer: Cell::new(None),
            probing_since: Cell::new(None),
            probe_waits: Cell::new(false),
            is_dead: Cell::new(false),
            is_of_next_start: Cell::new(false),
            declared_dead: Notify::new(),
        }
    }

    /// Records that something arrived from the upstream.
    pub fn on_activity(&self, now: Instant) {
        self.last_activity.set(now);
    }

    /// Records that part of an answer of the upstream itself arrived.
    pub fn on_own_answer(&self, now: Instant) {
        self.last_own_answer.set(Some(now));
    }

    /// Whether it was declared dead: requests there are lost.
    pub fn is_dead(&self) -> bool {
        self.is_dead.get()
    }

    /// Declares it dead to all who wait for it.
    pub fn on_dead(&self) {
        self.is_dead.set(true);
        self.declared_dead.notify_waiters();
    }
}

/// The health of all upstreams.
#[derive(Debug)]
pub(crate) struct HealthTable {
    timers: Timers,
    by_upstream: RefCell<HashMap<UpstreamName, Rc<UpstreamHealth>>>,
}

impl HealthTable {
    /// An empty table, whose clients wait by these timers.
    pub fn new(timers: Timers) -> Self {
        Self {
            timers,
            by_upstream: RefCell::default(),
        }
    }

    /// The health of an upstream.
    pub fn of(&self, upstream: &Upstream, now: Instant) -> Rc<UpstreamHealth> {
        let mut table = self.by_upstream.borrow_mut();
        let health = table.entry(upstream.name.clone());
        let new = || Rc::new(UpstreamHealth::new(upstream, &self.timers, now));
        Rc::clone(health.or_insert_with(new))
    }

    /// Gives an upstream a new entry, as after it was declared dead; returns it.
    pub fn renew(&self, upstream: &Upstream, now: Instant) -> Rc<UpstreamHealth> {
        let health = Rc::new(UpstreamHealth::new(upstream, &self.timers, now));
        let mut table = self.by_upstream.borrow_mut();
        let former = table.get(&upstream.name);
        let last_own_answer = former.and_then(|h| h.last_own_answer.get());
        health.last_own_answer.set(last_own_answer);
        table.insert(upstream.name.clone(), Rc::clone(&health));
        health
    }

    /// Forgets upstreams that are not known any more and that nobody waits for.
    pub fn retain(&self, is_known: impl Fn(&UpstreamName) -> bool) {
        let mut table = self.by_upstream.borrow_mut();
        table.retain(|name, health| Rc::strong_count(health) > 1 || is_known(name));
    }
}
