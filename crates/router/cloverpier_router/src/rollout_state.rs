//! State of the roll-outs at this router: the registry of orders with their progress, and the orders as the store
//! holds them.
//!
//! Owns both. [`crate::rollouts`] and [`crate::rollout_store`] update them with the views of peers and of the store;
//! [`crate::rollouts`] also records this router's counts in the registry.

use crate::source::StoredRollout;
use cloverpier_core::ServiceName;
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::rollout::RolloutRegistry;
use std::cell::RefCell;
use std::collections::HashMap;
use tokio::sync::Notify;

/// The roll-out orders that this router has received.
#[derive(Debug, Default)]
pub(crate) struct RolloutState {
    /// The newest order of each service, with its progress and the counts of responses at either version.
    pub registry: RefCell<RolloutRegistry>,
    /// The orders as the store holds them, by service. Empty at routers that have never read the store.
    pub stored: RefCell<HashMap<ServiceName, StoredRollout>>,
    /// Wakes [`crate::rollout_steps::drive_rollouts`] when an order is new, or its progress has changed.
    pub registry_changed: Notify,
}

impl RolloutState {
    /// The views of all orders, ended and withdrawn ones too, for a peer that requests them.
    pub fn views(&self) -> Vec<RolloutView> {
        self.registry.borrow().views()
    }

    /// Waits until an order is new, or its progress has changed.
    pub async fn wait_for_change(&self) {
        self.registry_changed.notified().await;
    }
}
