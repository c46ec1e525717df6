//! Records of claimed requests, and the replies of their holders.
//!
//! The names of fields and variants are part of the wire format between routers.

use cloverpier_core::{MemberId, RequestKey};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Identifies one attempt of a router to execute a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimId {
    /// The router that made the claim.
    pub router: MemberId,
    /// A number that this router process uses for no other claim.
    pub number: u64,
}

/// A response that is kept for callers that repeat the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// The HTTP status code.
    pub status: u16,
    /// The `Content-Type` of the response; `None` if it had none.
    pub content_type: Option<Arc<str>>,
    /// The body; `None` if it exceeded the size that is kept.
    pub body: Option<Vec<u8>>,
}

/// The outcome of a claimed request, as far as its holders have received it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The request may or may not have been executed: no outcome has been reported.
    Claimed,
    /// The request was dispatched, but no response arrived. It must not be executed again.
    Unknown,
    /// The request was executed, with this response.
    Done(StoredResponse),
}

/// The record that a holder stores for a claimed request key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The key of the request, which is unique within a client account.
    pub key: RequestKey,
    /// The claim that has the key.
    pub claim: ClaimId,
    /// Digest of the request, to detect a key that is used for two different requests.
    #[serde(rename = "body")]
    pub request_digest: u64,
    /// The outcome; [`Outcome::Claimed`] until one is reported.
    pub outcome: Outcome,
    /// Age of the record in milliseconds when it was sent to another router. 0 in a stored record.
    pub age_ms: u64,
}

/// The reply of a holder to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The holder has stored the claim.
    Written,
    /// The key has a record of another claim.
    Taken(Record),
    /// The holder has entered another epoch than the claim was made in.
    OtherEpoch {
        /// The epoch of the holder.
        epoch: u64,
    },
    /// The holder does not hold the slot, has not fetched all of its records yet, or has closed it
    /// because no member has its records.
    NotReady {
        /// When to retry, in milliseconds.
        retry_ms: u64,
    },
}

/// The reply of a member to a request for the records of a slot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SyncReply {
    /// All records of the slot that claims up to the requested epoch created.
    Records(Vec<Record>),
    /// The member held the slot in the requested epoch and accepted no claim in it. As a claim
    /// needs every holder, no claim was completed in that epoch.
    NoClaims,
    /// The member does not have the records of the slot for that epoch.
    Unknown,
    /// The member has not entered the epoch of the requesting member yet. The request should be
    /// repeated.
    Behind,
}
