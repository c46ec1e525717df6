//! The upstreams that a router knows: the platform's list and its versions.
//!
//! Owns the entry of each upstream, the revision of the platform's list that it is as new
//! as, and the latest changes, which peers ask for. Revisions only rise. What requests and
//! checks show of an upstream is recorded in the `observations` half of the type. A new start
//! of an upstream has a new name, or says when it began; what was known of the former start is
//! dropped then.

mod addresses;
mod observations;
mod statements;

pub use statements::{OutByStatement, ServiceWait};

use crate::leaving::Leavings;
use crate::load::{Load, PeerLoad};
use crate::suspicion::DataCentreCounts;
use crate::upstream::{StartOrder, Unlisted, Upstream, UpstreamChange, UpstreamKey, UpstreamState};
use addresses::AddressIndex;
use cloverpier_core::{DataCentre, ServiceName, SoftwareVersion, UpstreamName};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

/// Changes of the list that are kept for peers at least, and as many as there are upstreams: a peer that
/// is further behind fetches the whole list, which is no longer.
const MIN_CHANGES_KEPT: usize = 1_024;
/// How long an upstream without entry is remembered: longer than
/// [`crate::suspicion::RETURN_WINDOW`], and than most requests that run there.
const GONE_KEPT_FOR: Duration = Duration::from_secs(20);

/// All upstreams that a router knows.
#[derive(Debug, Default)]
pub struct UpstreamTable {
    upstreams: HashMap<UpstreamName, UpstreamState>,
    by_service: BTreeMap<ServiceName, Vec<UpstreamName>>,
    by_key: HashMap<UpstreamKey, UpstreamName>,
    by_address: AddressIndex,
    /// Those that are suspected, and some that were: looked through in place of all.
    maybe_suspected: HashSet<UpstreamName>,
    /// Load that other routers reported.
    pub peer_load: PeerLoad,
    revision: u64,
    /// The newest changes, each with the revision that its batch reached.
    changes: VecDeque<(u64, UpstreamChange)>,
    /// The revision from which on `changes` is complete.
    changes_since: u64,
    /// Upstreams that have said that they leave.
    leavings: Leavings,
    /// The services that the configuration names; `None` before one is known.
    services: Option<HashSet<ServiceName>>,
}

/// The effect of a new list of upstreams, or of changes to it.
#[derive(Debug, Default)]
pub struct AppliedUpdate {
    /// Whether they were new.
    pub is_new: bool,
    /// Upstreams that have started again under the names that they had.
    pub restarted: Vec<Upstream>,
    /// The versions that the update names, by service.
    pub versions: BTreeMap<ServiceName, BTreeSet<SoftwareVersion>>,
}

/// The versions of upstreams, by service.
fn versions_of<'a>(
    upstreams: impl Iterator<Item = &'a Upstream>,
) -> BTreeMap<ServiceName, BTreeSet<SoftwareVersion>> {
    let mut versions: BTreeMap<ServiceName, BTreeSet<SoftwareVersion>> = BTreeMap::new();
    for upstream in upstreams {
        if let Some(version) = upstream.version() {
            let of_service = versions.entry(upstream.service.clone()).or_default();
            of_service.insert(version.clone());
        }
    }
    versions
}

impl UpstreamTable {
    /// Number of upstreams, those that are gone for a while among them.
    pub fn len(&self) -> usize {
        self.upstreams.len()
    }

    /// Whether none is known.
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    /// The platform's revision that this view is as new as.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// All upstreams that are listed, as they travel between routers.
    pub fn listed(&self) -> Vec<Upstream> {
        let is_listed = |s: &&UpstreamState| s.gone.is_none() && s.unlisted.is_none();
        let listed = self.upstreams.values().filter(is_listed);
        listed.map(|s| s.upstream.clone()).collect()
    }

    /// An upstream by its name.
    pub fn get(&self, name: &UpstreamName) -> Option<&UpstreamState> {
        self.upstreams.get(name)
    }

    /// An upstream by its key.
    pub fn by_key(&self, key: UpstreamKey) -> Option<&UpstreamState> {
        self.upstreams.get(self.by_key.get(&key)?)
    }

    /// The upstreams of a service, gone ones that are still remembered among them.
    pub fn of_service(&self, service: &ServiceName) -> impl Iterator<Item = &UpstreamState> {
        let names = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        names.iter().filter_map(|name| self.upstreams.get(name))
    }

