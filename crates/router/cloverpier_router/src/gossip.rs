//! Sending and receiving of gossip, which replaces heartbeats in a large fleet.
//!
//! `cloverpier_router_policy::{membership, watcher_reports}` decide the recipients and contents of messages,
//! which routers are probed and which are alive. [`crate::heartbeats`] runs the loop that sends. Owns no
//! state; [`crate::peers`] holds the members and the reports of watchers.

use crate::crashes::reports as crash_reports;
use crate::decision_log::log_named_event;
use crate::heartbeats::store_age_ms;
use crate::leaving_reports;
use crate::limit_reports;
use crate::outbox::Recipients;
use crate::peer_messages::{Gossip, Members, PeerMessage, UpstreamUpdate, encode};
use crate::peer_reports::on_suspects;
use crate::router::Router;
use crate::source::{EntryChange, UpstreamChanges};
use crate::store_events::decide_watcher_role;
use crate::store_view::WatchedData;
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

/// Maximum number of suspected upstreams in one gossip message. A peer's suspicion is valid for a second
/// only.
const MAX_SUSPECTS: usize = 16;
/// Maximum number of bytes that a message's envelope and its sender's address take. Routers that forward a
/// message replace the address by their own, which may be longer.
const MAX_ENVELOPE_BYTES: usize = 64;

/// Does the work of one gossip interval: sends gossip, probes silent predecessors on the ring, and declares
/// those dead that did not reply. `was_paused` is whether this process was paused before.
pub(crate) fn send_period(router: &Router, was_paused: bool, now: Instant) {
    let peers = &router.peers;
    peers.members.borrow_mut().set_own_state(router.state());
    let check = peers
        .members
        .borrow_mut()
        .check_predecessors(was_paused, now);
    for dead in &check.dead {
        log_named_event(
            &router.log,
            "peer.dead",
            &dead.to_string(),
            "no reply to probes",
        );
    }
    record_own_report(router, now);
    let targets = {
        let mut rng = router.rng.borrow_mut();
        peers.members.borrow_mut().targets(&mut rng)
    };
    send_gossip(router, &targets, false, now);
    if !check.probe.is_empty() {
        send_gossip(router, &check.probe, true, now);
    }
}

/// Sends an urgent report of leaving and dead routers.
pub(crate) fn send_departures(router: &Router) {
    let (members, targets) = {
        let mut membership = router.peers.members.borrow_mut();
        let departures = membership.take_departures();
        let targets = membership.urgent_targets(&mut router.rng.borrow_mut());
        (departures, targets)
    };
    let message = Members {
        sender: router.settings().listen.peers,
        members,
    };
    router
        .datagrams
        .send(&PeerMessage::Members(message), &targets);
}

/// Sends gossip outside of the interval, because a version has changed or this watcher's calls to the store
/// fail or succeed again.
pub(crate) fn send_urgent(router: &Router, now: Instant) {
    record_own_report(router, now);
    let targets = {
        let members = router.peers.members.borrow();
        members.urgent_targets(&mut router.rng.borrow_mut())
    };
    send_gossip(router, &targets, false, now);
}

/// Sends new peers a first gossip message, to which they reply if their release has gossip.
pub(crate) fn send_first_gossip(router: &Router, to: &[SocketAddr], now: Instant) {
    send_gossip(router, to, true, now);
}

/// Records this router's own report as a watcher of the store, if it is one, so that gossip messages contain
/// it.
fn record_own_report(router: &Router, now: Instant) {
    let Some(store_age_ms) = store_age_ms(router, now) else {
        return;
    };
    let report = WatcherReport {
        router: router.settings().listen.peers,
        number: router.peers.next_report_number(),
        store_age_ms,
    };
    router
        .peers
        .watcher_reports
        .borrow_mut()
        .on_report(report, now);
}

fn send_gossip(router: &Router, to: &[SocketAddr], wants_reply: bool, now: Instant) {
    let message = gossip_message(router, wants_reply, now);
    router.datagrams.send(&PeerMessage::Gossip(message), to);
}

fn gossip_message(router: &Router, wants_reply: bool, now: Instant) -> Gossip {
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
        watchers: router.peers.watcher_reports.borrow().for_message(now),
        suspects,
        budget_use: router.budget_use(now),
        updates,
    }
}

/// Applies a gossip message and replies to it.
pub(crate) fn on_gossip(router: &Router, gossip: Gossip, now: Instant) {
    let sender = gossip.sender.router;
    if sender == router.settings().listen.peers {
        return;
    }
    router.peers.remove_heartbeat_peer(sender);
    router.peers.on_reported_size(gossip.members as usize, now);
    on_suspects(router, &gossip.suspects, now);
    let has_newer_upstreams = gossip.upstreams_revision > router.upstreams.borrow().revision();
    let has_newer_configuration =
        gossip.configuration_version > router.store.configuration_version();
    let reply = apply_members(router, &gossip, now);
    record_entry(router, &gossip, now);
    if reply.is_new_or_changed {
        crash_reports::send_missed_if_selected(router, sender);
        leaving_reports::send_missed_if_selected(router, sender);
        limit_reports::send_missed_if_selected(router, sender);
    }
    send_reply(router, sender, reply, now);
    apply_watcher_reports(router, &gossip.watchers, now);
    if has_newer_configuration {
        router
            .peers
            .notify_newer_version(WatchedData::Configuration);
    }
    if has_newer_upstreams {
        router.peers.notify_newer_version(WatchedData::Upstreams);
    }
}

