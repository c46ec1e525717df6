//! The tokens of a streamed response at the router that owns it.
//!
//! The owner accepts a token only from the current attempt and only at the next offset. It releases
//! a token to the caller only once the copies that the service requires contain the token. Other
//! tokens are dropped; the [`TokenOutcome`] contains the reason.

use cloverpier_core::TokenDigest;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Identifies one attempt to generate a response at an engine.
///
/// The term increases with each router that takes over the response. Two owners can have the same
/// term if all copies were lost, or if two routers start the same request at once. The opener then
/// distinguishes their attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The term of the owner that opened the attempt.
    pub term: u64,
    /// A number of the owner that no other owner of any response uses.
    pub opener: u64,
    /// The number of the attempt within the term, starting at 1. 0 before the first attempt.
    pub number: u32,
}

/// Why the engine finished the generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum FinishReason {
    /// The model ended the text.
    Stop,
    /// The token limit of the request was reached.
    Length,
}

/// The end of a complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finish {
    /// The number of tokens of the whole response.
    pub tokens: u64,
    /// Digest of all tokens of the response.
    pub chain: TokenDigest,
    /// Why the generation finished.
    pub reason: FinishReason,
}

/// The outcome of a token, or of the end of a generation, that an engine sent to the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenOutcome {
    /// Added as the next part of the response.
    Accepted,
    /// Dropped, as the token belongs to an attempt that has been replaced.
    Late,
    /// Dropped, as the response already has a token at this offset.
    Repeated,
    /// Dropped, as tokens before this one are missing. The caller must open a new attempt.
    Gap,
    /// Dropped, as the response is complete or owned by another router.
    Closed,
}

/// Where the response continues for a caller that reconnects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResumePoint {
    /// The caller has the first tokens, up to this number, and gets the rest.
    From(u64),
    /// The caller has more tokens than this router.
    Behind {
        /// The number of tokens at this router.
        available: u64,
    },
    /// The caller's tokens differ from those at this router.
    Diverged,
}

/// A streamed response at the router that owns it.
///
/// Invariants: `copied <= tokens.len()`, and `prefix_digests[i]` is the digest of the first `i`
/// tokens.
#[derive(Clone, Debug)]
pub struct OwnedResponse {
    term: u64,
    opener: u64,
    current: AttemptId,
    /// The number of the last attempt of this owner, opened or reserved.
    last_number: u32,
    tokens: Vec<Arc<str>>,
    prefix_digests: Vec<TokenDigest>,
    copied: u64,
    finish: Option<Finish>,
    finish_copied: bool,
    taken_over: bool,
}

impl OwnedResponse {
    /// Creates a response without tokens. `opener` must be unique among the owners of all
    /// responses.
    pub fn new(term: u64, opener: u64) -> Self {
        Self::resumed(term, opener, Vec::new(), None)
    }

    /// Creates a response that continues after the tokens that an earlier owner accepted.
    ///
    /// The tokens are released only once they are copied in the new term. The tokens of a finished
    /// response are released at once, as nothing can change them any more.
    pub fn resumed(term: u64, opener: u64, tokens: Vec<Arc<str>>, finish: Option<Finish>) -> Self {
        let mut prefix_digests = Vec::with_capacity(tokens.len() + 1);
        prefix_digests.push(TokenDigest::EMPTY);
        for token in &tokens {
            // Never empty: the digest of no tokens was added above.
            let last = prefix_digests.last().copied().unwrap_or_default();
            prefix_digests.push(last.push(token));
        }
        Self {
            term,
            opener,
            current: AttemptId {
                term,
                opener,
                number: 0,
            },
            last_number: 0,
            copied: if finish.is_some() {
                tokens.len() as u64
            } else {
                0
            },
            tokens,
            prefix_digests,
            finish,
            finish_copied: finish.is_some(),
            taken_over: false,
        }
    }

    /// Replaces the current attempt by a new one in the owner's term. Tokens of the former attempt
    /// are dropped from then on.
    pub fn open_attempt(&mut self) -> AttemptId {
        self.current = self.reserve_attempt();
        self.current
    }

    /// The id of a further attempt, which runs beside the current one. Its tokens are dropped until
    /// [`Self::adopt_attempt`] makes it the current one.
    pub fn reserve_attempt(&mut self) -> AttemptId {
        self.last_number += 1;
        AttemptId {
            term: self.term,
            opener: self.opener,
            number: self.last_number,
        }
    }

    /// The term in which this router owns the response.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Continues with an attempt that an earlier owner opened and that still runs at its engine, or
    /// with one that this owner reserved. Tokens of the former attempt are dropped from then on.
    pub fn adopt_attempt(&mut self, attempt: AttemptId) {
        self.current = attempt;
    }

