//! Permits for upstreams that limit themselves: who hands them out, how many, and what the others get.

use cloverpier_core::DataCentre;
use cloverpier_router_policy::limit::{LimitStatement, Rate, ResponseInterval};
use cloverpier_router_policy::permit::{
    HandedOut, LimitedUpstream, LimiterMap, PermitAsk, PermitBucket, PermitRefusal, PermitReply,
    PermitRequest, PermitSearch, Permits, RouterPlace, Want, is_usable, patience,
};
use cloverpier_router_policy::prelude::UpstreamKey;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const UPSTREAM: UpstreamKey = UpstreamKey(7);
const HOLD: Duration = Duration::from_secs(1);
const PERIOD: Duration = Duration::from_millis(200);
const NO_WAIT: Duration = Duration::ZERO;

fn router(number: u8) -> SocketAddr {
    ([10, 0, 0, number], 7_000).into()
}

fn places(numbers: impl IntoIterator<Item = u8>) -> Vec<RouterPlace> {
    let place = |number| RouterPlace {
        router: router(number),
        data_centre: DataCentre::new(format!("hall-{}", number % 2)),
    };
    numbers.into_iter().map(place).collect()
}

fn upstream(data_centre: &DataCentre) -> LimitedUpstream<'_> {
    LimitedUpstream {
        key: UPSTREAM,
        data_centre,
        born_ms: None,
    }
}

/// A router that has known the others for long, and that an upstream is limited.
struct Known {
    permits: Permits,
    now: Instant,
    data_centre: DataCentre,
}

impl Known {
    fn new(own: u8, live: &[u8], per_second: f64) -> Self {
        let now = Instant::now();
        let mut known = Self {
            permits: Permits::new(router(own), now),
            now,
            data_centre: DataCentre::new("hall-0"),
        };
        let rate = Rate::per_second(per_second).unwrap();
        let written = ResponseInterval {
            request_sent_at: now,
            response_received_at: now,
        };
        let said = LimitStatement::Advertised(rate);
        known
            .permits
            .on_statement(UPSTREAM, said, true, written, now);
        known.live_for(own, live, 0, 3 * HOLD);
        known
    }

    /// Lets time pass with these routers alive, and some lost.
    fn live_for(&mut self, own: u8, live: &[u8], lost: usize, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            let map = LimiterMap::new(router(own), places(live.iter().copied()), lost);
            self.permits.on_period(Some(map), HOLD, self.now);
            self.now += PERIOD;
        }
    }

    fn want(&mut self, max_wait: Duration) -> Want {
        let data_centre = self.data_centre.clone();
        self.permits
            .want(upstream(&data_centre), max_wait, self.now)
    }

    /// What another router gets that asks.
    fn asked(&mut self, count: u32, max_wait: Duration) -> PermitReply {
        let request = PermitRequest {
            number: 1,
            upstream: UPSTREAM,
            count,
            max_wait,
            limit: None,
        };
        let data_centre = self.data_centre.clone();
        let place = Some(upstream(&data_centre));
        self.permits
            .on_request(router(9), &request, place, self.now)
    }

    fn limiter(&self) -> Option<SocketAddr> {
        self.permits
            .limiter_of(upstream(&self.data_centre), self.now)
    }
}

fn granted(reply: &PermitReply) -> usize {
    reply.handed_out.as_ref().map_or(0, |h| h.waits.len())
}

/// The router among four that hands out the permits.
fn limiter_of_four() -> u8 {
    let map = LimiterMap::new(router(1), places(1..=4), 0);
    let limiter = map.limiter_of(UPSTREAM, &DataCentre::new("hall-0"), |_| false);
    (1..=4).find(|n| Some(router(*n)) == limiter).unwrap()
}