fn apply_members(router: &Router, gossip: &Gossip, now: Instant) -> GossipReply {
    let received = ReceivedGossip {
        sender: &gossip.sender,
        wants_reply: gossip.wants_reply,
        members: gossip.members as usize,
        digest: gossip.digest,
        updates: &gossip.updates,
    };
    let mut members = router.peers.members.borrow_mut();
    let reply = members.on_gossip(received, &mut router.rng.borrow_mut(), now);
    if members.has_departures() {
        router.peers.outbox.wake();
    }
    reply
}

/// Records the sender's versions and its use of retry budgets, as if they came in a heartbeat.
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
        // The sender's store age is in its watcher report.
        store_age: None,
        budget_use: gossip.budget_use.clone(),
    };
    router.peers.on_heartbeat(gossip.sender.router, entry);
}

fn send_reply(router: &Router, to: SocketAddr, reply: GossipReply, now: Instant) {
    let own = router.settings().listen.peers;
    let outbox = &router.peers.outbox;
    let send = |message| outbox.send(message, Recipients::Only(vec![to]));
    if let Some(update) = reply.dead_update {
        send(PeerMessage::Members(Members {
            sender: own,
            members: vec![update],
        }));
    }
    if reply.send_gossip {
        let mut message = gossip_message(router, false, now);
        message.updates.extend(reply.sample);
        send(PeerMessage::Gossip(message));
    }
    if reply.request_members {
        send(PeerMessage::MembersRequest(own));
    }
}

/// Sends the member list to a router that requested it, unless a list was sent to any router within 200 ms.
pub(crate) fn on_members_request(router: &Router, requester: SocketAddr, now: Instant) {
    let sender = router.settings().listen.peers;
    let messages = router.peers.members.borrow_mut().on_members_request(now);
    for members in messages {
        let message = PeerMessage::Members(Members { sender, members });
        router
            .peers
            .outbox
            .send(message, Recipients::Only(vec![requester]));
    }
}

/// Applies member updates: a list that this router requested, a report of leaving and dead routers, or the
/// notice that this router is recorded as dead.
pub(crate) fn on_members(router: &Router, message: Members, now: Instant) {
    let mut members = router.peers.members.borrow_mut();
    members.on_members(message.members, now);
    if members.has_departures() {
        router.peers.outbox.wake();
    }
}

/// Applies reports of watchers. If one of them changes whether a watcher reaches the store, decides this
/// router's role again and sends gossip at once.
fn apply_watcher_reports(router: &Router, watcher_reports: &[WatcherReport], now: Instant) {
    let mut is_urgent = false;
    let peers = router.peers.count();
    for report in watcher_reports {
        let mut recorded = router.peers.watcher_reports.borrow_mut();
        let previous = recorded.store_age(report.router, now);
        if recorded.on_report(*report, now) {
            let present = recorded.store_age(report.router, now);
            is_urgent |= affects_watcher_roles(previous, present, peers);
        }
    }
    if is_urgent {
        decide_watcher_role(router, now);
        // Forwards the report without waiting for the next gossip interval.
        router.peers.outbox.schedule_heartbeat();
    }
}

/// Queues changes that this router read from the store for all peers. Returns false without queueing them if they don't
/// fit into one datagram, or if there are orders of roll-outs: these have to arrive together with new upstreams, which only
/// a fetch ensures.
pub(crate) fn broadcast_upstream_changes(
    router: &Router,
    after: u64,
    revision: u64,
    changes: Vec<UpstreamChange>,
) -> bool {
    if !router.rollouts.views().is_empty() {
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
        Ok(bytes) if bytes.len() + MAX_ENVELOPE_BYTES <= MAX_DATAGRAM => {
            router.peers.outbox.send(message, Recipients::All);
            true
        }
        // Peers fetch these changes when this router reports the new revision.
        Ok(_) => false,
        Err(error) => {
            log_named_event(&router.log, "peer.unsent", "peers", &error.to_string());
            false
        }
    }
}

/// Applies changes that a router sent or forwarded, and forwards them.
pub(crate) fn on_upstream_update(router: &Router, update: UpstreamUpdate) {
    let current_revision = router.upstreams.borrow().revision();
    if update.revision <= current_revision || !router.store.has_upstreams() {
        return;
    }
    if update.after > current_revision {
        // This router lacks earlier changes, and fetches all of them.
        router.peers.notify_newer_version(WatchedData::Upstreams);
        return;
    }
    let changes = UpstreamChanges {
        changes: update
            .changes
            .iter()
            .cloned()
            .map(EntryChange::Readable)
            .collect(),
        revision: update.revision,
    };
    let from = format!("peer {}", update.sender);
    apply_upstream_changes(router, changes, &from);
    let sender = router.settings().listen.peers;
    let message = UpstreamUpdate { sender, ..update };
    router.peers.forward(PeerMessage::UpstreamUpdate(message));
}

/// The member update for the sender of a heartbeat, which contains no stamp.
pub(crate) fn member_of(entry: &PeerEntry, peer: SocketAddr) -> MemberUpdate {
    MemberUpdate {
        router: peer,
        callers: entry.callers,
        data_centre: entry.data_centre.clone(),
        state: MemberState::Alive(entry.state),
        stamp: 0,
    }
}
