//! The owner's side of an answer.
//!
//! Owns the tokens, the current attempt, and how many of the tokens are copied and released. A
//! token is accepted from the current attempt at the next offset only, and released only once a
//! copy holds it. Everything else is dropped and said so, by a [`TokenStep`].

use cloverpier_core::TokenDigest;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// One run of an engine for an answer: the owner's term, the owner, and a number.
///
/// Terms rise with each router that takes the answer over. Where all copies
/// are lost, or two routers start one request at once, two owners can have
/// the same term; what distinguishes their attempts is the opener.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The owner's term.
    pub term: u64,
    /// A number that no other owner of any answer uses.
    pub opener: u64,
    /// The number of the attempt within the term, from 1.
    pub number: u32,
}

/// Why a generation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum FinishReason {
    /// The model ended the text.
    Stop,
    /// The limit on tokens was reached.
    Length,
}

/// The end of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finish {
    /// Tokens in the whole answer.
    pub tokens: u64,
    /// Digest of the whole answer.
    pub chain: TokenDigest,
    /// Why it ended.
    pub reason: FinishReason,
}

/// What became of a token that an engine sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenStep {
    /// It is the next token of the answer.
    Accepted,
    /// Its attempt is over; it was dropped.
    Late,
    /// The answer has a token at this offset; it was dropped.
    Repeated,
    /// Tokens before it are missing, so the attempt can't be trusted any more.
    Gap,
    /// The answer is complete or another router has it now; it was dropped.
    Closed,
}

/// Where a caller that reconnects goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resume {
    /// The caller has the first tokens, as many as this; send the rest.
    From(u64),
    /// The caller has more tokens than are known here.
    Behind {
        /// Tokens known here.
        known: u64,
    },
    /// The caller's tokens aren't those known here.
    Diverged,
}

/// An answer as its owner holds it.
///
/// Invariant: `released <= copied <= tokens.len()`, and `chains[i]` is the
/// digest of the first `i` tokens.
#[derive(Clone, Debug)]
pub struct Answer {
    term: u64,
    opener: u64,
    current: AttemptId,
    tokens: Vec<Arc<str>>,
    chains: Vec<TokenDigest>,
    copied: u64,
    finish: Option<Finish>,
    finish_copied: bool,
    taken_over: bool,
}

impl Answer {
    /// An answer without tokens, owned in a term by an opener that no other answer has.
    pub fn fresh(term: u64, opener: u64) -> Self {
        Self::resumed(term, opener, Vec::new(), None)
    }

    /// An answer that goes on from tokens that an earlier owner accepted.
    ///
    /// The tokens count as released only once the new owner has them copied,
    /// unless the answer is finished: then nothing can change it any more.
    pub fn resumed(term: u64, opener: u64, tokens: Vec<Arc<str>>, finish: Option<Finish>) -> Self {
        let mut chains = Vec::with_capacity(tokens.len() + 1);
        chains.push(TokenDigest::EMPTY);
        for token in &tokens {
            // Never empty: the first entry was pushed above.
            let last = chains.last().copied().unwrap_or_default();
            chains.push(last.push(token));
        }
        Self {
            term,
            opener,
            current: AttemptId {
                term,
                opener,
                number: 0,
            },
            copied: if finish.is_some() {
                tokens.len() as u64
            } else {
                0
            },
            tokens,
            chains,
            finish,
            finish_copied: finish.is_some(),
            taken_over: false,
        }
    }

    /// Seals the current attempt and opens the next one, always in the owner's own term.
    pub fn open_attempt(&mut self) -> AttemptId {
        let adopted = self.current.opener != self.opener;
        let number = if adopted { 1 } else { self.current.number + 1 };
        self.current = AttemptId {
            term: self.term,
            opener: self.opener,
            number,
        };
        self.current
    }

    /// The owner's term.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Goes on with an attempt that an earlier owner opened and that its engine still runs.
    pub fn adopt_attempt(&mut self, attempt: AttemptId) {
        self.current = attempt;
    }

