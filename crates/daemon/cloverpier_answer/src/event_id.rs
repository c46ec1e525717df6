//! The identifier of a server-sent event: the tokens that the caller has, and the holder of the
//! copy.
//!
//! The text is part of the wire format, as callers send it back.
//! [`crate::response::OwnedResponse::resume_at`] checks whether the tokens match a response.

use cloverpier_core::{MemberId, TokenDigest};
use std::fmt;

/// The `Last-Event-ID` that a caller sends to resume a response.
///
/// Written as `tokens.digest.holder`, without `.holder` if the service keeps no copies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventId {
    /// The number of tokens that the caller has after the event.
    pub tokens: u64,
    /// The digest of those tokens.
    pub chain: TokenDigest,
    /// The member that held the copy when the event was sent; `None` without a copy.
    pub holder: Option<MemberId>,
}

impl EventId {
    /// Parses an identifier; `None` if the text is invalid.
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
