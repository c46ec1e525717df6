//! Routers, engines and callers in steps of simulated time.

use crate::engine::{
    ANSWER_TOKENS, Engine, MEMORY_TOKENS, PROMPT_TOKENS, Run, STEP_MS, replica_load, stream_load,
};
use cloverpier_core::{DataCentre, ServiceName, UpstreamName};
use cloverpier_router_policy::heartbeat::{
    HeartbeatTurn, change_peers, load_ttl, peer_timeout, reaches_all_peers,
};
use cloverpier_router_policy::load_query::engines_to_query;
use cloverpier_router_policy::prelude::*;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const ROUTERS: usize = 200;
const ENGINES: usize = 360;
const DATA_CENTRES: usize = 6;
const LASTS_MS: u64 = 24_000;
/// Arrivals a second at each engine, as on the large deployment: 133 before 512.
const ARRIVALS_PER_ENGINE: f64 = 0.26;
/// Streams that arrive together.
const CLUMP: usize = 3;
const HEARTBEAT: Duration = Duration::from_millis(200);
const DATA_CENTRE_LOST_EACH_MS: u64 = 6_500;
const DATA_CENTRE_AWAY_MS: u64 = 1_200;
/// From an engine's death to the verdict on it.
const NOTICED_AFTER_MS: u64 = 600;
const OBJECTIVE: Duration = Duration::from_millis(4_500);

/// What a router places by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Knowledge {
    /// Its own load, and what peers report to as many as they can.
    Believed,
    /// Its own load, and what engines answer.
    Asked,
}

/// What callers got, and how good the choices were.
#[derive(Clone, Debug)]
pub struct Figures {
    pub streams: usize,
    /// Share of streams with a first event within the objective.
    pub in_time: f64,
    pub first_event_p99: Duration,
    /// Share of streams that waited a second or more because an engine's memory was full.
    pub waited_for_memory: f64,
    /// Share of choices of an engine that had more streams than the lightest tenth.
    pub heavier_than_lightest_tenth: f64,
}

struct Stream {
    router: usize,
    arrived_ms: u64,
    first_event_ms: Option<u64>,
    engine: usize,
    replica: Option<usize>,
    tried: Vec<UpstreamName>,
}

struct Router {
    table: UpstreamTable,
    turn: HeartbeatTurn,
}

fn upstream(index: usize) -> Upstream {
    Upstream {
        name: UpstreamName::new(format!("engine-{index}")),
        service: ServiceName::new("digests"),
        address: ([10, 0, (index / 250) as u8, (index % 250) as u8], 8_000).into(),
        data_centre: data_centre(index),
        slots: 24,
        draining: false,
        start: None,
    }
}

fn data_centre(index: usize) -> DataCentre {
    DataCentre::new(format!("hall-{}", index % DATA_CENTRES))
}

fn address(router: usize) -> SocketAddr {
    ([10, 1, (router / 250) as u8, (router % 250) as u8], 7_000).into()
}

pub struct World {
    knowledge: Knowledge,
    rng: fastrand::Rng,
    start: Instant,
    now_ms: u64,
    routers: Vec<Router>,
    engines: Vec<Engine>,
    by_name: HashMap<UpstreamName, usize>,
    streams: Vec<Stream>,
    /// Engines whose death is noticed at this time.
    deaths: Vec<(u64, usize)>,
    heavier: usize,
    choices: usize,
    waited: usize,
}

impl World {
    pub fn new(seed: u64, knowledge: Knowledge) -> Self {
        let start = Instant::now();
        let router = |_| {
            let mut table = UpstreamTable::default();
            table.apply_list((0..ENGINES).map(upstream).collect(), 1, start);
            Router {
                table,
                turn: HeartbeatTurn::default(),
            }
        };
        Self {
            knowledge,
            rng: fastrand::Rng::with_seed(seed),
            start,
            now_ms: 0,
            routers: (0..ROUTERS).map(router).collect(),
            engines: (0..ENGINES).map(Engine::new).collect(),
            by_name: (0..ENGINES).map(|e| (upstream(e).name, e)).collect(),
            streams: Vec::new(),
            deaths: Vec::new(),
            heavier: 0,
            choices: 0,
            waited: 0,
        }
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_millis(self.now_ms)
    }

    pub fn play(mut self) -> Figures {
        while self.now_ms < LASTS_MS {
            self.lose_and_return_data_centres();
            self.notice_deaths();
            self.arrive();
            self.run_engines();
            if self.now_ms.is_multiple_of(HEARTBEAT.as_millis() as u64) {
                self.heartbeats();
            }
            self.now_ms += STEP_MS;
        }
        self.figures()
    }

