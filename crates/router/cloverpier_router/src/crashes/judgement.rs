//! Judges lost attempts once it is known what became of their upstreams, and finds that out.
//!
//! What counts as known and how much an end says is decided in `cloverpier_crashes`; [`crate::probe`] asks
//! upstreams, [`super::reports`] informs peers. Owns no state: [`super::state`] does.

use super::neighbours::{neighbours, upstream_name};
use super::reports;
use super::verdicts::apply_verdicts;
use crate::decision_log::{CrashDiscarded, CrashRecorded, ms_since};
use crate::probe::probe;
use crate::relay_request::RelayRequest;
use crate::router::Router;
use cloverpier_crashes::prelude::*;
use cloverpier_router_policy::crash_reports::is_reported;
use cloverpier_router_policy::prelude::*;
use std::rc::Rc;
use std::time::Instant;

/// Judges attempts that broke off, until the process ends.
pub(crate) async fn judge_lost(router: Rc<Router>) {
    loop {
        let next_due = router.crashes.cases.borrow().next_due(router.now());
        let changed = router.crashes.changed.notified();
        match next_due {
            Some(at) => tokio::select! {
                () = changed => {}
                () = router.timers.sleep_until(at) => {}
            },
            None => changed.await,
        }
        let now = router.now();
        clear_up(&router, now);
        judge_due(&router, now);
        log_dismissed(&router, now);
    }
}

/// Probes the upstreams that are unclear.
fn clear_up(router: &Rc<Router>, now: Instant) {
    let unclear = router.crashes.cases.borrow_mut().upstreams_to_probe(now);
    for broken in unclear {
        let table = router.upstreams.borrow();
        let state = table.by_key(UpstreamKey(broken.upstream));
        // Of one that is forgotten by now nothing can be learned.
        let Some(upstream) = state.map(|s| s.upstream.clone()) else {
            continue;
        };
        drop(table);
        let health = router.health.of(&upstream, now);
        probe(router, &upstream, &health, now);
    }
}

fn judge_due(router: &Router, now: Instant) {
    let mut cases = router.crashes.cases.borrow_mut();
    let judged = cases.record_confirmed(now, |end| neighbours(router, end));
    drop(cases);
    if judged.is_empty() {
        return;
    }
    for judged in &judged {
        log_crash(router, judged, now);
    }
    let told = judged
        .iter()
        .filter(|j| is_reported(&j.context, j.crash_count));
    let told: Vec<ContentKey> = told.map(|judged| judged.attempt.content).collect();
    reports::send_to_all(router, &told, now);
    apply_verdicts(router, "this router", now);
    router.crashes.changed.notify_waiters();
}

/// Records that an upstream ran a request to its end.
pub(crate) fn on_completed(router: &Router, request: &RelayRequest) {
    let now = router.now();
    let mut cases = router.crashes.cases.borrow_mut();
    let acquitted = cases.on_completed(&request.request_content(), now);
    drop(cases);
    if let Some(content) = acquitted {
        reports::send_to_all(router, &[content], now);
        apply_verdicts(router, "it ran to its end", now);
    }
}

fn log_crash(router: &Router, judged: &ConfirmedCrash, now: Instant) {
    let attempt = &judged.attempt;
    let ended_beside = match &judged.context.concurrent_failures {
        ConcurrentFailures::Few(ended) => Some(ended.len()),
        ConcurrentFailures::Many => None,
    };
    let line = CrashRecorded {
        content: attempt.content.to_string(),
        upstream: upstream_name(router, attempt.crash_id.upstream),
        start_time_ms: attempt.crash_id.time_ms,
        concurrent_failures: ended_beside,
        has_completed: attempt.has_completed,
        crash_count: judged.crash_count,
        evidence: judged.evidence,
        age_ms: ms_since(attempt.upstream.at, now),
    };
    router.metrics.crashes.count("seen");
    router.log.info("crash.recorded", &line);
}

fn log_dismissed(router: &Router, now: Instant) {
    let dismissed = router.crashes.cases.borrow_mut().take_discarded();
    if !dismissed.is_empty() {
        // Requests may wait for what is now known not to count.
        router.crashes.changed.notify_waiters();
    }
    for DiscardedAttempt { attempt, reason } in dismissed {
        let line = CrashDiscarded {
            content: attempt.content.to_string(),
            upstream: upstream_name(router, attempt.crash_id.upstream),
            start_time_ms: attempt.crash_id.time_ms,
            reason,
            age_ms: ms_since(attempt.upstream.at, now),
        };
        router.metrics.crashes.count(dismissal_name(reason));
        router.log.info("crash.dismissed", &line);
    }
}

/// The name of a dismissal, for metrics.
fn dismissal_name(reason: DiscardReason) -> &'static str {
    match reason {
        DiscardReason::Survived => "dismissed-answered",
        DiscardReason::Unconfirmed => "dismissed-unclear",
        DiscardReason::TableFull => "dismissed-no-room",
    }
}
