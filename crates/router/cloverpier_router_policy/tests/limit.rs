//! Rate limits that upstreams advertise: the effect of responses and of peers' reports that arrive in any
//! order, and the valid range of a rate.

use cloverpier_router_policy::limit::{AdvertisedLimits, LimitChange, Rate, ResponseInterval};
use cloverpier_router_policy::prelude::UpstreamKey;
use quickcheck::quickcheck;
use std::time::{Duration, Instant};

const UPSTREAM: UpstreamKey = UpstreamKey(7);
const LONG: Duration = Duration::from_secs(30);

fn rate(per_second: f64) -> Rate {
    Rate::per_second(per_second).unwrap()
}

/// The interval of a response; `sent` and `received` are milliseconds after `start`.
fn response(start: Instant, sent: u64, received: u64) -> ResponseInterval {
    let at = |ms| start + Duration::from_millis(ms);
    ResponseInterval {
        request_sent_at: at(sent),
        response_received_at: at(received),
    }
}

fn advertise(
    limits: &mut AdvertisedLimits,
    per_second: f64,
    response: ResponseInterval,
) -> LimitChange {
    limits.on_advertised(
        UPSTREAM,
        rate(per_second),
        response,
        response.response_received_at,
    )
}

fn advertise_none(limits: &mut AdvertisedLimits, response: ResponseInterval) -> LimitChange {
    limits.on_absent(UPSTREAM, response, response.response_received_at)
}

/// The allowed rate 30 seconds after `start`, when slow start is over.
fn rate_long_after(limits: &AdvertisedLimits, start: Instant) -> Option<Rate> {
    limits.rate(UPSTREAM, start + LONG)
}

#[test]
fn the_last_advertised_rate_applies() {
    let (mut limits, start) = (AdvertisedLimits::default(), Instant::now());
    let mut advertise_at = |per_second, sent, received| {
        let response = response(start, sent, received);
        limits.on_advertised(
            UPSTREAM,
            rate(per_second),
            response,
            response.response_received_at,
        )
    };
    assert_eq!(advertise_at(2.0, 0, 10), LimitChange::Started(rate(2.0)));
    assert_eq!(advertise_at(2.0, 10, 20), LimitChange::Unchanged);
    let change = LimitChange::Changed {
        from: rate(2.0),
        to: rate(5.0),
    };
    assert_eq!(advertise_at(5.0, 20, 30), change);
    assert_eq!(rate_long_after(&limits, start), Some(rate(5.0)));
}

#[test]
fn an_older_response_changes_nothing() {
    let (mut limits, start) = (AdvertisedLimits::default(), Instant::now());
    advertise(&mut limits, 2.0, response(start, 20, 30));
    let older = response(start, 0, 10);
    let change = advertise(&mut limits, 1.0, older);
    assert_eq!(change, LimitChange::Unchanged);
    assert_eq!(advertise_none(&mut limits, older), LimitChange::Unchanged);
    assert_eq!(rate_long_after(&limits, start), Some(rate(2.0)));
}

#[test]
fn of_responses_in_unknown_order_the_lower_rate_applies() {
    let (mut limits, start) = (AdvertisedLimits::default(), Instant::now());
    advertise(&mut limits, 2.0, response(start, 0, 30));
    let concurrent = response(start, 10, 40);
    advertise(&mut limits, 4.0, concurrent);
    assert_eq!(rate_long_after(&limits, start), Some(rate(2.0)));
    // A response without a rate does not end the limit either, as its order is unknown.
    advertise_none(&mut limits, concurrent);
    assert_eq!(rate_long_after(&limits, start), Some(rate(2.0)));
    advertise(&mut limits, 1.0, concurrent);
    assert_eq!(rate_long_after(&limits, start), Some(rate(1.0)));
}

#[test]
fn a_response_without_a_rate_to_a_later_request_ends_the_limit() {
    let (mut limits, start) = (AdvertisedLimits::default(), Instant::now());
    advertise(&mut limits, 2.0, response(start, 0, 30));
    let change = advertise_none(&mut limits, response(start, 30, 40));
    assert_eq!(change, LimitChange::Ended(rate(2.0)));
    assert_eq!(rate_long_after(&limits, start), None);
}

#[test]
fn a_limit_is_kept_until_its_upstream_is_removed() {
    let (mut limits, start) = (AdvertisedLimits::default(), Instant::now());
    advertise(&mut limits, 2.0, response(start, 0, 30));
    limits.retain(|upstream| upstream == UPSTREAM, start);
    assert_eq!(rate_long_after(&limits, start), Some(rate(2.0)));
    limits.remove(UPSTREAM);
    assert_eq!(rate_long_after(&limits, start), None);
}

#[test]
fn the_allowed_rate_grows_by_slow_start_after_a_limit_ends() {
    let (mut limits, start) = (AdvertisedLimits::default(), Instant::now());
    advertise(&mut limits, 2.0, response(start, 0, 10));
    let end = response(start, 10, 20);
    advertise_none(&mut limits, end);
    let after = |seconds| {
        limits.rate(
            UPSTREAM,
            end.response_received_at + Duration::from_secs(seconds),
        )
    };
    assert_eq!(after(0), Some(rate(2.0)));
    assert_eq!(after(1), Some(rate(8.0)));
    assert_eq!(after(2), Some(rate(32.0)));
    assert_eq!(after(3), None);
}

