//! All that a router keeps of requests that end upstreams, from a lost attempt to the verdict.
//!
//! - **Question.** What follows from each thing that a router sees: an attempt that breaks off, an
//!   upstream that ends or answers, a request that runs to its end? May this request be sent now?
//! - **Inputs.** These events, with the present moment; how many upstreams are listed beside one.
//! - **Answer.** An [`Admission`]; the attempts that were judged, for logs and peers.
//! - **Why.** Both programs see the same events by other means. Here they meet the rules in one order.
//!
//! Owns the book, the attempts that are open or under way, the upstreams that ended and the contents that ran
//! well recently. [`admission`] decides whether a request may be sent.

mod admission;

pub use admission::{Admission, Hold, MAX_HOLD};

use crate::content::{Content, ContentKey};
use crate::in_flight::{AttemptNumber, AttemptsUnderWay};
use crate::lost_attempts::{Dismissed, JUDGE_AFTER, Loss, LostAttempt, LostAttempts, SignOfLife};
use crate::recent_completions::RecentContents;
use crate::recent_failures::{EndedUpstream, EndedUpstreams, SAME_MOMENT};
use crate::registry::{Crash, CrashBook, CrashLimit, EndsBy, SUSPECT_FROM, UpstreamEnd};
use crate::weight::{EndedBeside, OwnEnd, Surroundings};
use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

/// An upstream that was given up for its silence has survived a content of which no end is known once it
/// has lived on for this time.
const LEAST_SURVIVAL: Duration = Duration::from_millis(100);
/// One that has lived on for this time has survived any content, however long others ran it: few prompts take
/// longer to read.
const MOST_SURVIVAL: Duration = Duration::from_secs(3);

/// The moment of an end is that of the break where it is proved within this time; later, what ended or fell
/// silent until the proof may have ended with it.
const PROVED_AT_ONCE: Duration = JUDGE_AFTER.saturating_add(SAME_MOMENT);

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
    pub attempt: LostAttempt,
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
    lost: LostAttempts,
    ended: EndedUpstreams,
    recent: RecentContents,
    under_way: AttemptsUnderWay,
}

impl CrashCases {
    /// Knows of no end yet.
    pub fn new(limit: CrashLimit, ends_by: EndsBy) -> Self {
        Self {
            book: CrashBook::new(limit, ends_by),
            lost: LostAttempts::default(),
            ended: EndedUpstreams::default(),
            recent: RecentContents::default(),
            under_way: AttemptsUnderWay::default(),
        }
    }

    /// Whether no content may have done harm, so that requests need not be distinguished.
    pub fn is_empty(&self) -> bool {
        self.book.is_empty() && !self.lost.has_waited_for()
    }

    /// Records that an attempt with a content is admitted.
    pub fn on_admitted(&mut self, content: ContentKey) -> AttemptNumber {
        self.under_way.on_admitted(content)
    }

    /// Records that an admitted attempt is sent.
    pub fn on_sent(&mut self, content: ContentKey, attempt: AttemptNumber, now: Instant) {
        self.under_way.on_sent(content, attempt, now);
    }

    /// Records that an admitted attempt is over, or is not sent.
    pub fn on_over(&mut self, content: ContentKey, attempt: AttemptNumber) {
        self.under_way.on_over(content, attempt);
    }

    /// What was around an upstream when an attempt was lost there, as far as is known by now.
    fn surroundings(
        &self,
        attempt: &LostAttempt,
        neighbours: Neighbours,
        now: Instant,
    ) -> Surroundings {
        let lost_at = attempt.upstream.at;
        let is_dated = attempt.loss == Loss::Broke && now <= lost_at + PROVED_AT_ONCE;
        let (mut ended, until) = if is_dated {
            (self.ended.beside(&attempt.upstream), lost_at + SAME_MOMENT)
        } else {
            (self.ended.during(&attempt.upstream, now), now)
        };
        self.add_open_losses(&mut ended, attempt, until);
        Surroundings {
            in_service: neighbours.in_service,
            in_data_centre: neighbours.in_data_centre,
            ended,
        }
    }

