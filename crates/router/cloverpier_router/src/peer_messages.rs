//! The wire format of messages between routers, and their codec.
//!
//! Defines all datagrams that routers send each other, and the HTTP replies that contain a newer list of
//! upstreams. A configuration is sent as the encoded [`Configuration`] without a type of its own here.
//!
//! All are encoded as `MessagePack` without field names. So the order of fields and the (serde) names of enum
//! variants are part of the protocol, while the names of fields and types are not. The golden files in
//! `tests/golden` contain the expected bytes; a change of these bytes changes the protocol.
//!
//! Relies on `cloverpier_router_policy` and `cloverpier_crashes` for the types that the messages contain.

mod codec;
mod large_fleet;
mod origins;

pub use codec::{CodecError, compress, decode, decompress, encode};
pub use large_fleet::{Gossip, Members, UpstreamUpdate};
pub use origins::{OriginAck, OriginQuery, OriginRecordsMessage, OriginReply};

use cloverpier_core::{DataCentre, UpstreamName};
use cloverpier_crashes::ContentReport;
use cloverpier_router_policy::admission::ServiceDemand;
use cloverpier_router_policy::limit::LimitReport;
use cloverpier_router_policy::list_evidence::ListReport;
use cloverpier_router_policy::pace::PaceReport;
use cloverpier_router_policy::permit::{PermitReply, PermitRequest};
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::rollout::evidence::EvidenceReport;
use cloverpier_router_policy::singleton::autoscaling::ServiceLoad;
use cloverpier_router_policy::singleton::lease::RecordVersion;
use cloverpier_router_policy::singleton::metering::ReportedWindow;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The load that the sender's own requests cause at one upstream. The token counts concern model engines
/// only.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The loaded upstream, by the hash of its name.
    pub upstream: UpstreamKey,
    /// Number of the sender's requests that are in flight at the upstream.
    pub requests: u32,
    /// Prompt tokens of these requests that the engine has not read yet.
    pub unread_tokens: u32,
    /// Tokens that these requests occupy in the engine's KV cache, including those that they will add.
    pub memory_tokens: u32,
}

impl LoadReport {
    /// Creates the report of an upstream's load from the upstream's key and this router's load there.
    pub fn new((upstream, load): (UpstreamKey, Load)) -> Self {
        Self {
            upstream,
            requests: load.requests,
            unread_tokens: load.unread_tokens,
            memory_tokens: load.memory_tokens,
        }
    }

    /// Converts the report into the upstream's key and the sender's load there.
    pub fn into_load(self) -> (UpstreamKey, Load) {
        let load = Load {
            requests: self.requests,
            unread_tokens: self.unread_tokens,
            memory_tokens: self.memory_tokens,
        };
        (self.upstream, load)
    }
}

/// The state that a router of a small fleet reports to its peers at each heartbeat interval. A receiver
/// replaces the sender's previous state by it, so a lost heartbeat needs no retransmission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender's address for peers, which identifies it.
    pub sender: SocketAddr,
    /// The address at which the sender serves callers.
    pub callers: SocketAddr,
    /// The data centre in which the sender runs.
    pub data_centre: DataCentre,
    /// The sender's state between its start and its shutdown; only ready routers are listed for callers.
    pub state: PeerState,
    /// Version of the configuration in force at the sender; 0 before the first.
    pub configuration_version: u64,
    /// Revision of the sender's list of upstreams; 0 before the first list.
    pub upstreams_revision: u64,
    /// Milliseconds since the sender's last successful call to the store. While calls fail, at least the age
    /// at which other routers replace the sender as a watcher. `None` if the sender does not watch the store.
    pub store_age_ms: Option<u32>,
    /// The sender's load at each upstream that has any of its requests, at most 64 upstreams. Empty in a
    /// large fleet, where routers query the engines for their load.
    pub load: Vec<LoadReport>,
    /// Upstreams that the sender suspects to be dead, at most 64.
    pub suspects: Vec<UpstreamKey>,
    /// The prompts of the sender's running streams, each with the engine that reads or has read it; at most
    /// 64. Empty in a large fleet.
    pub prompt_locations: Vec<(PromptKey, UpstreamKey)>,
    /// Addresses of some random peers of the sender, by which routers discover each other.
    pub known_peers: Vec<SocketAddr>,
    /// The requests and retries that the sender counts against each service's retry budget.
    pub budget_use: Vec<(ServiceKey, BudgetUse)>,
}

