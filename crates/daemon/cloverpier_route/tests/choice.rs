//! Choices over leaving, failing, lagging and full upstreams.

use cloverpier_config::{Config, Service, Upstream, UpstreamState};
use cloverpier_core::UpstreamName;
use cloverpier_route::prelude::*;
use quickcheck::quickcheck;
use std::time::{Duration, Instant};

fn config_of(count: u16) -> Config {
    let mut config = Config::default();
    config.services.insert("drafts".into(), Service::model("m"));
    for i in 1..=count {
        let at = ([127, 0, 0, 1], i).into();
        let upstream = Upstream::new("drafts".into(), at, "gye-sur".into());
        config.upstreams.insert(name(i), upstream);
    }
    config
}

fn name(i: u16) -> UpstreamName {
    UpstreamName::new(format!("e{i}"))
}

fn view_of(count: u16) -> View {
    let mut view = View::new("gye-sur".into(), &"vm-1".into());
    view.apply(&config_of(count));
    view
}

fn choose(view: &View, ask: &Ask, now: Instant, seed: u64) -> Option<UpstreamName> {
    match view.choose(ask, now, &mut fastrand::Rng::with_seed(seed)) {
        Choice::Chosen(chosen) => Some(chosen.upstream),
        Choice::Full | Choice::Nobody => None,
    }
}

fn report(running: u32, at: Instant) -> LoadReport {
    LoadReport {
        running,
        waiting: 0,
        at,
    }
}

#[test]
fn an_upstream_that_wants_nothing_gets_nothing_until_its_time_is_over() {
    let now = Instant::now();
    let wait = Duration::from_secs(3);
    let mut view = view_of(2);
    let ask = Ask::new("drafts".into());
    assert!(view.on_wait(&name(1), wait, now));
    // A shorter time that it names later changes nothing.
    assert!(!view.on_wait(&name(1), wait / 3, now));
    for seed in 0..50 {
        assert_eq!(choose(&view, &ask, now, seed), Some(name(2)));
    }
    assert_eq!(view.wait_of_service(&ask.service, now), None);
    view.on_wait(&name(2), wait * 2, now);
    assert_eq!(choose(&view, &ask, now, 1), None);
    assert_eq!(view.wait_of_service(&ask.service, now), Some(wait));
    assert_eq!(choose(&view, &ask, now + wait, 1), Some(name(1)));
}

#[test]
fn an_upstream_that_leaves_is_never_chosen_even_as_a_last_resort() {
    let now = Instant::now();
    let mut view = view_of(2);
    view.mark_leaving(&name(1));
    view.on_failure(&name(2), now);
    let mut ask = Ask::new("drafts".into());
    ask.failed.push(name(2));
    ask.overcommit = true;
    for seed in 0..50 {
        assert_eq!(choose(&view, &ask, now, seed), Some(name(2)));
    }
    view.mark_leaving(&name(2));
    let choice = view.choose(&ask, now, &mut fastrand::Rng::with_seed(1));
    assert_eq!(choice, Choice::Nobody);
}

#[test]
fn a_mark_to_leave_outlives_a_configuration_that_does_not_know_it() {
    let now = Instant::now();
    let mut view = view_of(1);
    view.mark_leaving(&name(1));
    view.apply(&config_of(1));
    assert_eq!(choose(&view, &Ask::new("drafts".into()), now, 1), None);
    let mut again = config_of(1);
    for upstream in again.upstreams.values_mut() {
        upstream.incarnation = 2;
    }
    view.apply(&again);
    assert_eq!(
        choose(&view, &Ask::new("drafts".into()), now, 1),
        Some(name(1))
    );
}

#[test]
fn a_router_that_missed_the_mark_learns_it_from_the_configuration_too() {
    let now = Instant::now();
    let mut view = View::new("gye-sur".into(), &"vm-1".into());
    let mut config = config_of(1);
    for upstream in config.upstreams.values_mut() {
        upstream.state = UpstreamState::Leaving;
    }
    view.apply(&config);
    assert_eq!(choose(&view, &Ask::new("drafts".into()), now, 1), None);
}

#[test]
fn an_upstream_that_failed_is_avoided_for_a_while_that_doubles() {
    let now = Instant::now();
    let mut view = view_of(2);
    view.on_failure(&name(1), now);
    let ask = Ask::new("drafts".into());
    let picks = |view: &View, at| -> bool {
        (0..40).any(|seed| choose(view, &ask, at, seed) == Some(name(1)))
    };
    assert!(!picks(&view, now + Duration::from_millis(400)));
    assert!(picks(&view, now + Duration::from_millis(600)));
    view.on_failure(&name(1), now);
    assert!(!picks(&view, now + Duration::from_millis(900)));
    view.on_success(&name(1));
    assert!(picks(&view, now));
}