    /// Adds the upstreams at which attempts were lost beside one, of which nothing is proved yet: they may
    /// have ended with it. The attempt's own request explains nothing where it ran at one after the other.
    fn add_open_losses(&self, ended: &mut EndedBeside, attempt: &LostAttempt, until: Instant) {
        let end = &attempt.upstream;
        let waited_for = self.lost.open().filter(|other| {
            let upstream = &other.upstream;
            let is_other = upstream.upstream != end.upstream && upstream.service == end.service;
            is_other && other.loss != Loss::Abandoned
        });
        let is_in_turn = |other: &LostAttempt| {
            let is_own = other.content == attempt.content;
            is_own && OwnEnd::of_runs(other.run(), attempt.run()) == OwnEnd::OfRunsInTurn
        };
        let (own, others): (Vec<_>, Vec<_>) = waited_for.partition(|other| is_in_turn(other));
        let beside = others.into_iter().map(|other| &other.upstream);
        let beside = beside.filter(|other| other.at + SAME_MOMENT >= end.at && other.at <= until);
        ended.extend(beside.map(|other| (other.upstream, other.data_centre == end.data_centre)));
        for other in own {
            ended.remove(other.upstream.upstream);
        }
    }

    /// The contents of which it matters whether upstreams ended, as several attempts with them were
    /// lost; and for how long an upstream has to live on to have survived them.
    fn in_question(&self, now: Instant) -> HashMap<ContentKey, Duration> {
        let mut open: HashMap<ContentKey, HashSet<UpstreamEnd>> = HashMap::new();
        for attempt in self.lost.open().filter(|attempt| !attempt.ran_well) {
            open.entry(attempt.content).or_default().insert(attempt.end);
        }
        let in_question = open.into_iter().filter(|(content, ends)| {
            ends.len() + self.book.crashes(*content, now) >= SUSPECT_FROM as usize
        });
        let survivals =
            in_question.map(|(content, _)| (content, survival(&self.book, content, now)));
        survivals.collect()
    }

    /// Records an attempt that broke off. One at an upstream that was about to leave is not to be
    /// recorded: it ends by itself.
    pub fn on_lost(&mut self, content: &Content<'_>, attempt: LostAttempt) {
        let now = attempt.upstream.at;
        let begun = now.checked_sub(attempt.ran_for);
        let upstream = attempt.end.upstream;
        let has_ended = if began_after_end(&self.book, &attempt) {
            self.ended.had_no_process_since(upstream, begun)
        } else {
            self.ended.has_ended_since(upstream, begun)
        };
        let ran_well = self.recent.ran_well(content, now);
        self.lost.on_lost(
            LostAttempt {
                ran_well,
                ..attempt
            },
            has_ended,
        );
    }

    /// Records that an upstream's host has no process at its address any more.
    pub fn on_end(&mut self, ended: EndedUpstream) {
        self.lost.on_end(ended.upstream, ended.at);
        let broke_at = self.lost.first_break_at(ended.upstream);
        let at = broke_at.map_or(ended.at, |at| at.min(ended.at));
        let (upstream, refused_at) = (ended.upstream, ended.at);
        self.ended.on_end(EndedUpstream { at, ..ended });
        self.ended.on_refused(upstream, refused_at);
    }

    /// Records an upstream that is dead by a peer's word or by its silence since a moment: that explains
    /// ends beside it, and proves none.
    pub fn on_death(&mut self, died: EndedUpstream, silent_since: Instant) {
        self.ended.on_death(died, silent_since);
    }

    /// Records that an upstream has ended some time ago, as another start answers in its place. That proves
    /// nothing of attempts that were at the next start by then.
    pub fn on_former_start(&mut self, former: EndedUpstream) {
        let refused_at = self.ended.on_next_start(former.upstream);
        let book = &self.book;
        let was_there = |attempt: &LostAttempt| {
            let began_in_time = refused_at.is_none_or(|at| attempt.has_begun(at));
            began_in_time && !began_after_end(book, attempt)
        };
        self.lost
            .on_former_start(former.upstream, former.at, was_there);
        if refused_at.is_some() {
            return;
        }
        match self.lost.first_break_at(former.upstream) {
            Some(at) => self.ended.on_end(EndedUpstream { at, ..former }),
            None => self.ended.on_former_start(former),
        }
    }

