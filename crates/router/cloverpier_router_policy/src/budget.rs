//! The retry budget: decides whether a retry may be sent.
//!
//! - **Question.** May this router send one more retry to a service?
//! - **Inputs.** Requests and retries of this router within a sliding window; those that live peers reported,
//!   and how old the reports may be; the operator's bounds, which hold for all routers together.
//! - **Result.** Yes, and the retry is counted, or no.
//! - **Why.** Retries multiply load just when upstreams fail, so all routers together keep within a budget.
//!   Each router may spend its share without coordination. A burst of failures at one router may exceed that
//!   router's share while the fleet has spent little: the router then continues at a limited rate for as
//!   long as its peers' reports show little use. The budget holds even if one router has spent all that counts
//!   as little (0.25 of the budget) and then all routers spend their shares (0.7 of it) at the same moment.
//!
//! [`RetryBudget`] owns the times of one service's requests and retries.

use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Fraction of the budget that is divided into the routers' shares. The rest covers retries beyond the shares,
/// which other routers do not see until they are reported.
const SHARES_FRACTION: f64 = 0.7;
/// A router may exceed its share only while the retries of all routers, as far as reported, are less than this
/// fraction of the budget.
const LOW_USE_FRACTION: f64 = 0.25;
/// A router beyond its share may send at most this fraction of its share within the time that its peers' reports
/// may lag behind ([`PeerBudgetUse::staleness`]).
const MAX_EXCESS_FRACTION: f64 = 0.4;

/// The operator's bounds on the retries of all routers together, for each service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetBounds {
    /// Retries allowed per request of a caller; 0.2 allows one retry for five requests.
    pub ratio: f64,
    /// Retries allowed within the window in addition, independent of the number of requests.
    pub slack: f64,
    /// The sliding window within which requests and retries count.
    pub window: Duration,
}

/// The requests and retries that count towards a service's budget within the window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetUse {
    /// Requests received from callers.
    pub requests: u32,
    /// Retries sent to upstreams.
    pub retries: u32,
}

/// The other routers' use of a service's budget, by their reports.
#[derive(Clone, Copy, Debug)]
pub struct PeerBudgetUse {
    /// The sum of the reported use; an estimate from some of the peers in a large fleet.
    pub total: BudgetUse,
    /// Number of live routers, including this router.
    pub routers: usize,
    /// The maximum age of the reports that `total` contains.
    pub staleness: Duration,
}

/// This router's requests and retries of one service within the window.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    bounds: BudgetBounds,
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl RetryBudget {
    /// Creates an unused budget.
    pub fn new(bounds: BudgetBounds) -> Self {
        Self {
            bounds,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Replaces the bounds, for example after a reload of the settings; requests and retries stay counted.
    pub fn set_bounds(&mut self, bounds: BudgetBounds) {
        self.bounds = bounds;
    }

    /// Counts a request of a caller, which raises the number of retries allowed.
    pub fn on_request(&mut self, now: Instant) {
        self.remove_expired(now);
        self.requests.push_back(now);
    }

    /// This router's own requests and retries within the window, for reports to peers.
    pub fn usage(&mut self, now: Instant) -> BudgetUse {
        self.remove_expired(now);
        let count = |times: &VecDeque<Instant>| u32::try_from(times.len()).unwrap_or(u32::MAX);
        BudgetUse {
            requests: count(&self.requests),
            retries: count(&self.retries),
        }
    }

    /// Takes one retry if this router's share or the fleet's unused budget allows it; returns whether it was
    /// taken.
    pub fn try_take_retry(&mut self, now: Instant, peers: &PeerBudgetUse) -> bool {
        let allows_retry = self.allows_retry(now, peers);
        if allows_retry {
            self.retries.push_back(now);
        }
        allows_retry
    }

    /// Whether [`Self::try_take_retry`] would take a retry now.
    pub fn allows_retry(&mut self, now: Instant, peers: &PeerBudgetUse) -> bool {
        self.remove_expired(now);
        let share = self.share(peers.routers);
        let is_within_share = (self.retries.len() as f64) < share;
        is_within_share || self.may_exceed_share(share, now, peers)
    }

    /// The number of retries that this router may send within the window whatever its peers report:
    /// [`SHARES_FRACTION`] of what its own requests allow and of an equal part of the slack.
    fn share(&self, routers: usize) -> f64 {
        let own = self.bounds.ratio * self.requests.len() as f64;
        let slack = self.bounds.slack / routers.max(1) as f64;
        SHARES_FRACTION * (own + slack)
    }

    /// Whether this router may exceed its share: the fleet has spent little of the budget, and this router has sent
    /// few retries that its peers' reports may not contain yet.
    fn may_exceed_share(&self, share: f64, now: Instant, peers: &PeerBudgetUse) -> bool {
        let requests = self.requests.len() as f64 + f64::from(peers.total.requests);
        let retries = self.retries.len() as f64 + f64::from(peers.total.retries);
        let budget = self.bounds.ratio * requests + self.bounds.slack;
        let is_recent = |at: &&Instant| now.saturating_duration_since(**at) <= peers.staleness;
        let recent = self.retries.iter().rev().take_while(is_recent).count();
        retries < LOW_USE_FRACTION * budget && (recent as f64) < MAX_EXCESS_FRACTION * share
    }

    fn remove_expired(&mut self, now: Instant) {
        let window = self.bounds.window;
        for times in [&mut self.requests, &mut self.retries] {
            while times
                .front()
                .is_some_and(|at| now.saturating_duration_since(*at) > window)
            {
                times.pop_front();
            }
        }
    }
}
