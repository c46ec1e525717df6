//! Waits by a clock that counts the time for which the machine is suspended.
//!
//! The runtime's own timers stop while the machine is suspended. A wait that ends by them is
//! over too late by that time: a request's deadline, a call's timeout, the pause before a renewal. The
//! waits of [`Timers`] are over as soon as the passed-in [`Clock`] says so, whatever the runtime's
//! clock does. So a machine that was suspended behaves like one whose processes stood still, of which
//! all decisions take account by the age of what they know.
//!
//! [`Timers::watch_resumes`] has to run as a task of each process; it finds out by comparing both
//! clocks. Without it a wait ends by the runtime's timers alone.
//!
//! Owns who waits for the next resume. Relies on the clock to count the suspended time.

use cloverpier_core::{Clock, SystemClock};
use std::future::Future;
use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tokio::sync::futures::Notified;

/// How often both clocks are compared: a wait that should have ended during the suspension ends so
/// long after it at most. Ten wake-ups of a process a second.
pub const CHECK_PERIOD: Duration = Duration::from_millis(100);
/// The clocks have to differ by so much: far more than the granularity of the runtime's timers (1
/// ms), and less than any bound that is waited for.
pub const LEAST_SUSPENSION: Duration = Duration::from_millis(20);

/// The time that was allowed for something has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Elapsed;

/// The waits of a process; clones share their resumes.
#[derive(Clone, Debug)]
pub struct Timers {
    clock: Arc<dyn Clock>,
    resumed: Arc<Notify>,
}

impl Default for Timers {
    /// Waits by the machine's clock.
    fn default() -> Self {
        Self::new(Arc::new(SystemClock))
    }
}

impl Timers {
    /// Waits by a clock.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            clock,
            resumed: Arc::new(Notify::new()),
        }
    }

    /// The present moment.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Waits for the next time that the machine resumes, from this call on.
    pub fn resumed(&self) -> Notified<'_> {
        self.resumed.notified()
    }

    /// Waits until a moment of the clock.
    pub async fn sleep_until(&self, at: Instant) {
        loop {
            // Asked for before the clock is read, so that no resume is missed between.
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

    /// Waits for a time.
    pub async fn sleep(&self, time: Duration) {
        match self.now().checked_add(time) {
            Some(at) => self.sleep_until(at).await,
            // Longer than the clock can count.
            None => std::future::pending().await,
        }
    }

    /// Waits for something until a moment of the clock.
    ///
    /// # Errors
    ///
    /// [`Elapsed`] if it has not come by then.
    pub async fn timeout_at<T>(
        &self,
        at: Instant,
        awaited: impl Future<Output = T>,
    ) -> Result<T, Elapsed> {
        let mut awaited = pin!(awaited);
        tokio::select! {
            biased;
            value = &mut awaited => Ok(value),
            () = self.sleep_until(at) => Err(Elapsed),
        }
    }

    /// Waits for something for a time.
    ///
    /// # Errors
    ///
    /// [`Elapsed`] if it has not come within it.
    pub async fn timeout<T>(
        &self,
        time: Duration,
        awaited: impl Future<Output = T>,
    ) -> Result<T, Elapsed> {
        let mut awaited = pin!(awaited);
        tokio::select! {
            biased;
            value = &mut awaited => Ok(value),
            () = self.sleep(time) => Err(Elapsed),
        }
    }

    /// Ends the waits that are over each time the machine resumes, and says for how long it was
    /// suspended; runs until the process ends.
    pub async fn watch_resumes(&self, mut on_resume: impl FnMut(Duration)) {
        loop {
            let (clock, runtime) = (self.now(), tokio::time::Instant::now());
            tokio::time::sleep(CHECK_PERIOD).await;
            let passed = self.now().saturating_duration_since(clock);
            let suspended = passed.saturating_sub(runtime.elapsed());
            if suspended >= LEAST_SUSPENSION {
                on_resume(suspended);
                self.resumed.notify_waiters();
            }
        }
    }
}
