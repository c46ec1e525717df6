//! Checks upstreams that were declared dead and are suspected since.
//!
//! A response under the upstream's name clears the suspicion; of one that was listed again after it had left, only a
//! success does, by which it says that it serves. `cloverpier_router_policy::suspicion` decides when checks
//! are sent and what a response means. Owns no state; the table of upstreams holds the suspicions.

use crate::call_kind::CallKind;
use crate::crashes::record;
use crate::decision_log::{ms, ms_since};
use crate::health;
use crate::http_client::CallError;
use crate::probe::{acquire_probe_permit, on_suspect_gone};
use crate::reachability;
use crate::reachability::query::{PathResponse, get_direct, get_in_trial, get_through_peer};
use crate::reachability::trial::is_second_trial_due;
use crate::router::Router;
use crate::statements::Call;
use crate::successors;
use crate::upstream_log::log_upstream_change;
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::reachability::UpstreamPath;
use cloverpier_router_policy::suspicion::{
    CHECK_PERIOD, CHECK_TIMEOUT, CheckResult, RECENT_SUSPICION, check_result,
};
use cloverpier_router_policy::tunnel_peers::FALLBACK_DELAY;
use cloverpier_timers::Elapsed;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::Instant;

/// Checks the suspected upstreams whose checks are due. Runs until the process ends.
pub(crate) async fn check_suspects(router: Rc<Router>) {
    loop {
        if router.upstreams.borrow().may_have_suspects() {
            router.timers.sleep(CHECK_PERIOD).await;
        } else {
            router.suspicion_added.notified().await;
        }
        let now = router.now();
        let due = router.upstreams.borrow_mut().start_due_checks(now);
        for upstream in due {
            tokio::task::spawn_local(check(Rc::clone(&router), upstream));
        }
    }
}

/// Sends one check to a suspected upstream, and handles the response.
async fn check(router: Rc<Router>, upstream: Upstream) {
    let configuration = router.store.configuration();
    let service = configuration.and_then(|c| c.service(&upstream.service).cloned());
    // Without the service's configuration there is no health path to check.
    let Some(service) = service else { return };
    // Without a permit the upstream stays suspected; its next check is scheduled already.
    if !acquire_probe_permit(&router, &upstream).await {
        return;
    }
    let sent_at = router.now();
    let checked = match get_for_check(&router, &upstream, &service.health_path).await {
        Ok(checked) => checked,
        // The upstream stays suspected; its next check is scheduled already.
        Err(error) => {
            router.metrics.probes.count("suspect-silent");
            if error.is_refused() {
                on_suspect_gone(&router, &upstream, router.now());
            }
            return;
        }
    };
    let call = Call {
        upstream: &upstream,
        via: CallKind::Check,
        sent: sent_at,
        connection: &checked.connection,
    };
    let said = router
        .apply_query_statement(call, checked.response.parts())
        .statement;
    match check_result(&upstream.name, said.name.as_ref()) {
        CheckResult::Replaced => {
            router.metrics.probes.count("suspect-replaced");
            on_suspect_gone(&router, &upstream, router.now());
            successors::on_name_mismatch(&router, &upstream, said.name.as_ref());
        }
        CheckResult::Alive => {
            if checked.response.status.is_success() {
                router.upstreams.borrow_mut().on_serving(&upstream.name);
            }
            let via = checked.connection.via;
            let health = router.health.of(&upstream, via, router.now());
            health::on_heard(&router, &upstream.name, &health, router.now());
            clear_suspicion(&router, &upstream, sent_at);
        }
    }
}

/// Sends the request of a check over the path that new connections to the upstream take, and through a peer as well
/// if nothing arrives and the path may be what has failed.
async fn get_for_check(
    router: &Rc<Router>,
    upstream: &Upstream,
    path: &str,
) -> Result<PathResponse, CallError> {
    let usual_path = router.reachability.borrow().path(upstream);
    if usual_path == UpstreamPath::ThroughPeer {
        return limited(router, get_through_peer(router, upstream, path, None)).await;
    }
    let sent_at = router.now();
    let mut direct = pin!(limited(router, get_direct(router, upstream, path)));
    let soon = router.timers.timeout(FALLBACK_DELAY, direct.as_mut()).await;
    let has_responded = matches!(soon, Ok(Ok(_)));
    if !has_responded && may_be_path(router, upstream, sent_at) {
        let through_peer = limited(router, get_in_trial(router, upstream, path)).await;
        if let Ok(checked) = through_peer {
            reachability::on_path_lost(router, upstream, checked.connection.via, sent_at);
            return Ok(checked);
        }
    }
    match soon {
        Ok(result) => result,
        Err(Elapsed) => direct.await,
    }
}

/// Ends a call after [`CHECK_TIMEOUT`].
async fn limited<T>(
    router: &Router,
    call: impl Future<Output = Result<T, CallError>>,
) -> Result<T, CallError> {
    let result = router.timers.timeout(CHECK_TIMEOUT, call).await;
    // The only error that is not one of the call itself is that of the timeout.
    result.unwrap_or(Err(CallError::TimedOut))
}

/// Whether this router's path, and not the upstream, may be what has failed: the upstream is suspected since shortly,
/// or nothing arrives from others of its service either, or too few peers were asked yet.
fn may_be_path(router: &Router, upstream: &Upstream, now: Instant) -> bool {
    let table = router.upstreams.borrow();
    let suspected_for = table
        .get(&upstream.name)
        .and_then(|state| state.suspected_for(now));
    let is_recent = suspected_for.is_some_and(|time| time < RECENT_SUSPICION);
    let service = &upstream.service;
    is_recent
        || router.reachability.borrow().is_unreachable(service)
        || is_second_trial_due(router, service)
}

/// Clears the suspicion of an upstream that responded to a check.
fn clear_suspicion(router: &Router, upstream: &Upstream, check_sent_at: Instant) {
    router.metrics.probes.count("suspect-alive");
    record::on_probe_response(router, upstream, check_sent_at);
    let now = router.now();
    let suspected_for = router.upstreams.borrow_mut().on_alive(&upstream.name, now);
    if let Some(suspected_for) = suspected_for {
        let took = ms_since(check_sent_at, now);
        let reason = format!("responded to a check in {took} ms");
        log_upstream_change(
            &router.log,
            "server.trusted",
            upstream,
            &reason,
            ms(suspected_for),
        );
    }
}
