//! The configuration in force: routes, services, client accounts and limits.
//!
//! [`Configuration`] is what the operator set, as it travels between routers: the order of
//! its fields is on the wire. [`ConfigurationIndex`] is the same, indexed for requests.
//! Which route a request takes is decided here: the longest prefix of its host's routes
//! wins, and of the route's services one by weight, at random.
//!
//! Relies on the adapter for the operator's format.

use crate::attempts::RetryRule;
use cloverpier_core::ServiceName;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Bounds on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Bytes of a request's head at most.
    pub header_bytes: usize,
    /// Bytes of a request's body at most.
    pub body_bytes: usize,
    /// Longest time for a request's head.
    pub header_timeout: Duration,
    /// Longest time that a connection may be idle.
    pub idle_timeout: Duration,
}

// The bounds until a configuration is known, when requests are refused anyway.
const DEFAULT_HEADER_BYTES: usize = 16 * 1024;
const DEFAULT_BODY_BYTES: usize = 4 * 1024 * 1024;
const DEFAULT_HEADER_TIMEOUT: Duration = Duration::from_secs(3);
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: DEFAULT_HEADER_BYTES,
            body_bytes: DEFAULT_BODY_BYTES,
            header_timeout: DEFAULT_HEADER_TIMEOUT,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
        }
    }
}

/// A service that takes a part of a route's requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceName,
    /// Its weight among the route's targets.
    pub weight: f64,
}

/// A rule that takes requests of one host below one path to services.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// Its host, in lower case.
    pub host: String,
    /// The path's beginning, with a slash at both ends.
    pub prefix: String,
    /// Whether its answers are event streams.
    pub streaming: bool,
    /// Whether another upstream may continue its streams.
    pub resumable: bool,
    /// Whether its requests are idempotent.
    pub safe: bool,
    /// How long a request is held at most.
    pub timeout: Duration,
    /// The time within which an answer (a stream's first event) is on time.
    pub objective: Duration,
    /// The longest pause between events that is still on time.
    pub gap_objective: Option<Duration>,
    /// Its rank, 0 the highest.
    pub priority: u8,
    /// Most upstreams that one request is sent to.
    pub max_attempts: u32,
    /// Whether it needs no key.
    pub public: bool,
    /// Where its requests go.
    pub targets: Vec<RouteTarget>,
}

impl Route {
    /// Whether requests of this route may be retried.
    pub fn retry_rule(&self) -> RetryRule {
        match (self.streaming, self.safe, self.resumable) {
            (true, _, true) => RetryRule::Resumable,
            (false, true, _) => RetryRule::Safe,
            _ => RetryRule::AtMostOnce,
        }
    }

    /// Picks one of the targets by weight.
    pub fn pick_target(&self, rng: &mut fastrand::Rng) -> Option<&ServiceName> {
        let total: f64 = self.targets.iter().map(|t| t.weight.max(0.0)).sum();
        let mut point = rng.f64() * total;
        for target in &self.targets {
            point -= target.weight.max(0.0);
            if point < 0.0 {
                return Some(&target.service);
            }
        }
        self.targets.last().map(|t| &t.service)
    }
}

/// Settings of a service whose upstreams are model engines.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineConfig {
    /// Tokens that fit into an engine's KV cache.
    pub memory_tokens: u64,
    /// Whether an engine can replicate a run's KV cache to another one as it grows.
    pub replicates_kv: bool,
}

/// Settings of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceConfig {
    /// Its name.
    pub name: ServiceName,
    /// Where its upstreams answer health checks.
    pub health_path: String,
    /// Connections that one upstream takes from all routers together; 0 where that is not said.
    pub max_connections: u32,
    /// Set where its upstreams are model engines.
    pub engine: Option<EngineConfig>,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClientAccount {
    /// Its name.
    pub name: String,
    /// Its rank, which goes before its routes' ranks.
    pub priority: Option<u8>,
    /// Its keys.
    pub keys: Vec<String>,
}

/// A configuration as it travels between routers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Its version; later ones are higher.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<ServiceConfig>,
    /// All client accounts; `None` where requests carry no keys.
    pub accounts: Option<Vec<ClientAccount>>,
    /// Bounds on clients.
    pub limits: Limits,
}

/// A configuration, indexed for requests.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationIndex {
    parts: Configuration,
    by_host: HashMap<String, Vec<Arc<Route>>>,
    by_key: HashMap<String, Arc<ClientAccount>>,
    services: HashMap<ServiceName, Arc<ServiceConfig>>,
}

impl ConfigurationIndex {
    /// Indexes a configuration.
    pub fn new(parts: Configuration) -> Self {
        Self {
            by_host: index_routes(&parts.routes),
            // Without a list of accounts there are no keys, and callers need none.
            by_key: index_keys(parts.accounts.as_deref().unwrap_or_default()),
            services: parts
                .services
                .iter()
                .map(|s| (s.name.clone(), Arc::new(s.clone())))
                .collect(),
            parts,
        }
    }

    /// The configuration as it travels.
    pub fn parts(&self) -> &Configuration {
        &self.parts
    }

    /// Its version.
    pub fn version(&self) -> u64 {
        self.parts.version
    }

    /// Bounds on clients.
    pub fn limits(&self) -> Limits {
        self.parts.limits
    }

    /// The route with the longest prefix that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.by_host.get(host)?;
        routes.iter().find(|r| path.starts_with(&r.prefix))
    }

    /// A service by its name.
    pub fn service(&self, name: &ServiceName) -> Option<&Arc<ServiceConfig>> {
        self.services.get(name)
    }

    /// Whether requests of routes that aren't public carry keys.
    pub fn requires_keys(&self) -> bool {
        self.parts.accounts.is_some()
    }

    /// The client account that holds a key.
    pub fn account_for_key(&self, key: &str) -> Option<&Arc<ClientAccount>> {
        self.by_key.get(key)
    }
}

fn index_routes(routes: &[Route]) -> HashMap<String, Vec<Arc<Route>>> {
    let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
    for route in routes {
        let of_host = by_host.entry(route.host.clone()).or_default();
        of_host.push(Arc::new(route.clone()));
    }
    for routes in by_host.values_mut() {
        routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
    }
    by_host
}

fn index_keys(accounts: &[ClientAccount]) -> HashMap<String, Arc<ClientAccount>> {
    let mut by_key = HashMap::new();
    for account in accounts {
        let shared = Arc::new(account.clone());
        for key in &account.keys {
            by_key.insert(key.clone(), Arc::clone(&shared));
        }
    }
    by_key
}
