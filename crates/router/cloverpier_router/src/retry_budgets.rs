//! The retry budgets of this router, one for each service.
//!
//! Owns a [`RetryBudget`] for each service, which is created when the service's first request arrives. Relies on
//! its user to pass the current bounds with each call, as settings may change while the process runs.

use cloverpier_core::ServiceName;
use cloverpier_router_policy::prelude::*;
use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Instant;

/// The retry budget of each service.
#[derive(Debug, Default)]
pub(crate) struct RetryBudgets {
    by_service: RefCell<HashMap<ServiceName, RetryBudget>>,
}

impl RetryBudgets {
    /// Applies the current bounds to the budget of a service, and passes the budget to `act`.
    pub fn with_budget<T>(
        &self,
        service: &ServiceName,
        bounds: BudgetBounds,
        act: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut budgets = self.by_service.borrow_mut();
        let budget = budgets.entry(service.clone());
        let budget = budget.or_insert_with(|| RetryBudget::new(bounds));
        budget.set_bounds(bounds);
        act(budget)
    }

    /// The requests and retries of this router within the budget's window, for each service.
    pub fn usage(&self, now: Instant) -> Vec<(ServiceKey, BudgetUse)> {
        let mut budgets = self.by_service.borrow_mut();
        let usage = budgets.iter_mut();
        let usage = usage.map(|(service, budget)| (ServiceKey::of(service), budget.usage(now)));
        usage.collect()
    }
}
