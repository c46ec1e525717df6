//! Heads that no answer may have: an upstream in trouble may send one that the HTTP library takes.
//!
//! Owns no state.

use reqwest::Response;
use reqwest::header::TRANSFER_ENCODING;
use snafu::Snafu;
use std::ops::RangeInclusive;

/// Statuses that end an exchange (RFC 9110, 15). One below is interim, or switches to a protocol that no request asks for;
/// one above is none.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;
/// The transfer coding that the HTTP library undoes.
const CHUNKED: &[u8] = b"chunked";

/// The reason why a head is that of no answer. The call may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum HeadError {
    /// The status does not end an exchange.
    #[snafu(display("an answer with the status {status}"))]
    InvalidStatus {
        /// The status.
        status: u16,
    },
    /// The body has a transfer coding besides chunks, which the HTTP library does not undo.
    #[snafu(display("an answer in a transfer coding"))]
    TransferCoded,
}

/// Checks the head of a response.
///
/// # Errors
///
/// [`HeadError`].
pub(crate) fn check_head(res: &Response) -> Result<(), HeadError> {
    let status = res.status().as_u16();
    if !FINAL_STATUSES.contains(&status) {
        return InvalidStatusSnafu { status }.fail();
    }
    let mut codings = res.headers().get_all(TRANSFER_ENCODING).iter();
    if !codings.all(|coding| coding.as_bytes().eq_ignore_ascii_case(CHUNKED)) {
        return TransferCodedSnafu.fail();
    }
    Ok(())
}
