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
/// A key of a second client account, where engines have bounded memory and speed.
pub const FLOOD_KEY: &str = "key-of-the-batch";
/// The client account of [`FLOOD_KEY`].
pub const FLOOD_ACCOUNT: &str = "batch";
/// What the names of added routes begin with.
const ADDED: &str = "added-";
/// Paths of the routes that every configuration holds.
pub const STREAM_PATH: &str = "/drafts/";
/// Streams that may not be taken up elsewhere.
pub const FIXED_STREAM_PATH: &str = "/fixed/";
/// Less urgent streams, where engines have bounded memory and speed.
pub const LATER_PATH: &str = "/later/";
/// The priority of these; that of the others is 1.
const LATER_PRIORITY: u8 = 4;
/// Upstreams that a stream may reach at most which may be taken up elsewhere.
pub const MAX_ATTEMPTS: u32 = 5;
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

/// Adds what a site under load needs: a route of less urgent streams, a second client account, engines' memory.
pub(super) fn add_load(configuration: &mut Configuration, memory_tokens: u32) {
    let is_stream = |route: &&Route| route.prefix == STREAM_PATH;
    let later = configuration.routes.iter().find(is_stream).cloned();
    configuration.routes.extend(later.map(|stream| Route {
        name: "later".to_owned(),
        prefix: LATER_PATH.to_owned(),
        priority: LATER_PRIORITY,
        ..stream
    }));
    let accounts = configuration.accounts.iter_mut();
    accounts.for_each(|accounts| accounts.push(account(FLOOD_ACCOUNT, FLOOD_KEY)));
    let engines = configuration.services.iter_mut();
    for engine in engines.filter_map(|service| service.engine.as_mut()) {
        engine.memory_tokens = memory_tokens.into();
    }
}

fn account(name: &str, key: &str) -> ClientAccount {
    ClientAccount {
        name: name.to_owned(),
        priority: None,
        keys: vec![key.to_owned()],
    }
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
        max_attempts: MAX_ATTEMPTS,
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
        accounts: Some(vec![account(ACCOUNT, KEY)]),
        limits: Limits::default(),
    }
}
