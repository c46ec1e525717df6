//! Buckets, shares and the queue over floods and bursts.

use cloverpier_admit::prelude::*;
use cloverpier_core::AccountName;
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
fn places_that_come_free_in_bursts_are_not_taken_for_a_higher_rate() {
    let start = Instant::now();
    let mut queue = Queue::default();
    for i in 0..270 {
        queue.push(Ticket(i), &waiting("a", 0), start);
    }
    // Forty at once, each second; 110 are left, which take more than two seconds.
    for burst in 0..4 {
        for _ in 0..40 {
            queue.pop(start + Duration::from_secs(burst));
        }
    }
    let now = start + Duration::from_secs(3);
    let step = queue.push(Ticket(300), &waiting("a", 0), now);
    assert!(matches!(step, QueueStep::TooLong { .. }), "{step:?}");
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

fn quota(requests: f64, tokens: f64) -> Quota {
    Quota { requests, tokens }
}

#[test]
fn a_busy_account_is_borrowed_for_about_once_a_second() {
    let start = Instant::now();
    let account = AccountName::new("lab");
    let (mut lender, mut borrowed) = (Lender::default(), Borrowed::default());
    let limit = quota(1_000.0, 1_000_000.0);
    let mut loans = 0;
    for i in 0..1_000 {
        let now = start + Duration::from_millis(10 * i);
        let need = Quota::of_request(100);
        if let SpendStep::Borrow { need, want } = borrowed.spend(&account, need, now) {
            loans += 1;
            match lender.lend(&account, limit, need, want, now) {
                Loan::Lent(lent) => borrowed.on_lent(&account, lent, need, now),
                Loan::Short { .. } => panic!("the limit is ten times the demand"),
            }
        }
    }
    assert!(loans <= 20, "{loans} loans in 10 s");
}

#[test]
fn loans_that_are_not_used_lapse() {
    let now = Instant::now();
    let account = AccountName::new("lab");
    let mut borrowed = Borrowed::default();
    let need = Quota::of_request(10);
    borrowed.on_lent(&account, quota(5.0, 50.0), need, now);
    assert_eq!(borrowed.spend(&account, need, now), SpendStep::Covered);
    let later = now + Duration::from_secs(3);
    let step = borrowed.spend(&account, need, later);
    assert_eq!(step, SpendStep::Borrow { need, want: need });
}

#[test]
fn a_limit_that_is_used_up_is_told_with_the_time_to_come_back() {
    let now = Instant::now();
    let account = AccountName::new("lab");
    let mut lender = Lender::default();
    let limit = quota(10.0, 100.0);
    let need = Quota::of_request(100);
    for _ in 0..2 {
        let loan = lender.lend(&account, limit, need, need, now);
        assert_eq!(loan, Loan::Lent(need));
    }
    let loan = lender.lend(&account, limit, need, need, now);
    assert_eq!(loan, Loan::Short { wait_ms: 1_000 });
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

    fn many_routers_together_spend_no_more_than_the_limit(asks: Vec<(u8, u8, u8)>) -> bool {
        let start = Instant::now();
        let account = AccountName::new("lab");
        let limit = quota(20.0, 200.0);
        let mut lender = Lender::default();
        let mut routers: Vec<Borrowed> = (0..5).map(|_| Borrowed::default()).collect();
        let mut now = start;
        let mut spent = Quota::default();
        for (router, tokens, wait_ms) in asks {
            now += Duration::from_millis(u64::from(wait_ms));
            let borrowed = &mut routers[usize::from(router % 5)];
            let need = Quota::of_request(u32::from(tokens % 40));
            let covered = match borrowed.spend(&account, need, now) {
                SpendStep::Covered => true,
                SpendStep::Borrow { need, want } => {
                    match lender.lend(&account, limit, need, want, now) {
                        Loan::Lent(lent) => {
                            borrowed.on_lent(&account, lent, need, now);
                            true
                        }
                        Loan::Short { .. } => false,
                    }
                }
            };
            if covered {
                spent.requests += need.requests;
                spent.tokens += need.tokens;
            }
        }
        let seconds = (now - start).as_secs_f64();
        let fits = |spent: f64, rate: f64| spent <= rate * (seconds + 2.0) + 1e-6;
        fits(spent.requests, 20.0) && fits(spent.tokens, 200.0)
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
