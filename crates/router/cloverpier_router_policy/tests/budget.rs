//! The retry budget holds for all routers together, also when one or all of them have bursts of failures.

use cloverpier_router_policy::prelude::*;
use std::time::{Duration, Instant};

/// Reports of `routers - 1` peers, up to a second old, that used the budget as `spent` says.
fn peers(spent: BudgetUse, routers: usize) -> PeerBudgetUse {
    PeerBudgetUse {
        total: spent,
        routers,
        staleness: Duration::from_secs(1),
    }
}

#[test]
fn all_routers_together_keep_the_budget() {
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
fn retries_are_returned_to_the_budget_as_the_window_slides() {
    let bounds = BudgetBounds {
        ratio: 0.0,
        slack: 10.0,
        window: Duration::from_secs(10),
    };
    let start = Instant::now();
    let mut budget = RetryBudget::new(bounds);
    let no_peers = peers(BudgetUse::default(), 1);
    while budget.try_take_retry(start, &no_peers) {}
    assert!(!budget.try_take_retry(start + Duration::from_secs(5), &no_peers));
    assert!(budget.try_take_retry(start + Duration::from_secs(11), &no_peers));
}

const ROUTERS: u32 = 65;
const REQUESTS_EACH: u32 = 10;

/// One budget per router of a fleet; each router has received [`REQUESTS_EACH`] requests.
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

/// The reports that a router gets when each of the others has received [`REQUESTS_EACH`] requests and all of them
/// together have sent `retries` retries.
fn others(retries: u32) -> PeerBudgetUse {
    let spent = BudgetUse {
        requests: REQUESTS_EACH * (ROUTERS - 1),
        retries,
    };
    peers(spent, ROUTERS as usize)
}

/// The retries that one router can take within nine seconds, trying once every ten milliseconds.
fn take_all_in_nine_seconds(
    budget: &mut RetryBudget,
    start: Instant,
    others: &PeerBudgetUse,
) -> u32 {
    let tries = (0..900).map(|n| start + Duration::from_millis(10 * n));
    let taken = tries.filter(|now| budget.try_take_retry(*now, others));
    u32::try_from(taken.count()).unwrap()
}

#[test]
fn a_burst_at_one_router_may_exceed_its_share_while_the_fleet_spends_little() {
    let start = Instant::now();
    let mut budgets = fleet_budgets(start);
    let share = 0.7 * (0.8 * f64::from(REQUESTS_EACH) + 150.0 / f64::from(ROUTERS));
    let burst = take_all_in_nine_seconds(&mut budgets[0], start, &others(0));
    assert!(f64::from(burst) > 2.0 * share, "{burst} of {share}");
    let after_spending = take_all_in_nine_seconds(&mut budgets[1], start, &others(400));
    assert!(
        f64::from(after_spending) <= share.ceil(),
        "{after_spending} of {share}"
    );
}

#[test]
fn a_burst_at_all_routers_after_one_has_spent_much_stays_within_the_budget() {
    let start = Instant::now();
    let mut budgets = fleet_budgets(start);
    let budget = 0.8 * f64::from(REQUESTS_EACH * ROUTERS) + 150.0;
    let mut total = take_all_in_nine_seconds(&mut budgets[0], start, &others(0));
    // All others take what they can at the same moment; only the first router's retries are reported.
    let now = start + Duration::from_secs(9);
    let known = others(total);
    for budget in &mut budgets[1..] {
        let taken = (0..1_000).filter(|_| budget.try_take_retry(now, &known));
        total += u32::try_from(taken.count()).unwrap();
    }
    assert!(f64::from(total) <= budget, "{total} of {budget}");
}