#[test]
fn all_routers_find_the_same_limiter_in_the_data_centre_of_the_upstream() {
    let limiter = limiter_of_four();
    assert_eq!(limiter % 2, 0);
    for own in 1..=4 {
        let known = Known::new(own, &[1, 2, 3, 4], 2.0);
        assert_eq!(known.limiter(), Some(router(limiter)));
    }
    // Where none is left there, one elsewhere.
    let map = LimiterMap::new(router(1), places([1, 3]), 0);
    let elsewhere = map.limiter_of(UPSTREAM, &DataCentre::new("hall-0"), |_| false);
    assert!(elsewhere.is_some());
}

#[test]
fn the_limiter_hands_out_what_the_upstream_takes_and_a_small_burst() {
    let limiter = limiter_of_four();
    let mut known = Known::new(limiter, &[1, 2, 3, 4], 2.0);
    let mut handed_out = 0;
    for _ in 0..100 {
        known.live_for(limiter, &[1, 2, 3, 4], 0, PERIOD);
        handed_out += granted(&known.asked(3, NO_WAIT));
    }
    // Twenty seconds at two a second, and the burst.
    assert!((37..=44).contains(&handed_out), "{handed_out}");
}

#[test]
fn after_a_calm_minute_no_more_than_a_small_burst_is_handed_out_at_once() {
    let limiter = limiter_of_four();
    let mut known = Known::new(limiter, &[1, 2, 3, 4], 2.0);
    known.asked(1, NO_WAIT);
    known.live_for(limiter, &[1, 2, 3, 4], 0, 60 * HOLD);
    // With what is handed out in the rest of a window, less than five beyond the rate.
    assert_eq!(granted(&known.asked(20, NO_WAIT)), 4);
}

#[test]
fn another_router_hands_out_nothing() {
    let limiter = limiter_of_four();
    let other = (1..=4).find(|n| *n != limiter).unwrap();
    let mut known = Known::new(other, &[1, 2, 3, 4], 2.0);
    assert_eq!(known.asked(1, NO_WAIT).handed_out, None);
    assert_eq!(known.want(NO_WAIT), Want::Ask(router(limiter)));
}

#[test]
fn a_router_that_becomes_the_limiter_waits_until_all_have_noticed() {
    let limiter = limiter_of_four();
    let others: Vec<u8> = (1..=4).filter(|n| *n != limiter).collect();
    let map = LimiterMap::new(router(1), places(others.iter().copied()), 1);
    let next = map.limiter_of(UPSTREAM, &DataCentre::new("hall-0"), |_| false);
    let next = others.iter().copied().find(|n| Some(router(*n)) == next);
    let next = next.unwrap();
    let mut known = Known::new(next, &[1, 2, 3, 4], 2.0);
    known.live_for(next, &others, 1, PERIOD);
    assert_eq!(granted(&known.asked(1, NO_WAIT)), 0);
    known.live_for(next, &others, 1, 2 * HOLD);
    assert_eq!(granted(&known.asked(1, NO_WAIT)), 1);
}

#[test]
fn a_limiter_that_stood_still_hands_out_nothing_until_all_have_noticed() {
    let limiter = limiter_of_four();
    let mut known = Known::new(limiter, &[1, 2, 3, 4], 2.0);
    assert_eq!(granted(&known.asked(1, NO_WAIT)), 1);
    known.now += 5 * HOLD;
    // Others may have handed out permits meanwhile, whatever comes first.
    assert_eq!(granted(&known.asked(1, NO_WAIT)), 0);
    known.live_for(limiter, &[1, 2, 3, 4], 0, 2 * HOLD);
    assert_eq!(granted(&known.asked(1, NO_WAIT)), 1);
}

