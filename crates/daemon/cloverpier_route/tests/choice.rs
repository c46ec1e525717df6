//! Tests of the choice among leaving, failing and full upstreams, and with outdated load reports.

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

fn view_of(count: u16) -> UpstreamView {
    let mut view = UpstreamView::new("gye-sur".into(), &"vm-1".into());
    view.apply(&config_of(count));
    view
}

fn choose(
    view: &UpstreamView,
    request: &RouteRequest,
    now: Instant,
    seed: u64,
) -> Option<UpstreamName> {
    match view.choose(request, now, &mut fastrand::Rng::with_seed(seed)) {
        Choice::Chosen(chosen) => Some(chosen.upstream),
        Choice::Full | Choice::NoneAvailable => None,
    }
}

fn report(running: u32, at: Instant) -> LoadReport {
    LoadReport {
        running,
        waiting: 0,
        measured_at: at,
    }
}

#[test]
fn an_upstream_in_its_wait_period_is_not_chosen() {
    let now = Instant::now();
    let wait = Duration::from_secs(3);
    let mut view = view_of(2);
    let request = RouteRequest::new("drafts".into());
    assert!(view.on_wait(&name(1), wait, now));
    // A shorter time that the upstream requests later has no effect.
    assert!(!view.on_wait(&name(1), wait / 3, now));
    for seed in 0..50 {
        assert_eq!(choose(&view, &request, now, seed), Some(name(2)));
    }
    assert_eq!(view.wait_of_service(&request.service, now), None);
    view.on_wait(&name(2), wait * 2, now);
    assert_eq!(choose(&view, &request, now, 1), None);
    assert_eq!(view.wait_of_service(&request.service, now), Some(wait));
    assert_eq!(choose(&view, &request, now + wait, 1), Some(name(1)));
}

#[test]
fn a_leaving_upstream_is_not_chosen_even_as_a_last_resort() {
    let now = Instant::now();
    let mut view = view_of(2);
    view.mark_leaving(&name(1));
    view.on_failure(&name(2), now);
    let mut request = RouteRequest::new("drafts".into());
    request.failed.push(name(2));
    request.overcommit = true;
    for seed in 0..50 {
        assert_eq!(choose(&view, &request, now, seed), Some(name(2)));
    }
    view.mark_leaving(&name(2));
    let choice = view.choose(&request, now, &mut fastrand::Rng::with_seed(1));
    assert_eq!(choice, Choice::NoneAvailable);
}

#[test]
fn a_leave_mark_outlives_a_configuration_update() {
    let now = Instant::now();
    let mut view = view_of(1);
    view.mark_leaving(&name(1));
    view.apply(&config_of(1));
    assert_eq!(
        choose(&view, &RouteRequest::new("drafts".into()), now, 1),
        None
    );
    let mut updated = config_of(1);
    for upstream in updated.upstreams.values_mut() {
        upstream.incarnation = 2;
    }
    view.apply(&updated);
    assert_eq!(
        choose(&view, &RouteRequest::new("drafts".into()), now, 1),
        Some(name(1))
    );
}

#[test]
fn an_upstream_that_leaves_by_the_configuration_is_not_chosen() {
    let now = Instant::now();
    let mut view = UpstreamView::new("gye-sur".into(), &"vm-1".into());
    let mut config = config_of(1);
    for upstream in config.upstreams.values_mut() {
        upstream.state = UpstreamState::Leaving;
    }
    view.apply(&config);
    assert_eq!(
        choose(&view, &RouteRequest::new("drafts".into()), now, 1),
        None
    );
}

#[test]
fn a_failed_upstream_is_avoided_for_a_time_that_doubles() {
    let now = Instant::now();
    let mut view = view_of(2);
    view.on_failure(&name(1), now);
    let request = RouteRequest::new("drafts".into());
    let is_picked = |view: &UpstreamView, at| -> bool {
        (0..40).any(|seed| choose(view, &request, at, seed) == Some(name(1)))
    };
    assert!(!is_picked(&view, now + Duration::from_millis(400)));
    assert!(is_picked(&view, now + Duration::from_millis(600)));
    view.on_failure(&name(1), now);
    assert!(!is_picked(&view, now + Duration::from_millis(900)));
    view.on_success(&name(1));
    assert!(is_picked(&view, now));
}

