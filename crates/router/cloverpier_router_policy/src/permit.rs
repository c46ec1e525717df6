//! Permits for requests to upstreams that limit their request rate.
//!
//! - **Question.** An upstream accepts a limited number of requests per second from all routers together.
//!   May this router send a request to it now, after what delay may it, or when should the caller retry?
//! - **Inputs.** The limits ([`crate::limit`]); the live routers, and the number of routers lost recently;
//!   permit requests from other routers, and their replies; how long the request may wait.
//! - **Answer.** A [`PermitDecision`] for the router that has the request; a [`PermitReply`] for a router
//!   that requests a permit.
//! - **Why.** The rate that an upstream accepts is one number for all routers. Dividing it among them does
//!   not enforce it: if sixty routers may each send one request at once, sixty requests arrive. Therefore
//!   one router, the upstream's *limiter*, counts for all and grants a permit for each request. All routers
//!   select the same limiter by the same hash over the live routers, in the upstream's data centre if any
//!   router is live there, so no agreement protocol is needed. A router that becomes the limiter grants no
//!   permits until all others have had the time to notice. If routers are lost, the limiter grants only the
//!   live routers' share of the rate, so that the two sides of a network partition do not send twice the
//!   rate together.
//!
//! [`Permits`] owns the limits, the permits that this router grants, and the last replies that it got as a
//! client. None of that is used while no upstream is limited.

mod allocation;
mod bucket;
mod client;
mod limited;
mod limiter;
mod request;
mod search;

pub use bucket::{PermitAllocation, PermitBucket};
pub use client::{PermitClient, REPLY_TIMEOUT};
pub use limited::{LimitedUpstream, LimitedUpstreams};
pub use limiter::{Limiter, LimiterDecision, LimiterMap, RouterLocation};
pub use request::{
    PermitDecision, PermitDemand, PermitRefusal, PermitReply, PermitRequest, is_permit_usable,
};
pub use search::{PROBE_PERMIT_TIMEOUT, PermitSearch, max_permit_wait};

use crate::limit::{AdvertisedLimits, LimitChange, LimitReport, LimitStatement, ResponseInterval};
use crate::upstream::UpstreamKey;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The time after which a caller should retry if its request finds no limiter. By then the router has usually
/// received heartbeats or gossip from live routers.
const NO_LIMITER_RETRY_DELAY: Duration = Duration::from_millis(200);

/// The limits that one router has recorded, the permits that it grants, and the replies to its own permit
/// requests.
#[derive(Clone, Debug)]
pub struct Permits {
    own: SocketAddr,
    limits: AdvertisedLimits,
    limiter: Limiter,
    client: PermitClient,
    last_period_at: Option<Instant>,
}

impl Permits {
    /// Creates the state of the router at `own`, its address for peers, without limits and other routers.
    pub fn new(own: SocketAddr, now: Instant) -> Self {
        Self {
            own,
            limits: AdvertisedLimits::default(),
            limiter: Limiter::new(own, now),
            client: PermitClient::default(),
            last_period_at: None,
        }
    }

    /// The limits that upstreams advertise.
    pub fn limits(&self) -> &AdvertisedLimits {
        &self.limits
    }

    /// The limits that upstreams advertise, for the removal of outdated limits.
    pub fn limits_mut(&mut self) -> &mut AdvertisedLimits {
        &mut self.limits
    }

    /// Applies the limit in a response. `would_advertise` is whether the upstream would have included a
    /// limit if it had one; if false, a response without a limit changes nothing.
    pub fn on_statement(
        &mut self,
        upstream: UpstreamKey,
        statement: LimitStatement,
        would_advertise: bool,
        response: ResponseInterval,
        now: Instant,
    ) -> LimitChange {
        let limits = &mut self.limits;
        let change = match statement {
            LimitStatement::Advertised(rate) => limits.on_advertised(upstream, rate, response, now),
            LimitStatement::Absent if would_advertise => limits.on_absent(upstream, response, now),
            LimitStatement::Absent | LimitStatement::Unreadable => LimitChange::Unchanged,
        };
        self.on_change(upstream, change);
        change
    }

    /// Applies a peer's report of a limit. `start_time_ms` is the start time of the upstream's newest
    /// incarnation that this router has recorded, as a Unix time in milliseconds; `None` if unknown.
    pub fn on_report(
        &mut self,
        report: &LimitReport,
        start_time_ms: Option<u64>,
        now: Instant,
    ) -> LimitChange {
        let change = self.limits.on_report(report, start_time_ms, now);
        self.on_change(report.upstream, change);
        change
    }

    /// Removes the last refusal for the upstream if the change may make permits available earlier.
    fn on_change(&mut self, upstream: UpstreamKey, change: LimitChange) {
        let voids_refusal = match change {
            LimitChange::Unchanged => false,
            LimitChange::Started(_) | LimitChange::Ended(_) => true,
            LimitChange::Changed { from, to } => to > from,
        };
        if voids_refusal {
            self.client.remove_refusal(upstream);
        }
    }

