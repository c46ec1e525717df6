//! Reads a caller's HTTP request into a [`RelayRequest`], or rejects the request.
//!
//! `cloverpier_router_policy::{arrival, deadline, lifecycle}` decide which requests are admitted, under which
//! client account, and how long a starting router holds a request. Owns no state.

use crate::buffer_reservation::BufferReservation;
use crate::cancel_signal::CancelSignal;
use crate::decision_log::{RequestEnd, RequestRejected};
use crate::relay_request::RelayRequest;
use crate::request_headers::{header_text, log_ignored_header};
use crate::responses::{ServerResponse, error_response, refusal_response, strip_hop_by_hop};
use crate::resumption::{StreamRequest, requested_stream};
use crate::router::Router;
use crate::wire_names::TokenCounts;
use bytes::{Bytes, BytesMut};
use cloverpier_core::hash_of;
use cloverpier_router_policy::arrival::{
    Rejection, find_account, find_route, pick_service, priority,
};
use cloverpier_router_policy::buffer_memory::BufferKind;
use cloverpier_router_policy::deadline::CallerTimeout;
use cloverpier_router_policy::lifecycle::hold_deadline;
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::refusal::Refusal;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_LENGTH, EXPECT, HOST, HeaderMap, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, StatusCode};
use std::cell::OnceCell;
use std::rc::Rc;
use std::time::Instant;

/// Reads the headers and the whole body of a request. `now` is the arrival of the request.
///
/// # Errors
///
/// The error response for the caller if the request is rejected.
pub(crate) async fn receive_request(
    router: &Rc<Router>,
    request: Request<Incoming>,
    now: Instant,
) -> Result<RelayRequest, ServerResponse> {
    let (head, body) = request.into_parts();
    let id = header_text(&head.headers, &router.wire_names.headers.request_id);
    // A request without an id has an empty one; its caller can match the response only by the connection.
    let id = id.unwrap_or_default().to_owned();
    let path = head.uri.path().to_owned();
    match read_request(router, head, body, &id, now).await {
        Ok(request) => Ok(request),
        Err(rejection) => {
            log_rejection(router, &id, &path, rejection);
            Err(rejection_response(rejection))
        }
    }
}

fn rejection_status(rejection: Rejection) -> StatusCode {
    match rejection {
        Rejection::Starting | Rejection::UnknownService | Rejection::BufferMemoryFull => {
            StatusCode::SERVICE_UNAVAILABLE
        }
        Rejection::NoRoute => StatusCode::NOT_FOUND,
        Rejection::UnknownKey => StatusCode::UNAUTHORIZED,
        Rejection::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
        Rejection::BodyIncomplete => StatusCode::BAD_REQUEST,
    }
}

fn rejection_response(rejection: Rejection) -> ServerResponse {
    let status = rejection_status(rejection);
    let reason = rejection.to_string();
    match rejection {
        Rejection::BufferMemoryFull => refusal_response(&reason, Refusal::BufferMemoryFull),
        _ if status == StatusCode::SERVICE_UNAVAILABLE => {
            refusal_response(&reason, Refusal::Starting)
        }
        _ => error_response(status, &reason),
    }
}

fn log_rejection(router: &Router, id: &str, path: &str, rejection: Rejection) {
    router.metrics.requests.count(RequestEnd::Rejected.into());
    let configuration = router.store.configuration();
    router.log.info(
        "request.rejected",
        &RequestRejected {
            request: id,
            path,
            status: rejection_status(rejection).as_u16(),
            reason: &rejection.to_string(),
            configuration_version: configuration.map(|c| c.version()),
        },
    );
}

async fn read_request(
    router: &Rc<Router>,
    head: Parts,
    body: Incoming,
    id: &str,
    now: Instant,
) -> Result<RelayRequest, Rejection> {
    let timeout = caller_timeout(router, &head.headers, id);
    hold_until_serving(router, now, timeout).await;
    let is_serving = router.store.is_serving();
    let configuration = router.store.configuration().filter(|_| is_serving);
    let configuration = configuration.ok_or(Rejection::Starting)?;
    let names = &router.wire_names.headers;
    let host = request_host(&head);
    let route = find_route(&configuration, host, head.uri.path())?;
    let key = header_text(&head.headers, &names.key);
    let account = find_account(&configuration, &route, key)?;
    let mut reservation = BufferReservation::new(&router.buffer_memory, BufferKind::Body);
    let body = read_body(body, configuration.limits().body_bytes, &mut reservation).await?;
    // The configuration may have changed while the body arrived. If the new configuration does not contain
    // the route any more, the request still uses the route that admitted it.
    let configuration = router.store.configuration().ok_or(Rejection::Starting)?;
    let route = find_route(&configuration, host, head.uri.path()).unwrap_or(route);
    let service = pick_service(&configuration, &route, &mut router.rng.borrow_mut())?;
    let requested = StreamRequest::read(router, &head.headers, id, account.as_deref(), &route);
    let last_event = requested.last_event;
    let (service, stream) = requested_stream(router, &configuration, service, requested).await;
    Ok(RelayRequest {
        id: id.to_owned(),
        method: head.method.clone(),
        host: host.to_ascii_lowercase(),
        target: request_target(&head),
        body,
        _reservation: reservation,
        deadline: now + timeout.effective_timeout(route.timeout),
        last_event,
        stream,
        token_counts: token_counts(router, &head.headers, id),
        prompt: prompt_key(router, &head.headers),
        headers: forwarded_headers(router, head.headers, account.as_deref()),
        priority: priority(&route, account.as_deref()),
        account,
        service,
        route,
        configuration_version: configuration.version(),
        arrived: now,
        cancel: CancelSignal::default(),
        content_key: OnceCell::new(),
    })
}

