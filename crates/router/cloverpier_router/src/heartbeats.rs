//! The loop that sends this router's messages to its peers: heartbeats, changes and queued messages.
//!
//! Messages are datagrams; the loss of a heartbeat needs no retransmission, because the next one repeats the
//! whole state. `cloverpier_router_policy::heartbeat` decides the recipients and the bounds on the contents,
//! and [`crate::peer_messages`] defines the messages. In a large fleet, [`crate::gossip`] replaces
//! heartbeats. [`crate::peer_reports`] receives peers' messages.
//!
//! Owns the times of the next heartbeat and of the next decision on watcher roles, and the rotation of
//! heartbeats among peers.

use crate::crashes::reports as crash_reports;
use crate::gossip;
use crate::leaving_reports;
use crate::limit_reports;
use crate::list_checks;
use crate::outbox::Recipients;
use crate::pace_reports;
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
use cloverpier_router_policy::permit::RouterLocation;
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::store_watch::reported_store_age;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long after its start a router has received most members of a large fleet.
const MEMBER_DISCOVERY_TIME: Duration = Duration::from_secs(4);
/// Interval at which a router of a large fleet decides its watcher role after [`MEMBER_DISCOVERY_TIME`].
const LARGE_FLEET_ROLE_PERIOD: Duration = Duration::from_secs(1);

/// Sends heartbeats, changes and queued messages until the process ends.
pub(crate) async fn send_messages(router: Rc<Router>) {
    router.datagrams.ready().await;
    let mut sender = MessageSender::new(router);
    loop {
        sender.send_due();
        sender.send_pending();
        wait_for_change(&sender.router, sender.next_period).await;
    }
}

/// The state of the loop that sends.
struct MessageSender {
    router: Rc<Router>,
    rotation: HeartbeatRotation,
    roles: RoleDecisionTimer,
    /// When the next heartbeat or gossip message is due.
    next_period: Instant,
    /// When the seeds from the settings are added to the peers again.
    next_seeds: Instant,
}

impl MessageSender {
    /// Creates a sender whose periodic work is due at once.
    fn new(router: Rc<Router>) -> Self {
        let now = router.now();
        Self {
            router,
            rotation: HeartbeatRotation::default(),
            roles: RoleDecisionTimer::default(),
            next_period: now,
            next_seeds: now,
        }
    }

    /// Does the periodic work that is due. If none is, and a version or the reported store age has changed,
    /// sends heartbeats to some peers.
    fn send_due(&mut self) {
        let now = self.router.now();
        if now >= self.next_seeds {
            add_seeds(&self.router, now);
            self.next_seeds = now + SEED_PERIOD;
        }
        if now >= self.next_period {
            let next_period = now + period(&self.router);
            let mut in_step = self.router.in_step.get();
            let was_paused = in_step.on_period(now, next_period);
            self.router.in_step.set(in_step);
            if was_paused {
                self.router.list_checks.request_read();
            }
            self.begin_period(now, was_paused);
            self.next_period = next_period;
        } else if self.router.peers.outbox.take_heartbeat_due() {
            send_early_heartbeats(&self.router, now);
        }
    }

    /// `was_paused` is whether this process was paused before, so that the silence of other routers is no evidence that they
    /// have failed.
    fn begin_period(&mut self, now: Instant, was_paused: bool) {
        let router = &self.router;
        remove_expired(router, now);
        if self.roles.is_due(router, now) {
            decide_watcher_role(router, now);
        }
        send_period(router, &mut self.rotation, was_paused, now);
        crash_reports::repeat(router, now);
        leaving_reports::repeat(router, now);
        limit_reports::repeat(router, now);
        pace_reports::send_due(router, now);
        update_limiters(router, now);
    }

