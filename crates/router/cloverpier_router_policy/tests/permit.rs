//! Permits for limited upstreams: the selection of the limiter, the number of granted permits, and the
//! reactions of other routers to refusals and timeouts.

use cloverpier_core::DataCentre;
use cloverpier_router_policy::limit::{LimitStatement, Rate, ResponseInterval};
use cloverpier_router_policy::permit::{
    LimitedUpstream, LimiterMap, PermitAllocation, PermitBucket, PermitDecision, PermitDemand,
    PermitRefusal, PermitReply, PermitRequest, PermitSearch, Permits, RouterLocation,
    is_permit_usable, max_permit_wait,
};
use cloverpier_router_policy::prelude::UpstreamKey;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const UPSTREAM: UpstreamKey = UpstreamKey(7);
/// The longest time until all routers have noticed a change of the live routers.
const HOLD: Duration = Duration::from_secs(1);
/// The time between two calls of [`Permits::on_period`].
const PERIOD: Duration = Duration::from_millis(200);
const NO_WAIT: Duration = Duration::ZERO;

fn router(number: u8) -> SocketAddr {
    ([10, 0, 0, number], 7_000).into()
}

fn locations(numbers: impl IntoIterator<Item = u8>) -> Vec<RouterLocation> {
    let location = |number| RouterLocation {
        router: router(number),
        data_centre: DataCentre::new(format!("hall-{}", number % 2)),
    };
    numbers.into_iter().map(location).collect()
}

fn upstream(data_centre: &DataCentre) -> LimitedUpstream<'_> {
    LimitedUpstream {
        key: UPSTREAM,
        data_centre,
        start_time_ms: None,
    }
}

/// A router that has recorded a limit of an upstream, and the live routers for longer than the hold.
struct TestRouter {
    permits: Permits,
    now: Instant,
    data_centre: DataCentre,
}

impl TestRouter {
    fn new(own: u8, live: &[u8], per_second: f64) -> Self {
        let now = Instant::now();
        let mut tested = Self {
            permits: Permits::new(router(own), now),
            now,
            data_centre: DataCentre::new("hall-0"),
        };
        let rate = Rate::per_second(per_second).unwrap();
        let response = ResponseInterval {
            request_sent_at: now,
            response_received_at: now,
        };
        let statement = LimitStatement::Advertised(rate);
        tested
            .permits
            .on_statement(UPSTREAM, statement, true, response, now);
        tested.run_with(own, live, 0, 3 * HOLD);
        tested
    }

    /// Advances the time by `time`, with the routers `live`, and `lost` others lost recently.
    fn run_with(&mut self, own: u8, live: &[u8], lost: usize, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            let map = LimiterMap::new(router(own), locations(live.iter().copied()), lost);
            self.permits.on_period(Some(map), HOLD, self.now);
            self.now += PERIOD;
        }
    }

    fn decide(&mut self, max_wait: Duration) -> PermitDecision {
        let data_centre = self.data_centre.clone();
        self.permits
            .decide(upstream(&data_centre), max_wait, self.now)
    }

    /// The reply to a permit request from another router.
    fn request_permits(&mut self, count: u32, max_wait: Duration) -> PermitReply {
        let request = PermitRequest {
            number: 1,
            upstream: UPSTREAM,
            count,
            max_wait,
            limit: None,
        };
        let data_centre = self.data_centre.clone();
        let limited = Some(upstream(&data_centre));
        self.permits
            .on_request(router(9), &request, limited, self.now)
    }

    fn limiter(&self) -> Option<SocketAddr> {
        self.permits
            .limiter_of(upstream(&self.data_centre), self.now)
    }
}

fn granted_count(reply: &PermitReply) -> usize {
    reply.allocation.as_ref().map_or(0, |h| h.delays.len())
}

/// The number of the router that is the upstream's limiter in a fleet of four.
fn limiter_of_four() -> u8 {
    let map = LimiterMap::new(router(1), locations(1..=4), 0);
    let limiter = map.limiter_of(UPSTREAM, &DataCentre::new("hall-0"), |_| false);
    (1..=4).find(|n| Some(router(*n)) == limiter).unwrap()
}

