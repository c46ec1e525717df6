//! Which changes of a limit are logged, and reported to all peers at once.
//!
//! A limit that begins or ends concerns everybody. The rate itself matters to the limiter alone, which gets
//! it with each ask, so that small changes are not sent to all. Owns the rates that were reported last.

use cloverpier_router_policy::limit::{LimitChange, Rate};
use cloverpier_router_policy::prelude::UpstreamKey;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// A rate that has changed by less than this part is not reported.
const MIN_CHANGE: f64 = 0.2;
/// Changes of one upstream's rate are reported once in this time.
const PERIOD: Duration = Duration::from_millis(500);

/// The rate of each upstream that was reported last, by this router or a peer.
#[derive(Debug, Default)]
pub(super) struct ReportedRates {
    rates: HashMap<UpstreamKey, (Rate, Instant)>,
}

impl ReportedRates {
    /// Whether a change is worth a report; it counts as reported then.
    pub fn is_worth_a_report(
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
            LimitChange::Changed { to, .. } => self.is_far(upstream, to, now),
        }
    }

    fn is_far(&mut self, upstream: UpstreamKey, rate: Rate, now: Instant) -> bool {
        if let Some((former, at)) = self.rates.get(&upstream) {
            let change = (rate.as_per_second() / former.as_per_second() - 1.0).abs();
            if change < MIN_CHANGE || now.saturating_duration_since(*at) < PERIOD {
                return false;
            }
        }
        self.rates.insert(upstream, (rate, now));
        true
    }
}