/// Waits until this router has a configuration and a list of upstreams, at most until the deadline that
/// [`hold_deadline`] computes. Returns at once if calls to the store fail.
async fn hold_until_serving(router: &Router, arrived: Instant, timeout: CallerTimeout) {
    let store = &router.store;
    let started = router.lifecycle.started_at();
    while !store.is_serving() {
        let deadline = hold_deadline(started, store.is_failing(), arrived, timeout);
        let Some(deadline) = deadline.filter(|deadline| router.now() < *deadline) else {
            return;
        };
        tokio::select! {
            () = store.held_requests_woken() => {}
            () = router.timers.sleep_until(deadline) => {}
        }
    }
}

/// The host in the request's target or `Host` header, without a port; empty if the request has no host.
fn request_host(head: &Parts) -> &str {
    let host = head.uri.host().or_else(|| {
        // No route has a host that is not visible ASCII, so such a `Host` header counts as absent.
        let host = head.headers.get(HOST)?.to_str().ok()?;
        Some(host.split(':').next().unwrap_or(host))
    });
    // No route has an empty host.
    host.unwrap_or_default()
}

/// Reads a request body of at most `max_bytes` into memory. `reservation` grows with the bytes that arrive.
async fn read_body(
    mut body: Incoming,
    max_bytes: usize,
    reservation: &mut BufferReservation,
) -> Result<Bytes, Rejection> {
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(Rejection::BodyTooLong);
    }
    let mut buffer = BytesMut::new();
    while let Some(frame) = body.frame().await {
        // All causes are on the caller's side (its connection or a malformed body), so they are one rejection.
        let frame = frame.map_err(|_| Rejection::BodyIncomplete)?;
        // A frame without data contains trailers, which are not forwarded.
        let data = frame.into_data().unwrap_or_default();
        if buffer.len() + data.len() > max_bytes {
            return Err(Rejection::BodyTooLong);
        }
        if !reservation.try_grow(data.len()) {
            return Err(Rejection::BufferMemoryFull);
        }
        buffer.extend_from_slice(&data);
    }
    Ok(buffer.freeze())
}

fn request_target(head: &Parts) -> String {
    let target = head.uri.path_and_query();
    target.map_or_else(|| head.uri.path().to_owned(), ToString::to_string)
}

/// The timeout that the caller set by a header. A value that can't be parsed is logged; the route's timeout
/// applies then.
fn caller_timeout(router: &Router, headers: &HeaderMap, id: &str) -> CallerTimeout {
    let name = &router.wire_names.headers.deadline_ms;
    let timeout = CallerTimeout::parse(header_text(headers, name));
    if timeout == CallerTimeout::Unreadable {
        log_ignored_header(router, id, name);
    }
    timeout
}

/// The token counts that the caller declared by a header. Without the header, and with a header that can't be
/// parsed (which is logged), all counts are 0.
fn token_counts(router: &Router, headers: &HeaderMap, id: &str) -> TokenCounts {
    let name = &router.wire_names.headers.token_counts;
    let Some(text) = header_text(headers, name) else {
        return TokenCounts::default();
    };
    (router.wire_names.token_counts)(text).unwrap_or_else(|| {
        log_ignored_header(router, id, name);
        TokenCounts::default()
    })
}

/// The key of the request's prompt: a hash of the name of the part that no other prompt contains. `None` if the
/// request does not declare the parts of its prompt.
fn prompt_key(router: &Router, headers: &HeaderMap) -> Option<PromptKey> {
    let parts = header_text(headers, &router.wire_names.headers.prompt_parts)?;
    let unique_part = (router.wire_names.unique_part)(parts)?;
    Some(PromptKey(hash_of(unique_part)))
}

/// The headers that upstreams receive with every attempt: the caller's headers without hop-by-hop headers and
/// without those that callers must not set, and the name of the client account. `Expect` and `Content-Length` are
/// left out, too: the whole body has arrived, and the HTTP library sets its length.
fn forwarded_headers(
    router: &Router,
    mut headers: HeaderMap,
    account: Option<&ClientAccount>,
) -> HeaderMap {
    strip_hop_by_hop(&mut headers);
    for name in &router.wire_names.not_forwarded {
        headers.remove(name);
    }
    headers.remove(EXPECT);
    headers.remove(CONTENT_LENGTH);
    // An account name that is not a valid header value is left out; the request is then forwarded without an
    // account, like a request of a public route.
    if let Some(value) = account.and_then(|a| HeaderValue::from_str(&a.name).ok()) {
        let name = router.wire_names.headers.account.clone();
        headers.insert(name, value);
    }
    headers
}
