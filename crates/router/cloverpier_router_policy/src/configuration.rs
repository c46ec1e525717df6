//! The configuration in force: routes, services, client accounts and limits.
//!
//! [`Configuration`] holds what the operator set, in the form in which routers send it to each other without
//! field names, so the order of its fields is part of the protocol. [`ConfigurationIndex`] holds the same
//! with indexes for requests. This module matches requests to routes: of the routes for the request's host,
//! the one with the longest matching path prefix is used, and one of the route's services is picked at random
//! by weight.
//!
//! Relies on the platform's adapter to read the operator's format.

use crate::admission::room::first_event_bound;
use crate::attempts::RetryRule;
use cloverpier_core::ServiceName;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Limits on requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum size in bytes of a request's line and headers; at least the minimum of the HTTP library.
    pub header_bytes: usize,
    /// Maximum size in bytes of a request's body.
    pub body_bytes: usize,
    /// Timeout for receiving a request's line and headers. As one timer covers this and idle connections, the
    /// router applies the larger of this and `idle_timeout`.
    pub header_timeout: Duration,
    /// How long a connection may be idle between requests; see `header_timeout`.
    pub idle_timeout: Duration,
}

// These limits apply before the first configuration arrives, when all requests are refused anyway.
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

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteTarget {
    /// The name of the service.
    pub service: ServiceName,
    /// The service's share of the route's requests, relative to the sum of all targets' weights. A negative
    /// weight counts as 0.
    pub weight: f64,
}

/// A rule that forwards requests with a given host and path prefix to services.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The operator's name of the route.
    pub name: String,
    /// The host that a request has to name, in lower case.
    pub host: String,
    /// The prefix of the request's path, with a slash at both ends.
    pub prefix: String,
    /// Whether responses are event streams.
    pub streaming: bool,
    /// Whether another upstream may continue a stream after its last event.
    pub resumable: bool,
    /// Whether requests are idempotent, so that they may run more than once.
    pub safe: bool,
    /// Maximum time for a request from its arrival; a caller may set a shorter one.
    pub timeout: Duration,
    /// Target time for a response, or for the first event of a stream.
    pub objective: Duration,
    /// Target for the longest pause between the events of a stream; `None` if the route has none.
    pub gap_objective: Option<Duration>,
    /// Priority of requests at upstreams, 0 the highest. A client account's own priority overrides it.
    pub priority: u8,
    /// Maximum number of attempts to send one request to upstreams.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
    /// The services that receive the requests, one of them for each request.
    pub targets: Vec<RouteTarget>,
}

impl Route {
    /// Under what condition a request of this route that may have run is sent again.
    pub fn retry_rule(&self) -> RetryRule {
        match (self.streaming, self.safe, self.resumable) {
            (true, _, true) => RetryRule::Resumable,
            (false, true, _) => RetryRule::Safe,
            _ => RetryRule::AtMostOnce,
        }
    }

    /// Picks one of the targets at random by weight; `None` if the route has none.
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

/// Settings of a service whose upstreams are model engines, which run language models.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineConfig {
    /// Number of tokens that fit into one engine's KV cache.
    pub memory_tokens: u64,
    /// Whether an engine can replicate a stream's KV cache to another engine while the stream runs.
    pub replicates_kv: bool,
}

/// Settings of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceConfig {
    /// The name by which routes and upstreams refer to the service.
    pub name: ServiceName,
    /// The path at which the service's upstreams respond to health checks.
    pub health_path: String,
    /// Maximum number of connections to one upstream from all routers together; 0 if the operator sets none.
    pub max_connections: u32,
    /// Engine settings; `None` if the service's upstreams are not model engines.
    pub engine: Option<EngineConfig>,
}

/// A customer of the operator, identified by the keys in its requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClientAccount {
    /// The operator's name of the account, which upstreams receive with its requests.
    pub name: String,
    /// Priority of the account's requests at upstreams, 0 the highest; `None` to use the route's.
    pub priority: Option<u8>,
    /// The keys that identify requests of the account.
    pub keys: Vec<String>,
}

