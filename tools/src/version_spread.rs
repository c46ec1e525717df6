//! How a version spreads over a fleet of routers, in simulated time.
//!
//! The rules are the routers' own: whom to ask (`version_fetch`), whether a copy is handed out
//! (`version_serving`), who gets heartbeats (`heartbeat`). Links are modelled as queues that
//! carry one byte after the other, processors by the time that reading a copy takes. Owns the
//! model; nothing here is a clock or a socket.

mod model;

pub use model::{SpreadOutcome, SpreadSpec};

use cloverpier_core::jitter;
use cloverpier_router_policy::heartbeat::{MIN_SEND_PAUSE, version_recipients};
use cloverpier_router_policy::version_fetch::{FetchStep, PeerVersion};
use cloverpier_router_policy::version_serving::{CopyStep, LinkRate};
use model::{Event, SimRouter};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// One way between two routers: about what the users' pages say.
const LATENCY: Duration = Duration::from_millis(1);
/// How often routers send heartbeats: the setting's default.
const HEARTBEAT: Duration = Duration::from_millis(200);
/// Routers that watch the store.
const WATCHERS: usize = 3;
/// The simulation ends here, whoever is still behind.
const GIVE_UP: Duration = Duration::from_secs(60);

/// A running simulation.
#[derive(Debug)]
pub struct Spread {
    spec: SpreadSpec,
    link: LinkRate,
    began: Instant,
    now: Duration,
    rng: fastrand::Rng,
    routers: Vec<SimRouter>,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    scheduled: u64,
    refusals: usize,
}

impl Spread {
    /// A fleet whose routers all know each other and have no version yet.
    pub fn new(spec: SpreadSpec) -> Self {
        let address = |index: usize| SocketAddr::from(([127, 0, 0, 1], 1_000 + index as u16));
        let routers = (0..spec.routers).map(|index| {
            let peers = (0..spec.routers).filter(|peer| *peer != index);
            SimRouter::new(address(index), peers.map(address))
        });
        Self {
            link: LinkRate::from_mbps(spec.link_mbps),
            began: Instant::now(),
            now: Duration::ZERO,
            rng: fastrand::Rng::with_seed(spec.seed),
            routers: routers.collect(),
            events: BinaryHeap::new(),
            scheduled: 0,
            refusals: 0,
            spec,
        }
    }

    /// Lets the watchers have a new version at each of these moments, in order, and runs until
    /// all routers have the last one.
    pub fn run(mut self, changes: &[Duration]) -> SpreadOutcome {
        for router in 0..self.spec.routers {
            let phase = HEARTBEAT.mul_f64(self.rng.f64());
            let is_regular = true;
            self.schedule(phase, Event::Beat { router, is_regular });
        }
        for (version, at) in (1..).zip(changes) {
            for router in 0..WATCHERS.min(self.spec.routers) {
                self.schedule(*at, Event::Read { router, version });
            }
        }
        while self.now < GIVE_UP
            && self
                .routers
                .iter()
                .any(|r| r.in_force.len() < changes.len())
        {
            let Some(Reverse((at, _, event))) = self.events.pop() else {
                break;
            };
            self.now = at;
            self.on_event(event);
        }
        self.outcome(changes)
    }

