//! Text that proves how it came about.
//!
//! Each token names the engine that made it and a digest of all tokens
//! before it, as that engine saw them. A token that was joined to a text that
//! it wasn't generated from gives itself away.

use cloverpier_core::TokenDigest;

const SALT_LEN: usize = 4;
const MARK_LEN: usize = 8;

/// Where a text doesn't hold together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpeechFault {
    /// The token at this offset is not one of a stand-in.
    NotSpeech {
        /// The offset.
        at: usize,
    },
    /// The token at this offset was generated after other tokens than these.
    Mixed {
        /// The offset.
        at: usize,
    },
}

fn mark(salt: u16, before: TokenDigest) -> u32 {
    let chained = before.push(&format!("{salt:04x}"));
    u32::try_from(chained.as_u64() >> 32).unwrap_or(0)
}

/// The token that an engine says after a text.
pub fn speak(salt: u16, before: TokenDigest) -> String {
    format!(" {salt:04x}{:08x}", mark(salt, before))
}

/// Checks that every token was generated after exactly those before it.
///
/// # Errors
///
/// The first [`SpeechFault`].
pub fn check_speech<'a>(tokens: impl IntoIterator<Item = &'a str>) -> Result<(), SpeechFault> {
    let mut chain = TokenDigest::EMPTY;
    for (at, token) in tokens.into_iter().enumerate() {
        let (salt, said) = parts(token).ok_or(SpeechFault::NotSpeech { at })?;
        if mark(salt, chain) != said {
            return Err(SpeechFault::Mixed { at });
        }
        chain = chain.push(token);
    }
    Ok(())
}

fn parts(token: &str) -> Option<(u16, u32)> {
    let text = token.strip_prefix(' ')?;
    if text.len() != SALT_LEN + MARK_LEN || !text.is_ascii() {
        return None;
    }
    let (salt, said) = text.split_at(SALT_LEN);
    let salt = u16::from_str_radix(salt, 16).ok()?;
    Some((salt, u32::from_str_radix(said, 16).ok()?))
}
