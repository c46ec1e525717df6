//! Handles a suspension of the VM that the router runs on, when the VM resumes.
//!
//! All ages include the suspended time, so outdated observations expire by themselves: peers and the store count as
//! reachable only after they respond again, and timeouts that have passed fire at once (`cloverpier_timers`). What
//! remains are watches whose connections the store has closed during the suspension. No response will arrive on
//! them, so this module ends them at once. Owns no state.

use crate::decision_log::{MachineResumed, ms};
use crate::router::Router;
use std::rc::Rc;

/// Logs and counts each resume of the VM, and makes the loops that call the store start their watches again. Runs
/// until the process ends.
pub(crate) async fn watch_resumes(router: Rc<Router>) {
    let on_resume = |suspended| {
        let suspended_ms = ms(suspended);
        router
            .log
            .warn("machine.resumed", &MachineResumed { suspended_ms });
        router.metrics.suspensions.inc();
        router.store.restart_watches();
        router.store.wake_loops();
    };
    router.timers.watch_resumes(on_resume).await;
}
