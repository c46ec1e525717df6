//! Sends heartbeats and changes to peers; [`crate::peer_reports`] receives theirs.
//!
//! Datagrams, as a lost one costs little: the next heartbeat repeats everything. Who is sent
//! what, and how much of it, is decided in `cloverpier_router_policy::heartbeat`; the shapes
//! are [`crate::peer_messages`]'s. Owns when what is due next, and the turn among peers.

use crate::crashes::reports as crash_reports;
use crate::gossip;
use crate::leaving_reports;
use crate::limit_reports;
use crate::outbox::Recipients;
use crate::peer_messages::{Change, Heartbeat, LoadReport, PeerMessage};
use crate::router::Router;
use crate::store_events::decide_watcher_role;
use cloverpier_core::UpstreamName;
use cloverpier_router_policy::heartbeat::{
    HeartbeatRotation, MAX_ENTRIES, MAX_NEW_PEERS_PER_ROUND, MENTIONED_PEERS,
    MENTIONED_TO_NEW_PEER, MIN_SEND_PAUSE, SEED_PERIOD, change_recipients, is_small_fleet,
    load_ttl, version_recipients,
};
use cloverpier_router_policy::membership::GOSSIP_PERIOD;
use cloverpier_router_policy::permit::RouterPlace;
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::store_watch::reported_store_age;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A period that begins so late means that this process was paused, so that others' silence says
/// nothing.
const PAUSED: Duration = Duration::from_millis(300);
/// After this time a router knows most members of a large fleet.
const SETTLED_AFTER: Duration = Duration::from_secs(4);
/// How often roles are decided in a large fleet from then on.
const LARGE_ROLE_PERIOD: Duration = Duration::from_secs(1);

/// Sends heartbeats and changes until the process ends.
pub(crate) async fn send_messages(router: Rc<Router>) {
    router.datagrams.ready().await;
    let mut sender = Sender::new(router);
    loop {
        sender.send_due();
        sender.send_pending();
        wait_for_change(&sender.router, sender.next_period).await;
    }
}

/// Sends what is due and what waits.
struct Sender {
    router: Rc<Router>,
    turn: HeartbeatRotation,
    roles: RoleTurn,
    next_period: Instant,
    next_seeds: Instant,
}

impl Sender {
    /// A sender for which everything is due.
    fn new(router: Rc<Router>) -> Self {
        let now = router.now();
        Self {
            router,
            turn: HeartbeatRotation::default(),
            roles: RoleTurn::default(),
            next_period: now,
            next_seeds: now,
        }
    }

    /// Sends what is due by the time, or since a version has changed.
    fn send_due(&mut self) {
        let now = self.router.now();
        if now >= self.next_seeds {
            mention_seeds(&self.router, now);
            self.next_seeds = now + SEED_PERIOD;
        }
        if now >= self.next_period {
            self.begin_period(now);
            self.next_period = now + period(&self.router);
        } else if self.router.peers.outbox.take_heartbeat_due() {
            send_versions(&self.router, now);
        }
    }

    fn begin_period(&mut self, now: Instant) {
        let router = &self.router;
        forget_old(router, now);
        if self.roles.is_due(router, now) {
            decide_watcher_role(router, now);
        }
        let was_paused = now.saturating_duration_since(self.next_period) > PAUSED;
        send_period(router, &mut self.turn, was_paused, now);
        crash_reports::repeat(router, now);
        leaving_reports::repeat(router, now);
        limit_reports::repeat(router, now);
        note_live_routers(router, now);
    }

    /// Sends what waits for the next round.
    fn send_pending(&self) {
        let router = &self.router;
        let now = router.now();
        if router.peers.is_large() && router.peers.may_send_ended(now) {
            gossip::send_ended(router);
        }
        let new_peers = router.peers.outbox.take_new(MAX_NEW_PEERS_PER_ROUND);
        if !new_peers.is_empty() {
            send_heartbeat(router, &new_peers, MENTIONED_TO_NEW_PEER, now);
            // One that belongs to a large fleet answers this.
            gossip::send_greeting(router, &new_peers, now);
        }
        for (message, to) in router.peers.outbox.drain_outgoing() {
            router.datagrams.send(&message, &recipients(router, to));
        }
        if let Some(change) = next_change(router) {
            let peers = change_recipients(router.peers.addresses(), &mut router.rng.borrow_mut());
            router.datagrams.send(&PeerMessage::Change(change), &peers);
        }
    }
}

