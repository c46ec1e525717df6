//! For how long an upstream that turned a request away wants nothing from this router.
//!
//! - **Question.** An upstream has turned a request away and said how long it wants nothing. What may
//!   reach it meanwhile, and what do callers get where a whole service wants nothing?
//! - **Inputs.** The times that it named, in the order of its answers; whether it started again.
//! - **Answer.** Until when it gets no request; whether it may be asked a question.
//! - **Why.** The users allow two requests of a VM between half a second after the answer and the end
//!   of the time. What is under way arrives within that half second. Requests go to others, and where
//!   there are none, callers are refused at once, with the time when the first of the service may be asked
//!   again. A probe or a check reaches the upstream as a request does: one is allowed, so that a dead
//!   upstream with streams on it is found out, and the other is left to what was under way for long.
//!   The time binds the VM to which it was said, and no peer. It ends with the upstream's start.
//!
//! Both programs decide by it; `cloverpierd` sends no probes, and its load questions take no place at an
//! upstream. Owns the time of one upstream.

use std::time::{Duration, Instant};

/// A longer time counts as this one. An upstream that wants nothing for this long is better started
/// again, which ends it.
const MAX_WAIT: Duration = Duration::from_secs(3_600);
/// Probes and checks that may reach an upstream meanwhile: one less than the requests that users
/// allow.
const QUESTIONS: u32 = 1;

/// Reads the time off the text by which an upstream names it: seconds, fractions allowed. One that no
/// duration can hold is longer than any that counts; `None` for anything else, a date among it.
pub fn parse_retry_after(text: &str) -> Option<Duration> {
    // The caller has the text and says what cannot be read.
    let seconds: f64 = text.trim().parse().ok()?;
    let is_time = seconds >= 0.0;
    is_time.then(|| Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
}

/// The time for which an upstream wants nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wait {
    since: Instant,
    until: Instant,
    questions_left: u32,
}

impl Wait {
    /// A time that an upstream has named just now. One that it named before and that is not over is
    /// never shortened.
    pub fn begin(former: Option<Self>, time: Duration, now: Instant) -> Self {
        let until = now + time.min(MAX_WAIT);
        match former.filter(|wait| wait.binds(now)) {
            Some(former) => Self {
                until: former.until.max(until),
                ..former
            },
            None => Self {
                since: now,
                until,
                questions_left: QUESTIONS,
            },
        }
    }

    /// Whether the upstream wants nothing now.
    pub fn binds(&self, now: Instant) -> bool {
        now < self.until
    }

    /// When it began.
    pub fn since(&self) -> Instant {
        self.since
    }

    /// When it is over.
    pub fn until(&self) -> Instant {
        self.until
    }

    /// Whether a question may be sent all the same.
    pub fn allows_question(&self, now: Instant) -> bool {
        !self.binds(now) || self.questions_left > 0
    }

    /// Records a question that is sent.
    pub fn on_question(&mut self) {
        self.questions_left = self.questions_left.saturating_sub(1);
    }
}
