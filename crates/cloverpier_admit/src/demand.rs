//! How an account's limit is shared among routers: by the demand that each one sees.

use cloverpier_core::{AccountName, MemberId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// Time over which demand is averaged.
const WINDOW_S: f64 = 4.0;
/// Demand of others that is older counts no more.
const STALE: Duration = Duration::from_secs(10);
/// Accounts whose demand a router tells others.
const TOLD: usize = 64;
/// The share of a limit that every router may use without having told anyone.
const RESERVE: f64 = 0.1;

/// The demand for one account at one router, in tokens a second.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The router.
    pub member: MemberId,
    /// Rises with each telling.
    pub seq: u64,
    /// Tokens a second by account, the largest first.
    pub accounts: Vec<AccountDemand>,
}

/// One account's demand.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AccountDemand {
    /// The account.
    pub account: AccountName,
    /// Tokens a second.
    pub tokens_per_s: f32,
}

#[derive(Clone, Debug)]
struct Heard {
    demand: Demand,
    at: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Average {
    rate: f64,
    at: Instant,
}

/// This router's demand and what it heard of others'.
#[derive(Debug, Default)]
pub struct Demands {
    own: HashMap<AccountName, Average>,
    others: BTreeMap<MemberId, Heard>,
    seq: u64,
}

impl Demands {
    /// Notes that an account asked for tokens here.
    pub fn on_asked(&mut self, account: &AccountName, tokens: f64, now: Instant) {
        let average = self
            .own
            .entry(account.clone())
            .or_insert(Average { rate: 0.0, at: now });
        average.rate = decayed(*average, now) + tokens / WINDOW_S;
        average.at = now;
    }

    /// What this router tells others, and what it heard and passes on.
    pub fn to_tell(&mut self, me: &MemberId, now: Instant) -> Vec<Demand> {
        self.seq += 1;
        self.own.retain(|_, a| decayed(*a, now) > 0.5);
        let mut accounts: Vec<AccountDemand> = self
            .own
            .iter()
            .map(|(account, a)| AccountDemand {
                account: account.clone(),
                tokens_per_s: decayed(*a, now) as f32,
            })
            .collect();
        accounts.sort_by(|a, b| b.tokens_per_s.total_cmp(&a.tokens_per_s));
        accounts.truncate(TOLD);
        let own = Demand {
            member: me.clone(),
            seq: self.seq,
            accounts,
        };
        self.others
            .retain(|_, h| now.saturating_duration_since(h.at) < STALE);
        let told = self.others.values().map(|h| h.demand.clone());
        std::iter::once(own).chain(told).collect()
    }

    /// Takes what another router told.
    pub fn on_told(&mut self, me: &MemberId, demands: Vec<Demand>, now: Instant) {
        for demand in demands {
            let known = self.others.get(&demand.member);
            let news = known.is_none_or(|h| h.demand.seq < demand.seq);
            if demand.member != *me && news {
                let heard = Heard { demand, at: now };
                self.others.insert(heard.demand.member.clone(), heard);
            }
        }
    }

    /// The part of an account's limit that this router may use, 0 to 1.
    ///
    /// The parts of all routers add up to at most 1 plus the reserve of
    /// those that see no demand, once they have heard of each other.
    pub fn share(&self, account: &AccountName, routers: usize, now: Instant) -> f64 {
        let own = self.own.get(account).map_or(0.0, |a| decayed(*a, now));
        let fresh = |h: &&Heard| now.saturating_duration_since(h.at) < STALE;
        let others: f64 = self
            .others
            .values()
            .filter(fresh)
            .flat_map(|h| &h.demand.accounts)
            .filter(|d| d.account == *account)
            .map(|d| f64::from(d.tokens_per_s))
            .sum();
        let even = 1.0 / routers.max(1) as f64;
        if others <= 0.0 {
            return 1.0;
        }
        let by_demand = own / (own + others);
        RESERVE * even + (1.0 - RESERVE) * by_demand
    }
}

fn decayed(average: Average, now: Instant) -> f64 {
    let passed = now.saturating_duration_since(average.at).as_secs_f64();
    average.rate * (-passed / WINDOW_S).exp()
}