#[test]
fn the_allowed_rate_grows_slowly_to_a_higher_limit_and_drops_to_a_lower_one_at_once() {
    let (mut limits, start) = (AdvertisedLimits::default(), Instant::now());
    advertise(&mut limits, 2.0, response(start, 0, 10));
    let higher = response(start, 10, 20);
    advertise(&mut limits, 20.0, higher);
    let after = |limits: &AdvertisedLimits, ms| {
        limits.rate(
            UPSTREAM,
            higher.response_received_at + Duration::from_millis(ms),
        )
    };
    assert_eq!(after(&limits, 0), Some(rate(2.0)));
    assert_eq!(after(&limits, 1_000), Some(rate(8.0)));
    assert_eq!(after(&limits, 2_000), Some(rate(20.0)));
    advertise(&mut limits, 1.0, response(start, 3_000, 3_020));
    assert_eq!(after(&limits, 3_000), Some(rate(1.0)));
}

#[test]
fn a_limit_that_restarts_after_its_end_applies_at_once() {
    let (mut limits, start) = (AdvertisedLimits::default(), Instant::now());
    advertise(&mut limits, 2.0, response(start, 0, 10));
    advertise_none(&mut limits, response(start, 10, 20));
    let again = response(start, 1_000, 1_010);
    assert_eq!(
        advertise(&mut limits, 3.0, again),
        LimitChange::Started(rate(3.0))
    );
    assert_eq!(
        limits.rate(UPSTREAM, again.response_received_at),
        Some(rate(3.0))
    );
}

/// Sends the report of one router to another, where the report arrives 2 ms after `at`.
fn exchange_report(from: &AdvertisedLimits, to: &mut AdvertisedLimits, at: Instant) -> LimitChange {
    let report = from.report(UPSTREAM, None, at).unwrap();
    to.on_report(&report, None, at + Duration::from_millis(2))
}

#[test]
fn a_peer_receives_the_start_and_the_end_of_a_limit() {
    let (mut sender, mut receiver) = (AdvertisedLimits::default(), AdvertisedLimits::default());
    let start = Instant::now() + LONG;
    advertise(&mut sender, 2.0, response(start, 0, 10));
    let at = |ms| start + Duration::from_millis(ms);
    assert_eq!(
        exchange_report(&sender, &mut receiver, at(10)),
        LimitChange::Started(rate(2.0))
    );
    assert_eq!(
        exchange_report(&sender, &mut receiver, at(11)),
        LimitChange::Unchanged
    );
    advertise_none(&mut sender, response(start, 500, 510));
    assert_eq!(
        exchange_report(&sender, &mut receiver, at(510)),
        LimitChange::Ended(rate(2.0))
    );
}

#[test]
fn a_report_from_before_the_end_does_not_restart_a_limit() {
    let (mut sender, mut receiver) = (AdvertisedLimits::default(), AdvertisedLimits::default());
    let start = Instant::now() + LONG;
    advertise(&mut sender, 2.0, response(start, 0, 10));
    advertise(&mut receiver, 2.0, response(start, 0, 12));
    advertise_none(&mut receiver, response(start, 500, 510));
    // The sender has not received the end of the limit yet and repeats its report.
    let at = start + Duration::from_millis(700);
    assert_eq!(
        exchange_report(&sender, &mut receiver, at),
        LimitChange::Unchanged
    );
    assert_eq!(rate_long_after(&receiver, start), None);
}

#[test]
fn a_report_that_may_have_been_in_transit_for_long_does_not_end_a_limit() {
    let (mut sender, mut receiver) = (AdvertisedLimits::default(), AdvertisedLimits::default());
    let start = Instant::now() + LONG;
    advertise(&mut sender, 2.0, response(start, 0, 10));
    advertise_none(&mut sender, response(start, 20, 30));
    let report = sender
        .report(UPSTREAM, None, start + Duration::from_millis(30))
        .unwrap();
    // The upstream advertises the limit again during the 80 ms for which the report is in transit.
    advertise(&mut receiver, 2.0, response(start, 40, 60));
    let arrived = start + Duration::from_millis(110);
    assert_eq!(
        receiver.on_report(&report, None, arrived),
        LimitChange::Unchanged
    );
    assert_eq!(rate_long_after(&receiver, start), Some(rate(2.0)));
}

#[test]
fn a_report_on_another_incarnation_is_ignored() {
    let mut sender = AdvertisedLimits::default();
    let start = Instant::now() + LONG;
    advertise(&mut sender, 2.0, response(start, 0, 10));
    let report = sender.report(UPSTREAM, Some(1), start).unwrap();
    let mut receiver = AdvertisedLimits::default();
    assert_eq!(
        receiver.on_report(&report, Some(2), start),
        LimitChange::Unchanged
    );
    assert_eq!(
        receiver.on_report(&report, Some(1), start),
        LimitChange::Started(rate(2.0))
    );
}

#[test]
fn rates_from_peers_are_clamped_to_the_valid_range() {
    assert_eq!(Rate::from(0).interval(), Duration::from_secs(10));
    assert_eq!(Rate::from(u64::MAX), rate(1_000_000.0));
}

#[test]
fn a_rate_is_a_finite_number_of_requests_in_the_valid_range() {
    assert_eq!(rate(1.5).as_per_second(), 1.5);
    assert_eq!(rate(4.0).interval(), Duration::from_millis(250));
    for per_second in [-1.0, f64::NAN, f64::INFINITY, 1e308, -0.001] {
        assert_eq!(Rate::per_second(per_second), None, "{per_second}");
    }
    // An upstream that accepts no requests still gets one every ten seconds.
    assert_eq!(rate(0.0).interval(), Duration::from_secs(10));
}

quickcheck! {
    fn every_rate_has_a_finite_interval(per_second: f64) -> bool {
        let Some(rate) = Rate::per_second(per_second) else {
            return true;
        };
        let interval = rate.interval();
        interval > Duration::ZERO && interval <= Duration::from_secs(10)
    }
}
