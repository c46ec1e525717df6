//! A cryptographic digest of some text fields and a body, short enough for messages between routers.
//!
//! It is for keys that nobody may be able to construct a second content for.

use sha2::{Digest, Sha256};

/// The first 16 bytes of a SHA-256 digest over fields and a body, as two big-endian numbers.
pub fn wide_digest<'a>(fields: impl IntoIterator<Item = &'a str>, body: &[u8]) -> (u64, u64) {
    let mut hasher = Sha256::new();
    for field in fields {
        // The length prefix keeps different splits of the same bytes into fields from having one digest.
        hasher.update((field.len() as u64).to_be_bytes());
        hasher.update(field);
    }
    hasher.update(body);
    let digest: [u8; 32] = hasher.finalize().into();
    let number = |offset: usize| {
        let bytes = digest[offset..offset + 8].iter();
        bytes.fold(0, |number, byte| number << 8 | u64::from(*byte))
    };
    (number(0), number(8))
}
