//! The routers of the play, and what happens to them.

use super::{GossipOutcome, GossipSpec};
use cloverpier_core::DataCentre;
use cloverpier_router::peer_messages::{Gossip, Members, PeerMessage, UpstreamUpdate, encode};
use cloverpier_router_policy::membership::{
    DEPARTURE_REPORT_INTERVAL, GOSSIP_PERIOD, GossipReply, MemberState, MemberUpdate, Membership,
    ReceivedGossip,
};
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::watcher_reports::{WatcherReport, WatcherReports};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

const PERIOD: Duration = GOSSIP_PERIOD;
const LATENCY: Duration = Duration::from_millis(1);
/// From a message that shows a newer revision to the fetched changes.
const FETCH: Duration = Duration::from_millis(20);
/// The age of a watcher's last call up to which it reaches the store.
const FRESH_FOR: Duration = Duration::from_secs(3);
/// All start within this time of each other.
const START_SPREAD: Duration = Duration::from_millis(300);
const SEEDS: usize = 3;
const WATCHERS: usize = 3;
const PORT: u16 = 7_100;
/// Nothing is awaited for longer.
pub(super) const GIVE_UP: Duration = Duration::from_secs(30);
/// Part of the routers that are killed at once.
const MANY: f64 = 0.05;

/// One router.
pub(super) struct Router {
    run: u64,
    pub is_alive: bool,
    pub members: Membership,
    pub beats: WatcherReports,
    pub revision: u64,
    /// The age of its last call to the store, as it says, if it watches.
    store_age: Duration,
    rng: fastrand::Rng,
    /// Datagrams, bytes, and bytes that left the data centre.
    pub sent: (u64, u64, u64),
    /// When updates of routers that end may be sent at once again.
    urgent_at: Duration,
}

impl Router {
    /// Takes what watchers said; returns whether others are to be told at once.
    fn take_beats(&mut self, beats: &[WatcherReport], now: Instant) -> bool {
        let is_fresh = |age: Option<Duration>| age.map(|age| age <= FRESH_FOR);
        let mut is_urgent = false;
        for beat in beats {
            let former = self.beats.store_age(beat.router, now);
            let is_new = self.beats.on_report(*beat, now);
            let present = self.beats.store_age(beat.router, now);
            is_urgent |= is_new && is_fresh(former) != is_fresh(present);
        }
        is_urgent
    }
}

enum Event {
    Start(usize),
    Period(usize, u64),
    Deliver(usize, Rc<PeerMessage>),
    Fetched(usize, u64),
    Urgent(usize),
}

pub(super) struct World {
    spec: GossipSpec,
    began: Instant,
    pub now: Duration,
    rng: fastrand::Rng,
    pub routers: Vec<Router>,
    events: BinaryHeap<Reverse<(Duration, u64)>>,
    queued: std::collections::HashMap<u64, Event>,
    number: u64,
}

impl World {
    pub fn new(spec: GossipSpec) -> Self {
        let routers = (0..spec.routers).map(|index| Router {
            run: 0,
            is_alive: false,
            members: Membership::new(member(spec, index, 1)),
            beats: WatcherReports::default(),
            revision: 1,
            store_age: Duration::ZERO,
            rng: fastrand::Rng::with_seed(spec.seed ^ (index as u64) << 20),
            sent: (0, 0, 0),
            urgent_at: Duration::ZERO,
        });
        Self {
            began: Instant::now(),
            now: Duration::ZERO,
            rng: fastrand::Rng::with_seed(spec.seed),
            routers: routers.collect(),
            events: BinaryHeap::new(),
            queued: std::collections::HashMap::new(),
            number: 0,
            spec,
        }
    }

    pub fn play(mut self) -> GossipOutcome {
        let mut outcome = GossipOutcome::default();
        for index in 0..self.spec.routers {
            let at = START_SPREAD.mul_f64(self.rng.f64());
            self.schedule(at, Event::Start(index));
        }
        let most = (self.spec.routers - 1) * 9 / 10;
        let knows = |count: usize| move |r: &Router| r.members.count() >= count;
        self.run_for(Duration::from_secs(2));
        outcome.start_cost = self.cost(Duration::from_secs(2));
        outcome.start.0 = self.first_time(most);
        outcome.start.1 = self.until(|w| w.all(knows(w.spec.routers - 1)));
        self.run_for(Duration::from_secs(5));
        self.clear_cost();
        self.run_for(Duration::from_secs(5));
        outcome.idle_cost = self.cost(Duration::from_secs(5));
        outcome.taken_for_dead = self.taken_for_dead();
        self.play_deaths(&mut outcome);
        self.play_news(&mut outcome);
        outcome
    }