    fn outcome(&self, changes: &[Duration]) -> SpreadOutcome {
        let last = |(index, changed): (usize, &Duration)| {
            let reached = self.routers.iter().map(|r| r.in_force.get(index).copied());
            reached
                .map(|at| at.unwrap_or(GIVE_UP))
                .max()
                .unwrap_or_default()
                - *changed
        };
        let mut copies: Vec<usize> = self.routers.iter().map(|r| r.copies).collect();
        copies.sort_unstable();
        SpreadOutcome {
            last_in_force: changes.iter().enumerate().map(last).collect(),
            most_copies: copies.last().copied().unwrap_or_default(),
            median_copies: copies[copies.len() / 2],
            bytes: copies.iter().sum::<usize>() * self.spec.copy_bytes,
            refusals: self.refusals,
        }
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.scheduled += 1;
        self.events.push(Reverse((at, self.scheduled, event)));
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Beat { router, is_regular } => self.on_beat(router, is_regular),
            Event::Heard {
                router,
                from,
                version,
            } => {
                let from = self.routers[from].address;
                self.routers[router].peers.insert(from, version);
                if version > self.routers[router].version {
                    self.start_fetch(router);
                }
            }
            Event::Step { router } => self.on_step(router),
            Event::Asked { source, router } => self.on_asked(source, router),
            Event::Refused {
                router,
                source,
                wait,
            } => {
                self.refusals += 1;
                let (now, source) = (self.began + self.now, self.routers[source].address);
                self.routers[router].sources.on_busy(source, wait, now);
                self.on_step(router);
            }
            Event::Read { router, version } => self.on_read(router, version),
        }
    }

    fn on_beat(&mut self, router: usize, is_regular: bool) {
        if is_regular {
            let next = self.now + HEARTBEAT;
            self.schedule(next, Event::Beat { router, is_regular });
        }
        let sender = &mut self.routers[router];
        let version = sender.version;
        let peers: Vec<SocketAddr> = sender.peers.keys().copied().collect();
        let serves_peers = router < WATCHERS;
        let peers = if is_regular {
            sender.turn.next_peers(peers, serves_peers)
        } else {
            version_recipients(peers, serves_peers, &mut self.rng)
        };
        for peer in peers {
            let heard = Event::Heard {
                router: self.index_of(peer),
                from: router,
                version,
            };
            // A heartbeat waits behind the copies on its way out.
            let sent = self.now.max(self.routers[router].link_free);
            self.schedule(sent + LATENCY, heard);
        }
    }

    fn index_of(&self, address: SocketAddr) -> usize {
        usize::from(address.port()) - 1_000
    }

    fn start_fetch(&mut self, router: usize) {
        if !std::mem::replace(&mut self.routers[router].is_fetching, true) {
            self.on_step(router);
        }
    }

    fn on_step(&mut self, router: usize) {
        let now = self.began + self.now;
        let at = &mut self.routers[router];
        let peers = at.peers.iter().map(|(peer, version)| PeerVersion {
            peer: *peer,
            version: *version,
            is_local: true,
        });
        let step = at.sources.step(at.version, peers, now, &mut self.rng);
        at.is_fetching = step != FetchStep::UpToDate;
        match step {
            FetchStep::UpToDate => {}
            FetchStep::Wait(wait) => {
                let again = self.now + jitter(&mut self.rng, wait * 2);
                self.schedule(again, Event::Step { router });
            }
            FetchStep::Fetch(peer) => {
                let source = self.index_of(peer);
                self.schedule(self.now + LATENCY, Event::Asked { source, router });
            }
        }
    }

    fn on_asked(&mut self, source: usize, router: usize) {
        let now = self.began + self.now;
        let (bytes, link) = (self.spec.copy_bytes, self.link);
        let at = &mut self.routers[source];
        if let CopyStep::Refuse(wait) = at.pacing.step(bytes, link, now) {
            let refused = Event::Refused {
                router,
                source,
                wait,
            };
            self.schedule(self.now + LATENCY, refused);
            return;
        }
        let seconds = bytes as f64 * 8.0 / (self.spec.link_mbps * 1e6);
        at.link_free = at.link_free.max(self.now) + Duration::from_secs_f64(seconds);
        at.copies += 1;
        let (sent, version) = (at.link_free, at.version);
        let read = sent + LATENCY + self.spec.read_time;
        self.schedule(read, Event::Read { router, version });
    }

    fn on_read(&mut self, router: usize, version: u64) {
        let at = &mut self.routers[router];
        at.version = at.version.max(version);
        while (at.in_force.len() as u64) < at.version {
            at.in_force.push(self.now);
        }
        let is_regular = false;
        self.schedule(
            self.now + MIN_SEND_PAUSE,
            Event::Beat { router, is_regular },
        );
        self.on_step(router);
    }
}
