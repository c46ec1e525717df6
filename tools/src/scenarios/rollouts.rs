//! Roll-outs of good and bad versions on the decisions, in simulated time.

use super::plays::play_all;
use crate::report::Figures;
use crate::rollout_play::{PlayOutcome, PlaySpec, SharedFault, VersionFault, play};
use serde_json::{Value, json};
use std::time::Duration;

/// The operator's bound: the users' sheet's.
const SHARE: f64 = 0.1;
const SLACK: f64 = 50.0;
/// Seeds of each good version, whose false alarms are rare, and of each bad one.
const GOOD_SEEDS: u64 = 1_000;
const BAD_SEEDS: u64 = 100;
/// Upstreams that fail almost half of their requests whatever their version: the sheet's part.
const GREY: f64 = 0.14;

/// Faults of both versions that begin while the new one gets more and more requests.
const SHARED_FAULTS: [SharedFault; 2] = [
    SharedFault {
        from: 0.55,
        failing: 0.3,
        slow: 0.0,
    },
    SharedFault {
        from: 0.55,
        failing: 0.0,
        slow: 0.3,
    },
];

type Make = fn(u64, usize, VersionFault) -> PlaySpec;

/// Plays each kind of version at 60 and 300 routers.
pub fn run(seed: u64) -> Figures {
    let faults = [
        VersionFault::Fails(0.4),
        VersionFault::Fails(0.15),
        VersionFault::FailsFrom(0.3, 0.4),
        VersionFault::FailsFrom(0.55, 0.4),
        VersionFault::Slow(5.0),
        VersionFault::Slow(3.0),
        VersionFault::SlowUnderLoad(5.0),
        VersionFault::FailsOnOneRoute(0.5),
    ];
    let services: [(&str, Make); 2] = [
        ("lookups", PlaySpec::lookups),
        ("streams", PlaySpec::streams),
    ];
    let mut rows = Vec::new();
    for (service, make) in services {
        for routers in [60, 300] {
            for grey in [0.0, GREY] {
                let good = move |seed| PlaySpec {
                    grey,
                    ..make(seed, routers, VersionFault::Good)
                };
                let name = format!("good, grey upstreams {grey}");
                rows.push(row(service, routers, &name, seed, GOOD_SEEDS, good));
            }
            for shared_fault in SHARED_FAULTS {
                let good = move |seed| PlaySpec {
                    shared_fault: Some(shared_fault),
                    ..make(seed, routers, VersionFault::Good)
                };
                let name = format!("good, {shared_fault:?} of both versions");
                rows.push(row(service, routers, &name, seed, BAD_SEEDS, good));
            }
            for fault in faults {
                let bad = move |seed| make(seed, routers, fault);
                let name = format!("{fault:?}");
                rows.push(row(service, routers, &name, seed, BAD_SEEDS, bad));
            }
        }
    }
    let mut figures = Figures::default();
    figures.count("rollouts", rows);
    figures
}

fn row(
    service: &str,
    routers: usize,
    version: &str,
    first_seed: u64,
    seeds: u64,
    make: impl Fn(u64) -> PlaySpec + Copy + Send + 'static,
) -> Value {
    let outcomes = play_all(first_seed, seeds, move |seed| play(make(seed)));
    let count = |holds: fn(&PlayOutcome) -> bool| outcomes.iter().filter(|o| holds(o)).count();
    let times = |time: fn(&PlayOutcome) -> Option<Duration>| -> Vec<f64> {
        let mut times: Vec<f64> = outcomes.iter().filter_map(time).map(seconds).collect();
        times.sort_by(f64::total_cmp);
        let at = |part: f64| times.get((part * (times.len().max(1) - 1) as f64) as usize);
        [0.0, 0.5, 1.0]
            .iter()
            .filter_map(|p| at(*p).copied())
            .collect()
    };
    json!({
        "service": service, "routers": routers, "version": version, "plays": seeds,
        "completed": count(|o| o.completed.is_some()),
        "rolled_back": count(|o| o.rolled_back.is_some()),
        "beyond_the_bound": count(|o| o.beyond_bound(SHARE, SLACK) > 0.0),
        "cut": outcomes.iter().map(|o| o.cut).sum::<u32>(),
        "seconds_to_complete_least_median_most": times(|o| o.completed),
        "seconds_to_roll_back_least_median_most": times(|o| o.rolled_back),
        "seconds_after_50_bad_answers_most": times(|o| o.last_after_bad).last(),
    })
}

fn seconds(time: Duration) -> f64 {
    (time.as_secs_f64() * 100.0).round() / 100.0
}
