//! Upstreams that failed recently, to find the failures that are concurrent with a crash.
//!
//! The upstreams of a data centre fail together in an outage, and without this module each request that ran there
//! would get a crash recorded with full weight. Each failure that the router observes is recorded here with the
//! service and data centre, whichever requests the upstream was executing. The result are the
//! [`ConcurrentFailures`] of a crash: [`RecentFailures::concurrent_with`] if the time of the crash is known, else
//! [`RecentFailures::concurrent_until`].
//!
//! An upstream that stopped responding failed at some time after its last response. So each upstream that failed
//! or stopped responding within that time may have failed together with it, unless it has responded again.
//!
//! Owns the failures of the last 15 seconds.

use crate::weight::ConcurrentFailures;
use cloverpier_core::{DataCentre, ServiceName};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Maximum time between two failures that count as concurrent. The window has to exceed 50 ms: the crashes of all
/// engines in an outage of a data centre are observed within that time. The window has to stay well below 100 ms: a
/// request may be repeated every 100 ms at other engines, and the crashes that the request causes are not concurrent.
pub const CONCURRENCY_WINDOW: Duration = Duration::from_millis(60);
/// How long a failure is kept: longer than a lost attempt at the upstream may remain unresolved
/// ([`crate::lost_attempts::CONFIRMATION_TIMEOUT`]).
const RETENTION: Duration = Duration::from_secs(15);

/// An upstream, and the time of something that happened there: its failure, or the loss of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamEvent {
    /// Hash of the upstream's name.
    pub upstream: u64,
    /// The service that the upstream belongs to.
    pub service: ServiceName,
    /// The data centre of the upstream.
    pub data_centre: DataCentre,
    /// When this router observed the event.
    pub at: Instant,
}

/// Evidence that an upstream has failed, from the weakest to the strongest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum FailureEvidence {
    /// The upstream does not respond, or a peer reported the upstream as dead. This proves no crash, but the failure
    /// counts as concurrent with the crashes of other upstreams.
    Silence,
    /// A newer process responds at the upstream's address: the former process has crashed at an unknown time.
    NewerProcess,
    /// The upstream's host has no process at the address: the process has crashed, at the time of the event or
    /// shortly before.
    NoProcess,
}

/// One failure, merged from all observations.
#[derive(Clone, Debug)]
struct RecordedFailure {
    event: UpstreamEvent,
    /// The earliest possible time of the failure: the last response of the upstream, if the failure was noticed by
    /// silence, else the time of the event.
    since: Instant,
    evidence: FailureEvidence,
    /// When the upstream's host first refused a connection; `None` if no connection was refused, or once the next
    /// process at the address has been observed.
    refused_at: Option<Instant>,
}

/// The upstreams that failed recently, in the order in which the failures were recorded.
#[derive(Clone, Debug, Default)]
pub struct RecentFailures {
    failures: VecDeque<RecordedFailure>,
}

impl RecentFailures {
    /// Records a proven crash: the upstream's host has no process at the address. Repeated records of a crash within
    /// [`CONCURRENCY_WINDOW`] are kept as one failure.
    pub fn on_crash(&mut self, crashed: UpstreamEvent) {
        let since = crashed.at;
        self.record(crashed, since, FailureEvidence::NoProcess);
    }

    /// Records when an upstream's host refused a connection. Attempts that connect later reach the next process at
    /// the address. Has no effect unless a crash of the upstream is recorded with [`Self::on_crash`].
    pub fn on_connection_refused(&mut self, upstream: u64, refused_at: Instant) {
        let newest_first = self.failures.iter_mut().rev();
        let mut crashes = newest_first
            .filter(|f| f.event.upstream == upstream && f.evidence == FailureEvidence::NoProcess);
        if let Some(failure) = crashes.next() {
            failure.refused_at.get_or_insert(refused_at);
        }
    }

    /// Records that the process after the latest crash of an upstream was observed. Returns when the host refused a
    /// connection after that crash; `None` if no connection was refused, or if that process was observed before.
    pub fn on_newer_process(&mut self, upstream: u64) -> Option<Instant> {
        let failures = self.failures.iter_mut();
        let refused = failures
            .filter(|failure| failure.event.upstream == upstream)
            .filter_map(|failure| failure.refused_at.take());
        refused.max()
    }

    /// Records that a newer process responds at the address of an upstream: the former process has crashed at an
    /// unknown time before `former.at`.
    pub fn on_process_replaced(&mut self, former: UpstreamEvent) {
        let since = former.at;
        self.record(former, since, FailureEvidence::NewerProcess);
    }

