//! Lost attempts, until it is known whether their upstreams have crashed.
//!
//! A router sent a request to an upstream, and the connection broke, or the router gave up on an upstream that did
//! not respond. The upstream may have crashed, the response may have been lost, or the upstream may be paused. An
//! attempt remains unresolved until a refused connection or a newer process proves the crash, or a response proves
//! that the upstream has survived the attempt.
//!
//! - **Results.** [`LostAttempts::take_confirmed`] returns the attempts whose upstreams have crashed, once
//!   [`CRASH_SETTLE_DELAY`] has passed and all concurrent failures are known. [`LostAttempts::first_probes`] and
//!   [`LostAttempts::repeated_probes`] return the upstreams to probe, [`LostAttempts::take_discarded`] the attempts
//!   for which no crash is recorded.
//! - **A broken connection proves no crash.** Connections are reset while the upstream keeps running, and most
//!   requests that lose a response at several upstreams lose it in this way.
//! - **Silence proves neither a crash nor survival.** Cut links and pauses cause silence, too. A paused upstream may
//!   crash later because of the request, and the host of a crashed upstream may not respond for seconds. So the
//!   decision whether a further attempt may be sent takes unresolved attempts into account.
//! - **Proof of survival after a broken connection.** The upstream responds to a probe that was sent after the break.
//! - **Proof of survival after silence.** The upstream may start the request after its first response. So the upstream
//!   has to respond promptly to two probes, and the second probe has to be sent at least a *survival time* after the
//!   first response: as long as other upstreams executed the content before they crashed.
//! - **Proof of survival after an abandoned attempt.** The upstream was responsive when the attempt was abandoned, so
//!   one response is enough, to a probe sent at least two seconds after that.
//!
//! Owns the unresolved attempts. [`crate::tracker`] supplies the survival times.

use crate::content::ContentKey;
use crate::recent_failures::UpstreamEvent;
use crate::registry::CrashId;
use crate::weight::CrashedExecution;
use serde::Serialize;
use std::time::{Duration, Instant};

/// Time from the loss of an attempt to the recording of its crash. 50 ms after the first crash in an outage of a
/// data centre, all crashes are known and count as concurrent. With a longer delay, a request that crashes upstreams
/// would already be running at the next one.
pub const CRASH_SETTLE_DELAY: Duration = Duration::from_millis(50);
/// Time after which a lost attempt is discarded if neither the crash nor the survival of its upstream is proven. The
/// timeout is longer than an upstream pauses, even repeatedly, and longer than the next process takes to start at the
/// address of a crashed one. In the meantime, the fourth attempt of a request that lost three attempts may be held
/// back.
pub const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between two probes of an upstream, while a lost attempt at the upstream may hold back requests.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(150);
/// Minimum time after which an upstream that still responds has survived an abandoned attempt: a request that crashes
/// an engine does so within two seconds of the arrival of the request.
const ABANDONED_SURVIVAL_TIME: Duration = Duration::from_secs(2);
/// Time for an upstream to respond to the first probe, even if this exceeds [`CONFIRMATION_TIMEOUT`]: the router may
/// have been paused, so that it sent the probe late.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum time in which an upstream that is not paused responds to a probe. A later response shows that the upstream
/// was paused in between.
const PROMPT_RESPONSE: Duration = Duration::from_millis(100);
/// Maximum number of unresolved attempts. Beyond it, the oldest abandoned attempt is discarded, or the oldest
/// attempt if none is abandoned. The outage of a data centre leaves some tens of unresolved attempts at one router.
const MAX_UNRESOLVED: usize = 1_024;

/// Why a router lost an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossCause {
    /// The connection broke: the upstream has crashed, or has stopped executing the request.
    ConnectionBroken,
    /// The router gave up on an upstream that did not respond. The upstream may still execute the request.
    UpstreamSilent,
    /// The router no longer waits for the attempt: the request timed out, the caller disconnected, or the attempt
    /// made no progress. The upstream may still execute the request. Most such upstreams are healthy, so no request
    /// is held back for the attempt, and the upstream is probed only if more attempts with the content were lost.
    Abandoned,
}

