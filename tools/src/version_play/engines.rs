//! The engines of the play, and what the platform's store lists of them.

use super::world::{DATA_CENTRES, Event, World};
use cloverpier_core::{DataCentre, UpstreamName};
use cloverpier_router_policy::prelude::*;
use std::time::Duration;

/// From the start of an engine to its entry, at most.
const ENTRY_DELAY_MS: u64 = 400;

/// One process of an engine.
#[derive(Clone, Debug)]
pub(super) struct Engine {
    pub name: UpstreamName,
    pub data_centre: usize,
    /// The software version, as a number.
    pub version: u32,
    pub is_alive: bool,
    pub is_listed: bool,
    pub is_draining: bool,
    pub start_time_ms: u64,
}

impl Engine {
    pub fn version_name(&self) -> String {
        format!("v{}", self.version)
    }

    fn entry(&self, service: &cloverpier_core::ServiceName, index: usize) -> Upstream {
        Upstream {
            name: self.name.clone(),
            service: service.clone(),
            address: ([10, 9, (index >> 8) as u8, index as u8], 8_647).into(),
            data_centre: DataCentre::new(format!("hall-{}", self.data_centre)),
            slots: 64,
            draining: self.is_draining,
            start: Some(UpstreamStart {
                version: self.version_name().as_str().into(),
                start_time_ms: Some(self.start_time_ms),
            }),
        }
    }
}

impl World {
    pub(super) fn start_engines(&mut self) {
        for index in 0..self.spec.engines {
            self.add_engine(1, index % DATA_CENTRES);
        }
        for engine in &mut self.engines {
            engine.is_listed = true;
        }
        self.write_list();
    }

    /// Starts an engine; its entry follows.
    pub(super) fn add_engine(&mut self, version: u32, data_centre: usize) -> usize {
        let index = self.engines.len();
        self.engines.push(Engine {
            name: UpstreamName::new(format!("engine-{index}")),
            data_centre,
            version,
            is_alive: true,
            is_listed: false,
            is_draining: false,
            start_time_ms: 1_000 + self.now.as_millis() as u64,
        });
        index
    }

    /// Crashes an engine; its streams break.
    pub(super) fn crash_engine(&mut self, engine: usize) {
        self.engines[engine].is_alive = false;
        self.break_streams_at(engine);
    }

    /// Starts a crashed engine again: under its name, with another version at times, or as another engine.
    pub(super) fn restart_engine(&mut self, engine: usize) {
        if self.engines[engine].is_alive || self.engines[engine].is_draining {
            return;
        }
        let keeps_name = self.rng.f64() < 0.3;
        let entry_delay = self.ms_between(10, ENTRY_DELAY_MS);
        if keeps_name {
            let versions = self.engines.iter().map(|e| e.version).max().unwrap_or(1);
            let changes_version = self.rng.f64() < 0.3;
            let state = &mut self.engines[engine];
            state.is_alive = true;
            state.start_time_ms = 1_000 + self.now.as_millis() as u64;
            if changes_version && self.spec.harm != super::Harm::Calm {
                state.version = self.rng.u32(1..=versions);
            }
        } else {
            let Engine {
                version,
                data_centre,
                ..
            } = self.engines[engine];
            self.engines[engine].is_listed = false;
            self.add_engine(version, data_centre);
        }
        self.schedule_in(
            entry_delay,
            Event::Fault(super::faults::Fault::WriteEntries),
        );
    }

    /// Writes the entries of all engines that live, while the store is there.
    pub(super) fn write_entries(&mut self) {
        if self.is_store_away {
            let later = Duration::from_millis(500);
            self.schedule_in(later, Event::Fault(super::faults::Fault::WriteEntries));
            return;
        }
        for engine in &mut self.engines {
            if engine.is_alive && !engine.is_draining {
                engine.is_listed = true;
            }
        }
        self.write_list();
    }

    /// Puts the present entries into the store and tells the watchers.
    pub(super) fn write_list(&mut self) {
        let listed = self.engines.iter().enumerate().filter(|(_, e)| e.is_listed);
        let listed = listed.map(|(index, engine)| engine.entry(&self.service, index));
        let listed: Vec<Upstream> = listed.collect();
        if listed == self.listed {
            return;
        }
        self.listed = listed;
        self.revision += 1;
        self.announce_list();
    }

    /// How many versions the engines that live have.
    pub(super) fn live_versions(&self) -> usize {
        let mut versions: Vec<u32> = self
            .engines
            .iter()
            .filter(|e| e.is_alive && e.is_listed)
            .map(|e| e.version)
            .collect();
        versions.sort_unstable();
        versions.dedup();
        versions.len()
    }

    pub(super) fn engine_of(&self, name: &UpstreamName) -> Option<usize> {
        self.engines.iter().position(|e| e.name == *name)
    }
}
