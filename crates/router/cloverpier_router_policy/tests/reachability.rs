//! Which upstreams a router reaches itself, and which only through peers.

use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::reachability::{
    PATH_CHECK_PERIOD, Reachability, ReachabilityChange, UpstreamPath,
};
use std::time::{Duration, Instant};

fn upstream(name: &str) -> Upstream {
    Upstream {
        name: name.into(),
        service: "lookups".into(),
        address: ([127, 0, 0, 1], 7000).into(),
        data_centre: "hall-a".into(),
        slots: 1,
        draining: false,
        start: None,
    }
}

#[test]
fn one_upstream_that_does_not_respond_leaves_its_service_reachable() {
    let mut reachability = Reachability::default();
    let now = Instant::now();
    for _ in 0..5 {
        assert_eq!(reachability.on_failure(&upstream("a"), now), None);
    }
}

#[test]
fn failures_between_responses_leave_the_service_reachable() {
    let mut reachability = Reachability::default();
    let now = Instant::now();
    for name in ["a", "b", "c", "d"] {
        assert_eq!(reachability.on_failure(&upstream(name), now), None);
        assert_eq!(reachability.on_response(&upstream("e"), now), None);
    }
}

#[test]
fn a_service_is_unreachable_from_the_second_silent_upstream_to_the_next_response() {
    let mut reachability = Reachability::default();
    let start = Instant::now();
    let cut = start + Duration::from_secs(1);
    reachability.on_response(&upstream("a"), start);
    assert_eq!(reachability.on_failure(&upstream("a"), cut), None);
    let unreachable = ReachabilityChange::Unreachable {
        failed: 2,
        last_response: Some(start),
    };
    assert_eq!(
        reachability.on_failure(&upstream("b"), cut),
        Some(unreachable)
    );
    assert_eq!(reachability.on_failure(&upstream("c"), cut), None);
    let reachable = ReachabilityChange::Reachable { since: cut };
    assert_eq!(
        reachability.on_response(&upstream("b"), cut + Duration::from_secs(9)),
        Some(reachable)
    );
}

const SECOND: Duration = Duration::from_secs(1);

/// A router that has lost its paths to some upstreams at `cut`.
fn cut_off_from(names: &[&str], cut: Instant) -> Reachability {
    let mut reachability = Reachability::default();
    for name in names {
        assert!(reachability.on_reached_by_peer(&upstream(name), cut, cut));
    }
    reachability
}

#[test]
fn one_lost_path_says_nothing_of_the_other_upstreams() {
    let reachability = cut_off_from(&["a"], Instant::now());
    assert_eq!(reachability.path(&upstream("a")), UpstreamPath::ThroughPeer);
    assert_eq!(reachability.path(&upstream("b")), UpstreamPath::Direct);
}

#[test]
fn two_lost_paths_put_the_whole_service_behind_peers_and_no_other() {
    let reachability = cut_off_from(&["a", "b"], Instant::now());
    assert_eq!(reachability.path(&upstream("c")), UpstreamPath::ThroughPeer);
    let other = Upstream {
        service: "drafts".into(),
        ..upstream("c")
    };
    assert_eq!(reachability.path(&other), UpstreamPath::Direct);
}

#[test]
fn a_connection_from_before_the_failure_restores_no_path() {
    let cut = Instant::now() + SECOND;
    let mut reachability = cut_off_from(&["a", "b"], cut);
    let before = cut - SECOND / 2;
    assert_eq!(
        reachability.on_working_connection(&upstream("a"), before),
        None
    );
    assert_eq!(reachability.path(&upstream("a")), UpstreamPath::ThroughPeer);
    assert!(reachability.is_cut_off(&"lookups".into()));
}

#[test]
fn a_newer_connection_restores_its_path_and_ends_the_verdict_on_the_service() {
    let cut = Instant::now();
    let mut reachability = cut_off_from(&["a", "b"], cut);
    let restored = reachability.on_working_connection(&upstream("a"), cut + SECOND);
    assert_eq!(restored, Some(cut));
    assert_eq!(reachability.path(&upstream("a")), UpstreamPath::Direct);
    assert_eq!(reachability.path(&upstream("c")), UpstreamPath::Direct);
    // The other path was not tried since.
    assert_eq!(reachability.path(&upstream("b")), UpstreamPath::ThroughPeer);
}

#[test]
fn a_router_that_is_cut_off_checks_one_upstream_at_a_time_and_some_once_one_is_back() {
    let cut = Instant::now();
    let names: Vec<String> = (0..20).map(|n| format!("u{n:02}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut reachability = cut_off_from(&names, cut);
    assert!(reachability.start_due_checks(cut).is_empty());
    let first = reachability.start_due_checks(cut + PATH_CHECK_PERIOD);
    let second = reachability.start_due_checks(cut + PATH_CHECK_PERIOD);
    assert_eq!((first.len(), second.len()), (1, 1));
    assert_ne!(first, second);
    let back = cut + 2 * PATH_CHECK_PERIOD;
    reachability.on_working_connection(&first[0], back);
    assert_eq!(reachability.start_due_checks(back).len(), 8);
}

#[test]
fn lost_paths_to_upstreams_that_are_gone_are_forgotten() {
    let mut reachability = cut_off_from(&["a", "b"], Instant::now());
    reachability.retain(|name| name.as_str() == "a");
    assert_eq!(reachability.lost_paths(), 1);
    assert_eq!(reachability.path(&upstream("c")), UpstreamPath::Direct);
}
