//! Which servers get requests as the platform's list changes.

use cloverpier_core::{DataCentre, ServiceName, UpstreamName};
use cloverpier_router_policy::prelude::*;
use std::collections::HashSet;
use std::time::{Duration, Instant};

const SERVICE: &str = "lookups";

fn server(name: &str, port: u16) -> Server {
    Server {
        name: UpstreamName::new(name),
        service: ServiceName::new(SERVICE),
        address: ([127, 0, 0, 1], port).into(),
        data_centre: DataCentre::new("hall-a"),
        slots: 4,
        draining: false,
    }
}

fn fleet_of(names: &[&str], now: Instant) -> Fleet {
    let mut fleet = Fleet::default();
    let servers = names
        .iter()
        .zip(9_000..)
        .map(|(name, port)| server(name, port));
    fleet.apply_list(servers.collect(), 1, now);
    fleet
}

fn choose(fleet: &Fleet, tried: &[UpstreamName]) -> Option<String> {
    choose_at(fleet, tried, Instant::now())
}

fn choose_at(fleet: &Fleet, tried: &[UpstreamName], now: Instant) -> Option<String> {
    let demand = Demand {
        service: &ServiceName::new(SERVICE),
        home: &DataCentre::new("hall-a"),
        work: Work {
            requests: 1,
            ..Work::default()
        },
        engine_memory: None,
        affinity: None,
        read_at: None,
        is_continuation: false,
        tried,
        connected: &HashSet::new(),
        overcommit: false,
        now,
    };
    match choose_server(fleet, &demand, &mut fastrand::Rng::with_seed(1)) {
        Choice::Server(server) => Some(server.name.to_string()),
        Choice::Full | Choice::Nobody => None,
    }
}

#[test]
fn a_server_that_left_gets_nothing_while_others_are_listed() {
    let now = Instant::now();
    let mut fleet = fleet_of(&["leaves", "suspected", "tried"], now);
    fleet.apply_changes(vec![ServerChange::Gone("leaves".into())], 2, now);
    fleet.suspect(&"suspected".into(), now);
    // The suspect is the only one left: better a doubtful server than one that leaves.
    let chosen = choose(&fleet, &["tried".into()]);
    assert_eq!(chosen.as_deref(), Some("suspected"));
    // With that one tried, too, nobody is left.
    assert_eq!(choose(&fleet, &["tried".into(), "suspected".into()]), None);
}

#[test]
fn a_draining_server_gets_nothing_even_as_the_last_one() {
    let now = Instant::now();
    let mut fleet = fleet_of(&["drains"], now);
    let mut drains = server("drains", 9_000);
    drains.draining = true;
    fleet.apply_changes(vec![ServerChange::Listed(drains)], 2, now);
    assert_eq!(choose(&fleet, &[]), None);
}

#[test]
fn servers_serve_on_when_an_outage_empties_the_list() {
    let now = Instant::now();
    let mut fleet = fleet_of(&["one", "two"], now);
    let gone = ["one", "two"].map(|name| ServerChange::Gone(name.into()));
    fleet.apply_changes(gone.to_vec(), 2, now);
    assert!(choose_at(&fleet, &[], now + Duration::from_millis(1_900)).is_some());
}

#[test]
fn servers_missing_for_more_than_two_seconds_are_gone_even_if_all_are() {
    let now = Instant::now();
    let mut fleet = fleet_of(&["one", "two"], now);
    let gone = ["one", "two"].map(|name| ServerChange::Gone(name.into()));
    fleet.apply_changes(gone.to_vec(), 2, now);
    let later = now + Duration::from_millis(2_100);
    assert_eq!(choose_at(&fleet, &[], later), None);
    fleet.apply_changes(vec![ServerChange::Listed(server("two", 9_001))], 3, later);
    assert_eq!(choose_at(&fleet, &[], later).as_deref(), Some("two"));
}

#[test]
fn a_replaced_server_is_never_chosen() {
    let now = Instant::now();
    let mut fleet = fleet_of(&["before"], now);
    fleet.apply_changes(vec![ServerChange::Listed(server("after", 9_000))], 2, now);
    assert_eq!(choose(&fleet, &[]).as_deref(), Some("after"));
    assert_eq!(choose(&fleet, &["after".into()]), None);
}

