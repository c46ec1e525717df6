//! What a fleet consists of.

use super::KEY;
use cloverpier_config::{Account, Service};
use cloverpier_daemon_standin::EngineModel;

/// What a fleet consists of.
#[derive(Clone, Debug)]
pub struct FleetSpec {
    pub(super) routers: usize,
    pub(super) engines: usize,
    pub(super) services: usize,
    pub(super) model: EngineModel,
    pub(super) service: Service,
    pub(super) account: Account,
    pub(super) horizon_s: u64,
    pub(super) accounts: usize,
    pub(super) links: bool,
    pub(super) copy_interval_ms: u64,
}

impl FleetSpec {
    /// Three routers, four engines and one plain service.
    pub fn new() -> Self {
        let services = vec!["drafts".into(), "status".into()];
        let mut account = Account::new(KEY, services);
        account.requests_per_s = 10_000;
        account.tokens_per_s = 10_000_000;
        account.max_priority = 9;
        Self {
            routers: 3,
            engines: 4,
            services: 1,
            model: EngineModel::default(),
            service: Service::model("draft-7b"),
            account,
            horizon_s: 600,
            accounts: 1,
            links: false,
            copy_interval_ms: 2,
        }
    }

    /// Sets the number of routers.
    #[must_use]
    pub fn routers(mut self, routers: usize) -> Self {
        self.routers = routers;
        self
    }

    /// Sets the number of engines.
    #[must_use]
    pub fn engines(mut self, engines: usize) -> Self {
        self.engines = engines;
        self
    }

    /// Sets the engines' timing.
    #[must_use]
    pub fn model(mut self, model: EngineModel) -> Self {
        self.model = model;
        self
    }

    /// Changes the model service.
    #[must_use]
    pub fn service(mut self, change: impl FnOnce(&mut Service)) -> Self {
        change(&mut self.service);
        self
    }

    /// Puts links that can be cut before each router's port for peers, and between it and the
    /// platform.
    #[must_use]
    pub fn links(mut self) -> Self {
        self.links = true;
        self
    }

    /// Sets how long tokens are collected before they are copied, in milliseconds.
    #[must_use]
    pub fn copy_interval_ms(mut self, copy_interval_ms: u64) -> Self {
        self.copy_interval_ms = copy_interval_ms;
        self
    }

    /// Sets the number of client accounts; only the first is used.
    #[must_use]
    pub fn accounts(mut self, accounts: usize) -> Self {
        self.accounts = accounts;
        self
    }

    /// Sets how long keys that may not be repeated are remembered, in seconds.
    #[must_use]
    pub fn horizon_s(mut self, horizon_s: u64) -> Self {
        self.horizon_s = horizon_s;
        self
    }
}

impl Default for FleetSpec {
    fn default() -> Self {
        Self::new()
    }
}