    /// Sends the queued messages and reports.
    fn send_pending(&self) {
        let router = &self.router;
        let now = router.now();
        if router.peers.is_large() && router.peers.start_departure_report(now) {
            gossip::send_departures(router);
        }
        let new_peers = router.peers.outbox.take_new_peers(MAX_NEW_PEERS_PER_ROUND);
        if !new_peers.is_empty() {
            send_heartbeat(router, &new_peers, MENTIONED_TO_NEW_PEER, now);
            // A router of a large fleet replies to gossip, not to heartbeats.
            gossip::send_first_gossip(router, &new_peers, now);
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

/// Updates the routers by which the limiter of each rate-limited upstream is chosen.
fn update_limiters(router: &Router, now: Instant) {
    let settings = router.settings();
    let own = RouterLocation {
        router: settings.listen.peers,
        data_centre: settings.data_centre.clone(),
    };
    let timeout = router.peer_timeout();
    let serves = router.state() == PeerState::Ready;
    let map = router.peers.limiter_map(own, serves, now, timeout);
    let table = router.upstreams.borrow();
    router.upstream_limits.on_period(map, timeout, &table);
}

/// Interval between heartbeats, a setting, or between gossip messages in a large fleet.
fn period(router: &Router) -> Duration {
    if router.peers.is_large() {
        GOSSIP_PERIOD
    } else {
        router.settings().heartbeat
    }
}

/// Limits how often this router decides its role as a watcher of the store.
#[derive(Default)]
struct RoleDecisionTimer {
    /// When [`RoleDecisionTimer::is_due`] last returned true; `None` before.
    last: Option<Instant>,
}

impl RoleDecisionTimer {
    /// Whether a decision is due; called at each sending interval. In a small fleet it always is. In a large
    /// fleet, a decision goes over all members, so it is due once a second after the first 4 s. That is
    /// enough, because reports of watchers that change the roles cause a decision at once.
    fn is_due(&mut self, router: &Router, now: Instant) -> bool {
        let passed = |at: Instant| now.saturating_duration_since(at);
        let is_recent = self
            .last
            .is_some_and(|at| passed(at) < LARGE_FLEET_ROLE_PERIOD);
        let has_discovered_members = passed(router.lifecycle.started_at()) > MEMBER_DISCOVERY_TIME;
        if router.peers.is_large() && is_recent && has_discovered_members {
            return false;
        }
        self.last = Some(now);
        true
    }
}

/// Sends the heartbeats of one interval. In a large fleet, sends gossip, and heartbeats to the peers without
/// gossip.
fn send_period(router: &Router, rotation: &mut HeartbeatRotation, was_paused: bool, now: Instant) {
    let serves_peers = serves_peers(router, now);
    let is_large = router.peers.is_large();
    let peers = if is_large {
        gossip::send_period(router, was_paused, now);
        router.peers.heartbeat_peers()
    } else {
        router.peers.addresses()
    };
    if !peers.is_empty() {
        let peers = rotation.next_peers(peers, serves_peers);
        send_heartbeat(router, &peers, MENTIONED_PEERS, now);
    }
    send_list_report(router, now);
}

/// Sends the report of this router's list to all peers, in a large fleet to some.
fn send_list_report(router: &Router, now: Instant) {
    let peers = router.peers.addresses();
    let peers = if router.peers.is_large() {
        version_recipients(peers, false, &mut router.rng.borrow_mut())
    } else {
        peers
    };
    list_checks::send_report(router, &peers, now);
}

/// Sends heartbeats or gossip to some peers at once, because a version or the reported store age has changed.
fn send_early_heartbeats(router: &Router, now: Instant) {
    let serves_peers = serves_peers(router, now);
    let peers = if router.peers.is_large() {
        gossip::send_urgent(router, now);
        router.peers.heartbeat_peers()
    } else {
        router.peers.addresses()
    };
    if !peers.is_empty() {
        let peers = version_recipients(peers, serves_peers, &mut router.rng.borrow_mut());
        send_heartbeat(router, &peers, MENTIONED_PEERS, now);
    }
    send_list_report(router, now);
}

/// Waits for the next sending interval, or until a message is queued.
async fn wait_for_change(router: &Router, next_period: Instant) {
    let sent = router.now();
    if !router.peers.outbox.has_new_peers() {
        tokio::select! {
            () = router.peers.outbox.sender_woken() => {}
            () = router.timers.sleep_until(next_period) => return,
        }
    }
    // Messages that are queued within 10 ms are sent in one round.
    router.timers.sleep_until(sent + MIN_SEND_PAUSE).await;
}

fn recipients(router: &Router, to: Recipients) -> Vec<SocketAddr> {
    let peers = &router.peers;
    let mut rng = router.rng.borrow_mut();
    match to {
        // The recipients forward the message.
        Recipients::All if peers.is_large() => peers.members.borrow().flood_roots(&mut rng),
        Recipients::All => peers.addresses(),
        Recipients::LargeSample => change_recipients(peers.addresses(), &mut rng),
        Recipients::SmallSample => version_recipients(peers.addresses(), false, &mut rng),
        Recipients::ForwardTargets => peers.members.borrow().flood_targets(&mut rng),
        Recipients::Only(peers) => peers,
    }
}

fn add_seeds(router: &Router, now: Instant) {
    let settings = router.settings();
    let own = settings.listen.peers;
    let seeds = settings.seeds.iter().copied();
    let others = seeds.filter(|seed| *seed != own);
    router.peers.on_seeds(others, now);
}

fn remove_expired(router: &Router, now: Instant) {
    let ttl = load_ttl(router.peer_timeout());
    let mut table = router.upstreams.borrow_mut();
    table.peer_load.remove_expired(now, ttl);
    table.expire_unlisted(router.store.has_contact(), now);
    router.peers.remove_expired(now);
    router.list_copies.borrow_mut().remove_expired(now);
}

fn serves_peers(router: &Router, now: Instant) -> bool {
    let store = &router.store;
    store.role().serves_peers(store.last_success(), now)
}

fn send_heartbeat(router: &Router, peers: &[SocketAddr], mention_count: usize, now: Instant) {
    let message = PeerMessage::Heartbeat(heartbeat(router, mention_count, now));
    router.datagrams.send(&message, peers);
}

/// The load and prompts of this router's streams, for heartbeats. Empty in a large fleet, in which changes
/// don't reach all peers, and routers query the engines instead ([`cloverpier_router_policy::load_query`]).
#[derive(Default)]
struct StreamReport {
    load: Vec<(UpstreamKey, Load)>,
    prompt_locations: Vec<(PromptKey, UpstreamKey)>,
}

/// The first 64 entries, the maximum in one message, converted by `entry`.
fn first_entries<T, R>(entries: Vec<T>, entry: impl Fn(T) -> R) -> Vec<R> {
    entries.into_iter().take(MAX_ENTRIES).map(entry).collect()
}

fn heartbeat(router: &Router, mention_count: usize, now: Instant) -> Heartbeat {
    let settings = router.settings();
    let table = router.upstreams.borrow();
    let peers = router.peers.addresses();
    let streams = if is_small_fleet(peers.len()) {
        StreamReport {
            load: table.own_load(),
            prompt_locations: router.prompts.running_locations(),
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
        known_peers: rng.choose_multiple(peers, mention_count),
        budget_use: router.budget_use(now),
    }
}

/// The age of the last successful call to the store in milliseconds, as it is reported to peers; `None` if
/// this router does not watch the store.
pub(crate) fn store_age_ms(router: &Router, now: Instant) -> Option<u32> {
    let store = &router.store;
    let peers = router.peers.count();
    let (role, last) = (store.role(), store.last_success());
    let age = reported_store_age(role, last, store.is_failing(), peers, now);
    // u32 milliseconds hold 49 days; a longer age has the same consequences.
    age.map(|age| u32::try_from(age.as_millis()).unwrap_or(u32::MAX))
}

/// The change to send in this round: suspicions, and in a small fleet also changed load and new prompt
/// locations. `None` if no upstream has changed, or in a large fleet if none of the changed ones is
/// suspected.
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

/// Removes and returns the upstreams to report, without duplicates and at most 64.
fn changed_upstreams(router: &Router) -> Vec<UpstreamName> {
    let mut changed = router.peers.outbox.drain_changed_upstreams();
    changed.sort_unstable();
    changed.dedup();
    changed.truncate(MAX_ENTRIES);
    changed
}
