//! The data that this router has from the platform's store, and the state of its calls to the store.
//!
//! [`StoreView`] owns the configuration in force, whether a list of upstreams has been received since the
//! start, this router's role as a watcher of the store, and whether its calls fail at present. Only a newer
//! version replaces the configuration. [`crate::store_events`] carries out the consequences of changes, and
//! [`crate::store_sync`] runs the loops that call the store.

use crate::configuration_copies::ConfigurationWithCopies;
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::store_watch::{is_fresh, watches_from};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// A kind of data that routers read from the store, watch there, and fetch from each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WatchedData {
    /// The routes, services, client accounts and limits, which have one common version.
    Configuration,
    /// The list of upstreams.
    Upstreams,
}

impl WatchedData {
    /// The name of the data in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Upstreams => "servers",
        }
    }
}

/// One of the loops that read and watch the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StoreLoop {
    /// The loop for data that routers also fetch from each other.
    Data(WatchedData),
    /// The loop for orders of roll-outs, which routers send each other in datagrams.
    Rollouts,
}

impl StoreLoop {
    /// The name of the watched data in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Data(watched) => watched.name(),
            Self::Rollouts => "rollouts",
        }
    }
}

/// The data from the store, and the state of the calls to it.
#[derive(Debug)]
pub(crate) struct StoreView {
    /// The configuration in force; `None` before the first.
    configuration: RefCell<Option<Rc<ConfigurationWithCopies>>>,
    /// Whether a list of upstreams has been received since the start.
    has_upstreams: Cell<bool>,
    /// When this router first had both a configuration and a list of upstreams; `None` before.
    serving_since: Cell<Option<Instant>>,
    role: Cell<WatcherRole>,
    /// When a call to the store last succeeded; `None` before the first.
    last_success: Cell<Option<Instant>>,
    /// When the store confirmed that the list of upstreams in force was the newest one, at the earliest: the time at
    /// which the answered call was sent. `None` before the first such call.
    list_confirmed_at: Cell<Option<Instant>>,
    /// Since when a newer list of upstreams has been known to exist; `None` if the one in force is the newest known.
    newer_list_known_since: Cell<Option<Instant>>,
    /// Whether this router is about to learn from the store how recent its list is, and which services had several versions
    /// before.
    is_confirming: Cell<bool>,
    /// Wakes lookups that wait for that.
    confirmation_ended: Notify,
    /// Wakes the task that has the store confirm the list.
    confirmation_requested: Notify,
    /// Whether this router or a peer reached the store when the watcher roles were last decided.
    has_contact: Cell<bool>,
    /// Whether this router or a peer has reached the store since the start of this router.
    has_had_contact: Cell<bool>,
    /// Since when neither this router nor a peer has reached the store, after one had; `None` while one does.
    contact_lost_since: Cell<Option<Instant>>,
    /// Whether the last call for the configuration failed, and no ping succeeded since.
    configuration_fails: Cell<bool>,
    /// Whether the last call for the upstreams failed, and no ping succeeded since.
    upstreams_fail: Cell<bool>,
    /// Whether the last call for the orders of roll-outs failed, and no ping succeeded since.
    rollouts_fail: Cell<bool>,
    /// Whether the last ping failed, or is without a response for 150 ms.
    pings_fail: Cell<bool>,
    /// Cancels pending watches, which a store that did not respond may have dropped.
    watch_restart: Notify,
    /// Wakes the loops that call the store when the role has changed, when this router starts to serve, or
    /// when the store responds again.
    loop_wake: Notify,
    /// Wakes the requests that are held during the start, when this router starts to serve or a loop's calls
    /// begin to fail.
    held_requests_woken: Notify,
}

impl Default for StoreView {
    fn default() -> Self {
        Self {
            configuration: RefCell::new(None),
            has_upstreams: Cell::new(false),
            serving_since: Cell::new(None),
            // A router without peers watches the store itself.
            role: Cell::new(WatcherRole::Chosen),
            last_success: Cell::new(None),
            list_confirmed_at: Cell::new(None),
            newer_list_known_since: Cell::new(None),
            is_confirming: Cell::new(false),
            confirmation_ended: Notify::new(),
            confirmation_requested: Notify::new(),
            has_contact: Cell::new(true),
            has_had_contact: Cell::new(false),
            contact_lost_since: Cell::new(None),
            configuration_fails: Cell::new(false),
            upstreams_fail: Cell::new(false),
            rollouts_fail: Cell::new(false),
            pings_fail: Cell::new(false),
            watch_restart: Notify::new(),
            loop_wake: Notify::new(),
            held_requests_woken: Notify::new(),
        }
    }
}