    fn play_deaths(&mut self, outcome: &mut GossipOutcome) {
        let victim = self.spec.routers / 2;
        let address = address(victim);
        self.routers[victim].is_alive = false;
        outcome.death = self.spread(|r| r.members.is_recorded_dead(address));
        self.run_for(Duration::from_secs(1));
        self.start(victim);
        outcome.restart = self.spread(|r| {
            r.members.own().router == address
                || (r.members.contains(address) && !r.members.is_recorded_dead(address))
        });
        self.run_for(Duration::from_secs(3));
        let count = (self.spec.routers as f64 * MANY).ceil() as usize;
        let victims = self.rng.choose_multiple(SEEDS..self.spec.routers, count);
        self.clear_cost();
        let killed = self.now;
        for victim in &victims {
            self.routers[*victim].is_alive = false;
        }
        let dead: Vec<SocketAddr> = victims.iter().map(|v| self::address(*v)).collect();
        outcome.many_deaths = self.spread(|r| {
            dead.iter()
                .all(|victim| r.members.is_recorded_dead(*victim))
        });
        self.run_for(Duration::from_secs(3));
        outcome.deaths_cost = self.cost(self.now - killed);
    }

    fn play_news(&mut self, outcome: &mut GossipOutcome) {
        let watcher = 0;
        let update = UpstreamUpdate {
            sender: address(watcher),
            after: 1,
            revision: 2,
            changes: vec![UpstreamChange::Gone("server".into())],
        };
        self.routers[watcher].revision = 2;
        let router = &mut self.routers[watcher];
        let roots = router.members.flood_roots(&mut router.rng);
        self.send(watcher, PeerMessage::UpstreamUpdate(update), roots);
        outcome.change = self.spread(|r| r.revision >= 2);
        self.run_for(Duration::from_secs(1));
        let stale = Duration::from_secs(6);
        self.routers[watcher].store_age = stale;
        self.beat(watcher);
        let router = &mut self.routers[watcher];
        let urgent = router.members.urgent_targets(&mut router.rng);
        self.gossip(watcher, urgent, false);
        let (address, began) = (address(watcher), self.began);
        outcome.watcher_fails = self.spread_at(move |r, now| {
            let age = r.beats.store_age(address, began + now);
            age.is_some_and(|age| age >= stale)
        });
    }

    fn moment(&self) -> Instant {
        self.began + self.now
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.number += 1;
        self.queued.insert(self.number, event);
        self.events.push(Reverse((at, self.number)));
    }

