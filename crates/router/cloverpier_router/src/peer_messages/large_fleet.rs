//! What routers of a large fleet send each other in place of heartbeats.
//!
//! As the parent module says, the order of fields is on the wire.

use cloverpier_router_policy::membership::MemberUpdate;
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::watcher_reports::WatcherReport;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What a router of a large fleet sends in place of heartbeats.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// What the sender says of itself.
    pub sender: MemberUpdate,
    /// Whether the sender waits for a message: it probes the recipient, or has just begun.
    pub wants_reply: bool,
    /// How many members the sender knows.
    pub members: u32,
    /// A digest of what the sender knows of them.
    pub digest: u64,
    /// Version of the configuration that the sender uses; 0 before the first.
    pub configuration_version: u64,
    /// Revision of the sender's list of upstreams.
    pub upstreams_revision: u64,
    /// What the watchers of the store said last, as far as the sender knows.
    pub watchers: Vec<WatcherReport>,
    /// Upstreams that the sender suspects to be dead.
    pub suspects: Vec<UpstreamKey>,
    /// The sender's use of each service's retry budget.
    pub budget_use: Vec<(ServiceKey, BudgetUse)>,
    /// What is new of other routers.
    pub updates: Vec<MemberUpdate>,
}

/// Some of the members that a router knows, for one that knows fewer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// The sender's address for peers.
    pub sender: SocketAddr,
    /// The members.
    pub members: Vec<MemberUpdate>,
}

/// Changes of upstreams, passed on from router to router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamUpdate {
    /// The sender's address for peers.
    pub sender: SocketAddr,
    /// The revision that the changes follow.
    pub after: u64,
    /// The revision that they lead to.
    pub revision: u64,
    /// The changes, in order.
    pub changes: Vec<UpstreamChange>,
}