/// An attempt that was sent to an upstream and did not complete there. The upstream may have crashed because of it.
#[derive(Clone, Debug)]
pub struct LostAttempt {
    /// Key of the request's content.
    pub content: ContentKey,
    /// Why the attempt was lost.
    pub loss: LossCause,
    /// Whether a request with the content completed shortly before the loss, or at any time since.
    /// [`crate::tracker::CrashTracker::on_lost`] sets it.
    pub has_completed: bool,
    /// Identity under which the crash is recorded if the upstream process that received the attempt has crashed.
    pub crash_id: CrashId,
    /// The upstream, and the time of the loss.
    pub upstream: UpstreamEvent,
    /// Time from the sending of the attempt to the loss.
    pub ran_for: Duration,
}

impl LostAttempt {
    /// The execution of the request at the upstream, on the assumption that the upstream crashed at the time of the
    /// loss.
    pub fn execution(&self) -> CrashedExecution {
        CrashedExecution {
            at: self.upstream.at,
            ran_for: self.ran_for,
        }
    }

    /// Whether the attempt was sent at or before a time.
    pub(crate) fn was_sent_by(&self, at: Instant) -> bool {
        self.upstream.at <= at + self.ran_for
    }
}

/// A response of an upstream to a probe or a request.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamResponse {
    /// The upstream, as in [`CrashId::upstream`].
    pub upstream: u64,
    /// When the router sent the probe or request.
    pub sent_at: Instant,
    /// When the router received the response.
    pub received_at: Instant,
}

/// Why no crash is recorded for a lost attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum DiscardReason {
    /// The upstream has survived the attempt.
    #[serde(rename = "answered")]
    Survived,
    /// Neither a crash nor the survival of the upstream was proven within [`CONFIRMATION_TIMEOUT`].
    #[serde(rename = "unclear")]
    Unconfirmed,
    /// There were too many unresolved attempts.
    #[serde(rename = "no-room")]
    TableFull,
}

/// A lost attempt for which no crash is recorded.
#[derive(Clone, Debug)]
pub struct DiscardedAttempt {
    /// The discarded attempt.
    pub attempt: LostAttempt,
    /// Why no crash is recorded.
    pub reason: DiscardReason,
}

/// A lost attempt, and the observations of its upstream since the loss.
#[derive(Clone, Debug)]
struct UnresolvedAttempt {
    attempt: LostAttempt,
    /// When the crash of the upstream was proven; `None` while no crash is proven.
    crash_known_at: Option<Instant>,
    /// When the upstream was first returned for a probe; `None` before.
    first_probed_at: Option<Instant>,
    /// When the upstream was last returned for a probe; `None` before the first probe.
    last_probed_at: Option<Instant>,
    /// When the first prompt response to a probe sent after the loss was received. Only set with
    /// [`LossCause::UpstreamSilent`].
    first_response_at: Option<Instant>,
}

