//! Divides the capacity of a service among client accounts.
//!
//! - **Question.** Which of the streams that an account has waiting are within its fair share?
//! - **Inputs.** The capacity of the service in streams; the streams in flight and waiting of the accounts that have the
//!   most; those of all others in total; weights.
//! - **Result.** A level (max-min fairness): an account whose demand is below the level gets all of it, and the others
//!   get the level. For each account, the number of its waiting streams that are within its share.
//! - **Why.** An account that asks for little is served whatever the others ask for, and capacity that some accounts
//!   leave is lent to the others. Streams in flight are not taken back, so an account that has more than its share waits
//!   until enough of them have ended.
//!
//! Owns no state.

use super::reports::{AccountKey, ServiceDemand};
use std::collections::HashMap;

/// The weight of each account: all have equal shares.
const EQUAL_WEIGHT: f64 = 1.0;

/// What an account asks for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightedDemand {
    /// The account's part of the capacity relative to the other accounts' weights; greater than 0.
    pub weight: f64,
    /// Number of streams that the account has in flight or waiting.
    pub streams: f64,
}

/// The number of streams for each unit of weight at which the demands, each cut at its weight times this level, fill
/// the capacity. Infinite if all demands fit.
pub fn fair_level(capacity: f64, demands: &[WeightedDemand]) -> f64 {
    let mut by_level: Vec<WeightedDemand> = demands.to_vec();
    let level = |d: &WeightedDemand| d.streams / d.weight;
    by_level.sort_by(|a, b| level(a).total_cmp(&level(b)));
    let mut weight_left: f64 = by_level.iter().map(|d| d.weight).sum();
    let mut capacity_left = capacity.max(0.0);
    for demand in by_level {
        if demand.weight <= 0.0 {
            continue;
        }
        if level(&demand) * weight_left > capacity_left {
            return capacity_left / weight_left;
        }
        capacity_left -= demand.streams;
        weight_left -= demand.weight;
    }
    f64::INFINITY
}

/// The shares of the accounts of one service.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    /// The fraction of its waiting streams that an account may have sent within its share; accounts without an entry
    /// may have all sent.
    fraction_within: HashMap<AccountKey, f64>,
}

impl Shares {
    /// Computes the shares. `in_flight` is the number of streams in flight of all accounts, and `room` the number of
    /// streams that the engines take in addition. Accounts that `demand` does not name have few streams and count as
    /// served first.
    pub fn new(demand: &ServiceDemand, in_flight: u32, room: u32) -> Self {
        let named_in_flight: u32 = demand.accounts.iter().map(|a| a.in_flight).sum();
        let named_waiting: u32 = demand.accounts.iter().map(|a| a.waiting).sum();
        let others = in_flight.saturating_sub(named_in_flight)
            + demand.total_waiting().saturating_sub(named_waiting);
        let total = f64::from(in_flight.max(named_in_flight)) + f64::from(room);
        let accounts = demand.accounts.iter();
        let demands: Vec<WeightedDemand> = accounts
            .map(|a| WeightedDemand {
                weight: EQUAL_WEIGHT,
                streams: f64::from(a.in_flight) + f64::from(a.waiting),
            })
            .collect();
        let level = fair_level(total - f64::from(others), &demands) * EQUAL_WEIGHT;
        let waiting = demand.accounts.iter().filter(|a| a.waiting > 0);
        let fraction_within = waiting.map(|a| {
            let left = (level - f64::from(a.in_flight)).max(0.0);
            (a.account, (left / f64::from(a.waiting)).min(1.0))
        });
        Self {
            fraction_within: fraction_within.collect(),
        }
    }

    /// The accounts of which not all waiting streams are within the share, with the fraction that is.
    pub fn beyond(&self) -> Vec<(AccountKey, f64)> {
        let accounts = self.fraction_within.iter();
        let beyond = accounts.filter(|(_, fraction)| **fraction < 1.0);
        let mut beyond: Vec<(AccountKey, f64)> = beyond.map(|(a, f)| (*a, *f)).collect();
        beyond.sort_unstable_by_key(|(account, _)| *account);
        beyond
    }

    /// The fraction of an account's waiting streams that are within its share, from 0 to 1.
    pub fn fraction_within(&self, account: Option<AccountKey>) -> f64 {
        let known = account.and_then(|account| self.fraction_within.get(&account));
        known.copied().unwrap_or(1.0)
    }
}
