//! What upstreams say of themselves, as it binds in the table.
//!
//! How long it binds is decided in [`crate::leaving`]; upstreams that are not known are remembered
//! there, too. Owns nothing besides the table's own.

use super::UpstreamTable;
use crate::leaving::LeavingReport;
use crate::news::TOLD_AGAIN_FOR;
use crate::upstream::{Upstream, UpstreamKey, UpstreamState};
use cloverpier_core::{ServiceName, UpstreamName};
use std::time::Instant;

/// Upstreams of a service that get nothing for what they said.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutByStatement {
    /// Those that leave.
    pub leaving: usize,
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

    /// Records what a peer told of upstreams that leave; returns those of them that are known and
    /// of which that is new.
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

    /// What a peer that has missed everything is told: the leavings of the upstreams that the list
    /// may still name.
    pub fn leavings(&self, now: Instant) -> Vec<LeavingReport> {
        let known: Vec<UpstreamKey> = self.by_key.keys().copied().collect();
        self.leavings.reports(known, now)
    }

    /// What peers are told again.
    pub fn new_leavings(&self, now: Instant) -> Vec<LeavingReport> {
        let new = self.leavings.known_for_less(TOLD_AGAIN_FOR, now);
        self.leavings.reports(new, now)
    }

    /// What peers are told of one upstream.
    pub fn leaving_of(&self, name: &UpstreamName, now: Instant) -> Vec<LeavingReport> {
        let state = self.upstreams.get(name);
        self.leavings.reports(state.map(|s| s.key), now)
    }

    /// How many upstreams of a service get nothing for what they said.
    pub fn out_by_statement(&self, service: &ServiceName) -> OutByStatement {
        let leaving = self.of_service(service).filter(|s| s.leaving.is_some());
        OutByStatement {
            leaving: leaving.count(),
        }
    }

    /// Takes account of what is known of a start before the list named it.
    pub(super) fn apply_known_statements(&self, state: &mut UpstreamState) {
        state.leaving = self.leavings.since(state.key, state.born_ms());
    }
}