/// The list of upstreams that the sender has, and when it was read from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListReportMessage {
    /// The sender's address for peers.
    pub sender: SocketAddr,
    /// The report.
    pub report: ListReport,
}

/// Changes of a router's load and suspicions since its last message, sent between heartbeats.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The sender's address for peers.
    pub sender: SocketAddr,
    /// The sender's new load at upstreams where it changed. Empty in a large fleet.
    pub load: Vec<LoadReport>,
    /// Upstreams that the sender suspects to be dead and whose load or suspicion changed.
    pub suspects: Vec<UpstreamKey>,
    /// Prompts of streams that the sender has started, each with the engine that reads the prompt. Empty in a
    /// large fleet.
    pub prompt_locations: Vec<(PromptKey, UpstreamKey)>,
}

/// A process that responds at a dead upstream's address under another name, belongs to the same service, and
/// is not on the platform's list of upstreams yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Successor {
    /// The sender's address for peers.
    pub sender: SocketAddr,
    /// Name of the upstream that had the address before.
    #[serde(rename = "former")]
    pub predecessor: UpstreamName,
    /// The entry that the sender assumes for the new process, without version and start time.
    pub upstream: Upstream,
}

/// An upstream at whose address a process with another name responds. Unlike for a [`Successor`], that
/// process may belong to another service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplacedUpstream {
    /// The sender's address for peers.
    pub sender: SocketAddr,
    /// Name of the upstream. Its process has ended, because a name belongs to one start of one process.
    #[serde(rename = "former")]
    pub predecessor: UpstreamName,
}

/// Orders of roll-outs and their progress, as a router has them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutReports {
    /// The sender's address for peers.
    pub sender: SocketAddr,
    /// The orders in progress, and those that ended or were withdrawn recently, at most one of each service.
    pub views: Vec<RolloutView>,
}

/// One router's measurements of a roll-out, for the routers that decide on its progress.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutEvidence {
    /// The sender's address for peers.
    pub sender: SocketAddr,
    /// The sender's counts since the order arrived there.
    pub report: EvidenceReport,
}

/// Request contents that may have crashed upstreams, with the crashes that the sender has recorded for each.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReports {
    /// The sender's address for peers.
    pub sender: SocketAddr,
    /// The contents and their crashes, at most 32 crashes in one message if no single content has more.
    pub contents: Vec<ContentReport>,
}

/// Upstreams that have announced in responses that they leave.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingReports {
    /// The sender's address for peers.
    pub sender: SocketAddr,
    /// The leaving upstreams, at most 256 in one message.
    pub upstreams: Vec<LeavingReport>,
}

/// Request rate limits that upstreams have advertised in responses.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitReports {
    /// The sender's address for peers.
    pub sender: SocketAddr,
    /// The last known limit of each upstream, also where the upstream has stopped advertising one.
    pub limits: Vec<LimitReport>,
}

/// A request for permits to send requests to an upstream that limits its request rate. Its recipient is the
/// upstream's limiter: the router that grants the permits of this upstream to all routers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimiterRequest {
    /// The sender's address for peers.
    pub sender: SocketAddr,
    /// The upstream, the number of permits, and how long a permit may be delayed.
    pub request: PermitRequest,
}

/// The reply to a [`LimiterRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimiterReply {
    /// The sender's address for peers.
    pub sender: SocketAddr,
    /// The granted permits, or the refusal.
    pub reply: PermitReply,
}

