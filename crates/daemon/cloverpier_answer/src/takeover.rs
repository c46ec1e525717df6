//! The takeover of a response by another router.
//!
//! From the replies of all known holders, [`Takeover`] decides in which term the router may own the
//! response and which copy it continues. Each round seals one term at all holders. If a holder has
//! sealed this term or a higher one, the next round uses a higher term. The copy of the highest
//! term is continued.

use crate::copies::{ResponseCopy, SealReply};

/// Rounds after which the takeover is left to the other router that seals the same response.
const MAX_ROUNDS: u32 = 4;

/// The next action of a router that takes over a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TakeoverStep {
    /// Request every holder to seal this term, and pass all replies to [`Takeover::on_replies`].
    Seal {
        /// The term to seal.
        term: u64,
    },
    /// Own the response in this term. All holders that replied have sealed it.
    Own {
        /// The sealed term.
        term: u64,
        /// The copy to continue; `None` if no holder that replied has one.
        held: Option<ResponseCopy>,
        /// Whether a holder did not reply. It may have a newer copy.
        has_missing_replies: bool,
    },
    /// Stop: another router takes over the response at the same time.
    Contended,
}

/// The progress of one takeover, or of the start of a response.
#[derive(Clone, Debug)]
pub struct Takeover {
    term: u64,
    rounds: u32,
}

impl Takeover {
    /// Starts with term 1, which is sufficient for a response without an earlier owner.
    pub fn new() -> Self {
        Self { term: 1, rounds: 0 }
    }

    /// The first round.
    pub fn start(&self) -> TakeoverStep {
        TakeoverStep::Seal { term: self.term }
    }

    /// Processes the replies of all holders to the last round; `None` stands for a holder that did
    /// not reply in time.
    ///
    /// The copy of the highest term is chosen, and among copies of this term the longest. A later
    /// owner starts from all tokens that the earlier owner's callers received, so a longer copy of
    /// a lower term is not preferred.
    pub fn on_replies(&mut self, replies: Vec<Option<SealReply>>) -> TakeoverStep {
        self.rounds += 1;
        let refused = replies.iter().flatten().filter_map(|r| match r {
            SealReply::Refused { term } => Some(*term),
            _ => None,
        });
        if let Some(highest) = refused.max() {
            if self.rounds >= MAX_ROUNDS {
                return TakeoverStep::Contended;
            }
            self.term = highest + 1;
            return self.start();
        }
        let has_missing_replies = replies.iter().any(Option::is_none);
        let mut newest: Option<ResponseCopy> = None;
        for reply in replies.into_iter().flatten() {
            let SealReply::Sealed { held } = reply else {
                continue;
            };
            let rank = |h: &ResponseCopy| (h.term, h.tokens.len());
            if held.as_ref().map(rank) > newest.as_ref().map(rank) {
                newest = held;
            }
        }
        TakeoverStep::Own {
            term: self.term,
            held: newest,
            has_missing_replies,
        }
    }
}

impl Default for Takeover {
    fn default() -> Self {
        Self::new()
    }
}