#[test]
fn all_routers_find_the_same_limiter_in_the_data_centre_of_the_upstream() {
    let limiter = limiter_of_four();
    assert_eq!(limiter % 2, 0);
    for own in 1..=4 {
        let tested = TestRouter::new(own, &[1, 2, 3, 4], 2.0);
        assert_eq!(tested.limiter(), Some(router(limiter)));
    }
    // Without a router in that data centre, the limiter is in another data centre.
    let map = LimiterMap::new(router(1), locations([1, 3]), 0);
    let elsewhere = map.limiter_of(UPSTREAM, &DataCentre::new("hall-0"), |_| false);
    assert!(elsewhere.is_some());
}

#[test]
fn the_limiter_grants_the_advertised_rate_and_a_small_burst() {
    let limiter = limiter_of_four();
    let mut tested = TestRouter::new(limiter, &[1, 2, 3, 4], 2.0);
    let mut total = 0;
    for _ in 0..100 {
        tested.run_with(limiter, &[1, 2, 3, 4], 0, PERIOD);
        total += granted_count(&tested.request_permits(3, NO_WAIT));
    }
    // Twenty seconds at two permits per second, and the burst.
    assert!((37..=44).contains(&total), "{total}");
}

#[test]
fn after_an_idle_minute_at_most_a_small_burst_is_granted_at_once() {
    let limiter = limiter_of_four();
    let mut tested = TestRouter::new(limiter, &[1, 2, 3, 4], 2.0);
    tested.request_permits(1, NO_WAIT);
    tested.run_with(limiter, &[1, 2, 3, 4], 0, 60 * HOLD);
    // Together with the permits of the rest of a window, the burst is less than five requests beyond the
    // rate.
    assert_eq!(granted_count(&tested.request_permits(20, NO_WAIT)), 4);
}

#[test]
fn a_router_that_is_not_the_limiter_grants_no_permits() {
    let limiter = limiter_of_four();
    let other = (1..=4).find(|n| *n != limiter).unwrap();
    let mut tested = TestRouter::new(other, &[1, 2, 3, 4], 2.0);
    assert_eq!(tested.request_permits(1, NO_WAIT).allocation, None);
    assert_eq!(
        tested.decide(NO_WAIT),
        PermitDecision::RequestFrom(router(limiter))
    );
}

#[test]
fn a_new_limiter_grants_permits_only_after_the_hold() {
    let limiter = limiter_of_four();
    let others: Vec<u8> = (1..=4).filter(|n| *n != limiter).collect();
    let map = LimiterMap::new(router(1), locations(others.iter().copied()), 1);
    let next = map.limiter_of(UPSTREAM, &DataCentre::new("hall-0"), |_| false);
    let next = others.iter().copied().find(|n| Some(router(*n)) == next);
    let next = next.unwrap();
    let mut tested = TestRouter::new(next, &[1, 2, 3, 4], 2.0);
    tested.run_with(next, &others, 1, PERIOD);
    assert_eq!(granted_count(&tested.request_permits(1, NO_WAIT)), 0);
    tested.run_with(next, &others, 1, 2 * HOLD);
    assert_eq!(granted_count(&tested.request_permits(1, NO_WAIT)), 1);
}

#[test]
fn a_paused_limiter_grants_permits_only_after_the_hold() {
    let limiter = limiter_of_four();
    let mut tested = TestRouter::new(limiter, &[1, 2, 3, 4], 2.0);
    assert_eq!(granted_count(&tested.request_permits(1, NO_WAIT)), 1);
    tested.now += 5 * HOLD;
    // Other routers may have granted permits during the pause. The permit request arrives before the first
    // period after the pause.
    assert_eq!(granted_count(&tested.request_permits(1, NO_WAIT)), 0);
    tested.run_with(limiter, &[1, 2, 3, 4], 0, 2 * HOLD);
    assert_eq!(granted_count(&tested.request_permits(1, NO_WAIT)), 1);
}

