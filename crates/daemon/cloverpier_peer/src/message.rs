//! The messages between routers and their codec.
//!
//! Fields are encoded by name, so the names of fields and variants are part of the protocol; golden
//! files pin the bytes. The router on the platform has other messages, datagrams without field
//! names (`cloverpier_router::peer_messages`), and a codec with an error type of its own.

use cloverpier_admit::{Quota, QuotaGrant};
use cloverpier_answer::{AppendReply, SealReply, TokenBatch};
use cloverpier_config::{Part, PartDigest, Root};
use cloverpier_core::{AccountName, MemberId, RequestKey};
use cloverpier_crashes::ContentReport;
use cloverpier_member::{Member, MemberList};
use cloverpier_record::{ClaimId, ClaimReply, Outcome, Slot, SyncReply};
use cloverpier_route::LeaveMarks;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};
use std::net::SocketAddr;

/// The versions of a router's shared state, in every heartbeat and its reply. A router that receives
/// other versions than its own fetches what it is missing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versions {
    /// The id of the router process that sends the message.
    pub member: MemberId,
    /// The address at which the router accepts peer messages.
    pub peers_at: SocketAddr,
    /// The epoch of the router's list of members.
    pub epoch: u64,
    /// The version of the configuration in force at the router; 0 before the first.
    pub config: u64,
    /// Digest of the router's leave marks.
    pub marks: u64,
    /// Digest of the router's reports on request contents that crashed upstreams; 0 if it has none.
    /// Zero is not encoded, because routers of earlier releases don't have this field.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub crashes: u64,
}

fn is_zero(digest: &u64) -> bool {
    *digest == 0
}

/// A router that may serve although it is not on the list of members: it started, or was removed
/// from the list, while it could not reach the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Guest {
    /// The id of the router process.
    pub member: MemberId,
    /// The address at which the router accepts peer messages.
    pub peers_at: SocketAddr,
}

/// The member that holds the copy of a request's response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopyLocation {
    /// The key of the request.
    pub key: RequestKey,
    /// The member that the tokens of the response are copied to.
    pub holder: MemberId,
}

/// A request of one router, the sender, to another, the receiver.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Reports that the sender is alive, with the versions of its shared state.
    Heartbeat {
        /// The sender's id, address and versions.
        versions: Versions,
    },
    /// Requests that the receiver adds the sender to the list of members. The receiver may add several
    /// new members with one update of the list.
    Join {
        /// The sender, as an entry of the list.
        member: Member,
    },
    /// Requests quota of a client account's rate limit from the receiver, which distributes the limit
    /// among all routers.
    #[serde(rename = "Borrow")]
    RequestQuota {
        /// The name of the account.
        account: AccountName,
        /// The quota that the sender's current request needs.
        need: Quota,
        /// The quota that the sender prefers, which also covers requests expected soon.
        want: Quota,
    },
    /// Requests that the receiver sends a heartbeat to a member from which the sender receives
    /// nothing.
    Probe {
        /// The address at which that member accepts peer messages.
        peers_at: SocketAddr,
    },
    /// Adds tokens to the copies that the receiver holds of the sender's responses.
    Append {
        /// The sender, which owns all responses of `entries`.
        owner: MemberId,
        /// The new tokens, in one batch for each response.
        entries: Vec<TokenBatch>,
    },
    /// Makes the sender the owner of a response: the receiver rejects owners of lower terms from then
    /// on, and replies with its copy.
    Seal {
        /// The key of the request.
        key: RequestKey,
        /// The new owner's term.
        term: u64,
        /// The sender.
        owner: MemberId,
    },
    /// Stores in the receiver's directory which members hold the copies of responses.
    #[serde(rename = "Note")]
    StoreLocations {
        /// One location for each response.
        #[serde(rename = "notes")]
        locations: Vec<CopyLocation>,
    },
    /// Requests the member that holds the copy of a response.
    Locate {
        /// The key of the request.
        key: RequestKey,
    },
    /// Claims a request that may be executed at most once, before the sender dispatches it.
    Claim {
        /// The epoch of the sender's list of members.
        epoch: u64,
        /// The key of the request.
        key: RequestKey,
        /// Digest of the request; a key that is used again for a different request is detected by it.
        body: u64,
        /// The id of the claim.
        claim: ClaimId,
    },
    /// Records the outcome of a claimed request.
    #[serde(rename = "Settle")]
    RecordOutcome {
        /// The key of the request.
        key: RequestKey,
        /// The id of the claim that the request was dispatched under.
        claim: ClaimId,
        /// Whether the request has a known outcome, and the response if so.
        outcome: Outcome,
    },
    /// Withdraws a claim, so that the key can be claimed again; the request was certainly not executed.
    Release {
        /// The key of the request.
        key: RequestKey,
        /// The id of the claim to withdraw.
        claim: ClaimId,
    },
    /// Requests the records of a slot.
    Sync {
        /// The slot, which holds the records of all keys that hash to it.
        slot: Slot,
        /// The last epoch of the requested records: those of claims of this and all earlier epochs.
        level: u64,
        /// The epoch of the sender's list of members.
        epoch: u64,
    },
    /// Requests the receiver's list of members.
    PullMembers,
    /// Requests the root of the configuration in force at the receiver.
    PullRoot,
    /// Requests parts of the configuration.
    PullParts {
        /// The digests of the requested parts.
        digests: Vec<PartDigest>,
    },
    /// Adds the sender's leave marks to those of the receiver, which replies with all of its marks.
    #[serde(rename = "Marks")]
    LeaveMarks {
        /// The sender's leave marks.
        marks: LeaveMarks,
    },
    /// Adds the sender's reports on request contents that crashed upstreams to those of the receiver,
    /// which replies with all of its reports.
    #[serde(rename = "Crashes")]
    CrashReports {
        /// The sender's reports.
        reports: Vec<ContentReport>,
    },
}

