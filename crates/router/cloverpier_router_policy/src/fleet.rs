//! The servers that a router knows: the platform's list, and the signs of life.

use crate::server::{Server, ServerChange, ServerKey, ServerState, Suspicion};
use crate::work::{PeerWork, Work};
use cloverpier_core::{DataCentre, ServiceName, UpstreamName};
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

/// Weight of a new sample in the smoothed failure rate and pace.
const SAMPLE_WEIGHT: f64 = 0.2;
/// First pause between two probes of a suspect; it doubles up to the longest.
const FIRST_PROBE_PAUSE: Duration = Duration::from_millis(150);
const LONGEST_PROBE_PAUSE: Duration = Duration::from_millis(1_000);
/// Changes of the list that are remembered for peers.
const REMEMBERED_CHANGES: usize = 1_024;
/// How long a server that vanished from the list is remembered.
const REMEMBERED: Duration = Duration::from_secs(20);

/// So many servers of a data centre, and such a part of them, make all the others doubtful.
const LEAST_BAD: usize = 3;
const BAD_PART: f64 = 0.2;

/// Servers of one service in one data centre.
#[derive(Default)]
struct CentreCounts {
    listed: usize,
    bad: usize,
}

impl CentreCounts {
    fn are_doubtful(&self) -> bool {
        self.bad >= LEAST_BAD && self.bad as f64 >= self.listed as f64 * BAD_PART
    }
}

/// All servers that a router knows.
#[derive(Debug, Default)]
pub struct Fleet {
    servers: HashMap<UpstreamName, ServerState>,
    by_service: BTreeMap<ServiceName, Vec<UpstreamName>>,
    by_key: HashMap<ServerKey, UpstreamName>,
    /// Work that other routers have in flight.
    pub peer_work: PeerWork,
    revision: u64,
    /// The newest changes, each with the revision that its batch reached.
    changes: VecDeque<(u64, ServerChange)>,
    /// The revision from which on `changes` is complete.
    changes_since: u64,
}

impl Fleet {
    /// The platform's revision that this view is as new as.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// All servers that are listed, as they travel between routers.
    pub fn listed(&self) -> Vec<Server> {
        let listed = self.servers.values().filter(|s| s.gone.is_none());
        listed.map(|s| s.server.clone()).collect()
    }

    /// A server by its name.
    pub fn get(&self, name: &UpstreamName) -> Option<&ServerState> {
        self.servers.get(name)
    }

    /// A server by its key.
    pub fn by_key(&self, key: ServerKey) -> Option<&ServerState> {
        self.servers.get(self.by_key.get(&key)?)
    }

    /// The servers of a service, gone ones that are still remembered among them.
    pub fn of_service(&self, service: &ServiceName) -> impl Iterator<Item = &ServerState> {
        let names = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        names.iter().filter_map(|name| self.servers.get(name))
    }

    /// The data centres of which so many servers of a service are suspected or doubted that
    /// the others there are probably dead, too.
    pub fn doubted_centres(&self, service: &ServiceName, now: Instant) -> HashSet<&DataCentre> {
        let mut counts: HashMap<&DataCentre, CentreCounts> = HashMap::new();
        for state in self.of_service(service).filter(|s| s.is_listed()) {
            let counts = counts.entry(&state.server.data_centre).or_default();
            counts.listed += 1;
            counts.bad += usize::from(state.is_suspect() || state.is_doubted(now));
        }
        let doubted = counts.into_iter().filter(|(_, c)| c.are_doubtful());
        doubted.map(|(centre, _)| centre).collect()
    }

    /// This router's own work, by server.
    pub fn own_work(&self) -> Vec<(ServerKey, Work)> {
        let busy = self.servers.values().filter(|s| !s.own.is_none());
        busy.map(|s| (s.key, s.own)).collect()
    }

    /// All work known at a server.
    pub fn work_at(&self, state: &ServerState) -> Work {
        let mut work = state.own;
        work.add(self.peer_work.at(state.key));
        work
    }

    /// Takes over a whole list; an older one than known changes nothing.
    pub fn apply_list(&mut self, servers: Vec<Server>, revision: u64, now: Instant) -> bool {
        if revision < self.revision {
            return false;
        }
        let listed: std::collections::HashSet<UpstreamName> =
            servers.iter().map(|s| s.name.clone()).collect();
        let missing: Vec<UpstreamName> = self
            .servers
            .keys()
            .filter(|name| !listed.contains(*name))
            .cloned()
            .collect();
        for name in missing {
            self.apply(ServerChange::Gone(name), now);
        }
        for server in servers {
            self.apply(ServerChange::Listed(server), now);
        }
        self.revision = revision;
        self.changes.clear();
        self.changes_since = revision;
        true
    }