#[test]
fn the_parts_of_a_fleet_that_is_cut_in_two_hand_out_one_rate_together() {
    let per_window = |live: &[u8], lost| {
        let own = live[0];
        let mut known = Known::new(own, live, 10.0);
        known.live_for(own, live, lost, 2 * HOLD);
        let mut handed_out = 0;
        for _ in 0..50 {
            known.live_for(own, live, lost, PERIOD);
            handed_out += match known.want(NO_WAIT) {
                Want::Granted(_) => 1 + granted(&known.asked(5, NO_WAIT)),
                _ => granted(&known.asked(5, NO_WAIT)),
            };
        }
        handed_out
    };
    // Each of the two is alone in the data centre and so the limiter of its part.
    let together = per_window(&[2, 1], 2) + per_window(&[4, 3], 2);
    assert!(together <= 10 * 10 + 10, "{together}");
    assert!(together >= 70, "{together}");
}

#[test]
fn a_limiter_that_does_not_answer_is_passed_over() {
    let limiter = limiter_of_four();
    let other = (1..=4).find(|n| *n != limiter).unwrap();
    let mut known = Known::new(other, &[1, 2, 3, 4], 2.0);
    let asked = router(limiter);
    assert!(!known.permits.on_unanswered(UPSTREAM, asked, known.now));
    assert!(!known.permits.on_unanswered(UPSTREAM, asked, known.now));
    assert!(known.permits.on_unanswered(UPSTREAM, asked, known.now));
    assert_ne!(known.limiter(), Some(asked));
    assert_eq!(known.permits.silent_limiters(known.now), [asked]);
    // One answer is enough to ask it again.
    let mut rng = fastrand::Rng::with_seed(1);
    let reply = PermitReply {
        number: 1,
        upstream: UPSTREAM,
        handed_out: Some(HandedOut::default()),
        limit: None,
    };
    known
        .permits
        .on_reply(asked, &reply, None, &mut rng, known.now);
    assert_eq!(known.limiter(), Some(asked));
}

#[test]
fn whoever_asks_tells_a_limiter_of_a_limit_that_it_does_not_know() {
    let limiter = limiter_of_four();
    let other = (1..=4).find(|n| *n != limiter).unwrap();
    let known = Known::new(other, &[1, 2, 3, 4], 2.0);
    let mut asked = Known::new(limiter, &[1, 2, 3, 4], 2.0);
    asked.permits.limits_mut().remove(UPSTREAM);
    assert_eq!(asked.asked(1, NO_WAIT).handed_out, None);
    let request = PermitRequest {
        number: 1,
        upstream: UPSTREAM,
        count: 1,
        max_wait: NO_WAIT,
        limit: known.permits.limits().report(UPSTREAM, None, known.now),
    };
    let data_centre = asked.data_centre.clone();
    let place = Some(upstream(&data_centre));
    let reply = asked
        .permits
        .on_request(router(other), &request, place, asked.now);
    assert_eq!(granted(&reply), 1);
}

#[test]
fn a_refused_caller_comes_back_after_those_before_it() {
    let now = Instant::now();
    let mut bucket = PermitBucket::new(0.0, now);
    let ask = |from| PermitAsk {
        from: router(from),
        upstream: UPSTREAM,
        count: 1,
        max_wait: NO_WAIT,
    };
    let mut retries = Vec::new();
    for from in 1..=5 {
        let handed_out = bucket.hand_out(&ask(from), 2.0, now);
        retries.push(handed_out.refusal.unwrap().retry);
    }
    let pauses: Vec<Duration> = retries.windows(2).map(|pair| pair[1] - pair[0]).collect();
    let evenly = |pause: &Duration| *pause > Duration::from_millis(500);
    assert!(pauses.iter().all(evenly), "{retries:?}");
}

#[test]
fn a_request_that_can_wait_gets_a_permit_in_advance() {
    let now = Instant::now();
    let mut bucket = PermitBucket::new(0.0, now);
    let ask = PermitAsk {
        from: router(1),
        upstream: UPSTREAM,
        count: 3,
        max_wait: Duration::from_millis(1_100),
    };
    let handed_out = bucket.hand_out(&ask, 2.0, now);
    assert_eq!(handed_out.waits.len(), 2, "{handed_out:?}");
    assert!(handed_out.waits[1] - handed_out.waits[0] > Duration::from_millis(500));
    assert!(handed_out.refusal.is_some());
}

