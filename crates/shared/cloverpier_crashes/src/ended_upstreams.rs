//! Upstreams that ended recently, whoever ran what there.
//!
//! - **Question.** What else ended at the moment at which this upstream did?
//! - **Inputs.** Each end that a router learns of, with service and data centre.
//! - **Answer.** The upstreams that [`EndedUpstreams::beside`] names.
//! - **Why.** The upstreams of a data centre die together, and each request that ran there would
//!   count an end against it, though hardly any of them lost two upstreams.
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
/// How long an end is kept: longer than it takes to judge an attempt that broke off there.
const ENDS_KEPT_FOR: Duration = Duration::from_secs(5);

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

/// What is known of an upstream's end.
#[derive(Clone, Debug)]
struct Known {
    upstream: EndedUpstream,
    /// Whether its process is known to have ended; else it is dead as far as is known.
    is_proved: bool,
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
        self.record(ended, true);
    }

    /// Records an upstream that is dead as far as is known, by its silence or a peer's word. That
    /// explains ends beside it, and proves none.
    pub fn on_death(&mut self, died: EndedUpstream) {
        self.record(died, false);
    }

    fn record(&mut self, upstream: EndedUpstream, is_proved: bool) {
        self.forget_old(upstream.at);
        let since = upstream.at.checked_sub(SAME_MOMENT);
        let mut of_late = self.ended.iter_mut().filter(|known| {
            let is_same = known.upstream.upstream == upstream.upstream;
            is_same && since.is_none_or(|since| known.upstream.at >= since)
        });
        match of_late.next() {
            Some(known) => known.is_proved |= is_proved,
            None => self.ended.push_back(Known {
                upstream,
                is_proved,
            }),
        }
    }

    /// Whether an upstream is proved to have ended since a moment, or at all where that is too long
    /// ago to be one.
    pub fn has_ended_since(&self, upstream: u64, since: Option<Instant>) -> bool {
        let proved = self.ended.iter().filter(|known| known.is_proved);
        let mut ends = proved.filter(|known| known.upstream.upstream == upstream);
        ends.any(|known| since.is_none_or(|since| known.upstream.at >= since))
    }

    /// The upstreams of its service that ended with an upstream, as far as is known by now.
    pub fn beside(&self, end: &EndedUpstream) -> EndedBeside {
        let ended = self.ended.iter().map(|known| &known.upstream);
        let others = ended.filter(|other| {
            let apart = other.at.max(end.at) - other.at.min(end.at);
            apart <= SAME_MOMENT && other.upstream != end.upstream && other.service == end.service
        });
        EndedBeside::of(others.map(|e| (e.upstream, e.data_centre == end.data_centre)))
    }

    fn forget_old(&mut self, now: Instant) {
        let age = |known: &Known| now.saturating_duration_since(known.upstream.at);
        let is_old = |known: &Known| age(known) > ENDS_KEPT_FOR;
        while self.ended.front().is_some_and(is_old) {
            self.ended.pop_front();
        }
    }
}