    /// Whether an attempt at an upstream is open, so that its answers matter.
    pub fn has_open_at(&self, upstream: u64) -> bool {
        self.lost.has_open_at(upstream)
    }

    /// Records that an upstream lives, which answered a question.
    pub fn on_alive(&mut self, sign: SignOfLife) {
        let book = &self.book;
        let survival = |content| survival(book, content, sign.answered);
        self.lost.on_alive(sign, survival);
        self.ended.on_alive(sign.upstream);
    }

    /// Records that an upstream ran a request to its end: what ended while others ran its content did
    /// not end by it. Returns the content if that changes what is known.
    pub fn on_completed(&mut self, content: &Content<'_>, now: Instant) -> Option<ContentKey> {
        self.recent.on_completed(content, now);
        if self.book.is_empty() && self.lost.is_empty() {
            return None;
        }
        let key = ContentKey::of(content);
        self.lost.on_completed(key);
        self.book.on_completed(key).then_some(key)
    }

    /// The upstreams that have to be probed, as nothing was learned of them; again, while that may hold
    /// a request up.
    pub fn unclear(&mut self, now: Instant) -> Vec<EndedUpstream> {
        let mut unclear = self.lost.unclear(now);
        let in_question = self.in_question(now);
        let survival = |content| in_question.get(&content).copied();
        unclear.extend(self.lost.unclear_again(now, survival));
        unclear
    }

    /// When [`Self::judge`] or [`Self::unclear`] has something to do next.
    pub fn next_due(&self, now: Instant) -> Option<Instant> {
        let in_question = self.in_question(now);
        let survival = |content| in_question.get(&content).copied();
        let again = self.lost.next_asked_again(survival);
        self.lost.next_due().into_iter().chain(again).min()
    }

    /// Takes the attempts that were found not to count since this was asked last.
    pub fn take_dismissed(&mut self) -> Vec<Dismissed> {
        self.lost.take_dismissed()
    }

    /// Judges the attempts whose time has come.
    pub fn judge(
        &mut self,
        now: Instant,
        neighbours: impl Fn(&EndedUpstream) -> Neighbours,
    ) -> Vec<Judged> {
        let due = self.lost.due(now);
        let judged = due.into_iter().map(|attempt| {
            let surroundings = self.surroundings(&attempt, neighbours(&attempt.upstream), now);
            self.record(attempt, surroundings, now)
        });
        judged.collect()
    }

    fn record(&mut self, attempt: LostAttempt, surroundings: Surroundings, now: Instant) -> Judged {
        let content = attempt.content;
        let crash = crash_of(&attempt, surroundings.clone());
        self.book.record(content, crash, now);
        Judged {
            attempt,
            surroundings,
            ends: self.book.crashes(content, now),
            evidence: self.book.evidence(content, now),
        }
    }
}

/// Whether the start at which an attempt seemed to run had ended before it began, by what is known of any
/// content: it reached the next one. This router may have seen nothing of that end itself.
fn began_after_end(book: &CrashBook, attempt: &LostAttempt) -> bool {
    let ended_at = book.ended_at(attempt.end);
    ended_at.is_some_and(|at| !attempt.has_begun(at + SAME_MOMENT))
}

/// For how long an upstream has to live on to have survived a content: as long as others ran it before
/// they ended.
fn survival(book: &CrashBook, content: ContentKey, now: Instant) -> Duration {
    survival_of(book.longest_run(content, now))
}

fn survival_of(longest_run: Duration) -> Duration {
    (longest_run + JUDGE_AFTER).clamp(LEAST_SURVIVAL, MOST_SURVIVAL)
}

/// The end that an attempt would be, or is.
fn crash_of(attempt: &LostAttempt, surroundings: Surroundings) -> Crash {
    Crash {
        end: attempt.end,
        at: attempt.upstream.at,
        ran_for: attempt.ran_for,
        surroundings,
        excused: attempt.ran_well,
    }
}
