//! What this router has from the platform's store, and how its calls there go.
//!
//! Owns the configuration in force, whether a list of upstreams was learned since the
//! start, this router's role as a watcher of the store, and whether calls fail at present.
//! A configuration is replaced by a newer version only. What follows from a change is in
//! [`crate::store_events`], the loops that call the store in [`crate::store_sync`].

use crate::configuration_copies::HeldConfiguration;
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
    configuration: RefCell<Option<Rc<HeldConfiguration>>>,
    /// Whether the list of upstreams was learned since the start.
    upstreams_known: Cell<bool>,
    /// Since when requests can be served.
    serving_since: Cell<Option<Instant>>,
    role: Cell<WatcherRole>,
    last_success: Cell<Option<Instant>>,
    configuration_fails: Cell<bool>,
    upstreams_fail: Cell<bool>,
    rollouts_fail: Cell<bool>,
    pings_fail: Cell<bool>,
    /// Ends watches that a silent store may have swallowed.
    watch_again: Notify,
    /// Wakes the loops that call the store: the role has changed, or a call succeeded again.
    role_changed: Notify,
    /// Wakes requests that are held: this router serves, or calls to the store fail.
    start_changed: Notify,
}

impl Default for StoreView {
    fn default() -> Self {
        Self {
            configuration: RefCell::new(None),
            upstreams_known: Cell::new(false),
            serving_since: Cell::new(None),
            // A router that knows no peer watches itself.
            role: Cell::new(WatcherRole::Chosen),
            last_success: Cell::new(None),
            configuration_fails: Cell::new(false),
            upstreams_fail: Cell::new(false),
            rollouts_fail: Cell::new(false),
            pings_fail: Cell::new(false),
            watch_again: Notify::new(),
            role_changed: Notify::new(),
            start_changed: Notify::new(),
        }
    }
}

impl StoreView {
    /// The configuration in force, once one was learned.
    pub fn configuration(&self) -> Option<Arc<ConfigurationIndex>> {
        let held = self.configuration.borrow();
        held.as_ref().map(|held| Arc::clone(held.configuration()))
    }

    /// The configuration in force with its copies for peers, once one was learned.
    pub fn held_configuration(&self) -> Option<Rc<HeldConfiguration>> {
        self.configuration.borrow().clone()
    }

    /// Version of the configuration in force; 0 before the first.
    pub fn configuration_version(&self) -> u64 {
        let configuration = self.configuration.borrow();
        configuration
            .as_ref()
            .map_or(0, |held| held.configuration().version())
    }

    /// Whether a list of upstreams was learned since the start.
    pub fn knows_upstreams(&self) -> bool {
        self.upstreams_known.get()
    }

    /// Whether requests can be served.
    pub fn is_serving(&self) -> bool {
        self.knows_upstreams() && self.configuration.borrow().is_some()
    }

    /// When this router may begin to watch; `None` before it serves.
    pub fn watches_from(&self) -> Option<Instant> {
        self.serving_since.get().map(watches_from)
    }

    /// Records that a list of upstreams was learned.
    pub fn on_upstreams_learned(&self, now: Instant) {
        self.upstreams_known.set(true);
        self.on_learned(now);
    }

    /// Records that configuration or upstreams were learned.
    pub fn on_learned(&self, now: Instant) {
        if self.is_serving() && self.serving_since.get().is_none() {
            self.serving_since.set(Some(now));
            self.wake_loops();
            self.start_changed.notify_waiters();
        }
    }

    /// Waits until this router serves or calls to the store fail.
    pub async fn start_changed(&self) {
        self.start_changed.notified().await;
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
    pub fn fails(&self) -> bool {
        let watches = [
            &self.configuration_fails,
            &self.upstreams_fail,
            &self.rollouts_fail,
        ];
        watches.iter().any(|fails| fails.get()) || self.pings_fail.get()
    }

    /// Whether the store was reached just now, and no call fails.
    pub fn is_fresh(&self, now: Instant) -> bool {
        !self.fails() && self.last_success.get().is_some_and(|at| is_fresh(now, at))
    }

    /// Records a successful call.
    pub fn on_success(&self, now: Instant) {
        self.last_success.set(Some(now));
    }

    /// Has all watches made anew.
    pub fn end_watches(&self) {
        self.watch_again.notify_waiters();
    }

    /// Waits until watches are to be made anew.
    pub async fn watch_ended(&self) {
        self.watch_again.notified().await;
    }

    /// Has the loops that call the store decide anew.
    pub fn wake_loops(&self) {
        self.role_changed.notify_waiters();
    }

    /// Waits until the loops that call the store are to decide anew.
    pub async fn loops_woken(&self) {
        self.role_changed.notified().await;
    }

    /// Replaces the configuration; false where the known one is as new.
    pub fn set_configuration(&self, held: HeldConfiguration) -> bool {
        if self.configuration.borrow().is_some()
            && self.configuration_version() >= held.configuration().version()
        {
            return false;
        }
        self.configuration.replace(Some(Rc::new(held)));
        true
    }

    /// Records whether the calls of a loop fail; returns whether they did before. Held requests are
    /// woken when they begin to.
    pub fn set_fails(&self, store_loop: StoreLoop, fails: bool) -> bool {
        let failed = self.fails_cell(store_loop).replace(fails);
        if fails && !failed {
            self.start_changed.notify_waiters();
        }
        failed
    }

    /// Records whether pings fail.
    pub fn set_pings_fail(&self, fails: bool) {
        self.pings_fail.set(fails);
    }

    /// Takes another role as a watcher; returns the former one.
    pub fn set_role(&self, role: WatcherRole) -> WatcherRole {
        self.role.replace(role)
    }

    fn fails_cell(&self, store_loop: StoreLoop) -> &Cell<bool> {
        match store_loop {
            StoreLoop::Of(Watched::Configuration) => &self.configuration_fails,
            StoreLoop::Of(Watched::Upstreams) => &self.upstreams_fail,
            StoreLoop::Rollouts => &self.rollouts_fail,
        }
    }
}
