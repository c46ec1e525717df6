//! State of this router's crash attribution.
//!
//! Owns the crash tracker and the list of requests whose attempts may have to be cancelled. The other modules of this
//! folder update and read them.

use super::in_flight::InFlightAttempt;
use crate::relay_request::RelayRequest;
use cloverpier_crashes::prelude::*;
use cloverpier_settings::CrashSettings;
use std::cell::{Cell, RefCell};
use std::rc::Weak;
use std::time::Instant;
use tokio::sync::Notify;

/// The crash tracker of this router, and what is needed to act on its changes.
#[derive(Debug)]
pub(crate) struct CrashState {
    /// The recorded crashes, by request content, and the lost and in-flight attempts.
    pub tracker: RefCell<CrashTracker>,
    /// Requests whose attempts are cancelled if their content becomes blocked. Finished ones are removed occasionally.
    pub requests: RefCell<Vec<Weak<RelayRequest>>>,
    /// Attempts that were admitted while no crash was known, and are not registered with the tracker unless an attempt with
    /// the same content is lost. Finished ones are removed occasionally.
    pub listed_attempts: RefCell<Vec<Weak<InFlightAttempt>>>,
    /// When this router last sent a new report to all peers, or received a peer's report with new information; `None`
    /// before the first. Reports are repeated to peers for a few seconds after that.
    pub last_report: Cell<Option<Instant>>,
    /// Wakes the loop that resolves lost attempts, and held requests, when the tracker's crashes or lost attempts
    /// change.
    pub tracker_changed: Notify,
    /// Wakes held requests when an attempt is sent or finishes. Separate from `tracker_changed`, as this happens with
    /// each request and the loop must not wake for it.
    pub in_flight_changed: Notify,
}

impl CrashState {
    /// Creates the state without any crashes, with the limit and the cleared contents of the settings.
    pub fn new(settings: &CrashSettings) -> Self {
        let mut tracker = CrashTracker::new(settings.limit, CrashTimestamp::ProcessStart);
        let cleared = settings.cleared.clone();
        tracker.registry.configure(settings.limit, cleared);
        Self {
            tracker: RefCell::new(tracker),
            requests: RefCell::default(),
            listed_attempts: RefCell::default(),
            last_report: Cell::default(),
            tracker_changed: Notify::new(),
            in_flight_changed: Notify::new(),
        }
    }

    /// Updates the tracker, then wakes the loop that resolves lost attempts and the held requests.
    pub fn update(&self, update: impl FnOnce(&mut CrashTracker)) {
        update(&mut self.tracker.borrow_mut());
        self.tracker_changed.notify_waiters();
    }
}
