//! Answers of the router's own, and upstreams' answers as callers get them.

use crate::body::ReplyBody;
use bytes::Bytes;
use hyper::header::{CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};
use std::time::Duration;

/// An answer to a caller.
pub(crate) type Reply = Response<ReplyBody>;

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
    let texts = values.filter_map(|v| v.to_str().ok());
    let names = texts.flat_map(|t| t.split(','));
    names.filter_map(|n| n.trim().parse().ok()).collect()
}

/// An answer of the router's own: a status and what is wrong.
pub(crate) fn own_reply(status: StatusCode, error: &str) -> Reply {
    let text = serde_json::json!({ "error": error }).to_string();
    let mut reply = Response::new(ReplyBody::whole(text));
    *reply.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    reply
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, json);
    reply
}

/// The promise that a request has not run and won't, and when to come back.
pub(crate) fn refusal(error: &str, come_back_in: Duration) -> Reply {
    let mut reply = own_reply(StatusCode::SERVICE_UNAVAILABLE, error);
    let seconds = format!("{:.3}", come_back_in.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        reply.headers_mut().insert(RETRY_AFTER, value);
    }
    reply
}

/// A upstream's whole answer.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamAnswer {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its whole body.
    pub body: Bytes,
}

impl UpstreamAnswer {
    /// The answer as the caller gets it.
    pub fn into_reply(self) -> Reply {
        with_head(self.status, self.headers, ReplyBody::whole(self.body))
    }
}

/// A upstream's head before a body that comes piece by piece.
pub(crate) fn streamed_reply(head: Parts, body: ReplyBody) -> Reply {
    with_head(head.status, head.headers, body)
}

fn with_head(status: StatusCode, mut headers: HeaderMap, body: ReplyBody) -> Reply {
    strip_hop_by_hop(&mut headers);
    headers.remove(CONTENT_LENGTH);
    let mut reply = Response::new(body);
    *reply.status_mut() = status;
    *reply.headers_mut() = headers;
    reply
}