    pub(super) fn run_for(&mut self, time: Duration) {
        let until = self.now + time;
        while let Some(Reverse((at, number))) = self.events.peek().copied() {
            if at > until {
                break;
            }
            self.events.pop();
            self.now = at;
            if let Some(event) = self.queued.remove(&number) {
                self.on_event(event);
            }
        }
        self.now = until;
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Urgent(index) => self.send_urgent(index),
            Event::Start(index) => self.start(index),
            Event::Period(index, run) => self.period(index, run),
            Event::Deliver(index, message) => self.deliver(index, &message),
            Event::Fetched(index, revision) => {
                let router = &mut self.routers[index];
                router.revision = router.revision.max(revision);
            }
        }
    }

    fn start(&mut self, index: usize) {
        let stamp = 1 + self.now.as_millis() as u64;
        let router = &mut self.routers[index];
        router.run += 1;
        router.is_alive = true;
        router.members = Membership::new(member(self.spec, index, stamp));
        router.beats = WatcherReports::default();
        let run = router.run;
        let seeds = (0..SEEDS).filter(|seed| *seed != index).map(address);
        self.gossip(index, seeds.collect(), true);
        let at = self.now + PERIOD.mul_f64(self.rng.f64());
        self.schedule(at, Event::Period(index, run));
    }

    fn period(&mut self, index: usize, run: u64) {
        if self.routers[index].run != run || !self.routers[index].is_alive {
            return;
        }
        self.schedule(self.now + PERIOD, Event::Period(index, run));
        if index < WATCHERS {
            self.beat(index);
        }
        let now = self.moment();
        let router = &mut self.routers[index];
        let step = router.members.check_predecessors(false, now);
        self.note_urgent(index);
        let router = &mut self.routers[index];
        let targets = router.members.targets(&mut router.rng);
        self.gossip(index, targets, false);
        if !step.probe.is_empty() {
            self.gossip(index, step.probe, true);
        }
        // Seeds are greeted again while they do not answer.
        if self.routers[index].members.count() == 0 {
            let seeds = (0..SEEDS).filter(|seed| *seed != index).map(address);
            self.gossip(index, seeds.collect(), true);
        }
    }

    fn beat(&mut self, index: usize) {
        let (now, number) = (self.moment(), self.now.as_millis() as u64 + 1);
        let beat = WatcherReport {
            router: address(index),
            number,
            store_age_ms: self.routers[index].store_age.as_millis() as u32,
        };
        self.routers[index].beats.on_report(beat, now);
    }

    fn message(&mut self, index: usize, wants_reply: bool) -> Gossip {
        let now = self.moment();
        let router = &mut self.routers[index];
        Gossip {
            sender: router.members.own().clone(),
            wants_reply,
            members: router.members.count() as u32,
            digest: router.members.digest(),
            configuration_version: 7,
            upstreams_revision: router.revision,
            watchers: router.beats.for_message(now),
            suspects: Vec::new(),
            budget_use: vec![(ServiceKey(1), BudgetUse::default()); 2],
            updates: router.members.take_updates(),
        }
    }

    fn gossip(&mut self, index: usize, to: Vec<SocketAddr>, wants_reply: bool) {
        let message = self.message(index, wants_reply);
        self.send(index, PeerMessage::Gossip(message), to);
    }

    fn send(&mut self, from: usize, message: PeerMessage, to: Vec<SocketAddr>) {
        let bytes = encode(&message).map_or(0, |bytes| bytes.len() as u64);
        let message = Rc::new(message);
        for peer in to {
            let peer = index_of(peer);
            let crosses = !from.abs_diff(peer).is_multiple_of(self.spec.data_centres);
            let sent = &mut self.routers[from].sent;
            sent.0 += 1;
            sent.1 += bytes;
            sent.2 += if crosses { bytes } else { 0 };
            if self.rng.f64() < self.spec.loss {
                continue;
            }
            let message = Rc::clone(&message);
            self.schedule(self.now + LATENCY, Event::Deliver(peer, message));
        }
    }

    fn deliver(&mut self, index: usize, message: &PeerMessage) {
        if !self.routers[index].is_alive {
            return;
        }
        let now = self.moment();
        match message {
            PeerMessage::Gossip(gossip) => self.on_gossip(index, gossip),
            PeerMessage::MembersRequest(peer) => {
                for members in self.routers[index].members.on_members_request(now) {
                    let sender = address(index);
                    let message = PeerMessage::Members(Members { sender, members });
                    self.send(index, message, vec![*peer]);
                }
            }
            PeerMessage::Members(members) => {
                let members = members.members.clone();
                self.routers[index].members.on_members(members, now);
                self.note_urgent(index);
            }
            PeerMessage::UpstreamUpdate(update) => self.on_update(index, update),
            _ => {}
        }
    }

    fn on_gossip(&mut self, index: usize, gossip: &Gossip) {
        let now = self.moment();
        let seen = ReceivedGossip {
            sender: &gossip.sender,
            wants_reply: gossip.wants_reply,
            members: gossip.members as usize,
            digest: gossip.digest,
            updates: &gossip.updates,
        };
        let router = &mut self.routers[index];
        let reply = router.members.on_gossip(seen, &mut router.rng, now);
        let is_urgent = router.take_beats(&gossip.watchers, now);
        if gossip.upstreams_revision > router.revision {
            let fetched = Event::Fetched(index, gossip.upstreams_revision);
            self.schedule(self.now + FETCH, fetched);
        }
        self.note_urgent(index);
        self.reply(index, gossip.sender.router, reply);
        if is_urgent {
            let router = &mut self.routers[index];
            let urgent = router.members.urgent_targets(&mut router.rng);
            self.gossip(index, urgent, false);
        }
    }

    fn reply(&mut self, index: usize, sender: SocketAddr, reply: GossipReply) {
        if let Some(update) = reply.dead_update {
            let members = Members {
                sender: address(index),
                members: vec![update],
            };
            self.send(index, PeerMessage::Members(members), vec![sender]);
        }
        if reply.send_gossip {
            let mut message = self.message(index, false);
            message.updates.extend(reply.sample);
            self.send(index, PeerMessage::Gossip(message), vec![sender]);
        }
        if reply.request_members {
            let ask = PeerMessage::MembersRequest(address(index));
            self.send(index, ask, vec![sender]);
        }
    }

    /// Has updates of routers that end sent at once, or as soon as that may be.
    fn note_urgent(&mut self, index: usize) {
        let router = &mut self.routers[index];
        if router.members.has_departures() && router.urgent_at <= self.now {
            let at = self.now + Duration::from_millis(10);
            router.urgent_at = at + DEPARTURE_REPORT_INTERVAL;
            self.schedule(at, Event::Urgent(index));
        }
    }

    fn send_urgent(&mut self, index: usize) {
        let router = &mut self.routers[index];
        if router.is_alive && router.members.has_departures() {
            let members = router.members.take_departures();
            let urgent = router.members.urgent_targets(&mut router.rng);
            let sender = address(index);
            self.send(
                index,
                PeerMessage::Members(Members { sender, members }),
                urgent,
            );
        }
    }

    fn on_update(&mut self, index: usize, update: &UpstreamUpdate) {
        let router = &mut self.routers[index];
        if update.revision <= router.revision {
            return;
        }
        router.revision = update.revision;
        let next = router.members.flood_targets(&mut router.rng);
        self.send(index, PeerMessage::UpstreamUpdate(update.clone()), next);
    }
}

pub(super) fn address(index: usize) -> SocketAddr {
    let host = (index as u32).to_be_bytes();
    ([10, host[1], host[2], host[3]], PORT).into()
}

fn index_of(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => {
            let host = address.ip().octets();
            u32::from_be_bytes([0, host[1], host[2], host[3]]) as usize
        }
        SocketAddr::V6(_) => 0,
    }
}

fn member(spec: GossipSpec, index: usize, stamp: u64) -> MemberUpdate {
    let mut callers = address(index);
    callers.set_port(PORT + 1);
    MemberUpdate {
        router: address(index),
        callers,
        data_centre: DataCentre::new(format!("hall-{}", index % spec.data_centres)),
        state: MemberState::Alive(PeerState::Ready),
        stamp,
    }
}
