//! The routers of the play, and how a request finds its way.

use super::{Cut, PartitionOutcome, PartitionSpec};
use cloverpier_core::{DataCentre, ServiceName};
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::reachability::{Reachability, UpstreamPath};
use cloverpier_router_policy::tunnel_peers::{
    FALLBACK_DELAY, MAX_PEERS_TRIED, MAX_SERVED, PeerFailure, TunnelCandidate, TunnelEnds,
    TunnelPeers, UPSTREAM_TIMEOUT,
};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// From the cut to the moment from which first attempts count.
const CONTACT: Duration = Duration::from_secs(3);
/// A caller's deadline for a request, the time of the upstream for it, and a message there and back.
const DEADLINE: Duration = Duration::from_millis(1_000);
const WORK: Duration = Duration::from_millis(40);
const ROUND_TRIP: Duration = Duration::from_millis(2);
/// From sending a request on a connection on which nothing arrives to the verdict that the path is lost.
const SILENCE: Duration = Duration::from_millis(350);
/// Connections that a router has at the moment of the cut.
const KEPT: usize = 8;
const DATA_CENTRES: usize = 4;

struct Router {
    is_cut: bool,
    address: SocketAddr,
    data_centre: DataCentre,
    reachability: Reachability,
    peers: TunnelPeers,
    /// Upstreams to which a direct connection is kept.
    kept: HashSet<usize>,
    /// The peers through which a tunnel to an upstream is kept.
    tunnels: HashMap<usize, usize>,
    carried: usize,
}

struct World {
    spec: PartitionSpec,
    start: Instant,
    rng: fastrand::Rng,
    routers: Vec<Router>,
    upstreams: Vec<Upstream>,
    /// All routers; a router that asks itself counts as one that declines.
    candidates: Vec<TunnelCandidate>,
    positions: HashMap<SocketAddr, usize>,
    dead: HashSet<usize>,
    outcome: PartitionOutcome,
}

/// Plays one cut.
pub fn play(spec: PartitionSpec) -> PartitionOutcome {
    let mut world = World::new(spec);
    let mut arrivals: Vec<(Duration, usize)> = Vec::new();
    for router in 0..spec.routers {
        let mut at = spec.pace.mul_f64(world.rng.f64());
        while at < spec.time {
            arrivals.push((at, router));
            at += spec.pace.mul_f64(2.0 * world.rng.f64());
        }
    }
    arrivals.sort();
    for (at, router) in arrivals {
        world.request(at, router);
    }
    world.finish()
}

impl World {
    fn new(spec: PartitionSpec) -> Self {
        let mut rng = fastrand::Rng::with_seed(spec.seed);
        let is_partition = spec.cut != Cut::DeadUpstreams;
        let routers: Vec<Router> = (0..spec.routers)
            .map(|n| Router {
                is_cut: is_partition && n < spec.cut_off,
                address: ([10, 0, (n >> 8) as u8, n as u8], 7104).into(),
                data_centre: data_centre(n * DATA_CENTRES / spec.routers),
                reachability: Reachability::default(),
                peers: TunnelPeers::default(),
                kept: (0..KEPT).map(|_| rng.usize(..spec.upstreams)).collect(),
                tunnels: HashMap::new(),
                carried: 0,
            })
            .collect();
        let candidates = routers.iter().map(|router| TunnelCandidate {
            peer: router.address,
            data_centre: router.data_centre.clone(),
        });
        let dead = (0..spec.upstreams).filter(|n| !is_partition && n % 4 == 0);
        let positions = routers.iter().enumerate().map(|(n, r)| (r.address, n));
        Self {
            positions: positions.collect(),
            candidates: candidates.collect(),
            upstreams: (0..spec.upstreams).map(upstream).collect(),
            dead: dead.collect(),
            start: Instant::now(),
            outcome: PartitionOutcome::default(),
            routers,
            rng,
            spec,
        }
    }

    fn request(&mut self, at: Duration, router: usize) {
        let upstream = self.rng.usize(..self.upstreams.len());
        let may_repeat = self.rng.bool();
        let opening = self.reach(at, router, upstream, may_repeat);
        let is_counted = at >= CONTACT && (self.routers[router].is_cut || self.spec.cut_off == 0);
        if !is_counted {
            return;
        }
        self.outcome.requests += 1;
        if let Some(opening) = opening.filter(|time| *time + WORK + ROUND_TRIP <= DEADLINE) {
            self.outcome.served += 1;
            self.outcome.longest_opening = self.outcome.longest_opening.max(opening);
        }
    }

    /// How long a request takes until it is on a connection that works; `None` if it is lost.
    fn reach(
        &mut self,
        at: Duration,
        router: usize,
        upstream: usize,
        may_repeat: bool,
    ) -> Option<Duration> {
        let path = self.routers[router]
            .reachability
            .path(&self.upstreams[upstream]);
        if path == UpstreamPath::ThroughPeer {
            return self.through_peer(at, router, upstream);
        }
        if self.routers[router].kept.contains(&upstream) {
            return self.over_kept_connection(at, router, upstream, may_repeat);
        }
        self.over_new_connection(at, router, upstream)
    }

