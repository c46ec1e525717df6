//! How much room a router has at a brittle upstream, and how long it pauses after refusals.

use cloverpier_core::{DataCentre, ServiceName};
use cloverpier_router_policy::brittle::{BrittleStatement, Brittleness, RouterHash, share_of};
use cloverpier_router_policy::prelude::*;
use quickcheck::quickcheck;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const SECOND: Duration = Duration::from_secs(1);

fn routers(count: usize) -> Vec<RouterHash> {
    let address = |n: usize| SocketAddr::from(([10, 0, (n >> 8) as u8, n as u8], 7104));
    (0..count).map(|n| RouterHash::of(address(n))).collect()
}

fn brittle(max_refusals: u32) -> Brittleness {
    let mut brittleness = Brittleness::default();
    brittleness.on_statement(BrittleStatement::MaxRefusals(max_refusals));
    brittleness
}

#[test]
fn the_shares_of_all_routers_add_up_to_the_slots() {
    for count in [1, 8, 60, 295, 986] {
        let routers = routers(count);
        for (upstream, slots) in [(1, 1), (2, 6), (3, 64), (u64::MAX, 1_000)] {
            let share = |own: &RouterHash| share_of(*own, &routers, UpstreamKey(upstream), slots);
            let shares: Vec<u32> = routers.iter().map(share).collect();
            assert_eq!(shares.iter().sum::<u32>(), slots, "{count} routers");
            let (least, most) = (shares.iter().min().unwrap(), shares.iter().max().unwrap());
            assert!(most - least <= 1);
        }
    }
}

#[test]
fn what_does_not_divide_evenly_goes_to_other_routers_at_other_upstreams() {
    let routers = routers(986);
    let has_share = |own: &&RouterHash| {
        let mut upstreams =
            (0..114_u64).map(|n| UpstreamKey(n.wrapping_mul(0x1234_5678_9abc_def1)));
        upstreams.any(|upstream| share_of(**own, &routers, upstream, 6) > 0)
    };
    // 684 slots are spread over 986 routers: of each router's 114 draws of 6 in 986, one succeeds half of the time.
    let with_share = routers.iter().filter(has_share).count();
    assert!((400..600).contains(&with_share), "{with_share}");
}

#[test]
fn a_router_exceeds_its_share_only_while_half_of_the_slots_are_free() {
    let mut brittleness = brittle(5);
    brittleness.set_share(1);
    assert!(brittleness.has_room(0, 6, 6));
    assert!(brittleness.has_room(2, 2, 6));
    assert!(!brittleness.has_room(2, 3, 6));
    assert!(!brittleness.has_room(1, 6, 6));
}

#[test]
fn an_upstream_that_does_not_say_so_any_more_is_not_brittle() {
    let mut brittleness = brittle(5);
    assert!(!brittleness.on_statement(BrittleStatement::Unreadable));
    assert!(brittleness.is_brittle());
    assert!(brittleness.on_statement(BrittleStatement::Absent));
    assert!(!brittleness.is_brittle());
    let mut rng = fastrand::Rng::with_seed(1);
    assert_eq!(brittleness.on_refusal(Instant::now(), &mut rng), None);
}

#[test]
fn a_crash_is_explained_only_where_refusals_went_before() {
    let now = Instant::now();
    let mut rng = fastrand::Rng::with_seed(1);
    let mut brittleness = brittle(5);
    assert!(!brittleness.explains_crash(now));
    brittleness.on_refusal(now, &mut rng);
    assert!(brittleness.explains_crash(now + SECOND));
    assert!(!brittleness.explains_crash(now + 3 * SECOND));
}

/// The choice for one more request in a service with one upstream of two slots, both taken.
fn choice_at_full_upstream(is_brittle: bool, engine_memory: Option<u64>) -> Choice {
    let (service, home) = (ServiceName::new("drafts"), DataCentre::new("hall-a"));
    let now = Instant::now();
    let mut table = UpstreamTable::default();
    let only = Upstream {
        name: "only".into(),
        service: service.clone(),
        address: ([127, 0, 0, 1], 9_000).into(),
        data_centre: home.clone(),
        slots: 2,
        draining: false,
        start: None,
    };
    table.apply_list(vec![only], 1, now);
    let request = Load {
        requests: 1,
        ..Load::default()
    };
    for _ in 0..2 {
        table.add_load(&"only".into(), request);
    }
    if is_brittle {
        let brittleness = table.brittleness_mut(&"only".into()).unwrap();
        brittleness.on_statement(BrittleStatement::MaxRefusals(5));
        brittleness.set_share(2);
    }
    let demand = Demand {
        service: &service,
        home: &home,
        load: request,
        engine_memory,
        affinity: None,
        prompt_location: None,
        is_continuation: false,
        tried: &[],
        connected: &HashSet::new(),
        suspect_content: None,
        overcommit: engine_memory.is_some(),
        reported: &ReportedLoad::default(),
        versions: &VersionRule::ANY,
        limits: &LimitedUpstreams::NONE,
        now,
    };
    choose_upstream(&table, &demand, &mut fastrand::Rng::with_seed(1))
}

#[test]
fn nothing_is_queued_at_a_brittle_upstream_nor_is_an_engine_overcommitted() {
    for engine_memory in [None, Some(1_000_000)] {
        let choice = choice_at_full_upstream(false, engine_memory);
        assert!(matches!(choice, Choice::Upstream(_)));
        let choice = choice_at_full_upstream(true, engine_memory);
        assert_eq!(choice, Choice::None(NoUpstream::AllFull));
    }
}

/// A router that is refused whenever it tries, at most once a millisecond.
fn refusals_of_a_router_that_is_always_refused(max_refusals: u32, seed: u64) -> Vec<Duration> {
    let start = Instant::now();
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut brittleness = brittle(max_refusals);
    let mut now = Duration::ZERO;
    let mut refusals = Vec::new();
    while now < 10 * SECOND {
        refusals.push(now);
        let pause = brittleness.on_refusal(start + now, &mut rng);
        now += pause.unwrap_or_default() + Duration::from_millis(1);
    }
    refusals
}

quickcheck! {
    fn a_router_that_is_always_refused_stays_within_what_the_upstream_survives(
        max_refusals: u8,
        seed: u64
    ) -> bool {
        let max_refusals = u32::from(max_refusals).max(1);
        let refusals = refusals_of_a_router_that_is_always_refused(max_refusals, seed);
        let within = |first: &Duration| {
            let of_second = refusals.iter().filter(|at| **at >= *first && **at < *first + SECOND);
            of_second.count()
        };
        refusals.iter().all(|first| within(first) <= max_refusals as usize)
    }
}
