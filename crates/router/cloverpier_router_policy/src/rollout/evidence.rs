//! How attempts went at the new version and at those before.
//!
//! [`OwnEvidence`] counts what this router saw, [`FleetEvidence`] adds up what all routers report.
//! What counts as a bad answer: a failure of the upstream's own, a refusal, an answer that does not
//! count or does not progress, and one that took several times as long as others on its route. An
//! upstream that dies says nothing of its version: an attempt that broke counts only once the
//! same start of the upstream has answered again.
//!
//! Both versions are measured over the same time and the same routes by the same rule, so a burst,
//! a slow store or upstreams' ordinary failures weigh on both.

use super::times::TimeCounts;
use super::versions::group_of;
use super::{OrderId, Stage};
use crate::attempt_failure::AttemptFailure;
use crate::upstream::StartNumber;
use cloverpier_core::{UpstreamName, hash_of};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// A broken attempt is remembered this long for an answer that shows that its upstream lives.
/// Chosen, not measured.
const BROKEN_KEPT_FOR: Duration = Duration::from_secs(4);
/// The spans over which answers are judged besides all since the order: their number.  Chosen, not
/// measured.
const MAX_WINDOWS: usize = 4;
/// By how much each begins later.  Chosen, not measured.
const WINDOW_STEP: Duration = Duration::from_millis(1_000);
/// Entries of one report at most.  Chosen, not measured.
const MAX_ENTRIES: usize = 64;

/// A route's name as a hash of eight bytes, for messages between routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RouteKey(pub u64);

impl RouteKey {
    /// The key of a route's name.
    pub fn of(name: &str) -> Self {
        Self(hash_of(name))
    }
}

/// At which version an answer was observed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Arm {
    /// At one before the new one.
    Former,
    /// At the new one, by the group of its upstream.
    Target(u8),
}

/// What is measured of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Measure {
    /// From sending to the whole answer, or to a stream's first event.
    Answer,
    /// A stream's first events after the first one, together.
    Pace,
}

/// What the counts of an entry are about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EvidenceKey {
    /// The route.
    pub route: RouteKey,
    /// What was measured.
    pub measure: Measure,
    /// The version.
    pub arm: Arm,
}

/// Counts since the order became known.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerCounts {
    /// Answers that were failures.
    pub failed: u32,
    /// Times of the others.
    pub times: TimeCounts,
    /// How long those that have not come are awaited.
    pub awaited: TimeCounts,
}

impl AnswerCounts {
    fn add(&mut self, other: &Self) {
        self.failed = self.failed.saturating_add(other.failed);
        self.times.add_all(&other.times);
        self.awaited.add_all(&other.awaited);
    }

    fn since(&self, former: &Self) -> Self {
        Self {
            failed: self.failed.saturating_sub(former.failed),
            times: self.times.since(&former.times),
            awaited: self.awaited.clone(),
        }
    }
}

/// Attempts that were sent since the order became known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SentCounts {
    /// To versions before the new one.
    pub former: u32,
    /// To the new one.
    pub target: u32,
}

/// All that one router has counted for an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceReport {
    /// The order.
    pub order: OrderId,
    /// The stage by which the router acts.
    pub stage: Stage,
    /// Requests of its own at versions before the new one.
    pub former_in_flight: u32,
    /// Attempts.
    pub sent: SentCounts,
    /// Answers.
    pub entries: Vec<(EvidenceKey, AnswerCounts)>,
}

/// Answers of all routers.
pub type Evidence = BTreeMap<EvidenceKey, AnswerCounts>;

/// Identifies a time that is being measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct OpenId(u64);

/// An attempt that broke, at an upstream that may have died.
#[derive(Clone, Debug)]
struct Broken {
    upstream: UpstreamName,
    start: StartNumber,
    key: EvidenceKey,
    at: Instant,
}

/// An upstream at which an answer is observed.
#[derive(Clone, Copy, Debug)]
pub struct Observed<'a> {
    /// Its name.
    pub upstream: &'a UpstreamName,
    /// Its start.
    pub start: StartNumber,
    /// Whether it is of the new version.
    pub is_target: bool,
    /// The route of the request.
    pub route: RouteKey,
}

impl Observed<'_> {
    fn key(&self, measure: Measure) -> EvidenceKey {
        let arm = if self.is_target {
            Arm::Target(group_of(self.upstream.as_str()))
        } else {
            Arm::Former
        };
        EvidenceKey {
            route: self.route,
            measure,
            arm,
        }
    }
}

/// What this router saw since it knows an order.
#[derive(Clone, Debug, Default)]
pub struct OwnEvidence {
    counts: Evidence,
    broken: Vec<Broken>,
    sent: SentCounts,
    open: BTreeMap<OpenId, (EvidenceKey, Instant)>,
    next_open: u64,
}

impl OwnEvidence {
    /// Records that an attempt is sent.
    pub fn on_sent(&mut self, is_target: bool) {
        let sent = if is_target {
            &mut self.sent.target
        } else {
            &mut self.sent.former
        };
        *sent = sent.saturating_add(1);
    }

    /// Begins to measure a time.
    pub fn begin(&mut self, observed: Observed<'_>, measure: Measure, now: Instant) -> OpenId {
        let id = OpenId(self.next_open);
        self.next_open += 1;
        self.open.insert(id, (observed.key(measure), now));
        id
    }

