//! A configuration spreads over a fleet with narrow links, in simulated time.
//!
//! What users saw and the order of events: `platform/tests/versions.rs`. Here the same rules
//! run over whole fleets.

use cloverpier_tools::version_spread::{Spread, SpreadOutcome, SpreadSpec};
use std::time::Duration;

/// Within this time of its acknowledgement a configuration has to be in force everywhere.
const APPLY_WITHIN: Duration = Duration::from_millis(3_000);
/// 1,400 and 14,000 routes, compressed; and how long reading them takes at 0.12 of a core, as
/// `cargo measure --scenario versions` measures it, and a half more.
const LARGE: (usize, Duration) = (21_000, Duration::from_millis(13));
const HUGE: (usize, Duration) = (210_000, Duration::from_millis(130));
/// Copies of one change that no router hands out more of.
const FEW_COPIES: usize = 10;

fn spread(routers: usize, (copy_bytes, read_time): (usize, Duration), seed: u64) -> SpreadOutcome {
    let spec = SpreadSpec {
        routers,
        copy_bytes,
        link_mbps: 10.0,
        read_time,
        seed,
    };
    Spread::new(spec).run(&[Duration::ZERO, Duration::from_millis(2_300)])
}

#[test]
fn a_large_configuration_is_in_force_everywhere_in_a_fraction_of_the_bound() {
    for seed in 1..=8 {
        for routers in [8, 72, 300] {
            let outcome = spread(routers, LARGE, seed);
            for last in &outcome.last_in_force {
                assert!(*last < APPLY_WITHIN / 4, "{routers} routers: {outcome:?}");
            }
            assert!(outcome.most_copies <= 2 * FEW_COPIES, "{outcome:?}");
        }
    }
}

#[test]
fn ten_times_as_many_routes_arrive_within_the_bound() {
    for seed in 1..=8 {
        let outcome = spread(72, HUGE, seed);
        for last in &outcome.last_in_force {
            assert!(*last < APPLY_WITHIN, "{outcome:?}");
        }
    }
}

#[test]
fn bytes_grow_with_the_fleet_and_no_faster() {
    let (bytes, _) = LARGE;
    for routers in [8, 72, 300] {
        let outcome = spread(routers, LARGE, 1);
        // Two changes, and now and then a copy that came too late to be of use.
        assert!(outcome.bytes <= 2 * routers * bytes, "{outcome:?}");
    }
}
