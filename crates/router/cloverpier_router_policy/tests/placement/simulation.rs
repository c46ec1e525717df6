//! The simulated routers, engines and callers, which advance in steps of simulated time.

use crate::engine::{
    Engine, EngineRequest, MEMORY_TOKENS, OUTPUT_TOKENS, PROMPT_TOKENS, STEP_MS, replica_load,
    stream_load,
};
use cloverpier_core::{DataCentre, ServiceName, UpstreamName};
use cloverpier_router_policy::heartbeat::{
    HeartbeatRotation, change_recipients, is_small_fleet, load_ttl, peer_timeout,
};
use cloverpier_router_policy::load_query::engines_to_query;
use cloverpier_router_policy::prelude::*;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const ROUTERS: usize = 200;
const ENGINES: usize = 360;
const DATA_CENTRES: usize = 6;
const DURATION_MS: u64 = 24_000;
/// Streams that arrive per second and engine: the rate of a deployment of 512 engines that gets 133 streams per
/// second.
const ARRIVALS_PER_ENGINE: f64 = 0.26;
/// Number of streams that arrive at the same moment.
const BURST_STREAMS: usize = 3;
const HEARTBEAT: Duration = Duration::from_millis(200);
const DATA_CENTRE_OUTAGE_INTERVAL_MS: u64 = 6_500;
const DATA_CENTRE_OUTAGE_MS: u64 = 1_200;
/// Time from an engine's failure until routers detect it.
const DETECTION_MS: u64 = 600;
const OBJECTIVE: Duration = Duration::from_millis(4_500);

/// The source of the load by which routers place streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadSource {
    /// A router's own load, and the load that each router reports to as many peers as the rules allow.
    PeerReports,
    /// A router's own load, and the engines' responses to load queries.
    LoadQueries,
}

/// The delays of first events, and the quality of the choices.
#[derive(Clone, Debug)]
pub struct Results {
    pub streams: usize,
    /// Fraction of the streams whose first event comes within [`OBJECTIVE`].
    pub in_time: f64,
    pub first_event_p99: Duration,
    /// Fraction of the streams that waited a second or more because an engine's KV cache was full.
    pub waited_for_memory: f64,
    /// Fraction of the choices that took an engine with more streams than the lightest tenth of the engines had.
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
    turn: HeartbeatRotation,
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

pub struct Simulation {
    load_source: LoadSource,
    rng: fastrand::Rng,
    start: Instant,
    now_ms: u64,
    routers: Vec<Router>,
    engines: Vec<Engine>,
    by_name: HashMap<UpstreamName, usize>,
    streams: Vec<Stream>,
    /// The times in milliseconds at which routers detect engine failures, each with the index of the engine.
    failures: Vec<(u64, usize)>,
    heavier_choices: usize,
    choices: usize,
    waited: usize,
}

impl Simulation {
    pub fn new(seed: u64, load_source: LoadSource) -> Self {
        let start = Instant::now();
        let router = |_| {
            let mut table = UpstreamTable::default();
            table.apply_list((0..ENGINES).map(upstream).collect(), 1, start);
            Router {
                table,
                turn: HeartbeatRotation::default(),
            }
        };
        Self {
            load_source,
            rng: fastrand::Rng::with_seed(seed),
            start,
            now_ms: 0,
            routers: (0..ROUTERS).map(router).collect(),
            engines: (0..ENGINES).map(Engine::new).collect(),
            by_name: (0..ENGINES).map(|e| (upstream(e).name, e)).collect(),
            streams: Vec::new(),
            failures: Vec::new(),
            heavier_choices: 0,
            choices: 0,
            waited: 0,
        }
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_millis(self.now_ms)
    }

    pub fn run_to_end(mut self) -> Results {
        while self.now_ms < DURATION_MS {
            self.fail_and_restore_data_centres();
            self.detect_failures();
            self.add_arrivals();
            self.run_engines();
            if self.now_ms.is_multiple_of(HEARTBEAT.as_millis() as u64) {
                self.send_heartbeats();
            }
            self.now_ms += STEP_MS;
        }
        self.results()
    }

