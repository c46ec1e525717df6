//! Buckets, shares and the queue over floods and bursts.

use cloverpier_admit::prelude::*;
use cloverpier_core::{AccountName, MemberId};
use quickcheck::quickcheck;
use std::time::{Duration, Instant};

fn waiting(account: &str, priority: u8) -> Waiting {
    Waiting {
        account: AccountName::new(account),
        weight: 1,
        priority,
        cost: 100,
        patience: Duration::from_secs(2),
    }
}

fn order(queue: &mut Queue, now: Instant) -> Vec<u64> {
    std::iter::from_fn(|| queue.pop(now)).map(|t| t.0).collect()
}

#[test]
fn an_account_that_floods_delays_only_itself() {
    let now = Instant::now();
    let mut queue = Queue::default();
    for i in 0..50 {
        queue.push(Ticket(i), &waiting("large", 0), now);
    }
    queue.push(Ticket(100), &waiting("small", 0), now);
    queue.push(Ticket(101), &waiting("small", 0), now);
    let order = order(&mut queue, now);
    let at = |t: u64| order.iter().position(|x| *x == t);
    assert!(at(100) <= Some(1), "{order:?}");
    assert!(at(101) <= Some(3), "{order:?}");
}

#[test]
fn a_heavier_account_gets_its_share() {
    let now = Instant::now();
    let mut queue = Queue::default();
    let mut heavy = waiting("heavy", 0);
    heavy.weight = 3;
    for i in 0..40 {
        queue.push(Ticket(i), &heavy, now);
        queue.push(Ticket(100 + i), &waiting("light", 0), now);
    }
    let first: Vec<u64> = order(&mut queue, now).into_iter().take(20).collect();
    let heavy = first.iter().filter(|t| **t < 100).count();
    assert!((14..=16).contains(&heavy), "{first:?}");
}

#[test]
fn a_higher_priority_goes_first() {
    let now = Instant::now();
    let mut queue = Queue::default();
    queue.push(Ticket(1), &waiting("a", 0), now);
    queue.push(Ticket(2), &waiting("a", 5), now);
    queue.push(Ticket(3), &waiting("b", 9), now);
    assert_eq!(order(&mut queue, now), vec![3, 2, 1]);
}

#[test]
fn a_request_that_would_wait_too_long_is_told_so_at_once() {
    let start = Instant::now();
    let mut queue = Queue::default();
    for i in 0..100 {
        queue.push(Ticket(i), &waiting("a", 0), start);
    }
    // A place comes free each 100 ms.
    for i in 0..20 {
        queue.pop(start + Duration::from_millis(100 * i));
    }
    let step = queue.push(
        Ticket(200),
        &waiting("a", 0),
        start + Duration::from_secs(2),
    );
    assert!(matches!(step, QueueStep::TooLong { wait } if wait > Duration::from_secs(2)));
    let urgent = queue.push(
        Ticket(201),
        &waiting("b", 9),
        start + Duration::from_secs(2),
    );
    assert_eq!(urgent, QueueStep::Waits);
}

#[test]
fn those_whose_time_is_over_are_taken_out() {
    let now = Instant::now();
    let mut queue = Queue::default();
    queue.push(Ticket(1), &waiting("a", 0), now);
    queue.push(Ticket(2), &waiting("a", 0), now + Duration::from_secs(1));
    assert_eq!(queue.expire(now + Duration::from_secs(2)), vec![Ticket(1)]);
    assert_eq!(queue.len(), 1);
}

#[test]
fn a_bucket_tells_when_it_will_have_enough() {
    let now = Instant::now();
    let mut bucket = Bucket::full(10.0, now);
    assert!(bucket.take(20.0, now).is_ok());
    let short = bucket.take(5.0, now).unwrap_err();
    assert_eq!(short.wait, Duration::from_millis(500));
    assert!(bucket.take(5.0, now + short.wait).is_ok());
}

#[test]
fn a_request_larger_than_the_burst_passes_and_leaves_a_debt() {
    let now = Instant::now();
    let mut bucket = Bucket::full(10.0, now);
    assert!(bucket.take(100.0, now).is_ok());
    assert!(bucket.take(1.0, now + Duration::from_secs(5)).is_err());
    assert!(bucket.take(1.0, now + Duration::from_secs(9)).is_ok());
}

#[test]
fn a_limit_moves_to_the_router_that_is_asked() {
    let now = Instant::now();
    let account = AccountName::new("lab");
    let (me, other) = (MemberId::new("r1"), MemberId::new("r2"));
    let (mut mine, mut theirs) = (Demands::default(), Demands::default());
    assert!((mine.share(&account, 2, now) - 1.0).abs() < 1e-9);
    mine.on_asked(&account, 900.0, now);
    theirs.on_asked(&account, 100.0, now);
    mine.on_told(&me, theirs.to_tell(&other, now), now);
    theirs.on_told(&other, mine.to_tell(&me, now), now);
    let (a, b) = (mine.share(&account, 2, now), theirs.share(&account, 2, now));
    assert!((0.8..0.9).contains(&a), "{a}");
    assert!((0.1..0.2).contains(&b), "{b}");
    assert!((a + b - 1.0).abs() < 1e-6);
    // A router that fell silent keeps no share for ever.
    let later = now + Duration::from_secs(11);
    assert!((mine.share(&account, 2, later) - 1.0).abs() < 1e-9);
}

quickcheck! {
    fn a_bucket_never_gives_more_than_its_rate_and_burst(takes: Vec<(u8, u8)>) -> bool {
        let start = Instant::now();
        let mut bucket = Bucket::full(10.0, start);
        let mut now = start;
        let mut given = 0.0;
        for (wait_ms, amount) in takes {
            now += Duration::from_millis(u64::from(wait_ms));
            let amount = f64::from(amount % 20);
            if bucket.take(amount, now).is_ok() {
                given += amount;
            }
        }
        given <= 20.0 + 10.0 * (now - start).as_secs_f64() + 1e-6
    }

    fn everyone_in_line_is_served_once(requests: Vec<(u8, u8)>) -> bool {
        let now = Instant::now();
        let mut queue = Queue::default();
        let mut line = 0;
        for (i, (account, priority)) in requests.iter().enumerate() {
            let req = waiting(&format!("a{}", account % 5), priority % 10);
            queue.push(Ticket(i as u64), &req, now);
            line += 1;
        }
        let mut served = order(&mut queue, now);
        served.sort_unstable();
        served == (0..line).collect::<Vec<u64>>()
    }
}
