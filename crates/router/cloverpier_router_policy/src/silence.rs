//! Decides what becomes of an attempt from whose upstream nothing arrives.
//!
//! - **Question.** An attempt at an upstream has made no progress for a while. Does it wait on, or does another upstream
//!   take the request on?
//! - **Inputs.** A [`SilentAttempt`]: the sign by which the attempt seems lost; how long it and its upstream have been
//!   silent, and how many other upstreams respond ([`SilenceEvidence`]); the upstream that would get the next attempt now
//!   ([`NextUpstream`]).
//! - **Result.** A [`SilenceStep`].
//! - **Why.** Silence is no proof: an upstream that pauses goes on with all its requests, and nothing tells a pause from
//!   a silent death while it lasts. So silence alone ends no attempt. An attempt ends only for the benefit of its
//!   request: if the request may be sent again, within its limits and the retry budget, and another upstream has room for
//!   it, and responds: if all upstreams of a service fall silent at once, they have a cause in common, such as a pause of
//!   all of them or of the network, and moves would only have every prompt read again. What is silent decides how soon: a
//!   response that hangs at an upstream that serves others never arrives, and one at an upstream that answers no request
//!   may go on any moment.
//!
//! Proof that the process of the upstream has ended (a refused connection, another process at its address, a later start)
//! is no silence and ends an attempt without this decision. Owns no state.

use crate::first_event_wait::{CHECK_PERIOD, CLEARLY_SOONER, MAX_MOVES, PREDICTION_ERROR};
use crate::path_evidence::HEARD_TTL;
use serde::Serialize;
use std::time::Duration;

/// The time without any sign of an upstream with streams under way after which the upstream counts as silent, and decisions
/// begin. Longer than [`HEARD_TTL`], so that what upstreams sent shortly before they all stopped does not count.
pub const QUIET_AFTER: Duration = Duration::from_millis(350);
/// The time until the next decision while the next upstream is probed.
pub const PROBE_CHECK_PERIOD: Duration = Duration::from_millis(20);
/// The time without progress after which a request is sent to an upstream that has shown no sign of life either. After a
/// loss, output has to continue within 5 s.
pub const UNPROVEN_AFTER: Duration = Duration::from_secs(4);
/// An upstream without a sign of life for this time after a probe was sent to it is unresponsive: others are preferred.
/// Half of the time after which it is declared dead.
pub const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(100);
/// The time after an unanswered probe for which an upstream can count as unresponsive: one that has no requests of this
/// router is not probed again.
pub(crate) const UNRESPONSIVE_FOR: Duration = Duration::from_secs(2);
/// An attempt may hang at an upstream that responds to questions once it has made no progress for this many times the
/// configured time, although the other upstreams are silent, too.
const HANG_FACTOR: u32 = 3;

/// What this router knows of a silence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SilenceEvidence {
    /// The time since the attempt made progress; before that, since it was sent.
    pub without_progress: Duration,
    /// The time since the upstream sent anything that counts to this router; `None` if it never has.
    pub upstream_silent: Option<Duration>,
    /// The time for which the upstream has responded to requests of this router without a long pause; `None` if it never
    /// has.
    pub upstream_responding: Option<Duration>,
    /// Number of other upstreams of the service from which this router expects something: a plain response, or the next
    /// event of a stream.
    pub others_awaited: usize,
    /// Number of these that have sent something lately: within [`HEARD_TTL`] for engines, since the attempt made progress
    /// for others, whose responses follow no rhythm.
    pub others_heard: usize,
}

/// What is silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum SilenceScope {
    /// Only this attempt: its upstream responds to other requests.
    Attempt,
    /// The upstream; others of the service respond, or nothing is expected from any of them.
    Upstream,
    /// All upstreams of the service from which something is expected.
    Service,
}

impl SilenceEvidence {
    /// The time for which the upstream has responded to other requests while this attempt made no progress. Requests that
    /// were silent with their whole upstream go on one after the other.
    fn silent_alone(&self) -> Duration {
        let responding = self.upstream_responding.unwrap_or_default();
        responding.min(self.without_progress)
    }

    /// What the evidence shows to be silent.
    pub fn scope(&self) -> SilenceScope {
        if self
            .upstream_silent
            .is_some_and(|silent| silent < HEARD_TTL)
        {
            SilenceScope::Attempt
        } else if self.others_awaited > 0 && self.others_heard == 0 {
            SilenceScope::Service
        } else {
            SilenceScope::Upstream
        }
    }
}

/// The sign by which an attempt seems lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum SilenceSign {
    /// The upstream responds to probes, and the attempt makes no progress.
    Stalled,
    /// The upstream does not respond to probes either.
    Unreachable,
    /// The upstream does not respond over the path of the attempt, and does over another one.
    PathLost,
}

/// The upstream that would get the next attempt now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NextUpstream {
    /// The predicted time to the first event there, or zero for an upstream that is no engine; `None` while no rate is
    /// known.
    pub predicted: Option<Duration>,
    /// Whether it has sent anything to this router lately, responses to probes included.
    pub has_responded: bool,
    /// Whether it has sent a part of a response to a request lately.
    pub has_progressed: bool,
}

