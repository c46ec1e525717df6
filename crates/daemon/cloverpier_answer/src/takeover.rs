//! Taking an answer over: which term to seal, and which copy to go on from.
//!
//! Question: with which term may this router go on with another one's answer, and from which
//! copy? Inputs: the replies of all holders that could be found. Answer: a [`TakeoverStep`]. The
//! newest copy of the highest term wins; a holder that has sealed a higher term starts a new
//! round.

use crate::copies::{HeldAnswer, SealReply};

/// Rounds after which a takeover is left to whoever else is trying.
const ROUNDS: u32 = 4;

/// What a router that takes an answer over does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TakeoverStep {
    /// Ask every holder to seal this term, and report all replies.
    Seal {
        /// The term.
        term: u64,
    },
    /// Go on in this term.
    Own {
        /// The term.
        term: u64,
        /// The newest copy; `None` when no holder has one.
        held: Option<HeldAnswer>,
        /// Whether a holder did not answer, so that a newer copy may exist.
        unheard: bool,
    },
    /// Another router is taking it over at the same time.
    Contended,
}

/// A takeover on its way.
#[derive(Clone, Debug)]
pub struct Takeover {
    term: u64,
    rounds: u32,
}

impl Takeover {
    /// A takeover, or the start of an answer that nobody knows yet.
    pub fn new() -> Self {
        Self { term: 1, rounds: 0 }
    }

    /// What to do first.
    pub fn start(&self) -> TakeoverStep {
        TakeoverStep::Seal { term: self.term }
    }

    /// Takes the replies of all holders; `None` for one that did not answer.
    ///
    /// The newest copy is the one of the highest term, and within a term the
    /// longest: a later owner's prefix holds all that its callers were sent.
    pub fn on_replies(&mut self, replies: Vec<Option<SealReply>>) -> TakeoverStep {
        self.rounds += 1;
        let refused = replies.iter().flatten().filter_map(|r| match r {
            SealReply::Refused { term } => Some(*term),
            _ => None,
        });
        if let Some(highest) = refused.max() {
            if self.rounds >= ROUNDS {
                return TakeoverStep::Contended;
            }
            self.term = highest + 1;
            return self.start();
        }
        let unheard = replies.iter().any(Option::is_none);
        let mut newest: Option<HeldAnswer> = None;
        for reply in replies.into_iter().flatten() {
            let SealReply::Sealed { held } = reply else {
                continue;
            };
            let rank = |h: &HeldAnswer| (h.term, h.tokens.len());
            if held.as_ref().map(rank) > newest.as_ref().map(rank) {
                newest = held;
            }
        }
        TakeoverStep::Own {
            term: self.term,
            held: newest,
            unheard,
        }
    }
}

impl Default for Takeover {
    fn default() -> Self {
        Self::new()
    }
}