/// Tells the part that hands out permits which routers live.
fn note_live_routers(router: &Router, now: Instant) {
    let settings = router.settings();
    let own = RouterPlace {
        router: settings.listen.peers,
        data_centre: settings.data_centre.clone(),
    };
    let timeout = router.peer_timeout();
    let serves = router.state() == PeerState::Ready;
    let map = router.peers.limiter_map(own, serves, now, timeout);
    let table = router.upstreams.borrow();
    router.upstream_limits.on_period(map, timeout, &table);
}

/// How often heartbeats or gossip are sent.
fn period(router: &Router) -> Duration {
    if router.peers.is_large() {
        GOSSIP_PERIOD
    } else {
        router.settings().heartbeat
    }
}

/// When the roles of watchers are decided anew.
#[derive(Default)]
struct RoleTurn {
    last: Option<Instant>,
}

impl RoleTurn {
    /// With each heartbeat; in a large fleet, where that takes a look at each member, less often once
    /// most members are known: what watchers say of themselves has them decided at once, too.
    fn is_due(&mut self, router: &Router, now: Instant) -> bool {
        let passed = |at: Instant| now.saturating_duration_since(at);
        let is_recent = self.last.is_some_and(|at| passed(at) < LARGE_ROLE_PERIOD);
        let is_settled = passed(router.lifecycle.started_at()) > SETTLED_AFTER;
        if router.peers.is_large() && is_recent && is_settled {
            return false;
        }
        self.last = Some(now);
        true
    }
}

/// Sends what is due in each period: heartbeats, or gossip in a large fleet.
fn send_period(router: &Router, turn: &mut HeartbeatRotation, was_paused: bool, now: Instant) {
    let serves_peers = serves_peers(router, now);
    let is_large = router.peers.is_large();
    let peers = if is_large {
        gossip::send_period(router, was_paused, now);
        router.peers.plain_peers()
    } else {
        router.peers.addresses()
    };
    if !peers.is_empty() {
        let peers = turn.next_peers(peers, serves_peers);
        send_heartbeat(router, &peers, MENTIONED_PEERS, now);
    }
}

/// Tells some peers at once that a version has changed.
fn send_versions(router: &Router, now: Instant) {
    let serves_peers = serves_peers(router, now);
    let peers = if router.peers.is_large() {
        gossip::send_urgent(router, now);
        router.peers.plain_peers()
    } else {
        router.peers.addresses()
    };
    if !peers.is_empty() {
        let peers = version_recipients(peers, serves_peers, &mut router.rng.borrow_mut());
        send_heartbeat(router, &peers, MENTIONED_PEERS, now);
    }
}

/// Waits for the next period, or for a change that peers are to be sent at once.
async fn wait_for_change(router: &Router, next_period: Instant) {
    let sent = router.now();
    if !router.peers.outbox.has_new() {
        tokio::select! {
            () = router.peers.outbox.state_changed() => {}
            () = router.timers.sleep_until(next_period) => return,
        }
    }
    // What comes close together goes in one round.
    router.timers.sleep_until(sent + MIN_SEND_PAUSE).await;
}

fn recipients(router: &Router, to: Recipients) -> Vec<SocketAddr> {
    let peers = &router.peers;
    let mut rng = router.rng.borrow_mut();
    match to {
        // Whoever gets it passes it on.
        Recipients::All if peers.is_large() => peers.members.borrow().flood_roots(&mut rng),
        Recipients::All => peers.addresses(),
        Recipients::Many => change_recipients(peers.addresses(), &mut rng),
        Recipients::Few => version_recipients(peers.addresses(), false, &mut rng),
        Recipients::Next => peers.members.borrow().flood_targets(&mut rng),
        Recipients::These(peers) => peers,
    }
}

fn mention_seeds(router: &Router, now: Instant) {
    let settings = router.settings();
    let own = settings.listen.peers;
    let seeds = settings.seeds.iter().copied();
    let others = seeds.filter(|seed| *seed != own);
    router.peers.on_seeds(others, now);
}

