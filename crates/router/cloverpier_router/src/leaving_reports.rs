//! Sends peers the upstreams that have announced that they leave, and applies what peers send.
//!
//! The messages' contents are decided in `cloverpier_router_policy::leaving`, repeats in `dissemination`
//! there. Owns no state: the table of upstreams holds the leavings, the router when the last one was
//! learned.

use crate::beliefs::{LeavingSource, log_leaving};
use crate::call_kind::CallKind;
use crate::outbox::Recipients;
use crate::peer_messages::{LeavingReports, PeerMessage};
use crate::router::Router;
use cloverpier_router_policy::dissemination::{
    is_within_repeat_window, may_have_missed_facts, sends_missed_facts,
};
use cloverpier_router_policy::leaving::split_into_messages;
use cloverpier_router_policy::prelude::*;
use std::net::SocketAddr;
use std::time::Instant;

/// Records that an upstream has announced that it leaves, and sends that to all peers if it is new.
pub(crate) fn on_leaving(
    router: &Router,
    upstream: &Upstream,
    born_ms: Option<u64>,
    via: CallKind<'_>,
    now: Instant,
) {
    let mut table = router.upstreams.borrow_mut();
    if !table.on_leaving(&upstream.name, born_ms, now) {
        return;
    }
    let reports = table.leaving_reports_of(&upstream.name, now);
    drop(table);
    note(router, upstream, "said", &LeavingSource::Answer(via), now);
    send(router, &reports, &Recipients::All);
}

/// Applies a peer's message.
pub(crate) fn on_reports(router: &Router, reports: LeavingReports, now: Instant) {
    let mut table = router.upstreams.borrow_mut();
    let new = table.on_peer_leaving_reports(&reports.upstreams, now);
    drop(table);
    for upstream in &new {
        note(
            router,
            upstream,
            "heard",
            &LeavingSource::Peer(reports.sender),
            now,
        );
    }
    if !new.is_empty() {
        router.peers.pass_on(PeerMessage::Leavings(reports));
    }
}

fn note(
    router: &Router,
    upstream: &Upstream,
    how: &'static str,
    source: &LeavingSource<'_>,
    now: Instant,
) {
    router.last_leaving_at.set(Some(now));
    router.metrics.leaving_upstreams.count(how);
    let known = router
        .upstreams
        .borrow()
        .leaving_reports_of(&upstream.name, now);
    let age_ms = known.first().map_or(0, |report| report.age_ms.into());
    log_leaving(&router.log, upstream, source, age_ms);
}

/// Sends a peer all upstreams that leave, if it may have missed some.
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

/// Sends a peer that may have missed some what is known, where this router is one of those that do.
pub(crate) fn greet_newcomer(router: &Router, peer: SocketAddr) {
    let reports = router.upstreams.borrow().leaving_reports(router.now());
    if !reports.is_empty() && sends_missed_facts(router.peers.count(), &mut router.rng.borrow_mut())
    {
        send(router, &reports, &Recipients::These(vec![peer]));
    }
}

/// Repeats what is new to one peer, for a while after the last leaving was learned.
pub(crate) fn repeat(router: &Router, now: Instant) {
    if !is_within_repeat_window(router.last_leaving_at.get(), now) {
        return;
    }
    let reports = router.upstreams.borrow().recent_leaving_reports(now);
    let peers = router.peers.addresses();
    let peer = router.rng.borrow_mut().choose_multiple(peers, 1);
    send(router, &reports, &Recipients::These(peer));
}

fn send(router: &Router, reports: &[LeavingReport], to: &Recipients) {
    let sender = router.settings().listen.peers;
    for upstreams in split_into_messages(reports) {
        let reports = LeavingReports { sender, upstreams };
        router
            .peers
            .outbox
            .send(PeerMessage::Leavings(reports), to.clone());
    }
}
