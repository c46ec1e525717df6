//! Upstreams that ended recently, whoever ran what there.
//!
//! - **Question.** What else ended at the moment at which this upstream did?
//! - **Inputs.** Each end that a router learns of, with service and data centre.
//! - **Answer.** The upstreams that [`EndedUpstreams::beside`] names; where the moment is not known,
//!   those that [`EndedUpstreams::during`] does.
//! - **Why.** The upstreams of a data centre die together, and each request that ran there would
//!   count an end against it, though hardly any of them lost two upstreams. One that fell silent
//!   ended at some moment since: what ended or fell silent within that time may have ended with it, unless it
//!   has answered again.
//!
//! Owns the ends of the last [`ENDS_KEPT_FOR`].

use crate::weight::EndedBeside;
use cloverpier_core::{DataCentre, ServiceName};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Ends that are no further apart are one moment: the first and the last engine of a dying data
/// centre are known within 0.05 s of each other. A little more, and not much: repeats that are sent
/// each 0.1 s to other engines must not explain each other's.
pub const SAME_MOMENT: Duration = Duration::from_millis(60);
/// How long an end is kept: longer than it takes to judge an attempt that was lost there
/// ([`crate::lost_attempts::CONFIRM_WITHIN`]).
const ENDS_KEPT_FOR: Duration = Duration::from_secs(15);

/// An upstream that ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedUpstream {
    /// A hash of its name.
    pub upstream: u64,
    /// The service that it belonged to.
    pub service: ServiceName,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// When that became known.
    pub at: Instant,
}

/// By what an upstream is known to have ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum KnownBy {
    /// Its silence: that explains ends beside it, and proves none.
    Silence,
    /// Another start answers in its place: that proves its end, and says nothing of the moment.
    OtherStart,
    /// Its host has no such process, since this moment or a little before.
    NoProcess,
}

/// What is known of an upstream's end.
#[derive(Clone, Debug)]
struct Known {
    upstream: EndedUpstream,
    /// Its last sign of life.
    since: Instant,
    by: KnownBy,
    /// When its host was seen to have no such process; `None` where it was not, or the next start is known.
    refused_at: Option<Instant>,
}

/// The upstreams that ended recently.
#[derive(Clone, Debug, Default)]
pub struct EndedUpstreams {
    ended: VecDeque<Known>,
}

impl EndedUpstreams {
    /// Records an end that is proved: the upstream's host has no such process any more. The same end
    /// is learned of more than once.
    pub fn on_end(&mut self, ended: EndedUpstream) {
        let since = ended.at;
        self.record(ended, since, KnownBy::NoProcess);
    }

    /// Records since when it is certain that an upstream's host has no such process: what connects to it
    /// later reaches the next one.
    pub fn on_refused(&mut self, upstream: u64, refused_at: Instant) {
        let newest = self.ended.iter_mut().rev();
        let mut ends =
            newest.filter(|k| k.upstream.upstream == upstream && k.by == KnownBy::NoProcess);
        if let Some(known) = ends.next() {
            known.refused_at.get_or_insert(refused_at);
        }
    }

    /// Records that the start of an upstream after the one that ended last is known; returns since when the
    /// host of that one was seen to have no process, if it was.
    pub fn on_next_start(&mut self, upstream: u64) -> Option<Instant> {
        let there = self.ended.iter_mut();
        let refused = there
            .filter(|known| known.upstream.upstream == upstream)
            .filter_map(|known| known.refused_at.take());
        refused.max()
    }

    /// Records an end at an unknown moment, which another start in its place proves.
    pub fn on_former_start(&mut self, former: EndedUpstream) {
        let since = former.at;
        self.record(former, since, KnownBy::OtherStart);
    }

    /// Records an upstream that is dead as far as is known, by its silence since a moment or a peer's
    /// word. That explains ends beside it, and proves none.
    pub fn on_death(&mut self, died: EndedUpstream, silent_since: Instant) {
        self.record(died, silent_since, KnownBy::Silence);
    }

    /// Records that an upstream answers: its silence before explains nothing.
    pub fn on_alive(&mut self, upstream: u64) {
        self.ended
            .retain(|known| known.by != KnownBy::Silence || known.upstream.upstream != upstream);
    }

    fn record(&mut self, upstream: EndedUpstream, silent_since: Instant, by: KnownBy) {
        self.forget_old(upstream.at);
        let moment = upstream.at.checked_sub(SAME_MOMENT);
        let mut recent = self.ended.iter_mut().filter(|known| {
            let is_same = known.upstream.upstream == upstream.upstream;
            is_same && moment.is_none_or(|moment| known.upstream.at >= moment)
        });
        match recent.next() {
            Some(known) => known.by = known.by.max(by),
            None => self.ended.push_back(Known {
                since: silent_since.min(upstream.at),
                upstream,
                by,
                refused_at: None,
            }),
        }
    }

    /// Whether an upstream is proved to have ended since a moment, or at all where that is too long
    /// ago to be one.
    pub fn has_ended_since(&self, upstream: u64, since: Option<Instant>) -> bool {
        self.is_known_since(upstream, since, KnownBy::OtherStart)
    }

    /// Whether an upstream's host was seen to have no process since a moment: whichever start was there has ended.
    pub fn had_no_process_since(&self, upstream: u64, since: Option<Instant>) -> bool {
        self.is_known_since(upstream, since, KnownBy::NoProcess)
    }

    fn is_known_since(&self, upstream: u64, since: Option<Instant>, at_least: KnownBy) -> bool {
        let proved = self.ended.iter().filter(|known| known.by >= at_least);
        let mut ends = proved.filter(|known| known.upstream.upstream == upstream);
        ends.any(|known| since.is_none_or(|since| known.upstream.at >= since))
    }

    /// The upstreams of its service that ended with an upstream, as far as is known by now.
    pub fn beside(&self, end: &EndedUpstream) -> EndedBeside {
        self.others(end, |other| {
            let at = other.upstream.at;
            at.max(end.at) - at.min(end.at) <= SAME_MOMENT
        })
    }

    /// The upstreams of its service that ended or fell silent between an upstream's last sign of life and
    /// a later moment, as far as is known by now.
    pub fn during(&self, end: &EndedUpstream, until: Instant) -> EndedBeside {
        let own = self.ended.iter().filter(|known| {
            let is_own = known.upstream.upstream == end.upstream;
            is_own && known.since <= end.at && end.at <= known.upstream.at + SAME_MOMENT
        });
        let since = own.map(|known| known.since).min().unwrap_or(end.at);
        self.others(end, |other| {
            since <= other.upstream.at + SAME_MOMENT && other.since <= until + SAME_MOMENT
        })
    }

    fn others(&self, end: &EndedUpstream, is_beside: impl Fn(&Known) -> bool) -> EndedBeside {
        let dated = self.ended.iter().filter(|k| k.by != KnownBy::OtherStart);
        let others = dated.filter(|known| {
            let other = &known.upstream;
            other.upstream != end.upstream && other.service == end.service && is_beside(known)
        });
        let named = others.map(|known| {
            let other = &known.upstream;
            (other.upstream, other.data_centre == end.data_centre)
        });
        EndedBeside::of(named)
    }

    fn forget_old(&mut self, now: Instant) {
        let age = |known: &Known| now.saturating_duration_since(known.upstream.at);
        let is_old = |known: &Known| age(known) > ENDS_KEPT_FOR;
        while self.ended.front().is_some_and(is_old) {
            self.ended.pop_front();
        }
    }
}
