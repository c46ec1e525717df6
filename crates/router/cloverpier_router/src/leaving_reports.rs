//! Reports leaving upstreams to peers, and applies peers' reports.
//!
//! An upstream announces in its responses that it leaves. `cloverpier_router_policy::leaving` defines the
//! reports, and `cloverpier_router_policy::dissemination` decides when they are sent again. Owns no state;
//! the table of upstreams holds the announcements, and [`Router`] the time when the last new one arrived.

use crate::call_kind::CallKind;
use crate::outbox::Recipients;
use crate::peer_messages::{LeavingReports, PeerMessage};
use crate::router::Router;
use crate::upstream_log::{LeavingSource, log_leaving};
use cloverpier_router_policy::dissemination::{
    is_within_repeat_window, may_have_missed_facts, sends_missed_facts,
};
use cloverpier_router_policy::leaving::split_into_messages;
use cloverpier_router_policy::prelude::*;
use std::net::SocketAddr;
use std::time::Instant;

/// Records the announcement of an upstream that it leaves, and reports it to all peers if it is new.
/// `start_time_ms` is the start of the leaving process as a Unix time in milliseconds, if the response
/// contains it.
pub(crate) fn on_leaving(
    router: &Router,
    upstream: &Upstream,
    start_time_ms: Option<u64>,
    via: CallKind<'_>,
    now: Instant,
) {
    let mut table = router.upstreams.borrow_mut();
    if !table.on_leaving(&upstream.name, start_time_ms, now) {
        return;
    }
    let reports = table.leaving_reports_of(&upstream.name, now);
    drop(table);
    record(router, upstream, "said", &LeavingSource::Response(via), now);
    send(router, &reports, &Recipients::All);
}

/// Applies a peer's reports, and forwards them if one of them is new.
pub(crate) fn on_reports(router: &Router, reports: LeavingReports, now: Instant) {
    let mut table = router.upstreams.borrow_mut();
    let new = table.on_peer_leaving_reports(&reports.upstreams, now);
    drop(table);
    for upstream in &new {
        record(
            router,
            upstream,
            "heard",
            &LeavingSource::Peer(reports.sender),
            now,
        );
    }
    if !new.is_empty() {
        router.peers.forward(PeerMessage::LeavingReports(reports));
    }
}

fn record(
    router: &Router,
    upstream: &Upstream,
    label: &'static str,
    source: &LeavingSource<'_>,
    now: Instant,
) {
    router.last_leaving_at.set(Some(now));
    router.metrics.leaving_upstreams.count(label);
    let reports = router
        .upstreams
        .borrow()
        .leaving_reports_of(&upstream.name, now);
    let age_ms = reports.first().map_or(0, |report| report.age_ms.into());
    log_leaving(&router.log, upstream, source, age_ms);
}

/// Sends a peer reports of all leaving upstreams if its heartbeat shows that it may have missed some.
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

/// Sends reports of all leaving upstreams to a peer that may have missed some, if this router is one of the
/// about 16 routers that are selected at random to do so.
pub(crate) fn send_missed_if_selected(router: &Router, peer: SocketAddr) {
    let reports = router.upstreams.borrow().leaving_reports(router.now());
    if !reports.is_empty() && sends_missed_facts(router.peers.count(), &mut router.rng.borrow_mut())
    {
        send(router, &reports, &Recipients::Only(vec![peer]));
    }
}

/// Sends recent reports to one random peer, if the last new announcement arrived within 3 s. Called at each
/// sending interval, because datagrams are lost.
pub(crate) fn repeat(router: &Router, now: Instant) {
    if !is_within_repeat_window(router.last_leaving_at.get(), now) {
        return;
    }
    let reports = router.upstreams.borrow().recent_leaving_reports(now);
    let peers = router.peers.addresses();
    let peer = router.rng.borrow_mut().choose_multiple(peers, 1);
    send(router, &reports, &Recipients::Only(peer));
}

fn send(router: &Router, reports: &[LeavingReport], to: &Recipients) {
    let sender = router.settings().listen.peers;
    for upstreams in split_into_messages(reports) {
        let reports = LeavingReports { sender, upstreams };
        router
            .peers
            .outbox
            .send(PeerMessage::LeavingReports(reports), to.clone());
    }
}
