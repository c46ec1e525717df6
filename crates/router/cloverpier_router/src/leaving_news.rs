//! Tells peers of upstreams that have said that they leave, and takes what they tell.
//!
//! What is told is decided in `cloverpier_router_policy::leaving`, who is told again in `news` there.
//! Owns when something was learned last; the table of upstreams holds the leavings.

use crate::beliefs::{LeavingSource, Via, log_leaving};
use crate::peer_messages::{LeavingNews, PeerMessage};
use crate::peers::Recipients;
use crate::router::Router;
use cloverpier_router_policy::leaving::in_messages;
use cloverpier_router_policy::news::{is_teller, is_told_again, may_have_missed};
use cloverpier_router_policy::prelude::*;
use std::net::SocketAddr;
use std::time::Instant;

/// Records that an upstream has said that it leaves, and tells all peers if that is new.
pub(crate) fn on_leaving(
    router: &Router,
    upstream: &Upstream,
    born_ms: Option<u64>,
    via: Via<'_>,
    now: Instant,
) {
    let mut table = router.upstreams.borrow_mut();
    if !table.on_leaving(&upstream.name, born_ms, now) {
        return;
    }
    let reports = table.leaving_of(&upstream.name, now);
    drop(table);
    note(router, upstream, "said", &LeavingSource::Answer(via), now);
    tell(router, &reports, &Recipients::All);
}

/// Takes what a peer tells.
pub(crate) fn on_news(router: &Router, news: &LeavingNews, now: Instant) {
    let mut table = router.upstreams.borrow_mut();
    let new = table.on_peer_leavings(&news.upstreams, now);
    drop(table);
    for upstream in new {
        note(
            router,
            &upstream,
            "heard",
            &LeavingSource::Peer(news.sender),
            now,
        );
    }
}

fn note(
    router: &Router,
    upstream: &Upstream,
    how: &'static str,
    source: &LeavingSource<'_>,
    now: Instant,
) {
    router.last_leaving.set(Some(now));
    router.metrics.leavings.count(how);
    let known = router.upstreams.borrow().leaving_of(&upstream.name, now);
    let age_ms = known.first().map_or(0, |report| report.age_ms.into());
    log_leaving(router, upstream, source, age_ms);
}

/// Tells a peer of all upstreams that leave, if it may have missed some.
pub(crate) fn tell_if_missed(
    router: &Router,
    peer: SocketAddr,
    former: Option<&PeerEntry>,
    entry: &PeerEntry,
) {
    if !may_have_missed(former, entry, router.peer_timeout()) {
        return;
    }
    let reports = router.upstreams.borrow().leavings(router.now());
    let peers = router.peers.addresses().len();
    if !reports.is_empty() && is_teller(peers, &mut router.rng.borrow_mut()) {
        tell(router, &reports, &Recipients::These(vec![peer]));
    }
}

/// Tells one peer what is new, for a while after something was learned.
pub(crate) fn tell_again(router: &Router, now: Instant) {
    if !is_told_again(router.last_leaving.get(), now) {
        return;
    }
    let reports = router.upstreams.borrow().new_leavings(now);
    let peers = router.peers.addresses();
    let peer = router.rng.borrow_mut().choose_multiple(peers, 1);
    tell(router, &reports, &Recipients::These(peer));
}

fn tell(router: &Router, reports: &[LeavingReport], to: &Recipients) {
    let sender = router.settings().listen.peers;
    for upstreams in in_messages(reports) {
        let news = LeavingNews { sender, upstreams };
        router.peers.send(PeerMessage::Leavings(news), to.clone());
    }
}
