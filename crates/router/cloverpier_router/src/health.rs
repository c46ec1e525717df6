//! The observed activity of each upstream, shared by all tasks that wait for the upstream.
//!
//! Owns, for each upstream, the time of its last activity on any connection, the state of its probe, and the signal
//! that it was declared dead. When an upstream is declared dead or has restarted, its entry is replaced: attempts
//! that use the old entry fail, and new attempts use a new entry that is not marked as dead.

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

/// The observed activity of one upstream.
#[derive(Debug)]
pub(crate) struct UpstreamHealth {
    /// When data or a connection error last arrived from the upstream's address, on any connection, or a request
    /// was last sent there; at first, when the entry was created.
    pub last_activity: Cell<Instant>,
    /// When a part of a valid response of the upstream itself last arrived; `None` before the first. Unlike
    /// `last_activity`, responses of another process at the same address do not count.
    pub last_own_response: Cell<Option<Instant>>,
    /// When the probe in flight was sent, or the first one if it is a repetition; `None` without a probe.
    pub probing_since: Cell<Option<Instant>>,
    /// Whether a probe waits for a permit, because the upstream limits its request rate.
    pub probe_awaits_permit: Cell<bool>,
    is_dead: Cell<bool>,
    /// Whether the entry was created when no process listened at the upstream's address any more, and the next
    /// incarnation has not been recorded yet. All requests that use the entry go to the next incarnation, so they
    /// continue when it is recorded.
    pub is_for_next_incarnation: Cell<bool>,
    /// Notifies the waiting tasks when the upstream is declared dead or has restarted.
    pub declared_dead: Notify,
    /// Sends probes, over a connection that no request uses.
    pub client: HttpClient,
}

impl UpstreamHealth {
    fn new(upstream: &Upstream, timers: &Timers, now: Instant) -> Self {
        Self {
            client: HttpClient::new(upstream.address, PROBE_CONNECT_TIMEOUT, timers.clone()),
            last_activity: Cell::new(now),
            last_own_response: Cell::new(None),
            probing_since: Cell::new(None),
            probe_awaits_permit: Cell::new(false),
            is_dead: Cell::new(false),
            is_for_next_incarnation: Cell::new(false),
            declared_dead: Notify::new(),
        }
    }

    /// Records that data arrived from the upstream's address, or that a request is sent there.
    pub fn on_activity(&self, now: Instant) {
        self.last_activity.set(now);
    }

    /// Records that a part of a valid response of the upstream itself arrived.
    pub fn on_own_response(&self, now: Instant) {
        self.last_own_response.set(Some(now));
    }

    /// Whether the upstream was declared dead or has restarted since this entry was created. Attempts that still
    /// use the entry have failed.
    pub fn is_dead(&self) -> bool {
        self.is_dead.get()
    }

    /// Marks the upstream as dead, and wakes all tasks that wait with this entry.
    pub fn mark_dead(&self) {
        self.is_dead.set(true);
        self.declared_dead.notify_waiters();
    }
}

/// The observed activity of all upstreams.
#[derive(Debug)]
pub(crate) struct HealthTable {
    timers: Timers,
    by_upstream: RefCell<HashMap<UpstreamName, Rc<UpstreamHealth>>>,
}

impl HealthTable {
    /// An empty table. The clients that send probes use `timers` for their timeouts.
    pub fn new(timers: Timers) -> Self {
        Self {
            timers,
            by_upstream: RefCell::default(),
        }
    }

    /// The entry of an upstream. A missing entry is created, with `now` as the time of the last activity.
    pub fn of(&self, upstream: &Upstream, now: Instant) -> Rc<UpstreamHealth> {
        let mut table = self.by_upstream.borrow_mut();
        let health = table.entry(upstream.name.clone());
        let new = || Rc::new(UpstreamHealth::new(upstream, &self.timers, now));
        Rc::clone(health.or_insert_with(new))
    }

    /// Replaces the entry of an upstream that was declared dead or has restarted, and returns the new entry. The
    /// time of the last own response is kept.
    pub fn replace_entry(&self, upstream: &Upstream, now: Instant) -> Rc<UpstreamHealth> {
        let health = Rc::new(UpstreamHealth::new(upstream, &self.timers, now));
        let mut table = self.by_upstream.borrow_mut();
        let previous = table.get(&upstream.name);
        let last_own_response = previous.and_then(|h| h.last_own_response.get());
        health.last_own_response.set(last_own_response);
        table.insert(upstream.name.clone(), Rc::clone(&health));
        health
    }

    /// Removes the entries for which `is_known` returns false and that no task uses.
    pub fn retain(&self, is_known: impl Fn(&UpstreamName) -> bool) {
        let mut table = self.by_upstream.borrow_mut();
        table.retain(|name, health| Rc::strong_count(health) > 1 || is_known(name));
    }
}
