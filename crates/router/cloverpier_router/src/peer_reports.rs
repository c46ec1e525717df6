//! Receives peers' datagrams, dispatches them to the modules that handle them, and applies heartbeats and
//! changes.
//!
//! `cloverpier_router_policy::{heartbeat, suspicion}` decide the effect of a report and how long it is valid.
//! [`crate::heartbeats`] sends this router's own messages. Owns no state.

use crate::admission;
use crate::brittle;
use crate::crashes::record;
use crate::crashes::reports as crash_reports;
use crate::decision_log::log_named_event;
use crate::gossip::{self, member_of};
use crate::leaving_reports;
use crate::limit_reports;
use crate::list_checks;
use crate::pace_reports;
use crate::peer_messages::{Change, Heartbeat, LimiterRequest, LoadReport, PeerMessage, decode};
use crate::rollouts;
use crate::router::Router;
use crate::singleton;
use crate::store_events::decide_watcher_role;
use crate::store_view::WatchedData;
use crate::stream_origins::serve;
use crate::successors::{on_peer_replaced, on_peer_successor};
use cloverpier_net::UdpSocket;
use cloverpier_router_policy::heartbeat::MAX_DATAGRAM;
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::store_watch::affects_watcher_roles;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Receives messages until the process ends.
pub(crate) async fn receive_messages(router: Rc<Router>, socket: Rc<UdpSocket>) {
    let mut buf = vec![0; MAX_DATAGRAM];
    let mut has_logged_unreadable = false;
    loop {
        let Ok((length, sender)) = socket.recv_from(&mut buf).await else {
            // The operating system reports closed ports of peers here; a peer's silence is detected anyway.
            continue;
        };
        match decode(&buf[..length]) {
            Ok(message) => on_message(&router, message, router.now()),
            // Truncated, or of another release, as during an upgrade. Only the first is logged.
            Err(error) => {
                if !std::mem::replace(&mut has_logged_unreadable, true) {
                    let name = sender.to_string();
                    log_named_event(&router.log, "peer.unreadable", &name, &error.to_string());
                }
            }
        }
    }
}

fn on_message(router: &Rc<Router>, message: PeerMessage, now: Instant) {
    let mut in_step = router.in_step.get();
    in_step.on_message(now);
    router.in_step.set(in_step);
    match message {
        PeerMessage::Heartbeat(heartbeat) => on_heartbeat(router, heartbeat, now),
        PeerMessage::Change(change) => on_change(router, change, now),
        PeerMessage::Successor(successor) => on_peer_successor(router, successor),
        PeerMessage::ReplacedUpstream(replaced) => on_peer_replaced(router, replaced),
        PeerMessage::RolloutReports(reports) => {
            let from = format!("peer {}", reports.sender);
            rollouts::apply_views(router, reports.views, &from, now);
        }
        PeerMessage::RolloutEvidence(evidence) => {
            rollouts::on_evidence(router, evidence.sender, evidence.report);
        }
        PeerMessage::CrashReports(reports) => crash_reports::on_reports(router, reports, now),
        PeerMessage::LeavingReports(reports) => leaving_reports::on_reports(router, reports, now),
        PeerMessage::LimitReports(reports) => limit_reports::on_reports(router, reports),
        PeerMessage::LimiterRequest(message) => on_permit_request(router, &message),
        PeerMessage::FullUpstream(report) => brittle::on_report(router, report),
        PeerMessage::LimiterReply(reply) => router.upstream_limits.on_reply(reply),
        PeerMessage::OriginRecords(message) => serve::on_records(router, message),
        PeerMessage::OriginAck(ack) => serve::on_ack(router, ack),
        PeerMessage::OriginQuery(query) => serve::on_query(router, query),
        PeerMessage::OriginReply(reply) => serve::on_reply(router, reply),
        PeerMessage::PaceReports(reports) => pace_reports::on_reports(router, &reports, now),
        PeerMessage::AdmissionReport(report) => admission::on_report(router, report, now),
        PeerMessage::Gossip(message) => gossip::on_gossip(router, message, now),
        PeerMessage::MembersRequest(peer) => gossip::on_members_request(router, peer, now),
        PeerMessage::Members(members) => gossip::on_members(router, members, now),
        PeerMessage::UpstreamUpdate(update) => gossip::on_upstream_update(router, update),
        PeerMessage::FleetReport(report) => singleton::on_report(router, report, now),
        PeerMessage::ListReport(message) => list_checks::on_report(router, &message, now),
        PeerMessage::LeaseUpdate(update) => singleton::on_lease_update(router, &update, now),
    }
}

