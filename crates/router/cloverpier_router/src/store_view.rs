//! What this router has from the platform's store, and how its calls there go.
//!
//! Owns the configuration in force, whether a list of upstreams was learned since the
//! start, this router's role as a watcher of the store, and whether calls fail at present.
//! A configuration is replaced by a newer version only. What follows from a change is in
//! [`crate::store_events`], the loops that call the store in [`crate::store_sync`].

use crate::configuration_copies::ConfigurationWithCopies;
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::store_watch::{is_fresh, watches_from};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;
use tokio::sync::Notify;

/// Something that is read from the store and watched there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Watched {
    /// The configuration.
    Configuration,
    /// The list of upstreams.
    Upstreams,
}

impl Watched {
    /// Its name in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Upstreams => "servers",
        }
    }
}

/// A loop that reads and watches the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StoreLoop {
    /// Of something that peers hand on, too.
    Of(Watched),
    /// Of the orders of roll-outs, which routers send each other.
    Rollouts,
}

impl StoreLoop {
    /// What it watches, in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Of(watched) => watched.name(),
            Self::Rollouts => "rollouts",
        }
    }
}

/// What is known from the store.
#[derive(Debug)]
pub(crate) struct StoreView {
    configuration: RefCell<Option<Rc<ConfigurationWithCopies>>>,
    /// Whether the list of upstreams was learned since the start.
    has_upstreams: Cell<bool>,
    /// Since when requests can be served.
    serving_since: Cell<Option<Instant>>,
    role: Cell<WatcherRole>,
    last_success: Cell<Option<Instant>>,
    configuration_fails: Cell<bool>,
    upstreams_fail: Cell<bool>,
    rollouts_fail: Cell<bool>,
    pings_fail: Cell<bool>,
    /// Ends watches that a silent store may have swallowed.
    watch_restart: Notify,
    /// Wakes the loops that call the store: the role has changed, or a call succeeded again.
    loop_wake: Notify,
    /// Wakes requests that are held: this router serves, or calls to the store fail.
    held_requests_woken: Notify,
}

impl Default for StoreView {
    fn default() -> Self {
        Self {
            configuration: RefCell::new(None),
            has_upstreams: Cell::new(false),
            serving_since: Cell::new(None),
            // A router that knows no peer watches itself.
            role: Cell::new(WatcherRole::Chosen),
            last_success: Cell::new(None),
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
    /// The configuration in force, once one was learned.
    pub fn configuration(&self) -> Option<Arc<ConfigurationIndex>> {
        let configuration = self.configuration.borrow();
        configuration
            .as_ref()
            .map(|entry| Arc::clone(entry.index()))
    }

    /// The configuration in force with its copies for peers, once one was learned.
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

    /// Whether a list of upstreams was learned since the start.
    pub fn has_upstreams(&self) -> bool {
        self.has_upstreams.get()
    }

    /// Whether requests can be served.
    pub fn is_serving(&self) -> bool {
        self.has_upstreams() && self.configuration.borrow().is_some()
    }

    /// When this router may begin to watch; `None` before it serves.
    pub fn watches_from(&self) -> Option<Instant> {
        self.serving_since.get().map(watches_from)
    }

    /// Records that a list of upstreams was learned.
    pub fn on_upstreams_received(&self, now: Instant) {
        self.has_upstreams.set(true);
        self.on_data_received(now);
    }

    /// Records that configuration or upstreams were learned.
    pub fn on_data_received(&self, now: Instant) {
        if self.is_serving() && self.serving_since.get().is_none() {
            self.serving_since.set(Some(now));
            self.wake_loops();
            self.held_requests_woken.notify_waiters();
        }
    }

    /// Waits until this router serves or calls to the store fail.
    pub async fn held_requests_woken(&self) {
        self.held_requests_woken.notified().await;
    }

    /// This router's role as a watcher of the store.
    pub fn role(&self) -> WatcherRole {
        self.role.get()
    }

    /// When a call to the store last succeeded.
    pub fn last_success(&self) -> Option<Instant> {
        self.last_success.get()
    }

    /// Whether calls or pings fail at present.
    pub fn is_failing(&self) -> bool {
        let watches = [
            &self.configuration_fails,
            &self.upstreams_fail,
            &self.rollouts_fail,
        ];
        watches.iter().any(|fails| fails.get()) || self.pings_fail.get()
    }

    /// Whether the store was reached just now, and no call fails.
    pub fn is_fresh(&self, now: Instant) -> bool {
        !self.is_failing() && self.last_success.get().is_some_and(|at| is_fresh(now, at))
    }

    /// Records a successful call.
    pub fn on_success(&self, now: Instant) {
        self.last_success.set(Some(now));
    }

    /// Has all watches made anew.
    pub fn restart_watches(&self) {
        self.watch_restart.notify_waiters();
    }

    /// Waits until watches are to be made anew.
    pub async fn watches_restarted(&self) {
        self.watch_restart.notified().await;
    }

    /// Has the loops that call the store decide anew.
    pub fn wake_loops(&self) {
        self.loop_wake.notify_waiters();
    }

    /// Waits until the loops that call the store are to decide anew.
    pub async fn loops_woken(&self) {
        self.loop_wake.notified().await;
    }

    /// Replaces the configuration; false where the known one is as new.
    pub fn set_configuration(&self, configuration: ConfigurationWithCopies) -> bool {
        if self.configuration.borrow().is_some()
            && self.configuration_version() >= configuration.index().version()
        {
            return false;
        }
        self.configuration.replace(Some(Rc::new(configuration)));
        true
    }

    /// Records whether the calls of a loop fail; returns whether they did before. Held requests are
    /// woken when they begin to.
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

    /// Takes another role as a watcher; returns the former one.
    pub fn set_role(&self, role: WatcherRole) -> WatcherRole {
        self.role.replace(role)
    }

    fn failing_cell(&self, store_loop: StoreLoop) -> &Cell<bool> {
        match store_loop {
            StoreLoop::Of(Watched::Configuration) => &self.configuration_fails,
            StoreLoop::Of(Watched::Upstreams) => &self.upstreams_fail,
            StoreLoop::Rollouts => &self.rollouts_fail,
        }
    }
}