impl StoreView {
    /// The configuration in force; `None` before the first.
    pub fn configuration(&self) -> Option<Arc<ConfigurationIndex>> {
        let configuration = self.configuration.borrow();
        configuration
            .as_ref()
            .map(|entry| Arc::clone(entry.index()))
    }

    /// The configuration in force with its encoded copies for peers; `None` before the first.
    pub fn configuration_with_copies(&self) -> Option<Rc<ConfigurationWithCopies>> {
        self.configuration.borrow().clone()
    }

    /// Version of the configuration in force; 0 before the first.
    pub fn configuration_version(&self) -> u64 {
        let configuration = self.configuration.borrow();
        configuration
            .as_ref()
            .map_or(0, |entry| entry.index().version())
    }

    /// Whether a list of upstreams has been received since the start.
    pub fn has_upstreams(&self) -> bool {
        self.has_upstreams.get()
    }

    /// Whether this router has a configuration and a list of upstreams, and so can serve requests.
    pub fn is_serving(&self) -> bool {
        self.has_upstreams() && self.configuration.borrow().is_some()
    }

    /// When this router may begin to watch the store; `None` before it serves.
    pub fn watches_from(&self) -> Option<Instant> {
        self.serving_since.get().map(watches_from)
    }

    /// Records that a list of upstreams was received, from the store or a peer.
    pub fn on_upstreams_received(&self, now: Instant) {
        self.has_upstreams.set(true);
        self.on_data_received(now);
    }

    /// Records the start of serving, once configuration and upstreams have both been received, and wakes what
    /// waits for it.
    pub fn on_data_received(&self, now: Instant) {
        if self.is_serving() && self.serving_since.get().is_none() {
            self.serving_since.set(Some(now));
            self.wake_loops();
            self.held_requests_woken.notify_waiters();
        }
    }

    /// Waits until this router starts to serve or a loop's calls to the store begin to fail.
    pub async fn held_requests_woken(&self) {
        self.held_requests_woken.notified().await;
    }

    /// This router's role as a watcher of the store.
    pub fn role(&self) -> WatcherRole {
        self.role.get()
    }

    /// When a call to the store last succeeded; `None` before the first.
    pub fn last_success(&self) -> Option<Instant> {
        self.last_success.get()
    }

    /// Whether the last call of any loop or the last ping failed. False while this router does not watch the store: nothing
    /// repeats the call that failed then, so that its failure would count for good.
    pub fn is_failing(&self) -> bool {
        if !self.role().watches() {
            return false;
        }
        let watches = [
            &self.configuration_fails,
            &self.upstreams_fail,
            &self.rollouts_fail,
        ];
        watches.iter().any(|fails| fails.get()) || self.pings_fail.get()
    }

    /// Whether a recent call to the store succeeded and none fails at present.
    pub fn is_fresh(&self, now: Instant) -> bool {
        !self.is_failing() && self.last_success.get().is_some_and(|at| is_fresh(now, at))
    }

    /// Records the time of a successful call or ping.
    pub fn on_success(&self, now: Instant) {
        self.last_success.set(Some(now));
    }

    /// When the store confirmed the list of upstreams in force, at the earliest; `None` before the first confirmation.
    pub fn list_confirmed_at(&self) -> Option<Instant> {
        self.list_confirmed_at.get()
    }

    /// Records that the store has confirmed the list of upstreams in force, in the reply to a call that was sent at `at`.
    pub fn on_list_confirmed(&self, at: Instant) {
        self.list_confirmed_at.set(Some(at));
    }

    /// Since when a newer list of upstreams has been known to exist; `None` if the one in force is the newest known.
    pub fn newer_list_known_since(&self) -> Option<Instant> {
        self.newer_list_known_since.get()
    }

    /// Records since when a newer list is known; `None` once this router has the newest known one.
    pub fn set_newer_list_known_since(&self, since: Option<Instant>) {
        self.newer_list_known_since.set(since);
    }

