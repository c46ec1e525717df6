//! A token bucket whose rate can change.
//!
//! Owns the level of one rate limit. Relies on the time that its caller passes in, which must
//! not go back.

use std::time::{Duration, Instant};

/// Seconds of its rate that a bucket holds at most.
const BURST_S: f64 = 2.0;

/// The bucket lacks what was asked of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Short {
    /// When it will have it.
    pub wait: Duration,
}

/// A token bucket (as in Turner, "New directions in communications", 1986).
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    rate: f64,
    level: f64,
    at: Instant,
}

impl Bucket {
    /// A full bucket with a rate per second.
    pub fn full(rate: f64, now: Instant) -> Self {
        Self {
            rate,
            level: rate * BURST_S,
            at: now,
        }
    }

    /// Sets another rate; what is in the bucket is kept up to the new burst.
    pub fn set_rate(&mut self, rate: f64, now: Instant) {
        self.refill(now);
        self.rate = rate;
        self.level = self.level.min(rate * BURST_S);
    }

    /// Takes an amount.
    ///
    /// # Errors
    ///
    /// [`Short`] when the bucket lacks it; nothing is taken then.
    pub fn take(&mut self, amount: f64, now: Instant) -> Result<(), Short> {
        self.refill(now);
        // An amount above the burst passes when the bucket is full, and leaves a debt.
        let needed = amount.min(self.rate * BURST_S);
        if self.level >= needed {
            self.level -= amount;
            return Ok(());
        }
        let missing = needed - self.level;
        let seconds = missing / self.rate.max(f64::MIN_POSITIVE);
        Err(Short {
            wait: Duration::from_secs_f64(seconds.min(3_600.0)),
        })
    }

    /// Gives back what was taken and not used.
    pub fn give_back(&mut self, amount: f64) {
        self.level = (self.level + amount).min(self.rate * BURST_S);
    }

    fn refill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.level = (self.level + passed * self.rate).min(self.rate * BURST_S);
        self.at = now;
    }
}