#[test]
fn work_that_a_lagging_report_does_not_know_is_counted() {
    let now = Instant::now();
    let mut view = view_of(1);
    view.on_report(&name(1), report(0, now));
    let ask = Ask::new("drafts".into());
    for i in 1..=16 {
        assert!(choose(&view, &ask, now, 1).is_some(), "place {i}");
        view.on_started(&name(1), None, now + Duration::from_millis(i));
    }
    assert_eq!(choose(&view, &ask, now, 1), None);
    // The same report again, as a lagging upstream sends it.
    view.on_report(&name(1), report(0, now));
    assert_eq!(choose(&view, &ask, now, 1), None);
    // A report that includes the work isn't counted on top of it.
    view.on_report(&name(1), report(16, now + Duration::from_secs(1)));
    assert_eq!(view.loads(now), vec![(name(1), 16)]);
    view.on_ended(&name(1));
    assert!(choose(&view, &ask, now, 1).is_some());
}

#[test]
fn an_upstream_that_never_reported_is_not_taken_for_idle() {
    let now = Instant::now();
    let mut view = view_of(2);
    view.on_report(&name(1), report(3, now));
    let ask = Ask::new("drafts".into());
    for seed in 0..50 {
        assert_eq!(choose(&view, &ask, now, seed), Some(name(1)));
    }
}

#[test]
fn a_cached_prefix_draws_a_request_until_its_upstream_is_busier() {
    let now = Instant::now();
    let mut view = view_of(8);
    for i in 1..=8 {
        view.on_report(&name(i), report(0, now));
    }
    let mut ask = Ask::new("drafts".into());
    ask.prefix = Some(7);
    view.on_started(&name(5), Some(7), now + Duration::from_millis(1));
    for seed in 0..50 {
        assert_eq!(choose(&view, &ask, now, seed), Some(name(5)));
    }
    for _ in 0..10 {
        view.on_started(&name(5), None, now + Duration::from_millis(2));
    }
    assert!((0..50).all(|seed| choose(&view, &ask, now, seed) != Some(name(5))));
}

#[test]
fn a_router_knows_few_of_many_upstreams_closely_and_all_are_known_to_some() {
    let mut covered = std::collections::BTreeMap::<UpstreamName, u32>::new();
    for vm in 0..40 {
        let mut view = View::new("gye-sur".into(), &format!("vm-{vm}").as_str().into());
        view.apply(&config_of(100));
        let close = view.close();
        assert_eq!(close.len(), CLOSE);
        for one in close {
            *covered.entry(one).or_default() += 1;
        }
    }
    assert_eq!(covered.len(), 100);
    // 40 routers with 24 each are 9.6 for each upstream on average.
    assert!(
        covered.values().all(|n| (2..=20).contains(n)),
        "{covered:?}"
    );
}

quickcheck! {
    fn marks_merge_to_the_same_in_any_order(marks: Vec<(u8, u8)>) -> bool {
        let mark = |(upstream, incarnation): &(u8, u8)| LeaveMark {
            upstream: name(u16::from(*upstream)),
            incarnation: u64::from(*incarnation),
        };
        let mut forward = LeaveMarks::default();
        for one in &marks {
            forward.add(&mark(one));
        }
        let mut backward = LeaveMarks::default();
        for one in marks.iter().rev() {
            let mut single = LeaveMarks::default();
            single.add(&mark(one));
            backward.merge(&single);
        }
        forward == backward && forward.digest() == backward.digest()
    }
}

#[test]
fn free_places_are_shared_with_routers_that_see_them_too() {
    let now = Instant::now();
    let mut view = view_of(1);
    view.set_routers(4);
    view.on_report(&name(1), report(0, now));
    let ask = Ask::new("drafts".into());
    let mut taken = 0;
    while choose(&view, &ask, now, 1).is_some() {
        taken += 1;
        view.on_started(&name(1), None, now + Duration::from_millis(taken));
    }
    assert_eq!(taken, 4);
    // The next report tells what the others really did.
    view.on_report(&name(1), report(6, now + Duration::from_secs(1)));
    assert!(choose(&view, &ask, now, 1).is_some());
}
