//! The clock as an interface that is passed in.
//!
//! Decisions get the present moment as an argument; whoever carries them out asks a
//! [`Clock`]. [`SystemClock`] is the only place of the programs that reads the machine's clock. In tests
//! [`ManualClock`] moves only when it is advanced, and [`SuspendableClock`] jumps ahead. Waits by a clock
//! are in `cloverpier_timers`.

use std::fmt;
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A source of monotonic time, which counts the time for which the machine is suspended.
pub trait Clock: Send + Sync + fmt::Debug {
    /// The present moment.
    fn now(&self) -> Instant;
}

/// The machine's clock since its start.
///
/// An [`Instant`] of the standard library is read from `CLOCK_MONOTONIC`, which stops while the
/// machine is suspended. Ages by it would be too small then: a peer that was silent for the whole
/// time would count as alive, a key that was revoked meanwhile as valid. So the time since a
/// first reading is taken from `CLOCK_BOOTTIME`.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        static FIRST: OnceLock<(Instant, Duration)> = OnceLock::new();
        let (first, first_boottime) = FIRST.get_or_init(|| (Instant::now(), boottime()));
        *first + boottime().saturating_sub(*first_boottime)
    }
}

/// The time since the machine's start, also that for which it was suspended.
#[cfg(target_os = "linux")]
fn boottime() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    // Neither part of a time since the start is negative.
    Duration::new(
        time.tv_sec.unsigned_abs(),
        time.tv_nsec.unsigned_abs() as u32,
    )
}

/// The same by the steady clock, where no other one is known to count it.
#[cfg(not(target_os = "linux"))]
fn boottime() -> Duration {
    static FIRST: OnceLock<Instant> = OnceLock::new();
    FIRST.get_or_init(Instant::now).elapsed()
}

/// A clock that moves only when it is advanced.
#[derive(Clone, Debug)]
pub struct ManualClock {
    now: Arc<Mutex<Instant>>,
}

impl ManualClock {
    /// A clock that is stopped at an arbitrary moment.
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

/// The machine's clock with suspensions that a test causes: it jumps ahead, and the runtime's timers do
/// not.
#[derive(Clone, Debug, Default)]
pub struct SuspendableClock {
    suspended: Arc<Mutex<Duration>>,
}

impl SuspendableClock {
    /// Suspends the machine for a time, and resumes it.
    pub fn suspend(&self, time: Duration) {
        *self
            .suspended
            .lock()
            .unwrap_or_else(PoisonError::into_inner) += time;
    }
}

impl Clock for SuspendableClock {
    fn now(&self) -> Instant {
        let suspended = self
            .suspended
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        SystemClock.now() + *suspended
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
