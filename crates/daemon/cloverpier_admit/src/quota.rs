//! Enforces the rate limit of a client account across all routers.
//!
//! Rendezvous hashing chooses one member as the allocator of an account. The allocator grants quota
//! to routers, which spend their quota on requests without further messages. A router requests
//! about as much as the account needs in a second, so a busy account costs about one message per
//! router and second instead of one per request. All grants together stay within the limit, apart
//! from a burst of two seconds. The caller chooses the allocator and sends the messages.

use crate::bucket::TokenBucket;
use cloverpier_core::AccountName;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// A router discards granted quota that is older than this, so that a router that the account no
/// longer uses does not keep a part of the limit.
const GRANT_LIFETIME: Duration = Duration::from_secs(3);
/// An allocator discards the state of an account without a request for this long.
const ACCOUNT_TTL: Duration = Duration::from_secs(60);
/// The quota that a router requests, in seconds of the account's recent demand. A router then sends
/// about one message per second for a busy account, not one per request.
const PREFETCH_SECONDS: f64 = 1.0;
/// The largest grant beyond the immediate need, in seconds of the account's limit. Below 1, so that
/// two routers can share the limit.
const MAX_GRANT_SECONDS: f64 = 0.5;

/// A number of requests and of generated tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    /// Requests; a grant may contain fractions.
    pub requests: f64,
    /// Generated tokens; a grant may contain fractions.
    pub tokens: f64,
}

impl Quota {
    /// The quota for one request that may generate up to `tokens` tokens.
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

    fn min(self, limit: Self) -> Self {
        Self {
            requests: self.requests.min(limit.requests),
            tokens: self.tokens.min(limit.tokens),
        }
    }

    fn max(self, floor: Self) -> Self {
        Self {
            requests: self.requests.max(floor.requests),
            tokens: self.tokens.max(floor.tokens),
        }
    }
}

/// The reply of an allocator to a request for quota.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum QuotaGrant {
    /// The router may spend this quota.
    #[serde(rename = "Lent")]
    Granted(Quota),
    /// The remaining limit is below the immediate need.
    #[serde(rename = "Short")]
    Exhausted {
        /// Time until the limit covers the need, if nothing else is granted, in milliseconds.
        wait_ms: u64,
    },
}

#[derive(Clone, Copy, Debug)]
struct AccountState {
    requests: TokenBucket,
    tokens: TokenBucket,
    last_request_at: Instant,
}

/// Grants quota for the accounts whose allocator this member is.
#[derive(Debug, Default)]
pub struct QuotaAllocator {
    accounts: HashMap<AccountName, AccountState>,
}

impl QuotaAllocator {
    /// Grants `want`, capped at half a second of `limit`, if the remaining limit covers it.
    /// Otherwise grants `need` or nothing. `limit` is the account's rate per second.
    pub fn grant(
        &mut self,
        account: &AccountName,
        limit: Quota,
        need: Quota,
        want: Quota,
        now: Instant,
    ) -> QuotaGrant {
        self.accounts
            .retain(|_, a| now.saturating_duration_since(a.last_request_at) < ACCOUNT_TTL);
        let remaining = self
            .accounts
            .entry(account.clone())
            .or_insert(AccountState {
                requests: TokenBucket::full(limit.requests, now),
                tokens: TokenBucket::full(limit.tokens, now),
                last_request_at: now,
            });
        remaining.last_request_at = now;
        remaining.requests.set_rate(limit.requests, now);
        remaining.tokens.set_rate(limit.tokens, now);
        let capped_want = want.min(limit.times(MAX_GRANT_SECONDS)).max(need);
        let mut retry_after = Duration::ZERO;
        for amount in [capped_want, need] {
            match take(remaining, amount, now) {
                Ok(()) => return QuotaGrant::Granted(amount),
                Err(wait) => retry_after = wait,
            }
        }
        QuotaGrant::Exhausted {
            wait_ms: u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX),
        }
    }

    /// The number of accounts with state here. Accounts without a request for a minute are removed
    /// at the next request for quota.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Whether no account has state here.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }
}

/// Takes both amounts, or none of them and returns the time until both may suffice.
fn take(remaining: &mut AccountState, amount: Quota, now: Instant) -> Result<(), Duration> {
    remaining
        .requests
        .take(amount.requests, now)
        .map_err(|shortfall| shortfall.retry_after)?;
    remaining
        .tokens
        .take(amount.tokens, now)
        .map_err(|shortfall| {
            remaining.requests.refund(amount.requests);
            shortfall.retry_after
        })
}

#[derive(Clone, Copy, Debug)]
struct HeldQuota {
    remaining: Quota,
    spent: Quota,
    granted_at: Instant,
}

/// Whether a router has enough quota for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SpendResult {
    /// The quota of the router covers the request and was reduced.
    Covered,
    /// The router has to request quota from the account's allocator first.
    Request {
        /// The quota that the request needs.
        need: Quota,
        /// The quota that the account needs for about a second, estimated from its demand since the
        /// last grant. At least `need`.
        want: Quota,
    },
}

/// The unspent quota that a router has for each account.
#[derive(Debug, Default)]
pub struct LocalQuota {
    accounts: HashMap<AccountName, HeldQuota>,
}

impl LocalQuota {
    /// Spends `need` from the account's quota, if the quota suffices and has not expired.
    pub fn spend(&mut self, account: &AccountName, need: Quota, now: Instant) -> SpendResult {
        let quota = self.accounts.get_mut(account);
        let has_expired =
            |h: &HeldQuota| now.saturating_duration_since(h.granted_at) >= GRANT_LIFETIME;
        let Some(quota) = quota else {
            return SpendResult::Request { need, want: need };
        };
        if has_expired(quota) {
            self.accounts.remove(account);
            return SpendResult::Request { need, want: need };
        }
        quota.spent = quota.spent.plus(need);
        if quota.remaining.covers(need) {
            quota.remaining = quota.remaining.minus(need);
            return SpendResult::Covered;
        }
        let elapsed_s = now
            .saturating_duration_since(quota.granted_at)
            .as_secs_f64();
        let demand_per_s = quota.spent.times(1.0 / elapsed_s.max(0.1));
        SpendResult::Request {
            need,
            want: demand_per_s.times(PREFETCH_SECONDS).max(need),
        }
    }

    /// Adds a grant to the account's quota and spends `need` from it. The expiration time starts
    /// again for all of the quota.
    pub fn on_granted(&mut self, account: &AccountName, granted: Quota, need: Quota, now: Instant) {
        let empty = HeldQuota {
            remaining: Quota::default(),
            spent: need,
            granted_at: now,
        };
        let quota = self.accounts.entry(account.clone()).or_insert(empty);
        quota.remaining = quota.remaining.plus(granted).minus(need);
        quota.spent = need;
        quota.granted_at = now;
    }

    /// Adds tokens that were charged but not generated, for later requests at this router. Does
    /// nothing if the quota has expired.
    pub fn refund(&mut self, account: &AccountName, tokens: f64) {
        if let Some(quota) = self.accounts.get_mut(account) {
            quota.remaining.tokens += tokens;
        }
    }

    /// Discards expired quota.
    pub fn sweep(&mut self, now: Instant) {
        self.accounts
            .retain(|_, h| now.saturating_duration_since(h.granted_at) < GRANT_LIFETIME);
    }
}
