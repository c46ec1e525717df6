//! Whether a router reaches the upstreams of a service, by its own calls.

use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::reachability::{Reachability, ReachabilityChange};
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
