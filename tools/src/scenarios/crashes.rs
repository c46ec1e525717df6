//! Requests that crash upstreams, on the decisions, in simulated time.

use super::plays::play_all;
use crate::crash_play::{Counting, CrashOutcome, CrashSpec, Pauses, Trouble, Waiting, play};
use crate::report::Figures;
use cloverpier_crashes::tracker::MAX_HOLD;
use serde_json::{Value, json};
use std::time::Duration;

/// Routers, engines, and seeds: the users' sheets from the smallest to the largest.
const SIZES: [(usize, usize, u64); 3] = [(8, 24, 40), (60, 280, 20), (295, 518, 8)];

type Change = fn(CrashSpec) -> CrashSpec;

/// What is played, by name.
const CASES: [(&str, Change); 16] = [
    ("two contents", |spec| spec),
    ("six contents", |spec| CrashSpec {
        contents: 6,
        ..spec
    }),
    ("five repeats a second, at once", |spec| CrashSpec {
        repeat_each: Duration::from_millis(200),
        are_cached: true,
        ..spec
    }),
    ("twenty repeats a second, at once", |spec| CrashSpec {
        repeat_each: Duration::from_millis(50),
        are_cached: true,
        ..spec
    }),
    ("others in eight equal copies", |spec| CrashSpec {
        copies: 8,
        ..spec
    }),
    ("a fifth of the routers cut off", |spec| CrashSpec {
        trouble: Trouble::CutOff,
        ..spec
    }),
    ("two routers killed at each content's crash", |spec| {
        CrashSpec {
            trouble: Trouble::KilledAtCrash,
            ..spec
        }
    }),
    ("routers replaced in turn", |spec| CrashSpec {
        trouble: Trouble::RolledOut,
        ..spec
    }),
    ("all routers start anew", |spec| CrashSpec {
        trouble: Trouble::AllStartAnew,
        ..spec
    }),
    ("none", |spec| CrashSpec {
        contents: 0,
        ..spec
    }),
    ("engines pause before they crash", |spec| CrashSpec {
        pauses: Pauses::BeforeCrashes,
        ..spec
    }),
    ("engines pause", |spec| CrashSpec {
        pauses: Pauses::Engines,
        deaths: false,
        ..spec
    }),
    (
        "engines pause, data centres die, others in eight copies",
        |spec| CrashSpec {
            pauses: Pauses::Engines,
            copies: 8,
            ..spec
        },
    ),
    ("data centres pause, others in eight copies", |spec| {
        CrashSpec {
            pauses: Pauses::DataCentres,
            copies: 8,
            ..spec
        }
    }),
    (
        "data centres pause and end, others in eight copies",
        |spec| CrashSpec {
            pauses: Pauses::DataCentresThatEnd,
            copies: 8,
            ..spec
        },
    ),
    ("none, engines pause", |spec| CrashSpec {
        contents: 0,
        pauses: Pauses::Engines,
        ..spec
    }),
];

/// Each other way that is compared with the programs' own.
const WAYS: [(&str, Change); 4] = [
    ("as the programs do", |spec| spec),
    ("each end counts in full", |spec| CrashSpec {
        counting: Counting::Plain,
        ..spec
    }),
    ("waits 250 ms at most", |spec| CrashSpec {
        waiting: Waiting::Briefly,
        ..spec
    }),
    ("side by side after the wait", |spec| CrashSpec {
        waiting: Waiting::SideBySide,
        ..spec
    }),
];

/// Plays each case at each size, as the programs decide and in the other ways.
pub fn run(seed: u64) -> Figures {
    let mut rows = Vec::new();
    for (name, change) in CASES {
        for (routers, engines, seeds) in SIZES {
            for (way, decide) in WAYS {
                let make = move |seed| decide(change(CrashSpec::new(seed, routers, engines)));
                let outcomes = play_all(seed, seeds, move |seed| play(make(seed)));
                let played = json!({
                    "contents": name, "routers": routers, "engines": engines,
                    "way": way, "plays": seeds,
                });
                rows.push(row(played, &outcomes));
            }
        }
    }
    let mut figures = Figures::default();
    figures.count("crashes", rows);
    figures
}

fn row(mut played: Value, outcomes: &[CrashOutcome]) -> Value {
    let ends: Vec<usize> = outcomes.iter().flat_map(|o| o.ends.clone()).collect();
    let late: Vec<usize> = outcomes.iter().flat_map(|o| o.late.clone()).collect();
    let mean = ends.iter().sum::<usize>() as f64 / ends.len().max(1) as f64;
    let sum = |count: fn(&CrashOutcome) -> usize| outcomes.iter().map(count).sum::<usize>();
    played["ends_mean"] = json!((mean * 100.0).round() / 100.0);
    played["ends_most"] = json!(ends.iter().max());
    played["late_most"] = json!(late.iter().max());
    played["others"] = json!(sum(|o| o.others));
    played["others_stopped"] = json!(sum(|o| o.stopped));
    played["others_that_lost_two"] = json!(sum(|o| o.unlucky));
    let waited = outcomes.iter().flat_map(|o| &o.waited);
    let longest = waited.clone().max().copied().unwrap_or_default();
    let long = waited.filter(|waited| **waited > MAX_HOLD).count();
    played["others_that_waited_longer_than_250_ms"] = json!(long);
    played["longest_wait_ms"] = json!(longest.as_millis());
    played["most_bytes_of_a_router"] = json!(outcomes.iter().map(|o| o.most_bytes).max());
    played
}
