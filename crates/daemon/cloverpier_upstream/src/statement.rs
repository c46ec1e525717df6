//! What an upstream's answer says of the upstream itself.
//!
//! The one place that knows in which headers it says so: `Upstream-Leaving: 1` in any answer, and
//! `Retry-After` in seconds, fractions allowed, in one with status 503. What follows is decided in
//! `cloverpier_route`. The router on the platform reads the platform's own words (`platform/`).

use cloverpier_core::parse_retry_after;
use reqwest::header::{HeaderMap, RETRY_AFTER};
use reqwest::{Response, StatusCode};
use std::time::Duration;

/// Set to [`YES`] by an upstream that leaves.
const LEAVING: &str = "upstream-leaving";
const YES: &str = "1";

/// What an answer says of its sender.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UpstreamStatement {
    /// Whether it is about to leave.
    pub is_leaving: bool,
    /// For how long it wants no request from this router.
    pub wait: Option<Duration>,
    /// A statement that cannot be read, and so says nothing.
    pub unreadable: Option<String>,
}

impl UpstreamStatement {
    /// Reads it off an answer.
    pub(crate) fn of(res: &Response) -> Self {
        Self::read(res.status(), res.headers())
    }

    /// Reads it off a status and headers.
    pub fn read(status: StatusCode, headers: &HeaderMap) -> Self {
        let wait = wait(status, headers);
        Self {
            is_leaving: headers.get(LEAVING).is_some_and(|value| value == YES),
            unreadable: wait.as_ref().err().cloned(),
            // An error is in `unreadable`.
            wait: wait.unwrap_or_default(),
        }
    }
}

fn wait(status: StatusCode, headers: &HeaderMap) -> Result<Option<Duration>, String> {
    if status != StatusCode::SERVICE_UNAVAILABLE {
        return Ok(None);
    }
    let Some(value) = headers.get(RETRY_AFTER) else {
        return Ok(None);
    };
    // What cannot be read is the error, with the value.
    let wait = value.to_str().ok().and_then(parse_retry_after);
    wait.map(Some)
        .ok_or_else(|| format!("{RETRY_AFTER}: {value:?}"))
}
