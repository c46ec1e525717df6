//! The paths that a probe of a silent upstream takes: that of the attempts which wait, and another one.
//!
//! A response over another path shows that only the path of the waiting attempts is lost. [`crate::probe`] decides when
//! probes are sent and handles their results. Owns no state.

use super::end_silent_path;
use super::query::{PathResponse, connect_via, get_otherwise};
use crate::call_kind::CallKind;
use crate::connection::{Connection, Via};
use crate::crashes::record;
use crate::health::{self, UpstreamHealth};
use crate::http_client::{CallError, get_over};
use crate::pace_reports::probe_path;
use crate::router::Router;
use crate::send::return_to_pool;
use crate::statements::Call;
use cloverpier_router_policy::connection_reuse::CONNECT_TIMEOUT;
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::suspicion::{CheckResult, PROBE_CONNECT_TIMEOUT, check_result};
use cloverpier_router_policy::tunnel_peers::FALLBACK_DELAY;
use std::rc::Rc;
use std::time::Instant;

/// Sends the request of a probe over the path of `health`, on a connection that no caller's request uses.
pub(crate) async fn get_for_probe(
    router: &Rc<Router>,
    upstream: &Upstream,
    health: &UpstreamHealth,
) -> Result<PathResponse, CallError> {
    let mut connection = match take_probe_connection(health).await {
        Some(connection) => connection,
        None => {
            let opened = connect_via(router, upstream, health.via, PROBE_CONNECT_TIMEOUT).await;
            opened.map_err(|source| CallError::Connect { source })?
        }
    };
    let path = probe_path(router, upstream);
    let response = get_over(&mut connection, upstream.address, &path).await?;
    Ok(PathResponse {
        response,
        connection,
    })
}

/// The connection of the last probe over the path of `health`, if it can carry another one.
async fn take_probe_connection(health: &UpstreamHealth) -> Option<Connection> {
    let mut connection = health.probe_connection.borrow_mut().take()?;
    connection.wait_until_ready().await.then_some(connection)
}

/// Waits until a probe has remained without a response for a while, and then probes the upstream over another path. A
/// response there is recorded: it shows that only the path of `health` is lost, if the probe over it ends without a
/// response.
pub(crate) async fn probe_otherwise(
    router: &Rc<Router>,
    upstream: &Upstream,
    health: &UpstreamHealth,
) {
    router.timers.sleep(FALLBACK_DELAY).await;
    let reached = reach_otherwise(router, upstream, health.via).await;
    if let Some(via) = reached {
        let now = router.now();
        health.reached_otherwise.set(Some((now, via)));
    }
}

/// The path over which the upstream itself responds, if there is one other than `silent`.
async fn reach_otherwise(router: &Rc<Router>, upstream: &Upstream, silent: Via) -> Option<Via> {
    let path = probe_path(router, upstream);
    let sent = router.now();
    let responding = get_otherwise(router, upstream, &path, silent);
    let result = router.timers.timeout(CONNECT_TIMEOUT, responding).await;
    let Ok(Ok(reached)) = result else {
        router.metrics.probes.count("other-path-silent");
        return None;
    };
    router.metrics.probes.count("other-path-alive");
    let call = Call {
        upstream,
        via: CallKind::Probe,
        sent,
        connection: &reached.connection,
    };
    let said = router
        .apply_query_statement(call, reached.response.parts())
        .statement;
    let via = reached.connection.via;
    return_to_pool(router, upstream, reached.connection);
    if check_result(&upstream.name, said.name.as_ref()) != CheckResult::Alive {
        return None;
    }
    record::on_probe_response(router, upstream, sent);
    let now = router.now();
    let health = router.health.of(upstream, via, now);
    health::on_heard(router, &upstream.name, &health, now);
    Some(via)
}

/// Ends the path of `health` if the upstream responds over another one. `tried_at` is when the call over the path was
/// sent that failed. Returns whether the path was ended.
pub(crate) async fn end_path_if_reached_otherwise(
    router: &Rc<Router>,
    upstream: &Upstream,
    health: &UpstreamHealth,
    tried_at: Instant,
) -> bool {
    let reached = reach_otherwise(router, upstream, health.via).await;
    if let Some(reached) = reached {
        end_silent_path(router, upstream, health.via, reached, tried_at);
    }
    reached.is_some()
}
