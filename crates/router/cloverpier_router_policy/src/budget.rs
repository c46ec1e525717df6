//! The retry budget: whether a retry may be sent.
//!
//! - **Question.** May this router send one more retry to a service?
//! - **Inputs.** Requests and retries of this router within a sliding window; what live peers
//!   reported of theirs, and how old that may be; the operator's bounds for all routers.
//! - **Answer.** Yes, and the retry is counted, or no.
//! - **Why.** Retries multiply load just when upstreams fail, so all routers together keep within a
//!   budget. Each may spend its share without asking anybody. A burst of failures at one router may
//!   exceed its share while the fleet has hardly spent anything: then it continues slowly, as long as
//!   the fleet is known to have spent little. Even if one router has spent all of that little and then
//!   all spend their shares at the same moment, they stay within the budget: 0.25 and 0.7 of it.
//!
//! [`RetryBudget`] owns the times of one service's requests and retries.

use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Part of the budget that routers spend by their shares; the rest covers what they cannot see.
const SHARED_PART: f64 = 0.7;
/// A router exceeds its share only while the fleet is known to have spent less than this part of
/// the budget.
const LITTLE_SHARE: f64 = 0.25;
/// The part of its share that a router may add within the time in which routers learn of each other.
const MAX_EXCESS: f64 = 0.4;

/// The bound on retries that all routers keep together, for each service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetBounds {
    /// Retries allowed for each request.
    pub ratio: f64,
    /// Retries allowed besides, for all routers together.
    pub slack: f64,
    /// The sliding window.
    pub window: Duration,
}

/// Use of a service's budget within the window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetUse {
    /// Requests of callers.
    pub requests: u32,
    /// Retries.
    pub retries: u32,
}

/// What a router knows of the other routers' use.
#[derive(Clone, Copy, Debug)]
pub struct PeerBudgetUse {
    /// Their use together, as far as they reported it.
    pub total: BudgetUse,
    /// Number of routers that are alive, this one included.
    pub routers: usize,
    /// How old their reports may be.
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
    /// A budget that is not used yet.
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

    /// Counts a request of a caller.
    pub fn on_request(&mut self, now: Instant) {
        self.forget(now);
        self.requests.push_back(now);
    }

    /// This router's use.
    pub fn usage(&mut self, now: Instant) -> BudgetUse {
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
        SHARED_PART * (own + slack)
    }

    /// Whether the fleet has spent little, and this router has added little recently.
    fn may_exceed(&self, share: f64, now: Instant, peers: &PeerBudgetUse) -> bool {
        let requests = self.requests.len() as f64 + f64::from(peers.total.requests);
        let retries = self.retries.len() as f64 + f64::from(peers.total.retries);
        let budget = self.bounds.ratio * requests + self.bounds.slack;
        let is_late = |at: &&Instant| now.saturating_duration_since(**at) <= peers.staleness;
        let added = self.retries.iter().rev().take_while(is_late).count();
        retries < LITTLE_SHARE * budget && (added as f64) < MAX_EXCESS * share
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
