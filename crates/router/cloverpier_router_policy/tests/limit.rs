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
fn what_is_sent_rises_by_steps_after_the_end_of_a_limit() {
    let (mut limits, start) = (StatedLimits::default(), Instant::now());
    name(&mut limits, 2.0, written(start, 0, 10));
    let end = written(start, 10, 20);
    name_none(&mut limits, end);
    let after = |seconds| limits.rate(UPSTREAM, end.heard + Duration::from_secs(seconds));
    assert_eq!(after(0), Some(rate(2.0)));
    assert_eq!(after(1), Some(rate(8.0)));
    assert_eq!(after(2), Some(rate(32.0)));
    assert_eq!(after(3), None);
}

#[test]
fn what_is_sent_rises_by_steps_to_a_higher_limit_and_falls_to_a_lower_at_once() {
    let (mut limits, start) = (StatedLimits::default(), Instant::now());
    name(&mut limits, 2.0, written(start, 0, 10));
    let higher = written(start, 10, 20);
    name(&mut limits, 20.0, higher);
    let after =
        |limits: &StatedLimits, ms| limits.rate(UPSTREAM, higher.heard + Duration::from_millis(ms));
    assert_eq!(after(&limits, 0), Some(rate(2.0)));
    assert_eq!(after(&limits, 1_000), Some(rate(8.0)));
    assert_eq!(after(&limits, 2_000), Some(rate(20.0)));
    name(&mut limits, 1.0, written(start, 3_000, 3_020));
    assert_eq!(after(&limits, 3_000), Some(rate(1.0)));
}

#[test]
fn a_limit_that_begins_again_after_its_end_holds_at_once() {
    let (mut limits, start) = (StatedLimits::default(), Instant::now());
    name(&mut limits, 2.0, written(start, 0, 10));
    name_none(&mut limits, written(start, 10, 20));
    let again = written(start, 1_000, 1_010);
    assert_eq!(name(&mut limits, 3.0, again), LimitChange::Begun(rate(3.0)));
    assert_eq!(limits.rate(UPSTREAM, again.heard), Some(rate(3.0)));
}

/// What one router knows, as another one has it that hears of it so many ms later.
fn told(from: &StatedLimits, to: &mut StatedLimits, at: Instant) -> LimitChange {
    let report = from.report(UPSTREAM, None, at).unwrap();
    to.on_report(&report, None, at + Duration::from_millis(2))
}

#[test]
fn a_peer_learns_that_a_limit_begins_and_ends() {
    let (mut one, mut other) = (StatedLimits::default(), StatedLimits::default());
    let start = Instant::now() + LONG_AFTER;
    name(&mut one, 2.0, written(start, 0, 10));
    let at = |ms| start + Duration::from_millis(ms);
    assert_eq!(
        told(&one, &mut other, at(10)),
        LimitChange::Begun(rate(2.0))
    );
    assert_eq!(told(&one, &mut other, at(11)), LimitChange::Nothing);
    name_none(&mut one, written(start, 500, 510));
    assert_eq!(
        told(&one, &mut other, at(510)),
        LimitChange::Ended(rate(2.0))
    );
}

#[test]
fn a_report_of_before_the_end_does_not_begin_a_limit_again() {
    let (mut one, mut other) = (StatedLimits::default(), StatedLimits::default());
    let start = Instant::now() + LONG_AFTER;
    name(&mut one, 2.0, written(start, 0, 10));
    name(&mut other, 2.0, written(start, 0, 12));
    name_none(&mut other, written(start, 500, 510));
    // One has not heard of the end yet, and repeats what it knows.
    let at = start + Duration::from_millis(700);
    assert_eq!(told(&one, &mut other, at), LimitChange::Nothing);
    assert_eq!(rate_of(&other, start), None);
}

#[test]
fn a_report_whose_way_may_have_taken_long_does_not_end_a_limit() {
    let (mut one, mut other) = (StatedLimits::default(), StatedLimits::default());
    let start = Instant::now() + LONG_AFTER;
    name(&mut one, 2.0, written(start, 0, 10));
    name_none(&mut one, written(start, 20, 30));
    let report = one
        .report(UPSTREAM, None, start + Duration::from_millis(30))
        .unwrap();
    // The upstream names it again while the report is under way for 80 ms.
    name(&mut other, 2.0, written(start, 40, 60));
    let arrived = start + Duration::from_millis(110);
    assert_eq!(
        other.on_report(&report, None, arrived),
        LimitChange::Nothing
    );
    assert_eq!(rate_of(&other, start), Some(rate(2.0)));
}

#[test]
fn a_report_of_another_start_says_nothing() {
    let mut one = StatedLimits::default();
    let start = Instant::now() + LONG_AFTER;
    name(&mut one, 2.0, written(start, 0, 10));
    let report = one.report(UPSTREAM, Some(1), start).unwrap();
    let mut other = StatedLimits::default();
    assert_eq!(
        other.on_report(&report, Some(2), start),
        LimitChange::Nothing
    );
    assert_eq!(
        other.on_report(&report, Some(1), start),
        LimitChange::Begun(rate(2.0))
    );
}

#[test]
fn rates_of_peers_are_brought_within_what_counts() {
    assert_eq!(Rate::from(0).interval(), Duration::from_secs(10));
    assert_eq!(Rate::from(u64::MAX), rate(1_000_000.0));
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
