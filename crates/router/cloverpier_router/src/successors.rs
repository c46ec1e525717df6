//! Learns which process has taken the place of a dead upstream, and tells peers.
//!
//! Whether it belongs to the same service is decided in
//! `cloverpier_router_policy::successor`; this module reads its name off answers, adds it to
//! the table of upstreams and applies what peers have found. Relies on
//! [`crate::health`] for the former process's last sign of life.

use crate::peer_messages::Successor;
use crate::probe::log_belief;
use crate::router::Router;
use cloverpier_core::UpstreamName;
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::successor::{must_be_same_service, recognizable_until};
use std::time::Instant;

/// Has a dead upstream checked closely while its successor would be recognized.
pub(crate) fn await_successor(router: &Router, upstream: &Upstream) {
    let Some(last_sign) = last_sign(router, upstream, router.now()) else {
        return;
    };
    let until = recognizable_until(last_sign, router.settings().address_reuse);
    let mut table = router.upstreams.borrow_mut();
    table.await_successor(&upstream.name, until);
}

fn last_sign(router: &Router, upstream: &Upstream, now: Instant) -> Option<Instant> {
    router.health.of(upstream, now).last_own_answer.get()
}

/// Takes the process that answers at an upstream's address under another name, if it must
/// belong to the same service.
pub(crate) fn on_other_name(router: &Router, former: &Upstream, answering: Option<&str>) {
    let now = router.now();
    let Some((name, last_sign)) = answering.zip(last_sign(router, former, now)) else {
        return;
    };
    if !must_be_same_service(last_sign, now, router.settings().address_reuse) {
        return;
    }
    let upstream = Upstream {
        name: UpstreamName::new(name),
        draining: false,
        ..former.clone()
    };
    let successor = Successor {
        sender: router.settings().listen.peers,
        former: former.name.clone(),
        upstream,
    };
    if add(router, &successor, "answers in place of") {
        router.peers.report_successor(successor);
    }
}

/// Takes an upstream that a peer has found.
pub(crate) fn on_peer_successor(router: &Router, successor: &Successor) {
    add(router, successor, "a peer saw it in place of");
}

/// Adds an upstream that is not listed yet; false where that is not new.
fn add(router: &Router, successor: &Successor, how: &str) -> bool {
    let Successor {
        former, upstream, ..
    } = successor;
    let mut table = router.upstreams.borrow_mut();
    let is_new = table.add_successor(former, upstream.clone());
    drop(table);
    if is_new {
        let reason = format!("{how} {former}");
        log_belief(router, "server.restarted", upstream, &reason, 0);
    }
    is_new
}