    /// The same for a request on a kept connection. On one that fails, a request that may not be repeated is lost.
    fn over_kept_connection(
        &mut self,
        at: Duration,
        router: usize,
        upstream: usize,
        may_repeat: bool,
    ) -> Option<Duration> {
        let lives_on = self.spec.cut == Cut::LivesOn && !self.dead.contains(&upstream);
        if lives_on || self.works_directly(router, upstream) {
            return Some(Duration::ZERO);
        }
        self.routers[router].kept.remove(&upstream);
        let detection = if self.spec.cut == Cut::Hangs {
            SILENCE
        } else {
            ROUND_TRIP
        };
        let opening = self.through_peer(at + detection, router, upstream);
        if opening.is_some() {
            self.lose_path(router, upstream, self.start + at);
        }
        opening.filter(|_| may_repeat).map(|time| detection + time)
    }

    /// The same for a request that needs a new connection.
    fn over_new_connection(
        &mut self,
        at: Duration,
        router: usize,
        upstream: usize,
    ) -> Option<Duration> {
        let now = self.start + at;
        if self.works_directly(router, upstream) {
            let state = &mut self.routers[router];
            state.kept.insert(upstream);
            let upstream = &self.upstreams[upstream];
            state.reachability.on_working_connection(upstream, now);
            return Some(ROUND_TRIP);
        }
        let delay = if self.spec.cut == Cut::Hangs {
            FALLBACK_DELAY
        } else {
            ROUND_TRIP
        };
        let opening = self.through_peer(at + delay, router, upstream)?;
        self.lose_path(router, upstream, now);
        Some(delay + opening)
    }

    fn works_directly(&self, router: usize, upstream: usize) -> bool {
        !self.routers[router].is_cut && !self.dead.contains(&upstream)
    }

    fn lose_path(&mut self, router: usize, upstream: usize, now: Instant) {
        let state = &mut self.routers[router];
        let upstream = &self.upstreams[upstream];
        state.reachability.on_reached_by_peer(upstream, now, now);
        self.outcome.wrong_verdicts += usize::from(!state.is_cut);
    }

    /// How long it takes until a tunnel is open; `None` if none opens.
    fn through_peer(&mut self, at: Duration, router: usize, upstream: usize) -> Option<Duration> {
        if self.routers[router].tunnels.contains_key(&upstream) {
            return Some(Duration::ZERO);
        }
        let mut took = Duration::ZERO;
        for _ in 0..MAX_PEERS_TRIED {
            let now = self.start + at + took;
            let peer = self.choose_peer(router, upstream, now)?;
            self.outcome.asked += 1;
            let address = self.routers[peer].address;
            let (time, answer) = self.ask(peer, upstream);
            took += time;
            let service = &self.upstreams[upstream].service;
            let peers = &mut self.routers[router].peers;
            let Some(failure) = answer else {
                peers.on_opened(service, address, now);
                self.routers[router].tunnels.insert(upstream, peer);
                self.routers[peer].carried += 1;
                self.outcome.opened += 1;
                return Some(took);
            };
            peers.on_failed(service, address, failure, now);
        }
        None
    }

    fn choose_peer(&mut self, router: usize, upstream: usize, now: Instant) -> Option<usize> {
        let (state, upstream) = (&self.routers[router], &self.upstreams[upstream]);
        let ends = TunnelEnds {
            home: &state.data_centre,
            upstream: &upstream.data_centre,
        };
        let service = &upstream.service;
        let peer = state
            .peers
            .choose(&self.candidates, service, ends, now, &mut self.rng)?;
        self.positions.get(&peer).copied()
    }

    /// How long a peer takes to answer, and why it opens no tunnel; `None` if it opens one.
    fn ask(&self, peer: usize, upstream: usize) -> (Duration, Option<PeerFailure>) {
        let state = &self.routers[peer];
        let knows = state.reachability.path(&self.upstreams[upstream]) == UpstreamPath::ThroughPeer;
        if knows || state.carried >= MAX_SERVED {
            return (ROUND_TRIP, Some(PeerFailure::Declined));
        }
        if self.works_directly(peer, upstream) {
            return (2 * ROUND_TRIP, None);
        }
        let failure = Some(PeerFailure::UpstreamSilent);
        if self.spec.cut == Cut::Hangs {
            (ROUND_TRIP + UPSTREAM_TIMEOUT, failure)
        } else {
            (2 * ROUND_TRIP, failure)
        }
    }

    fn finish(mut self) -> PartitionOutcome {
        let whole = self.routers.iter().filter(|r| !r.is_cut);
        let carried: Vec<usize> = whole.map(|r| r.carried).collect();
        let mean = carried.iter().sum::<usize>() as f64 / carried.len().max(1) as f64;
        let most = carried.iter().max().copied().unwrap_or(0) as f64;
        self.outcome.peak_to_mean = if mean > 0.0 { most / mean } else { 0.0 };
        self.outcome
    }
}

fn data_centre(n: usize) -> DataCentre {
    DataCentre::new(format!("hall-{n}"))
}

fn upstream(n: usize) -> Upstream {
    Upstream {
        name: format!("upstream-{n}").as_str().into(),
        service: ServiceName::new("lookups"),
        address: ([10, 1, (n >> 8) as u8, n as u8], 80).into(),
        data_centre: data_centre(n % DATA_CENTRES),
        slots: 6,
        draining: false,
        start: None,
    }
}
