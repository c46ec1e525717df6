//! Selects the limiter of each upstream: the router that grants the permits for that upstream.
//!
//! [`LimiterMap`] owns one router's view of the live routers. [`Limiter`] owns the buckets of the upstreams
//! whose limiter this router is.

use super::bucket::{PermitAllocation, PermitBucket};
use super::{PermitDemand, PermitRefusal};
use crate::limit::Rate;
use crate::upstream::UpstreamKey;
use cloverpier_core::{DataCentre, hash_of};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// A live and ready router, which may be selected as a limiter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouterLocation {
    /// The router's address for peers.
    pub router: SocketAddr,
    /// The data centre of the router's VM.
    pub data_centre: DataCentre,
}

/// The live and ready routers of a fleet, as one router has recorded them.
#[derive(Clone, Debug, PartialEq)]
pub struct LimiterMap {
    own: SocketAddr,
    /// Each router with the hash of its address.
    by_data_centre: BTreeMap<DataCentre, Vec<(u64, SocketAddr)>>,
    share: f64,
}

impl LimiterMap {
    /// Creates the map of the router at `own`. `live` contains the live and ready routers, this router
    /// included if it is ready; `lost` is the number of routers that were lost recently.
    pub fn new(own: SocketAddr, live: Vec<RouterLocation>, lost: usize) -> Self {
        let total = live.len() + lost;
        let share = live.len() as f64 / total.max(1) as f64;
        let mut by_data_centre: BTreeMap<DataCentre, Vec<(u64, SocketAddr)>> = BTreeMap::new();
        for location in live {
            let routers = by_data_centre.entry(location.data_centre).or_default();
            routers.push((hash_of(&location.router.to_string()), location.router));
        }
        Self {
            own,
            by_data_centre,
            share,
        }
    }

    /// The number of live routers divided by that of live and recently lost ones, from 0 to 1. While each
    /// side of a network partition counts the routers of the other as lost, the shares of the sides add up
    /// to 1, so that the sides together do not exceed a rate.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// The limiter of an upstream; `None` without a responsive live router. A router in the upstream's own
    /// data centre is preferred, since a router that can reach the upstream can then reach the limiter,
    /// too.
    pub fn limiter_of(
        &self,
        upstream: UpstreamKey,
        data_centre: &DataCentre,
        is_unresponsive: impl Fn(SocketAddr) -> bool,
    ) -> Option<SocketAddr> {
        let first = |routers: &mut dyn Iterator<Item = &(u64, SocketAddr)>| {
            let responsive = routers.filter(|(_, router)| !is_unresponsive(*router));
            let ranked = responsive
                .max_by_key(|(hash, router)| (rendezvous_weight(upstream, *hash), *router));
            ranked.map(|(_, router)| *router)
        };
        let local = self.by_data_centre.get(data_centre);
        let local = local.and_then(|routers| first(&mut routers.iter()));
        local.or_else(|| first(&mut self.by_data_centre.values().flatten()))
    }

    /// Whether this router is the limiter of an upstream.
    fn is_own(
        &self,
        upstream: UpstreamKey,
        data_centre: &DataCentre,
        is_unresponsive: impl Fn(SocketAddr) -> bool,
    ) -> bool {
        self.limiter_of(upstream, data_centre, is_unresponsive) == Some(self.own)
    }
}

/// The weight of a router, given by the hash of its address, for an upstream. Rendezvous hashing selects
/// the router with the highest weight.
fn rendezvous_weight(upstream: UpstreamKey, router_hash: u64) -> u64 {
    // The finalizer of splitmix64, in which each input bit affects all output bits.
    let mut mixed = upstream.0 ^ router_hash.rotate_left(32);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// The bucket of an upstream whose limiter this router is.
#[derive(Clone, Debug)]
struct OwnBucket {
    /// When the hold started in which this router refuses all permits for the upstream.
    hold_started_at: Instant,
    bucket: PermitBucket,
}

/// The result of a permit request at the router that received it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LimiterDecision {
    /// This router is the limiter; contains the granted permits and the refusal.
    Allocated(PermitAllocation),
    /// This router is not the limiter of the upstream.
    NotLimiter,
}

