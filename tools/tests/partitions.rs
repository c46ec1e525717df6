//! What callers of routers without paths to upstreams get, at four sizes, played on the decisions.

use cloverpier_tools::partition_play::{Cut, PartitionOutcome, PartitionSpec, play};

/// Seeds for fleets of fewer than 100 routers, and for larger ones.
const SEEDS: [u64; 2] = [3, 1];
/// The share of first attempts that are served at cut routers, where at least half of all routers reach everything.
const SERVED_SHARE: f64 = 0.95;
/// The least that the users' rule allows, relative to the others, which serve all here.
const RULE_SHARE: f64 = 2.0 / 3.0;

fn played(spec: PartitionSpec) -> Vec<PartitionOutcome> {
    let seeds = 1..=SEEDS[usize::from(spec.routers >= 100)];
    seeds
        .map(|seed| play(PartitionSpec { seed, ..spec }))
        .collect()
}

#[test]
fn cut_off_routers_serve_nearly_all_while_half_of_the_routers_reach_everything() {
    for (routers, upstreams) in PartitionSpec::SIZES {
        for cut_off in [1, routers / 4, routers / 2] {
            for cut in [Cut::Hangs, Cut::Resets, Cut::LivesOn] {
                let spec = PartitionSpec::new(routers, upstreams, cut_off, cut);
                for outcome in played(spec) {
                    assert!(outcome.share() >= SERVED_SHARE, "{spec:?}: {outcome:?}");
                    assert_eq!(outcome.wrong_verdicts, 0, "{spec:?}");
                }
            }
        }
    }
}

#[test]
fn cut_off_routers_keep_the_rule_while_a_tenth_of_the_routers_reach_everything() {
    for (routers, upstreams) in PartitionSpec::SIZES {
        let cut_off = routers - (routers / 10).max(1);
        for cut in [Cut::Hangs, Cut::Resets] {
            let spec = PartitionSpec::new(routers, upstreams, cut_off, cut);
            for outcome in played(spec) {
                assert!(outcome.share() >= RULE_SHARE, "{spec:?}: {outcome:?}");
            }
        }
    }
}

#[test]
fn dead_upstreams_are_not_taken_for_lost_paths() {
    for (routers, upstreams) in PartitionSpec::SIZES {
        let spec = PartitionSpec::new(routers, upstreams, 0, Cut::DeadUpstreams);
        for outcome in played(spec) {
            assert_eq!(outcome.wrong_verdicts, 0, "{spec:?}");
            assert_eq!(outcome.opened, 0, "{spec:?}");
        }
    }
}
