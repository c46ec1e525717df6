//! Signals: the planned stop and the reload of settings.

use crate::decision_log::Dependency;
use crate::router::Router;
use cloverpier_observe::NoFields;
use cloverpier_settings::RouterSettings;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// How often a stopping router looks whether it is idle.
const CHECK: Duration = Duration::from_millis(50);
/// A stopping router serves at least this long, as callers still hold its address.
const MIN_STOP: Duration = Duration::from_millis(3_500);
/// The process ends this long before it would be killed.
const MARGIN: Duration = Duration::from_millis(300);
/// How often the settings file is looked at.
const FILE_PERIOD: Duration = Duration::from_secs(1);

/// Waits for a termination signal, then until the last answer is out.
pub(crate) async fn wait_for_stop(router: &Rc<Router>, mut terminate: Signal) {
    terminate.recv().await;
    let begun = Instant::now();
    router.stopping.set(Some(begun));
    router.log.info("process.stopping", &NoFields {});
    let grace = router.settings().grace.saturating_sub(MARGIN);
    loop {
        tokio::time::sleep(CHECK).await;
        let passed = begun.elapsed();
        let is_idle = router.in_flight.get() == 0 && passed >= MIN_STOP;
        if is_idle || passed >= grace {
            return;
        }
    }
}

/// The signal that begins a planned stop.
///
/// # Errors
///
/// What the system reports.
pub(crate) fn terminate_signal() -> std::io::Result<Signal> {
    signal(SignalKind::terminate())
}

/// Reads the settings again whenever their file has changed or a signal says so.
pub(crate) async fn reload_settings(router: Rc<Router>, path: PathBuf) {
    let Ok(mut hang_up) = signal(SignalKind::hangup()) else {
        return;
    };
    let mut known = std::fs::read_to_string(&path).unwrap_or_default();
    loop {
        let pause = tokio::time::sleep(FILE_PERIOD);
        tokio::select! {
            _ = hang_up.recv() => {}
            () = pause => {}
        }
        let Ok(text) = std::fs::read_to_string(&path) else {
            continue;
        };
        if text != known {
            take_settings(&router, &text);
            known = text;
        }
    }
}

/// Takes over new settings; listeners stay where they are until a restart.
fn take_settings(router: &Router, text: &str) {
    match RouterSettings::parse(text) {
        Ok(settings) => {
            *router.settings.borrow_mut() = Rc::new(settings);
            router.log.info("settings.reloaded", &NoFields {});
        }
        Err(faults) => {
            let reason = faults.to_string();
            let line = Dependency {
                name: "settings",
                reason: &reason,
            };
            router.log.warn("settings.rejected", &line);
        }
    }
}
