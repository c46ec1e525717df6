//! What a router knows of its upstreams.
//!
//! Owns, for each upstream, this router's own work exactly, the last load report, failures and
//! prefixes, and the marks to leave. A mark holds over whatever the configuration says.

use crate::marks::{LeaveMark, LeaveMarks};
use cloverpier_config::{Config, Upstream, UpstreamState};
use cloverpier_core::{
    DataCentre, ServiceName, UpstreamName, VmName, WaitPeriod, hash_of, rendezvous_rank,
};
use cloverpier_crashes::NeighbourCounts;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::{Duration, Instant};

/// Prefixes remembered for each upstream.
const PREFIXES_KEPT: usize = 512;
/// How long a failed upstream is avoided first; doubled with each failure in a row.
const AVOID_FIRST: Duration = Duration::from_millis(500);
/// How long a failed upstream is avoided at most.
const AVOID_MOST: Duration = Duration::from_secs(16);
/// Upstreams of a service that a router knows closely: it asks these for their load and chooses
/// among them. With more, load reports alone would outgrow the budget for control
/// (docs/CAPACITY.md, worked out).
pub const CLOSE: usize = 24;
/// A load report older than this says nothing any more.
const REPORT_STALE: Duration = Duration::from_secs(10);

/// A load report as it was taken in.
#[derive(Clone, Copy, Debug)]
pub struct LoadReport {
    /// Generations that ran.
    pub running: u32,
    /// Generations that waited.
    pub waiting: u32,
    /// When it was true.
    pub at: Instant,
}

#[derive(Clone, Debug)]
pub(crate) struct Known {
    pub(crate) upstream: Upstream,
    pub(crate) report: Option<LoadReport>,
    /// This router's own work there when the report was true.
    pub(crate) own_at_report: u32,
    pub(crate) own: u32,
    pub(crate) failures: u32,
    pub(crate) avoid_until: Option<Instant>,
    pub(crate) prefixes: VecDeque<u64>,
    /// For how long it wants nothing from this router.
    wait: Option<WaitPeriod>,
    /// Routers that know it closely.
    sharers: u32,
    /// The last starts of own work, to know how much of it a report includes.
    starts: VecDeque<Instant>,
}

impl Known {
    fn new(upstream: Upstream) -> Self {
        Self {
            upstream,
            report: None,
            own_at_report: 0,
            own: 0,
            failures: 0,
            avoid_until: None,
            prefixes: VecDeque::new(),
            wait: None,
            sharers: 1,
            starts: VecDeque::new(),
        }
    }

    /// Work there by the best estimate: as reported, less what this router has ended since,
    /// plus what it has added since for each router that sees the same free places.
    pub(crate) fn load(&self, now: Instant) -> u32 {
        let fresh = |r: &&LoadReport| now.saturating_duration_since(r.at) < REPORT_STALE;
        match self.report.as_ref().filter(fresh) {
            Some(r) => {
                let reported = (r.running + r.waiting).max(self.own_at_report);
                let ended = self.own_at_report.saturating_sub(self.own);
                let added = self.own.saturating_sub(self.own_at_report);
                (reported - ended).saturating_add(added.saturating_mul(self.sharers))
            }
            // Unknown isn't idle: assume that others use half of it.
            None => self.upstream.slots / 2 + self.own,
        }
    }

    pub(crate) fn has_prefix(&self, prefix: u64) -> bool {
        self.prefixes.contains(&prefix)
    }

    pub(crate) fn wants_nothing(&self, now: Instant) -> bool {
        self.wait.is_some_and(|wait| wait.is_active(now))
    }

    pub(crate) fn avoided(&self, now: Instant) -> bool {
        self.avoid_until.is_some_and(|until| now < until)
    }
}

/// A router's view of its upstreams.
#[derive(Debug)]
pub struct View {
    pub(crate) home: DataCentre,
    spread: u64,
    pub(crate) known: BTreeMap<UpstreamName, Known>,
    pub(crate) by_service: HashMap<ServiceName, Vec<UpstreamName>>,
    marks: LeaveMarks,
}

impl View {
    /// The view of a router on a VM in a data centre.
    ///
    /// The VM's name decides which upstreams it knows closely where there are many.
    pub fn new(home: DataCentre, vm: &VmName) -> Self {
        Self {
            home,
            spread: hash_of(vm.as_str()),
            known: BTreeMap::new(),
            by_service: HashMap::new(),
            marks: LeaveMarks::default(),
        }
    }

    /// Takes a configuration; what is known of upstreams that stay is kept.
    pub fn apply(&mut self, config: &Config) {
        self.known.retain(|name, known| {
            let same = |u: &Upstream| {
                u.incarnation == known.upstream.incarnation && u.address == known.upstream.address
            };
            config.upstreams.get(name).is_some_and(same)
        });
        self.by_service.clear();
        for (name, upstream) in &config.upstreams {
            let known = self.known.entry(name.clone());
            let known = known.or_insert_with(|| Known::new(upstream.clone()));
            known.upstream = upstream.clone();
            let names = self.by_service.entry(upstream.service.clone());
            names.or_default().push(name.clone());
        }
        for names in self.by_service.values_mut() {
            let ranked = rendezvous_rank(self.spread, names, |n| n.as_str());
            *names = ranked.into_iter().cloned().collect();
        }
    }

    /// Takes the number of routers, which share the places of what they know closely.
    pub fn set_routers(&mut self, routers: usize) {
        for names in self.by_service.values() {
            let close = routers * names.len().min(CLOSE);
            let sharers = u32::try_from(close.div_ceil(names.len().max(1))).unwrap_or(u32::MAX);
            for name in names {
                if let Some(known) = self.known.get_mut(name) {
                    known.sharers = sharers.max(1);
                }
            }
        }
    }

