//! What this router saw since it knows an order.
//!
//! Counts attempts, failures and times at either version, for each stage, and makes the reports that
//! peers add up. Owns these counts, the times that are being measured, and the broken attempts that
//! wait for a sign of life of their upstream. Relies on being informed of each attempt once.

use super::{
    AnswerCounts, Arm, Evidence, EvidenceKey, EvidenceReport, Measure, RouteKey, SentCounts,
};
use crate::attempt_failure::AttemptFailure;
use crate::rollout::versions::group_of;
use crate::rollout::{OrderId, Stage};
use crate::upstream::StartNumber;
use cloverpier_core::UpstreamName;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// A broken attempt is remembered this long for an answer that shows that its upstream lives.
const BROKEN_KEPT_FOR: Duration = Duration::from_secs(4);
/// Entries of one report at most. An entry holds up to 60 sizes of times, so that 18 of them take
/// 5 kB at most (worked out), of the 8 kB that a datagram may have.
const MAX_ENTRIES: usize = 18;

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
        let key = observed.key(measure);
        // It is reported from now on, so that what is awaited is known to be over, too.
        self.counts.entry(key).or_default();
        self.open.insert(id, (key, now));
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

    /// All of it, for the routers that decide, in as many reports as it takes.
    pub fn reports(
        &self,
        order: OrderId,
        stage: Stage,
        former_in_flight: u32,
        now: Instant,
    ) -> Vec<EvidenceReport> {
        let mut counts = self.counts.clone();
        for (key, since) in self.open.values() {
            let awaited = &mut counts.entry(*key).or_default().awaited;
            awaited.add(now.saturating_duration_since(*since));
        }
        let entries: Vec<(EvidenceKey, AnswerCounts)> = counts.into_iter().collect();
        let report = |entries: &[(EvidenceKey, AnswerCounts)]| EvidenceReport {
            order,
            stage,
            former_in_flight,
            sent: self.sent,
            entries: entries.to_vec(),
        };
        if entries.is_empty() {
            return vec![report(&[])];
        }
        entries.chunks(MAX_ENTRIES).map(report).collect()
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
        | AttemptFailure::RequestIdMismatch
        | AttemptFailure::Unsigned
        | AttemptFailure::ContentEncoded
        | AttemptFailure::EndedInsideEvent
        | AttemptFailure::EventTooLong
        | AttemptFailure::Stalled => FailureWeight::Bad,
        AttemptFailure::BrokenBeforeResponse { .. }
        | AttemptFailure::ResponseBroken { .. }
        | AttemptFailure::ErrorResponseBroken { .. }
        | AttemptFailure::StreamBroken { .. }
        | AttemptFailure::DeadlinePassedSent => FailureWeight::BadIfAlive,
        AttemptFailure::NotConnected { .. }
        | AttemptFailure::InvalidMessage { .. }
        | AttemptFailure::Misdirected
        | AttemptFailure::NoCurrentUpstream
        | AttemptFailure::UpstreamDead
        | AttemptFailure::Stopped
        | AttemptFailure::DeadlinePassedUnsent => FailureWeight::Nothing,
    }
}
