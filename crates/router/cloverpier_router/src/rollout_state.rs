//! The orders of roll-outs that this router knows. [`crate::rollouts`] learns of them and records what
//! it sees. Owns the book of orders, and the orders as the store holds them.

use crate::source::StoredRollout;
use cloverpier_core::ServiceName;
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::rollout::RolloutRegistry;
use std::cell::RefCell;
use std::collections::HashMap;
use tokio::sync::Notify;

/// The orders that this router knows.
#[derive(Debug, Default)]
pub(crate) struct Rollouts {
    pub book: RefCell<RolloutRegistry>,
    /// Orders as the store holds them, by service, at routers that read it.
    pub stored: RefCell<HashMap<ServiceName, StoredRollout>>,
    /// Wakes the loop that takes the steps.
    pub changed: Notify,
}

impl Rollouts {
    /// All views, for peers.
    pub fn views(&self) -> Vec<RolloutView> {
        self.book.borrow().views()
    }

    /// Waits until an order is new or further on.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }
}
