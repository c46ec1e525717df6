//! The reports of all routers on one order, added up, over several time windows.
//!
//! Counts are cumulative, so a report replaces the same router's earlier one; a window holds the
//! difference to a snapshot at its beginning. Owns the last counts of each router and the snapshots.
//! Relies on its caller to call [`FleetEvidence::take_snapshot`] periodically.

use super::{Evidence, EvidenceReport, SentCounts};
use crate::rollout::Stage;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The number of windows that are assessed besides the one that starts with the order.
const MAX_RECENT_WINDOWS: usize = 4;
/// The time between the starts of two windows.
const SNAPSHOT_PERIOD: Duration = Duration::from_millis(1_000);

/// The last report of one router, with the entries of its earlier reports.
#[derive(Clone, Debug)]
struct RouterEvidence {
    stage: Stage,
    previous_in_flight: u32,
    sent: SentCounts,
    counts: Evidence,
}

/// The reports of all routers on one order.
#[derive(Clone, Debug, Default)]
pub struct FleetEvidence {
    by_router: HashMap<SocketAddr, RouterEvidence>,
    /// Totals of all routers at earlier moments, the oldest first; each starts a window.
    snapshots: VecDeque<(Instant, Evidence)>,
}

impl FleetEvidence {
    /// Replaces the counts of a router for the keys in its report. A router's counts only grow while its
    /// process runs; after a restart its reports start from 0, and the earlier counts are lost.
    pub fn on_report(&mut self, router: SocketAddr, report: EvidenceReport) {
        let earlier = self.by_router.remove(&router);
        let mut counts = earlier.map_or_else(Evidence::new, |earlier| earlier.counts);
        counts.extend(report.entries);
        let evidence = RouterEvidence {
            stage: report.stage,
            previous_in_flight: report.previous_in_flight,
            sent: report.sent,
            counts,
        };
        self.by_router.insert(router, evidence);
    }

    /// Counts of all routers since the order.
    pub fn total(&self) -> Evidence {
        let mut total = Evidence::new();
        for (key, counts) in self.by_router.values().flat_map(|r| &r.counts) {
            total.entry(*key).or_default().add(counts);
        }
        total
    }

    /// Stores the present totals as the start of another window, at most once per `SNAPSHOT_PERIOD`.
    pub fn take_snapshot(&mut self, now: Instant) {
        let last = self.snapshots.back();
        let is_due = |at: &Instant| now.saturating_duration_since(*at) >= SNAPSHOT_PERIOD;
        if last.is_none_or(|(at, _)| is_due(at)) {
            let total = self.total();
            self.snapshots.push_back((now, total));
        }
        if self.snapshots.len() > MAX_RECENT_WINDOWS {
            self.snapshots.pop_front();
        }
    }

    /// Counts since the order, and counts of the last few windows. With the windows, earlier good
    /// responses do not hide a version that turns bad late.
    pub fn windows(&self) -> Vec<Evidence> {
        let all = self.total();
        let since = |(_, then): &(Instant, Evidence)| {
            let since = all.iter().map(|(key, counts)| match then.get(key) {
                Some(then) => (*key, counts.since(then)),
                None => (*key, counts.clone()),
            });
            since.collect()
        };
        let windows: Vec<Evidence> = self.snapshots.iter().map(since).collect();
        [vec![all], windows].concat()
    }

    /// Attempts that all routers sent since the order.
    pub fn sent(&self) -> SentCounts {
        let mut total = SentCounts::default();
        for report in self.by_router.values() {
            total.previous = total.previous.saturating_add(report.sent.previous);
            total.target = total.target.saturating_add(report.sent.target);
        }
        total
    }

    /// Whether any report of a router has arrived.
    pub fn has_reported(&self, router: &SocketAddr) -> bool {
        self.by_router.contains_key(router)
    }

    /// Whether a router has reported that it acts by this stage or a later one, and has no requests in
    /// flight at the previous versions.
    pub fn has_drained_previous(&self, router: &SocketAddr, stage: Stage) -> bool {
        let report = self.by_router.get(router);
        report.is_some_and(|r| r.stage >= stage && r.previous_in_flight == 0)
    }
}