    /// Takes a token from an engine.
    pub fn on_token(&mut self, attempt: AttemptId, offset: u64, token: Arc<str>) -> TokenStep {
        if self.taken_over || self.finish.is_some() {
            return TokenStep::Closed;
        }
        if attempt != self.current {
            return TokenStep::Late;
        }
        match offset.cmp(&self.len()) {
            std::cmp::Ordering::Less => TokenStep::Repeated,
            std::cmp::Ordering::Greater => TokenStep::Gap,
            std::cmp::Ordering::Equal => {
                let chain = self.chain().push(&token);
                self.tokens.push(token);
                self.chains.push(chain);
                TokenStep::Accepted
            }
        }
    }

    /// Takes the end of a generation from an engine that says how many tokens there are.
    pub fn on_finish(&mut self, attempt: AttemptId, at: u64, reason: FinishReason) -> TokenStep {
        if self.taken_over || self.finish.is_some() {
            return TokenStep::Closed;
        }
        if attempt != self.current {
            return TokenStep::Late;
        }
        if at != self.len() {
            return TokenStep::Gap;
        }
        self.finish = Some(Finish {
            tokens: at,
            chain: self.chain(),
            reason,
        });
        TokenStep::Accepted
    }

    /// Notes that the copies that the service asks for hold the first tokens, as many as this.
    pub fn on_copied(&mut self, tokens: u64) {
        self.copied = self.copied.max(tokens.min(self.len()));
    }

    /// Notes that the copies hold the end, too.
    pub fn on_finish_copied(&mut self) {
        if self.finish.is_some() {
            self.copied = self.len();
            self.finish_copied = true;
        }
    }

    /// Notes that another router has taken the answer over; nothing more is released.
    pub fn on_taken_over(&mut self) {
        self.taken_over = true;
    }

    /// Whether another router has taken the answer over.
    pub fn is_taken_over(&self) -> bool {
        self.taken_over
    }

    /// Tokens accepted so far.
    pub fn len(&self) -> u64 {
        self.tokens.len() as u64
    }

    /// Whether no token was accepted yet.
    pub fn is_empty(&self) -> bool {
        self.tokens.is_empty()
    }

    /// Tokens that the caller may see.
    pub fn released(&self) -> u64 {
        self.copied
    }

    /// The end, once the caller may see it.
    pub fn released_finish(&self) -> Option<Finish> {
        self.finish.filter(|_| self.finish_copied)
    }

    /// The end, whether or not it was copied.
    pub fn finish(&self) -> Option<Finish> {
        self.finish
    }

    /// The current attempt.
    pub fn attempt(&self) -> AttemptId {
        self.current
    }

    /// The digest of all accepted tokens.
    pub fn chain(&self) -> TokenDigest {
        // Never empty: `chains[0]` is the digest of no tokens.
        self.chains.last().copied().unwrap_or_default()
    }

    /// The digest of the first tokens, as many as this.
    pub fn chain_at(&self, tokens: u64) -> Option<TokenDigest> {
        self.chains.get(usize::try_from(tokens).ok()?).copied()
    }

    /// The accepted tokens from an offset on.
    pub fn tokens_from(&self, offset: u64) -> &[Arc<str>] {
        // Beyond the end there are none.
        let offset = usize::try_from(offset).unwrap_or(usize::MAX);
        self.tokens.get(offset..).unwrap_or_default()
    }

    /// Tokens that the caller may see from an offset on.
    pub fn released_from(&self, offset: u64) -> &[Arc<str>] {
        // From the end on there are none.
        let end = usize::try_from(self.copied).unwrap_or(usize::MAX);
        let offset = usize::try_from(offset).unwrap_or(usize::MAX);
        self.tokens.get(offset..end).unwrap_or_default()
    }

    /// Where a caller goes on that says how many tokens it has and what their digest is.
    pub fn resume_at(&self, tokens: u64, chain: TokenDigest) -> Resume {
        match self.chain_at(tokens) {
            None => Resume::Behind { known: self.len() },
            Some(known) if known == chain => Resume::From(tokens),
            Some(_) => Resume::Diverged,
        }
    }
}
