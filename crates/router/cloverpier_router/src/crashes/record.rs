//! Reports the events that this router observes to the crash tracker: lost attempts, and crashes, suspected failures
//! and responses of upstreams.
//!
//! `cloverpier_crashes` decides which upstreams have crashed; each event wakes [`super::resolution`], which carries
//! out the result. Owns no state: [`super::state`] does.

use super::in_flight::register_copies;
use crate::relay_request::RelayRequest;
use crate::router::Router;
use cloverpier_crashes::prelude::*;
use cloverpier_crashes::registry::UNKNOWN_START_TIME;
use cloverpier_router_policy::prelude::*;
use std::time::{Duration, Instant};

/// Records an attempt that was lost at an upstream after `ran_for`. The attempt stays unresolved until it is known
/// whether the upstream crashed.
///
/// Attempts at an upstream that was leaving, or whose entry was removed before the attempt started, are ignored: such
/// an upstream shuts down by itself. An entry that was removed during the attempt is no sign of a planned shutdown, as
/// the entries of crashed upstreams are removed, too. So are attempts at a brittle upstream that was full shortly before:
/// it crashes for lack of room.
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
    // `Instant` may not reach that far back, as shortly after a boot of the machine; the present time is used then.
    let started_at = now.checked_sub(ran_for).unwrap_or(now);
    let was_leaving = state.is_some_and(|s| s.is_leaving() || s.was_delisted_at(started_at));
    let is_explained = state.is_some_and(|s| s.brittleness.explains_crash(now));
    drop(table);
    if was_leaving || is_explained {
        return;
    }
    let attempt = LostAttempt {
        content: request.content_key(),
        loss,
        has_completed: false,
        crash_id: crash_id_of(upstream),
        upstream: upstream_event(upstream, now),
        ran_for,
    };
    let content = request.request_content();
    register_copies(router, request);
    router
        .crashes
        .update(|tracker| tracker.on_lost(&content, attempt));
}

/// Records that an upstream's host refused a connection, or that another process responds at the address: the
/// upstream's process does not exist any more.
pub(crate) fn on_process_gone(router: &Router, upstream: &Upstream, now: Instant) {
    let crashed = upstream_event(upstream, now);
    router
        .crashes
        .update(|tracker| tracker.on_process_gone(crashed));
}

/// Records an upstream that is suspected to have failed: it is unreachable and has shown no activity since
/// `silent_since`, or a peer suspects it, and `silent_since` equals `now`.
pub(crate) fn on_suspicion(
    router: &Router,
    upstream: &Upstream,
    silent_since: Instant,
    now: Instant,
) {
    let suspect = upstream_event(upstream, now);
    let update = |tracker: &mut CrashTracker| tracker.on_suspected_failure(suspect, silent_since);
    router.crashes.update(update);
}

/// Records that a newer process responds in place of an upstream's process, which has crashed at an unknown time.
pub(crate) fn on_process_replaced(router: &Router, upstream: &Upstream) {
    let former = upstream_event(upstream, router.now());
    router
        .crashes
        .update(|tracker| tracker.on_process_replaced(former));
}

/// Records a response of an upstream to a probe that was sent at `sent_at`.
pub(crate) fn on_probe_response(router: &Router, upstream: &Upstream, sent_at: Instant) {
    let response = UpstreamResponse {
        upstream: UpstreamKey::of(&upstream.name).0,
        sent_at,
        received_at: router.now(),
    };
    router
        .crashes
        .update(|tracker| tracker.on_response(response));
}

/// Records a response of an upstream to a request that was sent at `sent_at`. Has no effect unless an attempt at the
/// upstream is unresolved.
pub(crate) fn on_request_response(router: &Router, upstream: &Upstream, sent_at: Instant) {
    let key = UpstreamKey::of(&upstream.name);
    if router.crashes.tracker.borrow().has_unresolved_at(key.0) {
        on_probe_response(router, upstream, sent_at);
    }
}

fn crash_id_of(upstream: &Upstream) -> CrashId {
    CrashId {
        upstream: UpstreamKey::of(&upstream.name).0,
        // An upstream that does not report its start time has another name after each start.
        time_ms: upstream.start_time_ms().unwrap_or(UNKNOWN_START_TIME),
    }
}

fn upstream_event(upstream: &Upstream, at: Instant) -> UpstreamEvent {
    UpstreamEvent {
        upstream: UpstreamKey::of(&upstream.name).0,
        service: upstream.service.clone(),
        data_centre: upstream.data_centre.clone(),
        at,
    }
}
