//! What must hold of the routers' processes while they run.

use super::checks::Report;
use crate::router_site::{ROUTER_MEMORY_MB, Site};
use std::time::{Duration, Instant};

/// Between two looks at the processes.
const PERIOD: Duration = Duration::from_millis(200);

/// Looks at the routers' processes from time to time.
#[derive(Debug, Default)]
pub struct ProcessCheck {
    last: Option<Instant>,
}

impl ProcessCheck {
    /// Notes routers that have ended by themselves, and those that hold more memory than their VM has.
    /// `is_stopping` tells whether the process with a number was told to end.
    pub fn look(
        &mut self,
        site: &mut Site,
        report: &mut Report,
        is_stopping: impl Fn(u32) -> bool,
    ) {
        if self.last.is_some_and(|last| last.elapsed() < PERIOD) {
            return;
        }
        self.last = Some(Instant::now());
        for (index, router) in site.routers.iter_mut().enumerate() {
            let Some(process) = &mut router.process else {
                continue;
            };
            let held_mb = process.usage().rss_kb >> 10;
            if held_mb > ROUTER_MEMORY_MB {
                let found = format!("front {index} held {held_mb} MB");
                report.violation("memory", &found);
            }
            report.peak_memory_mb = report.peak_memory_mb.max(held_mb);
            if !is_stopping(process.id()) && process.has_ended() {
                report.violation("exit", &format!("front {index} ended by itself"));
                // Told once; it is started again when the harms are over.
                router.process = None;
            }
        }
    }
}
