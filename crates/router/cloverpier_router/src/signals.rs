//! Shutdown on SIGTERM, and the reload of the settings file.
//!
//! `cloverpier_router_policy::lifecycle` decides when a router that shuts down may exit. The settings file is read
//! every second and on SIGHUP, and applied if its text has changed. If the new text has errors, they are logged and
//! the previous settings stay in force. Owns the text that was read last.

use crate::admission;
use crate::crashes::block_changes;
use crate::decision_log::NamedEvent;
use crate::decision_log::log_named_event;
use crate::router::Router;
use cloverpier_observe::NoFields;
use cloverpier_router_policy::lifecycle::{SHUTDOWN_CHECK_PERIOD, ShutdownStep, shutdown_step};
use cloverpier_settings::RouterSettings;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Interval at which the settings file is read and compared with the text that was read last.
const FILE_CHECK_PERIOD: Duration = Duration::from_secs(1);

/// Waits for SIGTERM, begins the shutdown, and returns when the process may exit.
pub(crate) async fn wait_for_shutdown(router: &Rc<Router>, mut terminate: Signal) {
    terminate.recv().await;
    router.lifecycle.begin_shutdown(router.now());
    router.admission.wake_all();
    router.log.info("process.stopping", &NoFields {});
    let grace = router.settings().grace;
    loop {
        router.timers.sleep(SHUTDOWN_CHECK_PERIOD).await;
        let Some(elapsed) = router.lifecycle.shutdown_elapsed(router.now()) else {
            continue;
        };
        let in_flight = router.lifecycle.in_flight();
        if shutdown_step(elapsed, in_flight, grace) == ShutdownStep::Exit {
            return;
        }
    }
}

/// Registers a handler for SIGTERM, which begins the shutdown.
///
/// # Errors
///
/// The operating system's error if the handler can't be registered.
pub(crate) fn terminate_signal() -> std::io::Result<Signal> {
    signal(SignalKind::terminate())
}

/// Applies the settings file whenever its text has changed, until the process exits. Returns at once if no handler
/// for SIGHUP can be registered; the settings are not reloaded then.
pub(crate) async fn reload_settings(router: Rc<Router>, path: PathBuf) {
    let mut hang_up = match signal(SignalKind::hangup()) {
        Ok(hang_up) => hang_up,
        Err(error) => {
            log_named_event(
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
            () = router.timers.sleep(FILE_CHECK_PERIOD) => {}
        }
        if let Some(text) = file.read_if_changed(&router) {
            apply_settings(&router, &text);
        }
    }
}

/// The settings file, with the text that was read last.
struct SettingsFile<'a> {
    path: &'a Path,
    text: Option<String>,
    is_unreadable: bool,
}

impl<'a> SettingsFile<'a> {
    fn new(path: &'a Path) -> Self {
        Self {
            path,
            // If the file can't be read now, the first text that can be read counts as changed.
            text: std::fs::read_to_string(path).ok(),
            is_unreadable: false,
        }
    }

    /// Reads the file, and returns its text if it differs from the text that was read last. An error is logged once
    /// until the file can be read again, and the settings stay in force.
    fn read_if_changed(&mut self, router: &Router) -> Option<String> {
        let text = match std::fs::read_to_string(self.path) {
            Ok(text) => text,
            Err(error) => {
                if !std::mem::replace(&mut self.is_unreadable, true) {
                    log_named_event(
                        &router.log,
                        "dependency.lost",
                        "settings",
                        &error.to_string(),
                    );
                }
                return None;
            }
        };
        self.is_unreadable = false;
        let is_changed = self.text.as_ref() != Some(&text);
        self.text = Some(text.clone());
        is_changed.then_some(text)
    }
}

/// Parses the text of the settings file and puts the settings in force, or logs its errors. Listeners keep their
/// addresses until the process is restarted.
fn apply_settings(router: &Router, text: &str) {
    match RouterSettings::parse(text) {
        Ok(settings) => {
            router.set_settings(settings);
            block_changes::on_settings(router);
            admission::update_bounds(router);
            router.log.info("settings.reloaded", &NoFields {});
        }
        Err(errors) => {
            let reason = errors.to_string();
            let line = NamedEvent {
                name: "settings",
                reason: &reason,
            };
            router.log.warn("settings.rejected", &line);
        }
    }
}
