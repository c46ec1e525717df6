//! Asks upstreams for new proofs that they run, while the platform's store is away.
//!
//! An upstream that ends then and comes back under another name can't be listed. Its successor is told by a call that the
//! upstream has answered shortly before its end, and streams can run for long without another call. One router asks each
//! upstream: its limiter, which the permits use, too. `cloverpier_router_policy::successor` decides which upstreams are
//! asked. Owns the names of those whose answer is awaited.

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
    MAX_PROOF_RENEWALS, PROOF_RENEWAL_PERIOD, is_proof_renewal_due,
};
use cloverpier_router_policy::suspicion::CHECK_TIMEOUT;
use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Instant;

/// The upstreams whose answer is awaited.
type Awaited = Rc<RefCell<HashSet<UpstreamName>>>;

/// Asks the upstreams whose proofs are too old, until the process ends.
pub(crate) async fn renew_proofs(router: Rc<Router>) {
    let awaited = Awaited::default();
    loop {
        router.timers.sleep(PROOF_RENEWAL_PERIOD).await;
        if !router.store.has_lost_contact() {
            continue;
        }
        for upstream in due(&router, &awaited, router.now()) {
            awaited.borrow_mut().insert(upstream.name.clone());
            let (router, awaited) = (Rc::clone(&router), Rc::clone(&awaited));
            tokio::task::spawn_local(async move {
                ask(&router, &upstream).await;
                awaited.borrow_mut().remove(&upstream.name);
            });
        }
    }
}

/// The upstreams that this router asks now, those with the oldest proofs first.
fn due(router: &Router, awaited: &Awaited, now: Instant) -> Vec<Upstream> {
    let address_reuse = router.settings().address_reuse;
    let awaited = awaited.borrow();
    let is_due = |upstream: &Upstream| {
        let proven_alive_at = router.health.proven_alive_at(upstream);
        is_proof_renewal_due(proven_alive_at, address_reuse, now)
            && !awaited.contains(&upstream.name)
            && router.upstream_limits.is_own_limiter(upstream)
            && router.is_usable(upstream)
    };
    let mut due = router.upstreams.borrow().listed();
    due.retain(is_due);
    due.sort_by_cached_key(|upstream| {
        let proven_alive_at = router.health.proven_alive_at(upstream);
        (proven_alive_at, upstream.name.clone())
    });
    due.truncate(MAX_PROOF_RENEWALS);
    due
}

/// Asks an upstream at the health path of its service, at which upstreams name themselves.
async fn ask(router: &Rc<Router>, upstream: &Upstream) {
    let configuration = router.store.configuration();
    let service = configuration.and_then(|c| c.service(&upstream.service).cloned());
    // Without the service's configuration there is no health path to ask at.
    let Some(service) = service else { return };
    if !probe::acquire_probe_permit(router, upstream).await {
        return;
    }
    let sent = router.now();
    let asking = get(router, upstream, &service.health_path);
    match router.timers.timeout(CHECK_TIMEOUT, asking).await {
        Ok(Ok(answered)) => on_answer(router, upstream, answered, sent),
        Ok(Err(error)) if error.is_refused() => {
            router.metrics.probes.count("proof-refused");
            probe::on_no_process(router, upstream);
        }
        // Silence proves nothing; the upstream is asked again.
        Ok(Err(_)) | Err(_) => router.metrics.probes.count("proof-silent"),
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

fn on_answer(router: &Rc<Router>, upstream: &Upstream, answered: PathResponse, sent: Instant) {
    let call = Call {
        upstream,
        via: CallKind::Check,
        sent,
        connection: &answered.connection,
    };
    let applied = router.apply_query_statement(call, answered.response.parts());
    let health = router.health.of(upstream, Via::Direct, router.now());
    let responder = applied.statement.name.as_ref();
    probe::on_probe_response(router, upstream, &health, responder, sent);
    if responder == Some(&upstream.name) {
        return_to_pool(router, upstream, answered.connection);
    }
}
