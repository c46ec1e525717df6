//! Routes, keys and the retry budget.

use cloverpier_core::ServiceName;
use cloverpier_router_policy::prelude::*;
use std::time::{Duration, Instant};

fn route(name: &str, prefix: &str, targets: &[(&str, f64)]) -> Route {
    let targets = targets.iter().map(|(service, weight)| RouteTarget {
        service: ServiceName::new(service),
        weight: *weight,
    });
    Route {
        name: name.to_owned(),
        host: "ledger.example".to_owned(),
        prefix: prefix.to_owned(),
        streaming: false,
        resumable: false,
        safe: true,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(150),
        gap_objective: None,
        priority: 1,
        max_attempts: 2,
        public: false,
        targets: targets.collect(),
    }
}

fn configuration() -> ConfigurationIndex {
    ConfigurationIndex::new(Configuration {
        version: 3,
        routes: vec![
            route("short", "/runs/", &[("lookups", 1.0)]),
            route("long", "/runs/signed/", &[("lookups", 1.0)]),
        ],
        services: Vec::new(),
        accounts: Some(vec![ClientAccount {
            name: "lab".to_owned(),
            priority: None,
            keys: vec!["key-1".to_owned(), "key-2".to_owned()],
        }]),
        limits: Limits::default(),
    })
}

#[test]
fn the_longest_prefix_wins() {
    let configuration = configuration();
    let name = |path| {
        configuration
            .route("ledger.example", path)
            .map(|r| r.name.as_str())
    };
    assert_eq!(name("/runs/17"), Some("short"));
    assert_eq!(name("/runs/signed/17"), Some("long"));
    assert_eq!(name("/runs"), None);
    assert!(configuration.route("other.example", "/runs/17").is_none());
}

#[test]
fn a_key_belongs_to_its_tenant() {
    let configuration = configuration();
    assert!(configuration.needs_keys());
    assert_eq!(configuration.account_of_key("key-2").unwrap().name, "lab");
    assert!(configuration.account_of_key("key-3").is_none());
}

#[test]
fn targets_get_requests_by_weight() {
    let split = route(
        "split",
        "/",
        &[("stable", 90.0), ("next", 10.0), ("off", 0.0)],
    );
    let mut rng = fastrand::Rng::with_seed(3);
    let mut picked = [0u32; 3];
    for _ in 0..10_000 {
        match split.pick_target(&mut rng).unwrap().as_str() {
            "stable" => picked[0] += 1,
            "next" => picked[1] += 1,
            _ => picked[2] += 1,
        }
    }
    assert!((800..1_200).contains(&picked[1]), "{picked:?}");
    assert_eq!(picked[2], 0);
}

#[test]
fn a_stream_that_may_not_be_resumed_runs_at_most_once() {
    let mut stream = route("stream", "/", &[]);
    stream.streaming = true;
    assert_eq!(stream.retry_rule(), RetryRule::AtMostOnce);
    stream.resumable = true;
    assert_eq!(stream.retry_rule(), RetryRule::Resumable);
}

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