    /// The limited upstreams, and those of them that are excluded from the choice for a request.
    pub fn limited_upstreams(&self, search: &PermitSearch, now: Instant) -> LimitedUpstreams {
        let limited: Vec<UpstreamKey> = self.limits.limited(now).collect();
        let excluded = limited.iter().copied();
        let excluded = excluded.filter(|upstream| search.excludes(self, *upstream, now));
        LimitedUpstreams {
            excluded: excluded.collect(),
            limited,
        }
    }

    /// Whether a limited upstream is excluded from selection as long as others are available, after a
    /// recent refusal or timeout of a permit request.
    pub fn is_backing_off(&self, upstream: UpstreamKey, now: Instant) -> bool {
        self.limits.rate(upstream, now).is_some() && self.client.is_backing_off(upstream, now)
    }

    /// Decides on a request that is to be sent to `upstream` and may wait for a permit for `max_wait`.
    pub fn decide(
        &mut self,
        upstream: LimitedUpstream<'_>,
        max_wait: Duration,
        now: Instant,
    ) -> PermitDecision {
        if self.limits.rate(upstream.key, now).is_none() {
            return PermitDecision::Unlimited;
        }
        if let Some(retry) = self.client.refuse_locally(upstream.key, max_wait, now) {
            return PermitDecision::Refused { retry };
        }
        let Some(limiter) = self.limiter_of(upstream, now) else {
            return PermitDecision::Refused {
                retry: NO_LIMITER_RETRY_DELAY,
            };
        };
        if limiter != self.own {
            return PermitDecision::RequestFrom(limiter);
        }
        let demand = PermitDemand {
            from: self.own,
            upstream: upstream.key,
            count: 1,
            max_wait,
        };
        self.decide_as_limiter(upstream, &demand, now)
    }

    /// Decides on this router's own request for an upstream whose limiter this router is.
    fn decide_as_limiter(
        &mut self,
        upstream: LimitedUpstream<'_>,
        demand: &PermitDemand,
        now: Instant,
    ) -> PermitDecision {
        // If this router is not the limiter after all, the result is empty, and the caller retries soon.
        let allocation = self.allocate(upstream, demand, now).unwrap_or_default();
        match allocation.delays.first() {
            Some(delay) => PermitDecision::Granted(*delay),
            None => PermitDecision::Refused {
                retry: allocation
                    .refusal
                    .map_or(NO_LIMITER_RETRY_DELAY, |r| r.retry_after),
            },
        }
    }

    /// The address of an upstream's limiter by this router's record of the fleet; `None` without a live
    /// router that replies to permit requests.
    pub fn limiter_of(&self, upstream: LimitedUpstream<'_>, now: Instant) -> Option<SocketAddr> {
        let client = &self.client;
        let is_unresponsive = |router| client.is_unresponsive(router, now);
        let map = self.limiter.map();
        map.limiter_of(upstream.key, upstream.data_centre, is_unresponsive)
    }

    /// Applies the reply to a permit request; returns the decision for the caller's request. For
    /// `start_time_ms`, see [`Permits::on_report`].
    pub fn on_reply(
        &mut self,
        from: SocketAddr,
        reply: &PermitReply,
        start_time_ms: Option<u64>,
        rng: &mut fastrand::Rng,
        now: Instant,
    ) -> PermitDecision {
        if let Some(report) = &reply.limit {
            self.on_report(report, start_time_ms, now);
        }
        let refusal = match &reply.allocation {
            Some(allocation) => allocation.refusal,
            // The routers' records of the fleet differ. After the next heartbeats, a retry usually finds the
            // limiter.
            None => Some(PermitRefusal {
                next_permit: NO_LIMITER_RETRY_DELAY,
                retry_after: NO_LIMITER_RETRY_DELAY,
                per_router_interval: NO_LIMITER_RETRY_DELAY,
            }),
        };
        let client = &mut self.client;
        client.on_reply(reply.upstream, from, refusal, rng, now);
        let delays = reply.allocation.as_ref().and_then(|a| a.delays.first());
        match delays {
            Some(delay) => PermitDecision::Granted(*delay),
            None => PermitDecision::Refused {
                retry: refusal.map_or(NO_LIMITER_RETRY_DELAY, |refusal| refusal.retry_after),
            },
        }
    }

    /// Records that a limiter did not reply in time to a permit request. Returns whether the limiter has
    /// become unresponsive by this timeout.
    pub fn on_request_timeout(
        &mut self,
        upstream: UpstreamKey,
        limiter: SocketAddr,
        now: Instant,
    ) -> bool {
        self.client.back_off(upstream, now);
        self.client.on_timeout(limiter, now)
    }

    /// Records that a limiter did not reply in time to a probe, a permit request for no permits. Returns
    /// whether the limiter has become unresponsive by this timeout.
    pub fn on_probe_timeout(&mut self, limiter: SocketAddr, now: Instant) -> bool {
        self.client.on_timeout(limiter, now)
    }

    /// Records that a limiter replied to a probe.
    pub fn on_probe_reply(&mut self, limiter: SocketAddr) {
        self.client.on_permit_message(limiter);
    }

    /// The unresponsive routers, which the caller probes once per heartbeat or gossip period.
    pub fn unresponsive_limiters(&self, now: Instant) -> Vec<SocketAddr> {
        self.client.unresponsive(now)
    }
}
