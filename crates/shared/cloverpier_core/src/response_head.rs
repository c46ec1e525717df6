//! Checks of the heads of HTTP responses that HTTP libraries leave to their users.
//!
//! Both programs reject responses that fail them, because the status or the body would not be what the upstream sent. Owns no
//! state.

use std::ops::RangeInclusive;

/// Final statuses (RFC 9110, 15). Lower statuses are interim or switch the protocol, which no request asks for; higher ones are
/// not defined.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;
/// The transfer coding that HTTP libraries decode.
const CHUNKED: &[u8] = b"chunked";

/// Whether a response with this status completes the exchange.
pub fn is_final_status(status: u16) -> bool {
    FINAL_STATUSES.contains(&status)
}

/// Whether a body with this value of `Transfer-Encoding` is still encoded after the HTTP library has read the body.
pub fn is_transfer_coding_left(value: &[u8]) -> bool {
    !value.eq_ignore_ascii_case(CHUNKED)
}
