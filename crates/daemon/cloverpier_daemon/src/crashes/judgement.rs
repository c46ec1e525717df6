//! Judges lost attempts, puts verdicts on contents in force, and exchanges with peers what is known.
//!
//! Owns nothing; what an end says and what follows is decided in `cloverpier_crashes`.

use super::record::probe_unclear;
use crate::app::App;
use cloverpier_core::{UpstreamName, lock};
use cloverpier_crashes::prelude::*;
use serde::Serialize;
use std::pin::pin;
use std::sync::Arc;

/// An upstream ended while it ran a content, as this router saw.
#[derive(Serialize)]
struct CrashRecorded<'a> {
    content: String,
    upstream: &'a UpstreamName,
    ran_well: bool,
    ends: usize,
    evidence: u32,
}

/// An attempt was lost at an upstream, and no end is counted for it.
#[derive(Serialize)]
struct CrashDismissed<'a> {
    content: String,
    upstream: &'a UpstreamName,
    reason: DiscardReason,
}

/// The verdict on a content has changed.
#[derive(Serialize)]
struct VerdictChanged<'a> {
    content: String,
    ends: usize,
    from: &'a str,
}

/// Records that an upstream ran a request to its end.
pub fn on_completed(app: &App, content: &RequestContent<'_>) {
    let acquitted = lock(&app.crashes.cases).on_completed(content, app.now());
    if acquitted.is_some() {
        app.news.notify_one();
        apply_verdicts(app, "it ran to its end");
    }
}

/// Judges attempts that broke off, until the process ends.
pub(super) async fn judge_lost(app: Arc<App>) {
    loop {
        let mut changed = pin!(app.crashes.changed.notified());
        changed.as_mut().enable();
        let next_due = lock(&app.crashes.cases).next_due(app.now());
        match next_due {
            Some(at) => {
                let wait = at.saturating_duration_since(app.now());
                // Whether it was woken or something is due, it looks again.
                let _ = app.timers.timeout(wait, changed).await;
            }
            None => changed.await,
        }
        probe_unclear(&app);
        judge_due(&app);
    }
}

fn judge_due(app: &App) {
    let now = app.now();
    let (judged, dismissed) = {
        let view = lock(&app.view);
        let mut cases = lock(&app.crashes.cases);
        let judged = cases.record_confirmed(now, |end| {
            view.neighbours(&end.service, &end.data_centre, end.upstream)
        });
        (judged, cases.take_discarded())
    };
    for dismissed in &dismissed {
        log_dismissed(app, dismissed);
    }
    if !dismissed.is_empty() {
        // Requests may wait for what is now known not to count.
        app.crashes.changed.notify_waiters();
    }
    if judged.is_empty() {
        return;
    }
    for judged in &judged {
        log_crash(app, judged);
    }
    app.news.notify_one();
    apply_verdicts(app, "this router");
    app.crashes.changed.notify_waiters();
}

/// The name of the upstream that an attempt was at.
fn upstream_name(app: &App, attempt: &LostAttempt) -> UpstreamName {
    let name = lock(&app.view).find_by_name_hash(attempt.crash_id.upstream);
    // It may have left the configuration meanwhile.
    name.unwrap_or_else(|| UpstreamName::new("forgotten"))
}

fn log_dismissed(app: &App, dismissed: &DiscardedAttempt) {
    let line = CrashDismissed {
        content: dismissed.attempt.content.to_string(),
        upstream: &upstream_name(app, &dismissed.attempt),
        reason: dismissed.reason,
    };
    app.metrics.count("crash.dismissed", 1);
    app.log.info("crash.dismissed", &line);
}

fn log_crash(app: &App, judged: &ConfirmedCrash) {
    let name = upstream_name(app, &judged.attempt);
    let line = CrashRecorded {
        content: judged.attempt.content.to_string(),
        upstream: &name,
        ran_well: judged.attempt.has_completed,
        ends: judged.crash_count,
        evidence: judged.evidence,
    };
    app.metrics.count("crash.recorded", 1);
    app.log.warn("crash.recorded", &line);
}

/// Takes what a peer knows; passes on what was not known.
pub fn merge(app: &App, reports: &[ContentReport], from: &str) {
    let changed = lock(&app.crashes.cases).registry.merge(reports, app.now());
    if changed.is_empty() {
        return;
    }
    app.news.notify_one();
    apply_verdicts(app, from);
    app.crashes.changed.notify_waiters();
}

fn apply_verdicts(app: &App, from: &str) {
    let now = app.now();
    let mut cases = lock(&app.crashes.cases);
    let changed = cases.registry.take_block_changes(now);
    let verdicts = |contents: &[ContentKey]| -> Vec<VerdictChanged<'_>> {
        let verdicts = contents.iter().map(|content| VerdictChanged {
            content: content.to_string(),
            ends: cases.registry.crash_count(*content, now),
            from,
        });
        verdicts.collect()
    };
    let (stopped, cleared) = (verdicts(&changed.blocked), verdicts(&changed.unblocked));
    drop(cases);
    for verdict in stopped {
        app.metrics.count("content.stopped", 1);
        app.log.warn("content.stopped", &verdict);
    }
    for verdict in cleared {
        app.log.info("content.cleared", &verdict);
    }
}
