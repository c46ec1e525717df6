//! Attempts in flight, to limit how many attempts with a suspect content may crash their upstreams at once.
//!
//! Requests that are held until a lost attempt is resolved are all released together. If they were sent together,
//! each could crash another upstream before the first of these crashes is known. So a router counts, per content,
//! the attempts that have not yet run for the survival time: the time after which an upstream that has not crashed
//! has survived the content. [`crate::tracker`] computes the survival time and decides what is held.
//!
//! Owns the unfinished attempts of one router.

use crate::content::ContentKey;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Number of an attempt, unique within an [`InFlightAttempts`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptNumber(u64);

/// The attempts with a content that may still crash their upstreams, as they have not run for long enough.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptsAtRisk {
    /// Number of these attempts, including attempts that are admitted but not sent yet.
    pub count: u32,
    /// When the first of them will have run for the survival time; `None` if none of them is sent yet.
    pub until: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct Attempt {
    number: AttemptNumber,
    /// When the attempt was sent; `None` while the attempt is admitted but not sent.
    sent_at: Option<Instant>,
}

/// The attempts of one router that are admitted or sent and not finished, by content.
#[derive(Clone, Debug, Default)]
pub struct InFlightAttempts {
    attempts: HashMap<ContentKey, Vec<Attempt>>,
    last_number: u64,
}

impl InFlightAttempts {
    /// Records that an attempt may be sent. Returns the number of the attempt for the other methods.
    pub fn on_admitted(&mut self, content: ContentKey) -> AttemptNumber {
        self.last_number += 1;
        let number = AttemptNumber(self.last_number);
        let attempts = self.attempts.entry(content).or_default();
        attempts.push(Attempt {
            number,
            sent_at: None,
        });
        number
    }

    /// Records that an admitted attempt is sent. From then on the survival time counts.
    pub fn on_sent(&mut self, content: ContentKey, number: AttemptNumber, now: Instant) {
        let attempts = self.attempts.get_mut(&content).into_iter().flatten();
        for attempt in attempts.filter(|attempt| attempt.number == number) {
            attempt.sent_at = Some(now);
        }
    }

    /// Records that an attempt has finished in any way, or will not be sent.
    pub fn on_finished(&mut self, content: ContentKey, number: AttemptNumber) {
        if let Some(attempts) = self.attempts.get_mut(&content) {
            attempts.retain(|attempt| attempt.number != number);
            if attempts.is_empty() {
                self.attempts.remove(&content);
            }
        }
    }

    /// The attempts with a content that have not run for `survival_time` yet; `excluded` is left out.
    pub fn at_risk(
        &self,
        content: ContentKey,
        excluded: Option<AttemptNumber>,
        survival_time: Duration,
        now: Instant,
    ) -> AttemptsAtRisk {
        let attempts = self.attempts.get(&content).into_iter().flatten();
        let others = attempts.filter(|attempt| Some(attempt.number) != excluded);
        let survived_at =
            others.map(|attempt| attempt.sent_at.map(|sent_at| sent_at + survival_time));
        let at_risk: Vec<_> = survived_at
            .filter(|at| at.is_none_or(|at| now < at))
            .collect();
        AttemptsAtRisk {
            count: u32::try_from(at_risk.len()).unwrap_or(u32::MAX),
            until: at_risk.into_iter().flatten().min(),
        }
    }
}
