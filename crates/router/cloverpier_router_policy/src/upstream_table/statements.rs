//! Records in the table what upstreams announce about themselves: that they leave, and for how long
//! they accept no requests.
//!
//! How long an announcement counts is defined in [`crate::leaving`] and [`cloverpier_core::wait`].
//! Peers' reports of leaving upstreams are kept even if the table does not contain the upstream yet.
//! Owns no state besides that of [`UpstreamTable`].

use super::UpstreamTable;
use crate::brittle::Brittleness;
use crate::dissemination::REPEAT_WINDOW;
use crate::leaving::LeavingReport;
use crate::upstream::{Upstream, UpstreamKey, UpstreamState};
use cloverpier_core::{ServiceName, UpstreamName, WaitPeriod};
use std::time::{Duration, Instant};

/// Numbers of a service's upstreams that get no new requests because of what they announced about
/// themselves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ExclusionCounts {
    /// Upstreams that announced in a response that they leave.
    pub leaving: usize,
    /// Upstreams in a wait period (`Retry-After`).
    pub waiting: usize,
}

/// A period during which every listed upstream of a service is in a wait period (`Retry-After`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceWait {
    /// Time until the first upstream's wait period ends, and requests can be sent again.
    pub remaining: Duration,
    /// Time since the last upstream's wait period began, and the service stopped accepting requests.
    pub elapsed: Duration,
}

impl UpstreamTable {
    /// Records that an upstream has announced in a response that it leaves. `start_time_ms` is the
    /// start time in that response and selects the leaving incarnation; `None` selects the newest
    /// known one.
    ///
    /// Returns whether the announcement is the first one known for the incarnation; false if the
    /// upstream is unknown.
    pub fn on_leaving(
        &mut self,
        name: &UpstreamName,
        start_time_ms: Option<u64>,
        now: Instant,
    ) -> bool {
        let Some(state) = self.upstreams.get_mut(name) else {
            return false;
        };
        let start_time_ms = start_time_ms.or(state.start_time_ms());
        let is_new = self.leaving_upstreams.record(state.key, start_time_ms, now);
        state.leaving = self
            .leaving_upstreams
            .since(state.key, state.start_time_ms());
        is_new
    }

    /// Records a peer's reports of leaving upstreams.
    ///
    /// Returns the upstreams in the table for which a report is the first one known. Reports of other
    /// upstreams are kept until their entries arrive.
    pub fn on_peer_leaving_reports(
        &mut self,
        reports: &[LeavingReport],
        now: Instant,
    ) -> Vec<Upstream> {
        let mut new = Vec::new();
        for report in reports {
            let since = report.since(now);
            let is_new =
                self.leaving_upstreams
                    .record(report.upstream, report.start_time_ms, since);
            let name = self.by_key.get(&report.upstream);
            let Some(state) = name.and_then(|name| self.upstreams.get_mut(name)) else {
                continue;
            };
            state.leaving = self
                .leaving_upstreams
                .since(state.key, state.start_time_ms());
            if is_new {
                new.push(state.upstream.clone());
            }
        }
        new
    }

    /// Reports of all leaving upstreams in the table, for a peer that may have missed any of them.
    pub fn leaving_reports(&self, now: Instant) -> Vec<LeavingReport> {
        let known: Vec<UpstreamKey> = self.by_key.keys().copied().collect();
        self.leaving_upstreams.reports(known, now)
    }

    /// Reports of upstreams that have been known to leave for less than
    /// [`REPEATED_FOR`], which are sent to peers repeatedly.
    pub fn recent_leaving_reports(&self, now: Instant) -> Vec<LeavingReport> {
        let new = self.leaving_upstreams.reported_within(REPEAT_WINDOW, now);
        self.leaving_upstreams.reports(new, now)
    }

    /// The report of one upstream; empty if the upstream is not leaving or unknown.
    pub fn leaving_reports_of(&self, name: &UpstreamName, now: Instant) -> Vec<LeavingReport> {
        let state = self.upstreams.get(name);
        self.leaving_upstreams.reports(state.map(|s| s.key), now)
    }

    /// Counts the upstreams of a service that get no new requests because of their own announcements,
    /// including those whose entries were removed but whose state is still kept.
    pub fn exclusion_counts(&self, service: &ServiceName, now: Instant) -> ExclusionCounts {
        let mut counts = ExclusionCounts::default();
        for state in self.of_service(service) {
            counts.leaving += usize::from(state.leaving.is_some());
            counts.waiting += usize::from(state.in_wait_period(now));
        }
        counts
    }

    /// Records that an upstream has rejected a request and accepts none from this VM for `duration`.
    /// A wait period in progress is extended, never shortened.
    ///
    /// Returns whether a wait period begins: false if one is in progress or the upstream is unknown.
    pub fn on_wait(&mut self, name: &UpstreamName, duration: Duration, now: Instant) -> bool {
        let Some(state) = self.upstreams.get_mut(name) else {
            return false;
        };
        let is_new = !state.in_wait_period(now);
        state.wait = Some(WaitPeriod::start_or_extend(state.wait, duration, now));
        is_new
    }

    /// The brittleness of an upstream; `None` if the upstream is not in the table.
    pub fn brittleness_mut(&mut self, name: &UpstreamName) -> Option<&mut Brittleness> {
        let state = self.upstreams.get_mut(name)?;
        Some(&mut state.brittleness)
    }

    /// The upstreams that are brittle.
    pub fn brittle_upstreams(&mut self) -> impl Iterator<Item = &mut UpstreamState> {
        let states = self.upstreams.values_mut();
        states.filter(|state| state.brittleness.is_brittle())
    }

    /// The wait of a service whose listed upstreams are all in a wait period. `None` if one of them
    /// accepts requests now, or if none is listed.
    pub fn wait_of_service(&self, service: &ServiceName, now: Instant) -> Option<ServiceWait> {
        let listed: Vec<_> = self.of_service(service).filter(|s| s.is_listed()).collect();
        if listed.iter().any(|s| !s.in_wait_period(now)) {
            return None;
        }
        let waits: Vec<_> = listed.iter().filter_map(|s| s.wait).collect();
        let first_end = waits.iter().map(WaitPeriod::ends_at).min()?;
        let last_begin = waits.iter().map(WaitPeriod::started_at).max()?;
        Some(ServiceWait {
            remaining: first_end.saturating_duration_since(now),
            elapsed: now.saturating_duration_since(last_begin),
        })
    }

    /// When the next probe or check of an upstream is allowed; `None` if one is allowed now. A wait
    /// period allows one probe or check before it ends.
    pub fn next_probe_time(&self, name: &UpstreamName, now: Instant) -> Option<Instant> {
        let wait = self.upstreams.get(name)?.wait?;
        (!wait.allows_probe(now)).then(|| wait.ends_at())
    }

    /// Records a probe or check that is about to be sent to an upstream. Returns false if the
    /// upstream's wait period allows none now, and the probe must not be sent.
    pub fn try_start_probe(&mut self, name: &UpstreamName, now: Instant) -> bool {
        let state = self.upstreams.get_mut(name);
        let Some(wait) = state.and_then(|s| s.wait.as_mut()) else {
            return true;
        };
        let is_allowed = wait.allows_probe(now);
        wait.on_probe_sent();
        is_allowed
    }

    /// Applies a leave announcement that arrived before the upstream's entry.
    pub(super) fn apply_leaving_state(&self, state: &mut UpstreamState) {
        state.leaving = self
            .leaving_upstreams
            .since(state.key, state.start_time_ms());
    }
}
