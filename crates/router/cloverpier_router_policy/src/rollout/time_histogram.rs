//! Times of answers, counted by size.
//!
//! A few bytes hold the times of any number of answers, those of several routers add up, and
//! "several times as long" is a distance between sizes. Owns no state beside the counts.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Sizes for each doubling of a time, so that neighbours differ by a fifth.
const PER_DOUBLING: f64 = 4.0;
/// A time is slow that is more than this many sizes above the median: 3.1 times it, "several times
/// slower".  Of lognormal times with a spread of 0.5, as the users' sheet has it, 1.2 in 100
/// are (worked out).
const SLOW_ABOVE: u8 = 6;

/// The size of a time: four for each doubling, from a millisecond on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TimeSize(u8);

impl TimeSize {
    /// The size of a time.
    pub fn of(time: Duration) -> Self {
        let ms = (time.as_secs_f64() * 1e3).max(1.0);
        let size = (ms.log2() * PER_DOUBLING).round();
        // Longer than any request is held; the cast keeps what is below.
        Self(size.min(f64::from(u8::MAX)) as u8)
    }

    /// From which size on a time is slow where this is the median.
    pub fn slow_from(self) -> Self {
        Self(self.0.saturating_add(SLOW_ABOVE + 1))
    }
}

/// Times, counted by size.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TimeCounts(BTreeMap<TimeSize, u32>);

impl TimeCounts {
    /// Counts a time.
    pub fn add(&mut self, time: Duration) {
        self.add_size(TimeSize::of(time), 1);
    }

    /// Adds other counts.
    pub fn add_all(&mut self, other: &Self) {
        for (size, count) in &other.0 {
            self.add_size(*size, *count);
        }
    }

    fn add_size(&mut self, size: TimeSize, count: u32) {
        let counted = self.0.entry(size).or_default();
        *counted = counted.saturating_add(count);
    }

    /// What was counted since `former` was.
    #[must_use]
    pub fn since(&self, former: &Self) -> Self {
        let less = |(size, count): (&TimeSize, &u32)| {
            // A size without times then had none to take away.
            let former = former.0.get(size).copied().unwrap_or_default();
            (*size, count.saturating_sub(former))
        };
        Self(self.0.iter().map(less).collect())
    }

    /// Number of times.
    pub fn total(&self) -> u32 {
        self.0.values().sum()
    }

    /// Number of times from a size on.
    pub fn from_size(&self, size: TimeSize) -> u32 {
        self.0.range(size..).map(|(_, count)| count).sum()
    }

    /// The size in the middle; `None` where there are fewer than `least`.
    pub fn median(&self, least: u32) -> Option<TimeSize> {
        let total = self.total();
        if total < least.max(1) {
            return None;
        }
        let mut before = 0;
        let middle = self.0.iter().find(|(_, count)| {
            before += **count;
            before * 2 >= total
        });
        middle.map(|(size, _)| *size)
    }
}
