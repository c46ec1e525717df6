//! What follows when an upstream has started again under the name that it had.
//!
//! It holds nothing of before, so what this router keeps under its name is given up: connections,
//! runs, its limit, and which prompts it has read. The table of upstreams drops what it observed by itself
//! (`cloverpier_router_policy::upstream`). Owns no state.

use crate::crashes::record;
use crate::router::Router;
use crate::upstream_log::log_upstream_change;
use cloverpier_core::UpstreamName;
use cloverpier_router_policy::prelude::*;
use std::time::Instant;

/// Gives up what is kept of the former starts of upstreams.
pub(crate) fn on_restarted(router: &Router, restarted: &[Upstream], now: Instant) {
    for upstream in restarted {
        give_up_former_start(router, upstream, now);
    }
}

/// Records the start that an upstream named in an answer; one before the newest makes the answer
/// worthless.
pub(crate) fn on_named_start(
    router: &Router,
    upstream: &Upstream,
    born_ms: Option<u64>,
    now: Instant,
) -> StartOrder {
    let order = router
        .upstreams
        .borrow_mut()
        .on_start(&upstream.name, born_ms);
    if order == StartOrder::Newer {
        give_up_former_start(router, upstream, now);
    }
    order
}

fn give_up_former_start(router: &Router, upstream: &Upstream, now: Instant) {
    let name: &UpstreamName = &upstream.name;
    router.upstream_limits.forget(upstream);
    record::on_former_start(router, upstream);
    let health = router.health.of(upstream, now);
    // What runs since the host refused, or is kept, is at the new start already.
    if !health.is_of_next_start.replace(false) {
        router.pool.borrow_mut().close_all(name);
        health.on_dead();
        router.health.renew(upstream, now);
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
