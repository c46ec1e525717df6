//! From a caller's bytes to a request that can be relayed, or to its rejection.
//!
//! Reads headers and body into a [`RelayRequest`]; which request is admitted, on whose account, and
//! until when it is held is decided in `cloverpier_router_policy::{arrival, deadline}`. Owns nothing.

use crate::buffer_reservation::BufferReservation;
use crate::cancel_signal::CancelSignal;
use crate::decision_log::{RequestEnd, RequestRejected, UnreadableHeader};
use crate::relay_request::RelayRequest;
use crate::responses::{ServerResponse, error_response, refusal_response, strip_hop_by_hop};
use crate::router::Router;
use crate::wire_names::PromptSize;
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
use hyper::header::{CONTENT_LENGTH, EXPECT, HOST, HeaderMap, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, StatusCode};
use std::cell::OnceCell;
use std::rc::Rc;
use std::time::Instant;

/// Reads a request, or answers it at once.
pub(crate) async fn receive_request(
    router: &Rc<Router>,
    request: Request<Incoming>,
    now: Instant,
) -> Result<RelayRequest, ServerResponse> {
    let (head, body) = request.into_parts();
    let id = text_of(&head.headers, &router.wire_names.headers.request_id);
    // Without an id, requests are distinguished by the caller's connection alone.
    let id = id.unwrap_or_default().to_owned();
    let path = head.uri.path().to_owned();
    match read_request(router, head, body, &id, now).await {
        Ok(request) => Ok(request),
        Err(rejection) => {
            log_rejection(router, &id, &path, rejection);
            Err(rejection_reply(rejection))
        }
    }
}

fn status_of(rejection: Rejection) -> StatusCode {
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

fn rejection_reply(rejection: Rejection) -> ServerResponse {
    let status = status_of(rejection);
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
            status: status_of(rejection).as_u16(),
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
    let limit = caller_limit(router, &head.headers, id);
    hold_until_serving(router, now, limit).await;
    let is_serving = router.store.is_serving();
    let configuration = router.store.configuration().filter(|_| is_serving);
    let configuration = configuration.ok_or(Rejection::Starting)?;
    let names = &router.wire_names.headers;
    let host = host_of(&head);
    let route = find_route(&configuration, host, head.uri.path())?;
    let key = text_of(&head.headers, &names.key);
    let account = find_account(&configuration, &route, key)?;
    let mut held = BufferReservation::new(&router.buffer_memory, BufferKind::Body);
    let body = read_body(body, configuration.limits().body_bytes, &mut held).await?;
    // The configuration may have changed while the body arrived; a route that is gone from
    // the new one still takes the requests that it admitted.
    let configuration = router.store.configuration().ok_or(Rejection::Starting)?;
    let route = find_route(&configuration, host, head.uri.path()).unwrap_or(route);
    let service = pick_service(&configuration, &route, &mut router.rng.borrow_mut())?;
    Ok(RelayRequest {
        id: id.to_owned(),
        method: head.method.clone(),
        host: host.to_ascii_lowercase(),
        target: target_of(&head),
        body,
        _held: held,
        deadline: now + limit.effective_timeout(route.timeout),
        last_event: last_event(router, &head.headers, id),
        size: prompt_size(router, &head.headers, id),
        prompt: prompt_key(router, &head.headers),
        headers: forwarded_headers(router, head.headers, account.as_deref()),
        priority: priority(&route, account.as_deref()),
        account,
        service,
        route,
        configuration_version: configuration.version(),
        arrived: now,
        stop: CancelSignal::default(),
        content_key: OnceCell::new(),
    })
}

/// Holds a request that arrives before this router can serve it, as long as the rule on that
/// allows.
async fn hold_until_serving(router: &Router, arrived: Instant, limit: CallerTimeout) {
    let store = &router.store;
    let started = router.lifecycle.started();
    while !store.is_serving() {
        let until = hold_deadline(started, store.fails(), arrived, limit);
        let Some(until) = until.filter(|until| router.now() < *until) else {
            return;
        };
        tokio::select! {
            () = store.start_changed() => {}
            () = router.timers.sleep_until(until) => {}
        }
    }
}

/// The host that a request names, without a port; empty where it names none.
fn host_of(head: &Parts) -> &str {
    let host = head.uri.host().or_else(|| {
        // A name that is no text cannot be that of a route, so it counts as none.
        let host = head.headers.get(HOST)?.to_str().ok()?;
        Some(host.split(':').next().unwrap_or(host))
    });
    // No route is for no host.
    host.unwrap_or_default()
}

async fn read_body(
    mut body: Incoming,
    max_bytes: usize,
    held: &mut BufferReservation,
) -> Result<Bytes, Rejection> {
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(Rejection::BodyTooLong);
    }
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        // The cause lies with the caller or its connection; all are one rejection.
        let frame = frame.map_err(|_| Rejection::BodyIncomplete)?;
        // A frame without data holds trailers, which are not passed on.
        let data = frame.into_data().unwrap_or_default();
        if whole.len() + data.len() > max_bytes {
            return Err(Rejection::BodyTooLong);
        }
        if !held.try_grow(data.len()) {
            return Err(Rejection::BufferMemoryFull);
        }
        whole.extend_from_slice(&data);
    }
    Ok(whole.freeze())
}

