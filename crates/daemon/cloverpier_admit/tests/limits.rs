//! Tests of token buckets, account quotas and the queue.

use cloverpier_admit::prelude::*;
use cloverpier_core::AccountName;
use quickcheck::quickcheck;
use std::time::{Duration, Instant};

fn request(account: &str, priority: u8) -> QueuedRequest {
    QueuedRequest {
        account: AccountName::new(account),
        weight: 1,
        priority,
        cost: 100,
        max_wait: Duration::from_secs(2),
    }
}

fn pop_all(queue: &mut FairQueue, now: Instant) -> Vec<u64> {
    std::iter::from_fn(|| queue.pop(now)).map(|t| t.0).collect()
}

#[test]
fn a_flooding_account_does_not_delay_other_accounts() {
    let now = Instant::now();
    let mut queue = FairQueue::default();
    for i in 0..50 {
        queue.push(Ticket(i), &request("large", 0), now);
    }
    queue.push(Ticket(100), &request("small", 0), now);
    queue.push(Ticket(101), &request("small", 0), now);
    let popped = pop_all(&mut queue, now);
    let at = |t: u64| popped.iter().position(|x| *x == t);
    assert!(at(100) <= Some(1), "{popped:?}");
    assert!(at(101) <= Some(3), "{popped:?}");
}

#[test]
fn accounts_are_served_in_proportion_to_their_weights() {
    let now = Instant::now();
    let mut queue = FairQueue::default();
    let mut heavy = request("heavy", 0);
    heavy.weight = 3;
    for i in 0..40 {
        queue.push(Ticket(i), &heavy, now);
        queue.push(Ticket(100 + i), &request("light", 0), now);
    }
    let first: Vec<u64> = pop_all(&mut queue, now).into_iter().take(20).collect();
    let heavy = first.iter().filter(|t| **t < 100).count();
    assert!((14..=16).contains(&heavy), "{first:?}");
}

#[test]
fn a_higher_priority_is_served_first() {
    let now = Instant::now();
    let mut queue = FairQueue::default();
    queue.push(Ticket(1), &request("a", 0), now);
    queue.push(Ticket(2), &request("a", 5), now);
    queue.push(Ticket(3), &request("b", 9), now);
    assert_eq!(pop_all(&mut queue, now), vec![3, 2, 1]);
}

#[test]
fn a_request_that_would_wait_too_long_is_refused_at_once() {
    let start = Instant::now();
    let mut queue = FairQueue::default();
    for i in 0..100 {
        queue.push(Ticket(i), &request("a", 0), start);
    }
    // A slot becomes free every 100 ms.
    for i in 0..20 {
        queue.pop(start + Duration::from_millis(100 * i));
    }
    let step = queue.push(
        Ticket(200),
        &request("a", 0),
        start + Duration::from_secs(2),
    );
    assert!(matches!(step, PushResult::WaitTooLong { wait } if wait > Duration::from_secs(2)));
    let urgent = queue.push(
        Ticket(201),
        &request("b", 9),
        start + Duration::from_secs(2),
    );
    assert_eq!(urgent, PushResult::Queued);
}

#[test]
fn bursts_of_free_slots_do_not_raise_the_estimated_rate() {
    let start = Instant::now();
    let mut queue = FairQueue::default();
    for i in 0..270 {
        queue.push(Ticket(i), &request("a", 0), start);
    }
    // 40 slots become free at once every second. The remaining 110 requests take more than two
    // seconds.
    for burst in 0..4 {
        for _ in 0..40 {
            queue.pop(start + Duration::from_secs(burst));
        }
    }
    let now = start + Duration::from_secs(3);
    let step = queue.push(Ticket(300), &request("a", 0), now);
    assert!(matches!(step, PushResult::WaitTooLong { .. }), "{step:?}");
}

#[test]
fn requests_past_their_maximum_wait_expire() {
    let now = Instant::now();
    let mut queue = FairQueue::default();
    queue.push(Ticket(1), &request("a", 0), now);
    queue.push(Ticket(2), &request("a", 0), now + Duration::from_secs(1));
    assert_eq!(queue.expire(now + Duration::from_secs(2)), vec![Ticket(1)]);
    assert_eq!(queue.len(), 1);
}

#[test]
fn an_insufficient_level_includes_the_time_until_it_suffices() {
    let now = Instant::now();
    let mut bucket = TokenBucket::full(10.0, now);
    assert!(bucket.take(20.0, now).is_ok());
    let short = bucket.take(5.0, now).unwrap_err();
    assert_eq!(short.retry_after, Duration::from_millis(500));
    assert!(bucket.take(5.0, now + short.retry_after).is_ok());
}

