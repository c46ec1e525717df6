//! Secrets that are never written to logs, and client account keys that are stored as digests.
//!
//! Relies on `sha2` for digests and on `subtle` for constant-time comparisons.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;
use std::sync::Arc;
use subtle::ConstantTimeEq;

/// A secret from the settings, whose `Debug` output does not contain the text.
#[derive(Clone, PartialEq, Eq, Deserialize)]
#[serde(transparent)]
pub struct Secret(Arc<str>);

impl Secret {
    /// Copies the text of the secret.
    pub fn new(text: impl AsRef<str>) -> Self {
        Self(Arc::from(text.as_ref()))
    }

    /// Returns the text of the secret, to send it or compare it; callers must not log the text.
    pub fn reveal(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// The SHA-256 digest of a client account's key, in hexadecimal.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyDigest(Arc<str>);

impl KeyDigest {
    /// Computes the digest of a key in plain text.
    pub fn of(key: &str) -> Self {
        let digest = Sha256::digest(key.as_bytes());
        let hex: String = digest.iter().map(|b| format!("{b:02x}")).collect();
        Self(Arc::from(hex))
    }

    /// Compares the digest of a key that a caller sent with this digest, in constant time.
    pub fn matches(&self, key: &str) -> bool {
        same_secret(&self.0, &Self::of(key).0)
    }

    /// Returns the digest as hexadecimal text, which is not validated if the digest was deserialized.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// Whether two secrets are equal. The time of the comparison depends only on their lengths.
pub fn same_secret(a: &str, b: &str) -> bool {
    a.as_bytes().ct_eq(b.as_bytes()).into()
}
