//! The planned stop: no new work, then the end once all answers are out.
//!
//! Begun by a signal or an operator. Relies on answers and calls to say when they are out.

use crate::app::App;
use crate::members;
use cloverpier_core::lock;
use cloverpier_observe::NoFields;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};

/// How often a stopping router checks whether its answers are out.
const CHECK: Duration = Duration::from_millis(100);

/// Starts the part: a termination signal begins a planned stop.
pub fn start(app: &Arc<App>) {
    let app = Arc::clone(app);
    tokio::spawn(async move {
        let Ok(mut terminate) = signal(SignalKind::terminate()) else {
            return;
        };
        terminate.recv().await;
        begin(&app);
    });
}

/// Begins a planned stop; a second call changes nothing.
pub fn begin(app: &Arc<App>) {
    if app.stopping.swap(true, Ordering::Relaxed) {
        return;
    }
    app.log.info("stop.begun", &NoFields {});
    let app = Arc::clone(app);
    tokio::spawn(async move {
        let id = app.me.id.clone();
        members::update(&app, "stopping", |list| {
            let marked = list.get(&id).is_none_or(|m| m.stopping);
            (!marked).then(|| list.with_stopping(&id))
        })
        .await;
    });
}

/// Waits for a planned stop to end: live answers and calls run to their end first.
pub async fn wait(app: &Arc<App>) {
    while !(app.is_stopping() && app.answers.is_quiet()) {
        app.timers.sleep(CHECK).await;
    }
    // Peers learn where the copies and records that were held here belong now.
    app.timers.sleep(CHECK * 5).await;
    let me = BTreeSet::from([app.me.id.clone()]);
    members::leave(app, me, "stopped").await;
    let held = lock(&app.answers.copies).len();
    app.metrics.gauge("stop.copies", held as u64);
    app.log.info("stop.done", &NoFields {});
}