    /// Records an upstream that is suspected to have failed: the upstream has not responded since `silent_since`, or a
    /// peer reported the upstream as dead. This proves no crash, but the failure counts as concurrent with the crashes
    /// of other upstreams.
    pub fn on_suspected_failure(&mut self, suspect: UpstreamEvent, silent_since: Instant) {
        self.record(suspect, silent_since, FailureEvidence::Silence);
    }

    /// Records that an upstream responds: a suspected failure of the upstream is removed.
    pub fn on_response(&mut self, upstream: u64) {
        self.failures
            .retain(|f| f.evidence != FailureEvidence::Silence || f.event.upstream != upstream);
    }

    /// Adds a failure, or raises the evidence of a recent failure of the same upstream.
    fn record(&mut self, event: UpstreamEvent, silent_since: Instant, evidence: FailureEvidence) {
        self.remove_expired(event.at);
        let window_start = event.at.checked_sub(CONCURRENCY_WINDOW);
        let mut recent = self.failures.iter_mut().filter(|failure| {
            let is_same = failure.event.upstream == event.upstream;
            is_same && window_start.is_none_or(|window_start| failure.event.at >= window_start)
        });
        match recent.next() {
            Some(failure) => failure.evidence = failure.evidence.max(evidence),
            None => self.failures.push_back(RecordedFailure {
                since: silent_since.min(event.at),
                event,
                evidence,
                refused_at: None,
            }),
        }
    }

    /// Whether a proven crash of an upstream was observed at or after `since`. `None` stands for a time before the
    /// earliest `Instant`, so that any proven crash counts.
    pub fn has_crashed_since(&self, upstream: u64, since: Option<Instant>) -> bool {
        self.has_failed_since(upstream, since, FailureEvidence::NewerProcess)
    }

    /// Whether an upstream's host had no process at the address at some time since `since`, so that any process that
    /// ran there before has crashed. `None` stands for a time before the earliest `Instant`.
    pub fn had_no_process_since(&self, upstream: u64, since: Option<Instant>) -> bool {
        self.has_failed_since(upstream, since, FailureEvidence::NoProcess)
    }

    fn has_failed_since(
        &self,
        upstream: u64,
        since: Option<Instant>,
        min_evidence: FailureEvidence,
    ) -> bool {
        let proven = self
            .failures
            .iter()
            .filter(|failure| failure.evidence >= min_evidence);
        let mut failures = proven.filter(|failure| failure.event.upstream == upstream);
        failures.any(|failure| since.is_none_or(|since| failure.event.at >= since))
    }

    /// The other upstreams of the service that failed within [`CONCURRENCY_WINDOW`] of a crash whose time is known.
    pub fn concurrent_with(&self, crash: &UpstreamEvent) -> ConcurrentFailures {
        self.others(crash, |other| {
            let at = other.event.at;
            at.max(crash.at) - at.min(crash.at) <= CONCURRENCY_WINDOW
        })
    }

    /// The other upstreams of the service that may have failed at the time of a crash, where that time is only
    /// known to be between the last response of the upstream and `until`.
    pub fn concurrent_until(&self, crash: &UpstreamEvent, until: Instant) -> ConcurrentFailures {
        let own = self.failures.iter().filter(|failure| {
            let is_own = failure.event.upstream == crash.upstream;
            is_own && failure.since <= crash.at && crash.at <= failure.event.at + CONCURRENCY_WINDOW
        });
        let since = own.map(|failure| failure.since).min().unwrap_or(crash.at);
        self.others(crash, |other| {
            since <= other.event.at + CONCURRENCY_WINDOW
                && other.since <= until + CONCURRENCY_WINDOW
        })
    }

    /// The failures of other upstreams of the same service that `is_concurrent` selects, except those at an unknown
    /// time.
    fn others(
        &self,
        crash: &UpstreamEvent,
        is_concurrent: impl Fn(&RecordedFailure) -> bool,
    ) -> ConcurrentFailures {
        let dated = self
            .failures
            .iter()
            .filter(|f| f.evidence != FailureEvidence::NewerProcess);
        let others = dated.filter(|failure| {
            let other = &failure.event;
            other.upstream != crash.upstream
                && other.service == crash.service
                && is_concurrent(failure)
        });
        let listed = others.map(|failure| {
            let other = &failure.event;
            (other.upstream, other.data_centre == crash.data_centre)
        });
        ConcurrentFailures::of(listed)
    }

    fn remove_expired(&mut self, now: Instant) {
        let age = |failure: &RecordedFailure| now.saturating_duration_since(failure.event.at);
        let is_expired = |failure: &RecordedFailure| age(failure) > RETENTION;
        while self.failures.front().is_some_and(is_expired) {
            self.failures.pop_front();
        }
    }
}
