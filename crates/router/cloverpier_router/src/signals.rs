//! Signals: the planned stop and the reload of settings.
//!
//! When a stopping router may exit is decided in `cloverpier_router_policy::lifecycle`. The
//! settings file is read again when it changes or on a hang-up signal; a file with faults is
//! logged and the former settings stay.

use crate::crashes::verdicts;
use crate::decision_log::Dependency;
use crate::decision_log::log_dependency;
use crate::router::Router;
use cloverpier_observe::NoFields;
use cloverpier_router_policy::lifecycle::{SHUTDOWN_CHECK_PERIOD, ShutdownStep, shutdown_step};
use cloverpier_settings::RouterSettings;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// How often the settings file is compared.
const FILE_PERIOD: Duration = Duration::from_secs(1);

/// Waits for a termination signal, then until the process may exit.
pub(crate) async fn wait_for_shutdown(router: &Rc<Router>, mut terminate: Signal) {
    terminate.recv().await;
    router.lifecycle.begin_shutdown(router.now());
    router.log.info("process.stopping", &NoFields {});
    let grace = router.settings().grace;
    loop {
        router.timers.sleep(SHUTDOWN_CHECK_PERIOD).await;
        let Some(shutdown_elapsed) = router.lifecycle.shutdown_elapsed(router.now()) else {
            continue;
        };
        let in_flight = router.lifecycle.in_flight();
        if shutdown_step(shutdown_elapsed, in_flight, grace) == ShutdownStep::Exit {
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
    let mut hang_up = match signal(SignalKind::hangup()) {
        Ok(hang_up) => hang_up,
        Err(error) => {
            log_dependency(
                &router.log,
                "dependency.lost",
                "signals",
                &error.to_string(),
            );
            return;
        }
    };
    let mut file = SettingsFile::new(&path);
    loop {
        tokio::select! {
            _ = hang_up.recv() => {}
            () = router.timers.sleep(FILE_PERIOD) => {}
        }
        if let Some(text) = file.changed_text(&router) {
            apply_settings(&router, &text);
        }
    }
}

/// The settings file, as read last.
struct SettingsFile<'a> {
    path: &'a Path,
    text: Option<String>,
    is_lost: bool,
}

impl<'a> SettingsFile<'a> {
    fn new(path: &'a Path) -> Self {
        Self {
            path,
            // Where it cannot be read now, the first text that can be counts as changed.
            text: std::fs::read_to_string(path).ok(),
            is_lost: false,
        }
    }

    /// The file's text where it differs from the one read last.  A file that cannot be read is
    /// logged once, and the settings stay as they are.
    fn changed_text(&mut self, router: &Router) -> Option<String> {
        let text = match std::fs::read_to_string(self.path) {
            Ok(text) => text,
            Err(error) => {
                if !std::mem::replace(&mut self.is_lost, true) {
                    log_dependency(
                        &router.log,
                        "dependency.lost",
                        "settings",
                        &error.to_string(),
                    );
                }
                return None;
            }
        };
        self.is_lost = false;
        let is_changed = self.text.as_ref() != Some(&text);
        self.text = Some(text.clone());
        is_changed.then_some(text)
    }
}

/// Puts new settings in force; listeners stay where they are until a restart.
fn apply_settings(router: &Router, text: &str) {
    match RouterSettings::parse(text) {
        Ok(settings) => {
            router.set_settings(settings);
            verdicts::on_settings(router);
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
