//! Registry of upstream crashes by request content, and the decision whether a content is blocked.
//!
//! Each [`Crash`] is recorded for every content that the upstream was executing, with the [`CrashContext`] from
//! which its weight is computed. The crashes come from this router's own observations and from the reports of
//! its peers. A request that completes at any upstream shows that its content did not cause the crashes
//! recorded so far. The results are the [`ContentStatus`] of a content and the reports to peers.
//!
//! - **Merging.** A crash is identified by a [`CrashId`], so that two routers' observations of a crash are
//!   counted once, and sets of crashes merge to the same result in any order, repeated or late. For the same
//!   reason, concurrent failures and the mark that a crash is disregarded are only added, never removed. Routers
//!   that have the same crashes derive the same status.
//! - **Threshold.** By default, three crashes of full weight block a content. With one or two, requests that
//!   happen to run at failing engines would be blocked; each further crash costs an engine with all its streams.
//! - **Chance.** In a service with few upstreams that each execute many requests, more crashes are needed: some request
//!   is at each of three crashes though it caused none of them ([`chance`]).
//! - **Attribution.** A crash counts against each content that the upstream was executing. If a crash counted
//!   only against the content with the most crashes, several contents that crash engines at the same time would
//!   each crash more engines before they are blocked.
//!
//! Owns the recorded crashes, and which contents were blocked when this was last reported. Relies on
//! [`crate::weight`] for the weights.

mod chance;
mod record;

use crate::content::ContentKey;
use crate::weight::{CrashContext, Weight};
use chance::{Exposure, MAX_CRASHES_BEYOND_LIMIT};
use record::ContentRecord;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

/// How long a crash counts as evidence against a request content. With the default limit of three crashes, a blocked
/// content is sent again once the first crash expires, and may crash one more upstream, which blocks it again. So a
/// request that is repeated without end crashes at most three upstreams per hour, and a content that is blocked by
/// mistake stays blocked for an hour at most, or until the operator clears the content.
pub const CRASH_TTL: Duration = Duration::from_secs(3_600);
/// Maximum number of request contents in a [`CrashRegistry`]; beyond it, the content with the fewest counted crashes
/// is evicted. One crash adds a content for each request that the upstream was executing.
pub const MAX_CONTENTS: usize = 4_096;
/// Maximum number of crashes that are kept for one request content. The settings accept no higher [`CrashLimit`].
pub const MAX_CRASHES_PER_CONTENT: usize = 16;
/// By how much the evidence against a request content may fall short of a threshold and still reach the threshold, in
/// thousandths of a crash of full weight. Without this tolerance, the unrelated failure of one more engine at the time
/// of a crash would lower the evidence below the threshold, and the content would crash another engine before it is
/// blocked.
const THRESHOLD_TOLERANCE: u32 = 500;
/// Number of crashes of full weight from which on a request content is suspect: its requests are isolated from other
/// requests, and its crashes are sent to peers repeatedly.
pub const SUSPECT_THRESHOLD: u32 = 2;

/// Number of upstream crashes of full weight that block a request content, set by the operator; 0 disables blocking.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashLimit(pub u32);

/// [`CrashId::time_ms`] of an upstream that does not report when its process started.
pub const UNKNOWN_START_TIME: u64 = 0;
/// With [`CrashTimestamp::ObservedCrash`], two times of an upstream's crash that differ by less than this many
/// milliseconds belong to the same crash: routers differ in how fast they notice a crash, and in their clocks.
pub const CRASH_TIME_TOLERANCE_MS: u64 = 1_000;

/// Which time [`CrashId::time_ms`] holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashTimestamp {
    /// The start time of the process that crashed, as reported by the upstream, so that all routers have the same
    /// number. A different number is another crash, as an upstream may restart within milliseconds.
    ProcessStart,
    /// The wall clock time at which a router observed the crash.
    ObservedCrash,
}

impl CrashTimestamp {
    /// Maximum difference between the times that two routers have for the same crash.
    fn tolerance_ms(self) -> u64 {
        match self {
            Self::ProcessStart => 0,
            Self::ObservedCrash => CRASH_TIME_TOLERANCE_MS - 1,
        }
    }
}

/// Identity of an upstream's crash, by which observations of one crash by several routers are merged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CrashId {
    /// Hash of the upstream's name.
    pub upstream: u64,
    /// Unix time in milliseconds that distinguishes crashes of the same upstream: with
    /// [`CrashTimestamp::ProcessStart`] the start of the process that crashed, or [`UNKNOWN_START_TIME`] if the
    /// upstream does not report the start (then each process has an upstream name of its own); with
    /// [`CrashTimestamp::ObservedCrash`] the time of the crash.
    #[serde(rename = "start")]
    pub time_ms: u64,
}

