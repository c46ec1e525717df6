//! What the head of an HTTP response may hold that ends an exchange. HTTP libraries take more.
//!
//! Owns no state.

use std::ops::RangeInclusive;

/// Statuses that end an exchange (RFC 9110, 15). One below is interim, or switches to a protocol that no request asks for;
/// one above is none.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;
/// The transfer coding that HTTP libraries undo.
const CHUNKED: &[u8] = b"chunked";

/// Whether a response with this status ends an exchange.
pub fn is_final_status(status: u16) -> bool {
    FINAL_STATUSES.contains(&status)
}

/// Whether the bytes of a body differ from those that were sent because of this value of `Transfer-Encoding`: the coding is
/// another than chunks, which HTTP libraries undo.
pub fn is_transfer_coding_left(value: &[u8]) -> bool {
    !value.eq_ignore_ascii_case(CHUNKED)
}
