//! One router's share of the fleet's retry budget.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Part of the fleet's budget that routers spend; the rest covers what they can't see.
const SPENT_PART: f64 = 0.7;

/// The bound on repeats that all routers keep together, for each service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetBounds {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed besides, for all routers.
    pub slack: f64,
    /// The sliding window.
    pub window: Duration,
}

/// Requests and repeats of one service within the window.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    bounds: BudgetBounds,
    requests: VecDeque<Instant>,
    repeats: VecDeque<Instant>,
}

impl RetryBudget {
    /// A budget of which nothing is spent.
    pub fn new(bounds: BudgetBounds) -> Self {
        Self {
            bounds,
            requests: VecDeque::new(),
            repeats: VecDeque::new(),
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

    /// Takes one repeat from the share of one of `routers` routers, if there is one left.
    pub fn take_repeat(&mut self, now: Instant, routers: usize) -> bool {
        self.forget(now);
        if self.repeats.len() as f64 >= self.allowed(routers) {
            return false;
        }
        self.repeats.push_back(now);
        true
    }

    fn allowed(&self, routers: usize) -> f64 {
        let own = self.bounds.ratio * self.requests.len() as f64;
        let slack = self.bounds.slack / routers.max(1) as f64;
        SPENT_PART * (own + slack)
    }

    fn forget(&mut self, now: Instant) {
        let window = self.bounds.window;
        for times in [&mut self.requests, &mut self.repeats] {
            while times
                .front()
                .is_some_and(|at| now.saturating_duration_since(*at) > window)
            {
                times.pop_front();
            }
        }
    }
}
