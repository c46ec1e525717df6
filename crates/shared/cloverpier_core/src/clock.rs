//! The clock as an interface that is passed in.
//!
//! Decisions get the present moment as an argument; whoever carries them out asks a
//! [`Clock`]. [`SystemClock`] is the only place of the programs that reads the machine's
//! monotonic clock, and [`ManualClock`] stands still in tests.

use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A source of monotonic time.
pub trait Clock: Send + Sync + fmt::Debug {
    /// The present moment.
    fn now(&self) -> Instant;
}

/// The machine's monotonic clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }
}

/// A clock that moves only when it is advanced.
#[derive(Clone, Debug)]
pub struct ManualClock {
    now: Arc<Mutex<Instant>>,
}

impl ManualClock {
    /// A clock that stands at an arbitrary moment.
    pub fn new() -> Self {
        Self {
            now: Arc::new(Mutex::new(Instant::now())),
        }
    }

    /// Moves the clock forward.
    pub fn advance(&self, by: Duration) {
        *self.now.lock().unwrap_or_else(PoisonError::into_inner) += by;
    }
}

impl Default for ManualClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        *self.now.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Wall-clock time in milliseconds since 1970, for logs and records that people read.
///
/// No decision rests on it.
pub fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}