fn forget_old(router: &Router, now: Instant) {
    let ttl = load_ttl(router.peer_timeout());
    let mut table = router.upstreams.borrow_mut();
    table.peer_load.remove_expired(now, ttl);
    router.peers.forget_old(now);
    router.list_copies.borrow_mut().forget_old(now);
}

fn serves_peers(router: &Router, now: Instant) -> bool {
    let store = &router.store;
    store.role().serves_peers(store.last_success(), now)
}

fn send_heartbeat(router: &Router, peers: &[SocketAddr], mentions: usize, now: Instant) {
    let message = PeerMessage::Heartbeat(heartbeat(router, mentions, now));
    router.datagrams.send(&message, peers);
}

/// Load and prompts of this router's streams, for peers. It is empty unless each change of it
/// reaches all peers: otherwise engines are asked ([`cloverpier_router_policy::load_query`]).
#[derive(Default)]
struct StreamReport {
    load: Vec<(UpstreamKey, Load)>,
    prompt_locations: Vec<(PromptKey, UpstreamKey)>,
}

/// As many entries as one message may hold.
fn first_entries<T, R>(entries: Vec<T>, entry: impl Fn(T) -> R) -> Vec<R> {
    entries.into_iter().take(MAX_ENTRIES).map(entry).collect()
}

fn heartbeat(router: &Router, mentions: usize, now: Instant) -> Heartbeat {
    let settings = router.settings();
    let table = router.upstreams.borrow();
    let peers = router.peers.addresses();
    let streams = if is_small_fleet(peers.len()) {
        StreamReport {
            load: table.own_load(),
            prompt_locations: router.prompts.running(),
        }
    } else {
        StreamReport::default()
    };
    let mut suspects = table.suspects();
    suspects.truncate(MAX_ENTRIES);
    let mut rng = router.rng.borrow_mut();
    Heartbeat {
        sender: settings.listen.peers,
        callers: settings.listen.callers,
        data_centre: settings.data_centre.clone(),
        state: router.state(),
        configuration_version: router.store.configuration_version(),
        upstreams_revision: table.revision(),
        store_age_ms: store_age_ms(router, now),
        load: first_entries(streams.load, LoadReport::new),
        suspects,
        prompt_locations: first_entries(streams.prompt_locations, |location| location),
        known_peers: rng.choose_multiple(peers, mentions),
        budget_use: router.budget_use(now),
    }
}

/// The age of the last successful call to the store, as it is reported to peers.
pub(crate) fn store_age_ms(router: &Router, now: Instant) -> Option<u32> {
    let store = &router.store;
    let peers = router.peers.count();
    let (role, last) = (store.role(), store.last_success());
    let age = reported_store_age(role, last, store.fails(), peers, now);
    // An age beyond 49 days is as good as 49 days.
    age.map(|age| u32::try_from(age.as_millis()).unwrap_or(u32::MAX))
}

/// What peers are to be sent at once, if anything: suspicions, and while that reaches all of them,
/// changes of load and new locations of prompts.
fn next_change(router: &Router) -> Option<Change> {
    let changed = changed_upstreams(router);
    let prompt_locations = router.peers.outbox.drain_prompt_locations();
    let table = router.upstreams.borrow();
    let states: Vec<&UpstreamState> = changed.iter().filter_map(|name| table.get(name)).collect();
    let suspects = states.iter().filter(|s| s.is_suspected());
    let suspects: Vec<UpstreamKey> = suspects.map(|s| s.key).collect();
    let change = Change {
        sender: router.settings().listen.peers,
        load: Vec::new(),
        suspects,
        prompt_locations: Vec::new(),
    };
    if router.peers.is_large() {
        return (!change.suspects.is_empty()).then_some(change);
    }
    let load = states.iter().map(|s| LoadReport::new((s.key, s.own_load)));
    (!changed.is_empty()).then(|| Change {
        load: load.collect(),
        prompt_locations: first_entries(prompt_locations, |location| location),
        ..change
    })
}

/// The upstreams of which something is to be reported, each once.
fn changed_upstreams(router: &Router) -> Vec<UpstreamName> {
    let mut changed = router.peers.outbox.drain_changed_upstreams();
    changed.sort_unstable();
    changed.dedup();
    changed.truncate(MAX_ENTRIES);
    changed
}
