//! Replies of the router's own, and upstreams' answers as callers get them.
//!
//! Owns the list of headers that concern one connection only. When a refused caller should
//! retry is decided in `cloverpier_router_policy::refusal`.

use crate::body::ResponseBody;
use bytes::Bytes;
use cloverpier_router_policy::refusal::{Refusal, retry_after};
use hyper::header::{CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};
use std::time::Duration;

/// A reply to a caller.
pub(crate) type ServerResponse = Response<ResponseBody>;

/// Headers that concern one connection only.
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

/// Removes headers that concern one connection only, those that `Connection` names among them.
pub(crate) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    for name in named_by_connection(headers) {
        headers.remove(name);
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
}

fn named_by_connection(headers: &HeaderMap) -> Vec<HeaderName> {
    let values = headers.get_all(CONNECTION).iter();
    // Only what can be the name of a header can be removed from the headers; the rest is skipped.
    let texts = values.filter_map(|v| v.to_str().ok());
    let names = texts.flat_map(|t| t.split(','));
    names.filter_map(|n| n.trim().parse().ok()).collect()
}

/// A reply of the router's own: a status and what is wrong.
pub(crate) fn error_response(status: StatusCode, error: &str) -> ServerResponse {
    let text = serde_json::json!({ "error": error }).to_string();
    let mut reply = Response::new(ResponseBody::whole(text));
    *reply.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    reply
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, json);
    reply
}

/// The reply to a refused request, which has not run: why, and when to retry.
pub(crate) fn refusal_response(error: &str, refusal: Refusal) -> ServerResponse {
    let mut reply = error_response(StatusCode::SERVICE_UNAVAILABLE, error);
    set_retry_after(&mut reply, retry_after(refusal));
    reply
}

/// Says when to ask again, in seconds with fractions.
pub(crate) fn set_retry_after(reply: &mut ServerResponse, wait: Duration) {
    let seconds = wait.as_secs_f64();
    // Digits and a dot are a valid header value.
    if let Ok(value) = HeaderValue::from_str(&format!("{seconds:.3}")) {
        reply.headers_mut().insert(RETRY_AFTER, value);
    }
}

/// An upstream's whole answer.
#[derive(Clone, Debug)]
pub(crate) struct BufferedResponse {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its whole body.
    pub body: Bytes,
}

impl BufferedResponse {
    /// A whole answer of a head and a body.
    pub fn new(head: Parts, body: Bytes) -> Self {
        Self {
            status: head.status,
            headers: head.headers,
            body,
        }
    }

    /// The answer as the caller gets it.
    pub fn into_response(self) -> ServerResponse {
        with_head(self.status, self.headers, ResponseBody::whole(self.body))
    }
}

/// An upstream's head before a body that comes piece by piece.
pub(crate) fn streamed_response(head: Parts, body: ResponseBody) -> ServerResponse {
    with_head(head.status, head.headers, body)
}

fn with_head(status: StatusCode, mut headers: HeaderMap, body: ResponseBody) -> ServerResponse {
    strip_hop_by_hop(&mut headers);
    headers.remove(CONTENT_LENGTH);
    let mut reply = Response::new(body);
    *reply.status_mut() = status;
    *reply.headers_mut() = headers;
    reply
}
