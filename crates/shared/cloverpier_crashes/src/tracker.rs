//! Tracking of requests that crash upstreams, from a lost attempt to the decision on the next one.
//!
//! A router reports the events that it observes to a [`CrashTracker`]: attempts that were admitted, sent or lost,
//! upstreams that crashed or responded, requests that completed. The results are the [`Admission`] of a request, the
//! [`Hold`] before it, the upstreams to probe, and the attempts for which a crash was recorded or discarded, for
//! logs and peers. The two router programs observe the same events by different means; the tracker applies the rules
//! in the same order for both.
//!
//! Owns the registry of crashes, the unresolved and in-flight attempts, the recent failures and the recent
//! completions. The module `admission` decides whether a request may be sent.

mod admission;

pub use admission::{Admission, Hold, MAX_HOLD};

use crate::content::{ContentKey, RequestContent};
use crate::in_flight::{AttemptNumber, InFlightAttempts};
use crate::lost_attempts::{
    CRASH_SETTLE_DELAY, DiscardedAttempt, LossCause, LostAttempt, LostAttempts, UpstreamResponse,
};
use crate::recent_completions::RecentCompletions;
use crate::recent_failures::{CONCURRENCY_WINDOW, RecentFailures, UpstreamEvent};
use crate::registry::{
    Crash, CrashId, CrashLimit, CrashRegistry, CrashTimestamp, SUSPECT_THRESHOLD,
};
use crate::weight::{ConcurrentFailures, CrashContext, ExecutionOrder};
use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

/// Minimum survival time: how long an upstream must continue to respond to have survived a request content for which
/// no crash is recorded.
const MIN_SURVIVAL_TIME: Duration = Duration::from_millis(100);
/// Maximum survival time: an upstream that continues to respond for this long has survived any request content, even
/// if other upstreams executed the content for longer before they crashed. Few prompts take longer to read.
const MAX_SURVIVAL_TIME: Duration = Duration::from_secs(3);

/// If a crash is proven within this time after the connection broke, the time of the break is the time of the crash.
/// If it is proven later, the failures and silences of other upstreams until the proof may all be concurrent with
/// the crash.
const PROMPT_CONFIRMATION: Duration = CRASH_SETTLE_DELAY.saturating_add(CONCURRENCY_WINDOW);

/// Numbers of other upstreams that are listed besides an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NeighbourCounts {
    /// Number of other upstreams of the same service.
    pub in_service: u32,
    /// Number of other upstreams of the same service in the same data centre.
    pub in_data_centre: u32,
}

/// A lost attempt whose upstream is proven to have crashed, and the state of its content after the crash was
/// recorded.
#[derive(Clone, Debug)]
pub struct ConfirmedCrash {
    /// The attempt during which the upstream crashed.
    pub attempt: LostAttempt,
    /// The other upstreams of the service at the time of the crash.
    pub context: CrashContext,
    /// Number of crashes that count against the content, this one included unless it is disregarded.
    pub crash_count: usize,
    /// Sum of the weights of these crashes, in thousandths of a crash of full weight.
    pub evidence: u32,
}

/// The state of one router on requests that may crash upstreams. The caller reports events with the `on_` methods.
#[derive(Clone, Debug)]
pub struct CrashTracker {
    /// The recorded crashes, by content.
    pub registry: CrashRegistry,
    lost: LostAttempts,
    failures: RecentFailures,
    completions: RecentCompletions,
    in_flight: InFlightAttempts,
}

impl CrashTracker {
    /// Creates a tracker without any crashes.
    pub fn new(limit: CrashLimit, timestamp: CrashTimestamp) -> Self {
        Self {
            registry: CrashRegistry::new(limit, timestamp),
            lost: LostAttempts::default(),
            failures: RecentFailures::default(),
            completions: RecentCompletions::default(),
            in_flight: InFlightAttempts::default(),
        }
    }