#[test]
fn an_older_list_changes_nothing() {
    let now = Instant::now();
    let mut fleet = fleet_of(&["one"], now);
    fleet.apply_changes(vec![ServerChange::Listed(server("two", 9_001))], 5, now);
    assert!(!fleet.apply_list(vec![server("one", 9_000)], 4, now));
    assert!(fleet.get(&"two".into()).is_some_and(ServerState::is_usable));
}

#[test]
fn a_suspect_is_probed_with_growing_pauses_until_it_answers() {
    let start = Instant::now();
    let mut fleet = fleet_of(&["one"], start);
    assert!(fleet.suspect(&"one".into(), start));
    assert!(
        !fleet.suspect(&"one".into(), start),
        "it is suspected already"
    );
    let mut probes = Vec::new();
    for ms in (0..4_000).step_by(50) {
        let now = start + Duration::from_millis(ms);
        if !fleet.take_due_probes(now).is_empty() {
            probes.push(ms);
        }
    }
    assert_eq!(probes, [0, 150, 450, 1_050, 2_050, 3_050]);
    assert!(fleet.on_alive(&"one".into(), start).is_some());
    assert_eq!(choose(&fleet, &[]).as_deref(), Some("one"));
}

#[test]
fn reports_of_peers_count_until_they_are_old() {
    let now = Instant::now();
    let mut fleet = fleet_of(&["one", "two"], now);
    let key = ServerKey::of(&"one".into());
    let work = Work {
        requests: 3,
        ..Work::default()
    };
    let peer = ([127, 0, 0, 1], 7_000).into();
    fleet.peer_work.on_report(peer, vec![(key, work)], now);
    assert_eq!(choose(&fleet, &[]).as_deref(), Some("two"));
    fleet.peer_work.on_report(peer, Vec::new(), now);
    assert_eq!(fleet.peer_work.at(key), Work::default());
    fleet.peer_work.on_report(peer, vec![(key, work)], now);
    let later = now + Duration::from_secs(5);
    fleet.peer_work.forget_old(later, Duration::from_secs(1));
    assert_eq!(fleet.peer_work.at(key), Work::default());
}

fn choose_engine(fleet: &Fleet, affinity: u64, seed: u64) -> Option<String> {
    let demand = Demand {
        service: &ServiceName::new(SERVICE),
        home: &DataCentre::new("hall-a"),
        work: Work {
            requests: 1,
            unread_tokens: 8_000,
            memory_tokens: 8_800,
        },
        engine_memory: Some(88_000),
        affinity: Some(affinity),
        read_at: None,
        is_continuation: false,
        tried: &[],
        connected: &HashSet::new(),
        overcommit: false,
        now: Instant::now(),
    };
    match choose_server(fleet, &demand, &mut fastrand::Rng::with_seed(seed)) {
        Choice::Server(server) => Some(server.name.to_string()),
        Choice::Full | Choice::Nobody => None,
    }
}

