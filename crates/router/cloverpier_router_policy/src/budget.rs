//! One router's share of the fleet's retry budget.
//!
//! Each router may spend its share without asking anybody. A burst of failures
//! at one router may exceed it while the fleet has hardly spent anything; so
//! routers tell each other what they spent, and one whose share is used up may
//! go on slowly as long as the fleet is known to have spent little. Even if one
//! router has spent all of that little and then all spend their shares at the
//! same moment, they stay within the budget: 0.25 and 0.7 of it.

use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Part of the fleet's budget that routers spend; the rest covers what they can't see.
const SPENT_PART: f64 = 0.7;
/// A router goes beyond its share only while the fleet is known to have spent less than this.
const LITTLE_PART: f64 = 0.25;
/// So large a part of its share may a router add before it hears of the others.
const ADDED_PART: f64 = 0.4;

/// The bound on retries that all routers keep together, for each service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetBounds {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed besides, for all routers.
    pub slack: f64,
    /// The sliding window.
    pub window: Duration,
}

/// What was spent of a service's budget within the window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetUse {
    /// Requests of callers.
    pub requests: u32,
    /// Repeats.
    pub retries: u32,
}

/// What a router knows of the other routers' spending.
#[derive(Clone, Copy, Debug)]
pub struct PeerBudgetUse {
    /// What they spent together, as far as they told.
    pub spent: BudgetUse,
    /// The routers alive, this one included.
    pub routers: usize,
    /// How old what they told may be.
    pub staleness: Duration,
}

/// Requests and retries of one service within the window.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    bounds: BudgetBounds,
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl RetryBudget {
    /// A budget of which nothing is spent.
    pub fn new(bounds: BudgetBounds) -> Self {
        Self {
            bounds,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Sets other bounds, as after a reload.
    pub fn set_bounds(&mut self, bounds: BudgetBounds) {
        self.bounds = bounds;
    }

    /// Notes a request of a caller.
    pub fn on_request(&mut self, now: Instant) {
        self.forget(now);
        self.requests.push_back(now);
    }

    /// What this router has spent.
    pub fn spent(&mut self, now: Instant) -> BudgetUse {
        self.forget(now);
        let count = |times: &VecDeque<Instant>| u32::try_from(times.len()).unwrap_or(u32::MAX);
        BudgetUse {
            requests: count(&self.requests),
            retries: count(&self.retries),
        }
    }

    /// Takes one repeat, if this router's share or what the fleet has left allows it.
    pub fn try_take_retry(&mut self, now: Instant, peers: &PeerBudgetUse) -> bool {
        self.forget(now);
        let share = self.share(peers.routers);
        let is_within_share = (self.retries.len() as f64) < share;
        if !is_within_share && !self.may_exceed(share, now, peers) {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    fn share(&self, routers: usize) -> f64 {
        let own = self.bounds.ratio * self.requests.len() as f64;
        let slack = self.bounds.slack / routers.max(1) as f64;
        SPENT_PART * (own + slack)
    }

    /// Whether the fleet has spent little, and this router has added little of late.
    fn may_exceed(&self, share: f64, now: Instant, peers: &PeerBudgetUse) -> bool {
        let requests = self.requests.len() as f64 + f64::from(peers.spent.requests);
        let retries = self.retries.len() as f64 + f64::from(peers.spent.retries);
        let budget = self.bounds.ratio * requests + self.bounds.slack;
        let is_late = |at: &&Instant| now.saturating_duration_since(**at) <= peers.staleness;
        let added = self.retries.iter().rev().take_while(is_late).count();
        retries < LITTLE_PART * budget && (added as f64) < ADDED_PART * share
    }

    fn forget(&mut self, now: Instant) {
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
