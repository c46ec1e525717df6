//! Which engine a later attempt gets after the engine of the earlier one has failed.
//!
//! Guards against two failures. When the engines of a data centre crash, many routers choose again within
//! milliseconds and with the same load estimates: within 18 ms, 18 routers sent the second attempts of
//! different prompts to the one engine that seemed idle, which has memory for nine; 11 streams waited 5 s.
//! And when a request that crashes its engine and another request that ran there are sent to the same two
//! engines in turn, the crashes can't be attributed: both requests seem to cause them.

use cloverpier_core::{DataCentre, ServiceName, UpstreamName};
use cloverpier_router_policy::prelude::*;
use std::collections::{HashMap, HashSet};
use std::time::Instant;

const ENGINES: u16 = 280;
const DATA_CENTRES: u16 = 4;
/// Capacity of an engine's KV cache, in tokens.
const MEMORY: u64 = 55_000;
const STREAM: Load = Load {
    requests: 1,
    unread_tokens: 5_200,
    memory_tokens: 6_000,
};
/// Routers that lose a stream and choose again before reports of each other's choices arrive.
const ROUTERS: u64 = 18;
/// Upper bound on the streams of [`ROUTERS`] routers that one engine may get.
const MAX_PER_ENGINE: usize = 3;

fn engine(index: u16) -> Upstream {
    Upstream {
        name: UpstreamName::new(format!("engine-{index}")),
        service: "drafts".into(),
        address: ([127, 0, 0, 1], 9_000 + index).into(),
        data_centre: DataCentre::new(format!("hall-{}", index % DATA_CENTRES)),
        slots: 24,
        draining: false,
        start: None,
    }
}

/// The table that all routers have: every engine runs one stream, except the engine `idle`, which has just
/// lost its own.
fn table(idle: u16, now: Instant) -> UpstreamTable {
    let mut table = UpstreamTable::default();
    table.apply_list((0..ENGINES).map(engine).collect(), 1, now);
    let peer = ([127, 0, 0, 1], 7_104).into();
    let busy = (0..ENGINES).filter(|index| *index != idle);
    let running = Load {
        unread_tokens: 0,
        ..STREAM
    };
    let load = busy.map(|index| (UpstreamKey::of(&engine(index).name), running));
    table.peer_load.on_report(peer, load.collect(), now);
    table
}

fn choose(table: &UpstreamTable, prompt: u64, tried: &[UpstreamName], now: Instant) -> Upstream {
    choose_for_content(table, prompt, None, tried, now)
}

fn choose_for_content(
    table: &UpstreamTable,
    prompt: u64,
    suspect_content: Option<u64>,
    tried: &[UpstreamName],
    now: Instant,
) -> Upstream {
    let demand = Demand {
        service: &ServiceName::new("drafts"),
        home: &DataCentre::new("hall-0"),
        load: STREAM,
        engine_memory: Some(MEMORY),
        affinity: Some(prompt),
        prompt_location: None,
        is_continuation: false,
        tried,
        connected: &HashSet::new(),
        suspect_content,
        overcommit: false,
        reported: &ReportedLoad::default(),
        versions: &VersionRule::ANY,
        limits: &LimitedUpstreams::NONE,
        now,
    };
    match choose_upstream(table, &demand, &mut fastrand::Rng::with_seed(prompt)) {
        Choice::Upstream(upstream) => upstream,
        Choice::None(reason) => panic!("{reason:?}"),
    }
}

#[test]
fn streams_lost_together_are_not_all_sent_to_the_idle_engine() {
    let now = Instant::now();
    for round in 0..20 {
        let table = table(ENGINES - 1, now);
        let mut chosen: HashMap<UpstreamName, usize> = HashMap::new();
        for router in 0..ROUTERS {
            let lost = engine((round + 4 * router as u16) % ENGINES).name;
            let prompt = u64::from(round) * 1_000 + router;
            let engine = choose(&table, prompt, &[lost], now);
            *chosen.entry(engine.name).or_default() += 1;
        }
        let most = chosen.values().max().copied().unwrap_or_default();
        assert!(
            most <= MAX_PER_ENGINE,
            "round {round}: {most} streams at one engine"
        );
    }
}

#[test]
fn a_first_attempt_goes_to_the_idle_engine() {
    let now = Instant::now();
    let table = table(7, now);
    for prompt in 0..20 {
        assert_eq!(choose(&table, prompt, &[], now).name, engine(7).name);
    }
}

#[test]
fn a_lost_stream_resumes_in_another_data_centre() {
    let now = Instant::now();
    let table = table(0, now);
    for prompt in 0..100 {
        let lost = engine(prompt as u16 * 2).name;
        let chosen = choose(&table, prompt, std::slice::from_ref(&lost), now);
        let lost = table.get(&lost).unwrap();
        assert_ne!(chosen.data_centre, lost.upstream.data_centre);
    }
}

#[test]
fn a_suspect_request_goes_to_the_engine_with_the_fewest_requests() {
    let now = Instant::now();
    let idle = 91;
    let table = table(idle, now);
    for content in 0..20 {
        let chosen = choose_for_content(&table, 5, Some(content), &[engine(2).name], now);
        assert_eq!(chosen.name, engine(idle).name);
    }
}

#[test]
fn two_suspect_requests_that_lost_the_same_engines_go_to_different_engines() {
    let now = Instant::now();
    let mut table = UpstreamTable::default();
    table.apply_list((0..ENGINES).map(engine).collect(), 1, now);
    let tried = [engine(3).name, engine(7).name];
    let shared = (0..200u64).filter(|pair| {
        // In production, these values are hashes of the contents.
        let content = |n: u64| Some(cloverpier_core::hash_of(&n.to_string()));
        let first = choose_for_content(&table, 5, content(*pair), &tried, now);
        let second = choose_for_content(&table, 5, content(*pair + 1_000), &tried, now);
        first.name == second.name
    });
    assert!(shared.count() <= 3);
}
