//! The upstreams that a router knows: the platform's list, and the signs of life.

use crate::load::{Load, PeerLoad};
use crate::upstream::{Suspicion, Upstream, UpstreamChange, UpstreamKey, UpstreamState};
use cloverpier_core::{DataCentre, ServiceName, UpstreamName};
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

/// Weight of a new sample in the smoothed failure rate and pace.
const SAMPLE_WEIGHT: f64 = 0.2;
/// First pause between two probes of a suspect; it doubles up to the longest.
const FIRST_PROBE_PAUSE: Duration = Duration::from_millis(150);
const MAX_PROBE_PAUSE: Duration = Duration::from_millis(1_000);
/// Changes of the list that are remembered for peers.
const REMEMBERED_CHANGES: usize = 1_024;
/// How long a upstream that vanished from the list is remembered.
const REMEMBERED: Duration = Duration::from_secs(20);

/// So many upstreams of a data centre, and such a part of them, make all the others doubtful.
const MIN_BAD: usize = 3;
const BAD_PART: f64 = 0.2;

/// Upstreams of one service in one data centre.
#[derive(Default)]
struct DataCentreCounts {
    listed: usize,
    bad: usize,
}

impl DataCentreCounts {
    fn seem_dead(&self) -> bool {
        self.bad >= MIN_BAD && self.bad as f64 >= self.listed as f64 * BAD_PART
    }
}

/// All upstreams that a router knows.
#[derive(Debug, Default)]
pub struct UpstreamTable {
    upstreams: HashMap<UpstreamName, UpstreamState>,
    by_service: BTreeMap<ServiceName, Vec<UpstreamName>>,
    by_key: HashMap<UpstreamKey, UpstreamName>,
    /// Work that other routers have in flight.
    pub peer_load: PeerLoad,
    revision: u64,
    /// The newest changes, each with the revision that its batch reached.
    changes: VecDeque<(u64, UpstreamChange)>,
    /// The revision from which on `changes` is complete.
    changes_since: u64,
}

impl UpstreamTable {
    /// The platform's revision that this view is as new as.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// All upstreams that are listed, as they travel between routers.
    pub fn listed(&self) -> Vec<Upstream> {
        let listed = self.upstreams.values().filter(|s| s.gone.is_none());
        listed.map(|s| s.upstream.clone()).collect()
    }

    /// A upstream by its name.
    pub fn get(&self, name: &UpstreamName) -> Option<&UpstreamState> {
        self.upstreams.get(name)
    }

    /// A upstream by its key.
    pub fn by_key(&self, key: UpstreamKey) -> Option<&UpstreamState> {
        self.upstreams.get(self.by_key.get(&key)?)
    }

    /// The upstreams of a service, gone ones that are still remembered among them.
    pub fn of_service(&self, service: &ServiceName) -> impl Iterator<Item = &UpstreamState> {
        let names = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        names.iter().filter_map(|name| self.upstreams.get(name))
    }

    /// The data centres of which so many upstreams of a service are suspected or doubted that
    /// the others there are probably dead, too.
    pub fn suspect_data_centres(
        &self,
        service: &ServiceName,
        now: Instant,
    ) -> HashSet<&DataCentre> {
        let mut counts: HashMap<&DataCentre, DataCentreCounts> = HashMap::new();
        for state in self.of_service(service).filter(|s| s.is_listed()) {
            let counts = counts.entry(&state.upstream.data_centre).or_default();
            counts.listed += 1;
            counts.bad += usize::from(state.is_suspected() || state.is_suspected_by_peer(now));
        }
        let suspected_by_peer = counts.into_iter().filter(|(_, c)| c.seem_dead());
        suspected_by_peer.map(|(centre, _)| centre).collect()
    }

    /// This router's own load, by upstream.
    pub fn own_load(&self) -> Vec<(UpstreamKey, Load)> {
        let busy = self.upstreams.values().filter(|s| !s.own_load.is_none());
        busy.map(|s| (s.key, s.own_load)).collect()
    }

    /// All load known at a upstream.
    pub fn load_at(&self, state: &UpstreamState) -> Load {
        let mut load = state.own_load;
        load.add(self.peer_load.at(state.key));
        load
    }

    /// Takes over a whole list; an older one than known changes nothing.
    pub fn apply_list(&mut self, upstreams: Vec<Upstream>, revision: u64, now: Instant) -> bool {
        if revision < self.revision {
            return false;
        }
        let listed: std::collections::HashSet<UpstreamName> =
            upstreams.iter().map(|s| s.name.clone()).collect();
        let missing: Vec<UpstreamName> = self
            .upstreams
            .keys()
            .filter(|name| !listed.contains(*name))
            .cloned()
            .collect();
        for name in missing {
            self.apply(UpstreamChange::Gone(name), now);
        }
        for upstream in upstreams {
            self.apply(UpstreamChange::Listed(upstream), now);
        }
        self.revision = revision;
        self.changes.clear();
        self.changes_since = revision;
        true
    }

    /// Takes over changes up to a revision; older ones than known change nothing.
    pub fn apply_changes(
        &mut self,
        changes: Vec<UpstreamChange>,
        revision: u64,
        now: Instant,
    ) -> bool {
        if revision <= self.revision {
            return false;
        }
        for change in changes {
            self.changes.push_back((revision, change.clone()));
            self.apply(change, now);
        }
        self.revision = revision;
        self.forget_old_changes();
        self.forget_gone(now);
        true
    }

