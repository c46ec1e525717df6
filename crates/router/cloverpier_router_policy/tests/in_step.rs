//! Whether a confirmation of the list counts at a router that may be out of step.

use cloverpier_router_policy::stream_version::in_step::{
    Fleet, InStep, PAUSE_THRESHOLD, SILENCE_LIMIT,
};
use std::time::{Duration, Instant};

const PERIOD: Duration = Duration::from_millis(200);

/// A router whose periodic work was done and that heard a peer just now.
fn running(now: Instant) -> InStep {
    let mut in_step = InStep::default();
    in_step.on_period(now, now + PERIOD);
    in_step.on_message(now);
    in_step
}

#[test]
fn an_older_confirmation_counts_at_a_router_in_step() {
    let start = Instant::now();
    let now = start + Duration::from_secs(5);
    assert!(running(now).trusts(start, Fleet::Small, false, now));
}

#[test]
fn a_confirmation_from_before_a_pause_does_not_count() {
    let start = Instant::now();
    let mut in_step = running(start);
    let resumed = start + PERIOD + PAUSE_THRESHOLD + Duration::from_millis(1);
    assert!(!in_step.trusts(start, Fleet::Small, false, resumed));
    assert!(in_step.on_period(resumed, resumed + PERIOD));
    in_step.on_message(resumed);
    assert!(!in_step.trusts(start, Fleet::Small, false, resumed));
    assert!(in_step.trusts(resumed, Fleet::Small, false, resumed));
}

#[test]
fn without_word_of_peers_only_a_recent_confirmation_counts() {
    let start = Instant::now();
    let mut in_step = running(start);
    let now = start + SILENCE_LIMIT + Duration::from_millis(1);
    in_step.on_period(start + PERIOD * 2, start + PERIOD * 3);
    assert!(!in_step.trusts(start, Fleet::Small, false, now));
    assert!(in_step.trusts(now, Fleet::Small, false, now));
    assert!(in_step.trusts(start, Fleet::Alone, false, now));
    assert!(in_step.trusts(start, Fleet::Large, false, now));
}

#[test]
fn no_confirmation_counts_beside_a_newer_list() {
    let now = Instant::now();
    assert!(!running(now).trusts(now, Fleet::Small, true, now));
}
