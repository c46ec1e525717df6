//! Resolution of lost attempts: probes their upstreams, and records a crash or discards the attempt.
//!
//! `cloverpier_crashes` decides when a crash is proven and how much it weighs; [`crate::probe`] sends the probes,
//! [`super::reports`] informs peers, [`super::block_changes`] carries out what follows for requests. Owns no state:
//! [`super::state`] does.

use super::block_changes::apply_block_changes;
use super::neighbours::{neighbour_counts, upstream_name};
use super::reports;
use crate::connection::Via;
use crate::decision_log::{CrashDiscarded, CrashRecorded, ms_since};
use crate::probe::probe;
use crate::relay_request::RelayRequest;
use crate::router::Router;
use cloverpier_crashes::prelude::*;
use cloverpier_router_policy::crash_reports::is_reported;
use cloverpier_router_policy::prelude::*;
use std::rc::Rc;
use std::time::Instant;

/// Resolves lost attempts, until the process exits. Wakes whenever the crash tracker changes or has something due.
pub(crate) async fn resolve_lost_attempts(router: Rc<Router>) {
    loop {
        let next_due = router.crashes.tracker.borrow().next_due(router.now());
        let tracker_changed = router.crashes.tracker_changed.notified();
        match next_due {
            Some(at) => tokio::select! {
                () = tracker_changed => {}
                () = router.timers.sleep_until(at) => {}
            },
            None => tracker_changed.await,
        }
        let now = router.now();
        probe_unresolved(&router, now);
        record_confirmed(&router, now);
        log_discarded(&router, now);
    }
}

/// Probes the upstreams for which neither a crash nor survival of a lost attempt is proven.
fn probe_unresolved(router: &Rc<Router>, now: Instant) {
    let upstreams = router.crashes.tracker.borrow_mut().upstreams_to_probe(now);
    for lost_at in upstreams {
        let table = router.upstreams.borrow();
        let state = table.by_key(UpstreamKey(lost_at.upstream));
        // An upstream that is not in the table any more has no known address to probe.
        let Some(upstream) = state.map(|s| s.upstream.clone()) else {
            continue;
        };
        drop(table);
        let health = router.health.of(&upstream, Via::Direct, now);
        probe(router, &upstream, &health, now);
    }
}

fn record_confirmed(router: &Router, now: Instant) {
    let mut tracker = router.crashes.tracker.borrow_mut();
    let confirmed = tracker.record_confirmed(now, |crashed| neighbour_counts(router, crashed));
    drop(tracker);
    if confirmed.is_empty() {
        return;
    }
    for crash in &confirmed {
        log_crash(router, crash, now);
    }
    let reported = confirmed
        .iter()
        .filter(|crash| is_reported(&crash.context, crash.crash_count));
    let reported: Vec<ContentKey> = reported.map(|crash| crash.attempt.content).collect();
    reports::send_to_all(router, &reported, now);
    apply_block_changes(router, "this router", now);
    router.crashes.tracker_changed.notify_waiters();
}

/// Records that a request completed at an upstream: its content did not cause the crashes recorded so far. If crashes
/// are disregarded because of this, peers are informed.
pub(crate) fn on_completed(router: &Router, request: &RelayRequest) {
    let now = router.now();
    let mut tracker = router.crashes.tracker.borrow_mut();
    let disregarded = tracker.on_completed(&request.request_content(), now);
    drop(tracker);
    if let Some(content) = disregarded {
        reports::send_to_all(router, &[content], now);
        apply_block_changes(router, "a request with this content completed", now);
    }
}

fn log_crash(router: &Router, crash: &ConfirmedCrash, now: Instant) {
    let attempt = &crash.attempt;
    let concurrent_failures = match &crash.context.concurrent_failures {
        ConcurrentFailures::Few(failures) => Some(failures.len()),
        ConcurrentFailures::Many => None,
    };
    let line = CrashRecorded {
        content: attempt.content.to_string(),
        upstream: upstream_name(router, attempt.crash_id.upstream),
        start_time_ms: attempt.crash_id.time_ms,
        concurrent_failures,
        has_completed: attempt.has_completed,
        crash_count: crash.crash_count,
        evidence: crash.evidence,
        age_ms: ms_since(attempt.upstream.at, now),
    };
    router.metrics.crashes.count("seen");
    router.log.info("crash.recorded", &line);
}

fn log_discarded(router: &Router, now: Instant) {
    let discarded = router.crashes.tracker.borrow_mut().take_discarded();
    if !discarded.is_empty() {
        // Requests may be held because of attempts that are now discarded.
        router.crashes.tracker_changed.notify_waiters();
    }
    for DiscardedAttempt { attempt, reason } in discarded {
        let line = CrashDiscarded {
            content: attempt.content.to_string(),
            upstream: upstream_name(router, attempt.crash_id.upstream),
            start_time_ms: attempt.crash_id.time_ms,
            reason,
            age_ms: ms_since(attempt.upstream.at, now),
        };
        router.metrics.crashes.count(discard_metric(reason));
        router.log.info("crash.dismissed", &line);
    }
}

/// The `kind` label of the metric `crashes` for a discarded attempt.
fn discard_metric(reason: DiscardReason) -> &'static str {
    match reason {
        DiscardReason::Survived => "dismissed-answered",
        DiscardReason::Unconfirmed => "dismissed-unclear",
        DiscardReason::TableFull => "dismissed-no-room",
    }
}
