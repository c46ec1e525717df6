//! Attempts that were lost at an upstream, until it is known whether the upstream ended.
//!
//! - **Question.** A request was sent, and its connection broke, or it was given up for the upstream's
//!   silence. Did the upstream end, was only the answer lost, or is it merely standing still?
//! - **Inputs.** The attempt; later, that a probe was refused or another start was seen (the upstream
//!   ended), or that the same start answered a question (it lives).
//! - **Answer.** The attempts that are [`LostAttempts::due`]: their upstream ended, and
//!   [`JUDGE_AFTER`] has passed, so that what else ended is known. The upstreams that have to be probed,
//!   as nothing was learned of them ([`LostAttempts::unclear`]), and again while it matters
//!   ([`LostAttempts::unclear_again`]). The attempts that say nothing, and why
//!   ([`LostAttempts::take_dismissed`]).
//! - **Why.** A broken connection proves nothing: upstreams lose answers by resets and live,
//!   and most requests that lose an answer at several upstreams lose it so. Silence is no end either: it
//!   comes from cut links and pauses, too. And it is no proof of the opposite: a paused upstream ends
//!   later by what it was sent, and the host of one that has ended may be silent for seconds. So an
//!   attempt stays open until something is proved, and what is sent meanwhile takes it into account.
//! - **What an answer proves.** An upstream whose connection broke has survived the request if it answers a
//!   question that was asked after the break. One that was given up may begin the request after
//!   it has answered: it has survived once it has answered two questions promptly, the second one asked a
//!   *survival time* after the first answer, as long as others ran the content before they ended. One at which
//!   the attempt was abandoned was well by then: it has survived once it answers a question that was asked two
//!   seconds later.
//!
//! Owns the open attempts.

use crate::content::ContentKey;
use crate::recent_failures::EndedUpstream;
use crate::registry::UpstreamEnd;
use crate::weight::EndedRun;
use serde::Serialize;
use std::time::{Duration, Instant};

/// From the break to the judgement: all ends of a dying data centre are known 0.05 s after the
/// first. Longer, and a request that crashes upstreams has begun to run at the next one.
pub const JUDGE_AFTER: Duration = Duration::from_millis(50);
/// An attempt of which nothing is learned for this long says nothing. Longer than upstreams pause, again and
/// again, and than the next process takes to start at the address of one that ended; what may be held up
/// meanwhile is the fourth run of a request that lost three.
pub const CONFIRM_WITHIN: Duration = Duration::from_secs(10);
/// From one question to an unclear upstream to the next, while its attempt holds something up.
pub const ASK_AGAIN_AFTER: Duration = Duration::from_millis(150);
/// An upstream that lives on for this time, after an attempt there was abandoned, has survived it: engines that
/// a request ends do so within two seconds of its arrival.
const ABANDONED_SURVIVAL: Duration = Duration::from_secs(2);
/// An upstream that was asked has this time to answer, whatever the age of its attempt: this process may
/// have been paused.
const ANSWER_WITHIN: Duration = Duration::from_secs(1);
/// An upstream that takes longer to answer a question was paused.
const PROMPT_ANSWER: Duration = Duration::from_millis(100);
/// Attempts that are open at most; the oldest are dropped. A data centre's death breaks some tens at
/// one router.
const MAX_OPEN: usize = 1_024;

/// How an attempt was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// Its connection broke: the upstream has ended, or has given the request up.
    Broke,
    /// It was given up for the upstream's silence: the upstream may still run it.
    GivenUp,
    /// Nobody waits for it any more, as its time is over, its caller has left, or it made no progress: the
    /// upstream may still run it. Most such upstreams are well, so nothing is held up for it, and
    /// nothing is asked unless the content was lost elsewhere, too.
    Abandoned,
}

