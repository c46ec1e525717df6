//! A router's view of its upstreams.
//!
//! For each upstream, [`UpstreamView`] contains this router's own requests in flight, the last load
//! report, failures, recent prefixes and leave marks. A leave mark takes precedence over the
//! configuration.

use crate::marks::{LeaveMark, LeaveMarks};
use crate::signs_of_life::SignsOfLife;
use cloverpier_config::{Config, Upstream, UpstreamState};
use cloverpier_core::{
    DataCentre, ServiceName, UpstreamName, VmName, WaitPeriod, hash_of, rendezvous_rank,
};
use cloverpier_crashes::NeighbourCounts;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::{Duration, Instant};

/// The number of prefixes, and of start times of requests, that are kept for each upstream.
const MAX_RECENT: usize = 512;
/// How long an upstream is avoided after a failure. Doubled with each consecutive failure.
const INITIAL_AVOIDANCE: Duration = Duration::from_millis(500);
/// Upper limit of the time for which a failed upstream is avoided.
const MAX_AVOIDANCE: Duration = Duration::from_secs(16);
/// The number of upstreams of a service that a router tracks: it queries only these for their load
/// and chooses among them. With more, the load reports alone would exceed the budget for control
/// traffic (docs/CAPACITY.md).
pub const MAX_TRACKED: usize = 24;
/// A load report older than this is ignored.
const REPORT_LIFETIME: Duration = Duration::from_secs(10);

/// The load that an upstream reported.
#[derive(Clone, Copy, Debug)]
pub struct LoadReport {
    /// The number of running generations.
    pub running: u32,
    /// The number of generations that waited at the upstream.
    pub waiting: u32,
    /// When the upstream measured the load, by this router's clock.
    pub measured_at: Instant,
}

#[derive(Clone, Debug)]
pub(crate) struct UpstreamEntry {
    pub(crate) upstream: Upstream,
    pub(crate) report: Option<LoadReport>,
    /// The own requests in flight that the last report includes.
    pub(crate) own_in_flight_at_report: u32,
    pub(crate) own_in_flight: u32,
    pub(crate) failures: u32,
    pub(crate) avoid_until: Option<Instant>,
    pub(crate) recent_prefixes: VecDeque<u64>,
    pub(crate) signs: SignsOfLife,
    /// The time for which the upstream has requested that this router pause.
    wait_period: Option<WaitPeriod>,
    /// The average number of routers that track an upstream of the service, this one included,
    /// rounded up. At least 1.
    sharing_routers: u32,
    /// Start times of the last own requests, from which the number of requests that a report
    /// includes is determined.
    recent_starts: VecDeque<Instant>,
}

impl UpstreamEntry {
    fn new(upstream: Upstream) -> Self {
        Self {
            upstream,
            report: None,
            own_in_flight_at_report: 0,
            own_in_flight: 0,
            failures: 0,
            avoid_until: None,
            recent_prefixes: VecDeque::new(),
            signs: SignsOfLife::default(),
            wait_period: None,
            sharing_routers: 1,
            recent_starts: VecDeque::new(),
        }
    }

    /// The estimated number of requests at the upstream: the reported number, minus own requests
    /// that ended since, plus own requests that started since. The latter count once for each
    /// router that tracks the upstream, as those routers fill the same free slots.
    pub(crate) fn estimated_load(&self, now: Instant) -> u32 {
        let is_current =
            |r: &&LoadReport| now.saturating_duration_since(r.measured_at) < REPORT_LIFETIME;
        match self.report.as_ref().filter(is_current) {
            Some(r) => {
                let reported = (r.running + r.waiting).max(self.own_in_flight_at_report);
                let ended = self
                    .own_in_flight_at_report
                    .saturating_sub(self.own_in_flight);
                let added = self
                    .own_in_flight
                    .saturating_sub(self.own_in_flight_at_report);
                (reported - ended).saturating_add(added.saturating_mul(self.sharing_routers))
            }
            // An upstream without a report does not count as idle: other routers are assumed to use
            // half of its slots.
            None => self.upstream.slots / 2 + self.own_in_flight,
        }
    }

    pub(crate) fn has_prefix(&self, prefix: u64) -> bool {
        self.recent_prefixes.contains(&prefix)
    }

    pub(crate) fn in_wait_period(&self, now: Instant) -> bool {
        self.wait_period.is_some_and(|wait| wait.is_active(now))
    }

    pub(crate) fn is_avoided(&self, now: Instant) -> bool {
        self.avoid_until.is_some_and(|until| now < until)
    }
}