#[test]
fn both_sides_of_a_network_partition_grant_one_rate_together() {
    let per_window = |live: &[u8], lost| {
        let own = live[0];
        let mut tested = TestRouter::new(own, live, 10.0);
        tested.run_with(own, live, lost, 2 * HOLD);
        let mut total = 0;
        for _ in 0..50 {
            tested.run_with(own, live, lost, PERIOD);
            total += match tested.decide(NO_WAIT) {
                PermitDecision::Granted(_) => {
                    1 + granted_count(&tested.request_permits(5, NO_WAIT))
                }
                _ => granted_count(&tested.request_permits(5, NO_WAIT)),
            };
        }
        total
    };
    // Routers 2 and 4 are each the only one in the upstream's data centre on their side of the partition,
    // and thus the limiter of that side.
    let together = per_window(&[2, 1], 2) + per_window(&[4, 3], 2);
    assert!(together <= 10 * 10 + 10, "{together}");
    assert!(together >= 70, "{together}");
}

#[test]
fn an_unresponsive_limiter_is_replaced_until_it_replies() {
    let limiter = limiter_of_four();
    let other = (1..=4).find(|n| *n != limiter).unwrap();
    let mut tested = TestRouter::new(other, &[1, 2, 3, 4], 2.0);
    let limiter_address = router(limiter);
    assert!(
        !tested
            .permits
            .on_request_timeout(UPSTREAM, limiter_address, tested.now)
    );
    assert!(
        !tested
            .permits
            .on_request_timeout(UPSTREAM, limiter_address, tested.now)
    );
    assert!(
        tested
            .permits
            .on_request_timeout(UPSTREAM, limiter_address, tested.now)
    );
    assert_ne!(tested.limiter(), Some(limiter_address));
    assert_eq!(
        tested.permits.unresponsive_limiters(tested.now),
        [limiter_address]
    );
    // One reply makes the router the limiter again.
    let mut rng = fastrand::Rng::with_seed(1);
    let reply = PermitReply {
        number: 1,
        upstream: UPSTREAM,
        allocation: Some(PermitAllocation::default()),
        limit: None,
    };
    tested
        .permits
        .on_reply(limiter_address, &reply, None, &mut rng, tested.now);
    assert_eq!(tested.limiter(), Some(limiter_address));
}

#[test]
fn a_permit_request_reports_the_limit_to_the_limiter() {
    let limiter = limiter_of_four();
    let other = (1..=4).find(|n| *n != limiter).unwrap();
    let tested = TestRouter::new(other, &[1, 2, 3, 4], 2.0);
    let mut limiter_router = TestRouter::new(limiter, &[1, 2, 3, 4], 2.0);
    limiter_router.permits.limits_mut().remove(UPSTREAM);
    assert_eq!(limiter_router.request_permits(1, NO_WAIT).allocation, None);
    let request = PermitRequest {
        number: 1,
        upstream: UPSTREAM,
        count: 1,
        max_wait: NO_WAIT,
        limit: tested.permits.limits().report(UPSTREAM, None, tested.now),
    };
    let data_centre = limiter_router.data_centre.clone();
    let limited = Some(upstream(&data_centre));
    let reply =
        limiter_router
            .permits
            .on_request(router(other), &request, limited, limiter_router.now);
    assert_eq!(granted_count(&reply), 1);
}

#[test]
fn a_refused_caller_retries_after_those_refused_earlier() {
    let now = Instant::now();
    let mut bucket = PermitBucket::new(0.0, now);
    let demand = |from| PermitDemand {
        from: router(from),
        upstream: UPSTREAM,
        count: 1,
        max_wait: NO_WAIT,
    };
    let mut retries = Vec::new();
    for from in 1..=5 {
        let allocation = bucket.allocate(&demand(from), 2.0, now);
        retries.push(allocation.refusal.unwrap().retry_after);
    }
    let pauses: Vec<Duration> = retries.windows(2).map(|pair| pair[1] - pair[0]).collect();
    let is_evenly_spaced = |pause: &Duration| *pause > Duration::from_millis(500);
    assert!(pauses.iter().all(is_evenly_spaced), "{retries:?}");
}

#[test]
fn a_request_that_can_wait_gets_a_permit_in_advance() {
    let now = Instant::now();
    let mut bucket = PermitBucket::new(0.0, now);
    let demand = PermitDemand {
        from: router(1),
        upstream: UPSTREAM,
        count: 3,
        max_wait: Duration::from_millis(1_100),
    };
    let allocation = bucket.allocate(&demand, 2.0, now);
    assert_eq!(allocation.delays.len(), 2, "{allocation:?}");
    assert!(allocation.delays[1] - allocation.delays[0] > Duration::from_millis(500));
    assert!(allocation.refusal.is_some());
}