impl UnresolvedAttempt {
    fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.attempt.upstream.at)
    }

    /// When the crash can be recorded; `None` while no crash of the upstream is proven.
    fn recordable_at(&self) -> Option<Instant> {
        let crash_known_at = self.crash_known_at?;
        let lost_at = self.attempt.upstream.at;
        let from = match self.attempt.loss {
            LossCause::ConnectionBroken => lost_at,
            // The upstream may have crashed at any time since the loss.
            LossCause::UpstreamSilent | LossCause::Abandoned => lost_at.max(crash_known_at),
        };
        Some(from + CRASH_SETTLE_DELAY)
    }

    /// When the attempt can be recorded, has to be probed for the first time, or expires.
    fn next_due(&self) -> Instant {
        let lost_at = self.attempt.upstream.at;
        match self.recordable_at() {
            Some(at) => at,
            None if self.needs_first_probe() => lost_at + CRASH_SETTLE_DELAY,
            None => self.expires_at(),
        }
    }

    /// Whether the upstream has to be probed for the first time. The upstream of an abandoned attempt is probed only
    /// through [`LostAttempts::repeated_probes`].
    fn needs_first_probe(&self) -> bool {
        let may_hold_requests = self.attempt.loss != LossCause::Abandoned;
        may_hold_requests && self.crash_known_at.is_none() && self.last_probed_at.is_none()
    }

    /// When the attempt is discarded, unless it is resolved before.
    fn expires_at(&self) -> Instant {
        let timeout_at = self.attempt.upstream.at + CONFIRMATION_TIMEOUT;
        let response_due_at = self.first_probed_at.map(|at| at + PROBE_TIMEOUT);
        response_due_at.map_or(timeout_at, |at| timeout_at.max(at))
    }

    /// Notes that the upstream is probed now, and returns the upstream.
    fn mark_probed(&mut self, now: Instant) -> UpstreamEvent {
        self.first_probed_at.get_or_insert(now);
        self.last_probed_at = Some(now);
        self.attempt.upstream.clone()
    }

    /// When the upstream has to be probed again, or for the first time if the attempt was abandoned; `None` if the
    /// crash is known, or the first probe is still due.
    ///
    /// The time is not before [`PROBE_INTERVAL`] has passed since the last probe, nor before a response can prove
    /// the survival of the upstream.
    fn next_probe_at(&self, survival_time: Duration) -> Option<Instant> {
        let next = self.last_probed_at.map(|at| at + PROBE_INTERVAL);
        let provable_from = match self.attempt.loss {
            LossCause::ConnectionBroken | LossCause::UpstreamSilent => {
                self.first_response_at.map(|at| at + survival_time)
            }
            LossCause::Abandoned => Some(self.abandoned_until(survival_time)),
        };
        let is_probed = self.crash_known_at.is_none() && !self.needs_first_probe();
        next.max(provable_from).filter(|_| is_probed)
    }

    /// When the upstream of an abandoned attempt would have crashed, if the attempt crashes the upstream.
    fn abandoned_until(&self, survival_time: Duration) -> Instant {
        self.attempt.upstream.at + survival_time.max(ABANDONED_SURVIVAL_TIME)
    }

    /// Processes a response of the upstream; returns whether the response proves that the upstream survived the
    /// attempt.
    fn check_survival(&mut self, response: UpstreamResponse, survival_time: Duration) -> bool {
        if self.crash_known_at.is_some() || response.sent_at < self.attempt.upstream.at {
            return false;
        }
        match self.attempt.loss {
            LossCause::ConnectionBroken => true,
            LossCause::Abandoned => response.sent_at >= self.abandoned_until(survival_time),
            // An upstream that was paused in between may not have started the request yet.
            LossCause::UpstreamSilent
                if response.received_at > response.sent_at + PROMPT_RESPONSE =>
            {
                false
            }
            LossCause::UpstreamSilent => {
                let first = *self.first_response_at.get_or_insert(response.received_at);
                response.sent_at >= first + survival_time
            }
        }
    }
}

/// The unresolved attempts of one router: lost attempts for which no crash is recorded yet, while neither the crash nor
/// the survival of the upstream is proven, or while the settle delay of a proven crash runs.
#[derive(Clone, Debug, Default)]
pub struct LostAttempts {
    unresolved: Vec<UnresolvedAttempt>,
    /// Attempts that were discarded since the last call of [`Self::take_discarded`].
    discarded: Vec<DiscardedAttempt>,
}

impl LostAttempts {
    /// Records a lost attempt. `has_crashed` is set if a crash of the upstream during the attempt is already proven.
    pub fn on_lost(&mut self, attempt: LostAttempt, has_crashed: bool) {
        if self.unresolved.len() >= MAX_UNRESOLVED {
            let is_abandoned = |u: &UnresolvedAttempt| u.attempt.loss == LossCause::Abandoned;
            let oldest = self.unresolved.iter().position(is_abandoned).unwrap_or(0);
            let oldest = self.unresolved.remove(oldest);
            self.discard([oldest], DiscardReason::TableFull);
        }
        self.unresolved.push(UnresolvedAttempt {
            crash_known_at: has_crashed.then_some(attempt.upstream.at),
            attempt,
            first_probed_at: None,
            last_probed_at: None,
            first_response_at: None,
        });
    }