    /// A wave of 15 % and clumps of some streams.
    fn arrive(&mut self) {
        let wave = 1.0 + 0.15 * (self.now_ms as f64 / 11_000.0 * std::f64::consts::TAU).sin();
        let a_step = ARRIVALS_PER_ENGINE * ENGINES as f64 * STEP_MS as f64 / 1_000.0;
        let chance = a_step * wave / CLUMP as f64;
        // Those of the last seconds could not end.
        if self.now_ms + 6_000 > LASTS_MS || self.rng.f64() >= chance {
            return;
        }
        for _ in 0..CLUMP {
            self.streams.push(Stream {
                router: self.rng.usize(..ROUTERS),
                arrived_ms: self.now_ms,
                first_event_ms: None,
                engine: 0,
                replica: None,
                tried: Vec::new(),
            });
            self.place(self.streams.len() - 1);
        }
    }

    /// Has a stream's router place it.
    fn place(&mut self, stream: usize) {
        let (service, home) = (ServiceName::new("digests"), data_centre(0));
        let (connected, tried) = (HashSet::new(), self.streams[stream].tried.clone());
        let router = self.streams[stream].router;
        let now = self.now();
        let not_asked = ReportedLoad::default();
        let mut demand = Demand {
            service: &service,
            home: &home,
            load: stream_load(),
            engine_memory: Some(MEMORY_TOKENS),
            affinity: Some(stream as u64),
            prompt_location: None,
            is_continuation: false,
            tried: &tried,
            connected: &connected,
            suspect_content: None,
            overcommit: false,
            reported: &not_asked,
            versions: &VersionRule::ANY,
            limits: &LimitedUpstreams::NONE,
            now,
        };
        let table = &self.routers[router].table;
        let mut reported = ReportedLoad::default();
        if self.knowledge == Knowledge::Asked {
            for engine in engines_to_query(table, &demand, ROUTERS - 1, &mut self.rng) {
                let index = self.by_name[&engine.name];
                if let Some(report) = self.answer(index) {
                    reported.insert(UpstreamKey::of(&engine.name), report.load(stream_load()));
                }
            }
        }
        demand.reported = &reported;
        let Choice::Upstream(chosen) = choose_upstream(table, &demand, &mut self.rng) else {
            panic!("an engine is free");
        };
        let replica = choose_replica(table, &demand, &chosen, &mut self.rng);
        let engine = self.by_name[&chosen.name];
        let replica = replica.map(|r| self.by_name[&r.name]);
        self.judge(engine);
        let size = f64::from(PROMPT_TOKENS) * (0.5 + self.rng.f64());
        self.begin(stream, engine, replica, size);
    }

    fn answer(&self, engine: usize) -> Option<EngineReport> {
        let engine = &self.engines[engine];
        // One that has just come back says that nothing runs there.
        let report = engine.reports.front().copied().unwrap_or_default();
        (!engine.is_away).then_some(report)
    }

    /// Compares a choice with the lightest tenth of the living engines.
    fn judge(&mut self, engine: usize) {
        let living = self.engines.iter().filter(|e| !e.is_away);
        let mut loads: Vec<usize> = living.map(|e| e.runs.len()).collect();
        loads.sort_unstable();
        let lightest_tenth = loads[loads.len() / 10];
        self.choices += 1;
        self.heavier += usize::from(self.engines[engine].runs.len() > lightest_tenth);
    }

    fn begin(&mut self, stream: usize, engine: usize, replica: Option<usize>, unread: f64) {
        let router = self.streams[stream].router;
        self.streams[stream].engine = engine;
        self.streams[stream].replica = replica;
        let run = Run {
            stream,
            unread,
            left: f64::from(ANSWER_TOKENS),
            waits_ms: 0,
            is_admitted: false,
        };
        if self.engines[engine].is_away {
            // The send is lost; the verdict moves it.
            self.deaths.push((self.now_ms + NOTICED_AFTER_MS, engine));
        }
        self.engines[engine].runs.push(run);
        let table = &mut self.routers[router].table;
        table.add_load(&upstream(engine).name, stream_load());
        if let Some(replica) = replica {
            table.add_load(&upstream(replica).name, replica_load());
            self.engines[replica].replicas += 1;
        }
        self.report_change(router, engine);
        if let Some(replica) = replica {
            self.report_change(router, replica);
        }
    }

    /// Tells peers of a change, as many as the rule allows.
    fn report_change(&mut self, router: usize, engine: usize) {
        if self.knowledge == Knowledge::Asked {
            // Reports that cannot reach all are not sent.
            assert!(!reaches_all_peers(ROUTERS - 1));
            return;
        }
        let name = upstream(engine).name;
        let Some(load) = self.routers[router].table.get(&name).map(|s| s.own_load) else {
            return;
        };
        let peers = (0..ROUTERS).filter(|r| *r != router).map(address).collect();
        let now = self.now();
        for peer in change_peers(peers, &mut self.rng) {
            let table = &mut self.routers[index_of(peer)].table;
            let key = UpstreamKey::of(&name);
            table.peer_load.on_change(address(router), key, load, now);
        }
    }

