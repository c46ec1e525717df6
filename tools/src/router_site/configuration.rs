//! The configuration that every router site begins with, and the names in it.

use cloverpier_core::ServiceName;
use cloverpier_router_policy::prelude::*;
use std::time::Duration;

/// The host that all routes belong to.
pub const HOST: &str = "ledger.example";
/// The service of model engines, and the plain one.
pub const ENGINES: &str = "drafts";
/// The plain service.
pub const PLAIN: &str = "lookups";
/// A key that the first configuration holds, and its client account.
pub const KEY: &str = "key-of-the-lab";
/// The client account of [`KEY`].
pub const ACCOUNT: &str = "lab";
/// What the names of added routes begin with.
const ADDED: &str = "added-";
/// Paths of the routes that every configuration holds.
pub const STREAM_PATH: &str = "/drafts/";
/// Streams that may not be taken up elsewhere.
pub const FIXED_STREAM_PATH: &str = "/fixed/";
/// Requests that may be repeated.
pub const SAFE_PATH: &str = "/status/";
/// Requests that may not.
pub const UNSAFE_PATH: &str = "/sign/";

fn route(name: &str, prefix: &str, service: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: HOST.to_owned(),
        prefix: prefix.to_owned(),
        streaming: false,
        resumable: false,
        safe: false,
        timeout: Duration::from_secs(3),
        objective: Duration::from_millis(150),
        gap_objective: None,
        priority: 1,
        max_attempts: 1,
        public: false,
        targets: vec![RouteTarget {
            service: ServiceName::new(service),
            weight: 1.0,
        }],
    }
}

/// Adds routes with names of their own, so that the configuration is as large as the users'
/// largest ones.
pub fn add_routes(configuration: &mut Configuration, count: usize) {
    let is_safe = |route: &&Route| route.prefix == SAFE_PATH;
    let like = configuration.routes.iter().find(is_safe).cloned();
    let like = like.unwrap_or_else(|| route("safe", SAFE_PATH, PLAIN));
    let routes = (0..count as u64).map(|n| Route {
        name: format!(
            "{ADDED}{:08x}",
            cloverpier_core::hash_of(&n.to_string()) >> 32
        ),
        prefix: format!(
            "/added-{:08x}/",
            cloverpier_core::hash_of(&n.to_string()) & 0xffff_ffff
        ),
        ..like.clone()
    });
    configuration.routes.extend(routes);
}

/// Takes out the routes that [`add_routes`] added; returns whether there were any.
pub fn remove_added_routes(configuration: &mut Configuration) -> bool {
    let former = configuration.routes.len();
    configuration.routes.retain(|r| !r.name.starts_with(ADDED));
    configuration.routes.len() < former
}

pub(super) fn first_configuration() -> Configuration {
    let stream = Route {
        streaming: true,
        timeout: Duration::from_secs(20),
        objective: Duration::from_millis(4_500),
        gap_objective: Some(Duration::from_millis(700)),
        ..route("fixed", FIXED_STREAM_PATH, ENGINES)
    };
    let resumable = Route {
        resumable: true,
        max_attempts: 5,
        name: "stream".to_owned(),
        prefix: STREAM_PATH.to_owned(),
        ..stream.clone()
    };
    let safe = Route {
        safe: true,
        max_attempts: 2,
        ..route("safe", SAFE_PATH, PLAIN)
    };
    let service = |name: &str, engine| ServiceConfig {
        name: ServiceName::new(name),
        health_path: "/healthz".to_owned(),
        max_connections: 100,
        engine,
    };
    let engine = EngineConfig {
        memory_tokens: 88_000,
        replicates_kv: true,
    };
    Configuration {
        version: 7,
        routes: vec![resumable, stream, safe, route("unsafe", UNSAFE_PATH, PLAIN)],
        services: vec![service(ENGINES, Some(engine)), service(PLAIN, None)],
        accounts: Some(vec![ClientAccount {
            name: ACCOUNT.to_owned(),
            priority: None,
            keys: vec![KEY.to_owned()],
        }]),
        limits: Limits::default(),
    }
}
