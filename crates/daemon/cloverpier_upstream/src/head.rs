//! Checks of response heads beyond those of the HTTP library, for engines and plain services.
//!
//! Relies on `cloverpier_core` for the rules. Owns no state.

use cloverpier_core::{is_final_status, is_transfer_coding_left};
use reqwest::Response;
use reqwest::header::TRANSFER_ENCODING;
use snafu::Snafu;

/// The reason why a response head is invalid. The call may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum HeadError {
    /// The status is not final.
    #[snafu(display("an answer with the status {status}"))]
    InvalidStatus {
        /// The status.
        status: u16,
    },
    /// The body has a transfer coding that the HTTP library does not decode.
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
    if !is_final_status(status) {
        return InvalidStatusSnafu { status }.fail();
    }
    let mut codings = res.headers().get_all(TRANSFER_ENCODING).iter();
    if codings.any(|coding| is_transfer_coding_left(coding.as_bytes())) {
        return TransferCodedSnafu.fail();
    }
    Ok(())
}
