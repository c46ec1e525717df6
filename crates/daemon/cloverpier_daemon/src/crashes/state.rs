//! What a router knows of requests that end upstreams. Owns it; the other files here learn it and act
//! by it.

use cloverpier_core::{hash_of, lock};
use cloverpier_crashes::prelude::*;
use cloverpier_settings::CrashSettings;
use std::sync::Mutex;
use std::time::Instant;
use tokio::sync::Notify;

/// What has to be known against a content for it to be reported to peers, in thousandths of an end that
/// nothing else explains.
const MIN_TOLD: u32 = 250;

/// What this router knows of requests that end upstreams.
#[derive(Debug)]
pub struct Crashes {
    pub(super) cases: Mutex<CrashTracker>,
    /// Wakes the loop that judges, and requests that wait for a judgement or a call back.
    pub(super) changed: Notify,
    /// Wakes requests that wait for another's attempt. Apart from the above, as attempts begin and end
    /// with each request.
    pub(super) turns: Notify,
}

impl Crashes {
    /// Knows of no end yet.
    pub fn new(settings: &CrashSettings) -> Self {
        let mut cases = CrashTracker::new(settings.limit, CrashTimestamp::ObservedCrash);
        let cleared = settings.cleared.clone();
        cases.registry.configure(settings.limit, cleared);
        Self {
            cases: Mutex::new(cases),
            changed: Notify::new(),
            turns: Notify::new(),
        }
    }

    /// Changes the cases and wakes whoever waits for a judgement.
    pub(super) fn change(&self, change: impl FnOnce(&mut CrashTracker)) {
        change(&mut lock(&self.cases));
        self.changed.notify_waiters();
    }

    /// What is reported to peers.
    pub fn reports(&self, now: Instant) -> Vec<ContentReport> {
        let cases = lock(&self.cases);
        let told = cases.registry.contents_with_evidence(MIN_TOLD, now);
        cases.registry.reports(&told, now)
    }

    /// A digest that differs where what is reported to peers does, but for what was around ends; 0 for
    /// nothing.
    pub fn digest(&self, now: Instant) -> u64 {
        let mut reports = self.reports(now);
        if reports.is_empty() {
            return 0;
        }
        reports.sort_by_key(|report| report.content);
        let parts = reports.iter().map(|report| {
            let excused = report.crashes.iter().filter(|crash| crash.is_disregarded);
            let (ends, excused) = (report.crashes.len(), excused.count());
            format!("{}/{ends}/{excused}", report.content)
        });
        hash_of(&parts.collect::<Vec<_>>().join(","))
    }
}