#[test]
fn a_request_waits_only_where_nobody_else_takes_it() {
    let known = Known::new(1, &[1, 2, 3, 4], 2.0);
    let patience = Duration::from_millis(40);
    let mut search = PermitSearch::new(patience);
    assert_eq!(search.max_wait(), NO_WAIT);
    assert!(!search.withholds(&known.permits, UPSTREAM, known.now));
    search.on_refused(UPSTREAM, Duration::from_millis(900));
    assert!(search.withholds(&known.permits, UPSTREAM, known.now));
    // One that is not limited is never withheld.
    assert!(!search.withholds(&known.permits, UpstreamKey(8), known.now));
    assert!(search.begin_waiting());
    assert_eq!(search.max_wait(), patience);
    assert!(!search.withholds(&known.permits, UPSTREAM, known.now));
    search.on_refused(UPSTREAM, Duration::from_millis(700));
    assert_eq!(search.retry(), Some(Duration::from_millis(700)));
    assert!(!search.begin_waiting());
}

#[test]
fn an_upstream_that_has_refused_others_is_offered_a_request_only_where_it_waits() {
    let mut known = Known::new(1, &[1, 2, 3, 4], 2.0);
    let mut rng = fastrand::Rng::with_seed(1);
    let now = known.now;
    known
        .permits
        .on_reply(router(2), &refusal(), None, &mut rng, now);
    let mut search = PermitSearch::new(Duration::from_millis(40));
    assert!(search.withholds(&known.permits, UPSTREAM, now));
    assert!(search.begin_waiting());
    assert!(!search.withholds(&known.permits, UPSTREAM, now));
}

#[test]
fn after_two_refusals_a_request_is_offered_to_no_third_upstream_that_limits_itself() {
    let mut known = Known::new(1, &[1, 2, 3, 4], 2.0);
    let third = UpstreamKey(9);
    let written = ResponseInterval {
        request_sent_at: known.now,
        response_received_at: known.now,
    };
    let said = LimitStatement::Advertised(Rate::per_second(2.0).unwrap());
    known
        .permits
        .on_statement(third, said, true, written, known.now);
    let mut search = PermitSearch::new(NO_WAIT);
    search.on_refused(UPSTREAM, Duration::from_millis(900));
    assert!(!search.withholds(&known.permits, third, known.now));
    search.on_refused(UpstreamKey(8), Duration::from_millis(900));
    assert!(search.withholds(&known.permits, third, known.now));
}

#[test]
fn a_permit_is_not_used_long_after_its_time() {
    let due = Instant::now();
    assert!(is_usable(due, due));
    assert!(is_usable(due, due + Duration::from_millis(50)));
    assert!(!is_usable(due, due + Duration::from_secs(2)));
}

#[test]
fn the_more_urgent_a_request_is_the_longer_it_waits() {
    let left = Duration::from_secs(1);
    let objective = Duration::from_millis(160);
    assert_eq!(patience(0, objective, left), Duration::from_millis(40));
    assert_eq!(patience(1, objective, left), Duration::from_millis(20));
    // One whose time is almost over does not wait it away.
    let short = Duration::from_millis(40);
    assert_eq!(patience(0, objective, short), Duration::from_millis(10));
}