/// An attempt that was lost.
#[derive(Clone, Debug)]
pub struct LostAttempt {
    /// What it sent.
    pub content: ContentKey,
    /// How it was lost.
    pub loss: Loss,
    /// Whether the content ran to its end a moment before, or since.
    pub ran_well: bool,
    /// The upstream's start that it ran at.
    pub end: UpstreamEnd,
    /// The upstream, and when the attempt was lost there.
    pub upstream: EndedUpstream,
    /// How long it had been there.
    pub ran_for: Duration,
}

impl LostAttempt {
    /// The run that was lost, as if its upstream had ended by then.
    pub fn run(&self) -> EndedRun {
        EndedRun {
            at: self.upstream.at,
            ran_for: self.ran_for,
        }
    }

    /// Whether it had begun by a moment.
    pub(crate) fn has_begun(&self, at: Instant) -> bool {
        self.upstream.at <= at + self.ran_for
    }
}

/// An answer of an upstream to a question.
#[derive(Clone, Copy, Debug)]
pub struct SignOfLife {
    /// The upstream, as in [`UpstreamEnd::upstream`].
    pub upstream: u64,
    /// When it was asked.
    pub asked: Instant,
    /// When the answer arrived.
    pub answered: Instant,
}

/// Why an attempt does not count.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Dismissal {
    /// Its upstream survived it.
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
    pub attempt: LostAttempt,
    /// Why.
    pub reason: Dismissal,
}

/// An attempt, and what was learned of its upstream since.
#[derive(Clone, Debug)]
struct Open {
    attempt: LostAttempt,
    /// When it became known that its upstream has ended.
    ended_at: Option<Instant>,
    /// When its upstream was named as unclear first.
    first_asked_at: Option<Instant>,
    /// When it was last.
    asked_at: Option<Instant>,
    /// When its upstream answered promptly first since the attempt was given up.
    answered_at: Option<Instant>,
}

impl Open {
    fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.attempt.upstream.at)
    }

    /// When it can be judged; `None` while nothing proves that its upstream has ended.
    fn judged_at(&self) -> Option<Instant> {
        let ended_at = self.ended_at?;
        let lost_at = self.attempt.upstream.at;
        let from = match self.attempt.loss {
            Loss::Broke => lost_at,
            // The end may have come at any time since.
            Loss::GivenUp | Loss::Abandoned => lost_at.max(ended_at),
        };
        Some(from + JUDGE_AFTER)
    }

    /// When something has to be done about it.
    fn next_due(&self) -> Instant {
        let lost_at = self.attempt.upstream.at;
        match self.judged_at() {
            Some(at) => at,
            None if self.is_unclear() => lost_at + JUDGE_AFTER,
            None => self.dropped_at(),
        }
    }

    /// Whether its upstream is to be asked once, as nothing is known.
    fn is_unclear(&self) -> bool {
        let is_waited_for = self.attempt.loss != Loss::Abandoned;
        is_waited_for && self.ended_at.is_none() && self.asked_at.is_none()
    }

    /// When it is dropped, unless something is learned.
    fn dropped_at(&self) -> Instant {
        let over_at = self.attempt.upstream.at + CONFIRM_WITHIN;
        let answered_by = self.first_asked_at.map(|at| at + ANSWER_WITHIN);
        answered_by.map_or(over_at, |at| over_at.max(at))
    }

    /// Names its upstream as unclear.
    fn ask(&mut self, now: Instant) -> EndedUpstream {
        self.first_asked_at.get_or_insert(now);
        self.asked_at = Some(now);
        self.attempt.upstream.clone()
    }

    /// When its upstream is to be asked again, or for the first time where the attempt was abandoned; `None`
    /// while it was not asked or needs not be.
    fn asked_again_at(&self, survival: Duration) -> Option<Instant> {
        let next = self.asked_at.map(|at| at + ASK_AGAIN_AFTER);
        let proves_from = match self.attempt.loss {
            Loss::Broke | Loss::GivenUp => self.answered_at.map(|at| at + survival),
            Loss::Abandoned => Some(self.abandoned_until(survival)),
        };
        let is_asked = self.ended_at.is_none() && !self.is_unclear();
        next.max(proves_from).filter(|_| is_asked)
    }

    /// By when an upstream would have ended by an attempt that was abandoned.
    fn abandoned_until(&self, survival: Duration) -> Instant {
        self.attempt.upstream.at + survival.max(ABANDONED_SURVIVAL)
    }

    /// Takes a sign of life; returns whether it shows that the upstream survived the attempt.
    fn is_survived(&mut self, sign: SignOfLife, survival: Duration) -> bool {
        if self.ended_at.is_some() || sign.asked < self.attempt.upstream.at {
            return false;
        }
        match self.attempt.loss {
            Loss::Broke => true,
            Loss::Abandoned => sign.asked >= self.abandoned_until(survival),
            // One that was paused meanwhile may not have begun the request yet.
            Loss::GivenUp if sign.answered > sign.asked + PROMPT_ANSWER => false,
            Loss::GivenUp => {
                let first = *self.answered_at.get_or_insert(sign.answered);
                sign.asked >= first + survival
            }
        }
    }
}

