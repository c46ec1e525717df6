//! The table of upstreams: a router's copy of the platform's list, and the state of each upstream.
//!
//! Owns the state of each upstream, the revision of the platform's list up to which the table is
//! current, and the latest changes, which peers request. Revisions only increase. The results of
//! requests and checks are recorded by the `observations` module, statements of upstreams by
//! `statements`, successors that are not listed yet by `successors`. A restarted upstream has a new
//! name or reports a later start time; in either case no observation of the previous process applies
//! to it.

mod addresses;
mod observations;
mod paces;
mod statements;
mod successors;

pub use statements::{ExclusionCounts, ServiceWait};

use crate::first_event::PromptRates;
use crate::leaving::LeavingUpstreams;
use crate::list_digest::ListDigest;
use crate::load::{Load, PeerLoad};
use crate::silence::UNRESPONSIVE_FOR;
use crate::stream_version::history::VersionCounts;
use crate::suspicion::{DataCentreCounts, EXPIRY_WINDOW};
use crate::upstream::{StartOrder, Upstream, UpstreamChange, UpstreamKey, UpstreamState};
use addresses::AddressIndex;
use cloverpier_core::{DataCentre, ServiceName, SoftwareVersion, UpstreamName};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

/// Minimum number of list changes that are kept for peers. With more upstreams than this, as many
/// changes as upstreams are kept. A peer that is further behind fetches the whole list, which is no
/// larger than the missing changes.
const MIN_CHANGES_KEPT: usize = 1_024;
/// Maximum number of ranges that are kept of revisions that a whole list has passed. A peer that is further behind
/// fetches the whole list.
const MAX_PASSED_RANGES: usize = 64;
/// How long the state of an upstream is kept after its entry was removed: longer than
/// [`crate::suspicion::RELIST_WINDOW`], in which the entry may return, and longer than most requests
/// that are in flight there.
const DELISTED_RETENTION: Duration = Duration::from_secs(20);

/// The upstreams that a router knows, with indexes and the change history of the platform's list.
#[derive(Debug, Default)]
pub struct UpstreamTable {
    upstreams: HashMap<UpstreamName, UpstreamState>,
    by_service: BTreeMap<ServiceName, Vec<UpstreamName>>,
    by_key: HashMap<UpstreamKey, UpstreamName>,
    by_address: AddressIndex,
    /// Superset of the suspected upstreams, so that a search for suspects does not visit all
    /// upstreams. Cleared suspects are removed by the next round of checks.
    possible_suspects: HashSet<UpstreamName>,
    /// Load that other routers reported for their requests at the upstreams.
    pub peer_load: PeerLoad,
    /// The rates at which engines read prompts, by service.
    pub prompt_rates: PromptRates,
    /// The bounds on the predicted first event of new streams, by service; see [`Self::first_event_bound`].
    first_event_bounds: HashMap<ServiceName, Duration>,
    revision: u64,
    digest: ListDigest,
    /// When an entry was last added, changed or removed.
    changed_at: Option<Instant>,
    /// The latest changes to the list, each with the list's revision after its batch of changes.
    changes: VecDeque<(u64, UpstreamChange)>,
    /// `changes` contains every change after this revision.
    changes_since: u64,
    /// Ranges of revisions that this router has passed by reading the whole list again, from the revision before to that
    /// of the list. What happened in between is known only as the difference between the two.
    passed_by_list: VecDeque<(u64, u64)>,
    /// Upstreams of whose pace peers have to be told.
    pace_news: BTreeSet<UpstreamKey>,
    /// Services of which an upstream has stated its pace.
    paced_services: HashSet<ServiceName>,
    /// Upstreams that have announced in a response that they leave.
    leaving_upstreams: LeavingUpstreams,
    /// The number of upstreams of each software version, by service.
    version_counts: VersionCounts,
    /// The services of the configuration in force; `None` until a configuration is known.
    services: Option<HashSet<ServiceName>>,
    /// When the platform's store was last known to be unreachable; `None` if it has been reachable since the start.
    store_away_at: Option<Instant>,
}