/// A router's request counts, load and clock, for the router that holds the lease on singleton work (work
/// that one router does at a time).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetReport {
    /// The sender's address for peers.
    pub sender: SocketAddr,
    /// A random number that the sender's process chose at its start. It distinguishes the counts of this
    /// process from those of earlier processes at the same address.
    pub incarnation: u64,
    /// When the sender's process started, in milliseconds since 1970 by the clock that routers agree on.
    pub started: u64,
    /// The time of sending in milliseconds since 1970, by the sender's own clock.
    pub wall_ms: u64,
    /// Numbers of requests that started to run, by usage window and client account. Counts that do not fit
    /// into the datagram are in further reports.
    pub windows: Vec<ReportedWindow>,
    /// The load of the sender's streams on each service of model engines.
    pub loads: Vec<(ServiceKey, ServiceLoad)>,
}

/// A notice of the holder of the lease on singleton work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseUpdate {
    /// The sender's address for peers.
    pub sender: SocketAddr,
    /// The version of the lease's record in the store, as the holder last wrote it.
    pub version: RecordVersion,
    /// The holder's fencing token, which orders the holders of the lease.
    pub token: u64,
    /// Number of the first usage window whose usage is not decided yet; other routers discard their counts of
    /// earlier windows.
    pub undecided: u64,
    /// The time of sending in milliseconds since 1970, by the clock that routers agree on.
    pub fleet_ms: u64,
}

/// A brittle upstream that has refused a request of the sender for lack of room.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FullUpstream {
    /// The sender's address for peers.
    pub sender: SocketAddr,
    /// The number of the report among those of the sender, rising.
    pub number: u64,
    /// The upstream, by the hash of its name.
    pub upstream: UpstreamKey,
}

/// How long work takes at engines, as the sender knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceReports {
    /// The sender's address for peers.
    pub sender: SocketAddr,
    /// The engines whose pace has changed, at most 64.
    pub upstreams: Vec<PaceReport>,
}

/// The streams that wait at a router, and the client accounts with the most streams there, by service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmissionReport {
    /// The sender's address for peers.
    pub sender: SocketAddr,
    /// The demand of the sender for services for which streams wait at any router.
    pub services: Vec<(ServiceKey, ServiceDemand)>,
}

