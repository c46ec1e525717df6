//! The part of [`Permits`] that grants permits, to this router's own requests and to other routers.
//!
//! Relies on [`Permits::on_period`] being called once per heartbeat or gossip period: a router that was
//! paused for longer grants no permits until all others have noticed a change of the live routers. Owns no
//! state of its own.

use super::{
    LimitedUpstream, LimiterDecision, LimiterMap, PermitAllocation, PermitDemand, PermitReply,
    PermitRequest, Permits,
};
use crate::upstream::UpstreamKey;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The maximum time between two calls of [`Permits::on_period`]. A longer gap means that this process was
/// paused, and that other routers may have recorded this router as dead and granted its permits.
const MAX_PERIOD: Duration = Duration::from_millis(900);

impl Permits {
    /// Grants permits; `None` if the upstream is not limited, or if another router is its limiter.
    pub(super) fn allocate(
        &mut self,
        upstream: LimitedUpstream<'_>,
        demand: &PermitDemand,
        now: Instant,
    ) -> Option<PermitAllocation> {
        let rate = self.limits.rate(upstream.key, now)?;
        if self.was_paused(now) {
            self.limiter.on_paused(now);
        }
        let client = &self.client;
        let is_unresponsive = |router| client.is_unresponsive(router, now);
        let decision =
            self.limiter
                .on_demand(demand, upstream.data_centre, rate, is_unresponsive, now);
        match decision {
            LimiterDecision::Allocated(allocation) => Some(allocation),
            LimiterDecision::NotLimiter => None,
        }
    }

    /// Replies to another router's permit request; `upstream` is `None` if this router has no entry of the
    /// upstream.
    pub fn on_request(
        &mut self,
        from: SocketAddr,
        request: &PermitRequest,
        upstream: Option<LimitedUpstream<'_>>,
        now: Instant,
    ) -> PermitReply {
        self.client.on_permit_message(from);
        let start_time_ms = upstream.and_then(|upstream| upstream.start_time_ms);
        if let Some(report) = &request.limit {
            self.on_report(report, start_time_ms, now);
        }
        let demand = PermitDemand {
            from,
            upstream: request.upstream,
            count: request.count,
            max_wait: request.max_wait,
        };
        let allocation = upstream.and_then(|upstream| self.allocate(upstream, &demand, now));
        PermitReply {
            number: request.number,
            upstream: request.upstream,
            allocation,
            limit: self.limits.report(request.upstream, start_time_ms, now),
        }
    }

    /// Updates the live routers, once per heartbeat or gossip period; `map` is `None` if they are the same
    /// as in the last period. `hold` is the longest time until all routers have noticed a change of the
    /// live routers.
    pub fn on_period(&mut self, map: Option<LimiterMap>, hold: Duration, now: Instant) {
        if self.was_paused(now) {
            self.limiter.on_paused(now);
        }
        self.last_period_at = Some(now);
        self.limiter.on_routers(map, hold, now);
    }

    /// Whether this process was paused since the last call of [`Permits::on_period`], or that method was
    /// not called yet.
    fn was_paused(&self, now: Instant) -> bool {
        let is_late = |at: Instant| now.saturating_duration_since(at) > MAX_PERIOD;
        self.last_period_at.is_none_or(is_late)
    }

    /// Removes the buckets of upstreams that are no longer limited, or of which another router is the
    /// limiter now, and outdated refusals. `find` looks up an upstream by its key.
    pub fn release_obsolete<'a>(
        &mut self,
        find: impl Fn(UpstreamKey) -> Option<LimitedUpstream<'a>>,
        now: Instant,
    ) {
        let (limits, client) = (&self.limits, &mut self.client);
        client.retain(|upstream| limits.rate(upstream, now).is_some(), now);
        let (client, own) = (&self.client, self.own);
        let is_unresponsive = |router| client.is_unresponsive(router, now);
        self.limiter.retain(|map, upstream| {
            let is_limited = limits.rate(upstream, now).is_some();
            let upstream = find(upstream).filter(|_| is_limited);
            let limiter =
                upstream.and_then(|u| map.limiter_of(u.key, u.data_centre, is_unresponsive));
            limiter == Some(own)
        });
    }
}
