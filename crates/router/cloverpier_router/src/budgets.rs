//! This router's use of the retry budget, by service.
//!
//! Owns one [`RetryBudget`] a service, made when its first request arrives. Relies on the
//! bounds being passed in with each use, as settings may change while the process runs.

use cloverpier_core::ServiceName;
use cloverpier_router_policy::prelude::*;
use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Instant;

/// The retry budgets of all services.
#[derive(Debug, Default)]
pub(crate) struct RetryBudgets {
    by_service: RefCell<HashMap<ServiceName, RetryBudget>>,
}

impl RetryBudgets {
    /// Uses the budget of a service under the bounds in force.
    pub fn with<T>(
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

    /// The use of each service's budget within its window.
    pub fn usage(&self, now: Instant) -> Vec<(ServiceKey, BudgetUse)> {
        let mut budgets = self.by_service.borrow_mut();
        let usage = budgets.iter_mut();
        let usage = usage.map(|(service, budget)| (ServiceKey::of(service), budget.usage(now)));
        usage.collect()
    }
}
