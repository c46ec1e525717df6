//! A token bucket whose rate can change.
//!
//! The caller passes in the time, which must not go backwards.

use std::time::{Duration, Instant};

/// Capacity of a bucket, in seconds of its rate.
const BURST_S: f64 = 2.0;

/// The level of a bucket is too low for the requested amount.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InsufficientLevel {
    /// Time until the level suffices, if nothing else is taken; at most an hour.
    pub retry_after: Duration,
}

/// A token bucket (as in Turner, "New directions in communications", 1986). The unit is chosen by
/// the caller.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    rate_per_s: f64,
    level: f64,
    updated_at: Instant,
}

impl TokenBucket {
    /// Creates a full bucket that is refilled with `rate_per_s` per second.
    pub fn full(rate_per_s: f64, now: Instant) -> Self {
        Self {
            rate_per_s,
            level: rate_per_s * BURST_S,
            updated_at: now,
        }
    }

    /// Changes the rate. The level is kept, up to the capacity at the new rate.
    pub fn set_rate(&mut self, rate_per_s: f64, now: Instant) {
        self.refill(now);
        self.rate_per_s = rate_per_s;
        self.level = self.level.min(rate_per_s * BURST_S);
    }

    /// Takes `amount` out of the bucket.
    ///
    /// # Errors
    ///
    /// [`InsufficientLevel`] if the level is too low. The bucket is then unchanged.
    pub fn take(&mut self, amount: f64, now: Instant) -> Result<(), InsufficientLevel> {
        self.refill(now);
        // An amount above the capacity is taken from a full bucket and makes the level negative, as
        // it would never pass otherwise.
        let required = amount.min(self.rate_per_s * BURST_S);
        if self.level >= required {
            self.level -= amount;
            return Ok(());
        }
        let missing = required - self.level;
        let seconds = missing / self.rate_per_s.max(f64::MIN_POSITIVE);
        Err(InsufficientLevel {
            retry_after: Duration::from_secs_f64(seconds.min(3_600.0)),
        })
    }

    /// Returns an amount that was taken but not used. The level does not exceed the capacity.
    pub fn refund(&mut self, amount: f64) {
        self.level = (self.level + amount).min(self.rate_per_s * BURST_S);
    }

    fn refill(&mut self, now: Instant) {
        let elapsed_s = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.level = (self.level + elapsed_s * self.rate_per_s).min(self.rate_per_s * BURST_S);
        self.updated_at = now;
    }
}