/// A router's view of its upstreams.
#[derive(Debug)]
pub struct UpstreamView {
    pub(crate) own_data_centre: DataCentre,
    vm_hash: u64,
    pub(crate) upstreams: BTreeMap<UpstreamName, UpstreamEntry>,
    pub(crate) by_service: HashMap<ServiceName, Vec<UpstreamName>>,
    marks: LeaveMarks,
}

impl UpstreamView {
    /// Creates an empty view for a router on a VM in a data centre.
    ///
    /// The name of the VM determines which upstreams the router tracks if there are more than
    /// [`MAX_TRACKED`].
    pub fn new(own_data_centre: DataCentre, vm: &VmName) -> Self {
        Self {
            own_data_centre,
            vm_hash: hash_of(vm.as_str()),
            upstreams: BTreeMap::new(),
            by_service: HashMap::new(),
            marks: LeaveMarks::default(),
        }
    }

    /// Applies a configuration. The state of upstreams with an unchanged incarnation and address is
    /// kept.
    pub fn apply(&mut self, config: &Config) {
        self.upstreams.retain(|name, entry| {
            let same = |u: &Upstream| {
                u.incarnation == entry.upstream.incarnation && u.address == entry.upstream.address
            };
            config.upstreams.get(name).is_some_and(same)
        });
        self.by_service.clear();
        for (name, upstream) in &config.upstreams {
            let entry = self.upstreams.entry(name.clone());
            let entry = entry.or_insert_with(|| UpstreamEntry::new(upstream.clone()));
            entry.upstream = upstream.clone();
            let names = self.by_service.entry(upstream.service.clone());
            names.or_default().push(name.clone());
        }
        for names in self.by_service.values_mut() {
            let ranked = rendezvous_rank(self.vm_hash, names, |n| n.as_str());
            *names = ranked.into_iter().cloned().collect();
        }
    }

    /// Updates the number of routers that share the slots of the tracked upstreams. Must be called
    /// after [`Self::apply`], as new upstreams start without sharing.
    pub fn set_routers(&mut self, routers: usize) {
        for names in self.by_service.values() {
            let tracking_pairs = routers * names.len().min(MAX_TRACKED);
            let sharing_routers =
                u32::try_from(tracking_pairs.div_ceil(names.len().max(1))).unwrap_or(u32::MAX);
            for name in names {
                if let Some(entry) = self.upstreams.get_mut(name) {
                    entry.sharing_routers = sharing_routers.max(1);
                }
            }
        }
    }

    /// The upstreams of all services that this router tracks.
    pub fn tracked(&self) -> BTreeSet<UpstreamName> {
        let tracked = self
            .by_service
            .values()
            .flat_map(|n| n.iter().take(MAX_TRACKED));
        tracked.cloned().collect()
    }

    /// Adds leave marks; returns whether any of them was new.
    pub fn merge_marks(&mut self, marks: &LeaveMarks) -> bool {
        self.marks.merge(marks)
    }

    /// Marks the current incarnation of an upstream as leaving. `None` if there is no such
    /// upstream.
    pub fn mark_leaving(&mut self, name: &UpstreamName) -> Option<LeaveMark> {
        let entry = self.upstreams.get(name)?;
        let mark = LeaveMark {
            upstream: name.clone(),
            incarnation: entry.upstream.incarnation,
        };
        self.marks.add(&mark);
        Some(mark)
    }

    /// All leave marks.
    pub fn marks(&self) -> &LeaveMarks {
        &self.marks
    }

    /// Whether an upstream gets new requests: it is active in the configuration and has no leave
    /// mark.
    pub fn accepts_work(&self, name: &UpstreamName) -> bool {
        self.upstreams.get(name).is_some_and(|k| {
            let marked = self.marks.covers(name, k.upstream.incarnation);
            k.upstream.state == UpstreamState::Active && !marked
        })
    }

    /// Records that an upstream has rejected a request and accepts none from this router for
    /// `time`. A wait period is never shortened. Returns whether the upstream was not in a wait
    /// period before.
    pub fn on_wait(&mut self, name: &UpstreamName, time: Duration, now: Instant) -> bool {
        let Some(entry) = self.upstreams.get_mut(name) else {
            return false;
        };
        let is_new = !entry.in_wait_period(now);
        entry.wait_period = Some(WaitPeriod::start_or_extend(entry.wait_period, time, now));
        is_new
    }

