//! Decides whether a request may be sent to an upstream now, holds it until that is known, and calls it
//! back when its content is stopped. Owns nothing; [`super::judgement`] wakes what is held.

use super::turn::Turn;
use crate::app::App;
use cloverpier_core::lock;
use cloverpier_crashes::lost_attempts::CONFIRMATION_TIMEOUT;
use cloverpier_crashes::prelude::*;
use std::pin::pin;
use std::time::Instant;

/// How a request may be sent, and its turn.
pub struct Admitted<'a> {
    /// How it may be sent.
    pub admission: Admission,
    /// Lasts as long as the attempt; `None` if the content is stopped.
    pub turn: Option<Turn<'a>>,
}

/// Decides whether a request may be sent to an upstream now. Where its next attempt may be one too
/// many, it waits until the last ones are judged.
pub async fn admit(app: &App, content: ContentKey) -> Admitted<'_> {
    let since = app.now();
    loop {
        let mut changed = pin!(app.crashes.changed.notified());
        changed.as_mut().enable();
        let mut turns = pin!(app.crashes.turns.notified());
        turns.as_mut().enable();
        let now = app.now();
        match look(app, content, since, now) {
            Look::Goes { admission, number } => {
                let turn = number.map(|number| Turn::new(app, content, number));
                return Admitted { admission, turn };
            }
            Look::WaitsUntil(until) => {
                let woken = async {
                    tokio::select! {
                        () = changed => {}
                        () = turns => {}
                    }
                };
                // Woken or not, it looks again.
                let _ = app.timers.timeout(until - now, woken).await;
            }
        }
    }
}

/// Whether a request that has waited since a moment goes on waiting.
enum Look {
    Goes {
        admission: Admission,
        number: Option<AttemptNumber>,
    },
    WaitsUntil(Instant),
}

fn look(app: &App, content: ContentKey, since: Instant, now: Instant) -> Look {
    let view = lock(&app.view);
    let mut cases = lock(&app.crashes.cases);
    let neighbours =
        |end: &UpstreamEvent| view.neighbours(&end.service, &end.data_centre, end.upstream);
    let hold = cases.hold(content, now, neighbours);
    if let Some(until) = hold.until(since, since + CONFIRMATION_TIMEOUT, now) {
        return Look::WaitsUntil(until);
    }
    let admission = cases.admission(content, now, neighbours);
    let number = (admission != Admission::Blocked).then(|| cases.on_admitted(content));
    Look::Goes { admission, number }
}

fn is_stopped(app: &App, content: ContentKey) -> bool {
    let cases = lock(&app.crashes.cases);
    cases.registry.status(content, app.now()) == ContentStatus::Blocked
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