/// A whole configuration, in the form in which routers send it to each other.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Version number; a later configuration has a higher one, and 0 means none.
    pub version: u64,
    /// Routes of all hosts, in any order.
    pub routes: Vec<Route>,
    /// The services that routes forward requests to.
    pub services: Vec<ServiceConfig>,
    /// All client accounts; `None` if requests carry no keys.
    pub accounts: Option<Vec<ClientAccount>>,
    /// Limits on requests and connections of callers.
    pub limits: Limits,
}

/// A configuration with indexes by host, key and service name.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationIndex {
    unindexed: Configuration,
    by_host: HashMap<String, Vec<Arc<Route>>>,
    by_key: HashMap<String, Arc<ClientAccount>>,
    services: HashMap<ServiceName, Arc<ServiceConfig>>,
}

impl ConfigurationIndex {
    /// Builds the indexes for a configuration.
    pub fn new(unindexed: Configuration) -> Self {
        Self {
            by_host: index_routes(&unindexed.routes),
            // Without a list of accounts, callers need no keys.
            by_key: index_keys(unindexed.accounts.as_deref().unwrap_or_default()),
            services: unindexed
                .services
                .iter()
                .map(|s| (s.name.clone(), Arc::new(s.clone())))
                .collect(),
            unindexed,
        }
    }

    /// The configuration without indexes, as routers send it to each other.
    pub fn unindexed(&self) -> &Configuration {
        &self.unindexed
    }

    /// The configuration's version number; a later configuration has a higher one.
    pub fn version(&self) -> u64 {
        self.unindexed.version
    }

    /// Limits on requests and connections of callers.
    pub fn limits(&self) -> Limits {
        self.unindexed.limits
    }

    /// The route for a request: of the routes for `host`, which must be in lower case, the one with the longest
    /// prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.by_host.get(host)?;
        routes.iter().find(|r| path.starts_with(&r.prefix))
    }

    /// Looks up a service by its name.
    pub fn service(&self, name: &ServiceName) -> Option<&Arc<ServiceConfig>> {
        self.services.get(name)
    }

    /// Whether a route leads to a service whose streams may be resumed.
    pub fn has_resumable_streams(&self, service: &ServiceName) -> bool {
        let routes = self.unindexed.routes.iter();
        let mut resumable = routes.filter(|route| route.retry_rule() == RetryRule::Resumable);
        resumable.any(|route| {
            route
                .targets
                .iter()
                .any(|target| target.service == *service)
        })
    }

    /// The shortest objective of the routes that lead streams to a service; `None` if there is no such route.
    pub fn tightest_stream_objective(&self, service: &ServiceName) -> Option<Duration> {
        let routes = self.unindexed.routes.iter().filter(|r| r.streaming);
        let leading = routes.filter(|r| r.targets.iter().any(|t| t.service == *service));
        leading.map(|r| r.objective).min()
    }

    /// The bounds on the first event of new streams ([`crate::admission::room`]), for each service with engines.
    pub fn first_event_bounds(&self) -> HashMap<ServiceName, Duration> {
        let with_engines = self.services.values().filter(|s| s.engine.is_some());
        let bounds = with_engines.filter_map(|s| {
            let objective = self.tightest_stream_objective(&s.name)?;
            Some((s.name.clone(), first_event_bound(objective)))
        });
        bounds.collect()
    }

    /// Whether requests of routes that aren't public must carry keys.
    pub fn requires_keys(&self) -> bool {
        self.unindexed.accounts.is_some()
    }

    /// The client account that a key belongs to.
    pub fn account_for_key(&self, key: &str) -> Option<&Arc<ClientAccount>> {
        self.by_key.get(key)
    }
}

fn index_routes(routes: &[Route]) -> HashMap<String, Vec<Arc<Route>>> {
    let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
    for route in routes {
        let host_routes = by_host.entry(route.host.clone()).or_default();
        host_routes.push(Arc::new(route.clone()));
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
