//! The planned stop, and the requests that it waits for.
//!
//! Owns when the termination signal came, how many requests are in flight and how long streams took
//! that ended. A request counts until the last byte of its answer is handed to the connection, by
//! [`InFlightGuard`]. When a stopping router may exit is decided in `cloverpier_router_policy::lifecycle`.

use cloverpier_router_policy::lifecycle::{StreamDurations, accepts_streams};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Where this process is between start and exit.
#[derive(Debug)]
pub(crate) struct Lifecycle {
    incarnation: u64,
    started: Instant,
    stopping_since: Cell<Option<Instant>>,
    in_flight: Rc<Cell<usize>>,
    stream_durations: RefCell<StreamDurations>,
}

impl Lifecycle {
    /// A process that has just started; `incarnation` distinguishes it from others at its address.
    pub fn new(incarnation: u64, now: Instant) -> Self {
        Self {
            incarnation,
            started: now,
            stopping_since: Cell::new(None),
            in_flight: Rc::default(),
            stream_durations: RefCell::default(),
        }
    }

    /// Tells this start of the process from others at the same address, in logs.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// When it started.
    pub fn started(&self) -> Instant {
        self.started
    }

    /// Begins the planned stop.
    pub fn begin_shutdown(&self, now: Instant) {
        self.stopping_since.set(Some(now));
    }

    /// Whether the planned stop has begun.
    pub fn is_shutting_down(&self) -> bool {
        self.stopping_since.get().is_some()
    }

    /// How long ago the planned stop began, if it did.
    pub fn shutdown_elapsed(&self, now: Instant) -> Option<Duration> {
        let since = self.stopping_since.get()?;
        Some(now.saturating_duration_since(since))
    }

    /// Records how long a stream took from its request to its last event.
    pub fn on_stream_completed(&self, duration: Duration) {
        self.stream_durations.borrow_mut().on_completed(duration);
    }

    /// Whether a new stream is taken.
    pub fn accepts_streams(&self, grace: Duration, now: Instant) -> bool {
        let expected = self.stream_durations.borrow().expected();
        accepts_streams(self.shutdown_elapsed(now), expected, grace)
    }

    /// Number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }
}

/// One request in flight; it ends when this is dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard(Rc<Cell<usize>>);

impl InFlightGuard {
    /// Counts a request.
    pub fn begin(lifecycle: &Lifecycle) -> Self {
        let count = &lifecycle.in_flight;
        count.set(count.get() + 1);
        Self(Rc::clone(count))
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
