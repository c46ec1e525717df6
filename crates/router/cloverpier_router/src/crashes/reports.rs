//! Sends peers the requests that end upstreams, and applies what peers send.
//!
//! The messages' contents are decided in `cloverpier_router_policy::crash_reports`, repeats in
//! `dissemination` there. Owns no state: [`super::state`] holds what is known, and when it was sent
//! last.

use super::verdicts::apply_verdicts;
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

/// Tells all peers what is known of contents.
pub(crate) fn send_to_all(router: &Router, contents: &[ContentKey], now: Instant) {
    let reports = router
        .crashes
        .cases
        .borrow()
        .registry
        .reports(contents, now);
    if !reports.is_empty() {
        router.crashes.last_report.set(Some(now));
        send(router, reports, &Recipients::All);
    }
}

/// Tells a peer of the suspect contents, if it may have missed them.
pub(crate) fn send_if_missed(
    router: &Router,
    peer: SocketAddr,
    former: Option<&PeerEntry>,
    entry: &PeerEntry,
) {
    if may_have_missed_facts(former, entry, router.peer_timeout()) {
        greet_newcomer(router, peer);
    }
}

/// Sends a peer that may have missed something what is known, where this router is one of those that do.
pub(crate) fn greet_newcomer(router: &Router, peer: SocketAddr) {
    if router.crashes.cases.borrow().registry.is_empty() {
        return;
    }
    if sends_missed_facts(router.peers.count(), &mut router.rng.borrow_mut()) {
        send_suspects(router, &Recipients::Only(vec![peer]), router.now());
    }
}

/// Tells one peer of the suspect contents, for a while after something was learned.
pub(crate) fn repeat(router: &Router, now: Instant) {
    if !is_within_repeat_window(router.crashes.last_report.get(), now) {
        return;
    }
    let peers = router.peers.addresses();
    let peer = router.rng.borrow_mut().choose_multiple(peers, 1);
    send_suspects(router, &Recipients::Only(peer), now);
}

fn send_suspects(router: &Router, to: &Recipients, now: Instant) {
    let cases = router.crashes.cases.borrow();
    let reports = cases
        .registry
        .reports(&cases.registry.suspect_or_blocked(now), now);
    drop(cases);
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

/// Takes a peer's report; what was new is passed on for a while, as far as it is suspect.
pub(crate) fn on_reports(router: &Router, reports: CrashReports, now: Instant) {
    let mut cases = router.crashes.cases.borrow_mut();
    let changed = cases.registry.merge(&reports.contents, now);
    drop(cases);
    if changed.is_empty() {
        return;
    }
    router.metrics.crashes.count("heard");
    router.crashes.last_report.set(Some(now));
    let from = format!("peer {}", reports.sender);
    apply_verdicts(router, &from, now);
    router.peers.forward(PeerMessage::CrashReports(reports));
}
