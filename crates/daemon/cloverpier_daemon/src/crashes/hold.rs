//! Decides whether a request may be sent to an upstream now, holds it until that is known, and calls it
//! back when its content is stopped. Owns nothing; [`super::judgement`] wakes what is held.

use crate::app::App;
use cloverpier_core::lock;
use cloverpier_crashes::lost_attempts::CONFIRM_WITHIN;
use cloverpier_crashes::prelude::*;
use std::pin::pin;
use std::time::Instant;

/// Decides whether a request may be sent to an upstream now. Where its next attempt may be one too
/// many, it waits until the last ones are judged.
pub async fn admit(app: &App, content: ContentKey) -> Admission {
    let since = app.now();
    loop {
        let mut changed = pin!(app.crashes.changed.notified());
        changed.as_mut().enable();
        let now = app.now();
        match look(app, content, since, now) {
            Look::Goes(admission) => return admission,
            Look::WaitsUntil(until) => {
                // Woken or not, it looks again.
                let _ = app.timers.timeout(until - now, changed).await;
            }
        }
    }
}

/// Whether a request that has waited since a moment goes on waiting.
enum Look {
    Goes(Admission),
    WaitsUntil(Instant),
}

fn look(app: &App, content: ContentKey, since: Instant, now: Instant) -> Look {
    let view = lock(&app.view);
    let cases = lock(&app.crashes.cases);
    let neighbours =
        |end: &EndedUpstream| view.neighbours(&end.service, &end.data_centre, end.upstream);
    let hold = cases.hold(content, now, neighbours);
    match hold.until(since, since + CONFIRM_WITHIN, now) {
        Some(until) => Look::WaitsUntil(until),
        None => Look::Goes(cases.admission(content, now, neighbours)),
    }
}

fn is_stopped(app: &App, content: ContentKey) -> bool {
    let cases = lock(&app.crashes.cases);
    cases.book.verdict(content, app.now()) == Verdict::Stopped
}

/// Waits until a content is stopped while its attempt has no token yet.
pub async fn called_back(app: &App, content: ContentKey, has_progress: impl Fn() -> bool) {
    loop {
        let mut changed = pin!(app.crashes.changed.notified());
        changed.as_mut().enable();
        if is_stopped(app, content) && !has_progress() {
            return;
        }
        changed.await;
    }
}
