//! Messages between routers: their shapes and their codec.
//!
//! Owns everything that one router sends to another: datagrams (heartbeats and
//! changes) and the replies to fetches of newer versions. All are `MessagePack`
//! without field names, so the *order* of fields is on the wire, and so are the
//! names of enum variants; names of fields and types are free. The golden files
//! in `tests/golden` hold the bytes, and a change there is a change of protocol.
//!
//! Relies on the types of `cloverpier_router_policy` that travel inside the messages.

mod codec;
mod large_fleet;

pub use codec::{CodecError, compress, decode, decompress, encode};
pub use large_fleet::{Gossip, Members, UpstreamUpdate};

use cloverpier_core::{DataCentre, UpstreamName};
use cloverpier_crashes::ContentReport;
use cloverpier_router_policy::limit::LimitReport;
use cloverpier_router_policy::permit::{PermitReply, PermitRequest};
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::rollout::evidence::EvidenceReport;
use cloverpier_router_policy::singleton::autoscaling::ServiceLoad;
use cloverpier_router_policy::singleton::lease::RecordVersion;
use cloverpier_router_policy::singleton::metering::ReportedWindow;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The sender's own load at one upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// Requests in flight.
    pub requests: u32,
    /// Prompt tokens that the upstream has not read yet.
    pub unread_tokens: u32,
    /// Tokens in the upstream's memory, or to come there.
    pub memory_tokens: u32,
}

impl LoadReport {
    /// A report of the load at one upstream.
    pub fn new((upstream, load): (UpstreamKey, Load)) -> Self {
        Self {
            upstream,
            requests: load.requests,
            unread_tokens: load.unread_tokens,
            memory_tokens: load.memory_tokens,
        }
    }

    /// The upstream and the load there.
    pub fn into_load(self) -> (UpstreamKey, Load) {
        let load = Load {
            requests: self.requests,
            unread_tokens: self.unread_tokens,
            memory_tokens: self.memory_tokens,
        };
        (self.upstream, load)
    }
}

/// The whole state that a router reports to its peers in each period.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender's address for peers, which identifies it.
    pub sender: SocketAddr,
    /// Where the sender serves callers.
    pub callers: SocketAddr,
    /// The sender's data centre.
    pub data_centre: DataCentre,
    /// Whether the sender takes new callers.
    pub state: PeerState,
    /// Version of the configuration that the sender uses; 0 before the first.
    pub configuration_version: u64,
    /// Revision of the sender's list of upstreams.
    pub upstreams_revision: u64,
    /// Milliseconds since the sender's last successful store call; `None` if it does not watch
    /// the store.
    pub store_age_ms: Option<u32>,
    /// The sender's load at each upstream where it has any.
    pub load: Vec<LoadReport>,
    /// Upstreams that the sender suspects to be dead.
    pub suspects: Vec<UpstreamKey>,
    /// Engines that run the sender's streams, by prompt.
    pub prompt_locations: Vec<(PromptKey, UpstreamKey)>,
    /// Some of the sender's peers, by which routers discover each other.
    pub known_peers: Vec<SocketAddr>,
    /// The sender's use of each service's retry budget.
    pub budget_use: Vec<(ServiceKey, BudgetUse)>,
}

/// What changed at a router since its last message, sent at once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The sender's address for peers.
    pub sender: SocketAddr,
    /// The sender's load at upstreams where it changed.
    pub load: Vec<LoadReport>,
    /// Those of these upstreams that the sender suspects.
    pub suspects: Vec<UpstreamKey>,
    /// Engines that have begun to read a prompt.
    pub prompt_locations: Vec<(PromptKey, UpstreamKey)>,
}

/// An upstream that the platform's list does not name yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Successor {
    /// The sender's address for peers.
    pub sender: SocketAddr,
    /// The upstream that was at its address before.
    #[serde(rename = "former")]
    pub predecessor: UpstreamName,
    /// The upstream.
    pub upstream: Upstream,
}

/// An upstream at whose address another process answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplacedUpstream {
    /// The sender's address for peers.
    pub sender: SocketAddr,
    /// The upstream, which is gone: a name belongs to one start of one process.
    #[serde(rename = "former")]
    pub predecessor: UpstreamName,
}

/// What a router knows of roll-outs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutReports {
    /// The sender's address for peers.
    pub sender: SocketAddr,
    /// The orders that are under way, and those that ended recently.
    pub views: Vec<RolloutView>,
}

/// What a router saw of a roll-out, for those that decide.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutEvidence {
    /// The sender's address for peers.
    pub sender: SocketAddr,
    /// All that it has counted.
    pub report: EvidenceReport,
}

/// What a router knows of contents that ended upstreams.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReports {
    /// The sender's address for peers.
    pub sender: SocketAddr,
    /// The contents.
    pub contents: Vec<ContentReport>,
}

/// Upstreams that have said in answers that they leave.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingReports {
    /// The sender's address for peers.
    pub sender: SocketAddr,
    /// The upstreams.
    pub upstreams: Vec<LeavingReport>,
}

/// Limits that upstreams have named in answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitReports {
    /// The sender's address for peers.
    pub sender: SocketAddr,
    /// The limits.
    pub limits: Vec<LimitReport>,
}

