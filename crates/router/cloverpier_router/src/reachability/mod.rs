//! Which upstreams this router reaches over its own connections, and how it reaches the others.
//!
//! | module | concern |
//! | --- | --- |
//! | [`connect`] | opens connections for requests and queries, by itself or through a peer |
//! | [`query`] | GET requests to an upstream over a given path |
//! | [`probing`] | the paths that a probe of a silent upstream takes |
//! | [`trial`] | which calls may try a tunnel for an upstream that does not respond |
//! | [`checks`] | checks whether lost paths work again |
//!
//! This module collects the failures and responses of all calls to upstreams, applies
//! `cloverpier_router_policy::reachability`, which decides, and logs the changes. Relies on [`crate::probe`] to report
//! calls without a response, and on [`crate::statements`], through which every response passes.

pub(crate) mod checks;
pub(crate) mod connect;
pub(crate) mod probing;
pub(crate) mod query;
pub(crate) mod trial;

use crate::connection::{Connection, Via};
use crate::decision_log::{PathLost, PathRestored, ServiceReachable, ServiceUnreachable, ms_since};
use crate::router::Router;
use crate::tunnel::open::on_peer_failed;
use cloverpier_core::ServiceName;
use cloverpier_router_policy::path_evidence::OwnContact;
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::reachability::ReachabilityChange;
use cloverpier_router_policy::tunnel_peers::PeerFailure;
use std::time::Instant;

/// Records that a call to an upstream over this router's own connections failed without a response.
pub(crate) fn on_failure(router: &Router, upstream: &Upstream) {
    let now = router.now();
    update_heard(router, &upstream.service);
    let change = router.reachability.borrow_mut().on_failure(upstream, now);
    if let Some(change) = change {
        log_change(router, &upstream.service, change, now);
    }
}

/// Records when a part of a response last arrived from a service over own connections. Streams that run do not
/// report each event; it is looked up when a call fails.
fn update_heard(router: &Router, service: &ServiceName) {
    let table = router.upstreams.borrow();
    let names = table.of_service(service).map(|s| &s.upstream.name);
    let heard_at = router.health.last_heard_directly(names);
    if let Some(heard_at) = heard_at {
        let mut reachability = router.reachability.borrow_mut();
        reachability.on_heard(service, heard_at);
    }
}

/// When this router last had contact with upstreams of the service over its own connections.
fn own_contact(router: &Router, service: &ServiceName) -> OwnContact {
    update_heard(router, service);
    router.reachability.borrow().own_contact(service)
}

/// Records that an upstream responded to a call on a connection.
pub(crate) fn on_response(router: &Router, upstream: &Upstream, connection: &Connection) {
    if connection.via != Via::Direct {
        return;
    }
    let now = router.now();
    let mut reachability = router.reachability.borrow_mut();
    let restored = reachability.on_working_connection(upstream, connection.opened_at);
    let change = reachability.on_response(upstream, now);
    drop(reachability);
    if let Some(since) = restored {
        log_restored(router, upstream, since, now);
    }
    if let Some(change) = change {
        log_change(router, &upstream.service, change, now);
    }
}

/// Records that an upstream is reached over the path `reached`, while this router's own connection that was tried at
/// `tried_at` is not: new connections go through peers until a check restores the path.
pub(crate) fn on_path_lost(router: &Router, upstream: &Upstream, reached: Via, tried_at: Instant) {
    let now = router.now();
    let mut reachability = router.reachability.borrow_mut();
    let is_new = reachability.on_reached_by_peer(upstream, tried_at, now);
    let is_cut_off = reachability.is_cut_off(&upstream.service);
    drop(reachability);
    router.path_trials.on_reached(&upstream.service, now);
    on_failure(router, upstream);
    if !is_new {
        return;
    }
    update_gauge(router);
    router.path_lost.notify_one();
    let peer = match reached {
        Via::Direct => None,
        Via::Peer(peer) => Some(peer.to_string()),
    };
    let line = PathLost {
        upstream: upstream.name.as_str(),
        address: upstream.address.to_string(),
        peer,
        is_cut_off,
    };
    router.log.info("path.lost", &line);
}

/// Ends the attempts at an upstream over a path on which nothing arrives, although the upstream is reached over the
/// path `reached`. `tried_at` is when the call was sent that remained without a response.
pub(crate) fn end_silent_path(
    router: &Router,
    upstream: &Upstream,
    silent: Via,
    reached: Via,
    tried_at: Instant,
) {
    let now = router.now();
    match silent {
        Via::Direct => on_path_lost(router, upstream, reached, tried_at),
        Via::Peer(peer) => {
            on_peer_failed(router, &upstream.service, peer, PeerFailure::Silent);
        }
    }
    router.pool.borrow_mut().close_path(&upstream.name, silent);
    router.health.end_path(upstream, silent, now);
}

/// Sets the gauge of lost paths.
pub(crate) fn update_gauge(router: &Router) {
    let lost = router.reachability.borrow().lost_paths();
    let lost = i64::try_from(lost).unwrap_or(i64::MAX);
    router.metrics.lost_paths.set(lost);
}

fn log_restored(router: &Router, upstream: &Upstream, since: Instant, now: Instant) {
    update_gauge(router);
    let line = PathRestored {
        upstream: upstream.name.as_str(),
        address: upstream.address.to_string(),
        lost_ms: ms_since(since, now),
    };
    router.log.info("path.restored", &line);
}

fn log_change(router: &Router, service: &ServiceName, change: ReachabilityChange, now: Instant) {
    match change {
        ReachabilityChange::Unreachable {
            failed,
            last_response,
        } => {
            router.metrics.unreachable_services.inc();
            let table = router.upstreams.borrow();
            let of_service = || table.of_service(service);
            let line = ServiceUnreachable {
                service: service.as_str(),
                failed,
                listed: of_service().count(),
                suspected_by_peers: of_service().filter(|s| s.is_suspected_by_peer(now)).count(),
                silent_ms: last_response.map(|at| ms_since(at, now)),
            };
            router.log.info("service.unreachable", &line);
        }
        ReachabilityChange::Reachable { since } => {
            router.metrics.unreachable_services.dec();
            let line = ServiceReachable {
                service: service.as_str(),
                unreachable_ms: ms_since(since, now),
            };
            router.log.info("service.reachable", &line);
        }
    }
}
