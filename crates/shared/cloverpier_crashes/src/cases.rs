//! All that a router keeps of requests that end upstreams, from a broken attempt to the verdict.
//!
//! - **Question.** What follows from each thing that a router sees: an attempt that breaks off, an
//!   upstream that ends or answers, a request that runs to its end? May this request be sent now?
//! - **Inputs.** These events, with the present moment; how many upstreams are listed beside one.
//! - **Answer.** An [`Admission`]; the attempts that were judged, for logs and peers.
//! - **Why.** Both programs see the same events by other means. Here they meet the rules in one order.
//!
//! Owns the book, the open attempts, the upstreams that ended and the contents that ran well recently.

use crate::book::{Crash, CrashBook, CrashLimit, SUSPECT_FROM, Verdict};
use crate::broken_attempts::{BrokenAttempt, BrokenAttempts, Dismissed};
use crate::content::{Content, ContentKey};
use crate::ended_upstreams::{EndedUpstream, EndedUpstreams};
use crate::recent_contents::RecentContents;
use crate::weight::{Surroundings, Weight};
use std::time::{Duration, Instant};

/// A request that may have ended two upstreams waits for the judgement of its last attempt for so
/// long at most: the time to the judgement, and the probe before it.
pub const MAX_HOLD: Duration = Duration::from_millis(250);

/// How a request may be sent to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
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

/// Upstreams beside one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Neighbours {
    /// Of its service.
    pub in_service: u32,
    /// Those of them in its data centre.
    pub in_data_centre: u32,
}

/// An attempt that was judged: its upstream ended under it.
#[derive(Clone, Debug)]
pub struct Judged {
    /// The attempt.
    pub attempt: BrokenAttempt,
    /// What was around the upstream when it ended.
    pub surroundings: Surroundings,
    /// Ends that are known of the content.
    pub ends: usize,
    /// What is known against it, in thousandths of an end that nothing else explains.
    pub evidence: u32,
}

/// What a router keeps of requests that end upstreams.
#[derive(Clone, Debug)]
pub struct CrashCases {
    /// What is known against contents.
    pub book: CrashBook,
    broken: BrokenAttempts,
    ended: EndedUpstreams,
    recent: RecentContents,
}

impl CrashCases {
    /// Knows of no end yet.
    pub fn new(limit: CrashLimit) -> Self {
        Self {
            book: CrashBook::new(limit),
            broken: BrokenAttempts::default(),
            ended: EndedUpstreams::default(),
            recent: RecentContents::default(),
        }
    }

    /// Whether no content may have done harm, so that requests need not be distinguished.
    pub fn is_empty(&self) -> bool {
        self.book.is_empty() && self.broken.next_due().is_none()
    }

    /// Whether a request has to wait for the judgement of its last attempt, as it may be what ended
    /// [`SUSPECT_FROM`] upstreams, of which repeats that crash one within milliseconds would end
    /// several before the first end is known. A first retry never waits.
    pub fn awaits_judgement(&self, content: ContentKey, now: Instant) -> bool {
        let CrashLimit(limit) = self.book.limit();
        let open = self.broken.open_with(content);
        limit > 0 && open > 0 && open + self.book.crashes(content, now) >= SUSPECT_FROM as usize
    }

    /// How a request may be sent now; attempts that are not judged yet count in full.
    pub fn admission(&self, content: ContentKey, now: Instant) -> Admission {
        let full = Weight::FULL.thousandths();
        // Fewer than 2^32 are open.
        let open = self.broken.open_with(content) as u32 * full;
        let against = self.book.evidence(content, now) + open;
        match self.book.verdict(content, now) {
            Verdict::Stopped => Admission::Stopped,
            _ if against >= SUSPECT_FROM * full => Admission::Apart,
            _ => Admission::Beside,
        }
    }

    /// Records an attempt that broke off. One at an upstream that was about to leave is not to be
    /// recorded: it ends by itself.
    pub fn on_broken(&mut self, content: &Content<'_>, attempt: BrokenAttempt) {
        let now = attempt.upstream.at;
        let begun = now.checked_sub(attempt.ran_for);
        let has_ended = self.ended.has_ended_since(attempt.end.upstream, begun);
        let ran_well = self.recent.ran_well(content, now);
        self.broken.on_broken(
            BrokenAttempt {
                ran_well,
                ..attempt
            },
            has_ended,
        );
    }

    /// Records that an upstream's host has no process at its address any more.
    pub fn on_end(&mut self, ended: EndedUpstream) {
        self.broken.on_end(ended.upstream);
        self.ended.on_end(ended);
    }

    /// Records an upstream that is dead by a peer's word or by its silence: that explains ends beside
    /// it, and proves none.
    pub fn on_death(&mut self, died: EndedUpstream) {
        self.ended.on_death(died);
    }

    /// Records that an upstream has ended some time ago, as another start answers in its place.
    pub fn on_former_start(&mut self, upstream: u64) {
        self.broken.on_end(upstream);
    }

    /// Records that an upstream lives, which answered a probe.
    pub fn on_alive(&mut self, upstream: u64) {
        self.broken.on_alive(upstream);
    }

    /// Records that an upstream ran a request to its end: what ended while others ran its content did
    /// not end by it. Returns the content if that changes what is known.
    pub fn on_completed(&mut self, content: &Content<'_>, now: Instant) -> Option<ContentKey> {
        self.recent.on_completed(content, now);
        if self.book.is_empty() {
            return None;
        }
        let key = ContentKey::of(content);
        self.book.on_completed(key).then_some(key)
    }

    /// The upstreams that have to be probed, as nothing was learned of them.
    pub fn unclear(&mut self, now: Instant) -> Vec<EndedUpstream> {
        self.broken.unclear(now)
    }

    /// When [`Self::judge`] or [`Self::unclear`] has something to do next.
    pub fn next_due(&self) -> Option<Instant> {
        self.broken.next_due()
    }

    /// Takes the attempts that were found not to count since this was asked last.
    pub fn take_dismissed(&mut self) -> Vec<Dismissed> {
        self.broken.take_dismissed()
    }

    /// Judges the attempts whose time has come.
    pub fn judge(
        &mut self,
        now: Instant,
        neighbours: impl Fn(&EndedUpstream) -> Neighbours,
    ) -> Vec<Judged> {
        let due = self.broken.due(now);
        let judged = due.into_iter().map(|attempt| {
            let Neighbours {
                in_service,
                in_data_centre,
            } = neighbours(&attempt.upstream);
            let surroundings = Surroundings {
                in_service,
                in_data_centre,
                ended: self.ended.beside(&attempt.upstream),
            };
            self.record(attempt, surroundings, now)
        });
        judged.collect()
    }

    fn record(
        &mut self,
        attempt: BrokenAttempt,
        surroundings: Surroundings,
        now: Instant,
    ) -> Judged {
        let content = attempt.content;
        let crash = Crash {
            end: attempt.end,
            at: attempt.upstream.at,
            ran_for: attempt.ran_for,
            surroundings: surroundings.clone(),
            excused: attempt.ran_well,
        };
        self.book.record(content, crash, now);
        Judged {
            attempt,
            surroundings,
            ends: self.book.crashes(content, now),
            evidence: self.book.evidence(content, now),
        }
    }
}