    /// Records that a crash of an upstream is proven, as of `now`, for all unresolved attempts there.
    pub fn on_crash(&mut self, upstream: u64, now: Instant) {
        let unresolved = self.unresolved.iter_mut();
        for lost in unresolved.filter(|u| u.attempt.crash_id.upstream == upstream) {
            lost.crash_known_at.get_or_insert(now);
        }
    }

    /// Records that a crash of the former process of an upstream is proven, as of `now`, because a newer process
    /// responds. `may_have_reached` returns whether an attempt can have reached the former process.
    ///
    /// An attempt whose connection broke counts in either case: if the attempt reached the newer process, that process
    /// is assumed to have crashed, too, as its survival is not known.
    pub fn on_process_replaced(
        &mut self,
        upstream: u64,
        now: Instant,
        may_have_reached: impl Fn(&LostAttempt) -> bool,
    ) {
        let unresolved = self.unresolved.iter_mut();
        let unresolved = unresolved.filter(|u| u.attempt.crash_id.upstream == upstream);
        for lost in unresolved.filter(|u| {
            u.attempt.loss == LossCause::ConnectionBroken || may_have_reached(&u.attempt)
        }) {
            lost.crash_known_at.get_or_insert(now);
        }
    }

    /// Records a response of an upstream, and discards the attempts that the upstream has thereby survived.
    /// `survival_time` returns for how long an upstream must continue to respond to have survived a content.
    pub fn on_response(
        &mut self,
        response: UpstreamResponse,
        survival_time: impl Fn(ContentKey) -> Duration,
    ) {
        let is_survived = |lost: &mut UnresolvedAttempt| {
            let is_same_upstream = lost.attempt.crash_id.upstream == response.upstream;
            is_same_upstream && lost.check_survival(response, survival_time(lost.attempt.content))
        };
        let survived: Vec<UnresolvedAttempt> =
            self.unresolved.extract_if(.., is_survived).collect();
        self.discard(survived, DiscardReason::Survived);
    }

    /// Records that a request with a content completed. Crashes recorded later for the unresolved attempts with this
    /// content are disregarded.
    pub fn on_completed(&mut self, content: ContentKey) {
        let attempts = self.unresolved.iter_mut().map(|lost| &mut lost.attempt);
        for attempt in attempts.filter(|attempt| attempt.content == content) {
            attempt.has_completed = true;
        }
    }

    /// Whether there is no unresolved attempt.
    pub fn is_empty(&self) -> bool {
        self.unresolved.is_empty()
    }

    fn discard(
        &mut self,
        attempts: impl IntoIterator<Item = UnresolvedAttempt>,
        reason: DiscardReason,
    ) {
        // An abandoned attempt whose upstream was never probed is not reported to the caller.
        let is_reported = |lost: &UnresolvedAttempt| {
            lost.attempt.loss != LossCause::Abandoned || lost.last_probed_at.is_some()
        };
        let reported = attempts.into_iter().filter(is_reported);
        let discarded = reported.map(|lost| DiscardedAttempt {
            attempt: lost.attempt,
            reason,
        });
        self.discarded.extend(discarded);
    }

    /// Whether an unresolved attempt may hold back other requests; abandoned attempts never do.
    pub fn may_hold_requests(&self) -> bool {
        self.unresolved()
            .any(|attempt| attempt.loss != LossCause::Abandoned)
    }

    /// Whether an attempt at an upstream is unresolved.
    pub fn has_unresolved_at(&self, upstream: u64) -> bool {
        self.unresolved()
            .any(|attempt| attempt.crash_id.upstream == upstream)
    }

