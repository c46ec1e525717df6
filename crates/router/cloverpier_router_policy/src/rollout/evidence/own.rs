//! The results of attempts at this router since an order arrived there.
//!
//! Counts attempts, failures and response times at either version, and makes the reports that the
//! deciding routers add up. Owns these counts, the running measurements, and the broken attempts
//! whose upstream may have crashed. Relies on its caller to record each attempt once.

use super::{
    Arm, Evidence, EvidenceKey, EvidenceReport, Measure, ResponseCounts, RouteKey, SentCounts,
};
use crate::attempt_failure::AttemptFailure;
use crate::rollout::versions::group_of;
use crate::rollout::{OrderId, Stage};
use crate::upstream::IncarnationNumber;
use cloverpier_core::UpstreamName;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// How long a broken attempt is kept for a response that proves that its upstream did not crash.
const BROKEN_ATTEMPT_TTL: Duration = Duration::from_secs(4);
/// Entries of one report at most. An entry has up to 60 buckets of times, so that 18 entries take at
/// most 5 kB (computed) of the 8 kB of a datagram.
const MAX_REPORT_ENTRIES: usize = 18;

/// Identifies a running measurement of this router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct MeasurementId(u64);

/// An attempt that broke at an upstream that may have crashed.
#[derive(Clone, Debug)]
struct BrokenAttempt {
    upstream: UpstreamName,
    start: IncarnationNumber,
    key: EvidenceKey,
    at: Instant,
}

/// The upstream and the route of an attempt that is measured.
#[derive(Clone, Copy, Debug)]
pub struct ObservedAttempt<'a> {
    /// The name of the upstream.
    pub upstream: &'a UpstreamName,
    /// The start of the upstream's process that the attempt went to.
    pub start: IncarnationNumber,
    /// Whether the upstream has the target version.
    pub is_target: bool,
    /// The route of the request.
    pub route: RouteKey,
}

impl ObservedAttempt<'_> {
    fn key(&self, measure: Measure) -> EvidenceKey {
        let arm = if self.is_target {
            Arm::Target(group_of(self.upstream.as_str()))
        } else {
            Arm::Previous
        };
        EvidenceKey {
            route: self.route,
            measure,
            arm,
        }
    }
}

/// The results of attempts at this router since an order arrived there.
#[derive(Clone, Debug, Default)]
pub struct OwnEvidence {
    counts: Evidence,
    broken: Vec<BrokenAttempt>,
    sent: SentCounts,
    open: BTreeMap<MeasurementId, (EvidenceKey, Instant)>,
    next_open: u64,
}

impl OwnEvidence {
    /// Counts an attempt that is sent, to the target version or to a previous one.
    pub fn on_sent(&mut self, is_target: bool) {
        let sent = if is_target {
            &mut self.sent.target
        } else {
            &mut self.sent.previous
        };
        *sent = sent.saturating_add(1);
    }

    /// Starts a measurement, which [`Self::on_response`] or [`Self::cancel_timing`] ends.
    pub fn start_timing(
        &mut self,
        observed: ObservedAttempt<'_>,
        measure: Measure,
        now: Instant,
    ) -> MeasurementId {
        let id = MeasurementId(self.next_open);
        self.next_open += 1;
        let key = observed.key(measure);
        // The entry is in all reports from now on, so that a later report without pending times replaces
        // an earlier one with them.
        self.counts.entry(key).or_default();
        self.open.insert(id, (key, now));
        id
    }

    /// Ends a measurement with a good response: counts its time, and counts broken attempts at the same
    /// start of the upstream as failures. Ignored if the measurement has already ended.
    pub fn on_response(&mut self, id: MeasurementId, observed: ObservedAttempt<'_>, now: Instant) {
        let Some((key, since)) = self.open.remove(&id) else {
            return;
        };
        let took = now.saturating_duration_since(since);
        self.counts.entry(key).or_default().times.add(took);
        self.on_upstream_alive(observed, now);
    }

    /// Ends a measurement without a response: the caller left, the attempt failed, or the request moved
    /// to another upstream. Ignored if the measurement has already ended.
    pub fn cancel_timing(&mut self, id: MeasurementId) {
        self.open.remove(&id);
    }

