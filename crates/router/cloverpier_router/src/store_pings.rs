//! Pings the platform's store while the watches wait for changes.
//!
//! `cloverpier_router_policy::store_ping` decides when. Owns no state: `store_view` and `store_events` record the results.

use crate::decision_log::log_named_event;
use crate::router::Router;
use crate::source::{ConfigurationSource, SourceError};
use crate::store_events::{live_routers, on_ping_result, on_store_call_succeeded};
use crate::store_sync::is_seed;
use crate::store_view::{StoreLoop, WatchedData};
use cloverpier_router_policy::store_ping::{PING_SUSPICION_TIMEOUT, PING_TIMEOUT, PingPacing};
use std::pin::pin;
use std::rc::Rc;

/// Pings the store until the process ends, while this router watches the store or is about to.
pub(crate) async fn ping_store(router: Rc<Router>, source: Rc<impl ConfigurationSource>) {
    let mut pacing = PingPacing::default();
    let mut is_unresponsive = false;
    loop {
        // Until a router serves, its first reads show whether the store responds.
        while !router.store.is_serving() && !is_seed(&router) {
            router.store.loops_woken().await;
        }
        let role = router.store.role();
        let random = || router.rng.borrow_mut().f64();
        let Some(pause) = pacing.pause(role, live_routers(&router), random) else {
            router.store.loops_woken().await;
            continue;
        };
        tokio::select! {
            () = router.timers.sleep(pause) => {}
            () = router.store.loops_woken() => {}
        }
        if router.store.role() != role {
            continue;
        }
        let result = ping(&router, &*source).await;
        pacing.on_result(result.is_ok(), role, live_routers(&router));
        match result {
            Ok(()) => on_ping_succeeded(&router, &mut is_unresponsive),
            Err(error) => on_ping_failed(&router, &error, &mut is_unresponsive),
        }
    }
}

/// Pings the store once. Without a response within 150 ms, peers are notified that pings fail, before the
/// ping's timeout of 500 ms.
async fn ping(router: &Router, source: &impl ConfigurationSource) -> Result<(), SourceError> {
    let mut ping = pin!(source.ping(PING_TIMEOUT));
    if let Ok(result) = router
        .timers
        .timeout(PING_SUSPICION_TIMEOUT, &mut ping)
        .await
    {
        return result;
    }
    on_ping_result(router, false);
    ping.await
}

fn on_ping_failed(router: &Router, error: &SourceError, is_unresponsive: &mut bool) {
    router.metrics.store_calls.count("ping-failed");
    on_ping_result(router, false);
    if !std::mem::replace(is_unresponsive, true) {
        log_named_event(&router.log, "store.silent", "ping", &error.to_string());
    }
}

fn on_ping_succeeded(router: &Router, is_unresponsive: &mut bool) {
    router.metrics.store_calls.count("ping-answered");
    if std::mem::take(is_unresponsive) {
        // A store that did not respond may also have dropped the pending watches.
        router.store.restart_watches();
    }
    let was_fresh = router.store.is_fresh(router.now());
    router.store.on_success(router.now());
    on_ping_result(router, true);
    on_store_call_succeeded(router, StoreLoop::Data(WatchedData::Configuration));
    on_store_call_succeeded(router, StoreLoop::Data(WatchedData::Upstreams));
    on_store_call_succeeded(router, StoreLoop::Rollouts);
    if !was_fresh {
        router.store.wake_loops();
    }
}
