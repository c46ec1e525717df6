//! Where streams go on whose engines have died, all at the same moment.
//!
//! What was seen: a data centre's engines crash, and within 18 ms 18 routers sent the second attempt
//! of different prompts to one engine, as it alone seemed idle; it has memory for nine, and 11
//! streams waited there for 5 s.
//!
//! And where a request goes that may be what ended its engines: a request that crashes whoever runs it
//! and one beside it were sent to the same two engines in turn, so that both seemed to end them.

use cloverpier_core::{DataCentre, ServiceName, UpstreamName};
use cloverpier_router_policy::prelude::*;
use std::collections::{HashMap, HashSet};
use std::time::Instant;

const ENGINES: u16 = 280;
const DATA_CENTRES: u16 = 4;
/// The engines' memory, and what a stream takes of it.
const MEMORY: u64 = 55_000;
const STREAM: Load = Load {
    requests: 1,
    unread_tokens: 5_200,
    memory_tokens: 6_000,
};
/// Routers that lose a stream before they hear of each other's choices.
const ROUTERS: u64 = 18;
/// Streams that one engine may get of them.
const MOST: usize = 3;

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

/// What every router believes: each engine has a stream, but one, which has just lost its own.
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
    choose_apart(table, prompt, None, tried, now)
}

fn choose_apart(
    table: &UpstreamTable,
    prompt: u64,
    apart: Option<u64>,
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
        apart,
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
fn streams_that_are_lost_together_do_not_meet_at_the_engine_that_seems_idle() {
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
        assert!(most <= MOST, "round {round}: {most} streams at one engine");
    }
}

#[test]
fn a_first_attempt_still_goes_to_the_engine_that_is_idle() {
    let now = Instant::now();
    let table = table(7, now);
    for prompt in 0..20 {
        assert_eq!(choose(&table, prompt, &[], now).name, engine(7).name);
    }
}

#[test]
fn a_stream_that_is_lost_goes_on_in_another_data_centre() {
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
fn a_request_that_may_end_its_engine_goes_where_it_meets_the_fewest_others() {
    let now = Instant::now();
    let idle = 91;
    let table = table(idle, now);
    for content in 0..20 {
        let chosen = choose_apart(&table, 5, Some(content), &[engine(2).name], now);
        assert_eq!(chosen.name, engine(idle).name);
    }
}

#[test]
fn two_requests_that_lost_the_same_engines_part() {
    let now = Instant::now();
    let mut table = UpstreamTable::default();
    table.apply_list((0..ENGINES).map(engine).collect(), 1, now);
    let tried = [engine(3).name, engine(7).name];
    let meetings = (0..200u64).filter(|pair| {
        // Their contents' numbers are hashes.
        let content = |n: u64| Some(cloverpier_core::hash_of(&n.to_string()));
        let one = choose_apart(&table, 5, content(*pair), &tried, now);
        let other = choose_apart(&table, 5, content(*pair + 1_000), &tried, now);
        one.name == other.name
    });
    assert!(meetings.count() <= 3);
}