    /// Takes over changes up to a revision; older ones than known change nothing.
    pub fn apply_changes(
        &mut self,
        changes: Vec<ServerChange>,
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
    pub fn changes_after(&self, revision: u64) -> Option<Vec<ServerChange>> {
        if revision < self.changes_since {
            return None;
        }
        let newer = self.changes.iter().filter(|(at, _)| *at > revision);
        Some(newer.map(|(_, change)| change.clone()).collect())
    }

    fn apply(&mut self, change: ServerChange, now: Instant) {
        match change {
            ServerChange::Listed(server) => self.list(server),
            ServerChange::Gone(name) => {
                if let Some(state) = self.servers.get_mut(&name) {
                    state.gone.get_or_insert(now);
                }
            }
        }
    }

    fn list(&mut self, server: Server) {
        if let Some(state) = self.servers.get_mut(&server.name) {
            state.server = server;
            state.gone = None;
            return;
        }
        let name = server.name.clone();
        self.replace_at(&server);
        let of_service = self.by_service.entry(server.service.clone()).or_default();
        of_service.push(name.clone());
        let state = ServerState::new(server);
        self.by_key.insert(state.key, name.clone());
        self.servers.insert(name, state);
    }

    /// A new start at an address means that the one before is over.
    fn replace_at(&mut self, newer: &Server) {
        for state in self.servers.values_mut() {
            if state.server.address == newer.address {
                state.replaced = true;
            }
        }
    }

    fn forget_gone(&mut self, now: Instant) {
        let over: Vec<UpstreamName> = self
            .servers
            .values()
            .filter(|s| s.own.is_none())
            .filter(|s| {
                s.gone
                    .is_some_and(|at| now.saturating_duration_since(at) > REMEMBERED)
            })
            .map(|s| s.server.name.clone())
            .collect();
        for name in over {
            self.forget(&name);
        }
    }

    fn forget(&mut self, name: &UpstreamName) {
        let Some(state) = self.servers.remove(name) else {
            return;
        };
        self.by_key.remove(&state.key);
        if let Some(names) = self.by_service.get_mut(&state.server.service) {
            names.retain(|n| n != name);
        }
    }

    /// Adds own work at a server.
    pub fn begin(&mut self, name: &UpstreamName, work: Work) {
        if let Some(state) = self.servers.get_mut(name) {
            state.own.add(work);
        }
    }

    /// Takes own work away from a server.
    pub fn end(&mut self, name: &UpstreamName, work: Work) {
        if let Some(state) = self.servers.get_mut(name) {
            state.own.subtract(work);
        }
    }

    /// Notes how a request at a server went.
    pub fn on_result(&mut self, name: &UpstreamName, failed: bool) {
        if let Some(state) = self.servers.get_mut(name) {
            let sample = f64::from(u8::from(failed));
            state.failure_rate += SAMPLE_WEIGHT * (sample - state.failure_rate);
        }
    }

    /// Notes how long a unit of work took at a server.
    pub fn on_pace(&mut self, name: &UpstreamName, took: Duration) {
        if let Some(state) = self.servers.get_mut(name) {
            let sample = took.as_secs_f64() * 1e3;
            if state.pace_ms == 0.0 {
                state.pace_ms = sample;
            }
            state.pace_ms += SAMPLE_WEIGHT * (sample - state.pace_ms);
        }
    }

    /// Suspects a server: it gets nothing new until a probe finds it well.
    ///
    /// Returns whether the suspicion is new.
    pub fn suspect(&mut self, name: &UpstreamName, now: Instant) -> bool {
        let Some(state) = self.servers.get_mut(name) else {
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

    /// Notes that a peer suspects a server.
    pub fn on_doubt(&mut self, key: ServerKey, now: Instant) {
        let Some(name) = self.by_key.get(&key) else {
            return;
        };
        if let Some(state) = self.servers.get_mut(name) {
            state.doubted = Some(now);
        }
    }

    /// The servers that this router suspects.
    pub fn suspects(&self) -> Vec<ServerKey> {
        let suspects = self
            .servers
            .values()
            .filter(|s| s.is_listed() && s.is_suspect());
        suspects.map(|s| s.key).collect()
    }

    /// Notes that another server answers at a server's address.
    pub fn on_replaced(&mut self, name: &UpstreamName) {
        if let Some(state) = self.servers.get_mut(name) {
            state.replaced = true;
            state.suspicion = None;
        }
    }

    /// Notes a sign of life; returns for how long the server was suspected.
    pub fn on_alive(&mut self, name: &UpstreamName, now: Instant) -> Option<Duration> {
        let suspicion = self.servers.get_mut(name)?.suspicion.take()?;
        Some(now.saturating_duration_since(suspicion.since))
    }

    /// Takes the suspects whose next probe is due.
    pub fn take_due_probes(&mut self, now: Instant) -> Vec<Server> {
        let mut due = Vec::new();
        for state in self.servers.values_mut() {
            if state.gone.is_some() || state.replaced {
                continue;
            }
            let Some(suspicion) = &mut state.suspicion else {
                continue;
            };
            if suspicion.next_probe <= now {
                suspicion.next_probe = now + suspicion.pause;
                suspicion.pause = (suspicion.pause * 2).min(LONGEST_PROBE_PAUSE);
                due.push(state.server.clone());
            }
        }
        due
    }
}
