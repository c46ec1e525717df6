//! What is known against contents, and what follows.
//!
//! - **Question.** May a request be sent to an upstream, by what its content did before?
//! - **Inputs.** The ends of upstreams that ran the content, each with its [`Surroundings`]: this
//!   router's own and its peers'. That the content ran to its end somewhere.
//! - **Answer.** A [`Verdict`]; the reports that peers get.
//! - **Why.** Ends are counted by (upstream, its start), so that what two routers saw of one end is one,
//!   and sets of them merge in any order, repeated or late, to the same. What ended beside an end and that
//!   it is excused is only added, for the same reason. All routers that know the same ends judge alike.
//!
//! Three ends that nothing else explains stop a content: with one or two, requests that meet dying
//! engines would be stopped, and each one more costs an engine with all streams on it. An end counts
//! against each content that ran there: counted only against the one that had ended the most, several
//! contents that crash engines at the same time would each end more of them.
//!
//! Owns the ends and what was decided of each content.

mod record;

use crate::content::ContentKey;
use crate::weight::{Surroundings, Weight};
use record::Record;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

/// How long an end counts. While it does, a content that was stopped stays so; then it may end one
/// more upstream, which stops it again. So a request that is repeated for ever ends three upstreams
/// an hour at most; a content that was stopped wrongly waits an hour, or for the operator.
pub const CRASH_TTL: Duration = Duration::from_secs(3_600);
/// Contents that are kept; beyond it, those with the least against them are dropped. An end leaves one
/// for each request that ran there.
pub const MAX_CONTENTS: usize = 4_096;
/// Ends that are kept of one content: more than stop it.
pub const MAX_CRASHES: usize = 16;
/// What may be missing, in thousandths of an end, of the evidence that stops a content or makes it
/// suspect: the chance end of one more engine at the same moment must not cost another engine.
const ROUNDING: u32 = 500;
/// Ends from which on a content is kept apart from other requests, and reported to peers again.
pub const SUSPECT_FROM: u32 = 2;

/// Ends of upstreams that stop a content; 0 where none is to be stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashLimit(pub u32);

/// The start of an upstream that does not say when it was.
pub const UNKNOWN_START: u64 = 0;
/// Times of day of one upstream's end that differ by less, in milliseconds, are those of one end: observers
/// differ in what it took them to notice, and in their clocks.
pub const SAME_END_MS: u64 = 1_000;

/// What [`UpstreamEnd::start`] is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndsBy {
    /// The start that the upstream names, the same for all observers. An upstream may start again at once, so
    /// that any other number is another end.
    Start,
    /// An observer's time of day.
    TimeOfDay,
}

impl EndsBy {
    /// By how much the numbers of one end differ at most.
    fn tolerance_ms(self) -> u64 {
        match self {
            Self::Start => 0,
            Self::TimeOfDay => SAME_END_MS - 1,
        }
    }
}

/// The end of one start of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct UpstreamEnd {
    /// A hash of its name.
    pub upstream: u64,
    /// What distinguishes its ends, as a Unix time in milliseconds: when it had started; where it does
    /// not say, [`UNKNOWN_START`] if each start has a name of its own, else when it ended.
    pub start: u64,
}

/// An upstream ended while it ran a content.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Crash {
    /// Which.
    pub end: UpstreamEnd,
    /// When.
    pub at: Instant,
    /// How long the content had been there.
    pub ran_for: Duration,
    /// What was around it.
    pub surroundings: Surroundings,
    /// Whether the content ran to its end a moment before, or anywhere since.
    pub excused: bool,
}

/// What is known against a content.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    /// Ends that count, whatever they weigh.
    pub ends: usize,
    /// What they weigh together, in thousandths of an end that nothing else explains.
    pub thousandths: u32,
}

impl Evidence {
    /// Whether it amounts to this number of ends that nothing else explains, or more.
    pub fn is_ends(self, ends: u32) -> bool {
        self.thousandths + ROUNDING >= ends * Weight::FULL.thousandths()
    }
}

/// What may be done with a content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Little or nothing is known against it.
    Harmless,
    /// It may be what ended [`SUSPECT_FROM`] upstreams or more: it is sent where it harms least.
    Suspect,
    /// It ended too many: it is sent to no upstream.
    Stopped,
}

/// What a router reports to its peers of a content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContentReport {
    /// The content.
    pub content: ContentKey,
    /// The ends that are known.
    pub crashes: Vec<ReportedCrash>,
}

