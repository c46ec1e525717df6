//! What this router does when its machine was suspended and goes on.
//!
//! All ages count the suspended time: a member that was silent for it is no longer known to live, and
//! the detector says that this process stood still. Waits that are over end (`cloverpier_timers`), and
//! the watch of the configuration is made anew, as its connection may be lost. Owns nothing.

use crate::app::App;
use serde::Serialize;
use std::sync::Arc;

#[derive(Serialize)]
struct MachineResumed {
    suspended_ms: u128,
}

/// Starts to notice it.
pub fn start(app: &Arc<App>) {
    tokio::spawn(watch_resumes(Arc::clone(app)));
}

async fn watch_resumes(app: Arc<App>) {
    let on_resume = |suspended: std::time::Duration| {
        let suspended_ms = suspended.as_millis();
        app.log
            .warn("machine.resumed", &MachineResumed { suspended_ms });
        app.news.notify_one();
    };
    app.timers.watch_resumes(on_resume).await;
}
