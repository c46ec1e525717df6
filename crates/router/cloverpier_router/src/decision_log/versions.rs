//! Log lines about the store, about versions of the configuration and of the list of upstreams that routers send each
//! other, and about prompt searches.
//!
//! The names of events and fields are outer names; see the parent module. Owns no state.

use cloverpier_router_policy::list_digest::ListDigest;
use cloverpier_router_policy::prelude::*;
use serde::Serialize;
use std::net::SocketAddr;

/// This router started or stopped watching the store.
#[derive(Serialize)]
pub(crate) struct WatcherRoleChanged {
    #[serde(rename = "follows")]
    pub watches: bool,
    /// Number of other routers that are alive.
    pub live_peers: usize,
    /// The role that this router has now.
    #[serde(rename = "reason")]
    pub role: WatcherRole,
}

/// A newer version of the configuration or of the list of upstreams was put in force.
#[derive(Serialize)]
pub(crate) struct VersionApplied<'a> {
    /// Which of the two.
    pub what: &'a str,
    pub version: u64,
    /// The peer that sent the version, or the store.
    pub from: &'a str,
}

/// A watch of the store ended with a response.
#[derive(Serialize)]
pub(crate) struct WatchAnswered<'a> {
    /// The watched data.
    pub name: &'a str,
    /// The revision from which the watch began, and the one up to which the response contains all changes.
    pub after: u64,
    pub revision: u64,
    /// Number of changes in the response.
    pub changes: usize,
    /// Milliseconds from the call to its response.
    pub waited_ms: u64,
}

/// An upstream left the platform's list, or its entry announces that it will.
#[derive(Serialize)]
pub(crate) struct UpstreamDeparted<'a> {
    #[serde(rename = "server")]
    pub upstream: &'a str,
    pub address: String,
    pub reason: Departure,
    /// This router's requests in flight there.
    pub own_requests: u32,
    /// The revision of the list by which this router learned of it.
    #[serde(rename = "fleet_revision")]
    pub upstreams_revision: u64,
    /// The peer that sent the change, or the store.
    pub from: &'a str,
}

/// A newer version of the configuration or of the list of upstreams was fetched from a peer.
#[derive(Serialize)]
pub(crate) struct VersionFetched<'a> {
    /// Which of the two.
    pub what: &'a str,
    /// The peer.
    pub from: SocketAddr,
    /// Length of the response's body as transmitted.
    pub bytes: usize,
    /// Milliseconds from the request to the last byte of the response.
    pub took_ms: u64,
}

/// A newer version of the configuration or of the list of upstreams could not be fetched from a peer.
#[derive(Serialize)]
pub(crate) struct FetchFailed<'a> {
    pub name: &'a str,
    pub reason: &'a str,
    /// Which of the two.
    pub what: &'a str,
    /// The peer.
    pub from: SocketAddr,
    /// Milliseconds from the request to the failure.
    pub took_ms: u64,
}

/// Peers have reported a newer version of the configuration or of the list of upstreams, and none has delivered it in time.
#[derive(Serialize)]
pub(crate) struct VersionOverdue {
    /// Which of the two.
    pub what: &'static str,
    /// The version in force at this router.
    pub version: u64,
    /// Milliseconds since this router began to fetch the newer version.
    pub known_ms: u64,
}

/// Nothing has shown for a while that the list of upstreams in force lacks no change.
#[derive(Serialize)]
pub(crate) struct ListUnproven {
    /// The revision of the list.
    pub revision: u64,
    /// Milliseconds since it was last shown to be complete; `None` if it never was.
    pub proven_ms_ago: Option<u64>,
}

/// A whole list of upstreams that was read from the store differs from the list in force.
#[derive(Serialize)]
pub(crate) struct ListCorrected {
    /// The revision of the list in force, and that of the list that was read.
    pub former_revision: u64,
    pub revision: u64,
    /// Number of entries that differ.
    pub changes: usize,
    /// The digest of the list after the read.
    pub digest: ListDigest,
}

/// A peer has read another list of upstreams from the store than this router has.
#[derive(Serialize)]
pub(crate) struct ListDiffers {
    pub peer: String,
    /// The revisions and digests of both lists.
    pub revision: u64,
    pub peer_revision: u64,
    pub digest: ListDigest,
    pub peer_digest: ListDigest,
    /// Milliseconds since the peer's list was read.
    pub read_ms_ago: u32,
}

/// A copy of the configuration was sent to a peer.
#[derive(Serialize)]
pub(crate) struct VersionServed<'a> {
    pub what: &'a str,
    pub version: u64,
    /// Length of the copy as transmitted.
    pub bytes: usize,
}

/// A search for an engine that has read a prompt ended.
#[derive(Debug, Serialize)]
pub(crate) struct PromptSearched<'a> {
    /// The id of the request that continues the prompt.
    pub request: &'a str,
    /// The service whose engines were queried.
    pub service: &'a str,
    /// A hash of the prompt.
    pub prompt: PromptKey,
    /// Number of engines that were queried recently, for this prompt or others.
    #[serde(rename = "engines_asked_of_late")]
    pub recently_queried: usize,
    /// Whether the location of the prompt is known after the search.
    pub found: bool,
    /// The duration of the search in milliseconds.
    pub took_ms: u64,
}
