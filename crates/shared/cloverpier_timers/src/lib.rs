//! Timers by a clock that includes the time for which the machine is suspended.
//!
//! The timers of the async runtime stop while the machine is suspended. A request's deadline, a call's
//! timeout or the pause before a lease renewal would be late by the length of the suspension. The waits of
//! [`Timers`] end when the given [`Clock`] reaches their end, independent of the runtime's clock. A suspended
//! machine thus behaves like a machine whose processes were paused, a case that all decisions handle by the
//! age of their input.
//!
//! Each process must run [`Timers::watch_resumes`] as a task, which detects suspensions by comparing both
//! clocks. Without that task, waits end by the runtime's timers alone.
//!
//! Owns the notification of tasks that wait for a resume. Relies on the clock to include suspensions.

use cloverpier_core::{Clock, SystemClock};
use std::future::Future;
use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tokio::sync::futures::Notified;

/// How often the clock and the runtime's clock are compared. A wait whose end falls into a suspension ends
/// at most this long after the resume. The comparison wakes the process ten times per second.
pub const SUSPENSION_CHECK_PERIOD: Duration = Duration::from_millis(100);
/// The minimum difference between the clocks that counts as a suspension: far more than the granularity of
/// the runtime's timers (1 ms), and less than any timeout that depends on suspensions.
pub const MIN_SUSPENSION: Duration = Duration::from_millis(20);

/// The error of a timeout: the future did not complete in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Elapsed;

/// The waits and timeouts of a process. Clones share the clock and the notification of resumes.
#[derive(Clone, Debug)]
pub struct Timers {
    clock: Arc<dyn Clock>,
    resumed: Arc<Notify>,
}

impl Default for Timers {
    /// Creates timers by the machine's clock, [`SystemClock`].
    fn default() -> Self {
        Self::new(Arc::new(SystemClock))
    }
}

impl Timers {
    /// Creates timers by the given clock.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            clock,
            resumed: Arc::new(Notify::new()),
        }
    }

    /// The current time of the clock.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// The Unix time in milliseconds by the clock's wall clock.
    pub fn wall_ms(&self) -> u64 {
        self.clock.wall_ms()
    }

    /// The clock itself.
    pub fn clock(&self) -> Arc<dyn Clock> {
        Arc::clone(&self.clock)
    }

    /// Completes at the first resume of the machine after this call.
    pub fn resumed(&self) -> Notified<'_> {
        self.resumed.notified()
    }

    /// Waits until the clock reaches `at`.
    pub async fn sleep_until(&self, at: Instant) {
        loop {
            // Registered before the clock is read, so that a resume in between is not missed.
            let resumed = self.resumed();
            let remaining = at.saturating_duration_since(self.now());
            if remaining.is_zero() {
                return;
            }
            tokio::select! {
                () = tokio::time::sleep(remaining) => {}
                () = resumed => {}
            }
        }
    }

    /// Waits for a duration of the clock, suspensions included.
    pub async fn sleep(&self, duration: Duration) {
        match self.now().checked_add(duration) {
            Some(at) => self.sleep_until(at).await,
            // The end is beyond the range of `Instant`.
            None => std::future::pending().await,
        }
    }

    /// Waits for a future until the clock reaches `at`. A future that is ready at once completes also if
    /// `at` has passed.
    ///
    /// # Errors
    ///
    /// Returns [`Elapsed`] if the future is not complete by then.
    pub async fn timeout_at<T>(
        &self,
        at: Instant,
        future: impl Future<Output = T>,
    ) -> Result<T, Elapsed> {
        let mut future = pin!(future);
        tokio::select! {
            biased;
            value = &mut future => Ok(value),
            () = self.sleep_until(at) => Err(Elapsed),
        }
    }

    /// Waits for a future for at most `duration`, suspensions included.
    ///
    /// # Errors
    ///
    /// Returns [`Elapsed`] if the future is not complete within that time.
    pub async fn timeout<T>(
        &self,
        duration: Duration,
        future: impl Future<Output = T>,
    ) -> Result<T, Elapsed> {
        let mut future = pin!(future);
        tokio::select! {
            biased;
            value = &mut future => Ok(value),
            () = self.sleep(duration) => Err(Elapsed),
        }
    }

    /// Detects suspensions of the machine. After each, calls `on_resume` with the length of the suspension,
    /// and ends the waits whose time has passed. Never returns.
    pub async fn watch_resumes(&self, mut on_resume: impl FnMut(Duration)) {
        loop {
            let (clock, runtime) = (self.now(), tokio::time::Instant::now());
            tokio::time::sleep(SUSPENSION_CHECK_PERIOD).await;
            let passed = self.now().saturating_duration_since(clock);
            let suspended = passed.saturating_sub(runtime.elapsed());
            if suspended >= MIN_SUSPENSION {
                on_resume(suspended);
                self.resumed.notify_waiters();
            }
        }
    }
}
