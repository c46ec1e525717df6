//! The reports of all routers on one order, added up, by period.
//!
//! Counts are cumulative, so a report replaces the same router's earlier one; a period holds the
//! difference between two snapshots. Owns the last counts of each router and the snapshots.
//! Relies on its caller to call [`FleetEvidence::take_snapshot`] periodically.

use super::{Evidence, EvidenceReport, SentCounts};
use crate::rollout::Stage;
use crate::rollout::time_histogram::TimeHistogram;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The number of windows that are assessed besides the one that starts with the order. They start
/// with the last periods.
const MAX_RECENT_WINDOWS: usize = 4;
/// The number of periods since the order. If there are more, adjacent ones are merged.
const MAX_PERIODS: usize = 16;
/// The length of a period that is not merged.
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
    /// Totals of all routers at earlier moments, the oldest first; each ends a period and starts the
    /// next one.
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

    /// Ends the present period if it has lasted for `SNAPSHOT_PERIOD`.
    pub fn take_snapshot(&mut self, now: Instant) {
        let last = self.snapshots.back();
        let is_due = |at: &Instant| now.saturating_duration_since(*at) >= SNAPSHOT_PERIOD;
        if last.is_none_or(|(at, _)| is_due(at)) {
            let total = self.total();
            self.snapshots.push_back((now, total));
        }
        if self.snapshots.len() >= MAX_PERIODS {
            self.merge_shortest_periods();
        }
    }

    /// Merges the two adjacent periods that are the shortest together, except for the recent ones.
    fn merge_shortest_periods(&mut self) {
        let is_recent = |index: usize| index + MAX_RECENT_WINDOWS >= self.snapshots.len();
        let merged = |index: &usize| {
            let (begin, end) = (self.snapshots[index - 1].0, self.snapshots[index + 1].0);
            end.saturating_duration_since(begin)
        };
        let indices = (1..self.snapshots.len()).take_while(|index| !is_recent(*index));
        if let Some(shortest) = indices.min_by_key(merged) {
            self.snapshots.remove(shortest);
        }
    }

    /// Counts of the periods since the order, the oldest first. Responses that are pending now are
    /// counted in the last one.
    pub fn periods(&self) -> Vec<Evidence> {
        let present = self.total();
        let totals = self.snapshots.iter().map(|(_, total)| total);
        let ends: Vec<&Evidence> = totals.chain([&present]).collect();
        let mut begin = &Evidence::new();
        let mut periods = Vec::with_capacity(ends.len());
        for end in &ends {
            periods.push(difference(begin, end));
            begin = end;
        }
        if let Some((_, earlier)) = periods.split_last_mut() {
            let entries = earlier.iter_mut().flat_map(Evidence::values_mut);
            entries.for_each(|counts| counts.pending = TimeHistogram::default());
        }
        periods
    }

    /// The positions in [`Self::periods`] at which the assessed windows start; each of them ends now.
    /// With the recent windows, earlier good responses do not hide a version that turns bad late.
    pub fn window_starts(&self) -> impl Iterator<Item = usize> {
        let last = self.snapshots.len();
        let recent = (last + 1).saturating_sub(MAX_RECENT_WINDOWS).max(1)..=last;
        std::iter::once(0).chain(recent)
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

/// The counts at the end of a period without those at its beginning.
fn difference(begin: &Evidence, end: &Evidence) -> Evidence {
    let since = end.iter().map(|(key, counts)| match begin.get(key) {
        Some(earlier) => (*key, counts.since(earlier)),
        None => (*key, counts.clone()),
    });
    since.collect()
}
