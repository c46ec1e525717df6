//! Records observations of upstreams from requests, checks and peers in the table.
//!
//! Each function records or returns one kind of observation; all of them ignore upstreams that are
//! no longer in the table. How long a suspicion counts is defined in [`crate::suspicion`]. Owns no
//! state besides that of [`UpstreamTable`].

use super::UpstreamTable;
use crate::load::Load;
use crate::suspicion::Suspicion;
use crate::upstream::{StartOrder, Upstream, UpstreamKey};
use cloverpier_core::UpstreamName;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Weight of a new sample in the exponentially smoothed failure rate and latency: the values reflect
/// about the last five requests.
const SAMPLE_WEIGHT: f64 = 0.2;

impl UpstreamTable {
    /// Adds the load of a request that this router sends to an upstream. The caller removes the same
    /// load with [`Self::remove_load`] when the request ends.
    pub fn add_load(&mut self, name: &UpstreamName, load: Load) {
        if let Some(state) = self.upstreams.get_mut(name) {
            state.own_load.add(load);
        }
    }

    /// Removes the load of a request of this router that has ended at an upstream.
    pub fn remove_load(&mut self, name: &UpstreamName, load: Load) {
        if let Some(state) = self.upstreams.get_mut(name) {
            state.own_load.subtract(load);
        }
    }

    /// Updates the smoothed failure rate of an upstream with the result of a request.
    pub fn on_result(&mut self, name: &UpstreamName, failed: bool) {
        if let Some(state) = self.upstreams.get_mut(name) {
            let sample = f64::from(u8::from(failed));
            state.failure_rate += SAMPLE_WEIGHT * (sample - state.failure_rate);
        }
    }

    /// Updates the smoothed latency of an upstream with the duration of a plain (non-streaming)
    /// request. The first sample sets the value.
    pub fn on_latency(&mut self, name: &UpstreamName, took: Duration) {
        if let Some(state) = self.upstreams.get_mut(name) {
            let sample = took.as_secs_f64() * 1e3;
            if state.latency_ms == 0.0 {
                state.latency_ms = sample;
            }
            state.latency_ms += SAMPLE_WEIGHT * (sample - state.latency_ms);
        }
    }

    /// Marks an upstream as suspected: it gets no new requests until a check clears it.
    ///
    /// Returns false if the upstream is suspected already or unknown.
    pub fn suspect(&mut self, name: &UpstreamName, now: Instant) -> bool {
        let Some(state) = self.upstreams.get_mut(name) else {
            return false;
        };
        if state.suspicion.is_some() {
            return false;
        }
        state.suspicion = Some(Suspicion::new(now));
        self.possible_suspects.insert(name.clone());
        true
    }

    /// Has an upstream checked whose entry alone says that it has returned. Returns it, unless it is checked already.
    pub(super) fn begin_return_check(
        &mut self,
        name: &UpstreamName,
        now: Instant,
    ) -> Option<Upstream> {
        let state = self.upstreams.get(name);
        let upstream = state.filter(|s| s.is_return_unconfirmed && s.delisted_at.is_none())?;
        let upstream = upstream.upstream.clone();
        self.suspect(name, now).then_some(upstream)
    }

    /// Records that an upstream has said, in answer to a check, that it serves.
    pub fn on_serving(&mut self, name: &UpstreamName) {
        if let Some(state) = self.upstreams.get_mut(name) {
            state.is_return_unconfirmed = false;
        }
    }

    /// Makes checks of a suspected upstream more frequent until the given moment, so that a successor
    /// at its address is found while [`crate::successor`] can still accept it.
    pub fn check_frequently_until(&mut self, name: &UpstreamName, until: Instant) {
        let state = self.upstreams.get_mut(name);
        if let Some(suspicion) = state.and_then(|s| s.suspicion.as_mut()) {
            suspicion.check_frequently_until(until);
        }
    }