    /// The data centres that seem dead to a service, by what this router and its peers suspect.
    pub fn suspect_data_centres(
        &self,
        service: &ServiceName,
        now: Instant,
    ) -> HashSet<&DataCentre> {
        let mut counts: HashMap<&DataCentre, DataCentreCounts> = HashMap::new();
        for state in self.of_service(service).filter(|s| s.is_listed()) {
            let counts = counts.entry(&state.upstream.data_centre).or_default();
            counts.listed += 1;
            let is_suspected = state.is_suspected() || state.is_suspected_by_peer(now);
            counts.suspected += usize::from(is_suspected);
        }
        let dead = counts.into_iter().filter(|(_, c)| c.seems_dead());
        dead.map(|(data_centre, _)| data_centre).collect()
    }

    /// Number of a service's upstreams that are listed under a version.
    pub fn count_of_version(&self, service: &ServiceName, version: &SoftwareVersion) -> usize {
        let listed = self.of_service(service).filter(|s| s.is_listed());
        let of_version = listed.filter(|s| s.upstream.version() == Some(version));
        of_version.count()
    }

    /// This router's own requests at the upstreams of a service that have another version.
    pub fn own_requests_but(&self, service: &ServiceName, version: &SoftwareVersion) -> u32 {
        let others = self.of_service(service);
        let others = others.filter(|s| s.upstream.version() != Some(version));
        others.map(|s| s.own_load.requests).sum()
    }

    /// This router's own load, by upstream.
    pub fn own_load(&self) -> Vec<(UpstreamKey, Load)> {
        let busy = self.upstreams.values().filter(|s| !s.own_load.is_zero());
        busy.map(|s| (s.key, s.own_load)).collect()
    }

    /// All load known at an upstream.
    pub fn load_at(&self, state: &UpstreamState) -> Load {
        let mut load = state.own_load;
        load.add(self.peer_load.at(state.key));
        load
    }

    /// Applies a whole list; changes nothing where it is older than this one.
    pub fn apply_list(
        &mut self,
        upstreams: Vec<Upstream>,
        revision: u64,
        now: Instant,
    ) -> AppliedUpdate {
        if revision < self.revision {
            return AppliedUpdate::default();
        }
        let versions = versions_of(upstreams.iter());
        let is_first = self.revision == 0;
        let restarted = self.apply_all(self.changes_to(upstreams), revision, now);
        if is_first {
            // Nothing is known of the time before.
            self.changes.clear();
            self.changes_since = revision;
        }
        self.forget_old_changes();
        self.forget_unlisted(now);
        AppliedUpdate {
            is_new: true,
            restarted,
            versions,
        }
    }

    /// What makes this table the same as a whole list. A list that is read again, as when the
    /// store has forgotten its history, differs little from what is known; handed on as
    /// changes, it does not make each peer fetch the list (about 100 bytes for each upstream).
    fn changes_to(&self, upstreams: Vec<Upstream>) -> Vec<UpstreamChange> {
        let listed: HashSet<&UpstreamName> = upstreams.iter().map(|s| &s.name).collect();
        let is_listed = |s: &&UpstreamState| s.gone.is_none() && s.unlisted.is_none();
        let known = self.upstreams.values().filter(is_listed);
        let missing = known.filter(|s| !listed.contains(&s.upstream.name));
        let gone = missing.map(|s| UpstreamChange::Gone(s.upstream.name.clone()));
        let mut changes: Vec<UpstreamChange> = gone.collect();
        let is_new = |upstream: &Upstream| {
            let known = self.upstreams.get(&upstream.name);
            known.is_none_or(|s| s.gone.is_some() || s.differs_from(upstream))
        };
        let new = upstreams.into_iter().filter(is_new);
        changes.extend(new.map(UpstreamChange::Listed));
        changes
    }

    /// Applies changes up to a revision; changes nothing where they are not new.
    pub fn apply_changes(
        &mut self,
        changes: Vec<UpstreamChange>,
        revision: u64,
        now: Instant,
    ) -> AppliedUpdate {
        if revision <= self.revision {
            return AppliedUpdate::default();
        }
        let listed = changes.iter().filter_map(UpstreamChange::listed);
        let versions = versions_of(listed);
        let restarted = self.apply_all(changes, revision, now);
        self.forget_old_changes();
        self.forget_unlisted(now);
        self.forget_gone(now);
        AppliedUpdate {
            is_new: true,
            restarted,
            versions,
        }
    }