/// Engines that run a request each; one has slightly less to read than the others.
fn busy_engines(now: Instant) -> Fleet {
    let names: Vec<String> = (0..24).map(|n| format!("engine-{n}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut fleet = fleet_of(&names, now);
    for (index, name) in names.iter().enumerate() {
        let running = Work {
            requests: 1,
            unread_tokens: if index == 0 { 0 } else { 1_000 },
            memory_tokens: 8_800,
        };
        fleet.begin(&UpstreamName::new(name), running);
    }
    fleet
}

#[test]
fn routers_that_see_the_same_do_not_all_choose_the_same_engine() {
    let fleet = busy_engines(Instant::now());
    let chosen: HashSet<_> = (0..12)
        .filter_map(|n| choose_engine(&fleet, n, n))
        .collect();
    assert!(chosen.len() >= 7, "12 prompts went to {chosen:?}");
}

#[test]
fn an_engine_that_a_peer_has_just_chosen_is_left_to_it() {
    let now = Instant::now();
    let mut fleet = busy_engines(now);
    let first = choose_engine(&fleet, 5, 1).unwrap();
    let begun = Work {
        requests: 1,
        unread_tokens: 8_000,
        memory_tokens: 8_800,
    };
    let key = ServerKey::of(&UpstreamName::new(&first));
    let peer = ([127, 0, 0, 1], 7_000).into();
    fleet.peer_work.on_report(peer, vec![(key, begun)], now);
    assert_ne!(choose_engine(&fleet, 5, 1).unwrap(), first);
}

#[test]
fn a_prompt_that_comes_back_finds_the_engine_that_read_it() {
    let fleet = busy_engines(Instant::now());
    let first = choose_engine(&fleet, 77, 1);
    assert_eq!(first, choose_engine(&fleet, 77, 2), "whoever chooses");
}

#[test]
fn a_search_begins_with_the_engines_that_routers_would_have_chosen() {
    let now = Instant::now();
    let centres = ["hall-a", "hall-b", "hall-c"];
    let engines = (0..30).map(|index| Server {
        data_centre: DataCentre::new(centres[usize::from(index % 3)]),
        ..server(&format!("engine-{index}"), 9_000 + index)
    });
    let mut fleet = Fleet::default();
    fleet.apply_list(engines.collect(), 1, now);
    let service = ServiceName::new(SERVICE);
    let connected = HashSet::new();
    for prompt in 0..20 {
        let order = search_order(&fleet, &service, PromptKey(prompt));
        assert_eq!(order.len(), 30);
        for home in centres {
            let home = DataCentre::new(home);
            let demand = stream_demand(&service, &home, &connected, prompt, now);
            let chosen = choose_server(&fleet, &demand, &mut fastrand::Rng::with_seed(1));
            let Choice::Server(chosen) = chosen else {
                panic!("an engine is free");
            };
            assert!(order[..centres.len()].contains(&chosen), "{prompt} {home}");
        }
    }
}

/// Engines in two data centres, and a demand of one usual stream.
fn engines(count: u16, now: Instant) -> Fleet {
    let engines = (0..count).map(|index| Server {
        data_centre: DataCentre::new(if index % 2 == 0 { "hall-a" } else { "hall-b" }),
        ..server(&format!("engine-{index}"), 9_000 + index)
    });
    let mut fleet = Fleet::default();
    fleet.apply_list(engines.collect(), 1, now);
    fleet
}

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
        work: Work {
            requests: 1,
            unread_tokens: 8_000,
            memory_tokens: 8_800,
        },
        engine_memory: Some(88_000),
        affinity: Some(prompt),
        read_at: None,
        is_continuation: false,
        tried: &[],
        connected,
        overcommit: false,
        now,
    }
}

#[test]
fn routers_that_see_the_same_spread_their_backups() {
    let now = Instant::now();
    let mut fleet = engines(20, now);
    // All but one have some work; the emptiest one alone would get all copies.
    for index in 0..19 {
        let work = Work {
            memory_tokens: 3_000,
            ..Work::default()
        };
        fleet.begin(&format!("engine-{index}").as_str().into(), work);
    }
    let (service, home) = (ServiceName::new(SERVICE), DataCentre::new("hall-a"));
    let connected = HashSet::new();
    let demand = stream_demand(&service, &home, &connected, 1, now);
    let primary = fleet.get(&"engine-0".into()).unwrap().server.clone();
    let mut chosen = HashSet::new();
    for seed in 0..40 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let backup = choose_backup(&fleet, &demand, &primary, &mut rng).unwrap();
        assert_ne!(backup.data_centre, primary.data_centre);
        chosen.insert(backup.name);
    }
    assert!(chosen.len() >= 8, "{chosen:?}");
}

#[test]
fn a_data_centre_that_seems_dead_gets_nothing_new() {
    let now = Instant::now();
    let mut fleet = engines(20, now);
    for index in [0, 2, 4] {
        fleet.suspect(&format!("engine-{index}").as_str().into(), now);
    }
    let (service, home) = (ServiceName::new(SERVICE), DataCentre::new("hall-a"));
    let connected = HashSet::new();
    for prompt in 0..40 {
        let demand = stream_demand(&service, &home, &connected, prompt, now);
        let mut rng = fastrand::Rng::with_seed(prompt);
        let Choice::Server(chosen) = choose_server(&fleet, &demand, &mut rng) else {
            panic!("ten engines are free elsewhere");
        };
        assert_eq!(chosen.data_centre, DataCentre::new("hall-b"));
        let backup = choose_backup(&fleet, &demand, &chosen, &mut rng).unwrap();
        // Only the data centre that seems dead is another one than the primary's.
        assert_eq!(backup.data_centre, home);
    }
    // Where all data centres seem dead, any engine that isn't suspected will do.
    for index in [1, 3, 5] {
        fleet.suspect(&format!("engine-{index}").as_str().into(), now);
    }
    let demand = stream_demand(&service, &home, &connected, 1, now);
    let chosen = choose_server(&fleet, &demand, &mut fastrand::Rng::with_seed(1));
    assert!(matches!(chosen, Choice::Server(_)), "{chosen:?}");
}
