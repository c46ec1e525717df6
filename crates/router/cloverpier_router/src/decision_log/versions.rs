//! Log lines on the store, on versions that travel between routers, and on prompts that are searched.
//!
//! As the parent module says, the names of events and fields stay.

use cloverpier_router_policy::prelude::*;
use serde::Serialize;
use std::net::SocketAddr;

/// This router begins or ends to watch the store.
#[derive(Serialize)]
pub(crate) struct WatcherRoleChanged {
    #[serde(rename = "follows")]
    pub watches: bool,
    pub live_peers: usize,
    pub reason: WatcherRole,
}

/// A newer version was put in force.
#[derive(Serialize)]
pub(crate) struct VersionApplied<'a> {
    pub what: &'a str,
    pub version: u64,
    pub from: &'a str,
}

/// A newer version was fetched from a peer.
#[derive(Serialize)]
pub(crate) struct VersionFetched<'a> {
    pub what: &'a str,
    pub from: SocketAddr,
    /// Bytes of the reply's body, as they were on the wire.
    pub bytes: usize,
    pub took_ms: u64,
}

/// A newer version could not be fetched from a peer.
#[derive(Serialize)]
pub(crate) struct FetchFailed<'a> {
    pub name: &'a str,
    pub reason: &'a str,
    pub what: &'a str,
    pub from: SocketAddr,
    pub took_ms: u64,
}

/// A configuration was handed to a peer.
#[derive(Serialize)]
pub(crate) struct VersionServed<'a> {
    pub what: &'a str,
    pub version: u64,
    pub bytes: usize,
}

/// A search for the engine that has read a prompt has ended.
#[derive(Debug, Serialize)]
pub(crate) struct PromptSearched<'a> {
    /// The request that goes on with the prompt.
    pub request: &'a str,
    /// The service.
    pub service: &'a str,
    /// The prompt.
    pub prompt: PromptKey,
    /// Engines that were asked recently, for any prompt.
    #[serde(rename = "engines_asked_of_late")]
    pub engines_asked: usize,
    /// Whether one of them has it.
    pub found: bool,
    /// How long it took, in milliseconds.
    pub took_ms: u64,
}
