//! Builds the responses that this router sends: its own error responses, and upstreams' responses as callers
//! receive them.
//!
//! Owns the list of hop-by-hop headers. `cloverpier_router_policy::refusal` decides when a refused caller should
//! retry.

use crate::body::ResponseBody;
use bytes::Bytes;
use cloverpier_router_policy::refusal::{Refusal, retry_after};
use hyper::header::{CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};
use std::time::Duration;

/// A response that one of this router's listeners sends.
pub(crate) type ServerResponse = Response<ResponseBody>;

/// Hop-by-hop headers, which apply to one connection only and are not forwarded (RFC 9110, 7.6.1).
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Removes the hop-by-hop headers, including those that the `Connection` header lists.
pub(crate) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    for name in connection_header_names(headers) {
        headers.remove(name);
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
}

fn connection_header_names(headers: &HeaderMap) -> Vec<HeaderName> {
    let values = headers.get_all(CONNECTION).iter();
    // An entry that is not a valid header name matches no header, so it is skipped.
    let texts = values.filter_map(|v| v.to_str().ok());
    let names = texts.flat_map(|t| t.split(','));
    names.filter_map(|n| n.trim().parse().ok()).collect()
}

/// Creates an error response: a status, and a JSON body with an error message.
pub(crate) fn error_response(status: StatusCode, error: &str) -> ServerResponse {
    let text = serde_json::json!({ "error": error }).to_string();
    let mut response = Response::new(ResponseBody::buffered(text));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, json);
    response
}

/// Creates a response with status 503 for a request that is refused before it has run. `error` is the message in
/// the body; `refusal` decides whether there is a `Retry-After`, and its value.
pub(crate) fn refusal_response(error: &str, refusal: Refusal) -> ServerResponse {
    let mut response = error_response(StatusCode::SERVICE_UNAVAILABLE, error);
    if let Some(delay) = retry_after(refusal) {
        set_retry_after(&mut response, delay);
    }
    response
}

/// Sets the `Retry-After` header to `delay` in seconds, with three decimal places.
pub(crate) fn set_retry_after(response: &mut ServerResponse, delay: Duration) {
    let seconds = delay.as_secs_f64();
    // The conversion can't fail, as digits and a dot are valid in a header value.
    if let Ok(value) = HeaderValue::from_str(&format!("{seconds:.3}")) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
}

/// An upstream's response whose whole body is in memory.
#[derive(Clone, Debug)]
pub(crate) struct BufferedResponse {
    /// The HTTP status that the upstream set.
    pub status: StatusCode,
    /// The upstream's headers, with the hop-by-hop ones.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

impl BufferedResponse {
    /// Creates a response from the head that arrived and the body that was read after it.
    pub fn new(head: Parts, body: Bytes) -> Self {
        Self {
            status: head.status,
            headers: head.headers,
            body,
        }
    }

    /// Converts the upstream's response into the response for the caller, without hop-by-hop headers.
    pub fn into_response(self) -> ServerResponse {
        response_with_head(self.status, self.headers, ResponseBody::buffered(self.body))
    }
}

/// Creates the response for the caller from an upstream's head and a body that is streamed.
pub(crate) fn streamed_response(head: Parts, body: ResponseBody) -> ServerResponse {
    response_with_head(head.status, head.headers, body)
}

fn response_with_head(
    status: StatusCode,
    mut headers: HeaderMap,
    body: ResponseBody,
) -> ServerResponse {
    strip_hop_by_hop(&mut headers);
    headers.remove(CONTENT_LENGTH);
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
