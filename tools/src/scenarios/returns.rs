//! Callers that return to upstreams which wanted nothing for a time, on the decisions, in simulated time.

use super::plays::play_all;
use crate::report::Figures;
use crate::return_play::{ReturnOutcome, ReturnSpec, Returns, play};
use serde_json::{Value, json};
use std::time::Duration;

/// Seeds of each case.
const SEEDS: u64 = 10;
/// For how long the upstreams want nothing, and the objective of the requests, in seconds.
const TIMES: [(f64, f64); 6] = [
    (1.0, 1.0),
    (1.0, 2.0),
    (2.0, 1.0),
    (2.0, 2.5),
    (2.0, 4.0),
    (4.0, 10.0),
];
/// Parts of what the upstreams can run.
const DEMANDS: [f64; 3] = [0.2, 0.5, 0.8];

/// Plays each case both ways.
pub(super) fn run(seed: u64) -> Figures {
    let mut figures = Figures::default();
    for (wait, objective) in TIMES {
        for demand in DEMANDS {
            let spec = ReturnSpec {
                demand,
                wait: Duration::from_secs_f64(wait),
                objective: Duration::from_secs_f64(objective),
                ..ReturnSpec::new(seed)
            };
            let name =
                format!("nothing wanted for {wait} s, objective {objective} s, demand {demand}");
            figures.count(&name, both_ways(spec));
        }
    }
    figures
}

fn both_ways(spec: ReturnSpec) -> Value {
    let played = [Returns::InOrder, Returns::AtOnce].map(|returns| {
        let play = move |seed| {
            play(ReturnSpec {
                seed,
                returns,
                ..spec
            })
        };
        let mut sum = ReturnOutcome::default();
        for outcome in play_all(spec.seed, SEEDS, play) {
            sum.add(outcome);
        }
        figures_of(sum)
    });
    let [in_order, at_once] = played;
    json!({ "in order": in_order, "at once": at_once })
}

fn figures_of(outcome: ReturnOutcome) -> Value {
    let part = |count: usize| count as f64 / outcome.requests as f64;
    json!({
        "requests": outcome.requests,
        "in time": part(outcome.in_time),
        "refusals a request": part(outcome.refusals),
        "turned away a request": part(outcome.turned_away),
    })
}
