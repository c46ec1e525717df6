//! What goes wrong in the play, and when.

use super::Harm;
use super::world::{DATA_CENTRES, Event, LEAD, World};
use std::time::Duration;

/// Engines of the next version start so far apart, as a fraction of the time that a release takes.
const RELEASE: Duration = Duration::from_secs(6);
/// The part of the engines that a release replaces.
const RELEASED: f64 = 0.5;
/// From the announcement of an engine's end to the end, at least and at most.
const DRAIN_MS: (u64, u64) = (2_000, 6_000);
/// How long a crashed engine is away.
const CRASH_MS: (u64, u64) = (800, 2_400);
/// How long a killed router is away.
const KILL_MS: (u64, u64) = (300, 1_500);

/// In which time routers are stopped one after the other.
const STOP_ALL: Duration = Duration::from_secs(12);

/// Something that goes wrong, or ends.
#[derive(Clone, Copy, Debug)]
pub(super) enum Fault {
    /// An engine of a version starts, and one of another version begins to drain.
    Replace { version: u32 },
    /// An engine that drains ends.
    EndEngine { engine: usize },
    /// The engines of a data centre crash.
    CrashEngines,
    /// A crashed engine is back.
    RestartEngine { engine: usize },
    /// The engines write their entries.
    WriteEntries,
    /// A fraction of the routers, in per cent, is killed.
    KillRouters { percent: usize },
    /// A killed or stopped router starts again.
    StartRouter { router: usize },
    /// A router stops: it takes nothing new, and ends later.
    StopRouter { router: usize },
    /// A stopped router ends.
    EndRouter { router: usize },
    /// The store is away, or back.
    Store { is_away: bool },
    /// Some routers are cut off from peers, from the store, or from both.
    CutRouters { from_peers: bool, from_store: bool },
    /// A cut heals.
    HealRouter { router: usize },
    /// A router is suspended.
    SuspendRouter,
    /// It goes on.
    ResumeRouter { router: usize },
}

impl World {
    pub(super) fn schedule_faults(&mut self) {
        if !self.has_releases() {
            return;
        }
        // Half of the engines get the next version, then a third one comes.
        for (version, at) in [(2, 2), (3, 17)] {
            self.schedule_release(version, LEAD + Duration::from_secs(at));
        }
        let period = match self.spec.harm {
            Harm::Calm => return,
            Harm::Deaths | Harm::Partitions => 4_000,
            Harm::KillAll => 7_000,
            Harm::StopInTurn => 13_000,
        };
        let end = (LEAD + self.spec.time).as_millis() as u64;
        let mut at = LEAD.as_millis() as u64 + self.rng.u64(..period);
        while at < end {
            self.schedule_harm(Duration::from_millis(at));
            at += self.rng.u64(period / 2..period * 3 / 2);
        }
    }

    fn schedule_release(&mut self, version: u32, at: Duration) {
        let count = (self.spec.engines as f64 * RELEASED) as u32;
        for n in 0..count {
            let at = at + RELEASE * n / count.max(1);
            self.schedule_fault(at, Fault::Replace { version });
        }
    }

    fn schedule_fault(&mut self, at: Duration, fault: Fault) {
        self.schedule_in(at.saturating_sub(self.now), Event::Fault(fault));
    }

    fn schedule_harm(&mut self, at: Duration) {
        match self.spec.harm {
            Harm::Calm => {}
            Harm::KillAll => self.schedule_fault(at, Fault::KillRouters { percent: 100 }),
            Harm::StopInTurn => self.schedule_stops(at),
            Harm::Deaths => self.schedule_deaths(at),
            Harm::Partitions => {
                self.schedule_deaths(at);
                self.schedule_partition(at);
            }
        }
    }

    fn schedule_deaths(&mut self, at: Duration) {
        self.schedule_fault(at, Fault::CrashEngines);
        let percent = self.rng.usize(10..60);
        let later = self.ms_between(0, 900);
        self.schedule_fault(at + later, Fault::KillRouters { percent });
    }

    fn schedule_stops(&mut self, at: Duration) {
        self.schedule_fault(at, Fault::CrashEngines);
        let count = self.spec.routers.min(40);
        for n in 0..count {
            let router = n * self.spec.routers / count;
            let at = at + STOP_ALL * n as u32 / count as u32;
            self.schedule_fault(at, Fault::StopRouter { router });
        }
    }

    fn schedule_partition(&mut self, at: Duration) {
        let later = self.ms_between(0, 3_000);
        let from_peers = self.rng.bool();
        let from_store = !from_peers || self.rng.bool();
        let cut = Fault::CutRouters {
            from_peers,
            from_store,
        };
        self.schedule_fault(at + later, cut);
        if self.rng.f64() < 0.5 {
            self.schedule_fault(at + later, Fault::SuspendRouter);
        }
        if self.rng.f64() < 0.4 {
            let away = self.ms_between(1_500, 9_000);
            self.schedule_fault(at + later, Fault::Store { is_away: true });
            self.schedule_fault(at + later + away, Fault::Store { is_away: false });
        }
    }