    /// Applies changes and keeps them for peers; returns the upstreams that started again.
    fn apply_all(
        &mut self,
        changes: Vec<UpstreamChange>,
        revision: u64,
        now: Instant,
    ) -> Vec<Upstream> {
        let mut restarted = Vec::new();
        for change in changes {
            self.changes.push_back((revision, change.clone()));
            restarted.extend(self.apply(change, now));
        }
        self.revision = revision;
        restarted
    }

    /// Takes upstreams as gone that the list should have named by now.
    fn forget_unlisted(&mut self, now: Instant) {
        for state in self.upstreams.values_mut() {
            let unlisted = state.unlisted.as_mut();
            if unlisted.is_some_and(|unlisted| unlisted.on_reports(now)) {
                state.gone.get_or_insert(now);
            }
        }
    }

    fn forget_old_changes(&mut self) {
        let kept = self.upstreams.len().max(MIN_CHANGES_KEPT);
        while self.changes.len() > kept {
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
        let newer = self.changes.iter().filter(|(at, _)| *at > revision);
        Some(newer.map(|(_, change)| change.clone()).collect())
    }

    /// Applies a change; returns the upstream if it has started again under its name.
    fn apply(&mut self, change: UpstreamChange, now: Instant) -> Option<Upstream> {
        match change {
            UpstreamChange::Listed(upstream) => self.list(upstream),
            UpstreamChange::Gone(name) => {
                if let Some(state) = self.upstreams.get_mut(&name) {
                    state.gone.get_or_insert(now);
                }
                None
            }
        }
    }

    fn list(&mut self, upstream: Upstream) -> Option<Upstream> {
        let Some(state) = self.upstreams.get_mut(&upstream.name) else {
            self.insert(UpstreamState::new(upstream));
            return None;
        };
        let order = state.on_start(upstream.born_ms());
        if order == StartOrder::Older {
            return None;
        }
        let (name, former) = (upstream.name.clone(), state.upstream.address);
        state.set_listed(upstream);
        state.leaving = self.leavings.since(state.key, state.born_ms());
        let restarted = (order == StartOrder::Newer).then(|| state.upstream.clone());
        let present = state.upstream.address;
        if present != former {
            self.by_address.remove(former, &name);
            self.by_address.add(present, name);
        }
        restarted
    }

    /// Sets the services of the configuration in force. Another writer may list an upstream of
    /// a service that nobody has named, at a living one's address; the living one stays.
    pub fn set_services(&mut self, services: HashSet<ServiceName>) {
        self.services = Some(services);
    }

    /// Adds an upstream that the platform's list does not name yet, after the one before at its
    /// address; false where it is known, or another one than `former` is known there.
    pub fn add_successor(&mut self, former: &UpstreamName, upstream: Upstream) -> bool {
        let is_known = self.upstreams.contains_key(&upstream.name);
        let others = self.by_address.at(upstream.address).iter();
        let others = others.filter(|name| *name != former);
        let mut there = others.filter_map(|name| self.upstreams.get(name));
        if is_known || there.any(|s| !s.replaced) {
            return false;
        }
        let mut state = UpstreamState::new(upstream);
        state.unlisted = Some(Unlisted::default());
        self.insert(state);
        true
    }

    fn insert(&mut self, mut state: UpstreamState) {
        self.apply_known_statements(&mut state);
        let upstream = &state.upstream;
        let name = upstream.name.clone();
        self.replace_at(&state.upstream);
        let of_service = self.by_service.entry(upstream.service.clone()).or_default();
        of_service.push(name.clone());
        self.by_key.insert(state.key, name.clone());
        self.by_address.add(upstream.address, name.clone());
        self.upstreams.insert(name, state);
    }

    /// A new start at an address means that the one before has ended, if its service is one.
    fn replace_at(&mut self, newer: &Upstream) {
        let services = self.services.as_ref();
        if services.is_some_and(|named| !named.contains(&newer.service)) {
            return;
        }
        for name in self.by_address.at(newer.address) {
            if let Some(state) = self.upstreams.get_mut(name) {
                state.replaced = true;
            }
        }
    }

    fn forget_gone(&mut self, now: Instant) {
        self.leavings.forget_old(now);
        let over: Vec<UpstreamName> = self
            .upstreams
            .values()
            .filter(|s| s.own_load.is_zero())
            .filter(|s| s.is_over(now, GONE_KEPT_FOR))
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
        self.by_address.remove(state.upstream.address, name);
        if let Some(names) = self.by_service.get_mut(&state.upstream.service) {
            names.retain(|n| n != name);
        }
    }
}
