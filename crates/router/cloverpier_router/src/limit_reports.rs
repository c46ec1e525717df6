//! Reports to peers the rate limits that upstreams advertise, and applies peers' reports.
//!
//! `cloverpier_router_policy::limit` decides the effect of a report, and
//! `cloverpier_router_policy::dissemination` when reports are sent again. Owns no state;
//! [`crate::upstream_limits`] holds the limits.

use crate::outbox::Recipients;
use crate::peer_messages::{LimitReports, PeerMessage};
use crate::router::Router;
use cloverpier_router_policy::dissemination::{
    is_within_repeat_window, may_have_missed_facts, sends_missed_facts,
};
use cloverpier_router_policy::limit::{LimitReport, split_into_messages};
use cloverpier_router_policy::prelude::*;
use std::net::SocketAddr;
use std::time::Instant;

/// Reports to all peers a limit that a response has changed.
pub(crate) fn send_to_all(router: &Router, report: LimitReport) {
    send(router, &[report], &Recipients::All);
}

/// Applies a peer's reports, and forwards them if one of them is new.
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

/// Sends a peer reports of all limits if its heartbeat shows that it may have missed some.
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

/// Sends reports of all limits to a peer that may have missed some, if this router is one of the about 16
/// routers that are selected at random to do so.
pub(crate) fn send_missed_if_selected(router: &Router, peer: SocketAddr) {
    let reports = reports(router);
    if !reports.is_empty() && sends_missed_facts(router.peers.count(), &mut router.rng.borrow_mut())
    {
        send(router, &reports, &Recipients::Only(vec![peer]));
    }
}

/// Sends reports of all limits to one random peer, if the last new limit or change arrived within 3 s. Called
/// at each sending interval, because datagrams are lost.
pub(crate) fn repeat(router: &Router, now: Instant) {
    if !is_within_repeat_window(router.upstream_limits.last_report.get(), now) {
        return;
    }
    let peers = router.peers.addresses();
    let peer = router.rng.borrow_mut().choose_multiple(peers, 1);
    send(router, &reports(router), &Recipients::Only(peer));
}

/// Reports of the last known limit of each upstream.
fn reports(router: &Router) -> Vec<LimitReport> {
    let table = router.upstreams.borrow();
    let start_time_ms = |key| table.by_key(key).and_then(UpstreamState::start_time_ms);
    router.upstream_limits.reports(start_time_ms)
}

fn send(router: &Router, reports: &[LimitReport], to: &Recipients) {
    let sender = router.settings().listen.peers;
    for limits in split_into_messages(reports) {
        let reports = PeerMessage::LimitReports(LimitReports { sender, limits });
        router.peers.outbox.send(reports, to.clone());
    }
}
