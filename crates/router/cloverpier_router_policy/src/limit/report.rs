//! Reports of rate limits, which routers send to each other.
//!
//! Owns no state. Reports contain ages instead of times, since the clocks of machines differ.

use super::{AdvertisedLimits, LimitChange, Rate, ResponseInterval};
use crate::upstream::UpstreamKey;
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// The assumed maximum transit time of a message. A request whose age is reported may have been sent this
/// much earlier than its age on arrival indicates.
const MAX_TRANSIT: Duration = Duration::from_millis(100);
/// Reports in one message. A report takes at most 36 bytes, and a datagram at most 8,192.
const MAX_REPORTS_PER_MESSAGE: usize = 200;

/// The rate limit that an upstream advertised last, as routers send it to each other. The order of fields
/// is part of the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitReport {
    /// The limited upstream.
    pub upstream: UpstreamKey,
    /// When the upstream's incarnation that advertised the limit started, as a Unix time in milliseconds;
    /// `None` if the start time is unknown, as where each incarnation has its own name.
    #[serde(rename = "born_ms")]
    pub start_time_ms: Option<u64>,
    /// The advertised rate, on the wire in thousandths of a request per second; `None` if the upstream no
    /// longer advertises a limit.
    pub rate: Option<Rate>,
    /// Milliseconds since the request was sent whose response contained (or ended) the limit.
    #[serde(rename = "sent_age_ms")]
    pub request_age_ms: u32,
    /// Milliseconds since that response arrived.
    #[serde(rename = "heard_age_ms")]
    pub response_age_ms: u32,
}

impl AdvertisedLimits {
    /// The report on one upstream; `None` if the upstream has no limit and no recently ended one.
    /// `start_time_ms` is the start time of its newest incarnation, if known.
    pub fn report(
        &self,
        upstream: UpstreamKey,
        start_time_ms: Option<u64>,
        now: Instant,
    ) -> Option<LimitReport> {
        let limit = self.by_upstream.get(&upstream)?;
        Some(LimitReport {
            upstream,
            start_time_ms,
            rate: limit.advertised,
            request_age_ms: age_ms(limit.response.request_sent_at, now),
            response_age_ms: age_ms(limit.response.response_received_at, now),
        })
    }

    /// The upstreams with a limit or a recently ended one.
    pub fn upstreams(&self) -> Vec<UpstreamKey> {
        self.by_upstream.keys().copied().collect()
    }

    /// Applies a peer's report. `start_time_ms` is the start time of the upstream's newest incarnation
    /// that this router has recorded. A report on another incarnation is ignored; incarnations are not
    /// compared if either start time is unknown.
    pub fn on_report(
        &mut self,
        report: &LimitReport,
        start_time_ms: Option<u64>,
        now: Instant,
    ) -> LimitChange {
        let is_other_incarnation = match (report.start_time_ms, start_time_ms) {
            (Some(reported), Some(recorded)) => reported != recorded,
            _ => false,
        };
        if is_other_incarnation {
            return LimitChange::Unchanged;
        }
        let Some(response) = response_interval(report, now) else {
            return LimitChange::Unchanged;
        };
        match report.rate {
            Some(rate) => self.on_advertised(report.upstream, rate, response, now),
            None => self.on_absent(report.upstream, response, now),
        }
    }
}

fn age_ms(then: Instant, now: Instant) -> u32 {
    let age = now.saturating_duration_since(then).as_millis();
    u32::try_from(age).unwrap_or(u32::MAX)
}

/// The interval in which the response behind a report was generated, by this machine's clock; `None` for
/// a response from before that clock began, since the order of responses is then unknown.
fn response_interval(report: &LimitReport, now: Instant) -> Option<ResponseInterval> {
    let before = |age_ms: u32| now.checked_sub(Duration::from_millis(age_ms.into()));
    Some(ResponseInterval {
        request_sent_at: before(report.request_age_ms)?.checked_sub(MAX_TRANSIT)?,
        response_received_at: before(report.response_age_ms)?,
    })
}

/// Splits reports into lists that each fit into one datagram.
pub fn split_into_messages(reports: &[LimitReport]) -> Vec<Vec<LimitReport>> {
    reports
        .chunks(MAX_REPORTS_PER_MESSAGE)
        .map(<[_]>::to_vec)
        .collect()
}