/// The crash of an upstream during the execution of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Crash {
    /// Identity of the crash.
    pub id: CrashId,
    /// Time of the crash.
    pub at: Instant,
    /// Time from the sending of the request to the crash.
    pub ran_for: Duration,
    /// The other upstreams of the service at the time of the crash.
    pub context: CrashContext,
    /// Whether the crash is no evidence against the request content, as a request with this content completed shortly
    /// before the crash, or at any upstream afterwards.
    pub is_disregarded: bool,
}

/// The upstream crashes that count against a request content, taken together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    /// Number of crashes that count, whatever their weight.
    pub crash_count: usize,
    /// Sum of the weights of these crashes, in thousandths of [`Weight::FULL`].
    pub thousandths: u32,
}

impl Evidence {
    /// Whether the sum of the weights amounts to `full_crashes` crashes of full weight, or falls short of that by at
    /// most half a crash.
    pub fn reaches(self, full_crashes: u32) -> bool {
        self.thousandths + THRESHOLD_TOLERANCE >= full_crashes * Weight::FULL.thousandths()
    }
}

/// Whether requests with a certain content may be sent, by the upstream crashes recorded for the content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ContentStatus {
    /// The evidence is below [`SUSPECT_THRESHOLD`]: requests are sent like any other.
    Normal,
    /// The evidence reaches [`SUSPECT_THRESHOLD`]: requests are sent where a crash interrupts the fewest others.
    Suspect,
    /// The evidence reaches the [`CrashLimit`]: requests are sent to no upstream.
    Blocked,
}

/// The upstream crashes recorded for one request content, as a router reports them to its peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContentReport {
    /// Key of the request content that the upstreams were executing.
    pub content: ContentKey,
    /// The crashes that the router has recorded for the content and that have not expired, including disregarded ones.
    pub crashes: Vec<ReportedCrash>,
}

/// A [`Crash`] as a router reports it to its peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedCrash {
    /// Identity of the crash.
    #[serde(rename = "end")]
    pub id: CrashId,
    /// Time since the crash when the report was sent, in milliseconds.
    pub age_ms: u32,
    /// Time from the sending of the request to the crash, in milliseconds.
    pub ran_ms: u32,
    /// The other upstreams of the service at the time of the crash.
    #[serde(rename = "surroundings")]
    pub context: CrashContext,
    /// Whether the crash is no evidence against the request content; see [`Crash::is_disregarded`].
    #[serde(rename = "excused")]
    pub is_disregarded: bool,
}

impl ReportedCrash {
    /// Converts a report that is received at `now`, `transit_time` after its peer sent it.
    fn received(&self, transit_time: Duration, now: Instant) -> Crash {
        let age = Duration::from_millis(self.age_ms.into()) + transit_time;
        Crash {
            id: self.id,
            // A time before the earliest `Instant` of this machine is replaced by the present time.
            at: now.checked_sub(age).unwrap_or(now),
            ran_for: Duration::from_millis(self.ran_ms.into()),
            context: self.context.clone(),
            is_disregarded: self.is_disregarded,
        }
    }
}

/// The upstream crashes recorded for each request content, and the status of each content that follows from them.
#[derive(Clone, Debug)]
pub struct CrashRegistry {
    limit: CrashLimit,
    timestamp: CrashTimestamp,
    records: HashMap<ContentKey, ContentRecord>,
    /// Request contents that the operator has cleared: they are never blocked.
    cleared: HashSet<ContentKey>,
}

impl CrashRegistry {
    /// Creates a registry without any crashes.
    pub fn new(limit: CrashLimit, timestamp: CrashTimestamp) -> Self {
        Self {
            limit,
            timestamp,
            records: HashMap::new(),
            cleared: HashSet::new(),
        }
    }

    /// Applies the operator's settings: the limit from which on request contents are blocked, and the contents that
    /// are never blocked. `cleared` replaces the set that was passed before.
    pub fn configure(&mut self, limit: CrashLimit, cleared: HashSet<ContentKey>) {
        self.limit = limit;
        self.cleared = cleared;
    }

    /// Number of crashes of full weight that block a request content; 0 if blocking is disabled.
    pub fn limit(&self) -> CrashLimit {
        self.limit
    }

    /// Whether the operator has cleared a request content, so that the content is never blocked.
    pub fn is_cleared(&self, content: ContentKey) -> bool {
        self.cleared.contains(&content)
    }

    /// Whether no crash is recorded for any content, disregarded crashes included.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Whether a crash is recorded for a request content, disregarded crashes included.
    pub fn contains(&self, content: ContentKey) -> bool {
        self.records.contains_key(&content)
    }

