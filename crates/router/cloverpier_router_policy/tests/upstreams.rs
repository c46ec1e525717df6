//! Choice of upstreams for requests and replicas, as the platform's list, load and suspicions change.

use cloverpier_core::{DataCentre, ServiceName, UpstreamName};
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::prompt_search::search_order;
use std::collections::HashSet;
use std::sync::LazyLock;
use std::time::{Duration, Instant};

const SERVICE: &str = "lookups";
static ANY_VERSION: VersionRule = VersionRule::ANY;
static UNLIMITED: LimitedUpstreams = LimitedUpstreams::NONE;
static NO_REPORTED_LOAD: LazyLock<ReportedLoad> = LazyLock::new(ReportedLoad::default);

fn upstream(name: &str, port: u16) -> Upstream {
    Upstream {
        name: UpstreamName::new(name),
        service: ServiceName::new(SERVICE),
        address: ([127, 0, 0, 1], port).into(),
        data_centre: DataCentre::new("hall-a"),
        slots: 4,
        draining: false,
        start: None,
    }
}

fn table_of(names: &[&str], now: Instant) -> UpstreamTable {
    let mut table = UpstreamTable::default();
    let upstreams = names
        .iter()
        .zip(9_000..)
        .map(|(name, port)| upstream(name, port));
    table.apply_list(upstreams.collect(), 1, now);
    table
}

fn choose(table: &UpstreamTable, tried: &[UpstreamName]) -> Option<String> {
    choose_at(table, tried, Instant::now())
}

fn choose_at(table: &UpstreamTable, tried: &[UpstreamName], now: Instant) -> Option<String> {
    let demand = Demand {
        service: &ServiceName::new(SERVICE),
        home: &DataCentre::new("hall-a"),
        load: Load {
            requests: 1,
            ..Load::default()
        },
        engine_memory: None,
        affinity: None,
        prompt_location: None,
        is_continuation: false,
        tried,
        connected: &HashSet::new(),
        suspect_content: None,
        overcommit: false,
        reported: &NO_REPORTED_LOAD,
        versions: &ANY_VERSION,
        limits: &UNLIMITED,
        now,
    };
    match choose_upstream(table, &demand, &mut fastrand::Rng::with_seed(1)) {
        Choice::Upstream(upstream) => Some(upstream.name.to_string()),
        Choice::None(_) => None,
    }
}

#[test]
fn a_removed_upstream_gets_no_requests_while_others_are_listed() {
    let now = Instant::now();
    let mut table = table_of(&["leaves", "suspected", "tried"], now);
    table.apply_changes(vec![UpstreamChange::Gone("leaves".into())], 2, now);
    table.suspect(&"suspected".into(), now);
    // Only the suspected upstream is left: it is preferred to a removed one.
    let chosen = choose(&table, &["tried".into()]);
    assert_eq!(chosen.as_deref(), Some("suspected"));
    // Once the request has failed there, too, no upstream is left.
    assert_eq!(choose(&table, &["tried".into(), "suspected".into()]), None);
}

#[test]
fn a_draining_upstream_gets_no_requests_even_if_it_is_the_only_one() {
    let now = Instant::now();
    let mut table = table_of(&["drains"], now);
    let mut drains = upstream("drains", 9_000);
    drains.draining = true;
    table.apply_changes(vec![UpstreamChange::Listed(drains)], 2, now);
    assert_eq!(choose(&table, &[]), None);
}

#[test]
fn upstreams_still_get_requests_when_a_store_outage_empties_the_list() {
    let now = Instant::now();
    let mut table = table_of(&["one", "two"], now);
    let gone = ["one", "two"].map(|name| UpstreamChange::Gone(name.into()));
    table.on_store_away(now);
    let learned = now + Duration::from_millis(1_900);
    table.apply_changes(gone.to_vec(), 2, learned);
    assert!(choose_at(&table, &[], learned + Duration::from_millis(1_900)).is_some());
}

#[test]
fn upstreams_get_no_requests_after_their_removal_while_the_store_is_reachable() {
    let now = Instant::now();
    let long_ago = now.checked_sub(Duration::from_millis(2_100)).unwrap();
    for store_away_at in [None, Some(long_ago)] {
        let mut table = table_of(&["one", "two"], now);
        if let Some(at) = store_away_at {
            table.on_store_away(at);
        }
        let gone = ["one", "two"].map(|name| UpstreamChange::Gone(name.into()));
        table.apply_changes(gone.to_vec(), 2, now);
        assert_eq!(choose_at(&table, &[], now), None);
    }
}