/// Attempts that were lost.
#[derive(Clone, Debug, Default)]
pub struct LostAttempts {
    open: Vec<Open>,
    /// Those that were dropped since they were taken last.
    dismissed: Vec<Dismissed>,
}

impl LostAttempts {
    /// Records an attempt that was lost; `has_ended` where its upstream's end is known already.
    pub fn on_lost(&mut self, attempt: LostAttempt, has_ended: bool) {
        if self.open.len() >= MAX_OPEN {
            let is_abandoned = |open: &Open| open.attempt.loss == Loss::Abandoned;
            let oldest = self.open.iter().position(is_abandoned).unwrap_or(0);
            let oldest = self.open.remove(oldest);
            self.dismiss([oldest], Dismissal::NoRoom);
        }
        self.open.push(Open {
            ended_at: has_ended.then_some(attempt.upstream.at),
            attempt,
            first_asked_at: None,
            asked_at: None,
            answered_at: None,
        });
    }

    /// Records that an upstream is known to have ended, since `now`.
    pub fn on_end(&mut self, upstream: u64, now: Instant) {
        let there = self.open.iter_mut();
        for open in there.filter(|o| o.attempt.end.upstream == upstream) {
            open.ended_at.get_or_insert(now);
        }
    }

    /// Records that a former start of an upstream is known to have ended, since `now`; `was_there` says whether an
    /// attempt can have been there. Where a connection broke it is not known whether the next start ended, too,
    /// and it is taken to have.
    pub fn on_former_start(
        &mut self,
        upstream: u64,
        now: Instant,
        was_there: impl Fn(&LostAttempt) -> bool,
    ) {
        let there = self.open.iter_mut();
        let there = there.filter(|open| open.attempt.end.upstream == upstream);
        for open in there.filter(|o| o.attempt.loss == Loss::Broke || was_there(&o.attempt)) {
            open.ended_at.get_or_insert(now);
        }
    }

    /// Records that the start of an upstream lives at which attempts were lost; `survival` says how long
    /// it has to, by content.
    pub fn on_alive(&mut self, sign: SignOfLife, survival: impl Fn(ContentKey) -> Duration) {
        let is_survived = |open: &mut Open| {
            let is_there = open.attempt.end.upstream == sign.upstream;
            is_there && open.is_survived(sign, survival(open.attempt.content))
        };
        let survived: Vec<Open> = self.open.extract_if(.., is_survived).collect();
        self.dismiss(survived, Dismissal::Answered);
    }

    /// Records that a content ran to its end: what it was lost at does not end by it.
    pub fn on_completed(&mut self, content: ContentKey) {
        let open = self.open.iter_mut().map(|open| &mut open.attempt);
        for attempt in open.filter(|attempt| attempt.content == content) {
            attempt.ran_well = true;
        }
    }

