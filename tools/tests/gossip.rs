//! Gossip of a large fleet, played on the decisions: what routers know in which time, at which cost.
//!
//! The bounds are the aims: a dead router is known to all within 3 s whatever the fleet's size, and what
//! a router sends while nothing happens does not grow with it.

use cloverpier_tools::gossip_play::{GossipOutcome, GossipSpec, Spread, play};
use std::time::Duration;

const KNOWN_WITHIN: Duration = Duration::from_secs(3);
/// All know all, after all have started at once: well before callers come.
const KNOWN_AT_START: Duration = Duration::from_secs(15);

fn spec(routers: usize, loss: f64, seed: u64) -> GossipSpec {
    GossipSpec {
        routers,
        data_centres: 6,
        loss,
        seed,
    }
}

#[track_caller]
fn assert_within(what: &str, spread: Spread, bound: Duration, outcome: &GossipOutcome) {
    let all = spread.all;
    assert!(all.is_some_and(|all| all <= bound), "{what}: {outcome:#?}");
}

fn holds(routers: usize, loss: f64, seed: u64) -> GossipOutcome {
    let outcome = play(spec(routers, loss, seed));
    println!("{routers} routers, {loss} lost: {outcome:#?}");
    assert_eq!(outcome.taken_for_dead, 0, "{outcome:#?}");
    let started = outcome.start.1;
    assert!(
        started.is_some_and(|started| started <= KNOWN_AT_START),
        "{outcome:#?}"
    );
    assert_within("a death", outcome.death, KNOWN_WITHIN, &outcome);
    assert_within("deaths", outcome.many_deaths, KNOWN_WITHIN * 2, &outcome);
    assert_within("a restart", outcome.restart, KNOWN_WITHIN, &outcome);
    let second = Duration::from_secs(1);
    assert_within("a change", outcome.change, second, &outcome);
    assert_within("a watcher", outcome.watcher_fails, second, &outcome);
    outcome
}

#[test]
fn all_know_soon_what_happens_in_a_fleet_of_three_hundred() {
    for seed in 1..=2 {
        holds(300, 0.0, seed);
    }
}

#[test]
fn all_know_soon_what_happens_though_datagrams_are_lost() {
    holds(300, 0.05, 3);
}
