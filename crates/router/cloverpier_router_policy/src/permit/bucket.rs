//! The token bucket from which a limiter grants the permits of one upstream.
//!
//! Tokens are added at the rate that the upstream advertises, and a few are kept for a burst. A request
//! that can wait takes a token in advance. [`PermitBucket`] owns the tokens, the retry times of refused
//! callers, and the set of routers that request permits.

use super::{PermitDemand, PermitRefusal};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The fraction of a rate for which permits are granted. The rest covers permits that are already granted,
/// but not used, when a window begins in which an observer counts the requests to the upstream.
const GRANTED_FRACTION: f64 = 0.95;
/// The maximum number of tokens, which accumulate while no permits are requested. An upstream may get at
/// most five requests more than its rate allows.
const BURST: f64 = 4.0;
/// How long a router counts as requesting permits after its last permit request.
const REQUESTER_WINDOW: Duration = Duration::from_secs(10);
/// The maximum time after which a refused caller should retry, since an upstream may accept a higher rate
/// by then.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(10);
/// The delay for a time that no `Duration` can hold: a day, longer than any request may wait.
const MAX_PERMIT_DELAY: Duration = Duration::from_secs(86_400);

/// The result of a permit request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitAllocation {
    /// One entry for each granted permit: the time after which the permit may be used.
    #[serde(rename = "waits")]
    pub delays: Vec<Duration>,
    /// The refusal of the remaining requests; `None` if all got a permit.
    pub refusal: Option<PermitRefusal>,
}

/// A token bucket for the permits of one upstream.
#[derive(Clone, Debug)]
pub struct PermitBucket {
    /// Negative after permits were granted in advance.
    tokens: f64,
    /// The number of refused callers whose retry time has not passed yet.
    pending_retries: f64,
    refilled_at: Instant,
    last_request_by_router: HashMap<SocketAddr, Instant>,
    last_cleanup: Instant,
}

impl PermitBucket {
    /// Creates a bucket with a fraction of one token. `share` is that fraction, and the fraction of the rate
    /// that falls to this limiter. There is no burst, as the permits that other limiters granted before are
    /// unknown.
    pub fn new(share: f64, now: Instant) -> Self {
        Self {
            tokens: share,
            pending_retries: 0.0,
            refilled_at: now,
            last_request_by_router: HashMap::new(),
            last_cleanup: now,
        }
    }

    /// Grants permits to as many of the requests as can wait for theirs. `per_second` is this limiter's
    /// part of the upstream's rate, in requests per second.
    pub fn allocate(
        &mut self,
        demand: &PermitDemand,
        per_second: f64,
        now: Instant,
    ) -> PermitAllocation {
        let per_second = per_second * GRANTED_FRACTION;
        self.refill(per_second, now);
        self.record_requester(demand.from, now);
        let mut allocation = PermitAllocation::default();
        for _ in 0..demand.count {
            let delay = self.time_until(1.0, per_second);
            if delay > demand.max_wait {
                allocation.refusal = Some(self.refuse(demand, allocation.delays.len(), per_second));
                break;
            }
            self.tokens -= 1.0;
            allocation.delays.push(delay);
        }
        allocation
    }

    /// Refuses the requests beyond the first `granted`.
    fn refuse(&mut self, demand: &PermitDemand, granted: usize, per_second: f64) -> PermitRefusal {
        let refused = demand.count as usize - granted;
        let next_permit = self.time_until(1.0, per_second).min(MAX_RETRY_DELAY);
        let mut retry_after = self.time_until(1.0 + self.pending_retries, per_second);
        if retry_after > MAX_RETRY_DELAY {
            // Further callers are distributed over the same ten seconds again.
            self.pending_retries = 0.0;
            retry_after = next_permit;
        }
        self.pending_retries += refused as f64;
        let interval = self.last_request_by_router.len() as f64 / per_second;
        PermitRefusal {
            next_permit,
            retry_after,
            per_router_interval: Duration::from_secs_f64(interval).min(MAX_RETRY_DELAY),
        }
    }

    /// The time until the bucket contains this many tokens.
    fn time_until(&self, tokens: f64, per_second: f64) -> Duration {
        let missing = (tokens - self.tokens).max(0.0);
        // A time that does not fit into a `Duration` is longer than any request may wait.
        Duration::try_from_secs_f64(missing / per_second).unwrap_or(MAX_PERMIT_DELAY)
    }

    fn refill(&mut self, per_second: f64, now: Instant) {
        let elapsed = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        let new = elapsed * per_second;
        self.tokens = (self.tokens + new).min(BURST);
        self.pending_retries = (self.pending_retries - new).max(0.0);
    }

    fn record_requester(&mut self, router: SocketAddr, now: Instant) {
        self.last_request_by_router.insert(router, now);
        if now.saturating_duration_since(self.last_cleanup) > REQUESTER_WINDOW / 10 {
            let is_recent = |at: &Instant| now.saturating_duration_since(*at) < REQUESTER_WINDOW;
            self.last_request_by_router.retain(|_, at| is_recent(at));
            self.last_cleanup = now;
        }
    }
}
