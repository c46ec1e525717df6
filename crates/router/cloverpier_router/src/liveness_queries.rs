//! Queries upstreams for evidence that they are running, while the platform's store is unreachable.
//!
//! The store can't list an upstream that restarts under another name during an outage. Routers recognize it as a successor
//! by recent evidence that its predecessor was running, and streams may run for long without another call. Each upstream
//! is queried by its limiter, the router that also grants the permits for it. `cloverpier_router_policy::successor` decides
//! which upstreams are due. Owns the names of the upstreams with a query in flight.

use crate::call_kind::CallKind;
use crate::connection::{Connection, Via};
use crate::http_client::{CallError, get_over};
use crate::probe;
use crate::reachability::connect;
use crate::reachability::query::PathResponse;
use crate::router::Router;
use crate::send::return_to_pool;
use crate::statements::Call;
use cloverpier_core::UpstreamName;
use cloverpier_router_policy::connection_reuse::CONNECT_TIMEOUT;
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::successor::{
    LIVENESS_QUERY_PERIOD, MAX_LIVENESS_QUERIES, is_liveness_query_due,
};
use cloverpier_router_policy::suspicion::CHECK_TIMEOUT;
use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Instant;

/// The upstreams with a query in flight.
type InFlight = Rc<RefCell<HashSet<UpstreamName>>>;

/// Queries the upstreams that are due while the store is unreachable. Runs until the process ends.
pub(crate) async fn send_liveness_queries(router: Rc<Router>) {
    let in_flight = InFlight::default();
    loop {
        router.timers.sleep(LIVENESS_QUERY_PERIOD).await;
        if !router.store.has_lost_contact() {
            continue;
        }
        for upstream in due(&router, &in_flight, router.now()) {
            in_flight.borrow_mut().insert(upstream.name.clone());
            let (router, in_flight) = (Rc::clone(&router), Rc::clone(&in_flight));
            tokio::task::spawn_local(async move {
                query(&router, &upstream).await;
                in_flight.borrow_mut().remove(&upstream.name);
            });
        }
    }
}

/// The upstreams that this router has to query, those with the oldest evidence first.
fn due(router: &Router, in_flight: &InFlight, now: Instant) -> Vec<Upstream> {
    let address_reuse = router.settings().address_reuse;
    let in_flight = in_flight.borrow();
    let is_due = |upstream: &Upstream| {
        let proven_alive_at = router.health.proven_alive_at(upstream);
        is_liveness_query_due(proven_alive_at, address_reuse, now)
            && !in_flight.contains(&upstream.name)
            && router.upstream_limits.is_own_limiter(upstream)
            && router.is_usable(upstream)
    };
    let mut due = router.upstreams.borrow().listed();
    due.retain(is_due);
    due.sort_by_cached_key(|upstream| {
        let proven_alive_at = router.health.proven_alive_at(upstream);
        (proven_alive_at, upstream.name.clone())
    });
    due.truncate(MAX_LIVENESS_QUERIES);
    due
}

/// Queries an upstream at the health path, where its responses contain its name.
async fn query(router: &Rc<Router>, upstream: &Upstream) {
    let configuration = router.store.configuration();
    let service = configuration.and_then(|c| c.service(&upstream.service).cloned());
    // Without the service's configuration there is no health path.
    let Some(service) = service else { return };
    if !probe::acquire_probe_permit(router, upstream).await {
        return;
    }
    let sent = router.now();
    let responding = get(router, upstream, &service.health_path);
    match router.timers.timeout(CHECK_TIMEOUT, responding).await {
        Ok(Ok(response)) => on_response(router, upstream, response, sent),
        Ok(Err(error)) if error.is_refused() => {
            router.metrics.probes.count("liveness-refused");
            probe::on_no_process(router, upstream);
        }
        // The upstream stays due, and is queried again.
        Ok(Err(_)) | Err(_) => router.metrics.probes.count("liveness-silent"),
    }
}

async fn get(
    router: &Rc<Router>,
    upstream: &Upstream,
    path: &str,
) -> Result<PathResponse, CallError> {
    let mut connection = open(router, upstream).await?;
    let response = get_over(&mut connection, upstream.address, path).await?;
    Ok(PathResponse {
        response,
        connection,
    })
}

/// An idle connection to the upstream, or a new one.
async fn open(router: &Rc<Router>, upstream: &Upstream) -> Result<Connection, CallError> {
    if let Some(idle) = connect::take_idle(router, upstream) {
        return Ok(idle);
    }
    let opened = connect::connect(router, upstream, CONNECT_TIMEOUT).await;
    opened.map_err(|source| CallError::Connect { source })
}

fn on_response(router: &Rc<Router>, upstream: &Upstream, response: PathResponse, sent: Instant) {
    let call = Call {
        upstream,
        via: CallKind::Check,
        sent,
        connection: &response.connection,
    };
    let applied = router.apply_query_statement(call, response.response.parts());
    let health = router.health.of(upstream, Via::Direct, router.now());
    let responder = applied.statement.name.as_ref();
    probe::on_probe_response(router, upstream, &health, responder, sent);
    if responder == Some(&upstream.name) {
        return_to_pool(router, upstream, response.connection);
    }
}