    /// Records a crash that this router observed. Returns whether the crash is new, or adds information to an
    /// earlier observation of the same crash.
    pub fn record(&mut self, content: ContentKey, crash: Crash, now: Instant) -> bool {
        self.remove_expired(now);
        let is_new = self.add(content, crash);
        self.evict_excess(content, now);
        is_new
    }

    /// Merges the reports of a peer. Returns the contents for which a report added crashes or information.
    pub fn merge(&mut self, reports: &[ContentReport], now: Instant) -> Vec<ContentKey> {
        self.remove_expired(now);
        let mut changed = Vec::new();
        for report in reports {
            let mut is_new = false;
            let transit_time = self.extra_transit_time(report, now);
            for reported in report.crashes.iter().take(MAX_CRASHES_PER_CONTENT) {
                let crash = reported.received(transit_time, now);
                let is_expired = now.saturating_duration_since(crash.at) >= CRASH_TTL;
                is_new |= !is_expired && self.add(report.content, crash);
            }
            if is_new {
                changed.push(report.content);
            }
            self.evict_excess(report.content, now);
        }
        changed
    }

    /// How much longer a report was in transit than the reports by which its crashes are already known; zero if
    /// none of them is known.
    ///
    /// Without this correction, the new crashes of a delayed report would appear later relative to the known ones,
    /// and sequential executions would appear to overlap.
    fn extra_transit_time(&self, report: &ContentReport, now: Instant) -> Duration {
        let Some(record) = self.records.get(&report.content) else {
            return Duration::ZERO;
        };
        let delays = report.crashes.iter().filter_map(|reported| {
            let recorded_at = record.crash_time(reported.id)?;
            let received = reported.received(Duration::ZERO, now);
            Some(received.at.saturating_duration_since(recorded_at))
        });
        delays.min().unwrap_or_default()
    }

    /// The earliest time at which a router observed a crash, as recorded for any content; `None` if no content
    /// has the crash.
    ///
    /// Also `None` with [`CrashTimestamp::ObservedCrash`]: wall clock times are not exact enough to distinguish a
    /// crash of an upstream from the next one shortly after.
    pub fn crash_time(&self, crash: CrashId) -> Option<Instant> {
        if self.timestamp == CrashTimestamp::ObservedCrash {
            return None;
        }
        let records = self.records.values();
        records.filter_map(|record| record.crash_time(crash)).min()
    }

    fn add(&mut self, content: ContentKey, crash: Crash) -> bool {
        let record = self.records.entry(content);
        record
            .or_insert_with(|| ContentRecord::new(self.timestamp))
            .add(crash)
    }

    /// Records that a request with a content completed. The crashes recorded for the content so far are disregarded,
    /// as the completion shows that the content did not cause them. Returns whether this changed any crash.
    pub fn on_completed(&mut self, content: ContentKey) -> bool {
        let record = self.records.get_mut(&content);
        record.is_some_and(ContentRecord::disregard_all)
    }

    /// Whether requests with a content may be sent, by the recorded crashes and the operator's settings.
    pub fn status(&self, content: ContentKey, now: Instant) -> ContentStatus {
        let evidence = self.evidence_with(content, [], now);
        if self.is_conclusive(content, evidence, now) && !self.is_cleared(content) {
            ContentStatus::Blocked
        } else if evidence.reaches(SUSPECT_THRESHOLD) {
            ContentStatus::Suspect
        } else {
            ContentStatus::Normal
        }
    }

    /// Whether the evidence against a content reaches the limit and is not due to chance.
    fn is_conclusive(&self, content: ContentKey, evidence: Evidence, now: Instant) -> bool {
        let CrashLimit(limit) = self.limit;
        if limit == 0 || !evidence.reaches(limit) {
            return false;
        }
        evidence.reaches(limit + MAX_CRASHES_BEYOND_LIMIT)
            || !self.exposure(content, now).explains(evidence)
    }

    /// The conditions under which a content has the crashes that count.
    fn exposure(&self, content: ContentKey, now: Instant) -> Exposure {
        let first = self.records.get(&content).and_then(|r| r.first_crash(now));
        let contents = first.map_or(0, |(id, _)| {
            let records = self.records.values();
            records.filter(|r| r.crash_time(id).is_some()).count()
        });
        Exposure {
            contents,
            upstreams: first.map_or(0, |(_, context)| context.others_in_service + 1),
        }
    }

    /// Sum of the weights of the crashes that count against a content, in thousandths of [`Weight::FULL`].
    pub fn evidence_thousandths(&self, content: ContentKey, now: Instant) -> u32 {
        self.evidence_with(content, [], now).thousandths
    }

