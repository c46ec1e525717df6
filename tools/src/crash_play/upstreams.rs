//! The engines of the model: how they crash, die with their data centre, and come back.

use super::world::{Event, World};
use cloverpier_core::{DataCentre, UpstreamName};
use cloverpier_crashes::prelude::*;
use cloverpier_router_policy::prelude::*;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Data centres.
pub(super) const DATA_CENTRES: usize = 4;
/// A data centre dies each so often, and is back after this time: the users' sheets.
pub(super) const DEATH_EACH: Duration = Duration::from_millis(6_500);
const DEAD_FOR: Duration = Duration::from_millis(1_200);
/// Its engines end within this time.
const DIES_WITHIN: Duration = Duration::from_millis(20);
/// An engine that a request has crashed is back after this time: seen on the users' day.
const CRASHED_FOR: Duration = Duration::from_secs(5);
/// From an end to a router's sight of it, and to the answer of its probe.
const BREAK_DELAY: Duration = Duration::from_millis(1);
pub(super) const PROBE_DELAY: Duration = Duration::from_millis(3);
/// From a router's suspicion to all others, at most: a pause between two datagrams, and the way.
const SUSPICION_DELAY: Duration = Duration::from_millis(14);

/// An engine.
pub(super) struct Engine {
    pub name: UpstreamName,
    pub data_centre: usize,
    pub is_up: bool,
    /// Counts its starts.
    pub starts: u64,
    /// It stands still before this moment.
    pub paused_until: Duration,
    /// When its last start ended; `None` before the first end.
    pub ended_at: Option<Duration>,
    /// Crashing contents whose prompts it has read.
    pub has_read: HashSet<usize>,
}

impl World {
    pub(super) fn list_engines(&mut self) {
        for index in 0..self.spec.engines {
            self.engines.push(Engine {
                name: UpstreamName::new(format!("engine-{index}-{:x}", self.rng.u32(..))),
                data_centre: index % DATA_CENTRES,
                is_up: true,
                starts: 1,
                paused_until: Duration::ZERO,
                ended_at: None,
                has_read: HashSet::new(),
            });
        }
        let listed = (0..self.spec.engines).map(|index| self.listed(index));
        let listed = listed.collect();
        self.table.apply_list(listed, 1, self.began);
    }

    pub(super) fn listed(&self, index: usize) -> Upstream {
        let engine = &self.engines[index];
        Upstream {
            name: engine.name.clone(),
            service: self.service.clone(),
            address: SocketAddr::from(([10, 9, (index >> 8) as u8, index as u8], 8_080)),
            data_centre: DataCentre::new(format!("hall-{}", engine.data_centre)),
            slots: 64,
            draining: false,
            start: Some(UpstreamStart {
                version: "v1".into(),
                start_time_ms: Some(self.start_of(index)),
            }),
        }
    }

    /// When an engine's present start was, in milliseconds: two starts are seconds apart.
    pub(super) fn start_of(&self, index: usize) -> u64 {
        1_790_000_000_000 + self.engines[index].starts * 5_000
    }

    pub(super) fn ended(&self, index: usize) -> UpstreamEvent {
        let engine = &self.engines[index];
        UpstreamEvent {
            upstream: UpstreamKey::of(&engine.name).0,
            service: self.service.clone(),
            data_centre: DataCentre::new(format!("hall-{}", engine.data_centre)),
            at: self.instant(),
        }
    }

    /// Ends an engine: its runs break off, and routers learn that it is dead.
    fn end_engine(&mut self, index: usize, away: Duration) {
        if !std::mem::replace(&mut self.engines[index].is_up, false) {
            return;
        }
        self.engines[index].has_read.clear();
        self.engines[index].paused_until = Duration::ZERO;
        self.engines[index].ended_at = Some(self.now);
        let runs = self.runs.iter().enumerate();
        let there = runs.filter(|(_, run)| run.is_alive && run.engine == index);
        let there: Vec<usize> = there.map(|(run, _)| run).collect();
        for run in &there {
            self.runs[*run].is_alive = false;
            self.schedule_in(BREAK_DELAY, Event::Broke { run: *run });
        }
        if !there.is_empty() {
            self.report_death(index);
        }
        self.schedule_in(away, Event::Return { engine: index });
    }

    /// The router that finds out first tells the others.
    fn report_death(&mut self, index: usize) {
        let name = self.engines[index].name.clone();
        let now = self.instant();
        self.table.suspect(&name, now);
        for router in 0..self.spec.routers {
            let is_lost = self.rng.f64() < self.spec.loss || self.routers[router].is_cut_off;
            if !is_lost {
                let delay = SUSPICION_DELAY.mul_f64(0.5 + 0.5 * self.rng.f64());
                let engine = index;
                self.schedule_in(delay, Event::Death { router, engine });
            }
        }
    }

    pub(super) fn on_death(&mut self, router: usize, engine: usize) {
        let died = self.ended(engine);
        let silent_since = died.at;
        self.routers[router]
            .cases
            .on_suspected_failure(died, silent_since);
    }

    /// A request crashes its engine.
    pub(super) fn crash(&mut self, engine: usize, content: usize) {
        if !self.engines[engine].is_up {
            return;
        }
        self.outcome.ends[content] += 1;
        if self.outcome.ends[content] == 3 {
            self.third_end[content] = Some(self.now);
        }
        self.end_engine(engine, CRASHED_FOR);
    }

    pub(super) fn die(&mut self, data_centre: usize) {
        let is_paused = self.pause_data_centre(data_centre);
        for index in 0..self.spec.engines {
            if self.engines[index].data_centre == data_centre && !is_paused {
                let at = DIES_WITHIN.mul_f64(self.rng.f64());
                self.schedule_in(at, Event::Fail { engine: index });
            }
        }
        let next = (data_centre + 1) % DATA_CENTRES;
        self.schedule_in(DEATH_EACH, Event::Die { data_centre: next });
    }

    /// An engine ends with its data centre.
    pub(super) fn fail(&mut self, engine: usize) {
        self.end_engine(engine, DEAD_FOR);
    }

    pub(super) fn come_back(&mut self, index: usize) {
        self.engines[index].is_up = true;
        self.engines[index].starts += 1;
        let listed = self.listed(index);
        let now = self.instant();
        let revision = self.table.revision() + 1;
        let change = UpstreamChange::Listed(listed);
        self.table.apply_changes(vec![change], revision, now);
        let name = self.engines[index].name.clone();
        self.table.on_alive(&name, now);
    }
}
