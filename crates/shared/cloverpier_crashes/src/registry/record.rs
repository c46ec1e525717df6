//! The crashes recorded for one request content: merging of observations, and the evidence they amount to.
//!
//! Owns these crashes. Relies on [`super::CrashRegistry`], which adds crashes and compares the evidence with the
//! thresholds, and on [`crate::weight`] for the weight of a crash.

use super::{
    CRASH_TTL, Crash, CrashId, CrashTimestamp, Evidence, MAX_CRASHES_PER_CONTENT, ReportedCrash,
    UNKNOWN_START_TIME,
};
use crate::weight::{CrashContext, CrashedExecution, ExecutionOrder, Weight};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// One crash under the content, merged from all observations.
#[derive(Clone, Debug)]
struct RecordedCrash {
    /// The earliest time that an observer has for the crash.
    at: Instant,
    /// The longest time that an observer has from the sending of the request to the crash.
    ran_for: Duration,
    context: CrashContext,
    /// See [`Crash::is_disregarded`].
    is_disregarded: bool,
}

impl RecordedCrash {
    fn is_counted(&self, now: Instant) -> bool {
        !self.is_disregarded && !self.is_expired(now)
    }

    fn execution(&self) -> CrashedExecution {
        CrashedExecution {
            at: self.at,
            ran_for: self.ran_for,
        }
    }

    fn is_expired(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) >= CRASH_TTL
    }
}

/// The crashes recorded for one content.
#[derive(Clone, Debug)]
pub(super) struct ContentRecord {
    timestamp: CrashTimestamp,
    crashes: BTreeMap<CrashId, RecordedCrash>,
    /// Whether the content was blocked at the last call of [`super::CrashRegistry::take_block_changes`].
    pub(super) was_blocked: bool,
}

impl ContentRecord {
    /// Creates the record of a content without any crashes.
    pub(super) fn new(timestamp: CrashTimestamp) -> Self {
        Self {
            timestamp,
            crashes: BTreeMap::new(),
            was_blocked: false,
        }
    }

    /// Adds an observation of a crash. With an earlier observation of the same crash, keeps the earlier time, the
    /// longer execution and the union of concurrent failures; the crash is disregarded if either observation is.
    /// Returns whether the crash is new, its context has changed, or it is now disregarded.
    pub(super) fn add(&mut self, crash: Crash) -> bool {
        let is_disregarded = crash.is_disregarded;
        let id = self.matching_id(crash.id);
        if let Some(recorded) = self.crashes.get_mut(&id) {
            let has_changed_context = recorded.context.merge(&crash.context);
            let is_newly_disregarded = is_disregarded && !recorded.is_disregarded;
            recorded.at = recorded.at.min(crash.at);
            recorded.ran_for = recorded.ran_for.max(crash.ran_for);
            recorded.is_disregarded |= is_disregarded;
            return has_changed_context || is_newly_disregarded;
        }
        let recorded = RecordedCrash {
            at: crash.at,
            ran_for: crash.ran_for,
            context: crash.context,
            is_disregarded,
        };
        self.crashes.insert(id, recorded);
        self.evict_excess();
        self.crashes.contains_key(&id)
    }

    /// The id under which the same crash is recorded: the nearest one of the same upstream within the tolerance of
    /// the timestamp. Returns `id` itself if the crash is not recorded.
    fn matching_id(&self, id: CrashId) -> CrashId {
        let tolerance = self.timestamp.tolerance_ms();
        let min = id.time_ms.saturating_sub(tolerance);
        let max = id.time_ms.saturating_add(tolerance);
        let same_upstream = |time_ms| CrashId { time_ms, ..id };
        let near = same_upstream(min)..=same_upstream(max);
        let recorded = self.crashes.range(near).map(|(recorded, _)| *recorded);
        // The value for an unknown start is no time: it matches only itself.
        recorded
            .filter(|r| (r.time_ms == UNKNOWN_START_TIME) == (id.time_ms == UNKNOWN_START_TIME))
            .min_by_key(|r| r.time_ms.abs_diff(id.time_ms))
            .unwrap_or(id)
    }

    /// The earliest time that an observer has for a crash; `None` if the crash is not recorded.
    pub(super) fn crash_time(&self, id: CrashId) -> Option<Instant> {
        let recorded = self.crashes.get(&self.matching_id(id))?;
        Some(recorded.at)
    }

    /// Evicts one crash if there are more than [`MAX_CRASHES_PER_CONTENT`]: the oldest disregarded crash, or the
    /// oldest one if none is disregarded.
    fn evict_excess(&mut self) {
        if self.crashes.len() <= MAX_CRASHES_PER_CONTENT {
            return;
        }
        let least = self
            .crashes
            .iter()
            .min_by_key(|(_, crash)| (!crash.is_disregarded, crash.at));
        if let Some(id) = least.map(|(id, _)| *id) {
            self.crashes.remove(&id);
        }
    }

