//! Builds the HTTP request of one attempt from a caller's request.
//!
//! Owns no state. The platform's adapter provides the names of the headers ([`crate::wire_names`]).

use crate::connection::BufferedRequest;
use crate::relay_request::RelayRequest;
use crate::router::Router;
use cloverpier_router_policy::prelude::*;
use http_body_util::Full;
use hyper::Request;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use std::time::Instant;

/// The values of the headers that differ between the attempts of a request.
#[derive(Clone, Debug, Default)]
pub(crate) struct AttemptHeaders {
    /// The engine to which the upstream replicates the KV cache of this attempt; `None` if it is not replicated.
    pub replica: Option<Upstream>,
    /// The id of the KV cache replica from which the upstream resumes a stream, in the platform's format; `None`
    /// if the upstream computes the KV cache itself.
    pub resume_from: Option<String>,
    /// The last event of the stream that the caller has received already; the upstream sends the events after it.
    /// `None` for the whole stream.
    pub last_event: Option<u64>,
    /// The request's priority at the upstream, 0 the highest.
    pub priority: u8,
}

/// Builds the HTTP request of one attempt.
pub(crate) fn build_request(
    router: &Router,
    request: &RelayRequest,
    upstream: &Upstream,
    attempt_headers: &AttemptHeaders,
    now: Instant,
) -> Result<BufferedRequest, AttemptFailure> {
    let message = Request::builder()
        .method(request.method.clone())
        .uri(request.target.as_str());
    let message = message.body(Full::new(request.body.clone()));
    let mut message = message.map_err(|e| AttemptFailure::InvalidMessage {
        error: e.to_string(),
    })?;
    let headers = message.headers_mut();
    headers.clone_from(&request.headers);
    set_attempt_headers(router, request, upstream, attempt_headers, now, headers)?;
    Ok(message)
}

/// Sets the headers of one attempt, among them the time left until the deadline and the name of the upstream.
fn set_attempt_headers(
    router: &Router,
    request: &RelayRequest,
    upstream: &Upstream,
    attempt_headers: &AttemptHeaders,
    now: Instant,
    headers: &mut HeaderMap,
) -> Result<(), AttemptFailure> {
    let names = &router.wire_names.headers;
    let mut set = |name: &HeaderName, text: &str| match HeaderValue::from_str(text) {
        Ok(value) => {
            headers.insert(name.clone(), value);
            Ok(())
        }
        Err(e) => Err(AttemptFailure::InvalidMessage {
            error: format!("{name}: {e}"),
        }),
    };
    let time_left = request.time_left(now).as_millis().to_string();
    set(&names.deadline_ms, &time_left)?;
    set(&names.expected_upstream, upstream.name.as_str())?;
    if request.service.engine.is_some() {
        set(&names.priority, &attempt_headers.priority.to_string())?;
    }
    if let Some(replica) = &attempt_headers.replica {
        set(&names.replica_at, &replica.address.to_string())?;
    }
    if let Some(replica_id) = &attempt_headers.resume_from {
        set(&names.resume_from, replica_id)?;
    }
    if let Some(last) = attempt_headers.last_event {
        set(&names.last_event, &last.to_string())?;
    }
    Ok(())
}
