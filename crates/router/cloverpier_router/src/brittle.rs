//! Keeps requests to brittle upstreams within their room: computes this router's shares, and exchanges reports of
//! refusals with peers.
//!
//! `cloverpier_router_policy::brittle` decides how large a share is and how long a pause after refusals. The table of
//! upstreams holds the shares, and the pauses as those that upstreams request themselves. [`Router`] holds the numbers
//! of the reports, by which a report that is forwarded counts once.

use crate::call_kind::CallKind;
use crate::decision_log::{BrittleChanged, BrittleFull, ms};
use crate::outbox::Recipients;
use crate::peer_messages::{FullUpstream, PeerMessage};
use crate::router::Router;
use cloverpier_router_policy::brittle::{BrittleStatement, RouterHash, share_of};
use cloverpier_router_policy::prelude::*;
use std::net::SocketAddr;

/// Applies the statement of a response's sender about its brittleness.
pub(crate) fn on_statement(
    router: &Router,
    upstream: &Upstream,
    statement: BrittleStatement,
    via: CallKind<'_>,
) {
    let mut table = router.upstreams.borrow_mut();
    let Some(brittleness) = table.brittleness_mut(&upstream.name) else {
        return;
    };
    let has_changed = brittleness.on_statement(statement);
    let max_refusals = brittleness.max_refusals();
    drop(table);
    if has_changed {
        update_shares(router);
        let line = BrittleChanged {
            upstream: upstream.name.as_str(),
            max_refusals,
            via: via.log_name(),
            request: via.request(),
        };
        router.log.info("server.brittle", &line);
    }
}

/// Computes this router's share of the slots of each brittle upstream, for which the list of live routers counts.
pub(crate) fn update_shares(router: &Router) {
    let mut table = router.upstreams.borrow_mut();
    if table.brittle_upstreams().next().is_none() {
        return;
    }
    let own = RouterHash::of(router.settings().listen.peers);
    let ready = router.peers.ready(router.now(), router.peer_timeout());
    let peers = ready.into_iter().map(|peer| RouterHash::of(peer.peer));
    let routers: Vec<RouterHash> = peers.chain([own]).collect();
    for state in table.brittle_upstreams() {
        let share = share_of(own, &routers, state.key, state.upstream.slots.max(1));
        state.brittleness.set_share(share);
    }
}

/// Handles the refusal of a request for lack of room. If the upstream is brittle, reports the refusal to all peers.
pub(crate) fn on_refusal(router: &Router, upstream: &Upstream) {
    let table = router.upstreams.borrow();
    let state = table.get(&upstream.name);
    let brittle = state.filter(|s| s.brittleness.is_brittle());
    let Some(key) = brittle.map(|s| s.key) else {
        return;
    };
    drop(table);
    record(router, upstream, None);
    let number = router.brittle_reports.get();
    router.brittle_reports.set(number + 1);
    let message = PeerMessage::FullUpstream(FullUpstream {
        sender: router.settings().listen.peers,
        number,
        upstream: key,
    });
    router.peers.outbox.send(message, Recipients::All);
}

/// Applies a peer's report, and forwards it if it is new.
pub(crate) fn on_report(router: &Router, report: FullUpstream) {
    let table = router.upstreams.borrow();
    let state = table.by_key(report.upstream);
    let Some(upstream) = state.map(|s| s.upstream.clone()) else {
        return;
    };
    drop(table);
    let mut last_numbers = router.last_brittle_reports.borrow_mut();
    let last = last_numbers.entry(report.sender).or_default();
    if report.number < *last {
        return;
    }
    *last = report.number + 1;
    drop(last_numbers);
    record(router, &upstream, Some(report.sender));
    router.peers.forward(PeerMessage::FullUpstream(report));
}

/// Records a refusal, which `reporter` or this router received, and pauses requests to the upstream if there were too
/// many.
fn record(router: &Router, upstream: &Upstream, reporter: Option<SocketAddr>) {
    let now = router.now();
    router.metrics.brittle_refusals.count(match reporter {
        None => "own",
        Some(_) => "peer",
    });
    let mut table = router.upstreams.borrow_mut();
    let Some(brittleness) = table.brittleness_mut(&upstream.name) else {
        return;
    };
    let pause = brittleness.on_refusal(now, &mut router.rng.borrow_mut());
    let Some(pause) = pause else {
        return;
    };
    if table.on_wait(&upstream.name, pause, now) {
        let line = BrittleFull {
            upstream: upstream.name.as_str(),
            pause_ms: ms(pause),
            peer: reporter.map(|peer| peer.to_string()),
        };
        router.log.info("server.full", &line);
    }
}