    /// Time until the first wait period of the service's upstreams ends. `None` if an upstream
    /// accepts requests now, or if none is active.
    pub fn wait_of_service(&self, service: &ServiceName, now: Instant) -> Option<Duration> {
        let accepting_upstreams = self.accepting_upstreams(service);
        if accepting_upstreams
            .iter()
            .any(|(_, entry)| !entry.in_wait_period(now))
        {
            return None;
        }
        let waits = accepting_upstreams
            .iter()
            .filter_map(|(_, entry)| entry.wait_period);
        let first = waits.map(|wait| wait.ends_at()).min()?;
        Some(first.saturating_duration_since(now))
    }

    /// The configuration of an upstream.
    pub fn upstream(&self, name: &UpstreamName) -> Option<&Upstream> {
        self.upstreams.get(name).map(|k| &k.upstream)
    }

    /// The upstream whose name has the given hash.
    pub fn find_by_name_hash(&self, hash: u64) -> Option<UpstreamName> {
        let mut names = self.upstreams.keys();
        names.find(|name| hash_of(name.as_str()) == hash).cloned()
    }

    /// The number of other upstreams of a service, in total and in a data centre. The upstream
    /// whose name has the hash `excluded` is not counted.
    pub fn neighbours(
        &self,
        service: &ServiceName,
        data_centre: &DataCentre,
        excluded: u64,
    ) -> NeighbourCounts {
        let names = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        let others = names
            .iter()
            .filter(|name| hash_of(name.as_str()) != excluded);
        let others = others.filter_map(|name| self.upstreams.get(name));
        let mut neighbours = NeighbourCounts::default();
        for other in others {
            neighbours.in_service += 1;
            neighbours.in_data_centre += u32::from(other.upstream.data_centre == *data_centre);
        }
        neighbours
    }

    /// The number of this router's requests in flight at an upstream.
    pub fn own_in_flight(&self, name: &UpstreamName) -> u32 {
        self.upstreams.get(name).map_or(0, |k| k.own_in_flight)
    }

    /// All upstreams with their estimated number of requests.
    pub fn loads(&self, now: Instant) -> Vec<(UpstreamName, u32)> {
        let all = self.upstreams.iter();
        all.map(|(name, k)| (name.clone(), k.estimated_load(now)))
            .collect()
    }

    /// Records that a request of this router starts at an upstream. `prefix` is the digest of its
    /// prompt's prefix.
    pub fn on_started(&mut self, name: &UpstreamName, prefix: Option<u64>, now: Instant) {
        let Some(entry) = self.upstreams.get_mut(name) else {
            return;
        };
        entry.own_in_flight += 1;
        entry.recent_starts.push_back(now);
        if entry.recent_starts.len() > MAX_RECENT {
            entry.recent_starts.pop_front();
        }
        if let Some(prefix) = prefix {
            entry.recent_prefixes.retain(|p| *p != prefix);
            entry.recent_prefixes.push_back(prefix);
            if entry.recent_prefixes.len() > MAX_RECENT {
                entry.recent_prefixes.pop_front();
            }
        }
    }

    /// Records that a request of this router has ended at an upstream, in any way.
    pub fn on_ended(&mut self, name: &UpstreamName) {
        if let Some(entry) = self.upstreams.get_mut(name) {
            entry.own_in_flight = entry.own_in_flight.saturating_sub(1);
        }
    }

    /// Records that an upstream served a request, which ends its avoidance.
    pub fn on_success(&mut self, name: &UpstreamName) {
        if let Some(entry) = self.upstreams.get_mut(name) {
            entry.failures = 0;
            entry.avoid_until = None;
        }
    }

    /// Records a failure of an upstream. The upstream is avoided for a time that doubles with each
    /// consecutive failure, and its cached prefixes count as lost.
    pub fn on_failure(&mut self, name: &UpstreamName, now: Instant) {
        if let Some(entry) = self.upstreams.get_mut(name) {
            let factor = 1 << entry.failures.min(5);
            entry.failures += 1;
            entry.avoid_until = Some(now + (INITIAL_AVOIDANCE * factor).min(MAX_AVOIDANCE));
            entry.recent_prefixes.clear();
        }
    }

    /// Records a load report, unless a newer one is recorded.
    ///
    /// Own requests that started after the measurement are not included in the report.
    pub fn on_load_report(&mut self, name: &UpstreamName, report: LoadReport) {
        let Some(entry) = self.upstreams.get_mut(name) else {
            return;
        };
        if entry
            .report
            .is_some_and(|r| r.measured_at > report.measured_at)
        {
            return;
        }
        let started_after_report = entry
            .recent_starts
            .iter()
            .filter(|at| **at > report.measured_at)
            .count();
        let started_after_report = u32::try_from(started_after_report).unwrap_or(u32::MAX);
        entry.own_in_flight_at_report = entry.own_in_flight.saturating_sub(started_after_report);
        entry.report = Some(report);
    }
}
