//! Attempts that are under way with contents that may do harm: each may be the next to end its upstream.
//!
//! - **Question.** How many attempts with a content may still end their upstreams, and until when?
//! - **Inputs.** Attempts as they are admitted, sent and over; for how long an upstream has to run the
//!   content to have survived it.
//! - **Answer.** [`AtRisk`].
//! - **Why.** Requests that wait for a judgement are woken together. Sent together, each would end an
//!   upstream of its own before the first of these ends is known.
//!
//! Owns the attempts of one router.

use crate::content::ContentKey;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// An attempt under way, by its number at this router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptNumber(u64);

/// The attempts that may still end their upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AtRisk {
    /// How many they are.
    pub count: u32,
    /// When the first of them will have run for long enough; `None` while none is sent.
    pub until: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct Attempt {
    number: AttemptNumber,
    /// `None` until it is sent.
    sent: Option<Instant>,
}

/// Attempts under way, by content.
#[derive(Clone, Debug, Default)]
pub struct AttemptsUnderWay {
    attempts: HashMap<ContentKey, Vec<Attempt>>,
    last_number: u64,
}

impl AttemptsUnderWay {
    /// Records that an attempt may be sent.
    pub fn on_admitted(&mut self, content: ContentKey) -> AttemptNumber {
        self.last_number += 1;
        let number = AttemptNumber(self.last_number);
        let attempts = self.attempts.entry(content).or_default();
        attempts.push(Attempt { number, sent: None });
        number
    }

    /// Records that an attempt is sent.
    pub fn on_sent(&mut self, content: ContentKey, number: AttemptNumber, now: Instant) {
        let attempts = self.attempts.get_mut(&content).into_iter().flatten();
        for attempt in attempts.filter(|attempt| attempt.number == number) {
            attempt.sent = Some(now);
        }
    }

    /// Records that an attempt is over.
    pub fn on_over(&mut self, content: ContentKey, number: AttemptNumber) {
        if let Some(attempts) = self.attempts.get_mut(&content) {
            attempts.retain(|attempt| attempt.number != number);
            if attempts.is_empty() {
                self.attempts.remove(&content);
            }
        }
    }

    /// The attempts with a content, but for one, that have not run for `survival` yet.
    pub fn at_risk(
        &self,
        content: ContentKey,
        but_for: Option<AttemptNumber>,
        survival: Duration,
        now: Instant,
    ) -> AtRisk {
        let attempts = self.attempts.get(&content).into_iter().flatten();
        let others = attempts.filter(|attempt| Some(attempt.number) != but_for);
        let ends = others.map(|attempt| attempt.sent.map(|sent| sent + survival));
        let at_risk: Vec<_> = ends.filter(|end| end.is_none_or(|end| now < end)).collect();
        AtRisk {
            count: u32::try_from(at_risk.len()).unwrap_or(u32::MAX),
            until: at_risk.into_iter().flatten().min(),
        }
    }
}
