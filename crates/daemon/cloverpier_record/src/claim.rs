//! Claims a request key at all of its holders before the request is dispatched.
//!
//! Given the replies of the key's holders, [`Claim`] decides whether the request may be dispatched.
//! The claim is sent to one holder at a time, the primary first, and the next [`ClaimStep`] follows
//! from the reply. The request is dispatched only if every holder has stored the claim. The caller
//! sends the messages.

use crate::record::{ClaimReply, Record};
use cloverpier_core::MemberId;

/// Why a claimed request is not dispatched.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Another claim on the key is stored already. The record contains the outcome of that claim.
    Taken(Record),
    /// Not every holder has confirmed that it stored the claim.
    NotWritten {
        /// When the caller of the request should retry, in milliseconds.
        retry_ms: u64,
    },
}

/// The next action of the claiming router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimStep {
    /// Send the claim to this holder and pass its reply to [`Claim::on_reply`].
    SendTo(MemberId),
    /// Dispatch the request: every holder has stored the claim.
    Dispatch,
    /// Refuse the request, and release the claim at the holders that may have stored it.
    Refuse {
        /// The reason, which determines the response to the caller.
        reason: Refusal,
        /// Holders at which the claim must be released: those that stored it, and one whose reply
        /// is missing.
        release_from: Vec<MemberId>,
    },
}

/// The progress of one claim through the holders of its key, the primary first.
///
/// Every claim on a key reaches the primary first. Of two routers that claim a key at the same
/// time, the primary therefore refuses one before a backup has stored either claim.
#[derive(Clone, Debug)]
pub struct Claim {
    holders: Vec<MemberId>,
    written: usize,
}

impl Claim {
    /// Creates a claim for the holders of the key's slot in one epoch, the primary first.
    pub fn new(holders: &[MemberId]) -> Self {
        Self {
            holders: holders.to_vec(),
            written: 0,
        }
    }

    /// Returns the first step: a message to the primary, or a refusal if the slot has no holder.
    pub fn start(&self) -> ClaimStep {
        match self.holders.first() {
            Some(primary) => ClaimStep::SendTo(primary.clone()),
            None => self.refuse(Refusal::NotWritten { retry_ms: 1_000 }),
        }
    }

    /// Processes the reply of the holder that [`ClaimStep::SendTo`] named last. `None` means that
    /// no reply arrived in time.
    pub fn on_reply(&mut self, reply: Option<ClaimReply>) -> ClaimStep {
        match reply {
            Some(ClaimReply::Written) => {
                self.written += 1;
                match self.holders.get(self.written) {
                    Some(next) => ClaimStep::SendTo(next.clone()),
                    None => ClaimStep::Dispatch,
                }
            }
            Some(ClaimReply::Taken(record)) => self.refuse(Refusal::Taken(record)),
            Some(ClaimReply::NotReady { retry_ms }) => {
                self.refuse(Refusal::NotWritten { retry_ms })
            }
            Some(ClaimReply::OtherEpoch { .. }) => {
                self.refuse(Refusal::NotWritten { retry_ms: 200 })
            }
            None => self.refuse_on_timeout(),
        }
    }

    /// Includes the holder without a reply in `release_from`, as that holder may have stored the
    /// claim and only its reply was lost.
    fn refuse_on_timeout(&self) -> ClaimStep {
        ClaimStep::Refuse {
            reason: Refusal::NotWritten { retry_ms: 1_000 },
            release_from: self
                .holders
                .iter()
                .take(self.written + 1)
                .cloned()
                .collect(),
        }
    }

    fn refuse(&self, reason: Refusal) -> ClaimStep {
        ClaimStep::Refuse {
            reason,
            release_from: self.holders.iter().take(self.written).cloned().collect(),
        }
    }
}
