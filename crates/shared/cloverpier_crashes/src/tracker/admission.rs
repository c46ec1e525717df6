//! Whether a request may be sent now.
//!
//! - **Question.** Does a request wait, and for what? If it is sent: like any other, or apart?
//! - **Inputs.** What is known of its content, the attempts with it that are open or under way.
//! - **Answer.** A [`Hold`], and an [`Admission`].
//! - **Why.** One attempt more may end one upstream more. Who waits in vain loses its time instead.
//!
//! Owns nothing; the cases are [`super`]'s.

use super::{CrashCases, Neighbours, crash_of, survival_of};
use crate::content::ContentKey;
use crate::in_flight::{AtRisk, AttemptNumber};
use crate::lost_attempts::{Loss, LostAttempt};
use crate::recent_failures::EndedUpstream;
use crate::registry::{CrashLimit, Evidence, SUSPECT_FROM, Verdict};
use serde::Serialize;
use std::time::{Duration, Instant};

/// A request that may have ended two upstreams waits for the judgement of its last attempt for so
/// long at most: the time to the judgement, and the probe before it.
pub const MAX_HOLD: Duration = Duration::from_millis(250);

/// Whether a request waits before it is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hold {
    /// It does not.
    No,
    /// For [`MAX_HOLD`] at most, until its last attempt is judged: it may be what ended
    /// [`SUSPECT_FROM`] upstreams, of which repeats that crash one within milliseconds would end
    /// several before the first end is known.
    Briefly,
    /// Until it is known of each attempt whether its upstream ended: if all did, they are as many as stop
    /// the content, and one more would end.
    UntilSettled,
    /// Until another attempt with the content is over, or has run for longer than those that were lost: if it
    /// ends its upstream, too, one more would be too many. `None` while that one is not sent.
    WhileAnotherRuns(Option<Instant>),
}

impl Hold {
    /// Until when a request waits at most that has waited since a moment and whose time is over at
    /// `deadline`; `None` where it does not wait any more.
    pub fn until(self, since: Instant, deadline: Instant, now: Instant) -> Option<Instant> {
        let until = match self {
            Self::No => return None,
            Self::Briefly => deadline.min(since + MAX_HOLD),
            Self::UntilSettled => deadline,
            Self::WhileAnotherRuns(until) => until.map_or(deadline, |until| until.min(deadline)),
        };
        (now < until).then_some(until)
    }
}

/// How a request may be sent to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Admission {
    /// Like any other.
    Beside,
    /// Where it meets the fewest others: it may be what ended two upstreams.
    Apart,
    /// Not at all.
    Stopped,
}

impl Admission {
    /// The number that keeps a content apart from others, where it is to be.
    pub fn apart(self, content: ContentKey) -> Option<u64> {
        (self == Self::Apart).then(|| content.spread())
    }
}

impl CrashCases {
    /// Whether a request has to wait for the judgement of its last attempts, or for another's. A first
    /// retry never does.
    pub fn hold(
        &self,
        content: ContentKey,
        now: Instant,
        neighbours: impl Fn(&EndedUpstream) -> Neighbours,
    ) -> Hold {
        self.hold_beside(content, None, now, neighbours)
    }

    /// The same for an attempt that was admitted and has waited since then to be sent.
    pub fn hold_admitted(
        &self,
        content: ContentKey,
        own: AttemptNumber,
        now: Instant,
        neighbours: impl Fn(&EndedUpstream) -> Neighbours,
    ) -> Hold {
        self.hold_beside(content, Some(own), now, neighbours)
    }

    fn hold_beside(
        &self,
        content: ContentKey,
        own: Option<AttemptNumber>,
        now: Instant,
        neighbours: impl Fn(&EndedUpstream) -> Neighbours,
    ) -> Hold {
        let CrashLimit(limit) = self.book.limit();
        let has_open = self.waited_for(content).next().is_some();
        let at_risk = self.at_risk(content, own, now);
        let is_clear = !has_open && at_risk.count == 0;
        if limit == 0 || is_clear || self.book.is_cleared(content) {
            return Hold::No;
        }
        let at_worst = self.at_worst(content, now, neighbours);
        let one_too_many = limit.saturating_sub(at_risk.count).max(SUSPECT_FROM);
        if has_open && at_worst.is_ends(limit) {
            Hold::UntilSettled
        } else if at_risk.count > 0 && at_worst.is_ends(one_too_many) {
            Hold::WhileAnotherRuns(at_risk.until)
        } else if has_open && at_worst.ends >= SUSPECT_FROM as usize {
            Hold::Briefly
        } else {
            Hold::No
        }
    }

    /// The attempts under way with a content that may still end their upstreams, but for one.
    fn at_risk(&self, content: ContentKey, own: Option<AttemptNumber>, now: Instant) -> AtRisk {
        let lost = self.waited_for(content).map(|attempt| attempt.ran_for);
        let longest = lost.fold(self.book.longest_run(content, now), Duration::max);
        self.under_way
            .at_risk(content, own, survival_of(longest), now)
    }

    /// How a request may be sent now; attempts that are not judged yet count as ends.
    pub fn admission(
        &self,
        content: ContentKey,
        now: Instant,
        neighbours: impl Fn(&EndedUpstream) -> Neighbours,
    ) -> Admission {
        match self.book.verdict(content, now) {
            Verdict::Stopped => Admission::Stopped,
            _ if self
                .at_worst(content, now, neighbours)
                .is_ends(SUSPECT_FROM) =>
            {
                Admission::Apart
            }
            _ => Admission::Beside,
        }
    }

    /// What would be known against a content if the upstreams of all its open attempts had ended.
    fn at_worst(
        &self,
        content: ContentKey,
        now: Instant,
        neighbours: impl Fn(&EndedUpstream) -> Neighbours,
    ) -> Evidence {
        let open = self.waited_for(content);
        let crashes = open.map(|attempt| {
            let surroundings = self.surroundings(attempt, neighbours(&attempt.upstream), now);
            crash_of(attempt, surroundings)
        });
        self.book.evidence_with(content, crashes, now)
    }

    /// The open attempts with a content that something may wait for.
    fn waited_for(&self, content: ContentKey) -> impl Iterator<Item = &LostAttempt> {
        let open = self.lost.open_with(content);
        open.filter(|attempt| attempt.loss != Loss::Abandoned)
    }
}
