//! How long a silent upstream is believed in.

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

/// Steps as a timer would: at the moment that was asked for.
fn wait(liveness: &mut Liveness, heard: Instant, asked: Option<Instant>, now: Instant) -> Instant {
    match liveness.step(heard, asked, now) {
        LivenessStep::WaitUntil(at) => at,
        step => panic!("{step:?} instead of a wait"),
    }
}

#[test]
fn a_silent_server_is_asked_and_then_dead() {
    let start = Instant::now();
    let mut liveness = Liveness::new(BOUNDS, start);
    let ask_at = wait(&mut liveness, start, None, start);
    assert_eq!(ask_at, start + ms(150));
    assert_eq!(liveness.step(start, None, ask_at), LivenessStep::Probe);
    let dead_at = wait(&mut liveness, start, Some(ask_at), ask_at);
    assert_eq!(dead_at, start + ms(350));
    let step = liveness.step(start, Some(ask_at), dead_at);
    assert_eq!(step, LivenessStep::UpstreamDead);
}

#[test]
fn whatever_is_heard_from_the_server_is_a_sign_of_life() {
    let start = Instant::now();
    let mut liveness = Liveness::new(BOUNDS, start);
    let heard = start + ms(140);
    let ask_at = wait(&mut liveness, heard, None, start + ms(150));
    assert_eq!(ask_at, start + ms(290));
    // It was asked, and another stream brought something meanwhile.
    let asked = Some(start + ms(290));
    let heard = start + ms(400);
    let dead_at = wait(&mut liveness, heard, asked, start + ms(440));
    assert_eq!(dead_at, start + ms(600));
}

#[test]
fn a_stuck_stream_leaves_a_living_server() {
    let start = Instant::now();
    let mut liveness = Liveness::new(BOUNDS, start);
    let mut now = start;
    let step = loop {
        let heard = now;
        match liveness.step(heard, None, now) {
            LivenessStep::WaitUntil(at) => now = at,
            step => break step,
        }
    };
    assert_eq!(step, LivenessStep::Stalled);
    assert_eq!(now, start + ms(1_000));
}

#[test]
fn events_keep_a_stream_where_it_is() {
    let start = Instant::now();
    let mut liveness = Liveness::new(BOUNDS, start);
    for n in 1..50 {
        let now = start + ms(100 * n);
        liveness.on_event(now);
        wait(&mut liveness, now, None, now);
    }
}

#[test]
fn a_process_that_stood_still_does_not_blame_the_server() {
    let start = Instant::now();
    let mut liveness = Liveness::new(BOUNDS, start);
    let ask_at = wait(&mut liveness, start, None, start);
    // The timer fires 3 s late: what the upstream sent meanwhile is yet to be read.
    let woken = ask_at + ms(3_000);
    let next = wait(&mut liveness, start, None, woken);
    assert_eq!(next, woken + ms(150));
}