    /// The evidence against a content, with `crashes` added to the recorded crashes. Records nothing.
    pub fn evidence_with(
        &self,
        content: ContentKey,
        crashes: impl IntoIterator<Item = Crash>,
        now: Instant,
    ) -> Evidence {
        let mut crashes = crashes.into_iter().peekable();
        let recorded = self.records.get(&content);
        if crashes.peek().is_none() {
            return recorded.map_or(Evidence::default(), |record| record.evidence(now));
        }
        let mut record = recorded
            .cloned()
            .unwrap_or_else(|| ContentRecord::new(self.timestamp));
        for crash in crashes {
            record.add(crash);
        }
        record.evidence(now)
    }

    /// The longest time for which an upstream had a request with the content before the upstream crashed, among
    /// the crashes that count; zero without such a crash.
    pub fn longest_execution(&self, content: ContentKey, now: Instant) -> Duration {
        let record = self.records.get(&content);
        record.map_or(Duration::ZERO, |record| record.longest_execution(now))
    }

    /// Number of crashes that count against a content, whatever their weight.
    pub fn crash_count(&self, content: ContentKey, now: Instant) -> usize {
        self.evidence_with(content, [], now).crash_count
    }

    /// Returns the contents that were blocked or unblocked since the last call.
    pub fn take_block_changes(&mut self, now: Instant) -> BlockChanges {
        let blocked: HashSet<ContentKey> = self.blocked(now).into_iter().collect();
        let mut changed = BlockChanges::default();
        for (content, record) in &mut self.records {
            let is_blocked = blocked.contains(content);
            match (record.was_blocked, is_blocked) {
                (false, true) => changed.blocked.push(*content),
                (true, false) => changed.unblocked.push(*content),
                _ => {}
            }
            record.was_blocked = is_blocked;
        }
        changed
    }

    /// The contents whose status is [`ContentStatus::Blocked`].
    pub fn blocked(&self, now: Instant) -> Vec<ContentKey> {
        self.with_status(now, |status| status == ContentStatus::Blocked)
    }

    /// The request contents against which the evidence is at least `min_thousandths`, in thousandths of
    /// [`Weight::FULL`].
    pub fn contents_with_evidence(&self, min_thousandths: u32, now: Instant) -> Vec<ContentKey> {
        let contents = self.records.keys().copied();
        contents
            .filter(|content| self.evidence_thousandths(*content, now) >= min_thousandths)
            .collect()
    }

    /// The contents whose status is [`ContentStatus::Suspect`] or [`ContentStatus::Blocked`]. Routers send only
    /// these to peers repeatedly.
    pub fn suspect_or_blocked(&self, now: Instant) -> Vec<ContentKey> {
        self.with_status(now, |status| status != ContentStatus::Normal)
    }

    fn with_status(
        &self,
        now: Instant,
        is_wanted: impl Fn(ContentStatus) -> bool,
    ) -> Vec<ContentKey> {
        let contents = self.records.iter();
        // A content with fewer crashes is not suspect, as no crash weighs more than a full one.
        let candidates = contents.filter(|(_, r)| r.count(now) >= SUSPECT_THRESHOLD as usize);
        let keys = candidates.map(|(content, _)| *content);
        keys.filter(|content| is_wanted(self.status(*content, now)))
            .collect()
    }

    /// Builds the reports on some contents for peers; a content without a recorded crash is left out.
    pub fn reports(&self, contents: &[ContentKey], now: Instant) -> Vec<ContentReport> {
        let reports = contents.iter().filter_map(|content| {
            let record = self.records.get(content)?;
            Some(ContentReport {
                content: *content,
                crashes: record.to_reports(now),
            })
        });
        reports
            .filter(|report| !report.crashes.is_empty())
            .collect()
    }

    fn remove_expired(&mut self, now: Instant) {
        self.records.retain(|_, record| record.remove_expired(now));
    }

    /// Evicts the content with the fewest counted crashes, and of these the one whose latest crash is the oldest,
    /// if there are more than [`MAX_CONTENTS`]. `newest`, the content added last, is not evicted.
    fn evict_excess(&mut self, newest: ContentKey, now: Instant) {
        if self.records.len() <= MAX_CONTENTS {
            return;
        }
        let others = self
            .records
            .iter()
            .filter(|(content, _)| **content != newest);
        let least = others.min_by_key(|(_, record)| (record.count(now), record.latest_crash()));
        if let Some(content) = least.map(|(content, _)| *content) {
            self.records.remove(&content);
        }
    }
}

/// Request contents that were blocked or unblocked between two calls of [`CrashRegistry::take_block_changes`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BlockChanges {
    /// Contents that are now blocked.
    pub blocked: Vec<ContentKey>,
    /// Contents that are no longer blocked.
    pub unblocked: Vec<ContentKey>,
}