    /// Whether any request may be sent without a check of its content: no crash is recorded, and no unresolved
    /// attempt may hold back requests.
    pub fn is_empty(&self) -> bool {
        self.registry.is_empty() && !self.lost.may_hold_requests()
    }

    /// Records that an attempt with a content may be sent. Returns the number of the attempt for [`Self::on_sent`] and
    /// [`Self::on_finished`].
    pub fn on_admitted(&mut self, content: ContentKey) -> AttemptNumber {
        self.in_flight.on_admitted(content)
    }

    /// Records that an admitted attempt is sent.
    pub fn on_sent(&mut self, content: ContentKey, attempt: AttemptNumber, now: Instant) {
        self.in_flight.on_sent(content, attempt, now);
    }

    /// Records that an admitted attempt has finished in any way, or will not be sent.
    pub fn on_finished(&mut self, content: ContentKey, attempt: AttemptNumber) {
        self.in_flight.on_finished(content, attempt);
    }

    /// The context of the crash that a lost attempt is, or would be, by the failures known at `now`.
    fn crash_context(
        &self,
        attempt: &LostAttempt,
        neighbours: NeighbourCounts,
        now: Instant,
    ) -> CrashContext {
        let lost_at = attempt.upstream.at;
        let is_time_known =
            attempt.loss == LossCause::ConnectionBroken && now <= lost_at + PROMPT_CONFIRMATION;
        let (mut concurrent_failures, until) = if is_time_known {
            (
                self.failures.concurrent_with(&attempt.upstream),
                lost_at + CONCURRENCY_WINDOW,
            )
        } else {
            (self.failures.concurrent_until(&attempt.upstream, now), now)
        };
        self.add_unresolved_losses(&mut concurrent_failures, attempt, until);
        CrashContext {
            others_in_service: neighbours.in_service,
            others_in_data_centre: neighbours.in_data_centre,
            concurrent_failures,
        }
    }

    /// Adds the other upstreams of the service with unresolved attempts that were lost at the time of `attempt`, as
    /// these upstreams may have crashed at the same time. Upstreams at which the same content was executed before or
    /// after `attempt` are removed: the content may have crashed them one after the other.
    fn add_unresolved_losses(
        &self,
        failures: &mut ConcurrentFailures,
        attempt: &LostAttempt,
        until: Instant,
    ) {
        let crash = &attempt.upstream;
        let holding_attempts = self.lost.unresolved().filter(|other| {
            let upstream = &other.upstream;
            let is_other = upstream.upstream != crash.upstream && upstream.service == crash.service;
            is_other && other.loss != LossCause::Abandoned
        });
        let is_sequential = |other: &LostAttempt| {
            let is_same_content = other.content == attempt.content;
            is_same_content
                && ExecutionOrder::of(other.execution(), attempt.execution())
                    == ExecutionOrder::Sequential
        };
        let (sequential, others): (Vec<_>, Vec<_>) =
            holding_attempts.partition(|other| is_sequential(other));
        let concurrent = others.into_iter().map(|other| &other.upstream);
        let concurrent = concurrent
            .filter(|other| other.at + CONCURRENCY_WINDOW >= crash.at && other.at <= until);
        failures.extend(
            concurrent.map(|other| (other.upstream, other.data_centre == crash.data_centre)),
        );
        for other in sequential {
            failures.remove(other.upstream.upstream);
        }
    }

    /// The contents whose unresolved attempts may hold back requests, as these attempts and the recorded crashes
    /// together reach [`SUSPECT_THRESHOLD`], with the survival time of each. Upstreams with unresolved attempts of
    /// these contents are probed repeatedly.
    fn suspect_survival_times(&self, now: Instant) -> HashMap<ContentKey, Duration> {
        let mut unresolved: HashMap<ContentKey, HashSet<CrashId>> = HashMap::new();
        for attempt in self
            .lost
            .unresolved()
            .filter(|attempt| !attempt.has_completed)
        {
            unresolved
                .entry(attempt.content)
                .or_default()
                .insert(attempt.crash_id);
        }
        let suspect = unresolved
            .into_iter()
            .filter(|(content, possible_crashes)| {
                possible_crashes.len() + self.registry.crash_count(*content, now)
                    >= SUSPECT_THRESHOLD as usize
            });
        let survival_times =
            suspect.map(|(content, _)| (content, survival_time(&self.registry, content, now)));
        survival_times.collect()
    }