    /// Whether no attempt is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    fn dismiss(&mut self, dropped: impl IntoIterator<Item = Open>, reason: Dismissal) {
        // Of one that nobody waited for and that nothing was asked about there is nothing to say.
        let is_told = |open: &Open| open.attempt.loss != Loss::Abandoned || open.asked_at.is_some();
        let told = dropped.into_iter().filter(is_told);
        let dismissed = told.map(|open| Dismissed {
            attempt: open.attempt,
            reason,
        });
        self.dismissed.extend(dismissed);
    }

    /// Whether an attempt is open that something may wait for.
    pub fn has_waited_for(&self) -> bool {
        self.open().any(|attempt| attempt.loss != Loss::Abandoned)
    }

    /// Whether an attempt at an upstream is open.
    pub fn has_open_at(&self, upstream: u64) -> bool {
        self.open().any(|attempt| attempt.end.upstream == upstream)
    }

    /// Takes the attempts that were found not to count since this was asked last.
    pub fn take_dismissed(&mut self) -> Vec<Dismissed> {
        std::mem::take(&mut self.dismissed)
    }

    /// The attempts that are open.
    pub fn open(&self) -> impl Iterator<Item = &LostAttempt> {
        self.open.iter().map(|open| &open.attempt)
    }

    /// The attempts with a content that are open.
    pub fn open_with(&self, content: ContentKey) -> impl Iterator<Item = &LostAttempt> {
        self.open()
            .filter(move |attempt| attempt.content == content)
    }

    /// When the connection of an open attempt at an upstream broke first: if it has ended, that was the
    /// moment.
    pub fn first_break_at(&self, upstream: u64) -> Option<Instant> {
        let broke = self
            .open()
            .filter(|attempt| attempt.end.upstream == upstream && attempt.loss == Loss::Broke);
        broke.map(|attempt| attempt.upstream.at).min()
    }

    /// Takes the attempts whose upstreams ended and that can be judged; drops those of which nothing
    /// was learned.
    pub fn due(&mut self, now: Instant) -> Vec<LostAttempt> {
        let due = self
            .open
            .extract_if(.., |o| o.judged_at().is_some_and(|at| now >= at))
            .map(|open| open.attempt)
            .collect();
        let is_over = |o: &mut Open| o.ended_at.is_none() && now >= o.dropped_at();
        let over: Vec<Open> = self.open.extract_if(.., is_over).collect();
        self.dismiss(over, Dismissal::Unclear);
        due
    }

    /// The upstreams of which nothing was learned by the time of the judgement, each attempt's once.
    pub fn unclear(&mut self, now: Instant) -> Vec<EndedUpstream> {
        let open = self.open.iter_mut();
        let unclear = open.filter(|o| o.is_unclear() && o.age(now) >= JUDGE_AFTER);
        unclear.map(|open| open.ask(now)).collect()
    }

    /// The upstreams that were named as unclear and of which something is still to be learned, by
    /// what `survival` returns for the content; `None` where its attempts hold nothing up.
    pub fn unclear_again(
        &mut self,
        now: Instant,
        survival: impl Fn(ContentKey) -> Option<Duration>,
    ) -> Vec<EndedUpstream> {
        let mut named = Vec::new();
        for open in &mut self.open {
            let survival = survival(open.attempt.content);
            let at = survival.and_then(|survival| open.asked_again_at(survival));
            if at.is_some_and(|at| now >= at) {
                named.push(open.ask(now));
            }
        }
        named
    }

    /// When [`Self::unclear_again`] has something to name next.
    pub fn next_asked_again(
        &self,
        survival: impl Fn(ContentKey) -> Option<Duration>,
    ) -> Option<Instant> {
        let open = self.open.iter();
        let next = open.filter_map(|o| o.asked_again_at(survival(o.attempt.content)?));
        next.min()
    }

    /// When [`Self::due`] or [`Self::unclear`] has something to do next; `None` while nothing is open.
    pub fn next_due(&self) -> Option<Instant> {
        self.open.iter().map(Open::next_due).min()
    }
}
