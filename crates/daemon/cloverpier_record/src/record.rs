//! Records and what holders answer about them.
//!
//! Their names of fields and variants are on the wire between routers.

use cloverpier_core::{MemberId, RequestKey};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// One try of one router to run a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimId {
    /// The router.
    pub router: MemberId,
    /// A number that the router uses once.
    pub number: u64,
}

/// An answer that is kept for a caller that asks again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The content type, when there was one.
    pub content_type: Option<Arc<str>>,
    /// The body; `None` when it was too large to keep.
    pub body: Option<Vec<u8>>,
}

/// What became of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It was claimed; whether it ran isn't known.
    Claimed,
    /// It was dispatched and no answer came; it must not run again.
    Unknown,
    /// It ran, and this was the answer.
    Done(StoredAnswer),
}

/// The record of a request key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The key.
    pub key: RequestKey,
    /// Who claimed it.
    pub claim: ClaimId,
    /// Digest of the request, so that a key isn't used for two requests.
    pub body: u64,
    /// What became of it.
    pub outcome: Outcome,
    /// How long ago the record was made, in milliseconds; set when it is handed on.
    pub age_ms: u64,
}

/// What a holder answers to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The claim is written down.
    Written,
    /// The key was claimed before.
    Taken(Record),
    /// The holder acts on another epoch.
    OtherEpoch {
        /// The holder's epoch.
        epoch: u64,
    },
    /// The holder doesn't hold the slot, or doesn't know all of its records yet.
    NotReady {
        /// How long to wait, in milliseconds.
        retry_ms: u64,
    },
}

/// What a member answers to another that must learn a slot's records.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SyncReply {
    /// All records that any claim up to the asked epoch wrote.
    Records(Vec<Record>),
    /// The member held the slot in the asked epoch and never took a claim in
    /// it; as every holder must, nobody's claim was completed in it.
    NoClaims,
    /// The member knows nothing of the slot in that epoch.
    Unknown,
    /// The member acts on an earlier epoch still; ask again.
    Behind,
}
