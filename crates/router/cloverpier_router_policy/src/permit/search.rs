//! The search of one request for an upstream, if some upstreams are limited.
//!
//! [`PermitSearch`] owns the state of one request's search. The request first goes to an upstream that is
//! not limited, or that has a permit available at once. Only if there is none does the request wait for a
//! permit.

use super::Permits;
use crate::upstream::UpstreamKey;
use std::time::{Duration, Instant};

/// The maximum fraction of its response time objective that a request with the highest priority waits for a
/// permit. A request with the next priority waits half of that, then a third, and so on, so that scarce
/// permits go to more urgent requests.
const OBJECTIVE_FRACTION: f64 = 0.25;
/// The maximum fraction of the time until its deadline that a request waits for a permit.
const TIME_LEFT_FRACTION: f64 = 0.25;

/// How long a probe or a check of an upstream waits for a permit: longer than most requests, since its
/// result shows whether the upstream is alive.
pub const PROBE_PERMIT_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a request may wait for a permit if no upstream accepts it at once. `priority` is 0 for the most
/// urgent requests, `objective` the response time objective of the request's route, and `time_left` the
/// time until the request's deadline.
pub fn max_permit_wait(priority: u8, objective: Duration, time_left: Duration) -> Duration {
    let of_objective = objective.mul_f64(OBJECTIVE_FRACTION / f64::from(u16::from(priority) + 1));
    of_objective.min(time_left.mul_f64(TIME_LEFT_FRACTION))
}

/// The number of refusals after which a request is offered only to upstreams that are not limited. The count
/// restarts at 0 when the request starts to wait for a permit.
const MAX_REFUSALS: usize = 2;

/// The state of one request's search for an upstream.
#[derive(Clone, Debug)]
pub struct PermitSearch {
    /// How long the request may wait for a permit once it waits.
    max_permit_wait: Duration,
    /// Whether the request waits for permits now.
    is_waiting: bool,
    /// The upstreams for which the request got no permit in the current phase: before it waits for permits, or
    /// while it waits.
    refused: Vec<UpstreamKey>,
    /// The shortest time after which the caller should retry, of the refusals in the current phase; `None`
    /// before the first refusal.
    retry_after: Option<Duration>,
}

impl PermitSearch {
    /// Starts the search of a request that may wait for a permit for at most `max_permit_wait`.
    pub fn new(max_permit_wait: Duration) -> Self {
        Self {
            max_permit_wait,
            is_waiting: false,
            refused: Vec::new(),
            retry_after: None,
        }
    }

    /// How long the request may wait for a permit in the current phase; zero before
    /// [`PermitSearch::begin_waiting`].
    pub fn max_wait(&self) -> Duration {
        if self.is_waiting {
            self.max_permit_wait
        } else {
            Duration::ZERO
        }
    }

    /// Whether a limited upstream is excluded from the choice for this request.
    pub fn excludes(&self, permits: &Permits, upstream: UpstreamKey, now: Instant) -> bool {
        if permits.limits().rate(upstream, now).is_none() {
            return false;
        }
        let has_enough_refusals = self.refused.len() >= MAX_REFUSALS;
        let is_backing_off = !self.is_waiting && permits.is_backing_off(upstream, now);
        has_enough_refusals || is_backing_off || self.refused.contains(&upstream)
    }

    /// Records that the request got no permit for an upstream, and the time after which its caller should
    /// retry.
    pub fn on_refused(&mut self, upstream: UpstreamKey, retry_after: Duration) {
        self.refused.push(upstream);
        let first = self
            .retry_after
            .map_or(retry_after, |first| first.min(retry_after));
        self.retry_after = Some(first);
    }

    /// Lets the request wait for permits from now on, since no upstream accepts it at once. Returns false
    /// if the request was waiting already.
    pub fn begin_waiting(&mut self) -> bool {
        if self.is_waiting {
            return false;
        }
        self.is_waiting = true;
        self.refused.clear();
        self.retry_after = None;
        true
    }

    /// The time after which the request's caller should retry; `None` if no permit was refused to the
    /// request in the current phase.
    pub fn retry_after(&self) -> Option<Duration> {
        self.retry_after
    }
}
