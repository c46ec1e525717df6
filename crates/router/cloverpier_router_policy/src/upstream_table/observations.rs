//! What requests, checks and peers show of upstreams.
//!
//! Each function records one observation or answers one question about them; all of them
//! ignore upstreams that are not known any more. The rules on how long an observation
//! counts are in [`crate::suspicion`].

use super::UpstreamTable;
use crate::load::Load;
use crate::suspicion::Suspicion;
use crate::upstream::{StartOrder, Upstream, UpstreamKey};
use cloverpier_core::UpstreamName;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Weight of a new sample in the smoothed failure rate and pace: about the last five requests
/// count.
const SAMPLE_WEIGHT: f64 = 0.2;

impl UpstreamTable {
    /// Adds own load at an upstream.
    pub fn add_load(&mut self, name: &UpstreamName, load: Load) {
        if let Some(state) = self.upstreams.get_mut(name) {
            state.own_load.add(load);
        }
    }

    /// Removes own load from an upstream.
    pub fn remove_load(&mut self, name: &UpstreamName, load: Load) {
        if let Some(state) = self.upstreams.get_mut(name) {
            state.own_load.subtract(load);
        }
    }

    /// Records how a request at an upstream went.
    pub fn on_result(&mut self, name: &UpstreamName, failed: bool) {
        if let Some(state) = self.upstreams.get_mut(name) {
            let sample = f64::from(u8::from(failed));
            state.failure_rate += SAMPLE_WEIGHT * (sample - state.failure_rate);
        }
    }

    /// Records how long a plain request took at an upstream.
    pub fn on_pace(&mut self, name: &UpstreamName, took: Duration) {
        if let Some(state) = self.upstreams.get_mut(name) {
            let sample = took.as_secs_f64() * 1e3;
            if state.pace_ms == 0.0 {
                state.pace_ms = sample;
            }
            state.pace_ms += SAMPLE_WEIGHT * (sample - state.pace_ms);
        }
    }

    /// Suspects an upstream: it gets nothing new until a check finds it alive.
    ///
    /// Returns whether the suspicion is new.
    pub fn suspect(&mut self, name: &UpstreamName, now: Instant) -> bool {
        let Some(state) = self.upstreams.get_mut(name) else {
            return false;
        };
        if state.suspicion.is_some() {
            return false;
        }
        state.suspicion = Some(Suspicion::new(now));
        self.maybe_suspected.insert(name.clone());
        true
    }

    /// Has a suspect checked closely while a successor would be recognized.
    pub fn await_successor(&mut self, name: &UpstreamName, until: Instant) {
        let state = self.upstreams.get_mut(name);
        if let Some(suspicion) = state.and_then(|s| s.suspicion.as_mut()) {
            suspicion.await_successor(until);
        }
    }

    /// Records that a peer suspects an upstream.
    pub fn on_peer_suspicion(&mut self, key: UpstreamKey, now: Instant) {
        let Some(name) = self.by_key.get(&key) else {
            return;
        };
        if let Some(state) = self.upstreams.get_mut(name) {
            state.suspected_by_peer = Some(now);
        }
    }

    /// The upstreams that this router suspects.
    pub fn suspects(&self) -> Vec<UpstreamKey> {
        let names = self.maybe_suspected.iter();
        let states = names.filter_map(|name| self.upstreams.get(name));
        let suspects = states.filter(|s| s.is_listed() && s.is_suspected());
        suspects.map(|s| s.key).collect()
    }

    /// Whether any upstream may be suspected.
    pub fn may_have_suspects(&self) -> bool {
        !self.maybe_suspected.is_empty()
    }

    /// Records that another upstream answers at an upstream's address; returns whether that is
    /// new.
    pub fn on_replaced(&mut self, name: &UpstreamName) -> bool {
        let Some(state) = self.upstreams.get_mut(name) else {
            return false;
        };
        state.suspicion = None;
        !std::mem::replace(&mut state.replaced, true)
    }

    /// Records a start that an upstream named in an answer.
    pub fn on_start(&mut self, name: &UpstreamName, born_ms: Option<u64>) -> StartOrder {
        let Some(state) = self.upstreams.get_mut(name) else {
            return StartOrder::Same;
        };
        let order = state.on_start(born_ms);
        state.leaving = self.leavings.since(state.key, state.born_ms());
        order
    }

    /// Records that a process at an address named itself: an upstream that is known there has
    /// not been replaced, whatever another writer listed at its address.
    pub fn on_answered_at(&mut self, name: &UpstreamName, address: SocketAddr) {
        let state = self.upstreams.get_mut(name);
        if let Some(state) = state.filter(|s| s.upstream.address == address) {
            state.replaced = false;
        }
    }

    /// Records a sign of life; returns how long the upstream was suspected.
    pub fn on_alive(&mut self, name: &UpstreamName, now: Instant) -> Option<Duration> {
        let suspicion = self.upstreams.get_mut(name)?.suspicion.take()?;
        Some(now.saturating_duration_since(suspicion.since))
    }

    /// Starts the checks of suspects that are due and returns whom to check.
    pub fn start_due_checks(&mut self, now: Instant) -> Vec<Upstream> {
        let upstreams = &self.upstreams;
        let is_suspected =
            |name: &UpstreamName| upstreams.get(name).is_some_and(|s| s.is_suspected());
        self.maybe_suspected.retain(is_suspected);
        let mut due = Vec::new();
        for name in &self.maybe_suspected {
            let Some(state) = self.upstreams.get_mut(name) else {
                continue;
            };
            if state.gone.is_some() || state.replaced {
                continue;
            }
            let Some(suspicion) = &mut state.suspicion else {
                continue;
            };
            if state.wait.is_some_and(|wait| !wait.allows_question(now)) {
                continue;
            }
            if suspicion.start_due_check(now) {
                due.push(state.upstream.clone());
                if let Some(wait) = &mut state.wait {
                    wait.on_question();
                }
            }
        }
        due
    }
}