#[test]
fn requests_started_after_a_load_report_are_counted() {
    let now = Instant::now();
    let mut view = view_of(1);
    view.on_load_report(&name(1), report(0, now));
    let request = RouteRequest::new("drafts".into());
    for i in 1..=16 {
        assert!(choose(&view, &request, now, 1).is_some(), "slot {i}");
        view.on_started(&name(1), None, now + Duration::from_millis(i));
    }
    assert_eq!(choose(&view, &request, now, 1), None);
    // The same report again, as a slow upstream sends it.
    view.on_load_report(&name(1), report(0, now));
    assert_eq!(choose(&view, &request, now, 1), None);
    // The report includes the requests, which must not be counted twice.
    view.on_load_report(&name(1), report(16, now + Duration::from_secs(1)));
    assert_eq!(view.loads(now), vec![(name(1), 16)]);
    view.on_ended(&name(1));
    assert!(choose(&view, &request, now, 1).is_some());
}

#[test]
fn an_upstream_without_a_load_report_does_not_count_as_idle() {
    let now = Instant::now();
    let mut view = view_of(2);
    view.on_load_report(&name(1), report(3, now));
    let request = RouteRequest::new("drafts".into());
    for seed in 0..50 {
        assert_eq!(choose(&view, &request, now, seed), Some(name(1)));
    }
}

#[test]
fn a_cached_prefix_is_preferred_until_its_upstream_is_busier() {
    let now = Instant::now();
    let mut view = view_of(8);
    for i in 1..=8 {
        view.on_load_report(&name(i), report(0, now));
    }
    let mut request = RouteRequest::new("drafts".into());
    request.prefix = Some(7);
    view.on_started(&name(5), Some(7), now + Duration::from_millis(1));
    for seed in 0..50 {
        assert_eq!(choose(&view, &request, now, seed), Some(name(5)));
    }
    for _ in 0..10 {
        view.on_started(&name(5), None, now + Duration::from_millis(2));
    }
    assert!((0..50).all(|seed| choose(&view, &request, now, seed) != Some(name(5))));
}

#[test]
fn each_router_tracks_few_upstreams_and_every_upstream_is_tracked() {
    let mut trackers = std::collections::BTreeMap::<UpstreamName, u32>::new();
    for vm in 0..40 {
        let mut view = UpstreamView::new("gye-sur".into(), &format!("vm-{vm}").as_str().into());
        view.apply(&config_of(100));
        let tracked = view.tracked();
        assert_eq!(tracked.len(), MAX_TRACKED);
        for one in tracked {
            *trackers.entry(one).or_default() += 1;
        }
    }
    assert_eq!(trackers.len(), 100);
    // 40 routers that track 24 upstreams each are 9.6 trackers per upstream on average.
    assert!(
        trackers.values().all(|n| (2..=20).contains(n)),
        "{trackers:?}"
    );
}

quickcheck! {
    fn leave_marks_merge_to_the_same_set_in_any_order(marks: Vec<(u8, u8)>) -> bool {
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
fn free_slots_are_divided_among_the_routers_that_track_an_upstream() {
    let now = Instant::now();
    let mut view = view_of(1);
    view.set_routers(4);
    view.on_load_report(&name(1), report(0, now));
    let request = RouteRequest::new("drafts".into());
    let mut started = 0;
    while choose(&view, &request, now, 1).is_some() {
        started += 1;
        view.on_started(&name(1), None, now + Duration::from_millis(started));
    }
    assert_eq!(started, 4);
    // The next report contains the actual load by the other routers.
    view.on_load_report(&name(1), report(6, now + Duration::from_secs(1)));
    assert!(choose(&view, &request, now, 1).is_some());
}
