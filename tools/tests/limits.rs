//! Upstreams that name how many requests a second they take from all routers together, played on the
//! decisions.
//!
//! The users allow one and a half times that and five requests in 4 s, of the routers that have passed
//! such an answer on. Here all routers count, and half of that leeway is left to the network.

use cloverpier_tools::limit_play::{KNOWN_AFTER, LimitOutcome, LimitSpec, Trouble, Way, play};
use quickcheck::{Gen, QuickCheck};
use std::time::Duration;

/// Requests beyond what an upstream takes in a window.
const MOST_BEYOND: f64 = 5.0;
/// The part of what an upstream takes that is used at least.
const LEAST_USED: f64 = 0.9;

const TROUBLES: [Trouble; 6] = [
    Trouble::None,
    Trouble::CutOff,
    Trouble::CutInTwo,
    Trouble::Replaced,
    Trouble::LimitersKilled,
    Trouble::LimitersFrozen,
];

/// Plays a size, with a tenth of the demand of the usual play where that takes long.
fn play_at(seed: u64, routers: usize, trouble: Trouble) -> (LimitSpec, LimitOutcome) {
    let spec = LimitSpec {
        trouble,
        requests: 200.0,
        ..LimitSpec::new(seed, routers, 12)
    };
    (spec, play(spec))
}

#[track_caller]
fn assert_within(spec: &LimitSpec, outcome: &LimitOutcome) {
    assert!(outcome.most_beyond <= MOST_BEYOND, "{spec:?}: {outcome:?}");
    assert!(outcome.known_after <= KNOWN_AFTER, "{spec:?}: {outcome:?}");
    // The others take what it does not.
    assert_eq!(outcome.refused, 0, "{spec:?}: {outcome:?}");
}

fn holds_at(routers: usize, seeds: u64) {
    for trouble in TROUBLES {
        for seed in 1..=seeds {
            let (spec, outcome) = play_at(seed, routers, trouble);
            assert_within(&spec, &outcome);
            if trouble == Trouble::None {
                assert!(outcome.mean_used >= LEAST_USED, "{spec:?}: {outcome:?}");
                assert_eq!(outcome.starved, 0, "{spec:?}: {outcome:?}");
            }
        }
    }
}

#[test]
fn eight_routers_send_no_more_together_than_an_upstream_takes() {
    holds_at(8, 40);
}

#[test]
fn sixty_routers_send_no_more_together_than_an_upstream_takes() {
    holds_at(60, 3);
}

#[test]
fn hundreds_of_routers_send_no_more_together_than_an_upstream_takes() {
    holds_at(295, 1);
}

#[test]
fn a_thousand_routers_send_no_more_together_than_an_upstream_takes() {
    let (spec, outcome) = play_at(1, 986, Trouble::None);
    assert_within(&spec, &outcome);
    assert!(outcome.mean_used >= LEAST_USED, "{outcome:?}");
}

#[test]
fn datagrams_that_are_lost_cost_use_and_not_the_limit() {
    for seed in 1..=40 {
        let spec = LimitSpec {
            loss: 0.2,
            requests: 200.0,
            ..LimitSpec::new(seed, 8, 12)
        };
        let outcome = play(spec);
        assert!(outcome.most_beyond <= MOST_BEYOND, "{spec:?}: {outcome:?}");
    }
}

#[test]
fn callers_of_a_service_that_limits_itself_come_back_in_turn() {
    for seed in 1..=40 {
        let spec = LimitSpec {
            limited: 4,
            requests: 60.0,
            ..LimitSpec::new(seed, 8, 4)
        };
        let outcome = play(spec);
        assert!(outcome.most_beyond <= MOST_BEYOND, "{spec:?}: {outcome:?}");
        assert!(outcome.mean_used >= LEAST_USED, "{spec:?}: {outcome:?}");
        assert!(outcome.refused > 0, "{spec:?}: {outcome:?}");
        assert!(outcome.same_retry < 0.1, "{spec:?}: {outcome:?}");
        // Nobody waits longer than it may, and a question's way.
        let most = spec.max_wait + 2 * Duration::from_millis(30);
        assert!(outcome.mean_wait <= most, "{spec:?}: {outcome:?}");
    }
}

#[test]
fn a_share_for_each_router_does_not_hold_a_limit() {
    let spec = LimitSpec {
        way: Way::Shares,
        requests: 600.0,
        ..LimitSpec::new(1, 60, 12)
    };
    assert!(play(spec).most_beyond > MOST_BEYOND);
}

fn holds_with(seed: u64, routers: u8, rate: u16, loss: u8) -> bool {
    let spec = LimitSpec {
        rate: 0.2 + f64::from(rate % 400) / 10.0,
        loss: f64::from(loss % 20) / 100.0,
        requests: 150.0,
        length: Duration::from_secs(14),
        ..LimitSpec::new(seed, usize::from(routers % 20) + 1, 6)
    };
    play(spec).most_beyond <= MOST_BEYOND
}

#[test]
fn any_limit_holds_at_any_size() {
    let property: fn(u64, u8, u16, u8) -> bool = holds_with;
    let seeded = Gen::from_size_and_seed(100, 1);
    QuickCheck::new().rng(seeded).quickcheck(property);
}
