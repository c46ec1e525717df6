//! How an account's limit holds across routers: one member lends it out in parts.
//!
//! Each account has a lender, chosen by rendezvous hash. A router borrows
//! about a second's worth of what it has been asked for and serves from that,
//! so that a busy account costs a router about one call a second, not one a
//! request, and the loans never add up to more than the limit.

use crate::bucket::Bucket;
use cloverpier_core::AccountName;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// A loan that isn't used up by then lapses, so that a router that an account left doesn't keep its
/// limit.
const LAPSE: Duration = Duration::from_secs(3);
/// Accounts that were not asked for are forgotten by then.
const FORGET: Duration = Duration::from_secs(60);
/// What is borrowed beyond the need, as a part of the demand during the last loan's time: about a
/// second's worth, so that a busy account is not a loan for each request.
const AHEAD: f64 = 1.0;
/// The largest part of a second's limit that one loan gets, so that two routers can share it.
const LARGEST: f64 = 0.5;

/// An amount of requests and generated tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    /// Requests.
    pub requests: f64,
    /// Tokens.
    pub tokens: f64,
}

impl Quota {
    /// One request and its tokens.
    pub fn of_request(tokens: u32) -> Self {
        Self {
            requests: 1.0,
            tokens: f64::from(tokens),
        }
    }

    fn covers(self, need: Self) -> bool {
        self.requests >= need.requests && self.tokens >= need.tokens
    }

    fn plus(self, more: Self) -> Self {
        Self {
            requests: self.requests + more.requests,
            tokens: self.tokens + more.tokens,
        }
    }

    fn minus(self, less: Self) -> Self {
        Self {
            requests: self.requests - less.requests,
            tokens: self.tokens - less.tokens,
        }
    }

    fn times(self, factor: f64) -> Self {
        Self {
            requests: self.requests * factor,
            tokens: self.tokens * factor,
        }
    }

    fn at_most(self, limit: Self) -> Self {
        Self {
            requests: self.requests.min(limit.requests),
            tokens: self.tokens.min(limit.tokens),
        }
    }

    fn at_least(self, floor: Self) -> Self {
        Self {
            requests: self.requests.max(floor.requests),
            tokens: self.tokens.max(floor.tokens),
        }
    }
}

/// What a lender answers.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Loan {
    /// It lends so much.
    Lent(Quota),
    /// The limit is used up; there will be enough after this time.
    Short {
        /// The wait, in milliseconds.
        wait_ms: u64,
    },
}

#[derive(Clone, Copy, Debug)]
struct Account {
    requests: Bucket,
    tokens: Bucket,
    asked: Instant,
}

/// The lender's side: what is left of the accounts whose lender this member is.
#[derive(Debug, Default)]
pub struct Lender {
    accounts: HashMap<AccountName, Account>,
}

impl Lender {
    /// Lends as much as is wanted, as much as is needed, or nothing.
    pub fn lend(
        &mut self,
        account: &AccountName,
        limit: Quota,
        need: Quota,
        want: Quota,
        now: Instant,
    ) -> Loan {
        self.accounts
            .retain(|_, a| now.saturating_duration_since(a.asked) < FORGET);
        let left = self.accounts.entry(account.clone()).or_insert(Account {
            requests: Bucket::full(limit.requests, now),
            tokens: Bucket::full(limit.tokens, now),
            asked: now,
        });
        left.asked = now;
        left.requests.set_rate(limit.requests, now);
        left.tokens.set_rate(limit.tokens, now);
        let wanted = want.at_most(limit.times(LARGEST)).at_least(need);
        let mut short = Duration::ZERO;
        for amount in [wanted, need] {
            match take(left, amount, now) {
                Ok(()) => return Loan::Lent(amount),
                Err(wait) => short = wait,
            }
        }
        Loan::Short {
            wait_ms: u64::try_from(short.as_millis()).unwrap_or(u64::MAX),
        }
    }

    /// Accounts that something was lent recently.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Whether nothing was lent recently.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }
}

/// Takes both amounts or neither.
fn take(left: &mut Account, amount: Quota, now: Instant) -> Result<(), Duration> {
    left.requests
        .take(amount.requests, now)
        .map_err(|s| s.wait)?;
    left.tokens.take(amount.tokens, now).map_err(|short| {
        left.requests.give_back(amount.requests);
        short.wait
    })
}

#[derive(Clone, Copy, Debug)]
struct Held {
    left: Quota,
    used: Quota,
    since: Instant,
}

/// What a router does about a request of an account.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SpendStep {
    /// It is covered by what was borrowed.
    Covered,
    /// Borrow first.
    Borrow {
        /// What the request needs.
        need: Quota,
        /// What the account will soon need, by its recent demand.
        want: Quota,
    },
}

/// The borrower's side: what a router holds of each account.
#[derive(Debug, Default)]
pub struct Borrowed {
    accounts: HashMap<AccountName, Held>,
}

impl Borrowed {
    /// Spends on a request from what is held.
    pub fn spend(&mut self, account: &AccountName, need: Quota, now: Instant) -> SpendStep {
        let held = self.accounts.get_mut(account);
        let lapsed = |h: &Held| now.saturating_duration_since(h.since) >= LAPSE;
        let Some(held) = held else {
            return SpendStep::Borrow { need, want: need };
        };
        if lapsed(held) {
            self.accounts.remove(account);
            return SpendStep::Borrow { need, want: need };
        }
        held.used = held.used.plus(need);
        if held.left.covers(need) {
            held.left = held.left.minus(need);
            return SpendStep::Covered;
        }
        let passed = now.saturating_duration_since(held.since).as_secs_f64();
        let per_s = held.used.times(1.0 / passed.max(0.1));
        SpendStep::Borrow {
            need,
            want: per_s.times(AHEAD).at_least(need),
        }
    }

    /// Takes a loan and spends what was needed of it.
    pub fn on_lent(&mut self, account: &AccountName, lent: Quota, need: Quota, now: Instant) {
        let fresh = Held {
            left: Quota::default(),
            used: need,
            since: now,
        };
        let held = self.accounts.entry(account.clone()).or_insert(fresh);
        held.left = held.left.plus(lent).minus(need);
        held.used = need;
        held.since = now;
    }

    /// Gives back tokens that were charged and not generated; they serve the next request here.
    pub fn give_back(&mut self, account: &AccountName, tokens: f64) {
        if let Some(held) = self.accounts.get_mut(account) {
            held.left.tokens += tokens;
        }
    }

    /// Forgets loans that have lapsed.
    pub fn sweep(&mut self, now: Instant) {
        self.accounts
            .retain(|_, h| now.saturating_duration_since(h.since) < LAPSE);
    }
}
