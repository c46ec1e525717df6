//! A digest of an answer that grows token by token.
//!
//! `cloverpierd` puts it into event ids and at the end of answers, so that two texts are
//! joined only where they agree, and callers can check what they got.

use serde::{Deserialize, Serialize};
use std::fmt;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The digest of all tokens of an answer up to an offset.
///
/// Each step hashes the next token seeded with the digest so far, so two
/// prefixes agree only when every token of them agrees. It guards against
/// mistakes, not against forgery.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Chain(u64);

impl Chain {
    /// The digest of no tokens.
    pub const EMPTY: Self = Self(0);

    /// The digest after one more token.
    #[must_use]
    pub fn push(self, token: &str) -> Self {
        Self(xxh3_64_with_seed(token.as_bytes(), self.0))
    }

    /// The digest of a whole list of tokens.
    pub fn over<'a>(tokens: impl IntoIterator<Item = &'a str>) -> Self {
        tokens.into_iter().fold(Self::EMPTY, Self::push)
    }

    /// Reads the digest from the hexadecimal form that `Display` writes.
    pub fn parse(text: &str) -> Option<Self> {
        u64::from_str_radix(text, 16).ok().map(Self)
    }

    /// The digest as a number.
    pub fn value(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Chain {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
