//! Wait periods: the time for which an upstream accepts no requests from a VM, as the upstream requests by
//! `Retry-After` in a refusal.
//!
//! - **Question.** An upstream has refused a request and requested a wait period. What may be sent to the
//!   upstream during that period, and what do callers get if all upstreams of a service have requested one?
//! - **Inputs.** The durations that the upstream requested, in the order of its responses; whether a new
//!   incarnation of the upstream has started.
//! - **Answer.** Until when the upstream gets no requests; whether a probe may be sent to it.
//! - **Why.** At most two requests of a VM may reach the upstream from half a second after the refusal until
//!   the end of the period. Requests that are in transit arrive within that half second. Further requests go
//!   to other upstreams; without one, callers are refused at once, with the time until the first period of
//!   the service ends. A probe or a check loads the upstream like a request. Of the two permitted requests,
//!   one is for a probe, so that a dead upstream with open streams is detected; the other allows for a
//!   request that was in transit for longer. A period applies to the VM that received the refusal, and not
//!   to its peers. A period ends when a new incarnation of the upstream starts.
//!
//! `cloverpier-front` and `cloverpierd` both decide by this module. `cloverpierd` sends no probes, and its
//! load queries take no capacity of an upstream. Owns the wait period of one upstream.

use std::time::{Duration, Instant};

/// The maximum wait period; longer ones are shortened to this. An upstream that needs more time should be
/// restarted, which ends the period.
const MAX_PERIOD: Duration = Duration::from_secs(3_600);
/// The number of probes and checks that may be sent to the upstream during a period: one less than the
/// requests that may reach the upstream.
const MAX_PROBES: u32 = 1;

/// Parses the value of `Retry-After`: seconds, with or without a fraction. A value that no `Duration` can
/// hold becomes [`Duration::MAX`]. `None` for a negative value and any other text, such as a date.
pub fn parse_retry_after(text: &str) -> Option<Duration> {
    // The parse error is not needed: the caller reports the text.
    let seconds: f64 = text.trim().parse().ok()?;
    let is_valid = seconds >= 0.0;
    is_valid.then(|| Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
}

/// The time for which an upstream accepts no requests from this VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitPeriod {
    started_at: Instant,
    ends_at: Instant,
    probes_left: u32,
}

impl WaitPeriod {
    /// Starts a period that an upstream has requested at `now`. If the current period is still active, it
    /// is extended, and never shortened; its start and its number of probes stay.
    pub fn start_or_extend(current: Option<Self>, duration: Duration, now: Instant) -> Self {
        let ends_at = now + duration.min(MAX_PERIOD);
        match current.filter(|period| period.is_active(now)) {
            Some(current) => Self {
                ends_at: current.ends_at.max(ends_at),
                ..current
            },
            None => Self {
                started_at: now,
                ends_at,
                probes_left: MAX_PROBES,
            },
        }
    }

    /// Whether the upstream accepts no requests at `now`.
    pub fn is_active(&self, now: Instant) -> bool {
        now < self.ends_at
    }

    /// When the upstream first requested this period.
    pub fn started_at(&self) -> Instant {
        self.started_at
    }

    /// When the period ends, extensions included.
    pub fn ends_at(&self) -> Instant {
        self.ends_at
    }

    /// Whether a probe or a check may be sent: the period has ended, or its probe has not been sent yet.
    pub fn allows_probe(&self, now: Instant) -> bool {
        !self.is_active(now) || self.probes_left > 0
    }

    /// Records that a probe or a check was sent during the period.
    pub fn on_probe_sent(&mut self) {
        self.probes_left = self.probes_left.saturating_sub(1);
    }
}