    /// Requests that the store confirms the list in force.
    pub fn request_confirmation(&self) {
        self.is_confirming.set(true);
        self.confirmation_requested.notify_one();
    }

    /// Waits until a confirmation is requested.
    pub async fn confirmation_requested(&self) {
        self.confirmation_requested.notified().await;
    }

    /// Records that this router is about to learn how recent its list is, or has learned it or failed to.
    pub fn set_confirming(&self, is_confirming: bool) {
        self.is_confirming.set(is_confirming);
        if !is_confirming {
            self.confirmation_ended.notify_waiters();
        }
    }

    /// Whether this router is about to learn how recent its list is.
    pub fn is_confirming(&self) -> bool {
        self.is_confirming.get()
    }

    /// Waits while this router learns how recent its list is; returns at once at any other time.
    pub async fn confirmation_ended(&self) {
        let ended = self.confirmation_ended.notified();
        if self.is_confirming.get() {
            ended.await;
        }
    }

    /// Whether this router or a peer reached the store when the watcher roles were last decided.
    pub fn has_contact(&self) -> bool {
        self.has_contact.get()
    }

    /// Whether this router or a peer has reached the store since the start of this router, and none does any more.
    pub fn has_lost_contact(&self) -> bool {
        self.contact_lost_since.get().is_some()
    }

    /// For how long neither this router nor a peer has reached the store, after one had; `None` while one does.
    pub fn contact_lost_for(&self, now: Instant) -> Option<Duration> {
        let since = self.contact_lost_since.get()?;
        Some(now.saturating_duration_since(since))
    }

    /// Records whether this router or a peer reaches the store; returns whether one did before.
    pub fn set_contact(&self, has_contact: bool, now: Instant) -> bool {
        self.has_had_contact
            .set(self.has_had_contact.get() || has_contact);
        let is_lost = self.has_had_contact.get() && !has_contact;
        // Contact that was there until now is lost from now on.
        let since = self.contact_lost_since.get().unwrap_or(now);
        self.contact_lost_since.set(is_lost.then_some(since));
        self.has_contact.replace(has_contact)
    }

    /// Cancels all pending watches, so that their loops start new ones.
    pub fn restart_watches(&self) {
        self.watch_restart.notify_waiters();
    }

    /// Waits until pending watches are cancelled.
    pub async fn watches_restarted(&self) {
        self.watch_restart.notified().await;
    }

    /// Wakes the loops that call the store, so that they decide again whether to call it.
    pub fn wake_loops(&self) {
        self.loop_wake.notify_waiters();
    }

    /// Waits until the loops that call the store are woken.
    pub async fn loops_woken(&self) {
        self.loop_wake.notified().await;
    }

    /// Replaces the configuration; returns false, and changes nothing, if the one in force is at least as new.
    pub fn set_configuration(&self, configuration: ConfigurationWithCopies) -> bool {
        if self.configuration.borrow().is_some()
            && self.configuration_version() >= configuration.index().version()
        {
            return false;
        }
        self.configuration.replace(Some(Rc::new(configuration)));
        true
    }

    /// Records whether the calls of a loop fail, and returns whether they failed before. Wakes held requests
    /// when the calls begin to fail.
    pub fn set_failing(&self, store_loop: StoreLoop, fails: bool) -> bool {
        let was_failing = self.failing_cell(store_loop).replace(fails);
        if fails && !was_failing {
            self.held_requests_woken.notify_waiters();
        }
        was_failing
    }

    /// Records whether pings fail.
    pub fn set_pings_failing(&self, fails: bool) {
        self.pings_fail.set(fails);
    }

    /// Sets this router's role as a watcher of the store; returns the previous one.
    pub fn set_role(&self, role: WatcherRole) -> WatcherRole {
        self.role.replace(role)
    }

    fn failing_cell(&self, store_loop: StoreLoop) -> &Cell<bool> {
        match store_loop {
            StoreLoop::Data(WatchedData::Configuration) => &self.configuration_fails,
            StoreLoop::Data(WatchedData::Upstreams) => &self.upstreams_fail,
            StoreLoop::Rollouts => &self.rollouts_fail,
        }
    }
}