#[test]
fn upstreams_get_no_requests_two_seconds_after_their_removal_even_if_all_were_removed() {
    let now = Instant::now();
    let mut table = table_of(&["one", "two"], now);
    table.on_store_away(now);
    let gone = ["one", "two"].map(|name| UpstreamChange::Gone(name.into()));
    table.apply_changes(gone.to_vec(), 2, now);
    let later = now + Duration::from_millis(2_100);
    assert_eq!(choose_at(&table, &[], later), None);
    table.apply_changes(
        vec![UpstreamChange::Listed(upstream("two", 9_001))],
        3,
        later,
    );
    assert_eq!(choose_at(&table, &[], later).as_deref(), Some("two"));
}

/// Lists an upstream again after a change that took it off the list.
fn table_after_return(leaving: UpstreamChange, now: Instant) -> (UpstreamTable, AppliedUpdate) {
    let mut table = table_of(&["one"], now);
    table.apply_changes(vec![leaving], 2, now);
    let listed = UpstreamChange::Listed(upstream("one", 1));
    let applied = table.apply_changes(vec![listed], 3, now);
    (table, applied)
}

fn drained() -> UpstreamChange {
    UpstreamChange::Listed(Upstream {
        draining: true,
        ..upstream("one", 1)
    })
}

#[test]
fn an_entry_alone_does_not_bring_an_upstream_back_that_had_left() {
    let now = Instant::now();
    let gone = UpstreamChange::Gone(UpstreamName::new("one"));
    for leaving in [drained(), gone] {
        let (mut table, applied) = table_after_return(leaving, now);
        let name = UpstreamName::new("one");
        assert_eq!(applied.returned, [upstream("one", 1)]);
        assert_eq!(choose(&table, &[]), None);
        assert_eq!(table.start_due_checks(now), [upstream("one", 1)]);
        assert_eq!(table.on_alive(&name, now), None, "it may answer and leave");
        assert_eq!(choose(&table, &[]), None);
        table.on_serving(&name);
        assert!(table.on_alive(&name, now).is_some());
        assert_eq!(choose(&table, &[]).as_deref(), Some("one"));
    }
}

#[test]
fn an_entry_that_expired_in_an_outage_of_the_store_brings_its_upstream_back_at_once() {
    let now = Instant::now();
    let mut table = table_of(&["one"], now);
    table.on_store_away(now);
    let gone = UpstreamChange::Gone(UpstreamName::new("one"));
    table.apply_changes(vec![gone], 2, now);
    let listed = UpstreamChange::Listed(upstream("one", 1));
    let applied = table.apply_changes(vec![listed], 3, now);
    assert_eq!(applied.returned, []);
    assert_eq!(choose(&table, &[]).as_deref(), Some("one"));
}

#[test]
fn a_replaced_upstream_is_never_chosen() {
    let now = Instant::now();
    let mut table = table_of(&["before"], now);
    table.apply_changes(
        vec![UpstreamChange::Listed(upstream("after", 9_000))],
        2,
        now,
    );
    assert_eq!(choose(&table, &[]).as_deref(), Some("after"));
    assert_eq!(choose(&table, &["after".into()]), None);
}

#[test]
fn a_list_with_an_older_revision_is_ignored() {
    let now = Instant::now();
    let mut table = table_of(&["one"], now);
    table.apply_changes(vec![UpstreamChange::Listed(upstream("two", 9_001))], 5, now);
    assert!(
        !table
            .apply_list(vec![upstream("one", 9_000)], 4, now)
            .is_new
    );
    assert!(
        table
            .get(&"two".into())
            .is_some_and(|state| state.is_usable(Instant::now()))
    );
}

#[test]
fn a_suspected_upstream_is_checked_at_growing_intervals_until_it_responds() {
    let start = Instant::now();
    let mut table = table_of(&["one"], start);
    assert!(table.suspect(&"one".into(), start));
    assert!(
        !table.suspect(&"one".into(), start),
        "it is suspected already"
    );
    let mut checks = Vec::new();
    for ms in (0..4_000).step_by(50) {
        let now = start + Duration::from_millis(ms);
        if !table.start_due_checks(now).is_empty() {
            checks.push(ms);
        }
    }
    assert_eq!(checks, [0, 150, 450, 1_050, 2_050, 3_050]);
    assert!(table.on_alive(&"one".into(), start).is_some());
    assert_eq!(choose(&table, &[]).as_deref(), Some("one"));
}

#[test]
fn a_peers_load_report_counts_until_it_is_replaced_or_old() {
    let now = Instant::now();
    let mut table = table_of(&["one", "two"], now);
    let key = UpstreamKey::of(&"one".into());
    let load = Load {
        requests: 3,
        ..Load::default()
    };
    let peer = ([127, 0, 0, 1], 7_000).into();
    table.peer_load.on_report(peer, vec![(key, load)], now);
    assert_eq!(choose(&table, &[]).as_deref(), Some("two"));
    table.peer_load.on_report(peer, Vec::new(), now);
    assert_eq!(table.peer_load.at(key), Load::default());
    table.peer_load.on_report(peer, vec![(key, load)], now);
    let later = now + Duration::from_secs(5);
    table
        .peer_load
        .remove_expired(later, Duration::from_secs(1));
    assert_eq!(table.peer_load.at(key), Load::default());
}

