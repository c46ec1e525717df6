//! The claimant's side: from a request to leave to dispatch it.
//!
//! Question: may this request be dispatched? Inputs: the replies of the key's holders, the
//! primary first. Answer: a [`ClaimStep`]. Any holder that did not write it down means no.

use crate::record::{ClaimReply, Record};
use cloverpier_core::MemberId;

/// Why a request was not dispatched.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Another claim has the key; its record holds the outcome.
    Taken(Record),
    /// Not all holders could write the claim down; nothing was dispatched.
    NotWritten {
        /// How long to wait before a retry, in milliseconds.
        retry_ms: u64,
    },
}

/// What a claimant does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimStep {
    /// Ask this holder to write the claim down.
    Ask(MemberId),
    /// All holders have it: dispatch.
    Dispatch,
    /// Don't dispatch; take the claim back at the holders that wrote it.
    Refuse {
        /// Why.
        why: Refusal,
        /// Holders that wrote the claim.
        take_back: Vec<MemberId>,
    },
}

/// A claim on its way through the holders, the primary first.
///
/// The primary puts claims on one key in order, so of two routers that ask at
/// once one is refused there before a backup has learned of either.
#[derive(Clone, Debug)]
pub struct Claim {
    holders: Vec<MemberId>,
    written: usize,
}

impl Claim {
    /// A claim at the holders of an epoch.
    pub fn new(holders: &[MemberId]) -> Self {
        Self {
            holders: holders.to_vec(),
            written: 0,
        }
    }

    /// What to do first.
    pub fn start(&self) -> ClaimStep {
        match self.holders.first() {
            Some(primary) => ClaimStep::Ask(primary.clone()),
            None => self.refuse(Refusal::NotWritten { retry_ms: 1_000 }),
        }
    }

    /// Takes a holder's reply; `None` when the holder did not answer.
    pub fn on_reply(&mut self, reply: Option<ClaimReply>) -> ClaimStep {
        match reply {
            Some(ClaimReply::Written) => {
                self.written += 1;
                match self.holders.get(self.written) {
                    Some(next) => ClaimStep::Ask(next.clone()),
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
            None => self.refuse_unheard(),
        }
    }

    /// The holder may have written the claim and its answer may be lost: take it back there, too.
    fn refuse_unheard(&self) -> ClaimStep {
        ClaimStep::Refuse {
            why: Refusal::NotWritten { retry_ms: 1_000 },
            take_back: self
                .holders
                .iter()
                .take(self.written + 1)
                .cloned()
                .collect(),
        }
    }

    fn refuse(&self, why: Refusal) -> ClaimStep {
        ClaimStep::Refuse {
            why,
            take_back: self.holders.iter().take(self.written).cloned().collect(),
        }
    }
}
