//! Gossip of a large fleet: sends and receives what replaces heartbeats there.
//!
//! Who is sent what, who is probed and who lives is decided in
//! `cloverpier_router_policy::{membership, watcher_reports}`; [`crate::heartbeats`] has the loop that
//! sends. Owns no state: [`crate::peers`] does.

use crate::crashes::reports as crash_reports;
use crate::decision_log::log_named_event;
use crate::heartbeats::store_age_ms;
use crate::leaving_reports;
use crate::limit_reports;
use crate::outbox::Recipients;
use crate::peer_messages::{Gossip, Members, PeerMessage, UpstreamUpdate, encode};
use crate::peer_reports::on_suspects;
use crate::router::Router;
use crate::source::{ReadChange, UpstreamChanges};
use crate::store_events::decide_watcher_role;
use crate::store_view::Watched;
use crate::upstream_updates::apply_upstream_changes;
use cloverpier_router_policy::heartbeat::MAX_DATAGRAM;
use cloverpier_router_policy::membership::{
    GossipReply, MemberState, MemberUpdate, ReceivedGossip,
};
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::store_watch::affects_watcher_roles;
use cloverpier_router_policy::watcher_reports::WatcherReport;
use std::net::SocketAddr;
use std::time::Instant;

/// Suspects in one message: suspicions count for a second only.
const MAX_SUSPECTS: usize = 16;
/// Bytes that a datagram's envelope and the sender's address take at most.
const ENVELOPE: usize = 64;

/// Sends what is due in each period: gossip, and probes of silent predecessors.
pub(crate) fn send_period(router: &Router, was_paused: bool, now: Instant) {
    let peers = &router.peers;
    peers.members.borrow_mut().set_own_state(router.state());
    let step = peers
        .members
        .borrow_mut()
        .check_predecessors(was_paused, now);
    for dead in &step.dead {
        log_named_event(
            &router.log,
            "peer.dead",
            &dead.to_string(),
            "no answer to probes",
        );
    }
    note_own_beat(router, now);
    let targets = {
        let mut rng = router.rng.borrow_mut();
        peers.members.borrow_mut().targets(&mut rng)
    };
    send_gossip(router, &targets, false, now);
    if !step.probe.is_empty() {
        send_gossip(router, &step.probe, true, now);
    }
}

/// Sends at once that routers end.
pub(crate) fn send_ended(router: &Router) {
    let (members, targets) = {
        let mut known = router.peers.members.borrow_mut();
        let ended = known.take_departures();
        let targets = known.urgent_targets(&mut router.rng.borrow_mut());
        (ended, targets)
    };
    let message = Members {
        sender: router.settings().listen.peers,
        members,
    };
    router
        .datagrams
        .send(&PeerMessage::Members(message), &targets);
}

/// Sends something urgent at once: a version, or that the store is not reached any more.
pub(crate) fn send_urgent(router: &Router, now: Instant) {
    note_own_beat(router, now);
    let targets = {
        let members = router.peers.members.borrow();
        members.urgent_targets(&mut router.rng.borrow_mut())
    };
    send_gossip(router, &targets, false, now);
}

/// Sends a router that has just begun, or was not known, a first message.
pub(crate) fn send_greeting(router: &Router, to: &[SocketAddr], now: Instant) {
    send_gossip(router, to, true, now);
}

/// Records what this router says of itself as a watcher, if it is one.
fn note_own_beat(router: &Router, now: Instant) {
    let Some(store_age_ms) = store_age_ms(router, now) else {
        return;
    };
    let beat = WatcherReport {
        router: router.settings().listen.peers,
        number: router.peers.next_beat(),
        store_age_ms,
    };
    router.peers.beats.borrow_mut().on_report(beat, now);
}

fn send_gossip(router: &Router, to: &[SocketAddr], wants_reply: bool, now: Instant) {
    let message = gossip(router, wants_reply, now);
    router.datagrams.send(&PeerMessage::Gossip(message), to);
}

fn gossip(router: &Router, wants_reply: bool, now: Instant) -> Gossip {
    let table = router.upstreams.borrow();
    let mut suspects = table.suspects();
    suspects.truncate(MAX_SUSPECTS);
    let mut members = router.peers.members.borrow_mut();
    let updates = members.take_updates();
    Gossip {
        sender: members.own().clone(),
        wants_reply,
        members: u32::try_from(members.count()).unwrap_or(u32::MAX),
        digest: members.digest(),
        configuration_version: router.store.configuration_version(),
        upstreams_revision: table.revision(),
        watchers: router.peers.beats.borrow().for_message(now),
        suspects,
        budget_use: router.budget_use(now),
        updates,
    }
}

/// Applies a router's message.
pub(crate) fn on_gossip(router: &Router, gossip: Gossip, now: Instant) {
    let sender = gossip.sender.router;
    if sender == router.settings().listen.peers {
        return;
    }
    router.peers.on_gossip(sender);
    router.peers.on_heard_size(gossip.members as usize, now);
    on_suspects(router, &gossip.suspects, now);
    let has_newer_upstreams = gossip.upstreams_revision > router.upstreams.borrow().revision();
    let has_newer_configuration =
        gossip.configuration_version > router.store.configuration_version();
    let reply = apply_members(router, &gossip, now);
    record_entry(router, &gossip, now);
    if reply.is_new_or_changed {
        crash_reports::greet_newcomer(router, sender);
        leaving_reports::greet_newcomer(router, sender);
        limit_reports::greet_newcomer(router, sender);
    }
    send_reply(router, sender, reply, now);
    apply_beats(router, &gossip.watchers, now);
    if has_newer_configuration {
        router.peers.on_newer_version(Watched::Configuration);
    }
    if has_newer_upstreams {
        router.peers.on_newer_version(Watched::Upstreams);
    }
}