/// The effect of applying a whole list of upstreams, or a batch of changes, to the table.
#[derive(Debug, Default)]
pub struct AppliedUpdate {
    /// False if the update was ignored because its revision was out of date.
    pub is_new: bool,
    /// Number of entries that the update has added, changed or removed.
    pub changes: usize,
    /// Upstreams that the update shows to have restarted under the same name.
    pub restarted: Vec<Upstream>,
    /// Upstreams that the update lists again after they had left, which are to be checked before they get requests.
    pub returned: Vec<Upstream>,
    /// Upstreams that were listed and ready before the update and are not any more.
    pub departed: Vec<(Upstream, Departure)>,
}

/// How an upstream left the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Departure {
    /// Its entry announces that it is about to leave.
    Draining,
    /// Its entry was removed.
    Removed,
}

impl UpstreamTable {
    /// Number of upstreams, including those whose entries were removed but whose state is still kept.
    pub fn len(&self) -> usize {
        self.upstreams.len()
    }

    /// Whether the table contains no upstream, listed or removed.
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    /// The revision of the platform's list up to which the table is current; 0 before the first list.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The entries of all upstreams in the platform's list, in the form that is sent to peers.
    pub fn listed(&self) -> Vec<Upstream> {
        self.entries().cloned().collect()
    }

    /// The digest of the platform's list as this router has it.
    pub fn digest(&self) -> ListDigest {
        self.digest
    }

    /// When an entry of the platform's list was last added, changed or removed; `None` before the first list.
    pub fn changed_at(&self) -> Option<Instant> {
        self.changed_at
    }

    /// Whether a whole list has the same entries as the table.
    pub fn has_same_entries(&self, upstreams: &[Upstream]) -> bool {
        let is_known = |upstream: &Upstream| {
            let known = self.upstreams.get(&upstream.name);
            known.is_some_and(|s| s.delisted_at.is_none() && !s.has_new_entry(upstream))
        };
        upstreams.len() == self.entries().count() && upstreams.iter().all(is_known)
    }

    fn entries(&self) -> impl Iterator<Item = &Upstream> {
        let is_listed = |s: &&UpstreamState| s.delisted_at.is_none() && s.not_yet_listed.is_none();
        let listed = self.upstreams.values().filter(is_listed);
        listed.map(|s| &s.upstream)
    }

    /// Returns an upstream's state; `None` if the upstream is unknown or was forgotten.
    pub fn get(&self, name: &UpstreamName) -> Option<&UpstreamState> {
        self.upstreams.get(name)
    }

    /// Returns the state of the upstream with this hash of its name; `None` if the upstream is
    /// unknown or was forgotten.
    pub fn by_key(&self, key: UpstreamKey) -> Option<&UpstreamState> {
        self.upstreams.get(self.by_key.get(&key)?)
    }

    /// The upstreams of a service, including those whose entries were removed but whose state is
    /// still kept.
    pub fn of_service(&self, service: &ServiceName) -> impl Iterator<Item = &UpstreamState> {
        let names = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        names.iter().filter_map(|name| self.upstreams.get(name))
    }

