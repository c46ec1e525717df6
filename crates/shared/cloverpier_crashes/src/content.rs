//! Identity of a request's content, to recognize repeats of a request.
//!
//! A repeat may have another request id, arrive at another router or be a later attempt of a router. Two
//! requests are repeats of each other if they have the same [`ContentKey`], computed from client account, host,
//! method, path with query, and body. The headers are left out, as they differ between repeats: the request id,
//! the remaining time, the last event that the caller has received.
//!
//! The key is a cryptographic digest because requests are refused by it: with a hash whose collisions can be
//! constructed, a caller could send a body that blocks another caller's request.
//!
//! This module owns no state.

use cloverpier_core::wide_digest;
use serde::{Deserialize, Serialize};
use std::fmt;

/// The parts of a request that are the same in each of its repeats: retries by a router and repeats by the
/// caller.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    /// The client account; empty for a request without an account.
    pub account: &'a str,
    /// The host that the request is addressed to.
    pub host: &'a str,
    /// The HTTP method.
    pub method: &'a str,
    /// The path with the query.
    pub target: &'a str,
    /// The complete request body.
    pub body: &'a [u8],
}

impl RequestContent<'_> {
    /// All fields except the body.
    pub(crate) fn head(&self) -> [&str; 4] {
        [self.account, self.host, self.method, self.target]
    }
}

/// The first 16 bytes of the SHA-256 digest of a [`RequestContent`]: the same for all repeats of a request.
///
/// Serialized, between routers, as two 64-bit numbers.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ContentKey(u64, u64);

impl ContentKey {
    /// Computes the key of a request content.
    pub fn of(content: &RequestContent<'_>) -> Self {
        let (high, low) = wide_digest(content.head(), content.body);
        Self(high, low)
    }

    /// Parses the 32 hexadecimal digits that `Display` writes; `None` for any other text.
    pub fn parse(text: &str) -> Option<Self> {
        let is_key = text.len() == 32 && text.bytes().all(|b| b.is_ascii_hexdigit());
        let (high, low) = is_key.then(|| text.split_at(16))?;
        let number = |digits| u64::from_str_radix(digits, 16).ok();
        Some(Self(number(high)?, number(low)?))
    }

    /// A 64-bit hash for the choice of an upstream: different request contents prefer different upstreams.
    pub fn placement_hash(self) -> u64 {
        self.0
    }
}

impl fmt::Display for ContentKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}{:016x}", self.0, self.1)
    }
}

impl fmt::Debug for ContentKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}
