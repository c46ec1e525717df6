//! Announcements of an upstream about itself in the headers of its responses.
//!
//! Owns the names of these headers: `Upstream-Leaving: 1` in a response of any status, and
//! `Retry-After`, in seconds with optional fractions, in a response of status 503. The consequences
//! are decided in `cloverpier_route`. The router on the platform reads other headers (`platform/`).

use cloverpier_core::parse_retry_after;
use reqwest::header::{HeaderMap, RETRY_AFTER};
use reqwest::{Response, StatusCode};
use std::time::Duration;

/// An upstream that is about to stop sets this header to [`LEAVING_VALUE`].
const LEAVING_HEADER: &str = "upstream-leaving";
const LEAVING_VALUE: &str = "1";

/// The announcements in one response of an upstream; the default has none.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UpstreamStatement {
    /// Whether the upstream is about to stop and accepts no new requests.
    pub is_leaving: bool,
    /// For how long this router must send the upstream no requests; `None` if the upstream has not
    /// requested a pause.
    pub wait: Option<Duration>,
    /// Name and value of a header that can't be parsed and is otherwise ignored, for the log; `None`
    /// if there is no such header.
    pub unreadable: Option<String>,
}

impl UpstreamStatement {
    /// Reads the announcements of a response, whose body may still be arriving.
    pub(crate) fn from_response(res: &Response) -> Self {
        Self::from_headers(res.status(), res.headers())
    }

    /// Reads the announcements of a response with this status and these headers.
    pub fn from_headers(status: StatusCode, headers: &HeaderMap) -> Self {
        let wait = read_retry_after(status, headers);
        Self {
            is_leaving: headers
                .get(LEAVING_HEADER)
                .is_some_and(|value| value == LEAVING_VALUE),
            unreadable: wait.as_ref().err().cloned(),
            // `unreadable` has the error.
            wait: wait.unwrap_or_default(),
        }
    }
}

fn read_retry_after(status: StatusCode, headers: &HeaderMap) -> Result<Option<Duration>, String> {
    if status != StatusCode::SERVICE_UNAVAILABLE {
        return Ok(None);
    }
    let Some(value) = headers.get(RETRY_AFTER) else {
        return Ok(None);
    };
    // The error names the header and its invalid value.
    let wait = value.to_str().ok().and_then(parse_retry_after);
    wait.map(Some)
        .ok_or_else(|| format!("{RETRY_AFTER}: {value:?}"))
}