    /// Accepts or drops a token that an engine sent. `offset` is the number of tokens before it.
    pub fn on_token(&mut self, attempt: AttemptId, offset: u64, token: Arc<str>) -> TokenOutcome {
        if self.taken_over || self.finish.is_some() {
            return TokenOutcome::Closed;
        }
        if attempt != self.current {
            return TokenOutcome::Late;
        }
        match offset.cmp(&self.len()) {
            std::cmp::Ordering::Less => TokenOutcome::Repeated,
            std::cmp::Ordering::Greater => TokenOutcome::Gap,
            std::cmp::Ordering::Equal => {
                let digest = self.digest().push(&token);
                self.tokens.push(token);
                self.prefix_digests.push(digest);
                TokenOutcome::Accepted
            }
        }
    }

    /// Accepts or drops the end of a generation. `at` is the number of tokens of the whole
    /// response, according to the engine.
    pub fn on_finish(&mut self, attempt: AttemptId, at: u64, reason: FinishReason) -> TokenOutcome {
        if self.taken_over || self.finish.is_some() {
            return TokenOutcome::Closed;
        }
        if attempt != self.current {
            return TokenOutcome::Late;
        }
        if at != self.len() {
            return TokenOutcome::Gap;
        }
        self.finish = Some(Finish {
            tokens: at,
            chain: self.digest(),
            reason,
        });
        TokenOutcome::Accepted
    }

    /// Records that the copies that the service requires contain the first `tokens` tokens, which
    /// are then released.
    pub fn on_copied(&mut self, tokens: u64) {
        self.copied = self.copied.max(tokens.min(self.len()));
    }

    /// Records that the copies also contain the end of the response.
    pub fn on_finish_copied(&mut self) {
        if self.finish.is_some() {
            self.copied = self.len();
            self.finish_copied = true;
        }
    }

    /// Records that another router has taken over the response. No tokens are accepted from then
    /// on.
    pub fn on_taken_over(&mut self) {
        self.taken_over = true;
    }

    /// Whether another router has taken over the response.
    pub fn is_taken_over(&self) -> bool {
        self.taken_over
    }

    /// The number of accepted tokens, released or not.
    pub fn len(&self) -> u64 {
        self.tokens.len() as u64
    }

    /// Whether no token has been accepted yet.
    pub fn is_empty(&self) -> bool {
        self.tokens.is_empty()
    }

    /// The number of tokens that may be sent to the caller.
    pub fn released(&self) -> u64 {
        self.copied
    }

    /// The end of the response, if it may be sent to the caller.
    pub fn released_finish(&self) -> Option<Finish> {
        self.finish.filter(|_| self.finish_copied)
    }

    /// The end of the response if the generation has finished, copied or not.
    pub fn finish(&self) -> Option<Finish> {
        self.finish
    }

    /// The current attempt; its number is 0 if none was opened.
    pub fn attempt(&self) -> AttemptId {
        self.current
    }

    /// The digest of all accepted tokens.
    pub fn digest(&self) -> TokenDigest {
        // Never empty: the first entry is the digest of no tokens.
        self.prefix_digests.last().copied().unwrap_or_default()
    }

    /// The digest of the first `tokens` tokens; `None` if there are fewer.
    pub fn prefix_digest(&self, tokens: u64) -> Option<TokenDigest> {
        self.prefix_digests
            .get(usize::try_from(tokens).ok()?)
            .copied()
    }

    /// The accepted tokens from an offset on, which may not be released yet.
    pub fn tokens_from(&self, offset: u64) -> &[Arc<str>] {
        // An offset that does not fit is beyond the last token.
        let offset = usize::try_from(offset).unwrap_or(usize::MAX);
        self.tokens.get(offset..).unwrap_or_default()
    }

    /// The released tokens from an offset on.
    pub fn released_from(&self, offset: u64) -> &[Arc<str>] {
        // Numbers that do not fit are beyond the last token. The result is empty for an offset
        // after the last released token.
        let end = usize::try_from(self.copied).unwrap_or(usize::MAX);
        let offset = usize::try_from(offset).unwrap_or(usize::MAX);
        self.tokens.get(offset..end).unwrap_or_default()
    }

    /// Where to continue for a caller that has `tokens` tokens with the given digest.
    pub fn resume_at(&self, tokens: u64, digest: TokenDigest) -> ResumePoint {
        match self.prefix_digest(tokens) {
            None => ResumePoint::Behind {
                available: self.len(),
            },
            Some(own_digest) if own_digest == digest => ResumePoint::From(tokens),
            Some(_) => ResumePoint::Diverged,
        }
    }
}