    pub(super) fn on_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Replace { version } => self.replace_engine(version),
            Fault::EndEngine { engine } => {
                self.engines[engine].is_listed = false;
                self.crash_engine(engine);
                self.write_list_if_there();
            }
            Fault::CrashEngines => self.crash_engines(),
            Fault::RestartEngine { engine } => self.restart_engine(engine),
            Fault::WriteEntries => self.write_entries(),
            Fault::KillRouters { percent } => self.kill_routers(percent),
            Fault::StartRouter { router } => self.start_router(router),
            Fault::StopRouter { router } => self.stop_router(router),
            Fault::EndRouter { router } => {
                self.kill_router(router);
                self.schedule_start(router);
            }
            Fault::Store { is_away } => self.set_store_away(is_away),
            Fault::CutRouters {
                from_peers,
                from_store,
            } => self.cut_routers(from_peers, from_store),
            Fault::HealRouter { router } => self.heal_router(router),
            Fault::SuspendRouter => self.suspend_router(),
            Fault::ResumeRouter { router } => self.resume_router(router),
        }
    }

    fn write_list_if_there(&mut self) {
        if !self.is_store_away {
            self.write_list();
        }
    }

    fn replace_engine(&mut self, version: u32) {
        let data_centre = self.rng.usize(..DATA_CENTRES);
        self.add_engine(version, data_centre);
        let delay = self.ms_between(10, 300);
        self.schedule_in(delay, Event::Fault(Fault::WriteEntries));
        let former = (0..self.engines.len()).filter(|e| {
            let engine = &self.engines[*e];
            engine.version != version && engine.is_alive && !engine.is_draining
        });
        let former: Vec<usize> = former.collect();
        // Some of each version stay.
        if former.len() <= self.spec.engines / 4 {
            return;
        }
        if let Some(engine) = self.rng.choice(former) {
            self.engines[engine].is_draining = true;
            let (least, most) = DRAIN_MS;
            let drain = self.ms_between(least, most);
            self.write_list_if_there();
            self.schedule_in(drain, Event::Fault(Fault::EndEngine { engine }));
        }
    }

    fn crash_engines(&mut self) {
        let data_centre = self.rng.usize(..DATA_CENTRES);
        for engine in 0..self.engines.len() {
            let state = &self.engines[engine];
            if state.data_centre != data_centre || !state.is_alive || self.rng.f64() < 0.3 {
                continue;
            }
            self.crash_engine(engine);
            let (least, most) = CRASH_MS;
            let away = self.ms_between(least, most);
            self.schedule_in(away, Event::Fault(Fault::RestartEngine { engine }));
        }
    }

    fn kill_routers(&mut self, percent: usize) {
        for router in 0..self.routers.len() {
            if self.rng.usize(..100) < percent {
                self.kill_router(router);
                self.schedule_start(router);
            }
        }
    }

    fn schedule_start(&mut self, router: usize) {
        let (least, most) = KILL_MS;
        let away = self.ms_between(least, most);
        self.schedule_in(away, Event::Fault(Fault::StartRouter { router }));
    }

    /// A stopping router lets its streams end for some seconds.
    fn stop_router(&mut self, router: usize) {
        self.routers[router].is_stopping = true;
        self.routers[router].harmed = self.now;
        let grace = self.ms_between(1_000, 4_000);
        self.schedule_in(grace, Event::Fault(Fault::EndRouter { router }));
    }

    fn set_store_away(&mut self, is_away: bool) {
        self.is_store_away = is_away;
        if !is_away {
            self.write_entries();
        }
    }

    fn cut_routers(&mut self, from_peers: bool, from_store: bool) {
        let now = self.now;
        for index in 0..self.routers.len() {
            if self.rng.f64() >= 0.25 {
                continue;
            }
            let router = &mut self.routers[index];
            router.is_cut_from_peers |= from_peers;
            router.is_cut_from_store |= from_store;
            router.harmed = now;
            let heal = self.ms_between(2_000, 8_000);
            self.schedule_in(heal, Event::Fault(Fault::HealRouter { router: index }));
        }
    }

    fn heal_router(&mut self, index: usize) {
        let now = self.now;
        let router = &mut self.routers[index];
        router.is_cut_from_peers = false;
        router.is_cut_from_store = false;
        router.harmed = now;
        let delay = self.ms_between(5, 300);
        self.schedule_in(delay, Event::ListArrives { router: index });
    }

    fn suspend_router(&mut self) {
        let index = self.rng.usize(..self.routers.len());
        self.routers[index].is_suspended = true;
        self.routers[index].harmed = self.now;
        let time = self.ms_between(1_000, 9_000);
        self.schedule_in(time, Event::Fault(Fault::ResumeRouter { router: index }));
    }

    fn resume_router(&mut self, index: usize) {
        self.routers[index].is_suspended = false;
        self.routers[index].harmed = self.now;
        for datagram in std::mem::take(&mut self.routers[index].held) {
            self.on_datagram(index, datagram);
        }
        let delay = self.ms_between(5, 300);
        self.schedule_in(delay, Event::ListArrives { router: index });
    }
}
