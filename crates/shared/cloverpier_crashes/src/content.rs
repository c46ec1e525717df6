//! Which requests are the same, whoever repeats them.
//!
//! - **Question.** Is this request one that came before, though it has another id, came to another
//!   router or is a later attempt?
//! - **Inputs.** What a repeat has in common with it: client account, host, method, path with its
//!   query, and body. Headers differ between repeats (the id, the time left, the last event that the
//!   caller has), so they are left out.
//! - **Answer.** A [`ContentKey`], equal for the same request.
//! - **Why a cryptographic digest.** Requests are turned away by it. With a hash that can be steered,
//!   a caller could make a body that meets another caller's key.
//!
//! Owns nothing.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;

/// What repeats of a request have in common.
#[derive(Clone, Copy, Debug)]
pub struct Content<'a> {
    /// The client account; empty for a request without one.
    pub account: &'a str,
    /// The host that it names.
    pub host: &'a str,
    /// The method.
    pub method: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// The whole body.
    pub body: &'a [u8],
}

impl Content<'_> {
    /// All of it but the body.
    pub(crate) fn head(&self) -> [&str; 4] {
        [self.account, self.host, self.method, self.target]
    }
}

/// The first 16 bytes of a SHA-256 digest of a request's content.
///
/// Travels between routers as two numbers.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ContentKey(u64, u64);

impl ContentKey {
    /// The key of a request.
    pub fn of(content: &Content<'_>) -> Self {
        let mut hasher = Sha256::new();
        for part in content.head() {
            // With its length before it, no part can pass for the end of another.
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        hasher.update(content.body);
        let digest: [u8; 32] = hasher.finalize().into();
        let number = |at: usize| {
            let bytes = digest[at..at + 8].iter();
            bytes.fold(0, |number, byte| number << 8 | u64::from(*byte))
        };
        Self(number(0), number(8))
    }

    /// Reads the key from the hexadecimal form that `Display` writes; `None` for other text.
    pub fn parse(text: &str) -> Option<Self> {
        let is_key = text.len() == 32 && text.bytes().all(|b| b.is_ascii_hexdigit());
        let (high, low) = is_key.then(|| text.split_at(16))?;
        let number = |part| u64::from_str_radix(part, 16).ok();
        Some(Self(number(high)?, number(low)?))
    }

    /// A number that is the same for the same content, to spread contents by.
    pub fn spread(self) -> u64 {
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