    /// Records a failed attempt: as a bad response, as a broken attempt, or not at all.
    pub fn on_failure(
        &mut self,
        observed: ObservedAttempt<'_>,
        failure: &AttemptFailure,
        now: Instant,
    ) {
        let key = observed.key(Measure::Response);
        match class_of(failure) {
            FailureClass::Bad => {
                self.count_failure(key);
                self.on_upstream_alive(observed, now);
            }
            FailureClass::BadIfAlive => self.broken.push(BrokenAttempt {
                upstream: observed.upstream.clone(),
                start: observed.start,
                key,
                at: now,
            }),
            FailureClass::Ignored => {}
        }
    }

    /// Counts the broken attempts at this start of an upstream as failures, since a response proves that
    /// the upstream did not crash.
    fn on_upstream_alive(&mut self, observed: ObservedAttempt<'_>, now: Instant) {
        let is_recent =
            |b: &BrokenAttempt| now.saturating_duration_since(b.at) <= BROKEN_ATTEMPT_TTL;
        self.broken.retain(is_recent);
        let is_same_start =
            |b: &BrokenAttempt| b.upstream == *observed.upstream && b.start == observed.start;
        let broken = std::mem::take(&mut self.broken);
        let (proven_bad, rest): (Vec<_>, Vec<_>) = broken.into_iter().partition(is_same_start);
        self.broken = rest;
        for broken in proven_bad {
            self.count_failure(broken.key);
        }
    }

    fn count_failure(&mut self, key: EvidenceKey) {
        self.counts.entry(key).or_default().failed += 1;
    }

    /// Reports of all counts to the routers that decide, as many as the entries require; at least one.
    /// `previous_in_flight` is the number of this router's requests at the previous versions.
    pub fn reports(
        &self,
        order: OrderId,
        stage: Stage,
        previous_in_flight: u32,
        now: Instant,
    ) -> Vec<EvidenceReport> {
        let mut counts = self.counts.clone();
        for (key, since) in self.open.values() {
            let pending = &mut counts.entry(*key).or_default().pending;
            pending.add(now.saturating_duration_since(*since));
        }
        let entries: Vec<(EvidenceKey, ResponseCounts)> = counts.into_iter().collect();
        let report = |entries: &[(EvidenceKey, ResponseCounts)]| EvidenceReport {
            order,
            stage,
            previous_in_flight,
            sent: self.sent,
            entries: entries.to_vec(),
        };
        if entries.is_empty() {
            return vec![report(&[])];
        }
        entries.chunks(MAX_REPORT_ENTRIES).map(report).collect()
    }
}

/// Whether a failed attempt is evidence against the version of its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FailureClass {
    /// The upstream gave a bad response.
    Bad,
    /// The upstream gave a bad response or crashed; a later response of the same start decides.
    BadIfAlive,
    /// The failure is no evidence against the upstream's version.
    Ignored,
}

fn class_of(failure: &AttemptFailure) -> FailureClass {
    match failure {
        AttemptFailure::UpstreamError { .. }
        | AttemptFailure::NotRun { .. }
        | AttemptFailure::RequestIdMismatch
        | AttemptFailure::Unsigned
        | AttemptFailure::ContentEncoded
        | AttemptFailure::InvalidStatus { .. }
        | AttemptFailure::TransferCoded
        | AttemptFailure::EndedInsideEvent
        | AttemptFailure::EndedBeforeEvent
        | AttemptFailure::EventTooLong
        | AttemptFailure::Stalled => FailureClass::Bad,
        AttemptFailure::BrokenBeforeResponse { .. }
        | AttemptFailure::ResponseBroken { .. }
        | AttemptFailure::ErrorResponseBroken { .. }
        | AttemptFailure::StreamBroken { .. }
        | AttemptFailure::DeadlinePassedSent => FailureClass::BadIfAlive,
        AttemptFailure::NotConnected { .. }
        | AttemptFailure::InvalidMessage { .. }
        | AttemptFailure::Misdirected
        | AttemptFailure::NoCurrentUpstream
        | AttemptFailure::VersionNotConfirmed
        | AttemptFailure::UpstreamDead
        | AttemptFailure::UpstreamSilent
        | AttemptFailure::PathLost
        | AttemptFailure::Stopped
        | AttemptFailure::UpstreamLeaves
        | AttemptFailure::DeadlinePassedUnsent => FailureClass::Ignored,
    }
}