fn target_of(head: &Parts) -> String {
    let target = head.uri.path_and_query();
    target.map_or_else(|| head.uri.path().to_owned(), ToString::to_string)
}

/// The time that the caller asks for; one that cannot be read is logged and does not count.
fn caller_limit(router: &Router, headers: &HeaderMap, id: &str) -> CallerTimeout {
    let name = &router.wire_names.headers.deadline_ms;
    let limit = CallerTimeout::parse(text_of(headers, name));
    if limit == CallerTimeout::Unreadable {
        log_unreadable(router, id, name);
    }
    limit
}

/// The last event that the caller has; one that cannot be read is logged and does not count,
/// so the stream begins anew.
fn last_event(router: &Router, headers: &HeaderMap, id: &str) -> Option<u64> {
    let name = &router.wire_names.headers.last_event;
    let text = text_of(headers, name)?;
    let event = text.trim().parse().ok();
    if event.is_none() {
        log_unreadable(router, id, name);
    }
    event
}

/// The tokens that the caller declared; where it declared none, or what cannot be read and is
/// logged, the request counts as one without prompt.
fn prompt_size(router: &Router, headers: &HeaderMap, id: &str) -> PromptSize {
    let name = &router.wire_names.headers.prompt_size;
    let Some(text) = text_of(headers, name) else {
        return PromptSize::default();
    };
    (router.wire_names.prompt_size)(text).unwrap_or_else(|| {
        log_unreadable(router, id, name);
        PromptSize::default()
    })
}

/// The prompt, by the part of it that no other prompt shares.
fn prompt_key(router: &Router, headers: &HeaderMap) -> Option<PromptKey> {
    let parts = text_of(headers, &router.wire_names.headers.prompt_parts)?;
    let own = (router.wire_names.unique_part)(parts)?;
    Some(PromptKey(hash_of(own)))
}

fn log_unreadable(router: &Router, id: &str, header: &HeaderName) {
    let line = UnreadableHeader {
        request: id,
        header: header.as_str(),
    };
    router.log.info("request.header_ignored", &line);
}

/// The headers that travel to upstreams: all but those of one connection and those that are
/// not the caller's to set.
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
    // A name that no header can hold is left out: the request runs without it, as a public one.
    if let Some(value) = account.and_then(|a| HeaderValue::from_str(&a.name).ok()) {
        let name = router.wire_names.headers.account.clone();
        headers.insert(name, value);
    }
    headers
}

/// The text of a header; `None` where it is missing or holds bytes that are no text.
pub(crate) fn text_of<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