    /// The data centres that seem to be down for a service, given which of its upstreams this router
    /// and its peers suspect.
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
        let down = counts.into_iter().filter(|(_, c)| c.seems_down());
        down.map(|(data_centre, _)| data_centre).collect()
    }

    /// Whether requests may still be sent to an upstream that was chosen earlier. `chosen` is its entry at that time; a
    /// successor's first entry may contain another service, and a restarted upstream's another address.
    pub fn is_still_usable(&self, chosen: &Upstream, now: Instant) -> bool {
        let is_unchanged =
            |entry: &Upstream| entry.service == chosen.service && entry.address == chosen.address;
        let state = self.get(&chosen.name);
        state.is_some_and(|state| is_unchanged(&state.upstream) && state.is_usable(now))
    }

    /// Number of a service's listed upstreams that run a software version and can serve requests.
    pub fn count_of_version(&self, service: &ServiceName, version: &SoftwareVersion) -> usize {
        let listed = self.of_service(service).filter(|s| s.is_listed());
        let of_version = listed.filter(|s| s.upstream.version() == Some(version));
        of_version.count()
    }

    /// Number of this router's requests in flight at upstreams of a service that run a software
    /// version other than `version`, or an unknown one.
    pub fn own_requests_at_other_versions(
        &self,
        service: &ServiceName,
        version: &SoftwareVersion,
    ) -> u32 {
        let others = self.of_service(service);
        let others = others.filter(|s| s.upstream.version() != Some(version));
        others.map(|s| s.own_load.requests).sum()
    }

    /// This router's own load at each upstream where it has requests in flight.
    pub fn own_load(&self) -> Vec<(UpstreamKey, Load)> {
        let busy = self.upstreams.values().filter(|s| !s.own_load.is_zero());
        busy.map(|s| (s.key, s.own_load)).collect()
    }

    /// The load at an upstream from this router and, as last reported, from its peers.
    pub fn load_at(&self, state: &UpstreamState) -> Load {
        let mut load = state.own_load;
        load.add(self.peer_load.at(state.key));
        load
    }

    /// Records that a probe is sent to an upstream.
    pub fn on_probe_sent(&mut self, name: &UpstreamName, now: Instant) {
        if let Some(state) = self.upstreams.get_mut(name) {
            let is_current = |at: &Instant| now.saturating_duration_since(*at) < UNRESPONSIVE_FOR;
            let since = state.unanswered_since.filter(is_current);
            state.unanswered_since = since.or(Some(now));
        }
    }

    /// Records that something has arrived from an upstream to which a probe was sent.
    pub fn on_probe_answered(&mut self, name: &UpstreamName) {
        if let Some(state) = self.upstreams.get_mut(name) {
            state.unanswered_since = None;
        }
    }

    /// Records that neither this router nor a peer reaches the platform's store at present.
    pub fn on_store_away(&mut self, now: Instant) {
        self.store_away_at = Some(now);
    }

    /// Whether an entry that is found removed now may belong to a running upstream that could not renew it, because
    /// the store is away or was until recently.
    fn may_have_expired(&self, now: Instant) -> bool {
        self.store_away_at
            .is_some_and(|at| now.saturating_duration_since(at) <= EXPIRY_WINDOW)
    }

    /// Applies a whole list. Ignores the list if its revision is older than the table's.
    pub fn apply_list(
        &mut self,
        upstreams: Vec<Upstream>,
        revision: u64,
        now: Instant,
    ) -> AppliedUpdate {
        if revision < self.revision {
            return AppliedUpdate::default();
        }
        let is_first = self.revision == 0;
        let former_revision = self.revision;
        let changes = self.changes_to_match(upstreams);
        let applied = self.apply_all(changes, revision, now);
        if is_first {
            // The changes before the first list are unknown.
            self.changes.clear();
            self.changes_since = revision;
        } else {
            self.passed_by_list.push_back((former_revision, revision));
        }
        self.trim_changes();
        self.delist_missing(now);
        applied
    }

    /// The changes that turn the table into a whole list. A list that is read again, for example
    /// after the store lost its history, differs little from the table. Sent to peers as changes, it
    /// does not make each of them fetch the list, which has about 100 bytes for each upstream.
    fn changes_to_match(&self, upstreams: Vec<Upstream>) -> Vec<UpstreamChange> {
        let listed: HashSet<&UpstreamName> = upstreams.iter().map(|s| &s.name).collect();
        let is_listed = |s: &&UpstreamState| s.delisted_at.is_none() && s.not_yet_listed.is_none();
        let known = self.upstreams.values().filter(is_listed);
        let missing = known.filter(|s| !listed.contains(&s.upstream.name));
        let removed = missing.map(|s| UpstreamChange::Gone(s.upstream.name.clone()));
        let mut changes: Vec<UpstreamChange> = removed.collect();
        let is_new = |upstream: &Upstream| {
            let known = self.upstreams.get(&upstream.name);
            known.is_none_or(|s| s.delisted_at.is_some() || s.has_new_entry(upstream))
        };
        let new = upstreams.into_iter().filter(is_new);
        changes.extend(new.map(UpstreamChange::Listed));
        changes
    }

    /// Applies changes up to a revision. Ignores them unless the revision is newer than the table's.
    pub fn apply_changes(
        &mut self,
        changes: Vec<UpstreamChange>,
        revision: u64,
        now: Instant,
    ) -> AppliedUpdate {
        if revision <= self.revision {
            return AppliedUpdate::default();
        }
        let applied = self.apply_all(changes, revision, now);
        self.trim_changes();
        self.delist_missing(now);
        self.forget_delisted(now);
        applied
    }

    /// Applies changes and keeps them for peers.
    fn apply_all(
        &mut self,
        changes: Vec<UpstreamChange>,
        revision: u64,
        now: Instant,
    ) -> AppliedUpdate {
        let mut applied = AppliedUpdate {
            is_new: true,
            changes: changes.len(),
            ..AppliedUpdate::default()
        };
        for change in changes {
            applied.departed.extend(self.departure(&change));
            self.changes.push_back((revision, change.clone()));
            let name = change.name().clone();
            applied.restarted.extend(self.apply(change, now));
            applied.returned.extend(self.begin_return_check(&name, now));
        }
        self.revision = revision;
        if applied.changes > 0 {
            self.digest = ListDigest::of(self.entries());
            self.changed_at = Some(now);
        }
        applied
    }

    /// The upstream that a change takes off the list of those that are listed and ready; `None` for any other change.
    fn departure(&self, change: &UpstreamChange) -> Option<(Upstream, Departure)> {
        let (name, departure) = match change {
            UpstreamChange::Listed(upstream) if upstream.draining => {
                (&upstream.name, Departure::Draining)
            }
            UpstreamChange::Listed(_) => return None,
            UpstreamChange::Gone(name) => (name, Departure::Removed),
        };
        let state = self.upstreams.get(name)?;
        let is_outdated = change
            .listed()
            .is_some_and(|u| state.compare_start(u.start_time_ms()) == StartOrder::Older);
        if is_outdated {
            return None;
        }
        let was_ready = state.delisted_at.is_none() && !state.upstream.draining;
        was_ready.then(|| (state.upstream.clone(), departure))
    }

    fn trim_changes(&mut self) {
        let kept = self.upstreams.len().max(MIN_CHANGES_KEPT);
        while self.changes.len() > kept {
            if let Some((revision, _)) = self.changes.pop_front() {
                self.changes_since = revision;
            }
        }
        let since = self.changes_since;
        self.passed_by_list.retain(|(_, to)| *to > since);
        while self.passed_by_list.len() > MAX_PASSED_RANGES {
            if let Some((_, to)) = self.passed_by_list.pop_front() {
                self.changes_since = self.changes_since.max(to);
            }
        }
    }

    /// The changes after a revision; `None` if some of them are not known or no longer kept.
    ///
    /// A peer whose revision this router has passed by reading the whole list again may know upstreams that were listed
    /// and removed in between, of which the changes say nothing.
    pub fn changes_after(&self, revision: u64) -> Option<Vec<UpstreamChange>> {
        let is_inside = |(from, to): &(u64, u64)| *from < revision && revision < *to;
        if revision < self.changes_since || self.passed_by_list.iter().any(is_inside) {
            return None;
        }
        let newer = self.changes.iter().filter(|(at, _)| *at > revision);
        Some(newer.map(|(_, change)| change.clone()).collect())
    }

    /// Applies a change; returns the upstream if it restarted under the same name.
    fn apply(&mut self, change: UpstreamChange, now: Instant) -> Option<Upstream> {
        match change {
            UpstreamChange::Listed(upstream) => self.apply_entry(upstream),
            UpstreamChange::Gone(name) => {
                let may_have_expired = self.may_have_expired(now);
                if let Some(state) = self.upstreams.get_mut(&name) {
                    state.on_removed(may_have_expired, now);
                }
                None
            }
        }
    }

    fn apply_entry(&mut self, upstream: Upstream) -> Option<Upstream> {
        let Some(state) = self.upstreams.get_mut(&upstream.name) else {
            self.version_counts.add(&upstream);
            self.insert(UpstreamState::new(upstream));
            return None;
        };
        let order = state.on_start(upstream.start_time_ms());
        if order == StartOrder::Older {
            return None;
        }
        let (name, old_address) = (upstream.name.clone(), state.upstream.address);
        let old_service = state.upstream.service.clone();
        if state.not_yet_listed.is_none() {
            self.version_counts.remove(&state.upstream);
        }
        state.set_entry(upstream);
        self.version_counts.add(&state.upstream);
        state.leaving = self
            .leaving_upstreams
            .since(state.key, state.start_time_ms());
        let restarted = (order == StartOrder::Newer).then(|| state.upstream.clone());
        let (new_address, new_service) = (state.upstream.address, state.upstream.service.clone());
        if new_service != old_service {
            self.remove_from_service(&old_service, &name);
            let of_service = self.by_service.entry(new_service).or_default();
            of_service.push(name.clone());
        }
        if new_address != old_address {
            self.by_address.remove(old_address, &name);
            self.by_address.add(new_address, name);
        }
        restarted
    }

    fn remove_from_service(&mut self, service: &ServiceName, name: &UpstreamName) {
        if let Some(names) = self.by_service.get_mut(service) {
            names.retain(|n| n != name);
        }
    }

    /// Sets the services of the configuration in force.
    ///
    /// An entry of a service that is not configured does not mark the upstream at the same address
    /// as replaced: another writer to the store may list such an entry at a live upstream's address.
    pub fn set_services(&mut self, services: HashSet<ServiceName>) {
        self.services = Some(services);
    }

    /// Sets the bounds on the predicted first event of new streams, by service.
    pub fn set_first_event_bounds(&mut self, bounds: HashMap<ServiceName, Duration>) {
        self.first_event_bounds = bounds;
    }

    /// The time within which an engine of the service has to send the first event of a new stream, so that the stream is
    /// sent there; `None` if the service's streams are not ordered ([`crate::admission`]).
    pub fn first_event_bound(&self, service: &ServiceName) -> Option<Duration> {
        self.first_event_bounds.get(service).copied()
    }

    fn insert(&mut self, mut state: UpstreamState) {
        self.apply_leaving_state(&mut state);
        let upstream = &state.upstream;
        let name = upstream.name.clone();
        self.mark_replaced(&state.upstream);
        let of_service = self.by_service.entry(upstream.service.clone()).or_default();
        of_service.push(name.clone());
        self.by_key.insert(state.key, name.clone());
        self.by_address.add(upstream.address, name.clone());
        self.upstreams.insert(name, state);
    }

    /// Marks the upstreams at the address of a new upstream as replaced: two processes cannot have
    /// one address. Ignores a new upstream whose service is not configured.
    fn mark_replaced(&mut self, newer: &Upstream) {
        let services = self.services.as_ref();
        if services.is_some_and(|configured| !configured.contains(&newer.service)) {
            return;
        }
        for name in self.by_address.at(newer.address) {
            if let Some(state) = self.upstreams.get_mut(name) {
                state.replaced = true;
            }
        }
    }

    /// The number of upstreams of each software version, by service: those in the platform's list, and those whose
    /// entries were removed but whose state is still kept. Upstreams that are not listed yet don't count, as their
    /// version is assumed.
    pub fn version_counts(&self) -> &VersionCounts {
        &self.version_counts
    }

    /// Drops the state of upstreams whose entries were removed some time ago.
    pub fn forget_delisted(&mut self, now: Instant) {
        self.leaving_upstreams.forget_old(now);
        let expired: Vec<UpstreamName> = self
            .upstreams
            .values()
            .filter(|s| s.own_load.is_zero())
            .filter(|s| s.can_be_forgotten(now, DELISTED_RETENTION))
            .map(|s| s.upstream.name.clone())
            .collect();
        for name in expired {
            self.forget(&name);
        }
    }

    fn forget(&mut self, name: &UpstreamName) {
        let Some(state) = self.upstreams.remove(name) else {
            return;
        };
        if state.not_yet_listed.is_none() {
            self.version_counts.remove(&state.upstream);
        }
        self.by_key.remove(&state.key);
        self.by_address.remove(state.upstream.address, name);
        self.remove_from_service(&state.upstream.service, name);
    }
}