/// The upstreams whose limiter this router is.
#[derive(Clone, Debug)]
pub struct Limiter {
    map: LimiterMap,
    /// When this router last noticed a change of the live routers.
    routers_changed_at: Instant,
    /// The longest time until all routers have noticed a change of the live routers.
    hold: Duration,
    /// The fraction of each rate for which permits are granted. A decrease applies at once, an increase
    /// after the hold.
    share: f64,
    /// Since when the share of the map has been higher than `share`; `None` if it is not.
    share_rises_since: Option<Instant>,
    buckets: HashMap<UpstreamKey, OwnBucket>,
}

impl Limiter {
    /// Creates the state of the router at `own`, which grants no permits before the end of the hold that the
    /// first call of [`Limiter::on_routers`] starts.
    pub fn new(own: SocketAddr, now: Instant) -> Self {
        Self {
            map: LimiterMap::new(own, Vec::new(), 0),
            routers_changed_at: now,
            hold: Duration::MAX,
            share: 0.0,
            share_rises_since: None,
            buckets: HashMap::new(),
        }
    }

    /// The live and ready routers by which this router selects limiters.
    pub fn map(&self) -> &LimiterMap {
        &self.map
    }

    /// Updates the live routers; `map` is `None` if they have not changed. `hold` is the longest time until
    /// all routers have noticed a change of the live routers.
    pub fn on_routers(&mut self, map: Option<LimiterMap>, hold: Duration, now: Instant) {
        self.hold = hold;
        if let Some(map) = map.filter(|map| *map != self.map) {
            self.map = map;
            self.routers_changed_at = now;
        }
        let share = self.map.share();
        if share <= self.share {
            self.share = share;
            self.share_rises_since = None;
            return;
        }
        let since = *self.share_rises_since.get_or_insert(now);
        if now.saturating_duration_since(since) >= hold {
            self.share = share;
            self.share_rises_since = None;
        }
    }

    /// Removes all buckets and starts a new hold after this process was paused, since other routers may
    /// have granted the permits during the pause.
    pub fn on_paused(&mut self, now: Instant) {
        self.routers_changed_at = now;
        self.buckets.clear();
    }

    /// Removes the buckets of all upstreams for which `is_own` is false: another router is the limiter, or
    /// the upstream is no longer limited.
    pub fn retain(&mut self, is_own: impl Fn(&LimiterMap, UpstreamKey) -> bool) {
        let map = &self.map;
        self.buckets.retain(|upstream, _| is_own(map, *upstream));
    }

    /// Decides on a permit request of any router, this one included. Refuses all permits during the hold
    /// after a change of the live routers, in which the previous limiter may still grant permits.
    pub fn on_demand(
        &mut self,
        demand: &PermitDemand,
        data_centre: &DataCentre,
        rate: Rate,
        is_unresponsive: impl Fn(SocketAddr) -> bool,
        now: Instant,
    ) -> LimiterDecision {
        if !self
            .map
            .is_own(demand.upstream, data_centre, is_unresponsive)
        {
            return LimiterDecision::NotLimiter;
        }
        // If this router replaces an unresponsive limiter, the hold starts with the first permit request,
        // since other routers may not have noticed yet that the limiter is unresponsive.
        let is_substitute = !self.map.is_own(demand.upstream, data_centre, |_| false);
        let share = self.map.share();
        let hold_started_at = if is_substitute {
            now
        } else {
            self.routers_changed_at
        };
        let own = self
            .buckets
            .entry(demand.upstream)
            .or_insert_with(|| OwnBucket {
                hold_started_at,
                bucket: PermitBucket::new(share, now),
            });
        let hold_ends_at = own.hold_started_at.checked_add(self.hold);
        let remaining =
            hold_ends_at.map_or(self.hold, |until| until.saturating_duration_since(now));
        // The share is 0 until the first hold has ended.
        if !remaining.is_zero() || self.share <= 0.0 {
            return LimiterDecision::Allocated(refuse_during_hold(remaining, rate));
        }
        let per_second = rate.as_per_second() * self.share;
        LimiterDecision::Allocated(own.bucket.allocate(demand, per_second, now))
    }
}

/// Refuses all requests for the remaining time of the hold.
fn refuse_during_hold(remaining: Duration, rate: Rate) -> PermitAllocation {
    PermitAllocation {
        delays: Vec::new(),
        refusal: Some(PermitRefusal {
            next_permit: remaining,
            retry_after: remaining,
            per_router_interval: rate.interval(),
        }),
    }
}