/// What a router reports to its peers of an end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedCrash {
    /// Which.
    pub end: UpstreamEnd,
    /// How long ago, in milliseconds.
    pub age_ms: u32,
    /// How long the content had been there, in milliseconds.
    pub ran_ms: u32,
    /// What was around it.
    pub surroundings: Surroundings,
    /// Whether the content ran to its end a moment before, or anywhere since.
    pub excused: bool,
}

impl ReportedCrash {
    /// The end as it is received now, `way` later than it was reported.
    fn received(&self, way: Duration, now: Instant) -> Crash {
        let age = Duration::from_millis(self.age_ms.into()) + way;
        Crash {
            end: self.end,
            // A moment before this machine's clock began is as good as its beginning.
            at: now.checked_sub(age).unwrap_or(now),
            ran_for: Duration::from_millis(self.ran_ms.into()),
            surroundings: self.surroundings.clone(),
            excused: self.excused,
        }
    }
}

/// Contents and the ends that are known of each.
#[derive(Clone, Debug)]
pub struct CrashBook {
    limit: CrashLimit,
    ends_by: EndsBy,
    records: HashMap<ContentKey, Record>,
    /// Contents that the operator has cleared: they are never stopped.
    cleared: HashSet<ContentKey>,
}

impl CrashBook {
    /// A book that knows nothing.
    pub fn new(limit: CrashLimit, ends_by: EndsBy) -> Self {
        Self {
            limit,
            ends_by,
            records: HashMap::new(),
            cleared: HashSet::new(),
        }
    }

    /// Sets what the operator wants.
    pub fn set_bounds(&mut self, limit: CrashLimit, cleared: HashSet<ContentKey>) {
        self.limit = limit;
        self.cleared = cleared;
    }

    /// Ends that stop a content.
    pub fn limit(&self) -> CrashLimit {
        self.limit
    }

    /// Whether the operator has cleared a content.
    pub fn is_cleared(&self, content: ContentKey) -> bool {
        self.cleared.contains(&content)
    }

    /// Whether nothing is known against any content.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Whether something is known against a content.
    pub fn knows(&self, content: ContentKey) -> bool {
        self.records.contains_key(&content)
    }

    /// Records an end; returns whether it is new.
    pub fn record(&mut self, content: ContentKey, crash: Crash, now: Instant) -> bool {
        self.forget_old(now);
        let is_new = self.add(content, crash);
        self.make_room(content, now);
        is_new
    }

    /// Adds what a peer reported; returns the contents of which something was new.
    pub fn merge(&mut self, reports: &[ContentReport], now: Instant) -> Vec<ContentKey> {
        self.forget_old(now);
        let mut changed = Vec::new();
        for report in reports {
            let mut is_new = false;
            let way = self.time_on_the_way(report, now);
            for reported in report.crashes.iter().take(MAX_CRASHES) {
                let crash = reported.received(way, now);
                let is_over = now.saturating_duration_since(crash.at) >= CRASH_TTL;
                is_new |= !is_over && self.add(report.content, crash);
            }
            if is_new {
                changed.push(report.content);
            }
            self.make_room(report.content, now);
        }
        changed
    }

    /// How much longer a report was on its way than those from which its ends are known; zero where none
    /// is. Its ends would else seem later than they are beside the known ones, and runs in turn would seem to
    /// have been under way at once.
    fn time_on_the_way(&self, report: &ContentReport, now: Instant) -> Duration {
        let Some(record) = self.records.get(&report.content) else {
            return Duration::ZERO;
        };
        let ways = report.crashes.iter().filter_map(|reported| {
            let known = record.ended_at(reported.end)?;
            let received = reported.received(Duration::ZERO, now);
            Some(received.at.saturating_duration_since(known))
        });
        ways.min().unwrap_or_default()
    }

    /// When an end was that is known of any content, as its first observer saw it. Times of day do not tell an
    /// upstream's end from its next one that closely.
    pub fn ended_at(&self, end: UpstreamEnd) -> Option<Instant> {
        if self.ends_by == EndsBy::TimeOfDay {
            return None;
        }
        let records = self.records.values();
        records.filter_map(|record| record.ended_at(end)).min()
    }

    fn add(&mut self, content: ContentKey, crash: Crash) -> bool {
        let record = self.records.entry(content);
        record
            .or_insert_with(|| Record::new(self.ends_by))
            .add(crash)
    }

    /// Records that a content ran to its end: what ended while it ran did not end by it. Returns
    /// whether that changes what is known.
    pub fn on_completed(&mut self, content: ContentKey) -> bool {
        let record = self.records.get_mut(&content);
        record.is_some_and(Record::excuse)
    }

