//! Upstreams that say of themselves that they leave or want nothing, played on the decisions.
//!
//! The store is away throughout, and lists in which all are ready arrive late. The bounds are the
//! users': nothing of a router's own after [`DRAIN`], two requests while an upstream wants nothing; and
//! the aim that all routers in touch know of a leaving within a heartbeat.

use cloverpier_tools::statement_play::{StatementOutcome, StatementSpec, Trouble, play};

/// Requests of a router that may reach an upstream which wants nothing: the users' bound.
const MOST_WHILE_WAITING: usize = 2;

#[track_caller]
fn assert_holds(spec: &StatementSpec, outcome: &StatementOutcome) {
    let told = format!("{spec:?}: {outcome:?}");
    assert_eq!(outcome.after_own_answer, 0, "{told}");
    assert_eq!(outcome.after_any_answer, 0, "{told}");
    assert!(outcome.most_while_waiting <= MOST_WHILE_WAITING, "{told}");
    assert_eq!(outcome.unused_starts, 0, "{told}");
}

/// Plays seeds at a size; returns the requests that were refused.
fn holds(seeds: u64, routers: usize, upstreams: usize, trouble: Trouble) -> usize {
    let mut refused = 0;
    for seed in 1..=seeds {
        let spec = StatementSpec {
            trouble,
            loss: 0.0,
            ..StatementSpec::new(seed, routers, upstreams)
        };
        let outcome = play(spec);
        assert_holds(&spec, &outcome);
        refused += outcome.refused;
    }
    refused
}

#[test]
fn what_upstreams_say_binds_all_routers_in_touch() {
    assert_eq!(holds(250, 8, 9, Trouble::None), 0);
    assert_eq!(holds(4, 65, 60, Trouble::None), 0);
}

#[test]
fn what_upstreams_say_binds_routers_that_were_cut_off() {
    assert_eq!(holds(250, 8, 9, Trouble::CutOff), 0);
}

#[test]
fn what_upstreams_say_binds_routers_that_start_anew() {
    assert_eq!(holds(250, 8, 9, Trouble::Replaced), 0);
}

#[test]
fn a_router_that_passed_an_answer_on_is_bound_though_datagrams_are_lost() {
    for seed in 1..=250 {
        let spec = StatementSpec {
            loss: 0.3,
            ..StatementSpec::new(seed, 8, 9)
        };
        let outcome = play(spec);
        assert_eq!(outcome.after_own_answer, 0, "{spec:?}: {outcome:?}");
    }
}

#[test]
fn a_whole_service_that_leaves_serves_for_a_moment_and_gets_nothing_then() {
    for seed in 1..=250 {
        let spec = StatementSpec {
            leavings: 9,
            waits: 0,
            loss: 0.0,
            ..StatementSpec::new(seed, 8, 9)
        };
        let outcome = play(spec);
        assert_eq!(outcome.after_own_answer, 0, "{spec:?}: {outcome:?}");
        assert!(
            outcome.refused < outcome.requests / 4,
            "{spec:?}: {outcome:?}"
        );
    }
}

#[test]
fn news_of_leavings_cost_little_at_hundreds_of_routers() {
    let spec = StatementSpec {
        requests: 300.0,
        ..StatementSpec::new(1, 295, 200)
    };
    let outcome = play(spec);
    assert_eq!(outcome.after_own_answer, 0, "{outcome:?}");
    // In 14 s, of a link that carries 17 million bytes in that time.
    assert!(outcome.most_bytes < 1_700_000, "{outcome:?}");
}
