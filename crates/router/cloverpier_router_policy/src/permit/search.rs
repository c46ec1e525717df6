//! Which upstreams one request is offered to that has met limited ones.
//!
//! [`PermitSearch`] owns the progress of one request's search. First it goes to whoever is free, or has a
//! permit at once; only where nobody is left does it wait for one.

use super::Permits;
use crate::upstream::UpstreamKey;
use std::time::{Duration, Instant};

/// Part of its objective that a request of the highest rank waits for a permit at most; one of the next
/// rank half of that, and so on, so that permits go to the more urgent where they are few.
const PATIENCE: f64 = 0.25;
/// And no more than this part of the time that it has left.
const TIME_LEFT_SHARE: f64 = 0.25;

/// How long a probe or a check of an upstream waits for a permit: longer than most requests, as it finds
/// out whether the upstream lives.
pub const QUESTION_PATIENCE: Duration = Duration::from_millis(500);

/// How long a request waits for a permit where nobody else takes it: its rank, 0 the highest, the time
/// within which its answer is in time, and the time that it has left.
pub fn patience(rank: u8, objective: Duration, time_left: Duration) -> Duration {
    let of_objective = objective.mul_f64(PATIENCE / f64::from(u16::from(rank) + 1));
    of_objective.min(time_left.mul_f64(TIME_LEFT_SHARE))
}

/// Limiters that are asked for one request before others get it, and again where nobody else is left.
const MAX_ASKS: usize = 2;

/// The search of one request for an upstream that takes it.
#[derive(Clone, Debug)]
pub struct PermitSearch {
    /// How long the request may wait for a permit.
    patience: Duration,
    /// Whether it waits by now.
    waits: bool,
    refused: Vec<UpstreamKey>,
    /// When the first of those that refused it may be asked again.
    retry: Option<Duration>,
}

impl PermitSearch {
    /// A request that may wait this long for a permit.
    pub fn new(patience: Duration) -> Self {
        Self {
            patience,
            waits: false,
            refused: Vec::new(),
            retry: None,
        }
    }

    /// How long it may wait now.
    pub fn max_wait(&self) -> Duration {
        if self.waits {
            self.patience
        } else {
            Duration::ZERO
        }
    }

    /// Whether an upstream is not offered the request.
    pub fn withholds(&self, permits: &Permits, upstream: UpstreamKey, now: Instant) -> bool {
        if permits.limits().rate(upstream, now).is_none() {
            return false;
        }
        let has_asked_enough = self.refused.len() >= MAX_ASKS;
        let is_left_out = !self.waits && permits.is_left_out(upstream, now);
        has_asked_enough || is_left_out || self.refused.contains(&upstream)
    }

    /// Records that no permit was had for an upstream, and when the request's caller should retry.
    pub fn on_refused(&mut self, upstream: UpstreamKey, retry: Duration) {
        self.refused.push(upstream);
        let first = self.retry.map_or(retry, |first| first.min(retry));
        self.retry = Some(first);
    }

    /// Has the request wait for a permit from now on, as nobody takes it otherwise; false where it has
    /// waited already.
    pub fn begin_waiting(&mut self) -> bool {
        if self.waits {
            return false;
        }
        self.waits = true;
        self.refused.clear();
        self.retry = None;
        true
    }

    /// When the request's caller should retry, where limits are why nobody took it.
    pub fn retry(&self) -> Option<Duration> {
        self.retry
    }
}
