//! When a router requests permits for its own requests, and what it derives from replies and timeouts.
//!
//! [`PermitClient`] owns the last refusal for each upstream, and the set of unresponsive limiters.

use super::PermitRefusal;
use crate::upstream::UpstreamKey;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long a router waits for the reply to a permit request: a round trip to the upstream's data centre,
/// with a margin for busy routers and networks.
pub const REPLY_TIMEOUT: Duration = Duration::from_millis(60);
/// How long an upstream is excluded from selection, as long as others are available, after a permit
/// request for it timed out.
const TIMEOUT_BACKOFF: Duration = Duration::from_millis(150);
/// The number of consecutive timeouts after which a router counts as unresponsive: it has stopped, or runs
/// a release without permits.
const MAX_CONSECUTIVE_TIMEOUTS: u32 = 3;
/// How long an unresponsive router is skipped in the selection of limiters.
const UNRESPONSIVE_PERIOD: Duration = Duration::from_secs(5);

/// The last refusal for an upstream.
#[derive(Clone, Copy, Debug)]
struct LastRefusal {
    received_at: Instant,
    refusal: PermitRefusal,
    /// The number of requests that this router has refused since, without a permit request.
    refused_locally: u32,
    /// Until when the upstream is excluded from selection as long as others are available.
    backoff_until: Instant,
}

/// The replies and timeouts of a router's own permit requests.
#[derive(Clone, Debug, Default)]
pub struct PermitClient {
    refusals: HashMap<UpstreamKey, LastRefusal>,
    consecutive_timeouts: HashMap<SocketAddr, u32>,
    unresponsive_since: HashMap<SocketAddr, Instant>,
}

impl PermitClient {
    /// Whether an upstream is excluded from selection as long as others are available, after a refusal or
    /// a timeout.
    pub fn is_backing_off(&self, upstream: UpstreamKey, now: Instant) -> bool {
        let refusal = self.refusals.get(&upstream);
        refusal.is_some_and(|last| now < last.backoff_until)
    }

    /// Refuses a request without a permit request if, by the last refusal, no permit becomes available
    /// within `max_wait`. Returns the time after which the caller should retry; `None` if a permit request
    /// may succeed.
    pub fn refuse_locally(
        &mut self,
        upstream: UpstreamKey,
        max_wait: Duration,
        now: Instant,
    ) -> Option<Duration> {
        let last = self.refusals.get_mut(&upstream)?;
        if now + max_wait >= last.received_at + last.refusal.next_permit {
            return None;
        }
        last.refused_locally = last.refused_locally.saturating_add(1);
        let retry = last.received_at
            + last.refusal.retry_after
            + last
                .refusal
                .per_router_interval
                .saturating_mul(last.refused_locally);
        Some(retry.saturating_duration_since(now))
    }

    /// Records a limiter's reply; `refusal` is `None` if all requested permits were granted.
    pub fn on_reply(
        &mut self,
        upstream: UpstreamKey,
        from: SocketAddr,
        refusal: Option<PermitRefusal>,
        rng: &mut fastrand::Rng,
        now: Instant,
    ) {
        self.on_permit_message(from);
        let Some(refusal) = refusal else {
            self.refusals.remove(&upstream);
            return;
        };
        // The random part prevents routers that were refused together from requesting again together.
        let backoff = refusal.next_permit + refusal.per_router_interval.mul_f64(rng.f64());
        let last = LastRefusal {
            received_at: now,
            refusal,
            refused_locally: 0,
            backoff_until: now + backoff,
        };
        self.refusals.insert(upstream, last);
    }

    /// Excludes an upstream from selection for 150 ms, as long as others are available, after a permit
    /// request timed out.
    pub fn back_off(&mut self, upstream: UpstreamKey, now: Instant) {
        let refusal = PermitRefusal {
            next_permit: Duration::ZERO,
            retry_after: TIMEOUT_BACKOFF,
            per_router_interval: TIMEOUT_BACKOFF,
        };
        let last = LastRefusal {
            received_at: now,
            refusal,
            refused_locally: 0,
            backoff_until: now + TIMEOUT_BACKOFF,
        };
        self.refusals.insert(upstream, last);
    }

    /// Records that a router did not reply in time. Returns whether it has become unresponsive by this
    /// timeout.
    pub fn on_timeout(&mut self, limiter: SocketAddr, now: Instant) -> bool {
        let timeouts = self.consecutive_timeouts.entry(limiter).or_default();
        *timeouts += 1;
        if *timeouts < MAX_CONSECUTIVE_TIMEOUTS {
            return false;
        }
        *timeouts = 0;
        let was_unresponsive = self.is_unresponsive(limiter, now);
        self.unresponsive_since.insert(limiter, now);
        !was_unresponsive
    }

    /// Records a permit request or reply from a router, which shows that the router grants permits.
    pub fn on_permit_message(&mut self, router: SocketAddr) {
        self.consecutive_timeouts.remove(&router);
        self.unresponsive_since.remove(&router);
    }

    /// Whether a router is skipped in the selection of limiters because its replies timed out.
    pub fn is_unresponsive(&self, router: SocketAddr, now: Instant) -> bool {
        let since = self.unresponsive_since.get(&router);
        since.is_some_and(|since| now.saturating_duration_since(*since) < UNRESPONSIVE_PERIOD)
    }

    /// The unresponsive routers, which the caller probes.
    pub fn unresponsive(&self, now: Instant) -> Vec<SocketAddr> {
        let routers = self.unresponsive_since.keys().copied();
        routers
            .filter(|router| self.is_unresponsive(*router, now))
            .collect()
    }

    /// Removes the last refusal for an upstream, as after a rise of its limit.
    pub fn remove_refusal(&mut self, upstream: UpstreamKey) {
        self.refusals.remove(&upstream);
    }

    /// Removes refusals for upstreams that are no longer limited, and expired records of unresponsive
    /// routers.
    pub fn retain(&mut self, is_limited: impl Fn(UpstreamKey) -> bool, now: Instant) {
        self.refusals.retain(|upstream, _| is_limited(*upstream));
        let is_unresponsive =
            |since: &Instant| now.saturating_duration_since(*since) < UNRESPONSIVE_PERIOD;
        self.unresponsive_since
            .retain(|_, since| is_unresponsive(since));
    }
}