fn choose_engine(table: &UpstreamTable, affinity: u64, seed: u64) -> Option<String> {
    let demand = Demand {
        service: &ServiceName::new(SERVICE),
        home: &DataCentre::new("hall-a"),
        load: Load {
            requests: 1,
            unread_tokens: 8_000,
            memory_tokens: 8_800,
        },
        engine_memory: Some(88_000),
        affinity: Some(affinity),
        prompt_location: None,
        is_continuation: false,
        tried: &[],
        connected: &HashSet::new(),
        suspect_content: None,
        overcommit: false,
        reported: &NO_REPORTED_LOAD,
        versions: &ANY_VERSION,
        limits: &UNLIMITED,
        now: Instant::now(),
    };
    match choose_upstream(table, &demand, &mut fastrand::Rng::with_seed(seed)) {
        Choice::Upstream(upstream) => Some(upstream.name.to_string()),
        Choice::None(_) => None,
    }
}

/// 24 engines with one request each; the first has fewer prompt tokens to process than the others.
fn busy_engines(now: Instant) -> UpstreamTable {
    let names: Vec<String> = (0..24).map(|n| format!("engine-{n}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut table = table_of(&names, now);
    for (index, name) in names.iter().enumerate() {
        let running = Load {
            requests: 1,
            unread_tokens: if index == 0 { 0 } else { 1_000 },
            memory_tokens: 8_800,
        };
        table.add_load(&UpstreamName::new(name), running);
    }
    table
}

#[test]
fn routers_with_the_same_information_choose_different_engines() {
    let table = busy_engines(Instant::now());
    let chosen: HashSet<_> = (0..12)
        .filter_map(|n| choose_engine(&table, n, n))
        .collect();
    assert!(chosen.len() >= 7, "12 prompts went to {chosen:?}");
}

#[test]
fn an_engine_that_a_peer_has_just_chosen_is_not_chosen() {
    let now = Instant::now();
    let mut table = busy_engines(now);
    let first = choose_engine(&table, 5, 1).unwrap();
    let reported = Load {
        requests: 1,
        unread_tokens: 8_000,
        memory_tokens: 8_800,
    };
    let key = UpstreamKey::of(&UpstreamName::new(&first));
    let peer = ([127, 0, 0, 1], 7_000).into();
    table.peer_load.on_report(peer, vec![(key, reported)], now);
    assert_ne!(choose_engine(&table, 5, 1).unwrap(), first);
}

#[test]
fn equal_prompts_are_sent_to_the_same_engine() {
    let table = busy_engines(Instant::now());
    let first = choose_engine(&table, 77, 1);
    assert_eq!(first, choose_engine(&table, 77, 2), "with any random seed");
}

#[test]
fn a_prompt_search_begins_with_the_engines_that_routers_choose_for_the_prompt() {
    let now = Instant::now();
    let centres = ["hall-a", "hall-b", "hall-c"];
    let engines = (0..30).map(|index| Upstream {
        data_centre: DataCentre::new(centres[usize::from(index % 3)]),
        ..upstream(&format!("engine-{index}"), 9_000 + index)
    });
    let mut table = UpstreamTable::default();
    table.apply_list(engines.collect(), 1, now);
    let service = ServiceName::new(SERVICE);
    let connected = HashSet::new();
    for prompt in 0..20 {
        let order = search_order(&table, &service, PromptKey(prompt), Instant::now());
        assert_eq!(order.len(), 30);
        for home in centres {
            let home = DataCentre::new(home);
            let demand = stream_demand(&service, &home, &connected, prompt, now);
            let chosen = choose_upstream(&table, &demand, &mut fastrand::Rng::with_seed(1));
            let Choice::Upstream(chosen) = chosen else {
                panic!("no engine was chosen although all are free");
            };
            assert!(order[..centres.len()].contains(&chosen), "{prompt} {home}");
        }
    }
}

/// `count` idle engines, alternately in the data centres hall-a and hall-b.
fn engines(count: u16, now: Instant) -> UpstreamTable {
    let engines = (0..count).map(|index| Upstream {
        data_centre: DataCentre::new(if index % 2 == 0 { "hall-a" } else { "hall-b" }),
        ..upstream(&format!("engine-{index}"), 9_000 + index)
    });
    let mut table = UpstreamTable::default();
    table.apply_list(engines.collect(), 1, now);
    table
}

/// The demand of a stream with a typical prompt; `prompt` identifies the prompt for affinity.
fn stream_demand<'a>(
    service: &'a ServiceName,
    home: &'a DataCentre,
    connected: &'a HashSet<UpstreamName>,
    prompt: u64,
    now: Instant,
) -> Demand<'a> {
    Demand {
        service,
        home,
        load: Load {
            requests: 1,
            unread_tokens: 8_000,
            memory_tokens: 8_800,
        },
        engine_memory: Some(88_000),
        affinity: Some(prompt),
        prompt_location: None,
        is_continuation: false,
        tried: &[],
        connected,
        suspect_content: None,
        overcommit: false,
        reported: &NO_REPORTED_LOAD,
        versions: &ANY_VERSION,
        limits: &UNLIMITED,
        now,
    }
}

