//! Messages that routers of a large fleet send each other instead of heartbeats.
//!
//! The order of fields is part of the protocol, as for all types of [`super`].

use cloverpier_router_policy::membership::MemberUpdate;
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::watcher_reports::WatcherReport;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A gossip message, which carries the sender's state and updates about other routers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// The state that the sender reports for itself.
    pub sender: MemberUpdate,
    /// Whether the sender requires a gossip message as a reply, because it probes the recipient or sends to
    /// it for the first time.
    pub wants_reply: bool,
    /// Number of live members in the sender's record, without the sender.
    pub members: u32,
    /// Digest of the sender's record of live members; routers with the same record have the same digest.
    pub digest: u64,
    /// Version of the configuration in force at the sender; 0 before the first.
    pub configuration_version: u64,
    /// Revision of the sender's list of upstreams; 0 before the first list.
    pub upstreams_revision: u64,
    /// The last reports of the store's watchers that the sender has received, its own included if it is a
    /// watcher.
    pub watchers: Vec<WatcherReport>,
    /// Upstreams that the sender suspects to be dead, at most 16.
    pub suspects: Vec<UpstreamKey>,
    /// The requests and retries that the sender counts against each service's retry budget.
    pub budget_use: Vec<(ServiceKey, BudgetUse)>,
    /// Recent updates about other routers. A reply may also contain a sample of members without an update.
    pub updates: Vec<MemberUpdate>,
}

/// Updates about some members: a chunk of a member list, a report of leaving and dead routers, or the notice
/// to a router that it is recorded as dead.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// The sender's address for peers.
    pub sender: SocketAddr,
    /// The updates, at most 48.
    pub members: Vec<MemberUpdate>,
}

/// Changes of the list of upstreams, which routers forward to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamUpdate {
    /// The sender's address for peers.
    pub sender: SocketAddr,
    /// The revision of the list before these changes. A router with an older list can't apply them, and
    /// fetches all changes that it lacks.
    pub after: u64,
    /// The revision of the list after these changes.
    pub revision: u64,
    /// The changes, in the order in which they apply.
    pub changes: Vec<UpstreamChange>,
}
