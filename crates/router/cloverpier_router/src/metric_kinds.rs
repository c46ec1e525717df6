//! The kinds of metrics beside plain counters and gauges: counters by kind of event, and latencies.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use std::time::Duration;

/// The label that distinguishes the counters of a [`CounterByKind`].
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct KindLabel {
    kind: &'static str,
}

/// A family of counters, with the kind of the counted event as the label.
#[derive(Clone, Debug, Default)]
pub(crate) struct CounterByKind(pub Family<KindLabel, Counter>);

impl CounterByKind {
    /// Increments the counter of a kind by 1.
    pub fn count(&self, kind: &'static str) {
        self.add(kind, 1);
    }

    /// Increments the counter of a kind by `count`.
    pub fn add(&self, kind: &'static str, count: u64) {
        self.0.get_or_create(&KindLabel { kind }).inc_by(count);
    }
}

/// A histogram of latencies in seconds, with buckets from 1 ms to about 33 s.
#[derive(Clone, Debug)]
pub(crate) struct Latency(pub Histogram);

impl Default for Latency {
    fn default() -> Self {
        Self(Histogram::new(exponential_buckets(0.001, 2.0, 16)))
    }
}

impl Latency {
    /// Records one duration.
    pub fn observe(&self, duration: Duration) {
        self.0.observe(duration.as_secs_f64());
    }
}

/// A family of histograms of durations, with the kind of the observed event as the label.
#[derive(Clone, Debug)]
pub(crate) struct LatencyByKind(pub Family<KindLabel, Histogram>);

impl Default for LatencyByKind {
    fn default() -> Self {
        Self(Family::new_with_constructor(|| Latency::default().0))
    }
}

impl LatencyByKind {
    /// Records one duration of a kind.
    pub fn observe(&self, kind: &'static str, duration: Duration) {
        let histogram = self.0.get_or_create(&KindLabel { kind });
        histogram.observe(duration.as_secs_f64());
    }
}
