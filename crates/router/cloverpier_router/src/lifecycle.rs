//! The lifecycle of this process: its start, its shutdown, and the requests for which the shutdown waits.
//!
//! Owns the time of the termination signal, the number of requests in flight and the durations of recent streams. An
//! [`InFlightGuard`] counts a request; the body of its response ([`crate::body`]) and then the caller's connection
//! ([`crate::caller_stream`]) hold the guard until the last byte is handed to the operating system.
//! `cloverpier_router_policy::lifecycle` decides when a router that shuts down may exit.

use cloverpier_router_policy::lifecycle::{StreamDurations, accepts_plain, accepts_streams};
use std::cell::{Cell, RefCell};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// The lifecycle state of this process.
#[derive(Debug)]
pub(crate) struct Lifecycle {
    incarnation: u64,
    started_at: Instant,
    shutdown_since: Cell<Option<Instant>>,
    in_flight: Arc<AtomicUsize>,
    stream_durations: RefCell<StreamDurations>,
}

impl Lifecycle {
    /// Creates the state of a process that starts `now`. For `incarnation` see [`Self::incarnation`].
    pub fn new(incarnation: u64, now: Instant) -> Self {
        Self {
            incarnation,
            started_at: now,
            shutdown_since: Cell::new(None),
            in_flight: Arc::default(),
            stream_durations: RefCell::default(),
        }
    }

    /// A random number that distinguishes this process from earlier and later ones at the same address.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// When this process started.
    pub fn started_at(&self) -> Instant {
        self.started_at
    }

    /// Records that the termination signal arrived and the shutdown begins.
    pub fn begin_shutdown(&self, now: Instant) {
        self.shutdown_since.set(Some(now));
    }

    /// Whether the shutdown has begun.
    pub fn is_shutting_down(&self) -> bool {
        self.shutdown_since.get().is_some()
    }

    /// The time since the shutdown began; `None` before it.
    pub fn shutdown_elapsed(&self, now: Instant) -> Option<Duration> {
        let since = self.shutdown_since.get()?;
        Some(now.saturating_duration_since(since))
    }

    /// Records the duration of a completed stream, from its request to its last event.
    pub fn on_stream_completed(&self, duration: Duration) {
        self.stream_durations.borrow_mut().on_completed(duration);
    }

    /// Whether a new stream is accepted. `grace` is the time between the termination signal and the kill by the
    /// platform.
    pub fn accepts_streams(&self, grace: Duration, now: Instant) -> bool {
        let expected = self.stream_durations.borrow().expected();
        accepts_streams(self.shutdown_elapsed(now), expected, grace)
    }

    /// Whether a plain request is accepted that has `time_left` until its deadline.
    pub fn accepts_plain(&self, time_left: Duration, grace: Duration, now: Instant) -> bool {
        accepts_plain(self.shutdown_elapsed(now), time_left, grace)
    }

    /// The number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }
}

/// Counts one request as in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard(Arc<AtomicUsize>);

impl InFlightGuard {
    /// Increments the number of requests in flight.
    pub fn begin(lifecycle: &Lifecycle) -> Self {
        lifecycle.in_flight.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(&lifecycle.in_flight))
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