    /// Records a peer's report that it suspects an upstream.
    pub fn on_peer_suspicion(&mut self, key: UpstreamKey, now: Instant) {
        let Some(name) = self.by_key.get(&key) else {
            return;
        };
        if let Some(state) = self.upstreams.get_mut(name) {
            state.peer_suspected_at = Some(now);
        }
    }

    /// The listed upstreams that this router suspects; they are reported to peers.
    pub fn suspects(&self) -> Vec<UpstreamKey> {
        let names = self.possible_suspects.iter();
        let states = names.filter_map(|name| self.upstreams.get(name));
        let suspects = states.filter(|s| s.is_listed() && s.is_suspected());
        suspects.map(|s| s.key).collect()
    }

    /// Whether checks have to go on: true while an upstream is suspected, and for one more round of
    /// checks after the last one was cleared.
    pub fn may_have_suspects(&self) -> bool {
        !self.possible_suspects.is_empty()
    }

    /// Records that another process responds at an upstream's address, so that the upstream gets no
    /// requests and no checks any more; returns whether that was not recorded before.
    pub fn on_replaced(&mut self, name: &UpstreamName) -> bool {
        let Some(state) = self.upstreams.get_mut(name) else {
            return false;
        };
        state.suspicion = None;
        state.is_return_unconfirmed = false;
        !std::mem::replace(&mut state.replaced, true)
    }

    /// Records the start time that an upstream reported in a response, and returns how the start time
    /// compares with the newest known one.
    pub fn on_start(&mut self, name: &UpstreamName, start_time_ms: Option<u64>) -> StartOrder {
        let Some(state) = self.upstreams.get_mut(name) else {
            return StartOrder::Same;
        };
        let order = state.on_start(start_time_ms);
        state.leaving = self
            .leaving_upstreams
            .since(state.key, state.start_time_ms());
        order
    }

    /// Records that the process at an address identified itself as the upstream `name`. If the
    /// upstream's entry contains that address, the upstream is not replaced, even if another writer
    /// to the store listed a different upstream there.
    pub fn on_identified_at(&mut self, name: &UpstreamName, address: SocketAddr) {
        let state = self.upstreams.get_mut(name);
        if let Some(state) = state.filter(|s| s.upstream.address == address) {
            state.replaced = false;
        }
    }

    /// Clears the suspicion of an upstream that responded to a check; returns how long it was
    /// suspected, or `None` if it was not, or if it has yet to confirm that it has returned.
    pub fn on_alive(&mut self, name: &UpstreamName, now: Instant) -> Option<Duration> {
        let state = self.upstreams.get_mut(name)?;
        if state.is_return_unconfirmed {
            return None;
        }
        let suspicion = state.suspicion.take()?;
        Some(now.saturating_duration_since(suspicion.since))
    }

    /// Returns the suspected upstreams whose check is due, and schedules their next checks.
    ///
    /// Removed and replaced upstreams are not checked. During a wait period an upstream gets at most
    /// one probe or check ([`cloverpier_core::wait`]).
    pub fn start_due_checks(&mut self, now: Instant) -> Vec<Upstream> {
        let upstreams = &self.upstreams;
        let is_suspected =
            |name: &UpstreamName| upstreams.get(name).is_some_and(|s| s.is_suspected());
        self.possible_suspects.retain(is_suspected);
        let mut due = Vec::new();
        for name in &self.possible_suspects {
            let Some(state) = self.upstreams.get_mut(name) else {
                continue;
            };
            if state.delisted_at.is_some() || state.replaced {
                continue;
            }
            let Some(suspicion) = &mut state.suspicion else {
                continue;
            };
            if state.wait.is_some_and(|wait| !wait.allows_probe(now)) {
                continue;
            }
            if suspicion.start_due_check(now) {
                due.push(state.upstream.clone());
                if let Some(wait) = &mut state.wait {
                    wait.on_probe_sent();
                }
            }
        }
        due
    }
}
