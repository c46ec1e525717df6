//! Callers that return to a service whose upstreams wanted nothing for a time, played on the decisions.

use cloverpier_tools::return_play::{ReturnOutcome, ReturnSpec, Returns, play};
use std::time::Duration;

const SEEDS: u64 = 2;

fn played(spec: ReturnSpec, returns: Returns) -> ReturnOutcome {
    let mut sum = ReturnOutcome::default();
    for seed in 1..=SEEDS {
        sum.add(play(ReturnSpec {
            seed,
            returns,
            ..spec
        }));
    }
    sum
}

/// Guards against callers that are refused again, as they all return at one moment and fill the upstreams.
#[test]
fn callers_that_return_in_order_are_refused_less_and_served_in_time_more() {
    for (wait_s, objective_s, demand) in [(2, 4, 0.5), (2, 4, 0.8), (4, 10, 0.8)] {
        let spec = ReturnSpec {
            demand,
            wait: Duration::from_secs(wait_s),
            objective: Duration::from_secs(objective_s),
            ..ReturnSpec::new(0)
        };
        let in_order = played(spec, Returns::InOrder);
        let at_once = played(spec, Returns::AtOnce);
        assert!(
            in_order.in_time * at_once.requests >= at_once.in_time * in_order.requests
                && 10 * in_order.refusals < 9 * at_once.refusals,
            "{spec:?}: {in_order:?}, {at_once:?}"
        );
    }
}