fn on_permit_request(router: &Router, message: &LimiterRequest) {
    let table = router.upstreams.borrow();
    let state = table.by_key(message.request.upstream);
    router.upstream_limits.on_limiter_request(message, state);
}

fn on_change(router: &Router, change: Change, now: Instant) {
    router
        .prompts
        .on_peer_locations(change.prompt_locations, now);
    let mut table = router.upstreams.borrow_mut();
    for report in change.load {
        let (key, load) = report.into_load();
        table.peer_load.on_change(change.sender, key, load, now);
    }
    drop(table);
    on_suspects(router, &change.suspects, now);
}

/// Records that a peer suspects these upstreams to be dead.
pub(crate) fn on_suspects(router: &Router, suspects: &[UpstreamKey], now: Instant) {
    for key in suspects {
        let mut table = router.upstreams.borrow_mut();
        let state = table.by_key(*key);
        let is_new = state.filter(|s| !s.is_suspected() && !s.is_suspected_by_peer(now));
        let newly_suspected = is_new.map(|s| s.upstream.clone());
        table.on_peer_suspicion(*key, now);
        drop(table);
        if let Some(upstream) = newly_suspected {
            record::on_suspicion(router, &upstream, now, now);
        }
    }
}

fn on_heartbeat(router: &Router, heartbeat: Heartbeat, now: Instant) {
    let own = router.settings().listen.peers;
    if heartbeat.sender == own {
        return;
    }
    apply_reports(router, &heartbeat, now);
    let has_newer_upstreams = heartbeat.upstreams_revision > router.upstreams.borrow().revision();
    let store_age = heartbeat
        .store_age_ms
        .map(u64::from)
        .map(Duration::from_millis);
    let has_newer_configuration =
        heartbeat.configuration_version > router.store.configuration_version();
    router
        .prompts
        .on_peer_locations(heartbeat.prompt_locations, now);
    let mentioned = heartbeat
        .known_peers
        .into_iter()
        .filter(|peer| *peer != own);
    router.peers.on_mentioned(mentioned, now);
    let entry = PeerEntry {
        callers: heartbeat.callers,
        data_centre: heartbeat.data_centre,
        state: heartbeat.state,
        last_heartbeat: now,
        configuration_version: heartbeat.configuration_version,
        upstreams_revision: heartbeat.upstreams_revision,
        store_age,
        budget_use: heartbeat.budget_use,
    };
    record_entry(router, heartbeat.sender, entry, now);
    if has_newer_configuration {
        router
            .peers
            .notify_newer_version(WatchedData::Configuration);
    }
    if has_newer_upstreams {
        router.peers.notify_newer_version(WatchedData::Upstreams);
    }
}

/// Records a peer's heartbeat, sends the peer facts that it may have missed, and decides this router's
/// watcher role again if the peer's store age requires that.
fn record_entry(router: &Router, peer: SocketAddr, entry: PeerEntry, now: Instant) {
    let store_age = entry.store_age;
    let is_large = router.peers.is_large();
    let member = member_of(&entry, peer);
    let mut members = router.peers.members.borrow_mut();
    members.on_unstamped_message(member, now);
    drop(members);
    if is_large {
        router.peers.add_heartbeat_peer(peer, now);
    }
    let previous = router.peers.on_heartbeat(peer, entry.clone());
    crash_reports::send_if_missed(router, peer, previous.as_ref(), &entry);
    leaving_reports::send_if_missed(router, peer, previous.as_ref(), &entry);
    limit_reports::send_if_missed(router, peer, previous.as_ref(), &entry);
    let previous_age = previous.and_then(|entry| entry.store_age);
    if affects_watcher_roles(previous_age, store_age, router.peers.count()) {
        decide_watcher_role(router, now);
    }
}

/// Applies the load and the suspicions in a heartbeat.
fn apply_reports(router: &Router, heartbeat: &Heartbeat, now: Instant) {
    let mut table = router.upstreams.borrow_mut();
    let load = heartbeat.load.iter().cloned().map(LoadReport::into_load);
    table
        .peer_load
        .on_report(heartbeat.sender, load.collect(), now);
    drop(table);
    on_suspects(router, &heartbeat.suspects, now);
}
