//! Which requests a router accepts while it stops.

use cloverpier_router_policy::lifecycle::{accepts_plain, accepts_streams};
use quickcheck::quickcheck;
use std::time::Duration;

/// The grace period.
const GRACE: Duration = Duration::from_secs(8);
/// Requests that arrive so soon after the termination signal are accepted, as callers keep addresses for a while.
const KEPT_ADDRESSES: Duration = Duration::from_secs(3);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn a_running_router_accepts_all_plain_requests() {
    assert!(accepts_plain(None, Duration::from_secs(3_600), GRACE));
}

#[test]
fn a_router_that_stops_accepts_the_requests_of_callers_that_keep_its_address() {
    assert!(accepts_plain(
        Some(KEPT_ADDRESSES),
        Duration::from_secs(30),
        GRACE
    ));
}

#[test]
fn a_router_that_stops_refuses_a_late_request_that_it_may_have_to_cut() {
    assert!(!accepts_plain(Some(ms(7_000)), ms(1_000), GRACE));
    assert!(accepts_plain(Some(ms(6_000)), ms(1_000), GRACE));
}

/// Guards against a time to accept requests that is longer than the grace period.
#[test]
fn a_router_with_a_short_grace_period_accepts_for_a_part_of_it() {
    let (long, short) = (Duration::from_secs(30), Duration::from_secs(2));
    assert!(accepts_plain(Some(ms(750)), long, short));
    assert!(!accepts_plain(Some(ms(751)), long, short));
    assert!(accepts_streams(Some(ms(625)), None, short));
    assert!(!accepts_streams(Some(ms(626)), None, short));
    assert!(accepts_streams(Some(ms(626)), Some(ms(500)), short));
}

quickcheck! {
    /// A late request that is accepted ends, by its deadline, before the platform kills the router.
    fn no_late_request_outlasts_the_grace_period(passed_ms: u16, left_ms: u16) -> bool {
        let passed = ms(u64::from(passed_ms));
        let left = ms(u64::from(left_ms));
        let is_late = passed > KEPT_ADDRESSES;
        !is_late || !accepts_plain(Some(passed), left, GRACE) || passed + left < GRACE || left.is_zero()
    }
}
