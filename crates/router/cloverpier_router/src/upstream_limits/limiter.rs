//! Permits for other routers, for the upstreams whose limiter this router is.
//!
//! `cloverpier_router_policy::permit` decides whether this router is an upstream's limiter, and how many permits it
//! grants. Relies on [`UpstreamLimits::on_period`] being called once per heartbeat interval. Owns no state of its own.

use super::{UpstreamLimits, limited_upstream};
use crate::peer_messages::{LimiterReply, LimiterRequest, PeerMessage};
use cloverpier_router_policy::permit::{LimitedUpstream, LimiterMap, PermitReply};
use cloverpier_router_policy::prelude::{Upstream, UpstreamKey, UpstreamState, UpstreamTable};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

impl UpstreamLimits {
    /// Whether this router is the limiter of an upstream, by its record of the fleet.
    pub fn is_own_limiter(&self, upstream: &Upstream) -> bool {
        let now = self.deps.timers.now();
        let permits = self.permits.borrow();
        permits.limiter_of(limited_upstream(upstream), now) == Some(self.deps.own_address)
    }

    /// Replies to another router's permit request. `state` is `None` if the upstream is not in this router's table.
    ///
    /// If another router is the limiter, this router probes that one: the sender may have passed it over as
    /// unresponsive, and this router becomes the limiter only after it has found so, too.
    pub fn on_limiter_request(
        self: &Rc<Self>,
        request: &LimiterRequest,
        state: Option<&UpstreamState>,
    ) {
        if let Some(report) = &request.request.limit {
            self.on_report(report, state, request.sender);
        }
        let now = self.deps.timers.now();
        let upstream = state.map(|state| LimitedUpstream {
            start_time_ms: state.start_time_ms(),
            ..limited_upstream(&state.upstream)
        });
        let mut permits = self.permits.borrow_mut();
        let reply = permits.on_request(request.sender, &request.request, upstream, now);
        let limiter = upstream.and_then(|upstream| permits.limiter_of(upstream, now));
        drop(permits);
        self.count_allocation(&reply);
        let is_misdirected = reply.allocation.is_none() && request.request.count > 0;
        let reply = LimiterReply {
            sender: self.deps.own_address,
            reply,
        };
        let message = PeerMessage::LimiterReply(reply);
        self.deps.datagrams.send(&message, &[request.sender]);
        if let Some(limiter) = limiter.filter(|l| is_misdirected && *l != self.deps.own_address) {
            self.probe_in_background(limiter);
        }
    }

    fn count_allocation(&self, reply: &PermitReply) {
        let Some(allocation) = &reply.allocation else {
            return;
        };
        let count = allocation.delays.len() as u64;
        self.deps.permit_counter.add("handed-out", count);
        if allocation.refusal.is_some() {
            self.deps.permit_counter.count("turned-down");
        }
    }

    /// Updates the limiters of all upstreams by the routers that are alive, and probes the unresponsive limiters.
    /// Called once per heartbeat interval.
    ///
    /// `map` holds the live routers; `None` if they are the same as at the last call. `hold` is how long all routers
    /// take at most to notice a change of the live routers; a new limiter grants nothing for that time.
    pub fn on_period(
        self: &Rc<Self>,
        map: Option<LimiterMap>,
        hold: Duration,
        table: &UpstreamTable,
    ) {
        let now = self.deps.timers.now();
        let mut permits = self.permits.borrow_mut();
        permits.on_period(map, hold, now);
        if permits.limits().is_empty() {
            return;
        }
        let find = |key: UpstreamKey| {
            let state = table.by_key(key)?;
            Some(limited_upstream(&state.upstream))
        };
        permits.release_obsolete(find, now);
        let unresponsive = permits.unresponsive_limiters(now);
        drop(permits);
        for limiter in unresponsive {
            self.probe_in_background(limiter);
        }
    }

    fn probe_in_background(self: &Rc<Self>, limiter: SocketAddr) {
        let limits = Rc::clone(self);
        tokio::task::spawn_local(async move { limits.probe_limiter(limiter).await });
    }
}
