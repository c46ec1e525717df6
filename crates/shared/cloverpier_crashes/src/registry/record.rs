//! The ends that are known of one content.
//!
//! Relies on [`super::CrashBook`] for whom it is reported to and what follows.

use super::{
    CRASH_TTL, Crash, EndsBy, Evidence, MAX_CRASHES, ReportedCrash, UNKNOWN_START, UpstreamEnd,
};
use crate::weight::{EndedRun, OwnEnd, Surroundings, Weight};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// One end.
#[derive(Clone, Debug)]
struct Known {
    at: Instant,
    ran_for: Duration,
    surroundings: Surroundings,
    /// Whether the content ran to its end since.
    excused: bool,
}

impl Known {
    fn counts(&self, now: Instant) -> bool {
        !self.excused && !self.is_over(now)
    }

    fn run(&self) -> EndedRun {
        EndedRun {
            at: self.at,
            ran_for: self.ran_for,
        }
    }

    fn is_over(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) >= CRASH_TTL
    }
}

/// The ends of one content.
#[derive(Clone, Debug)]
pub(super) struct Record {
    ends_by: EndsBy,
    ends: BTreeMap<UpstreamEnd, Known>,
    /// Whether it was stopped when that was asked last.
    pub(super) was_stopped: bool,
}

impl Record {
    /// A content of which nothing is known.
    pub(super) fn new(ends_by: EndsBy) -> Self {
        Self {
            ends_by,
            ends: BTreeMap::new(),
            was_stopped: false,
        }
    }

    /// Adds what is known of an end: the earliest time, all that was around it, any excuse. Returns
    /// whether that is more than was known.
    pub(super) fn add(&mut self, crash: Crash) -> bool {
        let excused = crash.excused;
        let end = self.known_as(crash.end);
        if let Some(known) = self.ends.get_mut(&end) {
            let has_more = known.surroundings.merge(&crash.surroundings);
            let is_new_excuse = excused && !known.excused;
            known.at = known.at.min(crash.at);
            known.ran_for = known.ran_for.max(crash.ran_for);
            known.excused |= excused;
            return has_more || is_new_excuse;
        }
        let known = Known {
            at: crash.at,
            ran_for: crash.ran_for,
            surroundings: crash.surroundings,
            excused,
        };
        self.ends.insert(end, known);
        self.make_room();
        self.ends.contains_key(&end)
    }

    /// An end as it is known already, if it is.
    fn known_as(&self, end: UpstreamEnd) -> UpstreamEnd {
        let tolerance = self.ends_by.tolerance_ms();
        let least = end.start.saturating_sub(tolerance);
        let most = end.start.saturating_add(tolerance);
        let same_upstream = |start| UpstreamEnd { start, ..end };
        let near = same_upstream(least)..=same_upstream(most);
        let known = self.ends.range(near).map(|(known, _)| *known);
        // No time is near an unknown one.
        known
            .filter(|known| (known.start == UNKNOWN_START) == (end.start == UNKNOWN_START))
            .min_by_key(|known| known.start.abs_diff(end.start))
            .unwrap_or(end)
    }

    /// When a known end was.
    pub(super) fn ended_at(&self, end: UpstreamEnd) -> Option<Instant> {
        let known = self.ends.get(&self.known_as(end))?;
        Some(known.at)
    }

    /// Keeps to [`MAX_CRASHES`]: what is excused goes first, then what is old.
    fn make_room(&mut self) {
        if self.ends.len() <= MAX_CRASHES {
            return;
        }
        let least = self.ends.iter().min_by_key(|(_, k)| (!k.excused, k.at));
        if let Some(end) = least.map(|(end, _)| *end) {
            self.ends.remove(&end);
        }
    }

    /// Excuses all ends that are known; returns whether one was not excused.
    pub(super) fn excuse(&mut self) -> bool {
        let mut is_new = false;
        for known in self.ends.values_mut() {
            is_new |= !std::mem::replace(&mut known.excused, true);
        }
        is_new
    }

    /// The ends that count, and what each does. One of a start that its observer did not know is the
    /// same as one of a known start of that upstream.
    pub(super) fn counting(&self, now: Instant) -> impl Iterator<Item = (&UpstreamEnd, Weight)> {
        let counting = self.ends.iter().filter(move |(end, known)| {
            known.counts(now) && !(end.start == UNKNOWN_START && self.knows_start_of(end.upstream))
        });
        counting.map(move |(end, known)| {
            let own = |upstream| self.own_end(upstream, known);
            (end, known.surroundings.weight(own))
        })
    }

    /// How an upstream's end came about beside a known one, if the content ran there, too.
    fn own_end(&self, upstream: u64, beside: &Known) -> Option<OwnEnd> {
        let ends = self.ends.iter().filter(|(end, _)| end.upstream == upstream);
        // Of several starts the one that ended nearest in time.
        let apart = |known: &Known| known.at.max(beside.at) - known.at.min(beside.at);
        let (_, nearest) = ends.min_by_key(|(_, known)| apart(known))?;
        Some(OwnEnd::of_runs(nearest.run(), beside.run()))
    }

    fn knows_start_of(&self, upstream: u64) -> bool {
        let mut ends = self.ends.keys().filter(|end| end.upstream == upstream);
        ends.any(|end| end.start != UNKNOWN_START)
    }

    /// What the ends that count do together.
    pub(super) fn evidence(&self, now: Instant) -> Evidence {
        let weights = self.counting(now).map(|(_, weight)| weight.thousandths());
        weights.fold(Evidence::default(), |sum, weight| Evidence {
            ends: sum.ends + 1,
            thousandths: sum.thousandths + weight,
        })
    }

    /// The longest time for which the content had been at an upstream that ended under it.
    pub(super) fn longest_run(&self, now: Instant) -> Duration {
        let counting = self.ends.values().filter(|known| known.counts(now));
        let longest = counting.map(|known| known.ran_for).max();
        longest.unwrap_or_default()
    }

    /// Number of ends that count.
    pub(super) fn count(&self, now: Instant) -> usize {
        self.counting(now).count()
    }

    /// When the newest end was; `None` without one.
    pub(super) fn latest(&self) -> Option<Instant> {
        self.ends.values().map(|known| known.at).max()
    }

    /// What is reported to peers.
    pub(super) fn reported(&self, now: Instant) -> Vec<ReportedCrash> {
        let ends = self.ends.iter().filter(|(_, known)| !known.is_over(now));
        let reported = ends.map(|(end, known)| {
            let age = now.saturating_duration_since(known.at);
            ReportedCrash {
                end: *end,
                // Within an hour, as older ends are left out.
                age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
                ran_ms: u32::try_from(known.ran_for.as_millis()).unwrap_or(u32::MAX),
                surroundings: known.surroundings.clone(),
                excused: known.excused,
            }
        });
        reported.collect()
    }

    /// Drops ends that no longer count; returns whether any is left.
    pub(super) fn forget_old(&mut self, now: Instant) -> bool {
        self.ends.retain(|_, known| !known.is_over(now));
        !self.ends.is_empty()
    }
}
