//! The clock interface, and its implementations for programs and tests.
//!
//! Decision functions get the current time as an argument; the code that calls them reads it from a
//! [`Clock`]. In the programs, [`SystemClock`] reads the machine's clock. In tests, [`ManualClock`] changes
//! only when a test advances it, and [`SuspendableClock`] simulates suspensions of the machine. Timers that
//! use a clock are in `cloverpier_timers`.

use std::fmt;
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A source of monotonic time that includes the time for which the machine is suspended, and of the wall clock's
/// time.
pub trait Clock: Send + Sync + fmt::Debug {
    /// The current time.
    fn now(&self) -> Instant;

    /// The Unix time in milliseconds by the wall clock; see [`wall_ms`].
    fn wall_ms(&self) -> u64 {
        wall_ms()
    }
}

/// The machine's monotonic clock, suspensions included.
///
/// On Linux, [`Instant::now`] reads `CLOCK_MONOTONIC`, which stops while the machine is suspended. Ages
/// computed from `CLOCK_MONOTONIC` would be too small after a suspension: a peer that has sent nothing would
/// still count as alive, and a key that was revoked during the suspension as valid. Therefore the time since
/// the first reading is taken from `CLOCK_BOOTTIME`.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        static FIRST: OnceLock<(Instant, Duration)> = OnceLock::new();
        let (first, first_boottime) = FIRST.get_or_init(|| (Instant::now(), boottime()));
        *first + boottime().saturating_sub(*first_boottime)
    }
}

/// The time since the machine's start, suspensions included.
#[cfg(target_os = "linux")]
fn boottime() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    // Neither field is negative for a time since the machine's start.
    Duration::new(
        time.tv_sec.unsigned_abs(),
        time.tv_nsec.unsigned_abs() as u32,
    )
}

/// The time since the first call by the standard monotonic clock, which may not include suspensions.
#[cfg(not(target_os = "linux"))]
fn boottime() -> Duration {
    static FIRST: OnceLock<Instant> = OnceLock::new();
    FIRST.get_or_init(Instant::now).elapsed()
}

/// A clock for tests that changes only when a test advances it; clones share the time.
#[derive(Clone, Debug)]
pub struct ManualClock {
    now: Arc<Mutex<Instant>>,
}

impl ManualClock {
    /// Creates a clock that is stopped at the machine's current time.
    pub fn new() -> Self {
        Self {
            now: Arc::new(Mutex::new(Instant::now())),
        }
    }

    /// Advances this clock and its clones by a duration.
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

/// A clock for tests that simulates suspensions: the clock jumps ahead, and the timers of the async runtime
/// do not. Clones share the suspensions.
#[derive(Clone, Debug, Default)]
pub struct SuspendableClock {
    suspended: Arc<Mutex<Duration>>,
}

impl SuspendableClock {
    /// Simulates a suspension of the machine of this duration, which has just ended.
    pub fn suspend(&self, duration: Duration) {
        *self
            .suspended
            .lock()
            .unwrap_or_else(PoisonError::into_inner) += duration;
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

/// The Unix time in milliseconds by the machine's wall clock, for logs, records that people read, and
/// numbers that identify a process.
///
/// The wall clock can be wrong, and can be set forward or back. Timeouts and ages use a [`Clock`] instead.
/// Returns 0 if the clock is set to a time before 1970.
pub fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}
