//! Reads single headers of callers' requests, and logs those that cannot be read, which are then treated as missing.
//! Owns no state.

use crate::decision_log::UnreadableHeader;
use crate::router::Router;
use hyper::header::{HeaderMap, HeaderName};

/// The value of a header; `None` if the header is missing or its value contains other bytes than visible ASCII.
pub(crate) fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Logs that a header cannot be read, and is treated as missing.
pub(crate) fn log_ignored_header(router: &Router, id: &str, header: &HeaderName) {
    let line = UnreadableHeader {
        request: id,
        header: header.as_str(),
    };
    router.log.info("request.header_ignored", &line);
}