    /// Takes the attempts that were discarded since the last call. An abandoned attempt is left out if its upstream
    /// was never probed.
    pub fn take_discarded(&mut self) -> Vec<DiscardedAttempt> {
        std::mem::take(&mut self.discarded)
    }

    /// The unresolved attempts, in the order of their losses.
    pub fn unresolved(&self) -> impl Iterator<Item = &LostAttempt> {
        self.unresolved.iter().map(|lost| &lost.attempt)
    }

    /// The unresolved attempts with a content.
    pub fn unresolved_with(&self, content: ContentKey) -> impl Iterator<Item = &LostAttempt> {
        self.unresolved()
            .filter(move |attempt| attempt.content == content)
    }

    /// When the connection of an unresolved attempt at an upstream broke first; if the upstream has crashed, this is
    /// the time of the crash. `None` if no connection broke.
    pub fn first_break_at(&self, upstream: u64) -> Option<Instant> {
        let broken = self.unresolved().filter(|attempt| {
            attempt.crash_id.upstream == upstream && attempt.loss == LossCause::ConnectionBroken
        });
        broken.map(|attempt| attempt.upstream.at).min()
    }

    /// Takes the attempts whose upstreams are proven to have crashed and whose crashes can be recorded now. Discards
    /// the attempts that expired unresolved.
    pub fn take_confirmed(&mut self, now: Instant) -> Vec<LostAttempt> {
        let confirmed = self
            .unresolved
            .extract_if(.., |u| u.recordable_at().is_some_and(|at| now >= at))
            .map(|lost| lost.attempt)
            .collect();
        let is_expired =
            |u: &mut UnresolvedAttempt| u.crash_known_at.is_none() && now >= u.expires_at();
        let expired: Vec<UnresolvedAttempt> = self.unresolved.extract_if(.., is_expired).collect();
        self.discard(expired, DiscardReason::Unconfirmed);
        confirmed
    }

    /// The upstreams to probe for the first time: [`CRASH_SETTLE_DELAY`] after the loss of an attempt, if no crash
    /// is proven by then. Returns each attempt's upstream once, and none for abandoned attempts.
    pub fn first_probes(&mut self, now: Instant) -> Vec<UpstreamEvent> {
        let unresolved = self.unresolved.iter_mut();
        let due = unresolved.filter(|u| u.needs_first_probe() && u.age(now) >= CRASH_SETTLE_DELAY);
        due.map(|lost| lost.mark_probed(now)).collect()
    }

    /// The upstreams to probe again now, and those of abandoned attempts to probe for the first time.
    ///
    /// `survival_time` returns for how long an upstream must continue to respond to have survived a content, and
    /// `None` if upstreams with lost attempts of this content need no further probes.
    pub fn repeated_probes(
        &mut self,
        now: Instant,
        survival_time: impl Fn(ContentKey) -> Option<Duration>,
    ) -> Vec<UpstreamEvent> {
        let mut due = Vec::new();
        for lost in &mut self.unresolved {
            let survival_time = survival_time(lost.attempt.content);
            let at = survival_time.and_then(|survival_time| lost.next_probe_at(survival_time));
            if at.is_some_and(|at| now >= at) {
                due.push(lost.mark_probed(now));
            }
        }
        due
    }

    /// When [`Self::repeated_probes`] returns an upstream next, with the same `survival_time`; `None` if never.
    pub fn next_repeated_probe(
        &self,
        survival_time: impl Fn(ContentKey) -> Option<Duration>,
    ) -> Option<Instant> {
        let unresolved = self.unresolved.iter();
        let next = unresolved.filter_map(|u| u.next_probe_at(survival_time(u.attempt.content)?));
        next.min()
    }

    /// When [`Self::take_confirmed`] or [`Self::first_probes`] has to be called next; `None` without an unresolved
    /// attempt.
    pub fn next_due(&self) -> Option<Instant> {
        self.unresolved
            .iter()
            .map(UnresolvedAttempt::next_due)
            .min()
    }
}
