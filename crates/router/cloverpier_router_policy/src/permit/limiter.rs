//! Which router hands out the permits of an upstream.
//!
//! [`LimiterMap`] is what a router knows of the others, [`Limiter`] the upstreams for which it hands out
//! permits itself, with their buckets.

use super::bucket::{HandedOut, PermitBucket};
use super::{PermitAsk, PermitRefusal};
use crate::limit::Rate;
use crate::upstream::UpstreamKey;
use cloverpier_core::{DataCentre, hash_of};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// A router that may hand out permits: it lives and serves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouterPlace {
    /// Its address for peers.
    pub router: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
}

/// The routers of a fleet, as one of them knows them.
#[derive(Clone, Debug, PartialEq)]
pub struct LimiterMap {
    own: SocketAddr,
    /// The routers with the hashes of their addresses.
    by_data_centre: BTreeMap<DataCentre, Vec<(u64, SocketAddr)>>,
    share: f64,
}

impl LimiterMap {
    /// A map of the routers that live and serve, this one among them if it does, with the number of those
    /// that were lost a while ago.
    pub fn new(own: SocketAddr, live: Vec<RouterPlace>, lost: usize) -> Self {
        let known = live.len() + lost;
        let share = live.len() as f64 / known.max(1) as f64;
        let mut by_data_centre: BTreeMap<DataCentre, Vec<(u64, SocketAddr)>> = BTreeMap::new();
        for place in live {
            let routers = by_data_centre.entry(place.data_centre).or_default();
            routers.push((hash_of(&place.router.to_string()), place.router));
        }
        Self {
            own,
            by_data_centre,
            share,
        }
    }

    /// The part of the known routers that live. Parts of a fleet that are cut off from each other have
    /// one whole together.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// The router that hands out an upstream's permits: one of the upstream's own data centre where there
    /// is one, as who reaches the upstream reaches that, too.
    pub fn limiter_of(
        &self,
        upstream: UpstreamKey,
        data_centre: &DataCentre,
        is_silent: impl Fn(SocketAddr) -> bool,
    ) -> Option<SocketAddr> {
        let first = |routers: &mut dyn Iterator<Item = &(u64, SocketAddr)>| {
            let speaking = routers.filter(|(_, router)| !is_silent(*router));
            let ranked = speaking.max_by_key(|(hash, router)| (weight(upstream, *hash), *router));
            ranked.map(|(_, router)| *router)
        };
        let near = self.by_data_centre.get(data_centre);
        let near = near.and_then(|routers| first(&mut routers.iter()));
        near.or_else(|| first(&mut self.by_data_centre.values().flatten()))
    }

    /// Whether this router hands out an upstream's permits.
    fn is_own(
        &self,
        upstream: UpstreamKey,
        data_centre: &DataCentre,
        is_silent: impl Fn(SocketAddr) -> bool,
    ) -> bool {
        self.limiter_of(upstream, data_centre, is_silent) == Some(self.own)
    }
}

/// The rank of a router for an upstream, by rendezvous.
fn weight(upstream: UpstreamKey, router: u64) -> u64 {
    // The finalizer of splitmix64, which spreads a change of one bit over all.
    let mut mixed = upstream.0 ^ router.rotate_left(32);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// The permits of an upstream that this router hands out.
#[derive(Clone, Debug)]
struct Duty {
    /// Since when it is this router's to do so.
    since: Instant,
    bucket: PermitBucket,
}

/// An answer to an ask.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LimiterAnswer {
    /// This router hands out the permits.
    HandedOut(HandedOut),
    /// Another one does.
    NotLimiter,
}

/// The upstreams whose permits this router hands out.
#[derive(Clone, Debug)]
pub struct Limiter {
    map: LimiterMap,
    /// When the routers that live changed last, as far as this router noticed.
    changed: Instant,
    /// How long a change waits for others to notice it.
    hold: Duration,
    /// The part of each rate that is handed out, which rises after the hold alone.
    share: f64,
    rises_since: Option<Instant>,
    duties: HashMap<UpstreamKey, Duty>,
}

impl Limiter {
    /// A router that knows nobody else yet.
    pub fn new(own: SocketAddr, now: Instant) -> Self {
        Self {
            map: LimiterMap::new(own, Vec::new(), 0),
            changed: now,
            hold: Duration::MAX,
            share: 0.0,
            rises_since: None,
            duties: HashMap::new(),
        }
    }

    /// What this router knows of the others.
    pub fn map(&self) -> &LimiterMap {
        &self.map
    }

    /// Takes account of the routers that live now, if they are others than before. `hold` is how long it
    /// takes at most until all of them have noticed a change.
    pub fn on_routers(&mut self, map: Option<LimiterMap>, hold: Duration, now: Instant) {
        self.hold = hold;
        if let Some(map) = map.filter(|map| *map != self.map) {
            self.map = map;
            self.changed = now;
        }
        let share = self.map.share();
        if share <= self.share {
            self.share = share;
            self.rises_since = None;
            return;
        }
        let since = *self.rises_since.get_or_insert(now);
        if now.saturating_duration_since(since) >= hold {
            self.share = share;
            self.rises_since = None;
        }
    }

    /// Gives up the permits of all upstreams, as when this process stood still: others may have handed
    /// them out meanwhile.
    pub fn on_paused(&mut self, now: Instant) {
        self.changed = now;
        self.duties.clear();
    }

    /// Gives up what is another router's to hand out by now, or limited no more.
    pub fn retain(&mut self, is_own: impl Fn(&LimiterMap, UpstreamKey) -> bool) {
        let map = &self.map;
        self.duties.retain(|upstream, _| is_own(map, *upstream));
    }

    /// Answers an ask for an upstream's permits.
    pub fn on_ask(
        &mut self,
        ask: &PermitAsk,
        data_centre: &DataCentre,
        rate: Rate,
        is_silent: impl Fn(SocketAddr) -> bool,
        now: Instant,
    ) -> LimiterAnswer {
        if !self.map.is_own(ask.upstream, data_centre, is_silent) {
            return LimiterAnswer::NotLimiter;
        }
        // In place of one that does not answer, a router hands out nothing before others notice that, too.
        let stands_in = !self.map.is_own(ask.upstream, data_centre, |_| false);
        let share = self.map.share();
        let since = if stands_in { now } else { self.changed };
        let duty = self.duties.entry(ask.upstream).or_insert_with(|| Duty {
            since,
            bucket: PermitBucket::new(share, now),
        });
        let held_until = duty.since.checked_add(self.hold);
        let left = held_until.map_or(self.hold, |until| until.saturating_duration_since(now));
        // The share is none until the first hold is over.
        if !left.is_zero() || self.share <= 0.0 {
            return LimiterAnswer::HandedOut(not_yet(left, rate));
        }
        let per_second = rate.as_per_second() * self.share;
        LimiterAnswer::HandedOut(duty.bucket.hand_out(ask, per_second, now))
    }
}

/// The refusal of all requests for a while.
fn not_yet(left: Duration, rate: Rate) -> HandedOut {
    HandedOut {
        waits: Vec::new(),
        refusal: Some(PermitRefusal {
            next: left,
            retry: left,
            turn: rate.interval(),
        }),
    }
}
