//! How long an attempt has received nothing, and how long it may. Owns one attempt's times.

use cloverpier_route::StallTimeout;
use std::time::{Duration, Instant};

/// How long an attempt has been quiet, and its timeout, which may become shorter with its gaps.
#[derive(Debug)]
pub(super) struct QuietTime {
    timeout: StallTimeout,
    last_event: Instant,
    limit: Duration,
    is_first: bool,
}

impl QuietTime {
    /// Of a generation that is sent now.
    pub fn of_new(timeout: StallTimeout, now: Instant) -> Self {
        Self {
            limit: timeout.first_token(),
            timeout,
            last_event: now,
            is_first: true,
        }
    }

    /// Of a generation that has tokens and whose stream is asked for anew.
    pub fn of_resumed(timeout: StallTimeout, now: Instant) -> Self {
        Self {
            limit: timeout.next_token(),
            ..Self::of_new(timeout, now)
        }
    }

    /// The time since the last event.
    pub fn quiet_for(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last_event)
    }

    /// The timeout for the next event.
    pub fn limit(&self) -> Duration {
        self.limit
    }

    /// The rest of the timeout; zero once it has passed.
    pub fn left(&self, now: Instant) -> Duration {
        self.limit.saturating_sub(self.quiet_for(now))
    }

    /// Whether the timeout has passed.
    pub fn is_over(&self, now: Instant) -> bool {
        self.left(now).is_zero()
    }

    /// The wait for the first event is no gap between two tokens, and neither is a pause of the engine, so
    /// nothing is learned from them.
    pub fn on_event(&mut self, now: Instant) {
        if !std::mem::take(&mut self.is_first) && !self.is_over(now) {
            self.timeout.on_gap(self.quiet_for(now));
        }
        self.last_event = now;
        self.limit = self.timeout.next_token();
    }
}
