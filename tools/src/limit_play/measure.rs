//! The outcome of a play, and how it is measured.
//!
//! Owns the outcome's shape; relies on each upstream for what arrived there.

use super::world::{NAMED_FROM, RouterModel, World};
use super::{KNOWN_AFTER, WINDOW};
use std::collections::HashSet;
use std::time::Duration;

/// The outcome of a play.
#[derive(Clone, Debug, Default)]
pub struct LimitOutcome {
    /// Requests that callers sent.
    pub requests: usize,
    /// Those that an upstream took.
    pub served: usize,
    /// Those that were refused.
    pub refused: usize,
    /// By how much the most that reached an upstream in any window exceeds what it takes in one, from
    /// when all routers know of its limit.
    pub most_beyond: f64,
    /// The part of its rate that the limited upstream got that was used least, from when all know of its
    /// limit.
    pub least_used: f64,
    /// The same, of all limited upstreams together.
    pub mean_used: f64,
    /// Routers that sent nothing to limited upstreams, among those that had ten times as many requests as
    /// would have got them one.
    pub starved: usize,
    /// The longest time that a request waited for a permit, and the mean of those that asked.
    pub longest_wait: Duration,
    /// As above.
    pub mean_wait: Duration,
    /// The part of the refused callers that were told the most common time to come back, in hundredths
    /// of a second.
    pub same_retry: f64,
    /// Datagrams that the router which sent the most did, for each second, and the mean of all.
    pub most_datagrams: f64,
    /// As above.
    pub mean_datagrams: f64,
    /// When the last router in touch knew of the first limit, from when it was named.
    pub known_after: Duration,
}

/// What reached an upstream, in order.
#[derive(Debug, Default)]
pub(super) struct Arrivals {
    at: Vec<Duration>,
}

impl Arrivals {
    pub fn push(&mut self, at: Duration) {
        self.at.push(at);
    }

    /// The most in any window between two moments.
    pub fn most_in_a_window(&self, from: Duration, until: Duration) -> usize {
        let mut most = 0;
        let mut first = 0;
        let counted: Vec<Duration> = self.between(from, until).collect();
        for (last, at) in counted.iter().enumerate() {
            while *at >= counted[first] + WINDOW {
                first += 1;
            }
            most = most.max(last + 1 - first);
        }
        most
    }

    pub fn between(&self, from: Duration, until: Duration) -> impl Iterator<Item = Duration> {
        let within = move |at: &&Duration| (from..until).contains(*at);
        self.at.iter().filter(within).copied()
    }
}

/// What callers were told, and how long requests waited.
#[derive(Debug, Default)]
pub(super) struct Waits {
    pub retries: Vec<Duration>,
    pub waits: Vec<Duration>,
    /// Routers that sent something to a limited upstream.
    pub senders: HashSet<usize>,
}

impl Waits {
    /// The part of the refused that were told the most common time.
    pub fn same_retry(&self) -> f64 {
        let mut hundredths: Vec<u128> = self.retries.iter().map(|r| r.as_millis() / 10).collect();
        hundredths.sort_unstable();
        let runs = hundredths.chunk_by(|one, other| one == other);
        let most = runs.map(<[u128]>::len).max().unwrap_or(0);
        most as f64 / self.retries.len().max(1) as f64
    }

    pub fn mean(&self) -> Duration {
        let count = u32::try_from(self.waits.len()).unwrap_or(u32::MAX).max(1);
        self.waits.iter().sum::<Duration>() / count
    }
}

impl World {
    /// The outcome, once it has ended.
    pub(super) fn measure(mut self) -> LimitOutcome {
        let (from, until) = (NAMED_FROM + KNOWN_AFTER, self.limits_end());
        let seconds = (until - from).as_secs_f64();
        let takes = self.spec.rate * WINDOW.as_secs_f64();
        let mut most_beyond = f64::NEG_INFINITY;
        let mut least_used = f64::INFINITY;
        let mut sum_used = 0.0;
        for upstream in &self.upstreams[..self.spec.limited] {
            let most = upstream.arrivals.most_in_a_window(from, until);
            most_beyond = most_beyond.max(most as f64 - takes);
            // The first window is that in which routers learn who hands out permits.
            let got = upstream.arrivals.between(from, until).count();
            let used = got as f64 / (seconds * self.spec.rate);
            least_used = least_used.min(used);
            sum_used += used;
        }
        let length = self.spec.length.as_secs_f64();
        let datagrams = self.routers.iter().map(|r| r.datagrams as f64 / length);
        let datagrams: Vec<f64> = datagrams.collect();
        let starved = self.starved();
        let outcome = &mut self.outcome;
        outcome.most_beyond = most_beyond;
        outcome.least_used = least_used;
        outcome.mean_used = sum_used / self.spec.limited as f64;
        outcome.longest_wait = self.waits.waits.iter().copied().max().unwrap_or_default();
        outcome.mean_wait = self.waits.mean();
        outcome.same_retry = self.waits.same_retry();
        outcome.most_datagrams = datagrams.iter().copied().fold(0.0, f64::max);
        outcome.mean_datagrams = datagrams.iter().sum::<f64>() / datagrams.len() as f64;
        outcome.starved = starved;
        self.outcome
    }

    /// Routers that sent nothing to limited upstreams though they had many requests.
    fn starved(&self) -> usize {
        let rate = self.spec.rate * self.spec.limited as f64;
        let per_permit = self.spec.requests / rate;
        let has_many = |r: &RouterModel| r.requests as f64 > 10.0 * per_permit;
        let starved = self.routers.iter().enumerate();
        let starved = starved.filter(|(i, r)| has_many(r) && !self.waits.senders.contains(i));
        starved.count()
    }
}
