//! A digest of the tokens of a response, extended token by token.
//!
//! `cloverpierd` includes the digest in event ids and at the end of responses. Two token sequences are
//! joined only if their digests are equal, and callers can verify the tokens that they received.

use serde::{Deserialize, Serialize};
use std::fmt;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The digest of all tokens of a response up to an offset.
///
/// Each step hashes the next token, with the digest so far as the seed. Two prefixes have the same digest
/// only if all their tokens are equal, except for a hash collision. The digest detects errors; it does not
/// protect against forgery.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TokenDigest(u64);

impl TokenDigest {
    /// The digest of an empty token sequence.
    pub const EMPTY: Self = Self(0);

    /// The digest after one more token.
    #[must_use]
    pub fn push(self, token: &str) -> Self {
        Self(xxh3_64_with_seed(token.as_bytes(), self.0))
    }

    /// The digest of a token sequence.
    pub fn of_tokens<'a>(tokens: impl IntoIterator<Item = &'a str>) -> Self {
        tokens.into_iter().fold(Self::EMPTY, Self::push)
    }

    /// Parses hexadecimal digits, the form that `Display` writes; `None` for other text.
    pub fn parse(text: &str) -> Option<Self> {
        u64::from_str_radix(text, 16).ok().map(Self)
    }

    /// The digest as a number.
    pub fn as_u64(self) -> u64 {
        self.0
    }
}

impl fmt::Display for TokenDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
