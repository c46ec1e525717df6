//! Upstreams that have announced in a response that they leave, and for how long an announcement counts.
//!
//! - **Question.** Which incarnation of which upstream gets no new requests because it has announced that
//!   it leaves? For how long does the upstream still get requests that no other upstream can serve?
//! - **Inputs.** Announcements in responses and reports of peers: upstream, start time of the
//!   incarnation, since when the announcement is known.
//! - **Answer.** Since when an incarnation is leaving; the reports that are sent to peers.
//! - **Why.** A leaving upstream announces in all its responses that it leaves, even while the platform's
//!   store is unreachable. A router that read the state from the store alone would keep sending requests
//!   to the upstream during an outage of the store. An announcement is never revoked, not even by the
//!   upstream's own entry, which may be read late or written by a process with older information. So the
//!   set of announcements only grows until they expire, and the order in which messages arrive does not
//!   matter. An announcement applies to one incarnation: a later one under the same name is another
//!   process and gets requests.
//!
//! Owns the announcements, which are kept separately from the listed upstreams: a peer may report one
//! before the list contains the upstream, and a list that is read late may contain an upstream whose
//! state was already dropped.

use crate::upstream::UpstreamKey;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// For how long after its announcement a leaving upstream gets requests that no other upstream of its
/// service can serve, so that no request is refused if its successor is late. The platform guarantees that
/// the upstream serves for at least two seconds; one of them is reserved for requests in flight.
pub const LAST_RESORT_PERIOD: Duration = Duration::from_millis(1_000);
/// How long an announcement is kept: longer than any list can be out of date, and a hundred times as
/// long as an upstream takes to shut down. A thousand announcements take 40 kB of memory.
const RETENTION: Duration = Duration::from_secs(3_600);
/// Maximum number of reports in one message. A report takes at most 24 bytes, and a datagram may have
/// 8,192.
const MAX_REPORTS: usize = 256;

/// A leaving upstream, in the form that routers send to each other. The order of the fields is part of
/// the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingReport {
    /// Identifies the leaving upstream by the hash of its name.
    pub upstream: UpstreamKey,
    /// Start time of the leaving incarnation, as a Unix time in milliseconds; `None` if the upstream
    /// reports no start time, and each process has its own name.
    #[serde(rename = "born_ms")]
    pub start_time_ms: Option<u64>,
    /// Milliseconds between the announcement's arrival at the first router and the sending of this
    /// report.
    pub age_ms: u32,
}

/// The leaving incarnation of an upstream, and since when its announcement is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct LeavingIncarnation {
    start_time_ms: Option<u64>,
    since: Instant,
}

/// All upstreams that are known to be leaving, with the leaving incarnation of each.
#[derive(Debug, Default)]
pub struct LeavingUpstreams {
    by_upstream: HashMap<UpstreamKey, LeavingIncarnation>,
}

impl LeavingUpstreams {
    /// Records that an incarnation of an upstream has been leaving since `since`. `None` for the start
    /// time stands for the recorded incarnation.
    ///
    /// Returns whether the upstream was not recorded yet, or only an earlier incarnation of it. A report
    /// of an earlier incarnation than the recorded one is ignored.
    pub fn record(
        &mut self,
        upstream: UpstreamKey,
        start_time_ms: Option<u64>,
        since: Instant,
    ) -> bool {
        let reported = LeavingIncarnation {
            start_time_ms,
            since,
        };
        let Some(known) = self.by_upstream.get_mut(&upstream) else {
            self.by_upstream.insert(upstream, reported);
            return true;
        };
        match (start_time_ms, known.start_time_ms) {
            (Some(reported_start), Some(known_start)) if reported_start < known_start => false,
            (Some(reported_start), Some(known_start)) if reported_start > known_start => {
                *known = reported;
                true
            }
            _ => {
                known.since = known.since.min(since);
                known.start_time_ms = known.start_time_ms.or(start_time_ms);
                false
            }
        }
    }

    /// Since when an incarnation of an upstream is known to be leaving; `None` if it is not. An
    /// incarnation that started before the recorded one counts as leaving, too. If either start time
    /// is unknown, the two count as the same incarnation.
    pub fn since(&self, upstream: UpstreamKey, start_time_ms: Option<u64>) -> Option<Instant> {
        let leaving = self.by_upstream.get(&upstream)?;
        let is_later_start = match (start_time_ms, leaving.start_time_ms) {
            (Some(start), Some(leaving_start)) => start > leaving_start,
            _ => false,
        };
        (!is_later_start).then_some(leaving.since)
    }

    /// Reports of those of the given upstreams that are leaving, with their ages at `now`.
    pub fn reports(
        &self,
        upstreams: impl IntoIterator<Item = UpstreamKey>,
        now: Instant,
    ) -> Vec<LeavingReport> {
        let reports = upstreams.into_iter().filter_map(|upstream| {
            let leaving = self.by_upstream.get(&upstream)?;
            let age = now.saturating_duration_since(leaving.since);
            Some(LeavingReport {
                upstream,
                start_time_ms: leaving.start_time_ms,
                age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
            })
        });
        reports.collect()
    }

    /// The upstreams that have been known to be leaving for less than `period`.
    pub fn reported_within(&self, period: Duration, now: Instant) -> Vec<UpstreamKey> {
        let is_recent = |l: &LeavingIncarnation| now.saturating_duration_since(l.since) < period;
        let recent = self.by_upstream.iter().filter(|(_, l)| is_recent(l));
        recent.map(|(upstream, _)| *upstream).collect()
    }

    /// Drops announcements that have been known for an hour or longer.
    pub fn forget_old(&mut self, now: Instant) {
        let is_kept = |l: &LeavingIncarnation| now.saturating_duration_since(l.since) < RETENTION;
        self.by_upstream.retain(|_, leaving| is_kept(leaving));
    }
}

impl LeavingReport {
    /// When the announcement arrived at the first router, on the clock of the router that receives the
    /// report at `now`.
    pub fn since(&self, now: Instant) -> Instant {
        let age = Duration::from_millis(self.age_ms.into());
        // A time before the start of this machine's clock cannot be represented. `now` has the same
        // effect: the upstream gets no new requests from now on.
        now.checked_sub(age).unwrap_or(now)
    }
}

/// Splits reports into messages of at most 256 reports each, so that each message fits into a datagram.
pub fn split_into_messages(reports: &[LeavingReport]) -> Vec<Vec<LeavingReport>> {
    reports.chunks(MAX_REPORTS).map(<[_]>::to_vec).collect()
}