    fn forget_old_changes(&mut self) {
        while self.changes.len() > REMEMBERED_CHANGES {
            if let Some((revision, _)) = self.changes.pop_front() {
                self.changes_since = revision;
            }
        }
    }

    /// The changes after a revision; `None` when they are forgotten.
    pub fn changes_after(&self, revision: u64) -> Option<Vec<UpstreamChange>> {
        if revision < self.changes_since {
            return None;
        }
        let newer_version_seen = self.changes.iter().filter(|(at, _)| *at > revision);
        Some(
            newer_version_seen
                .map(|(_, change)| change.clone())
                .collect(),
        )
    }

    fn apply(&mut self, change: UpstreamChange, now: Instant) {
        match change {
            UpstreamChange::Listed(upstream) => self.list(upstream),
            UpstreamChange::Gone(name) => {
                if let Some(state) = self.upstreams.get_mut(&name) {
                    state.gone.get_or_insert(now);
                }
            }
        }
    }

    fn list(&mut self, upstream: Upstream) {
        if let Some(state) = self.upstreams.get_mut(&upstream.name) {
            state.upstream = upstream;
            state.gone = None;
            return;
        }
        let name = upstream.name.clone();
        self.replace_at(&upstream);
        let of_service = self.by_service.entry(upstream.service.clone()).or_default();
        of_service.push(name.clone());
        let state = UpstreamState::new(upstream);
        self.by_key.insert(state.key, name.clone());
        self.upstreams.insert(name, state);
    }

    /// A new start at an address means that the one before is over.
    fn replace_at(&mut self, newer_version_seen: &Upstream) {
        for state in self.upstreams.values_mut() {
            if state.upstream.address == newer_version_seen.address {
                state.replaced = true;
            }
        }
    }

    fn forget_gone(&mut self, now: Instant) {
        let over: Vec<UpstreamName> = self
            .upstreams
            .values()
            .filter(|s| s.own_load.is_none())
            .filter(|s| {
                s.gone
                    .is_some_and(|at| now.saturating_duration_since(at) > REMEMBERED)
            })
            .map(|s| s.upstream.name.clone())
            .collect();
        for name in over {
            self.forget(&name);
        }
    }

    fn forget(&mut self, name: &UpstreamName) {
        let Some(state) = self.upstreams.remove(name) else {
            return;
        };
        self.by_key.remove(&state.key);
        if let Some(names) = self.by_service.get_mut(&state.upstream.service) {
            names.retain(|n| n != name);
        }
    }

    /// Adds own load at a upstream.
    pub fn begin(&mut self, name: &UpstreamName, load: Load) {
        if let Some(state) = self.upstreams.get_mut(name) {
            state.own_load.add(load);
        }
    }

    /// Takes own load away from a upstream.
    pub fn end(&mut self, name: &UpstreamName, load: Load) {
        if let Some(state) = self.upstreams.get_mut(name) {
            state.own_load.subtract(load);
        }
    }

    /// Notes how a request at a upstream went.
    pub fn on_result(&mut self, name: &UpstreamName, failed: bool) {
        if let Some(state) = self.upstreams.get_mut(name) {
            let sample = f64::from(u8::from(failed));
            state.failure_rate += SAMPLE_WEIGHT * (sample - state.failure_rate);
        }
    }

    /// Notes how long a unit of load took at a upstream.
    pub fn on_pace(&mut self, name: &UpstreamName, took: Duration) {
        if let Some(state) = self.upstreams.get_mut(name) {
            let sample = took.as_secs_f64() * 1e3;
            if state.pace_ms == 0.0 {
                state.pace_ms = sample;
            }
            state.pace_ms += SAMPLE_WEIGHT * (sample - state.pace_ms);
        }
    }

    /// Suspects a upstream: it gets nothing new until a probe finds it well.
    ///
    /// Returns whether the suspicion is new.
    pub fn suspect(&mut self, name: &UpstreamName, now: Instant) -> bool {
        let Some(state) = self.upstreams.get_mut(name) else {
            return false;
        };
        if state.suspicion.is_some() {
            return false;
        }
        state.suspicion = Some(Suspicion {
            since: now,
            next_probe: now,
            pause: FIRST_PROBE_PAUSE,
        });
        true
    }

    /// Notes that a peer suspects a upstream.
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
        let suspects = self
            .upstreams
            .values()
            .filter(|s| s.is_listed() && s.is_suspected());
        suspects.map(|s| s.key).collect()
    }

    /// Notes that another upstream answers at a upstream's address.
    pub fn on_replaced(&mut self, name: &UpstreamName) {
        if let Some(state) = self.upstreams.get_mut(name) {
            state.replaced = true;
            state.suspicion = None;
        }
    }

    /// Notes a sign of life; returns for how long the upstream was suspected.
    pub fn on_alive(&mut self, name: &UpstreamName, now: Instant) -> Option<Duration> {
        let suspicion = self.upstreams.get_mut(name)?.suspicion.take()?;
        Some(now.saturating_duration_since(suspicion.since))
    }

    /// Takes the suspects whose next probe is due.
    pub fn take_due_probes(&mut self, now: Instant) -> Vec<Upstream> {
        let mut due = Vec::new();
        for state in self.upstreams.values_mut() {
            if state.gone.is_some() || state.replaced {
                continue;
            }
            let Some(suspicion) = &mut state.suspicion else {
                continue;
            };
            if suspicion.next_probe <= now {
                suspicion.next_probe = now + suspicion.pause;
                suspicion.pause = (suspicion.pause * 2).min(MAX_PROBE_PAUSE);
                due.push(state.upstream.clone());
            }
        }
        due
    }
}