#[test]
fn routers_with_the_same_information_spread_their_replicas() {
    let now = Instant::now();
    let mut table = engines(20, now);
    // All engines but one have some load. Choosing the least loaded one would put all replicas there.
    for index in 0..19 {
        let load = Load {
            memory_tokens: 3_000,
            ..Load::default()
        };
        table.add_load(&format!("engine-{index}").as_str().into(), load);
    }
    let (service, home) = (ServiceName::new(SERVICE), DataCentre::new("hall-a"));
    let connected = HashSet::new();
    let demand = stream_demand(&service, &home, &connected, 1, now);
    let primary = table.get(&"engine-0".into()).unwrap().upstream.clone();
    let mut chosen = HashSet::new();
    for seed in 0..40 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let replica = choose_replica(&table, &demand, &primary, &mut rng).unwrap();
        assert_ne!(replica.data_centre, primary.data_centre);
        chosen.insert(replica.name);
    }
    assert!(chosen.len() >= 8, "{chosen:?}");
}

#[test]
fn a_data_centre_that_seems_down_gets_no_new_requests() {
    let now = Instant::now();
    let mut table = engines(20, now);
    for index in [0, 2, 4] {
        table.suspect(&format!("engine-{index}").as_str().into(), now);
    }
    let (service, home) = (ServiceName::new(SERVICE), DataCentre::new("hall-a"));
    let connected = HashSet::new();
    for prompt in 0..40 {
        let demand = stream_demand(&service, &home, &connected, prompt, now);
        let mut rng = fastrand::Rng::with_seed(prompt);
        let Choice::Upstream(chosen) = choose_upstream(&table, &demand, &mut rng) else {
            panic!("no engine was chosen although ten are free in hall-b");
        };
        assert_eq!(chosen.data_centre, DataCentre::new("hall-b"));
        let replica = choose_replica(&table, &demand, &chosen, &mut rng).unwrap();
        // The replica is kept in the data centre that seems down: there is no other one besides the
        // primary's.
        assert_eq!(replica.data_centre, home);
    }
    // If all data centres seem down, engines that are not suspected get requests.
    for index in [1, 3, 5] {
        table.suspect(&format!("engine-{index}").as_str().into(), now);
    }
    let demand = stream_demand(&service, &home, &connected, 1, now);
    let chosen = choose_upstream(&table, &demand, &mut fastrand::Rng::with_seed(1));
    assert!(matches!(chosen, Choice::Upstream(_)), "{chosen:?}");
}

/// Adds so many requests of this router to an upstream that the upstream is full.
fn fill(table: &mut UpstreamTable, name: &str) {
    let load = Load {
        requests: 100,
        ..Load::default()
    };
    table.add_load(&UpstreamName::new(name), load);
}

/// Guards against refusals while upstreams that only peers suspect are idle. When each of four lookup
/// upstreams lost a fifth of its responses by resets, peers' suspicions, which count for a second,
/// excluded three of them, the fourth was full, and every second request was refused.
#[test]
fn upstreams_that_only_peers_suspect_get_requests_when_the_others_are_full() {
    let now = Instant::now();
    let mut table = table_of(&["one", "two", "three", "four"], now);
    for name in ["one", "two", "three"] {
        table.on_peer_suspicion(UpstreamKey::of(&UpstreamName::new(name)), now);
    }
    assert_eq!(choose_at(&table, &[], now).as_deref(), Some("four"));
    fill(&mut table, "four");
    let chosen = choose_at(&table, &[], now).unwrap();
    assert!(["one", "two", "three"].contains(&chosen.as_str()));
    // An upstream that this router itself suspects gets none.
    table.suspect(&UpstreamName::new("one"), now);
    table.suspect(&UpstreamName::new("two"), now);
    assert_eq!(choose_at(&table, &[], now).as_deref(), Some("three"));
    fill(&mut table, "three");
    assert_eq!(choose_at(&table, &[], now), None);
}
