//! Decision whether a request may be sent to an upstream now, by the crashes under its content.
//!
//! A further attempt may crash a further upstream, while a request that is held back needlessly only loses time. So
//! a request is held back ([`Hold`]) where its attempt could be one too many, until lost attempts with its content
//! are resolved or another attempt has run long enough. Then the request is sent normally, isolated, or not at all
//! ([`Admission`]).
//!
//! Owns no state: relies on the recorded crashes, the unresolved attempts and the in-flight attempts of the
//! [`CrashTracker`].

use super::{CrashTracker, NeighbourCounts, crash_of, survival_time_after};
use crate::content::ContentKey;
use crate::in_flight::{AttemptNumber, AttemptsAtRisk};
use crate::lost_attempts::{LossCause, LostAttempt};
use crate::recent_failures::UpstreamEvent;
use crate::registry::{ContentStatus, CrashLimit, Evidence, SUSPECT_THRESHOLD};
use serde::Serialize;
use std::time::{Duration, Instant};

/// Maximum time for which [`Hold::Briefly`] holds a request: it covers the settle delay of a crash and the probe
/// before.
pub const MAX_HOLD: Duration = Duration::from_millis(250);

/// Whether a request is held back before it is sent, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hold {
    /// The request is not held.
    No,
    /// Until the last lost attempt is resolved, but at most for [`MAX_HOLD`]. The content may have crashed
    /// [`SUSPECT_THRESHOLD`] upstreams. If it crashes an upstream within milliseconds, repeats that are not held
    /// would crash several upstreams before the first crash is known.
    Briefly,
    /// Until it is known for each lost attempt whether its upstream crashed. If all of them did, these crashes block
    /// the content, and a further attempt would crash one upstream more.
    UntilResolved,
    /// Until another attempt with the content finishes or has run for the survival time: if that attempt crashes its
    /// upstream, the content is blocked, and a further attempt would crash one upstream more. The time is when the
    /// first such attempt has run long enough; `None` if none of them is sent yet.
    WhileAnotherRuns(Option<Instant>),
}

impl Hold {
    /// The latest time until which a request is held, if it has been held since `since` and times out at `deadline`;
    /// `None` if the request is not held any more.
    pub fn until(self, since: Instant, deadline: Instant, now: Instant) -> Option<Instant> {
        let until = match self {
            Self::No => return None,
            Self::Briefly => deadline.min(since + MAX_HOLD),
            Self::UntilResolved => deadline,
            Self::WhileAnotherRuns(until) => until.map_or(deadline, |until| until.min(deadline)),
        };
        (now < until).then_some(until)
    }
}

/// Whether and how a request may be sent to an upstream, by the crashes under its content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Admission {
    /// The request is sent like any other.
    #[serde(rename = "beside")]
    Normal,
    /// The request is sent to the upstream that executes the fewest other requests, as its content may have crashed
    /// [`SUSPECT_THRESHOLD`] upstreams.
    #[serde(rename = "apart")]
    Isolated,
    /// The request is sent to no upstream, as its content has crashed too many upstreams.
    #[serde(rename = "stopped")]
    Blocked,
}

impl Admission {
    /// For [`Admission::Isolated`], a hash of the content by which requests with different suspect contents prefer
    /// different upstreams, so that they do not meet at the same one; else `None`.
    pub fn isolation_key(self, content: ContentKey) -> Option<u64> {
        (self == Self::Isolated).then(|| content.placement_hash())
    }
}

impl CrashTracker {
    /// Whether a request is held back: until lost attempts with its content are resolved, or while another attempt
    /// with its content runs. With a [`CrashLimit`] of 2 or more, the first retry of a request is not held.
    pub fn hold(
        &self,
        content: ContentKey,
        now: Instant,
        neighbours: impl Fn(&UpstreamEvent) -> NeighbourCounts,
    ) -> Hold {
        self.hold_excluding(content, None, now, neighbours)
    }

