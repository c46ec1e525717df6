//! Whether this router reaches the upstreams of each service over its own connections.
//!
//! Collects the failures and responses of all calls to upstreams, and logs when a service becomes unreachable or
//! reachable. `cloverpier_router_policy::reachability` decides that. Relies on [`crate::probe`] to report calls
//! without a response, and on [`crate::statements`], through which every response passes.

use crate::decision_log::{ServiceReachable, ServiceUnreachable, ms_since};
use crate::router::Router;
use cloverpier_core::ServiceName;
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::reachability::ReachabilityChange;
use std::time::Instant;

/// Records that a call to an upstream failed without a response.
pub(crate) fn on_failure(router: &Router, upstream: &Upstream) {
    let now = router.now();
    let change = router.reachability.borrow_mut().on_failure(upstream, now);
    if let Some(change) = change {
        log_change(router, &upstream.service, change, now);
    }
}

/// Records that an upstream responded to a call.
pub(crate) fn on_response(router: &Router, upstream: &Upstream) {
    let now = router.now();
    let change = router.reachability.borrow_mut().on_response(upstream, now);
    if let Some(change) = change {
        log_change(router, &upstream.service, change, now);
    }
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
