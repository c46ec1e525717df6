//! Attempts that broke off, until it is known whether their upstream ended.
//!
//! - **Question.** An attempt's connection broke after the request was sent. Did the upstream end, or
//!   was only the answer lost?
//! - **Inputs.** The attempt; later, that a probe was refused or another start was seen (the upstream
//!   ended), or that the same start answered (it lives).
//! - **Answer.** The attempts that are [`BrokenAttempts::due`]: their upstream ended, and
//!   [`JUDGE_AFTER`] has passed, so that what else ended is known. The upstreams that have to be probed,
//!   as nothing was learned of them ([`BrokenAttempts::unclear`]). The attempts that say nothing, and why
//!   ([`BrokenAttempts::take_dismissed`]).
//! - **Why.** A broken connection proves nothing: upstreams lose answers by resets and live,
//!   and most requests that lose an answer at several upstreams lose it so. Silence is no end either: it
//!   comes from cut links and pauses, too.
//!
//! Owns the open attempts.

use crate::book::UpstreamEnd;
use crate::content::ContentKey;
use crate::ended_upstreams::EndedUpstream;
use serde::Serialize;
use std::time::{Duration, Instant};

/// From the break to the judgement: all ends of a dying data centre are known 0.05 s after the
/// first. Longer, and a request that crashes upstreams has begun to run at the next one.
pub const JUDGE_AFTER: Duration = Duration::from_millis(50);
/// An attempt of which nothing is learned for this long says nothing: longer than a probe's timeout
/// (1 s).
pub const CONFIRM_WITHIN: Duration = Duration::from_millis(1_500);
/// Attempts that are open at most; the oldest are dropped. A data centre's death breaks some tens at
/// one router.
const MAX_OPEN: usize = 1_024;

/// An attempt that broke off.
#[derive(Clone, Debug)]
pub struct BrokenAttempt {
    /// What it sent.
    pub content: ContentKey,
    /// Whether the content ran to its end a moment before.
    pub ran_well: bool,
    /// The upstream's start that it ran at.
    pub end: UpstreamEnd,
    /// The upstream, and when the attempt broke off there.
    pub upstream: EndedUpstream,
    /// How long it had been there.
    pub ran_for: Duration,
}

/// Why an attempt does not count.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Dismissal {
    /// Its upstream answered since.
    Answered,
    /// Nothing was learned of its upstream in time.
    Unclear,
    /// More attempts were open than are kept.
    NoRoom,
}

/// An attempt that does not count.
#[derive(Clone, Debug)]
pub struct Dismissed {
    /// The attempt.
    pub attempt: BrokenAttempt,
    /// Why.
    pub reason: Dismissal,
}

/// An attempt, and whether its upstream is known to have ended.
#[derive(Clone, Debug)]
struct Open {
    attempt: BrokenAttempt,
    has_ended: bool,
    /// Whether its upstream was named as unclear.
    is_asked: bool,
}

impl Open {
    fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.attempt.upstream.at)
    }

    /// When something has to be done about it.
    fn next_due(&self) -> Instant {
        let wait = if self.has_ended || !self.is_asked {
            JUDGE_AFTER
        } else {
            CONFIRM_WITHIN
        };
        self.attempt.upstream.at + wait
    }
}

/// Attempts that broke off.
#[derive(Clone, Debug, Default)]
pub struct BrokenAttempts {
    open: Vec<Open>,
    /// Those that were dropped since they were taken last.
    dismissed: Vec<Dismissed>,
}

impl BrokenAttempts {
    /// Records an attempt that broke off; `has_ended` where its upstream's end is known already.
    pub fn on_broken(&mut self, attempt: BrokenAttempt, has_ended: bool) {
        if self.open.len() >= MAX_OPEN {
            let oldest = self.open.remove(0);
            self.dismiss([oldest], Dismissal::NoRoom);
        }
        self.open.push(Open {
            attempt,
            has_ended,
            is_asked: false,
        });
    }

    /// Records that an upstream has ended.
    pub fn on_end(&mut self, upstream: u64) {
        let there = self.open.iter_mut();
        for open in there.filter(|o| o.attempt.end.upstream == upstream) {
            open.has_ended = true;
        }
    }

    /// Records that the start of an upstream lives at which attempts broke off.
    pub fn on_alive(&mut self, upstream: u64) {
        let is_refuted = |o: &mut Open| o.attempt.end.upstream == upstream && !o.has_ended;
        let refuted: Vec<Open> = self.open.extract_if(.., is_refuted).collect();
        self.dismiss(refuted, Dismissal::Answered);
    }

    fn dismiss(&mut self, dropped: impl IntoIterator<Item = Open>, reason: Dismissal) {
        let dismissed = dropped.into_iter().map(|open| Dismissed {
            attempt: open.attempt,
            reason,
        });
        self.dismissed.extend(dismissed);
    }

    /// Takes the attempts that were found not to count since this was asked last.
    pub fn take_dismissed(&mut self) -> Vec<Dismissed> {
        std::mem::take(&mut self.dismissed)
    }

    /// Number of attempts with a content that are open.
    pub fn open_with(&self, content: ContentKey) -> usize {
        let with = self.open.iter().filter(|o| o.attempt.content == content);
        with.count()
    }

    /// Takes the attempts whose upstreams ended and that can be judged; drops those of which nothing
    /// was learned.
    pub fn due(&mut self, now: Instant) -> Vec<BrokenAttempt> {
        let due = self
            .open
            .extract_if(.., |o| o.has_ended && o.age(now) >= JUDGE_AFTER)
            .map(|open| open.attempt)
            .collect();
        let is_over = |o: &mut Open| o.age(now) >= CONFIRM_WITHIN;
        let over: Vec<Open> = self.open.extract_if(.., is_over).collect();
        self.dismiss(over, Dismissal::Unclear);
        due
    }

    /// The upstreams of which nothing was learned by the time of the judgement, each attempt's once.
    pub fn unclear(&mut self, now: Instant) -> Vec<EndedUpstream> {
        let open = self.open.iter_mut();
        let unclear = open.filter(|o| !o.has_ended && !o.is_asked && o.age(now) >= JUDGE_AFTER);
        let named = unclear.map(|open| {
            open.is_asked = true;
            open.attempt.upstream.clone()
        });
        named.collect()
    }

    /// When [`Self::due`] or [`Self::unclear`] has something to do next; `None` while nothing is open.
    pub fn next_due(&self) -> Option<Instant> {
        self.open.iter().map(Open::next_due).min()
    }
}