    /// Adds streams in bursts of [`BURST_STREAMS`], at a rate that rises and falls by 15 %.
    fn add_arrivals(&mut self) {
        let wave = 1.0 + 0.15 * (self.now_ms as f64 / 11_000.0 * std::f64::consts::TAU).sin();
        let a_step = ARRIVALS_PER_ENGINE * ENGINES as f64 * STEP_MS as f64 / 1_000.0;
        let chance = a_step * wave / BURST_STREAMS as f64;
        // Streams that arrive in the last 6 s could not finish.
        if self.now_ms + 6_000 > DURATION_MS || self.rng.f64() >= chance {
            return;
        }
        for _ in 0..BURST_STREAMS {
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

    /// Places a stream by the decisions of its router.
    fn place(&mut self, stream: usize) {
        let (service, home) = (ServiceName::new("digests"), data_centre(0));
        let (connected, tried) = (HashSet::new(), self.streams[stream].tried.clone());
        let router = self.streams[stream].router;
        let now = self.now();
        let no_reports = ReportedLoad::default();
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
            reported: &no_reports,
            versions: &VersionRule::ANY,
            limits: &LimitedUpstreams::NONE,
            now,
        };
        let table = &self.routers[router].table;
        let mut reported = ReportedLoad::default();
        if self.load_source == LoadSource::LoadQueries {
            for engine in engines_to_query(table, &demand, ROUTERS - 1, &mut self.rng) {
                let index = self.by_name[&engine.name];
                if let Some(report) = self.query_response(index) {
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
        self.compare_choice(engine);
        let size = f64::from(PROMPT_TOKENS) * (0.5 + self.rng.f64());
        self.start_stream(stream, engine, replica, size);
    }

    fn query_response(&self, engine: usize) -> Option<EngineReport> {
        let engine = &self.engines[engine];
        // An engine that has just come back has sent no report yet and reports no load.
        let report = engine.reports.front().copied().unwrap_or_default();
        (!engine.is_down).then_some(report)
    }

    /// Compares the chosen engine with the lightest tenth of the live engines.
    fn compare_choice(&mut self, engine: usize) {
        let live = self.engines.iter().filter(|e| !e.is_down);
        let mut loads: Vec<usize> = live.map(|e| e.requests.len()).collect();
        loads.sort_unstable();
        let lightest_tenth = loads[loads.len() / 10];
        self.choices += 1;
        self.heavier_choices += usize::from(self.engines[engine].requests.len() > lightest_tenth);
    }

    fn start_stream(&mut self, stream: usize, engine: usize, replica: Option<usize>, unread: f64) {
        let router = self.streams[stream].router;
        self.streams[stream].engine = engine;
        self.streams[stream].replica = replica;
        let request = EngineRequest {
            stream,
            unread,
            tokens_left: f64::from(OUTPUT_TOKENS),
            waited_ms: 0,
            is_admitted: false,
        };
        if self.engines[engine].is_down {
            // The request is lost; the stream moves to another engine when the failure is detected.
            self.failures.push((self.now_ms + DETECTION_MS, engine));
        }
        self.engines[engine].requests.push(request);
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

    /// Reports a change of load to as many peers as the rule allows.
    fn report_change(&mut self, router: usize, engine: usize) {
        if self.load_source == LoadSource::LoadQueries {
            // Changes of load that cannot reach all peers are not sent.
            assert!(!is_small_fleet(ROUTERS - 1));
            return;
        }
        let name = upstream(engine).name;
        let Some(load) = self.routers[router].table.get(&name).map(|s| s.own_load) else {
            return;
        };
        let peers = (0..ROUTERS).filter(|r| *r != router).map(address).collect();
        let now = self.now();
        for peer in change_recipients(peers, &mut self.rng) {
            let table = &mut self.routers[index_of(peer)].table;
            let key = UpstreamKey::of(&name);
            table.peer_load.on_change(address(router), key, load, now);
        }
    }

    fn send_heartbeats(&mut self) {
        if self.load_source == LoadSource::LoadQueries {
            return;
        }
        let now = self.now();
        let ttl = load_ttl(peer_timeout(HEARTBEAT, ROUTERS - 1));
        for router in 0..ROUTERS {
            let peers = (0..ROUTERS).filter(|r| *r != router).map(address).collect();
            let load = self.routers[router].table.own_load();
            self.routers[router]
                .table
                .peer_load
                .remove_expired(now, ttl);
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
            if self.engines[engine].is_down {
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
        let requests = self.engines[engine].requests.iter();
        requests.filter(|r| r.waited_ms >= 1_000).count()
    }

    /// Removes the load of a stream and of its replica from its router's table, after the stream has finished or
    /// its engine has failed.
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

    fn fail_and_restore_data_centres(&mut self) {
        let turn = self.now_ms / DATA_CENTRE_OUTAGE_INTERVAL_MS;
        let since = self.now_ms % DATA_CENTRE_OUTAGE_INTERVAL_MS;
        let of_turn = |e: &usize| turn > 0 && e % DATA_CENTRES == turn as usize % DATA_CENTRES;
        if since == 0 {
            for engine in (0..ENGINES).filter(of_turn) {
                self.engines[engine].is_down = true;
                self.engines[engine].replicas = 0;
                self.engines[engine].reports.clear();
                self.failures.push((self.now_ms + DETECTION_MS, engine));
            }
        }
        if since == DATA_CENTRE_OUTAGE_MS {
            for engine in (0..ENGINES).filter(of_turn) {
                self.engines[engine].is_down = false;
            }
        }
    }

    /// Moves the streams of engines whose failure is detected now: to the engine with the replica if that engine is
    /// up and the prompt has been read, else to a newly chosen engine.
    fn detect_failures(&mut self) {
        let now_ms = self.now_ms;
        let (due, later) = self.failures.iter().partition(|(at, _)| *at <= now_ms);
        self.failures = later;
        let due: Vec<(u64, usize)> = due;
        for (_, engine) in due {
            for request in std::mem::take(&mut self.engines[engine].requests) {
                let replica = self.streams[request.stream].replica;
                self.end(request.stream, request.unread <= 0.0);
                self.streams[request.stream]
                    .tried
                    .push(upstream(engine).name);
                let can_resume = request.unread <= 0.0;
                match replica.filter(|r| can_resume && !self.engines[*r].is_down) {
                    Some(replica) => self.start_stream(request.stream, replica, None, 0.0),
                    None => self.place(request.stream),
                }
            }
        }
    }

    fn results(&self) -> Results {
        let waits = self.streams.iter().map(|s| {
            let first = s.first_event_ms.unwrap_or(u64::MAX);
            Duration::from_millis(first.saturating_sub(s.arrived_ms))
        });
        let mut waits: Vec<Duration> = waits.collect();
        waits.sort_unstable();
        let share = |part: usize, of: usize| part as f64 / of as f64;
        let in_time = waits.iter().filter(|w| **w <= OBJECTIVE).count();
        Results {
            streams: waits.len(),
            in_time: share(in_time, waits.len()),
            first_event_p99: waits[waits.len() * 99 / 100],
            waited_for_memory: share(self.waited, waits.len()),
            heavier_than_lightest_tenth: share(self.heavier_choices, self.choices),
        }
    }
}

fn index_of(router: SocketAddr) -> usize {
    let SocketAddr::V4(router) = router else {
        panic!("all simulated addresses are IPv4 addresses");
    };
    let [_, _, high, low] = router.ip().octets();
    usize::from(high) * 250 + usize::from(low)
}