#[test]
fn a_request_waits_only_if_no_upstream_accepts_it_at_once() {
    let tested = TestRouter::new(1, &[1, 2, 3, 4], 2.0);
    let max_permit_wait = Duration::from_millis(40);
    let mut search = PermitSearch::new(max_permit_wait);
    assert_eq!(search.max_wait(), NO_WAIT);
    assert!(!search.excludes(&tested.permits, UPSTREAM, tested.now));
    search.on_refused(UPSTREAM, Duration::from_millis(900));
    assert!(search.excludes(&tested.permits, UPSTREAM, tested.now));
    // An upstream that is not limited is never excluded.
    assert!(!search.excludes(&tested.permits, UpstreamKey(8), tested.now));
    assert!(search.begin_waiting());
    assert_eq!(search.max_wait(), max_permit_wait);
    assert!(!search.excludes(&tested.permits, UPSTREAM, tested.now));
    search.on_refused(UPSTREAM, Duration::from_millis(700));
    assert_eq!(search.retry_after(), Some(Duration::from_millis(700)));
    assert!(!search.begin_waiting());
}

#[test]
fn after_a_refusal_an_upstream_is_offered_only_requests_that_wait() {
    let mut tested = TestRouter::new(1, &[1, 2, 3, 4], 2.0);
    let mut rng = fastrand::Rng::with_seed(1);
    let now = tested.now;
    tested
        .permits
        .on_reply(router(2), &refusal(), None, &mut rng, now);
    let mut search = PermitSearch::new(Duration::from_millis(40));
    assert!(search.excludes(&tested.permits, UPSTREAM, now));
    assert!(search.begin_waiting());
    assert!(!search.excludes(&tested.permits, UPSTREAM, now));
}

#[test]
fn after_two_refusals_a_request_is_offered_to_no_other_limited_upstream() {
    let mut tested = TestRouter::new(1, &[1, 2, 3, 4], 2.0);
    let third = UpstreamKey(9);
    let response = ResponseInterval {
        request_sent_at: tested.now,
        response_received_at: tested.now,
    };
    let statement = LimitStatement::Advertised(Rate::per_second(2.0).unwrap());
    tested
        .permits
        .on_statement(third, statement, true, response, tested.now);
    let mut search = PermitSearch::new(NO_WAIT);
    search.on_refused(UPSTREAM, Duration::from_millis(900));
    assert!(!search.excludes(&tested.permits, third, tested.now));
    search.on_refused(UpstreamKey(8), Duration::from_millis(900));
    assert!(search.excludes(&tested.permits, third, tested.now));
}

#[test]
fn a_permit_expires_after_its_due_time() {
    let due = Instant::now();
    assert!(is_permit_usable(due, due));
    assert!(is_permit_usable(due, due + Duration::from_millis(50)));
    assert!(!is_permit_usable(due, due + Duration::from_secs(2)));
}

#[test]
fn a_more_urgent_request_waits_longer_for_a_permit() {
    let left = Duration::from_secs(1);
    let objective = Duration::from_millis(160);
    assert_eq!(
        max_permit_wait(0, objective, left),
        Duration::from_millis(40)
    );
    assert_eq!(
        max_permit_wait(1, objective, left),
        Duration::from_millis(20)
    );
    // A request close to its deadline waits for at most a quarter of the time left.
    let short = Duration::from_millis(40);
    assert_eq!(
        max_permit_wait(0, objective, short),
        Duration::from_millis(10)
    );
}

