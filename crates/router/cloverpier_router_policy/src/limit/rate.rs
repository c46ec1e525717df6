//! A rate of requests, as upstreams name it and routers send it to each other.
//!
//! Whole thousandths, so that all routers compute the same from it; what cannot be meant is no rate. Owns
//! the least and the highest rate that count.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Thousandths of a request in one request.
const MILLI: f64 = 1_000.0;
/// The least rate, in thousandths of a request a second. One that names less gets a request in ten
/// seconds all the same, so that an answer can say when it takes more again.
const MIN_MILLI: u64 = 100;
/// A rate beyond a million requests a second, in thousandths, is none that an upstream can mean.
const MAX_MILLI: u64 = 1_000_000_000;

/// Requests a second, greater than 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "u64", into = "u64")]
pub struct Rate {
    /// In thousandths, so that rates can be compared exactly.
    milli: u64,
}

impl From<u64> for Rate {
    /// A rate in thousandths of a request a second, as peers send it.
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
    /// A rate in requests a second; `None` for a negative one, one that is no number, and one beyond a
    /// million. Zero counts as one request in ten seconds.
    pub fn per_second(rate: f64) -> Option<Self> {
        let milli = rate * MILLI;
        let is_meant = (0.0..=MAX_MILLI as f64).contains(&milli);
        is_meant.then(|| Self::from(milli as u64))
    }

    /// In requests a second.
    pub fn as_per_second(self) -> f64 {
        self.milli as f64 / MILLI
    }

    /// So many times this rate, up to a million requests a second.
    #[must_use]
    pub fn times(self, factor: f64) -> Self {
        // A product beyond what fits is more than the most, which it becomes.
        Self::from((self.milli as f64 * factor) as u64)
    }

    /// The time between two requests that come evenly.
    pub fn interval(self) -> Duration {
        Duration::from_secs_f64(1.0 / self.as_per_second())
    }
}
