//! Services, upstreams and client accounts.
//!
//! The shapes that operators write and the platform stores; names and defaults of fields are on
//! the wire and in stored data.

use cloverpier_core::{
    AccountName, AdapterName, DataCentre, KeyDigest, ModelName, ServiceName, UpstreamName,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Whether a service's calls may be run again when their outcome is unknown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeatable {
    /// All calls may be repeated.
    All,
    /// Calls that read (GET, HEAD, OPTIONS) may be repeated.
    #[default]
    Reads,
    /// No call may be repeated.
    None,
}

/// What stands behind a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceKind {
    /// Model engines that generate tokens.
    Model {
        /// The weights that its engines load.
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
    /// What stands behind it.
    pub kind: ServiceKind,
    /// Copies of an answer that peers hold before a token is released: 0 or 1.
    #[serde(default = "default_copies")]
    pub copies: u8,
    /// Silence of an engine, in milliseconds, after which its generation goes on elsewhere.
    #[serde(default = "default_silence_ms")]
    pub silence_ms: u64,
    /// Whether a steady stream is given up sooner than that, by the gaps that it had.
    #[serde(default)]
    pub adaptive_silence: bool,
    /// How long a generation runs on without its caller, in milliseconds.
    #[serde(default = "default_linger_ms")]
    pub linger_ms: u64,
    /// The most tokens of one answer.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// The longest wait for a place at an engine, in milliseconds.
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
    /// A model service with the usual settings.
    pub fn model(model: &str) -> Self {
        Self::with_kind(ServiceKind::Model {
            model: model.into(),
        })
    }

    /// A plain service with the usual settings.
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

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UpstreamState {
    /// It takes new work.
    #[default]
    Active,
    /// It takes none; what runs there runs to its end.
    Leaving,
}

/// A model engine or a plain service's server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// The service that it serves.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Rises each time the name is used again; a mark to leave binds one incarnation.
    #[serde(default = "default_incarnation")]
    pub incarnation: u64,
    /// Whether it takes new work.
    #[serde(default)]
    pub state: UpstreamState,
    /// Whether it checks the fence of an order.  Operators may set it; nothing reads it yet,
    /// as routers give upstreams no orders.
    #[serde(default)]
    pub checks_fence: bool,
    /// Generations that it runs at once.
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
    /// An active upstream with the usual settings.
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
    /// Services that it may call.
    pub services: Vec<ServiceName>,
    /// Adapters that it may name.
    #[serde(default)]
    pub adapters: Vec<AdapterName>,
    /// Requests a second over all routers.
    #[serde(default = "default_requests")]
    pub requests_per_s: u32,
    /// Generated tokens a second over all routers.
    #[serde(default = "default_tokens")]
    pub tokens_per_s: u32,
    /// Its share against other accounts when places are short.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// The highest priority that it may ask for, 0 to 9.
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
    /// An account with the usual limits that may call the given services.
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

/// A whole configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// Services by name.
    #[serde(default)]
    pub services: BTreeMap<ServiceName, Service>,
    /// Upstreams by name.
    #[serde(default)]
    pub upstreams: BTreeMap<UpstreamName, Upstream>,
    /// Client accounts by name; shared with the parts that they came in, as there are many.
    #[serde(default)]
    pub accounts: BTreeMap<AccountName, Arc<Account>>,
}