#[test]
fn after_a_refusal_requests_are_refused_locally_until_the_next_permit() {
    let limiter = limiter_of_four();
    let other = (1..=4).find(|n| *n != limiter).unwrap();
    let mut tested = TestRouter::new(other, &[1, 2, 3, 4], 2.0);
    let mut rng = fastrand::Rng::with_seed(1);
    let now = tested.now;
    let limiter_address = router(limiter);
    tested
        .permits
        .on_reply(limiter_address, &refusal(), None, &mut rng, now);
    assert!(tested.permits.is_backing_off(UPSTREAM, now));
    let retry_of = |tested: &mut TestRouter| match tested.decide(NO_WAIT) {
        PermitDecision::Refused { retry } => retry,
        decision => panic!("{decision:?}"),
    };
    // The callers of locally refused requests retry one after the other.
    let first = retry_of(&mut tested);
    let second = retry_of(&mut tested);
    assert_eq!(first, Duration::from_millis(900 + 1_500));
    assert_eq!(second - first, Duration::from_millis(1_500));
    // A request that can wait until the next permit causes a permit request.
    let patient = Duration::from_millis(450);
    assert_eq!(
        tested.decide(patient),
        PermitDecision::RequestFrom(limiter_address)
    );
    tested.now += Duration::from_millis(400);
    assert_eq!(
        tested.decide(NO_WAIT),
        PermitDecision::RequestFrom(limiter_address)
    );
}

#[test]
fn a_substitute_for_an_unresponsive_limiter_grants_permits_only_after_the_hold() {
    let limiter = limiter_of_four();
    let map = LimiterMap::new(router(1), locations(1..=4), 0);
    let is_unresponsive = |address| address == router(limiter);
    let next = map.limiter_of(UPSTREAM, &DataCentre::new("hall-0"), is_unresponsive);
    let next = (1..=4).find(|n| Some(router(*n)) == next).unwrap();
    let mut tested = TestRouter::new(next, &[1, 2, 3, 4], 2.0);
    for _ in 0..3 {
        tested.permits.on_probe_timeout(router(limiter), tested.now);
    }
    assert_eq!(granted_count(&tested.request_permits(1, NO_WAIT)), 0);
    tested.run_with(next, &[1, 2, 3, 4], 0, 2 * HOLD);
    assert_eq!(granted_count(&tested.request_permits(1, NO_WAIT)), 1);
}

/// A limiter's reply that refuses all permits for the next 400 ms, with 1.5 s between the permits of one
/// router.
fn refusal() -> PermitReply {
    PermitReply {
        number: 1,
        upstream: UPSTREAM,
        allocation: Some(PermitAllocation {
            delays: Vec::new(),
            refusal: Some(PermitRefusal {
                next_permit: Duration::from_millis(400),
                retry_after: Duration::from_millis(900),
                per_router_interval: Duration::from_millis(1_500),
            }),
        }),
        limit: None,
    }
}

#[test]
fn a_raised_limit_ends_the_backoff_at_once() {
    let limiter = limiter_of_four();
    let other = (1..=4).find(|n| *n != limiter).unwrap();
    let mut tested = TestRouter::new(other, &[1, 2, 3, 4], 2.0);
    let mut rng = fastrand::Rng::with_seed(1);
    let (limiter_address, now) = (router(limiter), tested.now);
    tested
        .permits
        .on_reply(limiter_address, &refusal(), None, &mut rng, now);
    assert!(tested.permits.is_backing_off(UPSTREAM, now));
    let response = ResponseInterval {
        request_sent_at: now,
        response_received_at: now,
    };
    let statement = LimitStatement::Advertised(Rate::per_second(5.0).unwrap());
    tested
        .permits
        .on_statement(UPSTREAM, statement, true, response, now);
    assert!(!tested.permits.is_backing_off(UPSTREAM, now));
    assert_eq!(
        tested.decide(NO_WAIT),
        PermitDecision::RequestFrom(limiter_address)
    );
}

#[test]
fn the_backoffs_of_routers_that_were_refused_together_differ() {
    let limiter = limiter_of_four();
    let other = (1..=4).find(|n| *n != limiter).unwrap();
    let is_backing_off = |seed| {
        let mut tested = TestRouter::new(other, &[1, 2, 3, 4], 2.0);
        let mut rng = fastrand::Rng::with_seed(seed);
        let (limiter_address, now) = (router(limiter), tested.now);
        tested
            .permits
            .on_reply(limiter_address, &refusal(), None, &mut rng, now);
        // Half of the random part of the backoff, which begins when the next permit is available.
        let halfway = now + Duration::from_millis(400 + 750);
        tested.permits.is_backing_off(UPSTREAM, halfway)
    };
    let backing_off = (1..=40).filter(|seed| is_backing_off(*seed)).count();
    assert!((10..=30).contains(&backing_off), "{backing_off}");
}
