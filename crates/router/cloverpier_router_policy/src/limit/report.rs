//! What routers report to each other of limits.
//!
//! Owns no state. Times travel as ages, as the clocks of machines differ.

use super::{LimitChange, Rate, StatedLimits, WrittenBetween};
use crate::upstream::UpstreamKey;
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// How long a message may have been under way at most: what it says was written so much earlier than
/// its receiver would conclude.
const MAX_TRANSIT: Duration = Duration::from_millis(100);
/// Reports in one message. One takes 36 bytes at most, and a datagram may have 8,192.
const MAX_REPORTS: usize = 200;

/// What an upstream said of its limit last, as routers send it to each other; the order of fields is on
/// the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitReport {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// When the start began that said so, as a Unix time in milliseconds; `None` where each start has a
    /// name of its own.
    pub born_ms: Option<u64>,
    /// In thousandths of a request a second; `None` where it names no limit any more.
    pub rate: Option<Rate>,
    /// Milliseconds since the request was sent whose answer said so.
    pub sent_age_ms: u32,
    /// Milliseconds since that answer arrived.
    pub heard_age_ms: u32,
}

impl StatedLimits {
    /// The report of one upstream, if anything is known of its limit.
    pub fn report(
        &self,
        upstream: UpstreamKey,
        born_ms: Option<u64>,
        now: Instant,
    ) -> Option<LimitReport> {
        let limit = self.by_upstream.get(&upstream)?;
        Some(LimitReport {
            upstream,
            born_ms,
            rate: limit.named,
            sent_age_ms: age_ms(limit.written.sent, now),
            heard_age_ms: age_ms(limit.written.heard, now),
        })
    }

    /// The upstreams of which something is known.
    pub fn upstreams(&self) -> Vec<UpstreamKey> {
        self.by_upstream.keys().copied().collect()
    }

    /// Applies a peer's report; `born_ms` is the newest start of the upstream that is known here. A report
    /// of another start says nothing.
    pub fn on_report(
        &mut self,
        report: &LimitReport,
        born_ms: Option<u64>,
        now: Instant,
    ) -> LimitChange {
        let is_of_other_start = match (report.born_ms, born_ms) {
            (Some(reported), Some(known)) => reported != known,
            _ => false,
        };
        if is_of_other_start {
            return LimitChange::Nothing;
        }
        let Some(written) = written(report, now) else {
            return LimitChange::Nothing;
        };
        match report.rate {
            Some(rate) => self.on_named(report.upstream, rate, written, now),
            None => self.on_unnamed(report.upstream, written, now),
        }
    }
}

fn age_ms(then: Instant, now: Instant) -> u32 {
    let age = now.saturating_duration_since(then).as_millis();
    u32::try_from(age).unwrap_or(u32::MAX)
}

/// When an answer was written that a report is about; `None` for one from before this machine's clock
/// began, of which it cannot be said what followed it.
fn written(report: &LimitReport, now: Instant) -> Option<WrittenBetween> {
    let before = |age_ms: u32| now.checked_sub(Duration::from_millis(age_ms.into()));
    Some(WrittenBetween {
        sent: before(report.sent_age_ms)?.checked_sub(MAX_TRANSIT)?,
        heard: before(report.heard_age_ms)?,
    })
}

/// Reports in as many messages as they need.
pub fn in_messages(reports: &[LimitReport]) -> Vec<Vec<LimitReport>> {
    reports.chunks(MAX_REPORTS).map(<[_]>::to_vec).collect()
}