    /// Disregards all recorded crashes. Returns whether one of them was not disregarded before.
    pub(super) fn disregard_all(&mut self) -> bool {
        let mut has_changed = false;
        for crash in self.crashes.values_mut() {
            has_changed |= !std::mem::replace(&mut crash.is_disregarded, true);
        }
        has_changed
    }

    /// The crashes that count, with their weights. A crash with an unknown start time is left out if another crash
    /// of the same upstream has a start time: both are taken for the same crash.
    pub(super) fn counted(&self, now: Instant) -> impl Iterator<Item = (&CrashId, Weight)> {
        let counted = self.crashes.iter().filter(move |(id, crash)| {
            crash.is_counted(now)
                && !(id.time_ms == UNKNOWN_START_TIME && self.has_known_start(id.upstream))
        });
        counted.map(move |(id, crash)| {
            let same_request = |upstream| self.execution_order(upstream, crash);
            (id, crash.context.weight(same_request))
        })
    }

    /// Whether the executions of the content at `upstream` and in `crash` overlapped; `None` if no crash of
    /// `upstream` is recorded for the content.
    fn execution_order(&self, upstream: u64, crash: &RecordedCrash) -> Option<ExecutionOrder> {
        let others = self
            .crashes
            .iter()
            .filter(|(id, _)| id.upstream == upstream);
        // Of several crashes of the upstream, the nearest in time is compared.
        let distance = |other: &RecordedCrash| other.at.max(crash.at) - other.at.min(crash.at);
        let (_, nearest) = others.min_by_key(|(_, other)| distance(other))?;
        Some(ExecutionOrder::of(nearest.execution(), crash.execution()))
    }

    fn has_known_start(&self, upstream: u64) -> bool {
        let mut ids = self.crashes.keys().filter(|id| id.upstream == upstream);
        ids.any(|id| id.time_ms != UNKNOWN_START_TIME)
    }

    /// The number and the total weight of the crashes that count.
    pub(super) fn evidence(&self, now: Instant) -> Evidence {
        let weights = self.counted(now).map(|(_, weight)| weight.thousandths());
        weights.fold(Evidence::default(), |sum, weight| Evidence {
            crash_count: sum.crash_count + 1,
            thousandths: sum.thousandths + weight,
        })
    }

    /// The longest execution of the content that ended with a crash, among the crashes that count; zero without
    /// such a crash.
    pub(super) fn longest_execution(&self, now: Instant) -> Duration {
        let counted = self.crashes.values().filter(|crash| crash.is_counted(now));
        let longest = counted.map(|crash| crash.ran_for).max();
        longest.unwrap_or_default()
    }

    /// Number of crashes that count, whatever their weight.
    pub(super) fn count(&self, now: Instant) -> usize {
        self.counted(now).count()
    }

    /// The earliest crash that counts, and its context; `None` without such a crash.
    pub(super) fn first_crash(&self, now: Instant) -> Option<(CrashId, &CrashContext)> {
        let crashes = self.crashes.iter();
        let counted = crashes.filter(|(_, crash)| crash.is_counted(now));
        let first = counted.min_by_key(|(_, crash)| crash.at);
        first.map(|(id, crash)| (*id, &crash.context))
    }

    /// Time of the latest crash, disregarded crashes included; `None` without a crash.
    pub(super) fn latest_crash(&self) -> Option<Instant> {
        self.crashes.values().map(|crash| crash.at).max()
    }

    /// Reports to peers all crashes that have not expired.
    pub(super) fn to_reports(&self, now: Instant) -> Vec<ReportedCrash> {
        let current = self
            .crashes
            .iter()
            .filter(|(_, crash)| !crash.is_expired(now));
        let reported = current.map(|(id, crash)| {
            let age = now.saturating_duration_since(crash.at);
            ReportedCrash {
                id: *id,
                // Fits: crashes expire after an hour.
                age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
                ran_ms: u32::try_from(crash.ran_for.as_millis()).unwrap_or(u32::MAX),
                context: crash.context.clone(),
                is_disregarded: crash.is_disregarded,
            }
        });
        reported.collect()
    }

    /// Removes crashes that are older than [`CRASH_TTL`]; returns whether any crash is left.
    pub(super) fn remove_expired(&mut self, now: Instant) -> bool {
        self.crashes.retain(|_, crash| !crash.is_expired(now));
        !self.crashes.is_empty()
    }
}
