//! Services, upstreams and client accounts.
//!
//! Operators write these types in their intents, and the platform stores them. The names of fields
//! and variants and the defaults of fields are therefore part of stored data and of the API.

use cloverpier_core::{
    AccountName, AdapterName, DataCentre, KeyDigest, ModelName, ServiceName, UpstreamName,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Which calls of a plain service may be executed again when the outcome of the first execution is
/// unknown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeatable {
    /// All calls may be repeated.
    All,
    /// Only calls with a read-only method (GET, HEAD, OPTIONS) may be repeated.
    #[default]
    Reads,
    /// No call may be repeated.
    None,
}

/// The kind of upstreams that serve a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceKind {
    /// Model engines that generate tokens.
    Model {
        /// The model whose weights the engines have to load.
        model: ModelName,
    },
    /// Plain HTTP services.
    Plain {
        /// Which calls may be repeated.
        #[serde(default)]
        repeatable: Repeatable,
    },
}

/// A service that callers name in their requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Whether model engines or plain HTTP servers serve the service.
    pub kind: ServiceKind,
    /// How many peers must hold a copy of a token before the token is sent to the caller: 0 or 1.
    #[serde(default = "default_copies")]
    pub copies: u8,
    /// Time without a token from an engine, in milliseconds, after which the router continues the
    /// generation at another engine. The first token may take four times as long.
    #[serde(default = "default_silence_ms")]
    pub silence_ms: u64,
    /// Whether the bound of `silence_ms` is narrowed for a stream whose earlier gaps between tokens
    /// were short and regular.
    #[serde(default)]
    pub adaptive_silence: bool,
    /// How long a generation keeps running without a connected caller, in milliseconds.
    #[serde(default = "default_linger_ms")]
    pub linger_ms: u64,
    /// Upper bound of the tokens of one generated response.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// How long a request may wait in the queue for a free slot of an engine, in milliseconds.
    #[serde(default = "default_queue_ms")]
    pub queue_ms: u64,
}

fn default_copies() -> u8 {
    1
}
fn default_silence_ms() -> u64 {
    1_000
}
fn default_linger_ms() -> u64 {
    10_000
}
fn default_max_tokens() -> u32 {
    4_096
}
fn default_queue_ms() -> u64 {
    2_000
}

impl Service {
    /// A service of model engines, with the default of every other setting.
    pub fn model(model: &str) -> Self {
        Self::with_kind(ServiceKind::Model {
            model: model.into(),
        })
    }

    /// A plain service, with the default of every other setting.
    pub fn plain(repeatable: Repeatable) -> Self {
        Self::with_kind(ServiceKind::Plain { repeatable })
    }

    fn with_kind(kind: ServiceKind) -> Self {
        Self {
            kind,
            copies: default_copies(),
            silence_ms: default_silence_ms(),
            adaptive_silence: false,
            linger_ms: default_linger_ms(),
            max_tokens: default_max_tokens(),
            queue_ms: default_queue_ms(),
        }
    }
}

/// Whether routers send an upstream new requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UpstreamState {
    /// The upstream receives new requests.
    #[default]
    Active,
    /// The upstream receives no new requests; those in flight run to completion.
    Leaving,
}

/// A model engine or a plain service's server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// The one service that the upstream serves.
    pub service: ServiceName,
    /// The address that the upstream listens on.
    pub address: SocketAddr,
    /// The data centre of the upstream; a router prefers upstreams of its own.
    pub data_centre: DataCentre,
    /// Counts the upstreams that have had this name, from 1. An operator raises the number to reuse
    /// the name of an upstream that left, because a leave mark covers all incarnations up to the
    /// marked one.
    #[serde(default = "default_incarnation")]
    pub incarnation: u64,
    /// Whether the upstream receives new requests.
    #[serde(default)]
    pub state: UpstreamState,
    /// Whether the upstream checks the fencing token of an order. Operators may set the field, but
    /// nothing reads it, as routers send upstreams no orders.
    #[serde(default)]
    pub checks_fence: bool,
    /// How many generations the upstream runs concurrently.
    #[serde(default = "default_slots")]
    pub slots: u32,
}

fn default_incarnation() -> u64 {
    1
}
fn default_slots() -> u32 {
    16
}

impl Upstream {
    /// An active upstream of incarnation 1, with the default of every other setting.
    pub fn new(service: ServiceName, address: SocketAddr, data_centre: DataCentre) -> Self {
        Self {
            service,
            address,
            data_centre,
            incarnation: default_incarnation(),
            state: UpstreamState::Active,
            checks_fence: false,
            slots: default_slots(),
        }
    }
}

/// A client account and its limits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// SHA-256 of the account's key, in hexadecimal.
    pub key_sha256: KeyDigest,
    /// Services that the account may call.
    pub services: Vec<ServiceName>,
    /// Model adapters that the account's requests may select.
    #[serde(default)]
    pub adapters: Vec<AdapterName>,
    /// Rate limit in requests per second, of all routers together.
    #[serde(default = "default_requests")]
    pub requests_per_s: u32,
    /// Rate limit in generated tokens per second, of all routers together.
    #[serde(default = "default_tokens")]
    pub tokens_per_s: u32,
    /// Weight of the account in the fair queue, which shares free slots among waiting accounts.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// The highest priority that the account's requests may have, 0 to 9.
    #[serde(default)]
    pub max_priority: u8,
}

fn default_requests() -> u32 {
    100
}
fn default_tokens() -> u32 {
    20_000
}
fn default_weight() -> u32 {
    1
}

impl Account {
    /// An account that may call the given services, with the default limits and priority 0.
    ///
    /// Only the SHA-256 digest of `key` is kept.
    pub fn new(key: &str, services: Vec<ServiceName>) -> Self {
        Self {
            key_sha256: KeyDigest::of(key),
            services,
            adapters: Vec::new(),
            requests_per_s: default_requests(),
            tokens_per_s: default_tokens(),
            weight: default_weight(),
            max_priority: 0,
        }
    }
}

/// A whole configuration: all services, upstreams and client accounts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// All services, by name.
    #[serde(default)]
    pub services: BTreeMap<ServiceName, Service>,
    /// The upstreams of all services, by name.
    #[serde(default)]
    pub upstreams: BTreeMap<UpstreamName, Upstream>,
    /// All client accounts, by name. The accounts are shared with the parts that contain them, because
    /// there are many.
    #[serde(default)]
    pub accounts: BTreeMap<AccountName, Arc<Account>>,
}