    /// Records that what was measured ended well.
    pub fn on_answer(&mut self, id: OpenId, observed: Observed<'_>, now: Instant) {
        let Some((key, since)) = self.open.remove(&id) else {
            return;
        };
        let took = now.saturating_duration_since(since);
        self.counts.entry(key).or_default().times.add(took);
        self.on_sign_of_life(observed, now);
    }

    /// Records that what was measured ended without an answer: the caller left, the attempt
    /// failed, or the run was moved.
    pub fn on_end(&mut self, id: OpenId) {
        self.open.remove(&id);
    }

    /// Records an attempt that failed.
    pub fn on_failure(&mut self, observed: Observed<'_>, failure: &AttemptFailure, now: Instant) {
        let key = observed.key(Measure::Answer);
        match weight_of(failure) {
            FailureWeight::Bad => {
                self.count_failure(key);
                self.on_sign_of_life(observed, now);
            }
            FailureWeight::BadIfAlive => self.broken.push(Broken {
                upstream: observed.upstream.clone(),
                start: observed.start,
                key,
                at: now,
            }),
            FailureWeight::Nothing => {}
        }
    }

    /// Attempts that broke at an upstream that lives were bad answers.
    fn on_sign_of_life(&mut self, observed: Observed<'_>, now: Instant) {
        let is_recent = |b: &Broken| now.saturating_duration_since(b.at) <= BROKEN_KEPT_FOR;
        self.broken.retain(is_recent);
        let is_its = |b: &Broken| b.upstream == *observed.upstream && b.start == observed.start;
        let broken = std::mem::take(&mut self.broken);
        let (alive, rest): (Vec<_>, Vec<_>) = broken.into_iter().partition(is_its);
        self.broken = rest;
        for broken in alive {
            self.count_failure(broken.key);
        }
    }

    fn count_failure(&mut self, key: EvidenceKey) {
        self.counts.entry(key).or_default().failed += 1;
    }

    /// All of it, for the routers that decide; of very many routes those with the most failures
    /// and times.
    pub fn report(
        &self,
        order: OrderId,
        stage: Stage,
        former_in_flight: u32,
        now: Instant,
    ) -> EvidenceReport {
        let mut entries = self.counts.clone();
        for (key, since) in self.open.values() {
            let awaited = &mut entries.entry(*key).or_default().awaited;
            awaited.add(now.saturating_duration_since(*since));
        }
        let mut entries: Vec<(EvidenceKey, AnswerCounts)> = entries.into_iter().collect();
        entries.sort_by_key(|(_, c)| std::cmp::Reverse(c.failed + c.times.total()));
        entries.truncate(MAX_ENTRIES);
        EvidenceReport {
            order,
            stage,
            former_in_flight,
            sent: self.sent,
            entries,
        }
    }
}

/// What a failed attempt says of the upstream's version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FailureWeight {
    /// The upstream gave a bad answer.
    Bad,
    /// It did, or it died.
    BadIfAlive,
    /// Nothing.
    Nothing,
}

fn weight_of(failure: &AttemptFailure) -> FailureWeight {
    match failure {
        AttemptFailure::UpstreamError { .. }
        | AttemptFailure::NotRun { .. }
        | AttemptFailure::OtherRequest
        | AttemptFailure::Unsigned
        | AttemptFailure::Encoded
        | AttemptFailure::EndedInsideEvent
        | AttemptFailure::EventTooLong
        | AttemptFailure::Stalled => FailureWeight::Bad,
        AttemptFailure::SendBroke { .. }
        | AttemptFailure::AnswerBroke { .. }
        | AttemptFailure::FailureBroke { .. }
        | AttemptFailure::StreamBroke { .. }
        | AttemptFailure::LateSent => FailureWeight::BadIfAlive,
        AttemptFailure::NotConnected { .. }
        | AttemptFailure::NotWritten { .. }
        | AttemptFailure::Misdirected
        | AttemptFailure::NoSource
        | AttemptFailure::UpstreamDead
        | AttemptFailure::LateUnsent => FailureWeight::Nothing,
    }
}

/// What all routers report of one order.
#[derive(Clone, Debug, Default)]
pub struct FleetEvidence {
    by_router: HashMap<SocketAddr, EvidenceReport>,
    /// All answers as they were, the oldest first.
    former_totals: VecDeque<(Instant, Evidence)>,
}

impl FleetEvidence {
    /// Replaces what a router reported before. Counts only grow in a router's life; a router that
    /// has started again reports fewer, and what it said before is lost.
    pub fn on_report(&mut self, router: SocketAddr, report: EvidenceReport) {
        self.by_router.insert(router, report);
    }

    /// All answers since the order.
    pub fn total(&self) -> Evidence {
        let mut total = Evidence::new();
        for (key, counts) in self.by_router.values().flat_map(|r| &r.entries) {
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

    /// Whether a router has reported that it acts by a stage and has nothing in flight at the
    /// former versions.
    pub fn has_left_former(&self, router: &SocketAddr, stage: Stage) -> bool {
        let report = self.by_router.get(router);
        report.is_some_and(|r| r.stage >= stage && r.former_in_flight == 0)
    }
}
