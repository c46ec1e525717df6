//! A rate of requests, as upstreams advertise it and as routers send it to each other.
//!
//! A rate is a whole number of thousandths of a request per second, so that all routers compute the same
//! values from it. Owns the minimum and the maximum of a rate.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Thousandths in one request.
const MILLI: f64 = 1_000.0;
/// The minimum rate, in thousandths of a request per second. An upstream that advertises less still gets a
/// request every ten seconds, so that a response can raise the limit again.
const MIN_MILLI: u64 = 100;
/// The maximum rate, in thousandths of a request per second: a million requests per second, more than any
/// upstream accepts.
const MAX_MILLI: u64 = 1_000_000_000;

/// A number of requests per second, from 0.1 to a million.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "u64", into = "u64")]
pub struct Rate {
    /// Thousandths of a request per second; an integer, so that rates can be compared exactly.
    milli: u64,
}

impl From<u64> for Rate {
    /// Converts thousandths of a request per second, as peers send them, and clamps them to the valid
    /// range.
    fn from(milli: u64) -> Self {
        Self {
            milli: milli.clamp(MIN_MILLI, MAX_MILLI),
        }
    }
}

impl From<Rate> for u64 {
    fn from(rate: Rate) -> Self {
        rate.milli
    }
}

impl Rate {
    /// Converts requests per second; `None` for a negative number, NaN, and more than a million. Less than
    /// 0.1, zero included, becomes 0.1: one request every ten seconds.
    pub fn per_second(rate: f64) -> Option<Self> {
        let milli = rate * MILLI;
        let is_valid = (0.0..=MAX_MILLI as f64).contains(&milli);
        is_valid.then(|| Self::from(milli as u64))
    }

    /// The rate in requests per second.
    pub fn as_per_second(self) -> f64 {
        self.milli as f64 / MILLI
    }

    /// Multiplies the rate by `factor`, up to a million requests per second.
    #[must_use]
    pub fn times(self, factor: f64) -> Self {
        // The cast saturates, so a product that does not fit becomes the maximum rate.
        Self::from((self.milli as f64 * factor) as u64)
    }

    /// The time between two requests that are sent evenly at this rate.
    pub fn interval(self) -> Duration {
        Duration::from_secs_f64(1.0 / self.as_per_second())
    }
}
