//! Checks whether the upstreams behind lost paths can be reached over direct connections again.
//!
//! `cloverpier_router_policy::reachability` decides when which upstream is checked. A connection that works goes into
//! the pool, so that a check costs no connection of its own once the path is back. Owns no state.

use super::query::get_direct;
use crate::call_kind::CallKind;
use crate::probe::acquire_probe_permit;
use crate::router::Router;
use crate::send::return_to_pool;
use crate::statements::Call;
use cloverpier_router_policy::connection_reuse::CONNECT_TIMEOUT;
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::reachability::PATH_CHECK_PERIOD;
use std::rc::Rc;

/// Checks lost paths until the process ends.
pub(crate) async fn check_lost_paths(router: Rc<Router>) {
    loop {
        if router.reachability.borrow().lost_paths() > 0 {
            router.timers.sleep(PATH_CHECK_PERIOD).await;
        } else {
            router.path_lost.notified().await;
        }
        let now = router.now();
        let due = router.reachability.borrow_mut().start_due_checks(now);
        for upstream in due {
            tokio::task::spawn_local(check(Rc::clone(&router), upstream));
        }
    }
}

/// Sends one check. A response restores the path; without one, the next check is scheduled already.
async fn check(router: Rc<Router>, upstream: Upstream) {
    if !acquire_probe_permit(&router, &upstream).await {
        return;
    }
    let sent = router.now();
    let path = router.wire_names.paths.engine_report;
    let responding = get_direct(&router, &upstream, path);
    let result = router.timers.timeout(CONNECT_TIMEOUT, responding).await;
    let Ok(Ok(checked)) = result else {
        router.metrics.probes.count("path-silent");
        return;
    };
    router.metrics.probes.count("path-restored");
    let call = Call {
        upstream: &upstream,
        via: CallKind::Check,
        sent,
        connection: &checked.connection,
    };
    router.apply_query_statement(call, checked.response.parts());
    return_to_pool(&router, &upstream, checked.connection);
}
