//! Adds the successors of dead upstreams, and notifies peers of them.
//!
//! A successor is a process that responds under another name at the address of a dead upstream, its
//! predecessor. `cloverpier_router_policy::successor` decides whether it must belong to the same service.
//! This module adds such a process to the table of upstreams and applies the reports of peers. Relies on
//! [`crate::health`] for the evidence that the predecessor was running. Owns no state.

use crate::crashes::record;
use crate::decision_log::{SuccessorEvaluated, ms, ms_since};
use crate::outbox::Recipients;
use crate::peer_messages::{PeerMessage, ReplacedUpstream, Successor};
use crate::router::Router;
use crate::upstream_log::log_upstream_change;
use cloverpier_core::UpstreamName;
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::successor::{must_be_same_service, successor_deadline};

/// Makes the checks of a dead upstream more frequent while its successor can still be accepted. Does nothing
/// if this router has no response of the upstream.
pub(crate) fn schedule_successor_checks(router: &Router, upstream: &Upstream) {
    let Some(proven_alive_at) = router.health.proven_alive_at(upstream) else {
        return;
    };
    let until = successor_deadline(proven_alive_at, router.settings().address_reuse);
    let mut table = router.upstreams.borrow_mut();
    table.check_frequently_until(&upstream.name, until);
}

/// Records that a process responds at an upstream's address under another name, and adds it as the successor
/// if it must belong to the same service.
///
/// Peers are notified, as each of them would otherwise have to send a request to the dead upstream to detect
/// this. Without the notice, 74 routers send 540 requests to a wrong process in 9 s, while the engines of two
/// data centres have restarted and the store is unreachable.
pub(crate) fn on_name_mismatch(
    router: &Router,
    predecessor: &Upstream,
    responding_name: Option<&UpstreamName>,
) {
    let sender = router.settings().listen.peers;
    if let Some(name) = responding_name {
        let mut table = router.upstreams.borrow_mut();
        table.on_identified_at(name, predecessor.address);
    }
    let successor = successor(router, predecessor, responding_name);
    let successor =
        successor.filter(|upstream| add(router, &predecessor.name, upstream, "process responds"));
    record::on_process_replaced(router, predecessor);
    let is_new = router.upstreams.borrow_mut().on_replaced(&predecessor.name);
    if !is_new && successor.is_none() {
        return;
    }
    log_upstream_change(
        &router.log,
        "server.replaced",
        predecessor,
        "another process responds",
        0,
    );
    let predecessor = predecessor.name.clone();
    let message = match successor {
        Some(upstream) => PeerMessage::Successor(Successor {
            sender,
            predecessor,
            // Routers of an older release can't decode the start. Others assume the predecessor's version.
            upstream: upstream.without_start(),
        }),
        None => PeerMessage::ReplacedUpstream(ReplacedUpstream {
            sender,
            predecessor,
        }),
    };
    router.peers.outbox.send(message, Recipients::All);
}

/// The assumed entry of the process that responds at the predecessor's address; `None` if it need not belong
/// to the same service, or if its name is unknown.
fn successor(
    router: &Router,
    predecessor: &Upstream,
    responding_name: Option<&UpstreamName>,
) -> Option<Upstream> {
    let is_same_service = must_have_same_service(router, predecessor, responding_name);
    let name = responding_name.filter(|_| is_same_service)?;
    Some(Upstream {
        name: name.clone(),
        draining: false,
        start: UpstreamStart::of_successor(predecessor),
        ..predecessor.clone()
    })
}

/// Decides whether the process that responds at the predecessor's address must belong to its service, and logs the
/// decision with its inputs.
fn must_have_same_service(
    router: &Router,
    predecessor: &Upstream,
    responding_name: Option<&UpstreamName>,
) -> bool {
    let now = router.now();
    let address_reuse = router.settings().address_reuse;
    let last_read = router.health.last_own_response(&predecessor.name);
    let proven_alive = router.health.proven_alive_at(predecessor);
    let is_same_service =
        proven_alive.is_some_and(|at| must_be_same_service(at, now, address_reuse));
    let line = SuccessorEvaluated {
        predecessor: predecessor.name.as_str(),
        responder: responding_name.map(UpstreamName::as_str),
        read_ago_ms: last_read.map(|at| ms_since(at, now)),
        proven_alive_ago_ms: proven_alive.map(|at| ms_since(at, now)),
        address_reuse_ms: ms(address_reuse),
        is_same_service,
    };
    router.log.info("successor.evaluated", &line);
    is_same_service
}

/// Adds a successor that a peer has reported, with the version of the predecessor if that is known here.
pub(crate) fn on_peer_successor(router: &Router, successor: Successor) {
    let table = router.upstreams.borrow();
    let predecessor = table.get(&successor.predecessor).map(|s| &s.upstream);
    let upstream = Upstream {
        start: predecessor.and_then(UpstreamStart::of_successor),
        ..successor.upstream.clone()
    };
    drop(table);
    if add(
        router,
        &successor.predecessor,
        &upstream,
        "process responds to a peer",
    ) {
        router.peers.forward(PeerMessage::Successor(successor));
    }
}

/// Records a peer's report that another process responds at an upstream's address.
pub(crate) fn on_peer_replaced(router: &Router, replaced: ReplacedUpstream) {
    let is_new = router
        .upstreams
        .borrow_mut()
        .on_replaced(&replaced.predecessor);
    if is_new {
        router.pool.borrow_mut().close_all(&replaced.predecessor);
        router
            .peers
            .forward(PeerMessage::ReplacedUpstream(replaced));
    }
}

/// Adds a successor that is not on the platform's list yet; returns false if it was added or listed before.
/// `evidence` describes in the log line how the successor was found.
fn add(router: &Router, predecessor: &UpstreamName, upstream: &Upstream, evidence: &str) -> bool {
    let mut table = router.upstreams.borrow_mut();
    let is_new = table.add_successor(predecessor, upstream.clone());
    drop(table);
    if is_new {
        let reason = format!("{evidence} in place of {predecessor}");
        log_upstream_change(&router.log, "server.restarted", upstream, &reason, 0);
    }
    is_new
}
