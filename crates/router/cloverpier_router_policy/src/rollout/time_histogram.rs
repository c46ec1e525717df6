//! A histogram of response times with exponential buckets.
//!
//! A few bytes hold any number of response times, the histograms of several routers can be added,
//! and "several times as long" is a fixed distance between buckets. Owns no state beside the counts.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Buckets for each doubling of a time, so that neighbouring buckets differ by a fifth.
const BUCKETS_PER_DOUBLING: f64 = 4.0;
/// A time is slow if its bucket is more than this many buckets above the median's: a slow time is at
/// least 3.1 times the middle of the median's bucket. Of lognormal times with a spread of 0.5, which
/// the users state, 1.2 in 100 are slow (computed).
const SLOW_BUCKETS_ABOVE_MEDIAN: u8 = 6;

/// The bucket of a time: the index of an exponential bucket, where index 0 is about a millisecond
/// or less and four indices double the time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TimeBucket(u8);

impl TimeBucket {
    /// The bucket of a time; the last bucket also holds all longer times.
    pub fn of(time: Duration) -> Self {
        let ms = (time.as_secs_f64() * 1e3).max(1.0);
        let bucket = (ms.log2() * BUCKETS_PER_DOUBLING).round();
        // A time beyond the last bucket is longer than any request lasts, so the limit loses nothing.
        Self(bucket.min(f64::from(u8::MAX)) as u8)
    }

    /// The first bucket of slow times, where this bucket is the median.
    pub fn slow_threshold(self) -> Self {
        Self(self.0.saturating_add(SLOW_BUCKETS_ABOVE_MEDIAN + 1))
    }
}

/// Counts of response times, by bucket.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TimeHistogram(BTreeMap<TimeBucket, u32>);

impl TimeHistogram {
    /// Counts one time.
    pub fn add(&mut self, time: Duration) {
        self.add_count(TimeBucket::of(time), 1);
    }

    /// Adds the counts of another histogram.
    pub fn merge(&mut self, other: &Self) {
        for (bucket, count) in &other.0 {
            self.add_count(*bucket, *count);
        }
    }

    fn add_count(&mut self, bucket: TimeBucket, count: u32) {
        let counted = self.0.entry(bucket).or_default();
        *counted = counted.saturating_add(count);
    }

    /// The counts added since an earlier state of this histogram.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        let less = |(bucket, count): (&TimeBucket, &u32)| {
            // A bucket that the earlier state lacks had a count of 0 there.
            let earlier = earlier.0.get(bucket).copied().unwrap_or_default();
            (*bucket, count.saturating_sub(earlier))
        };
        Self(self.0.iter().map(less).collect())
    }

    /// The number of counted times.
    pub fn total(&self) -> u32 {
        self.0.values().sum()
    }

    /// The number of times in this bucket and all higher ones.
    pub fn count_from(&self, bucket: TimeBucket) -> u32 {
        self.0.range(bucket..).map(|(_, count)| count).sum()
    }

    /// The bucket of the median; `None` where fewer than `min_count` times are counted.
    pub fn median(&self, min_count: u32) -> Option<TimeBucket> {
        let total = self.total();
        if total < min_count.max(1) {
            return None;
        }
        let mut before = 0;
        let middle = self.0.iter().find(|(_, count)| {
            before += **count;
            before * 2 >= total
        });
        middle.map(|(bucket, _)| *bucket)
    }
}