fn apply_members(router: &Router, gossip: &Gossip, now: Instant) -> GossipReply {
    let seen = ReceivedGossip {
        sender: &gossip.sender,
        wants_reply: gossip.wants_reply,
        members: gossip.members as usize,
        digest: gossip.digest,
        updates: &gossip.updates,
    };
    let mut members = router.peers.members.borrow_mut();
    let reply = members.on_gossip(seen, &mut router.rng.borrow_mut(), now);
    if members.has_departures() {
        router.peers.outbox.wake();
    }
    reply
}

/// Records the sender's versions and its use of the budget, as of a heartbeat.
fn record_entry(router: &Router, gossip: &Gossip, now: Instant) {
    let MemberState::Alive(state) = gossip.sender.state else {
        return;
    };
    let entry = PeerEntry {
        callers: gossip.sender.callers,
        data_centre: gossip.sender.data_centre.clone(),
        state,
        last_heartbeat: now,
        configuration_version: gossip.configuration_version,
        upstreams_revision: gossip.upstreams_revision,
        // What it says of the store is among the beats.
        store_age: None,
        budget_use: gossip.budget_use.clone(),
    };
    router.peers.on_heartbeat(gossip.sender.router, entry);
}

fn send_reply(router: &Router, to: SocketAddr, reply: GossipReply, now: Instant) {
    let own = router.settings().listen.peers;
    let outbox = &router.peers.outbox;
    let send = |message| outbox.send(message, Recipients::These(vec![to]));
    if let Some(update) = reply.dead_update {
        send(PeerMessage::Members(Members {
            sender: own,
            members: vec![update],
        }));
    }
    if reply.send_gossip {
        let mut message = gossip(router, false, now);
        message.updates.extend(reply.sample);
        send(PeerMessage::Gossip(message));
    }
    if reply.request_members {
        send(PeerMessage::AskMembers(own));
    }
}

/// Sends a router that knows fewer all members.
pub(crate) fn on_ask_members(router: &Router, asking: SocketAddr, now: Instant) {
    let sender = router.settings().listen.peers;
    let parts = router.peers.members.borrow_mut().on_members_request(now);
    for members in parts {
        let message = PeerMessage::Members(Members { sender, members });
        router
            .peers
            .outbox
            .send(message, Recipients::These(vec![asking]));
    }
}

/// Takes members that a router was asked for, or what it says of this one.
pub(crate) fn on_members(router: &Router, message: Members, now: Instant) {
    let mut members = router.peers.members.borrow_mut();
    members.on_members(message.members, now);
    if members.has_departures() {
        router.peers.outbox.wake();
    }
}

/// Takes what watchers of the store said; the roles are decided anew where it says something else.
fn apply_beats(router: &Router, beats: &[WatcherReport], now: Instant) {
    let mut is_urgent = false;
    let peers = router.peers.count();
    for beat in beats {
        let mut known = router.peers.beats.borrow_mut();
        let former = known.store_age(beat.router, now);
        if known.on_report(*beat, now) {
            let present = known.store_age(beat.router, now);
            is_urgent |= affects_watcher_roles(former, present, peers);
        }
    }
    if is_urgent {
        decide_watcher_role(router, now);
        // Others learn it from this router without waiting for its next period.
        router.peers.outbox.report_version();
    }
}

/// Has changes that this router read from the store sent to all; false where they are too many, or
/// orders of roll-outs have to come with them.
pub(crate) fn spread_upstreams(
    router: &Router,
    after: u64,
    revision: u64,
    changes: Vec<UpstreamChange>,
) -> bool {
    if !router.peers.is_large() || !router.rollouts.views().is_empty() {
        return false;
    }
    let update = UpstreamUpdate {
        sender: router.settings().listen.peers,
        after,
        revision,
        changes,
    };
    let message = PeerMessage::UpstreamUpdate(update);
    match encode(&message) {
        Ok(bytes) if bytes.len() + ENVELOPE <= MAX_DATAGRAM => {
            router.peers.outbox.send(message, Recipients::All);
            true
        }
        // Whoever learns of the revision fetches them.
        Ok(_) => false,
        Err(error) => {
            log_named_event(&router.log, "peer.unsent", "peers", &error.to_string());
            false
        }
    }
}

/// Applies changes that a router passed on, and passes them on.
pub(crate) fn on_upstream_update(router: &Router, update: UpstreamUpdate) {
    let known = router.upstreams.borrow().revision();
    if update.revision <= known || !router.store.knows_upstreams() {
        return;
    }
    if update.after > known {
        // Something before it was missed.
        router.peers.on_newer_version(Watched::Upstreams);
        return;
    }
    let changes = UpstreamChanges {
        changes: update
            .changes
            .iter()
            .cloned()
            .map(ReadChange::Readable)
            .collect(),
        revision: update.revision,
    };
    let from = format!("peer {}", update.sender);
    apply_upstream_changes(router, changes, &from);
    let sender = router.settings().listen.peers;
    let message = UpstreamUpdate { sender, ..update };
    router.peers.pass_on(PeerMessage::UpstreamUpdate(message));
}

/// What a heartbeat of a release that knows no gossip says of its sender.
pub(crate) fn member_of(entry: &PeerEntry, peer: SocketAddr) -> MemberUpdate {
    MemberUpdate {
        router: peer,
        callers: entry.callers,
        data_centre: entry.data_centre.clone(),
        state: MemberState::Alive(entry.state),
        stamp: 0,
    }
}