/// An ask for permits to send requests to an upstream that limits itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimiterRequest {
    /// The sender's address for peers.
    pub sender: SocketAddr,
    /// What it asks for.
    pub request: PermitRequest,
}

/// The answer to a [`LimiterRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimiterReply {
    /// The sender's address for peers.
    pub sender: SocketAddr,
    /// What it answers.
    pub reply: PermitReply,
}

/// What a router counted, its load and its clock, for the holder of the lease on work that one router
/// at a time does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetReport {
    /// The sender's address for peers.
    pub sender: SocketAddr,
    /// Which run of the sender's process it is.
    pub incarnation: u64,
    /// When this run began, by the time of day that routers agree on.
    pub started: u64,
    /// The time of day by the sender's own clock, in milliseconds since 1970.
    pub wall_ms: u64,
    /// Requests that began to run, by window and client account, as far as they fit.
    pub windows: Vec<ReportedWindow>,
    /// The sender's load at each service of engines.
    pub loads: Vec<(ServiceKey, ServiceLoad)>,
}

/// What the holder of the lease says of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseUpdate {
    /// The sender's address for peers.
    pub sender: SocketAddr,
    /// The version of the lease's record.
    pub version: RecordVersion,
    /// The holder's fencing token.
    pub token: u64,
    /// The first window of which counts are still needed.
    pub undecided: u64,
    /// The time of day that routers agree on, in milliseconds since 1970.
    pub fleet_ms: u64,
}

/// A datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Sent every period.
    Heartbeat(Heartbeat),
    /// Sent between heartbeats.
    Change(Change),
    /// Sent once when it is found; a router of a release without it ignores the datagram.
    Successor(Successor),
    /// The same, where it is not known whose process answers now.
    #[serde(rename = "Replaced")]
    ReplacedUpstream(ReplacedUpstream),
    /// Sent when an order is new or further on, and each second while it is under way; a router
    /// of a release without it ignores the datagram.
    #[serde(rename = "Rollouts")]
    RolloutReports(RolloutReports),
    /// Sent to the routers that decide, while an order is under way; likewise.
    RolloutEvidence(RolloutEvidence),
    /// Sent to all when an upstream has ended under a request that may be why, and again for a
    /// while; likewise.
    #[serde(rename = "Crashes")]
    CrashReports(CrashReports),
    /// Sent to all when an upstream has said in an answer that it leaves, and again for a while;
    /// likewise.
    #[serde(rename = "Leavings")]
    LeavingReports(LeavingReports),
    /// Sent to the routers that may hold the lease, where the settings name work for its holder;
    /// likewise.
    FleetReport(FleetReport),
    /// Sent by the holder of the lease, likewise.
    LeaseUpdate(LeaseUpdate),
    /// Sent every period in a large fleet; a router of a release without it ignores the datagram, and
    /// is sent heartbeats.
    Gossip(Gossip),
    /// Sent to ask for all members; likewise.
    #[serde(rename = "AskMembers")]
    MembersRequest(SocketAddr),
    /// Sent in answer to that, likewise.
    Members(Members),
    /// Sent by watchers of the store in a large fleet, and passed on; likewise.
    UpstreamUpdate(UpstreamUpdate),
    /// Sent to all when an upstream names a limit or none any more, and again for a while; likewise.
    #[serde(rename = "Limits")]
    LimitReports(LimitReports),
    /// Sent to the router that hands out permits for an upstream; likewise: another one is asked then.
    #[serde(rename = "LimitAsk")]
    LimiterRequest(LimiterRequest),
    /// Sent in answer to that.
    #[serde(rename = "LimitReply")]
    LimiterReply(LimiterReply),
}

impl PeerMessage {
    /// What it says, in a word.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Heartbeat(_) => "heartbeat",
            Self::Change(_) => "change",
            Self::Successor(_) | Self::ReplacedUpstream(_) => "successor",
            Self::RolloutReports(_) => "rollouts",
            Self::RolloutEvidence(_) => "rollout-evidence",
            Self::CrashReports(_) => "crashes",
            Self::LeavingReports(_) => "leavings",
            Self::FleetReport(_) => "fleet-report",
            Self::LeaseUpdate(_) => "lease",
            Self::Gossip(_) => "gossip",
            Self::MembersRequest(_) | Self::Members(_) => "members",
            Self::UpstreamUpdate(_) => "upstreams",
            Self::LimitReports(_) => "limits",
            Self::LimiterRequest(_) | Self::LimiterReply(_) => "permits",
        }
    }
}

/// The reply to a fetch of upstreams.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpstreamsReply {
    /// The whole list.
    List {
        /// All upstreams that are listed.
        upstreams: Vec<Upstream>,
        /// The revision of the list.
        revision: u64,
        /// The orders of roll-outs, so that whoever learns of a new version's upstreams learns
        /// of its order. Written only to a peer that asks for starts, and only if there are any.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        rollouts: Vec<RolloutView>,
    },
    /// The changes since the revision that was asked for.
    Changes {
        /// The changes, in order.
        changes: Vec<UpstreamChange>,
        /// The revision that they lead to.
        revision: u64,
        /// Roll-outs that are under way.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        rollouts: Vec<RolloutView>,
    },
}