#[test]
fn an_amount_above_the_burst_passes_and_leaves_a_negative_level() {
    let now = Instant::now();
    let mut bucket = TokenBucket::full(10.0, now);
    assert!(bucket.take(100.0, now).is_ok());
    assert!(bucket.take(1.0, now + Duration::from_secs(5)).is_err());
    assert!(bucket.take(1.0, now + Duration::from_secs(9)).is_ok());
}

fn quota(requests: f64, tokens: f64) -> Quota {
    Quota { requests, tokens }
}

#[test]
fn a_busy_account_requests_quota_about_once_per_second() {
    let start = Instant::now();
    let account = AccountName::new("lab");
    let (mut allocator, mut local) = (QuotaAllocator::default(), LocalQuota::default());
    let limit = quota(1_000.0, 1_000_000.0);
    let mut grants = 0;
    for i in 0..1_000 {
        let now = start + Duration::from_millis(10 * i);
        let need = Quota::of_request(100);
        if let SpendResult::Request { need, want } = local.spend(&account, need, now) {
            grants += 1;
            match allocator.grant(&account, limit, need, want, now) {
                QuotaGrant::Granted(granted) => local.on_granted(&account, granted, need, now),
                QuotaGrant::Exhausted { .. } => panic!("the limit is ten times the demand"),
            }
        }
    }
    assert!(grants <= 20, "{grants} grants in 10 s");
}

#[test]
fn unused_quota_expires() {
    let now = Instant::now();
    let account = AccountName::new("lab");
    let mut local = LocalQuota::default();
    let need = Quota::of_request(10);
    local.on_granted(&account, quota(5.0, 50.0), need, now);
    assert_eq!(local.spend(&account, need, now), SpendResult::Covered);
    let later = now + Duration::from_secs(3);
    let step = local.spend(&account, need, later);
    assert_eq!(step, SpendResult::Request { need, want: need });
}

#[test]
fn an_exhausted_limit_includes_the_time_until_it_suffices() {
    let now = Instant::now();
    let account = AccountName::new("lab");
    let mut allocator = QuotaAllocator::default();
    let limit = quota(10.0, 100.0);
    let need = Quota::of_request(100);
    for _ in 0..2 {
        let grant = allocator.grant(&account, limit, need, need, now);
        assert_eq!(grant, QuotaGrant::Granted(need));
    }
    let grant = allocator.grant(&account, limit, need, need, now);
    assert_eq!(grant, QuotaGrant::Exhausted { wait_ms: 1_000 });
}

quickcheck! {
    fn a_bucket_never_gives_more_than_its_rate_and_burst(takes: Vec<(u8, u8)>) -> bool {
        let start = Instant::now();
        let mut bucket = TokenBucket::full(10.0, start);
        let mut now = start;
        let mut taken = 0.0;
        for (wait_ms, amount) in takes {
            now += Duration::from_millis(u64::from(wait_ms));
            let amount = f64::from(amount % 20);
            if bucket.take(amount, now).is_ok() {
                taken += amount;
            }
        }
        taken <= 20.0 + 10.0 * (now - start).as_secs_f64() + 1e-6
    }

    fn routers_together_spend_no_more_than_the_limit(requests: Vec<(u8, u8, u8)>) -> bool {
        let start = Instant::now();
        let account = AccountName::new("lab");
        let limit = quota(20.0, 200.0);
        let mut allocator = QuotaAllocator::default();
        let mut routers: Vec<LocalQuota> = (0..5).map(|_| LocalQuota::default()).collect();
        let mut now = start;
        let mut spent = Quota::default();
        for (router, tokens, wait_ms) in requests {
            now += Duration::from_millis(u64::from(wait_ms));
            let local = &mut routers[usize::from(router % 5)];
            let need = Quota::of_request(u32::from(tokens % 40));
            let covered = match local.spend(&account, need, now) {
                SpendResult::Covered => true,
                SpendResult::Request { need, want } => {
                    match allocator.grant(&account, limit, need, want, now) {
                        QuotaGrant::Granted(granted) => {
                            local.on_granted(&account, granted, need, now);
                            true
                        }
                        QuotaGrant::Exhausted { .. } => false,
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

    fn every_queued_request_is_served_once(requests: Vec<(u8, u8)>) -> bool {
        let now = Instant::now();
        let mut queue = FairQueue::default();
        let mut count = 0;
        for (i, (account, priority)) in requests.iter().enumerate() {
            let req = request(&format!("a{}", account % 5), priority % 10);
            queue.push(Ticket(i as u64), &req, now);
            count += 1;
        }
        let mut served = pop_all(&mut queue, now);
        served.sort_unstable();
        served == (0..count).collect::<Vec<u64>>()
    }
}
