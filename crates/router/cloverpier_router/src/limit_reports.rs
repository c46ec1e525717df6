//! Sends peers the limits that upstreams name, and applies what peers send.
//!
//! What changes by a report is decided in `cloverpier_router_policy::limit`, repeats in `dissemination`
//! there. Owns no state: [`crate::upstream_limits`] does.

use crate::outbox::Recipients;
use crate::peer_messages::{LimitReports, PeerMessage};
use crate::router::Router;
use cloverpier_router_policy::dissemination::{
    is_within_repeat_window, may_have_missed_facts, sends_missed_facts,
};
use cloverpier_router_policy::limit::{LimitReport, in_messages};
use cloverpier_router_policy::prelude::*;
use std::net::SocketAddr;
use std::time::Instant;

/// Sends all peers what an answer has changed.
pub(crate) fn send_to_all(router: &Router, report: LimitReport) {
    send(router, &[report], &Recipients::All);
}

/// Applies a peer's message.
pub(crate) fn on_reports(router: &Router, reports: LimitReports) {
    let mut is_new = false;
    let table = router.upstreams.borrow();
    for report in &reports.limits {
        let state = table.by_key(report.upstream);
        is_new |= router
            .upstream_limits
            .on_report(report, state, reports.sender);
    }
    drop(table);
    if is_new {
        router.peers.forward(PeerMessage::LimitReports(reports));
    }
}

/// Sends a peer all limits, if it may have missed some.
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

/// Sends a peer that may have missed some what is known, where this router is one of those that do.
pub(crate) fn send_missed_if_selected(router: &Router, peer: SocketAddr) {
    let reports = reports(router);
    if !reports.is_empty() && sends_missed_facts(router.peers.count(), &mut router.rng.borrow_mut())
    {
        send(router, &reports, &Recipients::Only(vec![peer]));
    }
}

/// Repeats what is known to one peer, for a while after something was learned.
pub(crate) fn repeat(router: &Router, now: Instant) {
    if !is_within_repeat_window(router.upstream_limits.last_report.get(), now) {
        return;
    }
    let peers = router.peers.addresses();
    let peer = router.rng.borrow_mut().choose_multiple(peers, 1);
    send(router, &reports(router), &Recipients::Only(peer));
}

fn reports(router: &Router) -> Vec<LimitReport> {
    let table = router.upstreams.borrow();
    let start_time_ms = |key| table.by_key(key).and_then(UpstreamState::start_time_ms);
    router.upstream_limits.reports(start_time_ms)
}

fn send(router: &Router, reports: &[LimitReport], to: &Recipients) {
    let sender = router.settings().listen.peers;
    for limits in in_messages(reports) {
        let reports = PeerMessage::LimitReports(LimitReports { sender, limits });
        router.peers.outbox.send(reports, to.clone());
    }
}