    fn heartbeats(&mut self) {
        if self.knowledge == Knowledge::Asked {
            return;
        }
        let now = self.now();
        let ttl = load_ttl(peer_timeout(HEARTBEAT, ROUTERS - 1));
        for router in 0..ROUTERS {
            let peers = (0..ROUTERS).filter(|r| *r != router).map(address).collect();
            let load = self.routers[router].table.own_load();
            self.routers[router].table.peer_load.forget_old(now, ttl);
            for peer in self.routers[router].turn.next_peers(peers, false) {
                let table = &mut self.routers[index_of(peer)].table;
                table
                    .peer_load
                    .on_report(address(router), load.clone(), now);
            }
        }
    }

    fn run_engines(&mut self) {
        for engine in 0..ENGINES {
            if self.engines[engine].is_away {
                continue;
            }
            let waited_before = self.waited_at(engine);
            let (first, ended) = self.engines[engine].step();
            self.waited += self.waited_at(engine).saturating_sub(waited_before);
            for stream in first {
                let now_ms = self.now_ms;
                self.streams[stream].first_event_ms.get_or_insert(now_ms);
                let router = self.streams[stream].router;
                let read = Load {
                    unread_tokens: PROMPT_TOKENS,
                    ..Load::default()
                };
                let table = &mut self.routers[router].table;
                table.remove_load(&upstream(engine).name, read);
            }
            for stream in ended {
                self.end(stream, true);
            }
        }
    }

    fn waited_at(&self, engine: usize) -> usize {
        let runs = self.engines[engine].runs.iter();
        runs.filter(|r| r.waits_ms >= 1_000).count()
    }

    /// Takes the load of a stream's run and replica away; the run may be lost instead of whole.
    fn end(&mut self, stream: usize, has_read: bool) {
        let router = self.streams[stream].router;
        let mut load = stream_load();
        if has_read {
            load.unread_tokens = 0;
        }
        let engine = self.streams[stream].engine;
        let table = &mut self.routers[router].table;
        table.remove_load(&upstream(engine).name, load);
        if let Some(replica) = self.streams[stream].replica.take() {
            table.remove_load(&upstream(replica).name, replica_load());
            let held = &mut self.engines[replica].replicas;
            *held = held.saturating_sub(1);
        }
    }

    fn lose_and_return_data_centres(&mut self) {
        let turn = self.now_ms / DATA_CENTRE_LOST_EACH_MS;
        let since = self.now_ms % DATA_CENTRE_LOST_EACH_MS;
        let of_turn = |e: &usize| turn > 0 && e % DATA_CENTRES == turn as usize % DATA_CENTRES;
        if since == 0 {
            for engine in (0..ENGINES).filter(of_turn) {
                self.engines[engine].is_away = true;
                self.engines[engine].replicas = 0;
                self.engines[engine].reports.clear();
                self.deaths.push((self.now_ms + NOTICED_AFTER_MS, engine));
            }
        }
        if since == DATA_CENTRE_AWAY_MS {
            for engine in (0..ENGINES).filter(of_turn) {
                self.engines[engine].is_away = false;
            }
        }
    }

    /// Moves the streams of engines whose death is noticed now, to the replica if it lives.
    fn notice_deaths(&mut self) {
        let now_ms = self.now_ms;
        let (due, later) = self.deaths.iter().partition(|(at, _)| *at <= now_ms);
        self.deaths = later;
        let due: Vec<(u64, usize)> = due;
        for (_, engine) in due {
            for run in std::mem::take(&mut self.engines[engine].runs) {
                let replica = self.streams[run.stream].replica;
                self.end(run.stream, run.unread <= 0.0);
                self.streams[run.stream].tried.push(upstream(engine).name);
                let can_resume = run.unread <= 0.0;
                match replica.filter(|r| can_resume && !self.engines[*r].is_away) {
                    Some(replica) => self.begin(run.stream, replica, None, 0.0),
                    None => self.place(run.stream),
                }
            }
        }
    }

    fn figures(&self) -> Figures {
        let waits = self.streams.iter().map(|s| {
            let first = s.first_event_ms.unwrap_or(u64::MAX);
            Duration::from_millis(first.saturating_sub(s.arrived_ms))
        });
        let mut waits: Vec<Duration> = waits.collect();
        waits.sort_unstable();
        let share = |part: usize, of: usize| part as f64 / of as f64;
        let in_time = waits.iter().filter(|w| **w <= OBJECTIVE).count();
        Figures {
            streams: waits.len(),
            in_time: share(in_time, waits.len()),
            first_event_p99: waits[waits.len() * 99 / 100],
            waited_for_memory: share(self.waited, waits.len()),
            heavier_than_lightest_tenth: share(self.heavier, self.choices),
        }
    }
}

fn index_of(router: SocketAddr) -> usize {
    let SocketAddr::V4(router) = router else {
        panic!("all addresses are of version 4");
    };
    let [_, _, high, low] = router.ip().octets();
    usize::from(high) * 250 + usize::from(low)
}
