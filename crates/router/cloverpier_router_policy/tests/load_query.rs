//! Which engines are queried for their load before a stream is placed, and how their responses affect the choice.

use cloverpier_core::{DataCentre, ServiceName, UpstreamName};
use cloverpier_router_policy::load_query::{QUERIED_ENGINES, engines_to_query};
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::prompt_search::search_order;
use std::collections::HashSet;
use std::time::Instant;

static ANY_VERSION: VersionRule = VersionRule::ANY;
static UNLIMITED: LimitedUpstreams = LimitedUpstreams::NONE;

const ENGINES: u16 = 60;
/// More peers than a change of load reaches.
const LARGE_FLEET_PEERS: usize = 294;
const STREAM: Load = Load {
    requests: 1,
    unread_tokens: 8_000,
    memory_tokens: 8_800,
};

fn engine(index: u16) -> Upstream {
    Upstream {
        name: UpstreamName::new(format!("engine-{index}")),
        service: ServiceName::new("drafts"),
        address: ([127, 0, 0, 1], 9_000 + index).into(),
        data_centre: DataCentre::new(format!("hall-{}", index % 3)),
        slots: 24,
        draining: false,
        start: None,
    }
}

fn engines(now: Instant) -> UpstreamTable {
    let mut table = UpstreamTable::default();
    table.apply_list((0..ENGINES).map(engine).collect(), 1, now);
    table
}

/// The values that a [`Demand`] borrows.
struct DemandInputs {
    service: ServiceName,
    home: DataCentre,
    connected: HashSet<UpstreamName>,
    now: Instant,
}

impl DemandInputs {
    fn new(now: Instant) -> Self {
        Self {
            service: ServiceName::new("drafts"),
            home: DataCentre::new("hall-0"),
            connected: HashSet::new(),
            now,
        }
    }

    fn demand<'a>(&'a self, prompt: u64, reported: &'a ReportedLoad) -> Demand<'a> {
        Demand {
            service: &self.service,
            home: &self.home,
            load: STREAM,
            engine_memory: Some(88_000),
            affinity: Some(prompt),
            prompt_location: None,
            is_continuation: false,
            tried: &[],
            connected: &self.connected,
            suspect_content: None,
            overcommit: false,
            reported,
            versions: &ANY_VERSION,
            limits: &UNLIMITED,
            now: self.now,
        }
    }
}

fn chosen(table: &UpstreamTable, demand: &Demand<'_>) -> UpstreamName {
    match choose_upstream(table, demand, &mut fastrand::Rng::with_seed(1)) {
        Choice::Upstream(upstream) => upstream.name,
        Choice::None(_) => panic!("engines are free"),
    }
}

/// Reports of these engines, each with the number of streams that run there.
fn reports(loads: &[(&Upstream, u32)]) -> ReportedLoad {
    let mut reported = ReportedLoad::default();
    for (engine, running) in loads {
        let report = EngineReport {
            running: *running,
            used_tokens: running * STREAM.memory_tokens,
            ..EngineReport::default()
        };
        reported.insert(UpstreamKey::of(&engine.name), report.load(STREAM));
    }
    reported
}

#[test]
fn the_queried_engines_are_those_that_a_prompt_search_asks_first() {
    let now = Instant::now();
    let (table, inputs) = (engines(now), DemandInputs::new(now));
    let none = ReportedLoad::default();
    for prompt in 0..20 {
        let demand = inputs.demand(prompt, &none);
        let mut rng = fastrand::Rng::with_seed(prompt);
        let queried = engines_to_query(&table, &demand, LARGE_FLEET_PEERS, &mut rng);
        let order = search_order(&table, &inputs.service, PromptKey(prompt), Instant::now());
        assert_eq!(queried, order[..QUERIED_ENGINES]);
    }
}

#[test]
fn no_engine_is_queried_if_peer_reports_are_complete_or_the_engine_is_known() {
    let now = Instant::now();
    let (table, inputs) = (engines(now), DemandInputs::new(now));
    let none = ReportedLoad::default();
    let mut rng = fastrand::Rng::with_seed(1);
    let demand = inputs.demand(1, &none);
    assert!(engines_to_query(&table, &demand, 8, &mut rng).is_empty());
    let known = Demand {
        prompt_location: Some(UpstreamKey::of(&engine(7).name)),
        ..inputs.demand(1, &none)
    };
    assert!(engines_to_query(&table, &known, LARGE_FLEET_PEERS, &mut rng).is_empty());
    let plain = Demand {
        engine_memory: None,
        ..inputs.demand(1, &none)
    };
    assert!(engines_to_query(&table, &plain, LARGE_FLEET_PEERS, &mut rng).is_empty());
}

#[test]
fn the_least_busy_engine_that_responds_gets_the_stream() {
    let now = Instant::now();
    let (table, inputs) = (engines(now), DemandInputs::new(now));
    let (a, b) = (engine(3), engine(4));
    let reported = reports(&[(&a, 2), (&b, 1)]);
    for prompt in 0..20 {
        // By estimates, all other engines are idle, but they have not reported their load.
        assert_eq!(chosen(&table, &inputs.demand(prompt, &reported)), b.name);
    }
}

#[test]
fn own_load_counts_before_an_engines_report_contains_it() {
    let now = Instant::now();
    let (mut table, inputs) = (engines(now), DemandInputs::new(now));
    let (a, b) = (engine(3), engine(4));
    for _ in 0..3 {
        table.add_load(&b.name, STREAM);
    }
    let reported = reports(&[(&a, 2), (&b, 1)]);
    assert_eq!(chosen(&table, &inputs.demand(1, &reported)), a.name);
}

#[test]
fn queued_prompts_count_as_unread_and_as_kv_cache_tokens() {
    let report = EngineReport {
        queued: 2,
        running: 3,
        reading: 1,
        used_tokens: 20_000,
    };
    let expected = Load {
        requests: 5,
        unread_tokens: 24_000,
        memory_tokens: 37_600,
    };
    assert_eq!(report.load(STREAM), expected);
}

#[test]
fn a_replica_goes_to_an_engine_that_reported_free_kv_cache() {
    let now = Instant::now();
    let (table, inputs) = (engines(now), DemandInputs::new(now));
    // The first two engines are in the same data centre; the KV cache of the last is full.
    let (a, b, c, full) = (engine(3), engine(6), engine(4), engine(5));
    let reported = reports(&[(&a, 0), (&b, 0), (&c, 1), (&full, 9)]);
    for seed in 0..20 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let replica = choose_replica(&table, &inputs.demand(seed, &reported), &a, &mut rng);
        assert_eq!(replica.map(|r| r.name), Some(c.name.clone()));
    }
}

#[test]
fn without_a_response_the_estimated_load_decides() {
    let now = Instant::now();
    let (mut table, inputs) = (engines(now), DemandInputs::new(now));
    for index in 1..ENGINES {
        table.add_load(&engine(index).name, STREAM);
    }
    let none = ReportedLoad::default();
    assert_eq!(chosen(&table, &inputs.demand(1, &none)), engine(0).name);
}
