//! What upstreams say of themselves, as it binds in the table.
//!
//! How long it binds is decided in [`crate::leaving`] and [`cloverpier_core::wait`]; leavings of
//! upstreams that are not known are remembered, too. Owns nothing besides the table's own.

use super::UpstreamTable;
use crate::dissemination::REPEAT_WINDOW;
use crate::leaving::LeavingReport;
use crate::upstream::{Upstream, UpstreamKey, UpstreamState};
use cloverpier_core::{ServiceName, UpstreamName, Wait};
use std::time::{Duration, Instant};

/// Upstreams of a service that get nothing for what they said.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutByStatement {
    /// Those that leave.
    pub leaving: usize,
    /// Those that want nothing for now.
    pub waiting: usize,
}

/// The time for which all upstreams of a service want nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceWait {
    /// Until the first of them may be asked again.
    pub left: Duration,
    /// Since the last of them began to want nothing.
    pub passed: Duration,
}

impl UpstreamTable {
    /// Records that an upstream has said that it leaves: the start that it named, else the newest that
    /// is known. Returns whether that is new.
    pub fn on_leaving(&mut self, name: &UpstreamName, born_ms: Option<u64>, now: Instant) -> bool {
        let Some(state) = self.upstreams.get_mut(name) else {
            return false;
        };
        let born_ms = born_ms.or(state.born_ms());
        let is_new = self.leavings.learn(state.key, born_ms, now);
        state.leaving = self.leavings.since(state.key, state.born_ms());
        is_new
    }

    /// Records a peer's reports of upstreams that leave; returns the upstreams that are known and for
    /// which the report is new.
    pub fn on_peer_leavings(&mut self, reports: &[LeavingReport], now: Instant) -> Vec<Upstream> {
        let mut new = Vec::new();
        for report in reports {
            let since = report.since(now);
            let is_new = self.leavings.learn(report.upstream, report.born_ms, since);
            let name = self.by_key.get(&report.upstream);
            let Some(state) = name.and_then(|name| self.upstreams.get_mut(name)) else {
                continue;
            };
            state.leaving = self.leavings.since(state.key, state.born_ms());
            if is_new {
                new.push(state.upstream.clone());
            }
        }
        new
    }

    /// Reports for a peer that may have missed all of them: those of the upstreams that the list may
    /// still name.
    pub fn leavings(&self, now: Instant) -> Vec<LeavingReport> {
        let known: Vec<UpstreamKey> = self.by_key.keys().copied().collect();
        self.leavings.reports(known, now)
    }

    /// Reports that are sent to peers again.
    pub fn new_leavings(&self, now: Instant) -> Vec<LeavingReport> {
        let new = self.leavings.known_for_less(REPEAT_WINDOW, now);
        self.leavings.reports(new, now)
    }

    /// The report of one upstream, if it leaves.
    pub fn leaving_of(&self, name: &UpstreamName, now: Instant) -> Vec<LeavingReport> {
        let state = self.upstreams.get(name);
        self.leavings.reports(state.map(|s| s.key), now)
    }

    /// How many upstreams of a service get nothing for what they said.
    pub fn out_by_statement(&self, service: &ServiceName, now: Instant) -> OutByStatement {
        let mut out = OutByStatement::default();
        for state in self.of_service(service) {
            out.leaving += usize::from(state.leaving.is_some());
            out.waiting += usize::from(state.wants_nothing(now));
        }
        out
    }

    /// Records that an upstream has turned a request away and wants nothing for a time; returns
    /// whether that is new, and no time that it had named before still ran.
    pub fn on_wait(&mut self, name: &UpstreamName, time: Duration, now: Instant) -> bool {
        let Some(state) = self.upstreams.get_mut(name) else {
            return false;
        };
        let is_new = !state.wants_nothing(now);
        state.wait = Some(Wait::begin(state.wait, time, now));
        is_new
    }

    /// For how long a service wants nothing; `None` where one of its upstreams may be asked now, or none takes
    /// requests at all.
    pub fn wait_of_service(&self, service: &ServiceName, now: Instant) -> Option<ServiceWait> {
        let listed: Vec<_> = self.of_service(service).filter(|s| s.is_listed()).collect();
        if listed.iter().any(|s| !s.wants_nothing(now)) {
            return None;
        }
        let waits: Vec<_> = listed.iter().filter_map(|s| s.wait).collect();
        let first = waits.iter().map(Wait::until).min()?;
        let since = waits.iter().map(Wait::since).max()?;
        Some(ServiceWait {
            left: first.saturating_duration_since(now),
            passed: now.saturating_duration_since(since),
        })
    }

    /// From when on an upstream may be asked a question, if that is not now.
    pub fn asked_again_at(&self, name: &UpstreamName, now: Instant) -> Option<Instant> {
        let wait = self.upstreams.get(name)?.wait?;
        (!wait.allows_question(now)).then(|| wait.until())
    }

    /// Records a question to an upstream; false where none may be sent now.
    pub fn try_ask(&mut self, name: &UpstreamName, now: Instant) -> bool {
        let state = self.upstreams.get_mut(name);
        let Some(wait) = state.and_then(|s| s.wait.as_mut()) else {
            return true;
        };
        let is_allowed = wait.allows_question(now);
        wait.on_question();
        is_allowed
    }

    /// Takes account of what is known of a start before the list named it.
    pub(super) fn apply_known_statements(&self, state: &mut UpstreamState) {
        state.leaving = self.leavings.since(state.key, state.born_ms());
    }
}