/// The content of one datagram.
///
/// A router ignores datagrams with a variant that its release does not define, and logs the first of them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Sent at each heartbeat interval in a small fleet, and in a large fleet to routers that send
    /// heartbeats.
    Heartbeat(Heartbeat),
    /// Sent between heartbeats when load or suspicions change.
    Change(Change),
    /// Sent to all peers once, when the sender identifies the successor of a dead upstream.
    Successor(Successor),
    /// Sent to all peers once, when another process responds at an upstream's address and no new successor is
    /// identified.
    #[serde(rename = "Replaced")]
    ReplacedUpstream(ReplacedUpstream),
    /// Sent when an order is new or has advanced, and to a few random peers each second while it is in
    /// progress.
    #[serde(rename = "Rollouts")]
    RolloutReports(RolloutReports),
    /// Sent to the routers that decide on roll-outs, which are the store's watchers, while an order is in
    /// progress.
    RolloutEvidence(RolloutEvidence),
    /// Sent to all peers when an upstream has crashed while it executed a request that may be the cause, and
    /// to random peers for 3 s after.
    #[serde(rename = "Crashes")]
    CrashReports(CrashReports),
    /// Sent to all peers when an upstream has announced in a response that it leaves, and to random peers for
    /// 3 s after.
    #[serde(rename = "Leavings")]
    LeavingReports(LeavingReports),
    /// Sent to the lease holder and to the store's watchers, which may take over the lease, if the settings
    /// enable singleton work.
    FleetReport(FleetReport),
    /// Sent by the lease holder in reply to a report, and to the store's watchers when the lease was renewed.
    LeaseUpdate(LeaseUpdate),
    /// Sent at each gossip interval in a large fleet. A router of a release without gossip ignores it and
    /// sends heartbeats, and so receives heartbeats instead.
    Gossip(Gossip),
    /// Sent by a router to request a peer's member list; contains the requesting router's address for peers.
    #[serde(rename = "AskMembers")]
    MembersRequest(SocketAddr),
    /// Sent in reply to a request for the member list, to report leaving and dead routers at once, and to a
    /// router that is recorded as dead.
    Members(Members),
    /// Sent in a large fleet by a watcher that read changes from the store, and forwarded by their
    /// recipients.
    UpstreamUpdate(UpstreamUpdate),
    /// Sent to all peers when an upstream advertises a rate limit or stops to, and to random peers for 3 s
    /// after.
    #[serde(rename = "Limits")]
    LimitReports(LimitReports),
    /// Sent to the limiter of an upstream. A router of a release without permits does not reply, and the
    /// request goes to another router instead.
    #[serde(rename = "LimitAsk")]
    LimiterRequest(LimiterRequest),
    /// Sent in reply to a permit request.
    #[serde(rename = "LimitReply")]
    LimiterReply(LimiterReply),
    /// Sent to all peers when a brittle upstream has refused a request for lack of room.
    #[serde(rename = "Full")]
    FullUpstream(FullUpstream),
    /// Sent to the routers that hold the records of a stream, before its first event and from time to time, while
    /// upstreams of several software versions may serve. A router of a release without them does not reply.
    OriginRecords(OriginRecordsMessage),
    /// Sent in reply to records that have a number.
    OriginAck(OriginAck),
    /// Sent when a caller resumes a stream that the sender did not relay.
    OriginQuery(OriginQuery),
    /// Sent in reply to a query.
    OriginReply(OriginReply),
    /// Sent at a heartbeat interval if an engine's pace has changed: to all peers, in a large fleet to random ones.
    #[serde(rename = "Paces")]
    PaceReports(PaceReports),
    /// Sent to all peers of a small fleet at each heartbeat interval while streams wait for engines at any router.
    #[serde(rename = "Admission")]
    AdmissionReport(AdmissionReport),
    /// Sent with each heartbeat by a router that watches the store. A router of a release without it ignores it.
    #[serde(rename = "List")]
    ListReport(ListReportMessage),
}

impl PeerMessage {
    /// The message's kind as a label of metrics. Messages that serve the same purpose share a kind.
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
            Self::UpstreamUpdate(_) | Self::ListReport(_) => "upstreams",
            Self::LimitReports(_) => "limits",
            Self::LimiterRequest(_) | Self::LimiterReply(_) => "permits",
            Self::FullUpstream(_) => "full",
            Self::OriginRecords(_)
            | Self::OriginAck(_)
            | Self::OriginQuery(_)
            | Self::OriginReply(_) => "origins",
            Self::PaceReports(_) => "paces",
            Self::AdmissionReport(_) => "admission",
        }
    }
}

/// The reply to a fetch of upstreams, which a router sends over HTTP.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpstreamsReply {
    /// The whole list, for a peer that has none, or whose revision is too old to send the changes since.
    List {
        /// All upstreams on the list.
        upstreams: Vec<Upstream>,
        /// The revision of the list.
        revision: u64,
        /// The orders of roll-outs, so that a peer that receives upstreams with a new version also has the
        /// order. Encoded only for a peer that accepts start times, and only if this router has received an
        /// order.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        rollouts: Vec<RolloutView>,
    },
    /// The changes since the revision in the peer's request.
    Changes {
        /// The changes, in the order in which they apply.
        changes: Vec<UpstreamChange>,
        /// The revision of the list after these changes.
        revision: u64,
        /// The orders of roll-outs, so that a peer that receives upstreams with a new version also has the
        /// order. Encoded only for a peer that accepts start times, and only if this router has received an
        /// order.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        rollouts: Vec<RolloutView>,
    },
}
