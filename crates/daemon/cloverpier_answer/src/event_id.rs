//! The identifier of a server-sent event: what a caller has, and who holds the copy.
//!
//! It is on the wire: callers send it back. It owns no state; whether the tokens behind it are
//! those of an answer is decided by [`crate::answer::Answer::resume_at`].

use cloverpier_core::{MemberId, TokenDigest};
use std::fmt;

/// What a caller sends back as `Last-Event-ID` to go on where it stopped.
///
/// Written as `tokens.chain.holder`; the holder may be missing where a
/// service keeps no copies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventId {
    /// Tokens that the caller has.
    pub tokens: u64,
    /// Their digest.
    pub chain: TokenDigest,
    /// The member that held the copy when the event was sent.
    pub holder: Option<MemberId>,
}

impl EventId {
    /// Reads an identifier, or says that the text isn't one.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.trim().splitn(3, '.');
        let tokens = parts.next()?.parse().ok()?;
        let chain = TokenDigest::parse(parts.next()?)?;
        let holder = parts.next().filter(|h| !h.is_empty()).map(MemberId::new);
        Some(Self {
            tokens,
            chain,
            holder,
        })
    }
}

impl fmt::Display for EventId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.tokens, self.chain)?;
        match &self.holder {
            Some(holder) => write!(f, ".{holder}"),
            None => Ok(()),
        }
    }
}