    /// The same as [`Self::hold`], for an attempt that was admitted but not sent yet; `own` is its number.
    pub fn hold_admitted(
        &self,
        content: ContentKey,
        own: AttemptNumber,
        now: Instant,
        neighbours: impl Fn(&UpstreamEvent) -> NeighbourCounts,
    ) -> Hold {
        self.hold_excluding(content, Some(own), now, neighbours)
    }

    /// Whether a request is held, where the in-flight attempt `own` is not counted.
    fn hold_excluding(
        &self,
        content: ContentKey,
        own: Option<AttemptNumber>,
        now: Instant,
        neighbours: impl Fn(&UpstreamEvent) -> NeighbourCounts,
    ) -> Hold {
        let CrashLimit(limit) = self.registry.limit();
        let has_unresolved = self.holding_attempts(content).next().is_some();
        let at_risk = self.at_risk(content, own, now);
        let is_unaffected = !has_unresolved && at_risk.count == 0;
        if limit == 0 || is_unaffected || self.registry.is_cleared(content) {
            return Hold::No;
        }
        let worst_case_evidence = self.worst_case_evidence(content, now, neighbours);
        // With this many crashes, the content is blocked if all attempts at risk crash their upstreams, too. Without any
        // possible crash, copies of a request may run side by side.
        let limit_before_in_flight = limit.saturating_sub(at_risk.count).max(1);
        if has_unresolved && worst_case_evidence.reaches(limit) {
            Hold::UntilResolved
        } else if at_risk.count > 0 && worst_case_evidence.reaches(limit_before_in_flight) {
            Hold::WhileAnotherRuns(at_risk.until)
        } else if has_unresolved && worst_case_evidence.crash_count >= SUSPECT_THRESHOLD as usize {
            Hold::Briefly
        } else {
            Hold::No
        }
    }

    /// The in-flight attempts with a content that may still crash their upstreams, without the attempt `own`. The
    /// survival time takes unresolved attempts into account, besides recorded crashes.
    fn at_risk(
        &self,
        content: ContentKey,
        own: Option<AttemptNumber>,
        now: Instant,
    ) -> AttemptsAtRisk {
        let lost = self
            .holding_attempts(content)
            .map(|attempt| attempt.ran_for);
        let longest = lost.fold(self.registry.longest_execution(content, now), Duration::max);
        self.in_flight
            .at_risk(content, own, survival_time_after(longest), now)
    }

    /// Whether and how a request may be sent now. Unresolved attempts count as crashes for
    /// [`Admission::Isolated`], but not for [`Admission::Blocked`].
    pub fn admission(
        &self,
        content: ContentKey,
        now: Instant,
        neighbours: impl Fn(&UpstreamEvent) -> NeighbourCounts,
    ) -> Admission {
        match self.registry.status(content, now) {
            ContentStatus::Blocked => Admission::Blocked,
            _ if self
                .worst_case_evidence(content, now, neighbours)
                .reaches(SUSPECT_THRESHOLD) =>
            {
                Admission::Isolated
            }
            _ => Admission::Normal,
        }
    }

    /// The evidence against a content if the upstreams of all its unresolved attempts have crashed. Abandoned
    /// attempts are left out.
    fn worst_case_evidence(
        &self,
        content: ContentKey,
        now: Instant,
        neighbours: impl Fn(&UpstreamEvent) -> NeighbourCounts,
    ) -> Evidence {
        let unresolved = self.holding_attempts(content);
        let crashes = unresolved.map(|attempt| {
            let context = self.crash_context(attempt, neighbours(&attempt.upstream), now);
            crash_of(attempt, context)
        });
        self.registry.evidence_with(content, crashes, now)
    }

    /// The unresolved attempts with a content that may hold back requests: all but abandoned ones.
    fn holding_attempts(&self, content: ContentKey) -> impl Iterator<Item = &LostAttempt> {
        let unresolved = self.lost.unresolved_with(content);
        unresolved.filter(|attempt| attempt.loss != LossCause::Abandoned)
    }
}