    /// Records a lost attempt. The caller must leave out attempts at an upstream that is draining, as such an upstream
    /// shuts down by itself.
    pub fn on_lost(&mut self, content: &RequestContent<'_>, attempt: LostAttempt) {
        let now = attempt.upstream.at;
        let sent_at = now.checked_sub(attempt.ran_for);
        let upstream = attempt.crash_id.upstream;
        let has_crashed = if was_sent_after_crash(&self.registry, &attempt) {
            self.failures.had_no_process_since(upstream, sent_at)
        } else {
            self.failures.has_crashed_since(upstream, sent_at)
        };
        let has_completed = self.completions.completed_recently(content, now);
        self.lost.on_lost(
            LostAttempt {
                has_completed,
                ..attempt
            },
            has_crashed,
        );
    }

    /// Records that an upstream's host refused a connection, so no process listens at the address any more.
    pub fn on_process_gone(&mut self, crashed: UpstreamEvent) {
        self.lost.on_crash(crashed.upstream, crashed.at);
        let broke_at = self.lost.first_break_at(crashed.upstream);
        let at = broke_at.map_or(crashed.at, |at| at.min(crashed.at));
        let (upstream, refused_at) = (crashed.upstream, crashed.at);
        self.failures.on_crash(UpstreamEvent { at, ..crashed });
        self.failures.on_connection_refused(upstream, refused_at);
    }

    /// Records an upstream that is suspected to have failed: the upstream has not responded since `silent_since`, or a
    /// peer reported the upstream as dead. This proves no crash, but the failure counts as concurrent with the crashes
    /// of other upstreams.
    pub fn on_suspected_failure(&mut self, suspect: UpstreamEvent, silent_since: Instant) {
        self.failures.on_suspected_failure(suspect, silent_since);
    }

    /// Records that a newer process responds at the address of an upstream: the former process has crashed at an
    /// unknown time. This does not prove a crash for attempts that were sent to the newer process.
    pub fn on_process_replaced(&mut self, former: UpstreamEvent) {
        let refused_at = self.failures.on_newer_process(former.upstream);
        let registry = &self.registry;
        let may_have_reached = |attempt: &LostAttempt| {
            let was_sent_in_time = refused_at.is_none_or(|at| attempt.was_sent_by(at));
            was_sent_in_time && !was_sent_after_crash(registry, attempt)
        };
        self.lost
            .on_process_replaced(former.upstream, former.at, may_have_reached);
        if refused_at.is_some() {
            return;
        }
        match self.lost.first_break_at(former.upstream) {
            Some(at) => self.failures.on_crash(UpstreamEvent { at, ..former }),
            None => self.failures.on_process_replaced(former),
        }
    }

    /// Whether an attempt at an upstream is unresolved, so that [`Self::on_response`] has to be called for responses
    /// of the upstream to requests, too.
    pub fn has_unresolved_at(&self, upstream: u64) -> bool {
        self.lost.has_unresolved_at(upstream)
    }

    /// Records a response of an upstream to a probe or a request.
    pub fn on_response(&mut self, response: UpstreamResponse) {
        let registry = &self.registry;
        let survival_time = |content| survival_time(registry, content, response.received_at);
        self.lost.on_response(response, survival_time);
        self.failures.on_response(response.upstream);
    }

    /// Records that a request completed at an upstream: its content did not cause the crashes of other upstreams
    /// during earlier attempts with the content. Returns the key of the content if recorded crashes are now
    /// disregarded, so that peers have to be informed.
    pub fn on_completed(
        &mut self,
        content: &RequestContent<'_>,
        now: Instant,
    ) -> Option<ContentKey> {
        self.completions.on_completed(content, now);
        if self.registry.is_empty() && self.lost.is_empty() {
            return None;
        }
        let key = ContentKey::of(content);
        self.lost.on_completed(key);
        self.registry.on_completed(key).then_some(key)
    }

