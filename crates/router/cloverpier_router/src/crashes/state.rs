//! What this router knows of requests that end upstreams, and which requests are under way.
//! The other modules here learn it and act by it. Owns both.

use crate::relay_request::RelayRequest;
use cloverpier_crashes::prelude::*;
use cloverpier_settings::CrashSettings;
use std::cell::{Cell, RefCell};
use std::rc::Weak;
use std::time::Instant;
use tokio::sync::Notify;

/// What this router knows of requests that end upstreams.
#[derive(Debug)]
pub(crate) struct Crashes {
    pub cases: RefCell<CrashTracker>,
    /// Requests under way, and some that have ended.
    pub in_flight: RefCell<Vec<Weak<RelayRequest>>>,
    /// When something about a content was learned last that peers should know.
    pub last_report: Cell<Option<Instant>>,
    /// Wakes the loop that judges, and requests that wait for a judgement.
    pub changed: Notify,
    /// Wakes requests that wait for another's attempt. Apart from the above, as attempts begin and end
    /// with each request.
    pub turns: Notify,
}

impl Crashes {
    /// Knows of no end yet.
    pub fn new(settings: &CrashSettings) -> Self {
        let mut cases = CrashTracker::new(settings.limit, CrashTimestamp::ProcessStart);
        let cleared = settings.cleared.clone();
        cases.registry.configure(settings.limit, cleared);
        Self {
            cases: RefCell::new(cases),
            in_flight: RefCell::default(),
            last_report: Cell::default(),
            changed: Notify::new(),
            turns: Notify::new(),
        }
    }

    /// Changes the cases and wakes whoever waits for a judgement.
    pub fn change(&self, change: impl FnOnce(&mut CrashTracker)) {
        change(&mut self.cases.borrow_mut());
        self.changed.notify_waiters();
    }
}