/// The receiver's reply to a [`PeerRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerReply {
    /// The reply to [`PeerRequest::Heartbeat`].
    #[serde(rename = "Here")]
    Heartbeat {
        /// The receiver's id, address and versions.
        versions: Versions,
        /// The guests from which the receiver recently received a heartbeat.
        guests: Vec<Guest>,
    },
    /// The reply to [`PeerRequest::RequestQuota`]: the granted quota, or the time until there is
    /// enough.
    #[serde(rename = "Loan")]
    QuotaGrant(QuotaGrant),
    /// The reply to [`PeerRequest::Probe`].
    Probed {
        /// Whether the member replied to the receiver's heartbeat.
        reached: bool,
    },
    /// The replies to [`PeerRequest::Append`], one for each batch in the order of the request.
    Appended(Vec<AppendReply>),
    /// The reply to [`PeerRequest::Seal`].
    Seal(SealReply),
    /// The reply to [`PeerRequest::Locate`].
    Located {
        /// The member that holds the copy; `None` if the receiver has no location of it.
        holder: Option<MemberId>,
    },
    /// The reply to [`PeerRequest::Claim`].
    Claim(ClaimReply),
    /// The reply to [`PeerRequest::Sync`].
    Sync(SyncReply),
    /// The reply to [`PeerRequest::PullMembers`].
    Members(MemberList),
    /// The reply to [`PeerRequest::PullRoot`].
    Root(Root),
    /// The reply to [`PeerRequest::PullParts`]: those of the requested parts that the receiver has.
    Parts(Vec<Part>),
    /// The reply to [`PeerRequest::LeaveMarks`]: all leave marks of the receiver.
    #[serde(rename = "Marks")]
    LeaveMarks(LeaveMarks),
    /// The reply to [`PeerRequest::CrashReports`]: all reports of the receiver.
    #[serde(rename = "Crashes")]
    CrashReports(Vec<ContentReport>),
    /// The reply without content to [`PeerRequest::Join`], [`PeerRequest::StoreLocations`],
    /// [`PeerRequest::RecordOutcome`] and [`PeerRequest::Release`].
    #[serde(rename = "Done")]
    Acknowledged,
}

/// The reason why a message could not be encoded or decoded.
#[derive(Debug, Snafu)]
pub enum CodecError {
    /// The message has no `MessagePack` encoding.
    #[snafu(display("the peer message can't be encoded: {source}"))]
    Encode {
        /// The error of the encoder.
        source: rmp_serde::encode::Error,
    },
    /// The bytes are not the encoding of a message of the expected type.
    #[snafu(display("the bytes are not a valid peer message: {source}"))]
    Decode {
        /// The error of the decoder.
        source: rmp_serde::decode::Error,
    },
}

/// Encodes a message as `MessagePack`, with the names of its fields.
///
/// # Errors
///
/// [`CodecError::Encode`].
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, CodecError> {
    rmp_serde::to_vec_named(message).context(EncodeSnafu)
}

/// Decodes a message. Unknown fields are ignored, except in types that deny them, such as
/// [`cloverpier_config::Service`].
///
/// # Errors
///
/// [`CodecError::Decode`].
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    rmp_serde::from_slice(bytes).context(DecodeSnafu)
}