    /// The upstreams that the caller has to probe now, because neither their crash nor their survival is proven.
    /// Each is returned once, and repeatedly while its unresolved attempts may hold back a request.
    pub fn upstreams_to_probe(&mut self, now: Instant) -> Vec<UpstreamEvent> {
        let mut upstreams = self.lost.first_probes(now);
        let survival_times = self.suspect_survival_times(now);
        let survival_time = |content| survival_times.get(&content).copied();
        upstreams.extend(self.lost.repeated_probes(now, survival_time));
        upstreams
    }

    /// When [`Self::record_confirmed`] and [`Self::upstreams_to_probe`] have to be called next; `None` without an
    /// unresolved attempt.
    pub fn next_due(&self, now: Instant) -> Option<Instant> {
        let survival_times = self.suspect_survival_times(now);
        let survival_time = |content| survival_times.get(&content).copied();
        let repeated_probe = self.lost.next_repeated_probe(survival_time);
        self.lost.next_due().into_iter().chain(repeated_probe).min()
    }

    /// Takes the attempts that were discarded since the last call: no crash is recorded for them.
    pub fn take_discarded(&mut self) -> Vec<DiscardedAttempt> {
        self.lost.take_discarded()
    }

    /// Records a crash for each lost attempt whose upstream is proven to have crashed, once the settle delay has
    /// passed. `neighbours` returns the numbers of other upstreams that are listed besides an upstream.
    pub fn record_confirmed(
        &mut self,
        now: Instant,
        neighbours: impl Fn(&UpstreamEvent) -> NeighbourCounts,
    ) -> Vec<ConfirmedCrash> {
        let confirmed = self.lost.take_confirmed(now);
        let crashes = confirmed.into_iter().map(|attempt| {
            let context = self.crash_context(&attempt, neighbours(&attempt.upstream), now);
            self.record(attempt, context, now)
        });
        crashes.collect()
    }

    fn record(
        &mut self,
        attempt: LostAttempt,
        context: CrashContext,
        now: Instant,
    ) -> ConfirmedCrash {
        let content = attempt.content;
        let crash = crash_of(&attempt, context.clone());
        self.registry.record(content, crash, now);
        ConfirmedCrash {
            attempt,
            context,
            crash_count: self.registry.crash_count(content, now),
            evidence: self.registry.evidence_thousandths(content, now),
        }
    }
}

/// Whether an attempt was sent after the crash of the process that it was meant for, by the crash times recorded for
/// any content, so that it reached the next process at the address. Peers may have reported a crash that this router
/// has not observed.
fn was_sent_after_crash(registry: &CrashRegistry, attempt: &LostAttempt) -> bool {
    let crashed_at = registry.crash_time(attempt.crash_id);
    crashed_at.is_some_and(|at| !attempt.was_sent_by(at + CONCURRENCY_WINDOW))
}

/// For how long an upstream must continue to respond to have survived a content: about as long as other upstreams
/// executed the content before they crashed.
fn survival_time(registry: &CrashRegistry, content: ContentKey, now: Instant) -> Duration {
    survival_time_after(registry.longest_execution(content, now))
}

/// The survival time of a content whose longest execution before a crash is given; zero without a crash.
fn survival_time_after(longest_execution: Duration) -> Duration {
    (longest_execution + CRASH_SETTLE_DELAY).clamp(MIN_SURVIVAL_TIME, MAX_SURVIVAL_TIME)
}

/// The crash that a lost attempt is, or would be, if its upstream has crashed at the time of the loss.
fn crash_of(attempt: &LostAttempt, context: CrashContext) -> Crash {
    Crash {
        id: attempt.crash_id,
        at: attempt.upstream.at,
        ran_for: attempt.ran_for,
        context,
        is_disregarded: attempt.has_completed,
    }
}
