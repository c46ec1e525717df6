//! The messages and their codec.
//!
//! Fields are written by name, so names of fields and variants are on the wire; golden files hold
//! the bytes. The router on the platform has messages of its own, datagrams without field names
//! (`cloverpier_router::peer_messages`); each codec has its error.

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

/// What a router acts on; carried by every heartbeat and its reply.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versions {
    /// Who acts on it.
    pub member: MemberId,
    /// Where it is reached.
    pub peers_at: SocketAddr,
    /// The epoch.
    pub epoch: u64,
    /// The configuration's version.
    pub config: u64,
    /// Digest of the marks to leave.
    pub marks: u64,
    /// Digest of the contents that ended upstreams; 0 where none is known. Left out then, as routers
    /// of a release without it read and write no such field.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub crashes: u64,
}

fn is_zero(digest: &u64) -> bool {
    *digest == 0
}

/// A router that serves though it is not on the list of members: it started, or was taken off,
/// while it could not reach the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Guest {
    /// Its run.
    pub member: MemberId,
    /// Where it is reached.
    pub peers_at: SocketAddr,
}

/// Where the copy of an answer is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LocateNote {
    /// The request.
    pub key: RequestKey,
    /// The member that holds the copy.
    pub holder: MemberId,
}

/// A request of one router to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerRequest {
    /// I am here, and act on this.
    Heartbeat {
        /// What the sender acts on.
        versions: Versions,
    },
    /// Put me on the list of members, together with others that ask now.
    Join {
        /// The new member.
        member: Member,
    },
    /// Lend me some of an account's limit.
    Borrow {
        /// The account.
        account: AccountName,
        /// What a request needs.
        need: Quota,
        /// What will soon be needed.
        want: Quota,
    },
    /// Do you reach this member?
    Probe {
        /// Its address for peers.
        peers_at: SocketAddr,
    },
    /// Hold these tokens.
    Append {
        /// The owner of all the answers.
        owner: MemberId,
        /// Batches of several answers.
        entries: Vec<TokenBatch>,
    },
    /// Refuse owners of lower terms and hand out the copy.
    Seal {
        /// The request.
        key: RequestKey,
        /// The new owner's term.
        term: u64,
        /// The new owner.
        owner: MemberId,
    },
    /// Remember where copies are.
    Note {
        /// The places.
        notes: Vec<LocateNote>,
    },
    /// Where is the copy of this answer?
    Locate {
        /// The request.
        key: RequestKey,
    },
    /// Write down that this request is about to be dispatched.
    Claim {
        /// The epoch that the claimant acts on.
        epoch: u64,
        /// The request.
        key: RequestKey,
        /// Digest of the request.
        body: u64,
        /// The claim.
        claim: ClaimId,
    },
    /// Write down its outcome.
    Settle {
        /// The request.
        key: RequestKey,
        /// The claim.
        claim: ClaimId,
        /// What became of it.
        outcome: Outcome,
    },
    /// It was certainly not run: give the key free.
    Release {
        /// The request.
        key: RequestKey,
        /// The claim.
        claim: ClaimId,
    },
    /// Hand out the records of a slot.
    Sync {
        /// The slot.
        slot: Slot,
        /// The epoch up to which records are asked for.
        level: u64,
        /// The epoch that the asker acts on.
        epoch: u64,
    },
    /// Hand out the list of members.
    PullMembers,
    /// Hand out the configuration's root.
    PullRoot,
    /// Hand out parts of the configuration.
    PullParts {
        /// Their digests.
        digests: Vec<PartDigest>,
    },
    /// Take these marks to leave, and hand out yours.
    Marks {
        /// The sender's marks.
        marks: LeaveMarks,
    },
    /// Take what I know of contents that ended upstreams, and hand out what you know.
    Crashes {
        /// What the sender knows.
        reports: Vec<ContentReport>,
    },
}

/// A reply.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerReply {
    /// To a heartbeat.
    Here {
        /// What the receiver acts on.
        versions: Versions,
        /// Guests that sent it something recently.
        guests: Vec<Guest>,
    },
    /// To a borrow.
    Loan(QuotaGrant),
    /// To a probe: whether the member answered.
    Probed {
        /// Whether it did.
        reached: bool,
    },
    /// To an append, one for each batch.
    Appended(Vec<AppendReply>),
    /// To a seal.
    Seal(SealReply),
    /// To a locate.
    Located {
        /// The member that holds the copy.
        holder: Option<MemberId>,
    },
    /// To a claim.
    Claim(ClaimReply),
    /// To a sync.
    Sync(SyncReply),
    /// To a pull of the list of members.
    Members(MemberList),
    /// To a pull of the root.
    Root(Root),
    /// To a pull of parts; those that the receiver has.
    Parts(Vec<Part>),
    /// To marks: the receiver's.
    Marks(LeaveMarks),
    /// To contents that ended upstreams: those that the receiver knows.
    Crashes(Vec<ContentReport>),
    /// Done.
    Done,
}

/// Why bytes could not be written or read.
#[derive(Debug, Snafu)]
pub enum CodecError {
    /// A message can't be written.
    #[snafu(display("a message can't be written: {source}"))]
    Encode {
        /// Why.
        source: rmp_serde::encode::Error,
    },
    /// Bytes aren't a message.
    #[snafu(display("bytes aren't a message: {source}"))]
    Decode {
        /// Why.
        source: rmp_serde::decode::Error,
    },
}

/// Writes a message.
///
/// # Errors
///
/// [`CodecError::Encode`].
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, CodecError> {
    rmp_serde::to_vec_named(message).context(EncodeSnafu)
}

/// Reads a message.
///
/// # Errors
///
/// [`CodecError::Decode`].
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    rmp_serde::from_slice(bytes).context(DecodeSnafu)
}