    /// What may be done with a content.
    pub fn verdict(&self, content: ContentKey, now: Instant) -> Verdict {
        let evidence = self.evidence_with(content, [], now);
        let CrashLimit(limit) = self.limit;
        if limit > 0 && evidence.is_ends(limit) && !self.is_cleared(content) {
            Verdict::Stopped
        } else if evidence.is_ends(SUSPECT_FROM) {
            Verdict::Suspect
        } else {
            Verdict::Harmless
        }
    }

    /// What is known against a content, in thousandths of an end that nothing else explains.
    pub fn evidence(&self, content: ContentKey, now: Instant) -> u32 {
        self.evidence_with(content, [], now).thousandths
    }

    /// What would be known against a content if these were ends under it, too.
    pub fn evidence_with(
        &self,
        content: ContentKey,
        crashes: impl IntoIterator<Item = Crash>,
        now: Instant,
    ) -> Evidence {
        let mut crashes = crashes.into_iter().peekable();
        let known = self.records.get(&content);
        if crashes.peek().is_none() {
            return known.map_or(Evidence::default(), |record| record.evidence(now));
        }
        let mut record = known.cloned().unwrap_or_else(|| Record::new(self.ends_by));
        for crash in crashes {
            record.add(crash);
        }
        record.evidence(now)
    }

    /// The longest time for which an upstream had run a content when it ended; zero where none did.
    pub fn longest_run(&self, content: ContentKey, now: Instant) -> Duration {
        let record = self.records.get(&content);
        record.map_or(Duration::ZERO, |record| record.longest_run(now))
    }

    /// Number of ends that are known of a content and count, whatever they weigh.
    pub fn crashes(&self, content: ContentKey, now: Instant) -> usize {
        self.evidence_with(content, [], now).ends
    }

    /// The contents of which the verdict has become [`Verdict::Stopped`], or is no longer, since this
    /// was asked last.
    pub fn changed_stops(&mut self, now: Instant) -> ChangedStops {
        let stopped: HashSet<ContentKey> = self.stopped(now).into_iter().collect();
        let mut changed = ChangedStops::default();
        for (content, record) in &mut self.records {
            let is_stopped = stopped.contains(content);
            match (record.was_stopped, is_stopped) {
                (false, true) => changed.stopped.push(*content),
                (true, false) => changed.lifted.push(*content),
                _ => {}
            }
            record.was_stopped = is_stopped;
        }
        changed
    }

    /// The contents that are stopped.
    pub fn stopped(&self, now: Instant) -> Vec<ContentKey> {
        self.with_verdict(now, |verdict| verdict == Verdict::Stopped)
    }

    /// The contents against which at least so much is known, in thousandths of an end that nothing else
    /// explains.
    pub fn with_evidence(&self, least: u32, now: Instant) -> Vec<ContentKey> {
        let contents = self.records.keys().copied();
        contents
            .filter(|content| self.evidence(*content, now) >= least)
            .collect()
    }

    /// The contents that are suspect or stopped: few, and what peers should know.
    pub fn suspects(&self, now: Instant) -> Vec<ContentKey> {
        self.with_verdict(now, |verdict| verdict != Verdict::Harmless)
    }

    fn with_verdict(&self, now: Instant, is_wanted: impl Fn(Verdict) -> bool) -> Vec<ContentKey> {
        let contents = self.records.iter();
        let struck = contents.filter(|(_, r)| r.count(now) >= SUSPECT_FROM as usize);
        let keys = struck.map(|(content, _)| *content);
        keys.filter(|content| is_wanted(self.verdict(*content, now)))
            .collect()
    }

    /// What is reported to peers of contents.
    pub fn reports(&self, contents: &[ContentKey], now: Instant) -> Vec<ContentReport> {
        let known = contents.iter().filter_map(|content| {
            let record = self.records.get(content)?;
            Some(ContentReport {
                content: *content,
                crashes: record.reported(now),
            })
        });
        known.filter(|report| !report.crashes.is_empty()).collect()
    }

    fn forget_old(&mut self, now: Instant) {
        self.records.retain(|_, record| record.forget_old(now));
    }

    /// Keeps to [`MAX_CONTENTS`]; the newest content stays.
    fn make_room(&mut self, newest: ContentKey, now: Instant) {
        if self.records.len() <= MAX_CONTENTS {
            return;
        }
        let others = self
            .records
            .iter()
            .filter(|(content, _)| **content != newest);
        let least = others.min_by_key(|(_, record)| (record.count(now), record.latest()));
        if let Some(content) = least.map(|(content, _)| *content) {
            self.records.remove(&content);
        }
    }
}

/// Contents whose verdict has changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChangedStops {
    /// Those that are stopped now.
    pub stopped: Vec<ContentKey>,
    /// Those that no longer are.
    pub lifted: Vec<ContentKey>,
}
