//! The retry budget, kept by many routers together.

use cloverpier_router_policy::prelude::*;
use std::time::{Duration, Instant};

/// What a router knows of its peers, up to a second old.
fn peers(spent: BudgetUse, routers: usize) -> PeerBudgetUse {
    PeerBudgetUse {
        total: spent,
        routers,
        staleness: Duration::from_secs(1),
    }
}

#[test]
fn routers_keep_the_budget_together() {
    let bounds = BudgetBounds {
        ratio: 0.2,
        slack: 40.0,
        window: Duration::from_secs(10),
    };
    let start = Instant::now();
    let mut taken = 0;
    for _ in 0..8 {
        let mut budget = RetryBudget::new(bounds);
        for _ in 0..100 {
            budget.on_request(start);
        }
        let peers = peers(BudgetUse::default(), 8);
        taken += (0..1_000)
            .filter(|_| budget.try_take_retry(start, &peers))
            .count();
    }
    assert!(taken <= 200, "{taken} of 0.2 x 800 + 40");
    assert!(taken >= 100, "{taken}");
}

#[test]
fn the_budget_comes_back_as_the_window_slides() {
    let bounds = BudgetBounds {
        ratio: 0.0,
        slack: 10.0,
        window: Duration::from_secs(10),
    };
    let start = Instant::now();
    let mut budget = RetryBudget::new(bounds);
    let alone = peers(BudgetUse::default(), 1);
    while budget.try_take_retry(start, &alone) {}
    assert!(!budget.try_take_retry(start + Duration::from_secs(5), &alone));
    assert!(budget.try_take_retry(start + Duration::from_secs(11), &alone));
}

const ROUTERS: u32 = 65;
const REQUESTS_EACH: u32 = 10;

/// Budgets of a fleet whose routers have all had some requests.
fn fleet_budgets(start: Instant) -> Vec<RetryBudget> {
    let bounds = BudgetBounds {
        ratio: 0.8,
        slack: 150.0,
        window: Duration::from_secs(10),
    };
    let mut budgets = vec![RetryBudget::new(bounds); ROUTERS as usize];
    for budget in &mut budgets {
        (0..REQUESTS_EACH).for_each(|_| budget.on_request(start));
    }
    budgets
}

/// What the others have spent, when one alone has spent `retries`.
fn others(retries: u32) -> PeerBudgetUse {
    let spent = BudgetUse {
        requests: REQUESTS_EACH * (ROUTERS - 1),
        retries,
    };
    peers(spent, ROUTERS as usize)
}

/// All that one router can take in nine seconds, a try each ten milliseconds.
fn take_all_alone(budget: &mut RetryBudget, start: Instant, others: &PeerBudgetUse) -> u32 {
    let tries = (0..900).map(|n| start + Duration::from_millis(10 * n));
    let taken = tries.filter(|now| budget.try_take_retry(*now, others));
    u32::try_from(taken.count()).unwrap()
}

#[test]
fn a_burst_at_one_router_may_exceed_its_share_while_the_fleet_spends_little() {
    let start = Instant::now();
    let mut budgets = fleet_budgets(start);
    let share = 0.7 * (0.8 * f64::from(REQUESTS_EACH) + 150.0 / f64::from(ROUTERS));
    let alone = take_all_alone(&mut budgets[0], start, &others(0));
    assert!(f64::from(alone) > 2.0 * share, "{alone} of {share}");
    let beside = take_all_alone(&mut budgets[1], start, &others(400));
    assert!(f64::from(beside) <= share.ceil(), "{beside} of {share}");
}

#[test]
fn a_burst_at_all_routers_after_one_has_spent_much_stays_within_the_budget() {
    let start = Instant::now();
    let mut budgets = fleet_budgets(start);
    let budget = 0.8 * f64::from(REQUESTS_EACH * ROUTERS) + 150.0;
    let mut total = take_all_alone(&mut budgets[0], start, &others(0));
    // All others spend what they can at one moment, knowing only of the first one.
    let now = start + Duration::from_secs(9);
    let known = others(total);
    for budget in &mut budgets[1..] {
        let taken = (0..1_000).filter(|_| budget.try_take_retry(now, &known));
        total += u32::try_from(taken.count()).unwrap();
    }
    assert!(f64::from(total) <= budget, "{total} of {budget}");
}
