//! Handles upstreams that have restarted under the same name.
//!
//! The new process has none of the old one's state, so this router discards what it has recorded about the previous
//! incarnation: connections, attempts in flight, the request limit, and the prompts that were read. The table of
//! upstreams resets its own observations (`cloverpier_router_policy::upstream`). Owns no state.

use crate::connection::Via;
use crate::crashes::record;
use crate::health::LossSign;
use crate::router::Router;
use crate::upstream_log::log_upstream_change;
use cloverpier_core::UpstreamName;
use cloverpier_router_policy::prelude::*;
use std::time::Instant;

/// Discards what is recorded about the previous incarnations of upstreams that an update of the list shows as
/// restarted.
pub(crate) fn on_restarted(router: &Router, restarted: &[Upstream], now: Instant) {
    for upstream in restarted {
        discard_previous_incarnation(router, upstream, now);
    }
}

/// Records the start time that an upstream reported in a response, and compares it with the newest known one.
/// [`StartOrder::Older`] means that the response is from an earlier incarnation, and what it states is outdated.
/// `start_time_ms` is `None` if the response has no start time.
pub(crate) fn on_reported_start(
    router: &Router,
    upstream: &Upstream,
    start_time_ms: Option<u64>,
    now: Instant,
) -> StartOrder {
    let order = router
        .upstreams
        .borrow_mut()
        .on_start(&upstream.name, start_time_ms);
    if order == StartOrder::Newer {
        discard_previous_incarnation(router, upstream, now);
    }
    order
}

fn discard_previous_incarnation(router: &Router, upstream: &Upstream, now: Instant) {
    let name: &UpstreamName = &upstream.name;
    router.upstream_limits.remove(upstream);
    record::on_process_replaced(router, upstream);
    let health = router.health.of(upstream, Via::Direct, now);
    // After a refused connection, the attempts and connections since then belong to the new incarnation already.
    if !health.is_for_next_incarnation.replace(false) {
        router.pool.borrow_mut().close_all(name);
        router.health.end_all(upstream, LossSign::Restarted, now);
    }
    let mut locations = router.prompts.locations.borrow_mut();
    locations.remove_upstream(UpstreamKey::of(name));
    drop(locations);
    log_upstream_change(
        &router.log,
        "server.restarted",
        upstream,
        "it has another start",
        0,
    );
}
