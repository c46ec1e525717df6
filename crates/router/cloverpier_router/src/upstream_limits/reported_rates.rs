//! Decision which changes of a limit are logged, and reported to all peers at once.
//!
//! The start and the end of a limit are always reported, as they concern all routers. The rate itself matters only to
//! the upstream's limiter, which receives it with each permit request, so small changes of the rate are not reported.
//! Owns the last reported rate of each upstream.

use cloverpier_router_policy::limit::{LimitChange, Rate};
use cloverpier_router_policy::prelude::UpstreamKey;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Minimum change of a rate that is reported, as a fraction of the last reported rate.
const MIN_RELATIVE_CHANGE: f64 = 0.2;
/// Minimum time between two reports of changes of one upstream's rate.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// The last rate of each upstream that this router or a peer reported, and when this router marked it as reported.
#[derive(Debug, Default)]
pub(super) struct ReportedRates {
    rates: HashMap<UpstreamKey, (Rate, Instant)>,
}

impl ReportedRates {
    /// Whether a change has to be reported; if so, it is marked as reported.
    pub fn mark_if_reportable(
        &mut self,
        upstream: UpstreamKey,
        change: LimitChange,
        now: Instant,
    ) -> bool {
        match change {
            LimitChange::Unchanged => false,
            LimitChange::Started(rate) => {
                self.rates.insert(upstream, (rate, now));
                true
            }
            LimitChange::Ended(_) => {
                self.rates.remove(&upstream);
                true
            }
            LimitChange::Changed { to, .. } => self.mark_if_far(upstream, to, now),
        }
    }

    /// Whether a rate differs enough from the last reported one, and that report is old enough; if so, the rate is
    /// marked as reported.
    fn mark_if_far(&mut self, upstream: UpstreamKey, rate: Rate, now: Instant) -> bool {
        if let Some((previous, at)) = self.rates.get(&upstream) {
            let change = (rate.as_per_second() / previous.as_per_second() - 1.0).abs();
            if change < MIN_RELATIVE_CHANGE
                || now.saturating_duration_since(*at) < MIN_REPORT_INTERVAL
            {
                return false;
            }
        }
        self.rates.insert(upstream, (rate, now));
        true
    }
}