/// An attempt that seems lost, although nothing proves it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SilentAttempt {
    /// The sign by which it seems lost.
    pub sign: SilenceSign,
    /// What is known of the silence.
    pub evidence: SilenceEvidence,
    /// `None` if the request may not be sent again, or no other upstream has room for it.
    pub next: Option<NextUpstream>,
    /// The time without progress after which an attempt counts as stalled.
    pub stall_after: Duration,
    /// The time without progress after which the caller's response is late; `None` if that is not known.
    pub late_after: Option<Duration>,
    /// How often the request was moved away from a living upstream before.
    pub moves: u32,
    /// Whether the request is a stream, of which another engine would have to read the prompt again.
    pub is_stream: bool,
}

/// What becomes of the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SilenceStep {
    /// The attempt goes on; decide again after this time.
    WaitFor(Duration),
    /// The attempt goes on; probe the next upstream, and decide again after this time.
    ProbeNext(Duration),
    /// The attempt ends, and the request is sent to the next upstream.
    Move,
}

impl SilentAttempt {
    /// Decides what becomes of the attempt.
    pub fn step(&self) -> SilenceStep {
        let Some(next) = self.next else {
            return SilenceStep::WaitFor(CHECK_PERIOD);
        };
        if !self.is_stream {
            return self.move_if_alive(next);
        }
        match self.sign {
            SilenceSign::PathLost => SilenceStep::Move,
            SilenceSign::Unreachable => self.when_unreachable(next),
            SilenceSign::Stalled => self.when_stalled(next),
        }
    }

    /// A single connection that does not come up is no reason to leave an upstream that has just sent something.
    fn when_unreachable(&self, next: NextUpstream) -> SilenceStep {
        let evidence = &self.evidence;
        let silent = evidence
            .upstream_silent
            .unwrap_or(evidence.without_progress);
        let silent = silent.min(evidence.without_progress);
        if silent < QUIET_AFTER {
            SilenceStep::WaitFor(QUIET_AFTER - silent)
        } else {
            self.move_if_alive(next)
        }
    }

    fn when_stalled(&self, next: NextUpstream) -> SilenceStep {
        if self.moves >= MAX_MOVES {
            return SilenceStep::WaitFor(CHECK_PERIOD);
        }
        let scope = self.evidence.scope();
        let (silent, move_after) = if scope == SilenceScope::Service && !next.has_progressed {
            let hangs_after = self.stall_after * HANG_FACTOR;
            (self.evidence.without_progress, hangs_after)
        } else if scope == SilenceScope::Attempt {
            (self.evidence.silent_alone(), self.timeout_alone(next))
        } else {
            (
                self.evidence.without_progress,
                self.timeout_beside_others(next),
            )
        };
        let left = move_after.saturating_sub(silent);
        if left.is_zero() {
            self.move_if_alive(next)
        } else {
            SilenceStep::WaitFor(left.min(CHECK_PERIOD))
        }
    }

    /// The time for which the response may hang at an upstream that responds to other requests.
    fn timeout_alone(&self, next: NextUpstream) -> Duration {
        if self.is_in_time_at(next) {
            QUIET_AFTER
        } else {
            self.stall_after
        }
    }

    /// The time for which the upstream may be silent while others respond. A silence of unknown cause is expected to last
    /// as long again as it has lasted.
    fn timeout_beside_others(&self, next: NextUpstream) -> Duration {
        if self.is_in_time_at(next) {
            return Duration::ZERO;
        }
        let predicted = next.predicted.unwrap_or(self.stall_after);
        self.stall_after.max(predicted.mul_f64(CLEARLY_SOONER))
    }

    /// Moves the request if the next upstream has shown that it lives, or if nothing has for too long.
    fn move_if_alive(&self, next: NextUpstream) -> SilenceStep {
        if next.has_responded || self.evidence.without_progress >= UNPROVEN_AFTER {
            SilenceStep::Move
        } else {
            SilenceStep::ProbeNext(PROBE_CHECK_PERIOD)
        }
    }

    /// Whether the caller's response is still in time if the next upstream gets the request now.
    fn is_in_time_at(&self, next: NextUpstream) -> bool {
        let (Some(late_after), Some(predicted)) = (self.late_after, next.predicted) else {
            return false;
        };
        let left = late_after.saturating_sub(self.evidence.without_progress);
        !left.is_zero() && predicted.mul_f64(PREDICTION_ERROR) <= left
    }
}

/// The time without progress after which [`SilentAttempt::step`] is first asked about a stream between two events: early
/// enough for an engine with a replica to keep the response in time.
pub fn first_check_between_events(
    stall_after: Duration,
    gap_objective: Option<Duration>,
) -> Duration {
    gap_objective.map_or(stall_after, |gap| stall_after.min(gap / 2).max(QUIET_AFTER))
}
