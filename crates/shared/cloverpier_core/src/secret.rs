//! Secrets that never show in logs, and keys kept as digests.
//!
//! Relies on `sha2` for digests and on `subtle` for comparisons in constant time.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;
use std::sync::Arc;
use subtle::ConstantTimeEq;

/// A secret from the settings; `Debug` hides it.
#[derive(Clone, PartialEq, Eq, Deserialize)]
#[serde(transparent)]
pub struct Secret(Arc<str>);

impl Secret {
    /// Makes a secret from text.
    pub fn new(text: impl AsRef<str>) -> Self {
        Self(Arc::from(text.as_ref()))
    }

    /// The secret itself, for the one place that sends it.
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
    /// The digest of a key.
    pub fn of(key: &str) -> Self {
        let digest = Sha256::digest(key.as_bytes());
        let hex: String = digest.iter().map(|b| format!("{b:02x}")).collect();
        Self(Arc::from(hex))
    }

    /// Whether a key that a caller presents has this digest, in constant time.
    pub fn matches(&self, key: &str) -> bool {
        same_secret(&self.0, &Self::of(key).0)
    }

    /// The digest as hexadecimal text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// Compares two secrets in time that depends on their length alone.
pub fn same_secret(a: &str, b: &str) -> bool {
    a.as_bytes().ct_eq(b.as_bytes()).into()
}
