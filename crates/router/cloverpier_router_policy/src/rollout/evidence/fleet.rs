//! What all routers report of one order, added up, over several spans.
//!
//! A report replaces the former one of its router, as counts only grow; a span is the difference
//! to what was known when it began. Owns the last report of each router and the sums at those
//! moments. Relies on being asked regularly to remember.

use super::{Evidence, EvidenceReport, SentCounts};
use crate::rollout::Stage;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The spans over which answers are judged besides all since the order: their number.
const MAX_WINDOWS: usize = 4;
/// By how much each begins later.
const WINDOW_STEP: Duration = Duration::from_millis(1_000);

/// What one router has reported.
#[derive(Clone, Debug)]
struct RouterEvidence {
    stage: Stage,
    former_in_flight: u32,
    sent: SentCounts,
    counts: Evidence,
}

/// What all routers report of one order.
#[derive(Clone, Debug, Default)]
pub struct FleetEvidence {
    by_router: HashMap<SocketAddr, RouterEvidence>,
    /// All answers as they were, the oldest first.
    former_totals: VecDeque<(Instant, Evidence)>,
}

impl FleetEvidence {
    /// Replaces what a router reported before of the same routes and arms. Counts only grow in a
    /// router's life; of one that has started again, what it said before is lost.
    pub fn on_report(&mut self, router: SocketAddr, report: EvidenceReport) {
        let known = self.by_router.remove(&router);
        let mut counts = known.map_or_else(Evidence::new, |known| known.counts);
        counts.extend(report.entries);
        let evidence = RouterEvidence {
            stage: report.stage,
            former_in_flight: report.former_in_flight,
            sent: report.sent,
            counts,
        };
        self.by_router.insert(router, evidence);
    }

    /// All answers since the order.
    pub fn total(&self) -> Evidence {
        let mut total = Evidence::new();
        for (key, counts) in self.by_router.values().flat_map(|r| &r.counts) {
            total.entry(*key).or_default().add(counts);
        }
        total
    }

    /// Remembers the answers up to now, for [`Self::windows`].
    pub fn remember(&mut self, now: Instant) {
        let last = self.former_totals.back();
        let is_due = |at: &Instant| now.saturating_duration_since(*at) >= WINDOW_STEP;
        if last.is_none_or(|(at, _)| is_due(at)) {
            let total = self.total();
            self.former_totals.push_back((now, total));
        }
        if self.former_totals.len() > MAX_WINDOWS {
            self.former_totals.pop_front();
        }
    }

    /// The answers since the order, and those of some last spans: a version that turns bad late is
    /// not judged by the good answers that it gave before.
    pub fn windows(&self) -> Vec<Evidence> {
        let all = self.total();
        let since = |(_, then): &(Instant, Evidence)| {
            let since = all.iter().map(|(key, counts)| match then.get(key) {
                Some(then) => (*key, counts.since(then)),
                None => (*key, counts.clone()),
            });
            since.collect()
        };
        let windows: Vec<Evidence> = self.former_totals.iter().map(since).collect();
        [vec![all], windows].concat()
    }

    /// Attempts of all routers.
    pub fn sent(&self) -> SentCounts {
        let mut total = SentCounts::default();
        for report in self.by_router.values() {
            total.former = total.former.saturating_add(report.sent.former);
            total.target = total.target.saturating_add(report.sent.target);
        }
        total
    }

    /// Whether a router has reported anything.
    pub fn has_reported(&self, router: &SocketAddr) -> bool {
        self.by_router.contains_key(router)
    }

    /// Whether a router has reported that it acts by a stage and has nothing in flight at the
    /// former versions.
    pub fn has_left_former(&self, router: &SocketAddr, stage: Stage) -> bool {
        let report = self.by_router.get(router);
        report.is_some_and(|r| r.stage >= stage && r.former_in_flight == 0)
    }
}
