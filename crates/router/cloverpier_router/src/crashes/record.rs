//! Records what this router sees of upstreams at which requests are lost, and of their ends.
//!
//! What follows is decided in `cloverpier_crashes` and carried out by [`super::judgement`], which each
//! change wakes. Owns no state: [`super::state`] does.

use crate::relay_request::RelayRequest;
use crate::router::Router;
use cloverpier_crashes::prelude::*;
use cloverpier_crashes::registry::UNKNOWN_START_TIME;
use cloverpier_router_policy::prelude::*;
use std::time::{Duration, Instant};

/// Records an attempt that was lost at an upstream, to be judged once it is known whether the upstream
/// ended. One at an upstream that was about to leave says nothing: it ends by itself. An entry that
/// vanished while the attempt was under way is no departure: those of upstreams that end vanish, too.
pub(crate) fn on_lost(
    router: &Router,
    request: &RelayRequest,
    upstream: &Upstream,
    loss: LossCause,
    ran_for: Duration,
) {
    let now = router.now();
    let table = router.upstreams.borrow();
    let state = table.get(&upstream.name);
    // A moment before this machine's clock began is as good as its beginning.
    let begun = now.checked_sub(ran_for).unwrap_or(now);
    let was_leaving = state.is_some_and(|s| s.is_leaving() || s.was_delisted_at(begun));
    drop(table);
    if was_leaving {
        return;
    }
    let attempt = LostAttempt {
        content: request.content_key(),
        loss,
        has_completed: false,
        crash_id: end_of(upstream),
        upstream: ended_upstream(upstream, now),
        ran_for,
    };
    let content = request.request_content();
    router
        .crashes
        .change(|cases| cases.on_lost(&content, attempt));
}

/// Records that an upstream's host has no process at its address any more.
pub(crate) fn on_end(router: &Router, upstream: &Upstream, now: Instant) {
    let ended = ended_upstream(upstream, now);
    router.crashes.change(|cases| cases.on_process_gone(ended));
}

/// Records that an upstream is dead as far as a peer knows, or by its silence since a moment.
pub(crate) fn on_death(router: &Router, upstream: &Upstream, silent_since: Instant, now: Instant) {
    let died = ended_upstream(upstream, now);
    let change = |cases: &mut CrashTracker| cases.on_suspected_failure(died, silent_since);
    router.crashes.change(change);
}

/// Records that an upstream has ended some time ago, as another start answers in its place.
pub(crate) fn on_former_start(router: &Router, upstream: &Upstream) {
    let former = ended_upstream(upstream, router.now());
    router
        .crashes
        .change(|cases| cases.on_process_replaced(former));
}

/// Records that an upstream lives, which has answered a question that it was asked at a moment.
pub(crate) fn on_alive(router: &Router, upstream: &Upstream, asked: Instant) {
    let sign = UpstreamResponse {
        upstream: UpstreamKey::of(&upstream.name).0,
        sent_at: asked,
        received_at: router.now(),
    };
    router.crashes.change(|cases| cases.on_response(sign));
}

/// Records that an upstream has answered a request that was sent at a moment.
pub(crate) fn on_answer(router: &Router, upstream: &Upstream, sent: Instant) {
    let key = UpstreamKey::of(&upstream.name);
    if router.crashes.cases.borrow().has_unresolved_at(key.0) {
        on_alive(router, upstream, sent);
    }
}

fn end_of(upstream: &Upstream) -> CrashId {
    CrashId {
        upstream: UpstreamKey::of(&upstream.name).0,
        // Where an upstream does not say when it started, each start has a name of its own.
        time_ms: upstream.start_time_ms().unwrap_or(UNKNOWN_START_TIME),
    }
}

fn ended_upstream(upstream: &Upstream, at: Instant) -> UpstreamEvent {
    UpstreamEvent {
        upstream: UpstreamKey::of(&upstream.name).0,
        service: upstream.service.clone(),
        data_centre: upstream.data_centre.clone(),
        at,
    }
}