#[test]
fn a_refused_request_is_refused_again_without_an_ask_until_there_may_be_a_permit() {
    let limiter = limiter_of_four();
    let other = (1..=4).find(|n| *n != limiter).unwrap();
    let mut known = Known::new(other, &[1, 2, 3, 4], 2.0);
    let mut rng = fastrand::Rng::with_seed(1);
    let now = known.now;
    let asked = router(limiter);
    known
        .permits
        .on_reply(asked, &refusal(), None, &mut rng, now);
    assert!(known.permits.is_left_out(UPSTREAM, now));
    let retry_of = |known: &mut Known| match known.want(NO_WAIT) {
        Want::Refused { retry } => retry,
        want => panic!("{want:?}"),
    };
    // Each of those that are refused here comes back in a turn of its own.
    let first = retry_of(&mut known);
    let second = retry_of(&mut known);
    assert_eq!(first, Duration::from_millis(900 + 1_500));
    assert_eq!(second - first, Duration::from_millis(1_500));
    // One that can wait until then asks.
    let patient = Duration::from_millis(450);
    assert_eq!(known.want(patient), Want::Ask(asked));
    known.now += Duration::from_millis(400);
    assert_eq!(known.want(NO_WAIT), Want::Ask(asked));
}

#[test]
fn a_router_that_stands_in_for_a_silent_limiter_waits_until_others_have_noticed() {
    let limiter = limiter_of_four();
    let map = LimiterMap::new(router(1), places(1..=4), 0);
    let is_silent = |asked| asked == router(limiter);
    let next = map.limiter_of(UPSTREAM, &DataCentre::new("hall-0"), is_silent);
    let next = (1..=4).find(|n| Some(router(*n)) == next).unwrap();
    let mut known = Known::new(next, &[1, 2, 3, 4], 2.0);
    for _ in 0..3 {
        known.permits.on_silence(router(limiter), known.now);
    }
    assert_eq!(granted(&known.asked(1, NO_WAIT)), 0);
    known.live_for(next, &[1, 2, 3, 4], 0, 2 * HOLD);
    assert_eq!(granted(&known.asked(1, NO_WAIT)), 1);
}

/// A refusal of everything for the next 400 ms, with a turn of 1.5 s.
fn refusal() -> PermitReply {
    PermitReply {
        number: 1,
        upstream: UPSTREAM,
        handed_out: Some(HandedOut {
            waits: Vec::new(),
            refusal: Some(PermitRefusal {
                next: Duration::from_millis(400),
                retry: Duration::from_millis(900),
                turn: Duration::from_millis(1_500),
            }),
        }),
        limit: None,
    }
}

#[test]
fn a_higher_limit_is_asked_for_at_once() {
    let limiter = limiter_of_four();
    let other = (1..=4).find(|n| *n != limiter).unwrap();
    let mut known = Known::new(other, &[1, 2, 3, 4], 2.0);
    let mut rng = fastrand::Rng::with_seed(1);
    let (asked, now) = (router(limiter), known.now);
    known
        .permits
        .on_reply(asked, &refusal(), None, &mut rng, now);
    assert!(known.permits.is_left_out(UPSTREAM, now));
    let written = ResponseInterval {
        request_sent_at: now,
        response_received_at: now,
    };
    let said = LimitStatement::Advertised(Rate::per_second(5.0).unwrap());
    known
        .permits
        .on_statement(UPSTREAM, said, true, written, now);
    assert!(!known.permits.is_left_out(UPSTREAM, now));
    assert_eq!(known.want(NO_WAIT), Want::Ask(asked));
}

#[test]
fn routers_that_were_refused_together_do_not_ask_again_together() {
    let limiter = limiter_of_four();
    let other = (1..=4).find(|n| *n != limiter).unwrap();
    let is_left_out = |seed| {
        let mut known = Known::new(other, &[1, 2, 3, 4], 2.0);
        let mut rng = fastrand::Rng::with_seed(seed);
        let (asked, now) = (router(limiter), known.now);
        known
            .permits
            .on_reply(asked, &refusal(), None, &mut rng, now);
        // Halfway through the turn that begins when the next permit is free.
        let halfway = now + Duration::from_millis(400 + 750);
        known.permits.is_left_out(UPSTREAM, halfway)
    };
    let left_out = (1..=40).filter(|seed| is_left_out(*seed)).count();
    assert!((10..=30).contains(&left_out), "{left_out}");
}
