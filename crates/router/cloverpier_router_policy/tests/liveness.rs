//! When a silent upstream is probed, declared dead, or left for another one.

use cloverpier_router_policy::prelude::*;
use std::time::{Duration, Instant};

const BOUNDS: LivenessBounds = LivenessBounds {
    probe_after: Duration::from_millis(150),
    probe_timeout: Duration::from_millis(200),
    stall_after: Duration::from_millis(1_000),
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Steps once and returns the time at which the caller is to step again; panics for any other step.
fn next_wakeup(
    liveness: &mut Liveness,
    last_activity: Instant,
    probing_since: Option<Instant>,
    now: Instant,
) -> Instant {
    match liveness.step(last_activity, probing_since, now) {
        LivenessStep::WaitUntil(at) => at,
        step => panic!("expected a wait, got {step:?}"),
    }
}

#[test]
fn a_silent_upstream_is_probed_and_then_declared_dead() {
    let start = Instant::now();
    let mut liveness = Liveness::new(BOUNDS, start);
    let probe_at = next_wakeup(&mut liveness, start, None, start);
    assert_eq!(probe_at, start + ms(150));
    assert_eq!(liveness.step(start, None, probe_at), LivenessStep::Probe);
    let dead_at = next_wakeup(&mut liveness, start, Some(probe_at), probe_at);
    assert_eq!(dead_at, start + ms(350));
    let step = liveness.step(start, Some(probe_at), dead_at);
    assert_eq!(step, LivenessStep::UpstreamDead);
}

#[test]
fn data_on_any_connection_shows_that_the_upstream_is_alive() {
    let start = Instant::now();
    let mut liveness = Liveness::new(BOUNDS, start);
    let last_activity = start + ms(140);
    let probe_at = next_wakeup(&mut liveness, last_activity, None, start + ms(150));
    assert_eq!(probe_at, start + ms(290));
    // While the probe is in flight, data arrives on another stream.
    let probing_since = Some(start + ms(290));
    let last_activity = start + ms(400);
    let dead_at = next_wakeup(&mut liveness, last_activity, probing_since, start + ms(440));
    assert_eq!(dead_at, start + ms(600));
}

#[test]
fn a_stream_without_progress_leaves_an_upstream_that_is_alive() {
    let start = Instant::now();
    let mut liveness = Liveness::new(BOUNDS, start);
    let mut now = start;
    let step = loop {
        let last_activity = now;
        match liveness.step(last_activity, None, now) {
            LivenessStep::WaitUntil(at) => now = at,
            step => break step,
        }
    };
    assert_eq!(step, LivenessStep::Stalled);
    assert_eq!(now, start + ms(1_000));
}

#[test]
fn a_stream_with_events_stays_at_its_upstream() {
    let start = Instant::now();
    let mut liveness = Liveness::new(BOUNDS, start);
    for n in 1..50 {
        let now = start + ms(100 * n);
        liveness.on_event(now);
        next_wakeup(&mut liveness, now, None, now);
    }
}

#[test]
fn silence_during_a_pause_of_the_router_does_not_count() {
    let start = Instant::now();
    let mut liveness = Liveness::new(BOUNDS, start);
    let probe_at = next_wakeup(&mut liveness, start, None, start);
    // The timer fires 3 s late: data that the upstream sent during the pause has not been read yet.
    let woken_at = probe_at + ms(3_000);
    let next_probe_at = next_wakeup(&mut liveness, start, None, woken_at);
    assert_eq!(next_probe_at, woken_at + ms(150));
}