    /// Upstreams that this router knows closely.
    pub fn close(&self) -> BTreeSet<UpstreamName> {
        let close = self.by_service.values().flat_map(|n| n.iter().take(CLOSE));
        close.cloned().collect()
    }

    /// Takes marks to leave; says whether any was new.
    pub fn merge_marks(&mut self, marks: &LeaveMarks) -> bool {
        self.marks.merge(marks)
    }

    /// Marks the present incarnation of an upstream to leave.
    pub fn mark_leaving(&mut self, name: &UpstreamName) -> Option<LeaveMark> {
        let known = self.known.get(name)?;
        let mark = LeaveMark {
            upstream: name.clone(),
            incarnation: known.upstream.incarnation,
        };
        self.marks.add(&mark);
        Some(mark)
    }

    /// The marks to leave.
    pub fn marks(&self) -> &LeaveMarks {
        &self.marks
    }

    /// Whether an upstream takes new work.
    pub fn takes_work(&self, name: &UpstreamName) -> bool {
        self.known.get(name).is_some_and(|k| {
            let marked = self.marks.covers(name, k.upstream.incarnation);
            k.upstream.state == UpstreamState::Active && !marked
        })
    }

    /// Takes that an upstream has turned a request away and wants nothing for a time; says whether
    /// that is new. A time that it named before is never shortened.
    pub fn on_wait(&mut self, name: &UpstreamName, time: Duration, now: Instant) -> bool {
        let Some(known) = self.known.get_mut(name) else {
            return false;
        };
        let is_news = !known.wants_nothing(now);
        known.wait = Some(WaitPeriod::start_or_extend(known.wait, time, now));
        is_news
    }

    /// After what time the first upstream of a service wants work again; `None` where one does now, or
    /// none takes work at all.
    pub fn wait_of_service(&self, service: &ServiceName, now: Instant) -> Option<Duration> {
        let takers = self.takers(service);
        if takers.iter().any(|(_, known)| !known.wants_nothing(now)) {
            return None;
        }
        let waits = takers.iter().filter_map(|(_, known)| known.wait);
        let first = waits.map(|wait| wait.ends_at()).min()?;
        Some(first.saturating_duration_since(now))
    }

    /// An upstream's configuration.
    pub fn upstream(&self, name: &UpstreamName) -> Option<&Upstream> {
        self.known.get(name).map(|k| &k.upstream)
    }

    /// The upstream with a hash of a name.
    pub fn by_hash(&self, hash: u64) -> Option<UpstreamName> {
        let mut names = self.known.keys();
        names.find(|name| hash_of(name.as_str()) == hash).cloned()
    }

    /// How many others there are of a service, and of them in a data centre, beside the upstream with
    /// a hash of a name.
    pub fn neighbours(
        &self,
        service: &ServiceName,
        data_centre: &DataCentre,
        but: u64,
    ) -> NeighbourCounts {
        let names = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        let others = names.iter().filter(|name| hash_of(name.as_str()) != but);
        let others = others.filter_map(|name| self.known.get(name));
        let mut neighbours = NeighbourCounts::default();
        for other in others {
            neighbours.in_service += 1;
            neighbours.in_data_centre += u32::from(other.upstream.data_centre == *data_centre);
        }
        neighbours
    }

    /// This router's own work at an upstream.
    pub fn own_work(&self, name: &UpstreamName) -> u32 {
        self.known.get(name).map_or(0, |k| k.own)
    }

    /// All upstreams with the estimated load of each.
    pub fn loads(&self, now: Instant) -> Vec<(UpstreamName, u32)> {
        let all = self.known.iter();
        all.map(|(name, k)| (name.clone(), k.load(now))).collect()
    }

    /// Notes that work of this router starts at an upstream.
    pub fn on_started(&mut self, name: &UpstreamName, prefix: Option<u64>, now: Instant) {
        let Some(known) = self.known.get_mut(name) else {
            return;
        };
        known.own += 1;
        known.starts.push_back(now);
        if known.starts.len() > PREFIXES_KEPT {
            known.starts.pop_front();
        }
        if let Some(prefix) = prefix {
            known.prefixes.retain(|p| *p != prefix);
            known.prefixes.push_back(prefix);
            if known.prefixes.len() > PREFIXES_KEPT {
                known.prefixes.pop_front();
            }
        }
    }

    /// Notes that work of this router ended at an upstream.
    pub fn on_ended(&mut self, name: &UpstreamName) {
        if let Some(known) = self.known.get_mut(name) {
            known.own = known.own.saturating_sub(1);
        }
    }

    /// Notes that an upstream answered as it should.
    pub fn on_success(&mut self, name: &UpstreamName) {
        if let Some(known) = self.known.get_mut(name) {
            known.failures = 0;
            known.avoid_until = None;
        }
    }

    /// Notes that an upstream failed; it is avoided for a while that doubles.
    pub fn on_failure(&mut self, name: &UpstreamName, now: Instant) {
        if let Some(known) = self.known.get_mut(name) {
            let factor = 1 << known.failures.min(5);
            known.failures += 1;
            known.avoid_until = Some(now + (AVOID_FIRST * factor).min(AVOID_MOST));
            known.prefixes.clear();
        }
    }

    /// Takes a load report.
    ///
    /// Own work that started after the report was true is not in it.
    pub fn on_report(&mut self, name: &UpstreamName, report: LoadReport) {
        let Some(known) = self.known.get_mut(name) else {
            return;
        };
        if known.report.is_some_and(|r| r.at > report.at) {
            return;
        }
        let later = known.starts.iter().filter(|at| **at > report.at).count();
        let later = u32::try_from(later).unwrap_or(u32::MAX);
        known.own_at_report = known.own.saturating_sub(later);
        known.report = Some(report);
    }
}
