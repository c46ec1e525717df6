//! What this router does when its machine was suspended and goes on.
//!
//! All ages count the suspended time, so nothing that is old by now passes for new: peers and the
//! store have to answer again before they count as reached, and waits that are over end
//! (`cloverpier_timers`). What remains is what this router would wait for in vain: watches whose
//! connections the store gave up meanwhile end here, at once.
//!
//! Owns nothing.

use crate::decision_log::{MachineResumed, ms};
use crate::router::Router;
use std::rc::Rc;

/// Notices when the machine resumes, until the process ends.
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
