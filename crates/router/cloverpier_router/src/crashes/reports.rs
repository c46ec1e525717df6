//! Exchange of crash reports between routers: which request contents may have crashed upstreams.
//!
//! `cloverpier_router_policy::crash_reports` decides what is reported and splits the reports into datagrams,
//! `cloverpier_router_policy::dissemination` when they are repeated. Owns no state: [`super::state`] holds the
//! recorded crashes and the time of the last new report.

use super::block_changes::apply_block_changes;
use crate::outbox::Recipients;
use crate::peer_messages::{CrashReports, PeerMessage};
use crate::router::Router;
use cloverpier_crashes::{ContentKey, ContentReport};
use cloverpier_router_policy::crash_reports::split_into_messages;
use cloverpier_router_policy::dissemination::{
    is_within_repeat_window, may_have_missed_facts, sends_missed_facts,
};
use cloverpier_router_policy::prelude::PeerEntry;
use std::net::SocketAddr;
use std::time::Instant;

/// Sends the recorded crashes of some contents to all peers, and restarts the time for which reports are repeated.
pub(crate) fn send_to_all(router: &Router, contents: &[ContentKey], now: Instant) {
    let reports = router
        .crashes
        .tracker
        .borrow()
        .registry
        .reports(contents, now);
    if !reports.is_empty() {
        router.crashes.last_report.set(Some(now));
        send(router, reports, &Recipients::All);
    }
}

/// Calls [`send_missed_if_selected`] if a heartbeat shows that its sender may have missed crash reports, as it is new,
/// was silent or was restarted. `previous` is the state of the sender before the heartbeat; `None` if the sender is
/// new.
pub(crate) fn send_if_missed(
    router: &Router,
    peer: SocketAddr,
    previous: Option<&PeerEntry>,
    entry: &PeerEntry,
) {
    if may_have_missed_facts(previous, entry, router.peer_timeout()) {
        send_missed_if_selected(router, peer);
    }
}

/// Sends the suspect contents to a peer that may have missed reports. In a large fleet only some routers, drawn at
/// random, send them.
pub(crate) fn send_missed_if_selected(router: &Router, peer: SocketAddr) {
    if router.crashes.tracker.borrow().registry.is_empty() {
        return;
    }
    if sends_missed_facts(router.peers.count(), &mut router.rng.borrow_mut()) {
        send_suspects(router, &Recipients::Only(vec![peer]), router.now());
    }
}

/// Sends the suspect contents to one random peer, while the last new report is recent. Called once per heartbeat.
pub(crate) fn repeat(router: &Router, now: Instant) {
    if !is_within_repeat_window(router.crashes.last_report.get(), now) {
        return;
    }
    let peers = router.peers.addresses();
    let peer = router.rng.borrow_mut().choose_multiple(peers, 1);
    send_suspects(router, &Recipients::Only(peer), now);
}

fn send_suspects(router: &Router, to: &Recipients, now: Instant) {
    let tracker = router.crashes.tracker.borrow();
    let reports = tracker
        .registry
        .reports(&tracker.registry.suspect_or_blocked(now), now);
    drop(tracker);
    send(router, reports, to);
}

fn send(router: &Router, reports: Vec<ContentReport>, to: &Recipients) {
    let sender = router.settings().listen.peers;
    for contents in split_into_messages(reports) {
        let reports = CrashReports { sender, contents };
        router
            .peers
            .outbox
            .send(PeerMessage::CrashReports(reports), to.clone());
    }
}

/// Merges a peer's crash reports. If they add anything, a router of a large fleet forwards them, and any router sends
/// the suspect contents to peers repeatedly for a while.
pub(crate) fn on_reports(router: &Router, reports: CrashReports, now: Instant) {
    let mut tracker = router.crashes.tracker.borrow_mut();
    let changed = tracker.registry.merge(&reports.contents, now);
    drop(tracker);
    if changed.is_empty() {
        return;
    }
    router.metrics.crashes.count("heard");
    router.crashes.last_report.set(Some(now));
    let from = format!("peer {}", reports.sender);
    apply_block_changes(router, &from, now);
    router.peers.forward(PeerMessage::CrashReports(reports));
}
