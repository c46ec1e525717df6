//! What the answers of an upstream say of its limit, in whatever order they arrive.

use cloverpier_router_policy::limit::{LimitChange, Rate, StatedLimits, WrittenBetween};
use cloverpier_router_policy::prelude::UpstreamKey;
use quickcheck::quickcheck;
use std::time::{Duration, Instant};

const UPSTREAM: UpstreamKey = UpstreamKey(7);
const LONG_AFTER: Duration = Duration::from_secs(30);

fn rate(per_second: f64) -> Rate {
    Rate::per_second(per_second).unwrap()
}

/// An answer to a request that was sent and whose answer arrived so many ms after a moment.
fn written(start: Instant, sent: u64, heard: u64) -> WrittenBetween {
    let at = |ms| start + Duration::from_millis(ms);
    WrittenBetween {
        sent: at(sent),
        heard: at(heard),
    }
}

fn name(limits: &mut StatedLimits, per_second: f64, written: WrittenBetween) -> LimitChange {
    limits.on_named(UPSTREAM, rate(per_second), written, written.heard)
}

fn name_none(limits: &mut StatedLimits, written: WrittenBetween) -> LimitChange {
    limits.on_unnamed(UPSTREAM, written, written.heard)
}

/// The rate long after all of it.
fn rate_of(limits: &StatedLimits, start: Instant) -> Option<Rate> {
    limits.rate(UPSTREAM, start + LONG_AFTER)
}

#[test]
fn the_last_rate_that_was_named_holds() {
    let (mut limits, start) = (StatedLimits::default(), Instant::now());
    let mut named = |per_second, sent, heard| {
        let written = written(start, sent, heard);
        limits.on_named(UPSTREAM, rate(per_second), written, written.heard)
    };
    assert_eq!(named(2.0, 0, 10), LimitChange::Begun(rate(2.0)));
    assert_eq!(named(2.0, 10, 20), LimitChange::Nothing);
    let change = LimitChange::Changed {
        from: rate(2.0),
        to: rate(5.0),
    };
    assert_eq!(named(5.0, 20, 30), change);
    assert_eq!(rate_of(&limits, start), Some(rate(5.0)));
}

#[test]
fn an_answer_that_was_written_before_changes_nothing() {
    let (mut limits, start) = (StatedLimits::default(), Instant::now());
    name(&mut limits, 2.0, written(start, 20, 30));
    let late = written(start, 0, 10);
    let change = name(&mut limits, 1.0, late);
    assert_eq!(change, LimitChange::Nothing);
    assert_eq!(name_none(&mut limits, late), LimitChange::Nothing);
    assert_eq!(rate_of(&limits, start), Some(rate(2.0)));
}

#[test]
fn of_answers_whose_order_is_not_known_the_lower_rate_counts() {
    let (mut limits, start) = (StatedLimits::default(), Instant::now());
    name(&mut limits, 2.0, written(start, 0, 30));
    let beside = written(start, 10, 40);
    name(&mut limits, 4.0, beside);
    assert_eq!(rate_of(&limits, start), Some(rate(2.0)));
    // Nor does one that names nothing end it.
    name_none(&mut limits, beside);
    assert_eq!(rate_of(&limits, start), Some(rate(2.0)));
    name(&mut limits, 1.0, beside);
    assert_eq!(rate_of(&limits, start), Some(rate(1.0)));
}

#[test]
fn an_answer_to_a_later_request_that_names_nothing_ends_it() {
    let (mut limits, start) = (StatedLimits::default(), Instant::now());
    name(&mut limits, 2.0, written(start, 0, 30));
    let change = name_none(&mut limits, written(start, 30, 40));
    assert_eq!(change, LimitChange::Ended(rate(2.0)));
    assert_eq!(rate_of(&limits, start), None);
}

#[test]
fn a_limit_goes_with_the_start_that_named_it() {
    let (mut limits, start) = (StatedLimits::default(), Instant::now());
    name(&mut limits, 2.0, written(start, 0, 30));
    limits.retain(|upstream| upstream == UPSTREAM, start);
    assert_eq!(rate_of(&limits, start), Some(rate(2.0)));
    limits.forget(UPSTREAM);
    assert_eq!(rate_of(&limits, start), None);
}

#[test]
fn a_rate_is_a_number_of_requests_that_somebody_can_mean() {
    assert_eq!(rate(1.5).as_per_second(), 1.5);
    assert_eq!(rate(4.0).interval(), Duration::from_millis(250));
    for per_second in [-1.0, f64::NAN, f64::INFINITY, 1e308, -0.001] {
        assert_eq!(Rate::per_second(per_second), None, "{per_second}");
    }
    // Who takes nothing is asked once in a while.
    assert_eq!(rate(0.0).interval(), Duration::from_secs(10));
}

quickcheck! {
    fn any_rate_has_a_finite_interval(per_second: f64) -> bool {
        let Some(rate) = Rate::per_second(per_second) else {
            return true;
        };
        let interval = rate.interval();
        interval > Duration::ZERO && interval <= Duration::from_secs(10)
    }
}
