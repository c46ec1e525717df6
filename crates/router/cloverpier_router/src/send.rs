//! One attempt at one upstream, up to the head of its answer.
//!
//! Takes a connection, writes the request with the headers that belong to this attempt, and
//! waits for a head that counts. What a break or an answer proves is decided in
//! `cloverpier_router_policy::attempt_failure`; this module reads it off the wire.

use crate::call_kind::CallKind;
use crate::connection::{
    BufferedRequest, Connection, SendError, describe_error, find_io_error_kind,
};
use crate::crashes::record;
use crate::health::UpstreamHealth;
use crate::intake::text_of;
use crate::pool::announced_idle_timeout;
use crate::probe::{self, DeathCause};
use crate::relay_request::RelayRequest;
use crate::router::Router;
use crate::statements::Call;
use crate::successors;
use crate::wait::{Awaited, while_alive};
use cloverpier_core::ServiceName;
use cloverpier_router_policy::attempt_failure::{
    RequestIdMatch, ResponseHead, check_response, may_mean_process_gone,
};
use cloverpier_router_policy::connection_reuse::{
    CONNECT_TIMEOUT, DEFAULT_IDLE_TIMEOUT, idle_connection_limit,
};
use cloverpier_router_policy::deadline::has_time_to_send;
use cloverpier_router_policy::prelude::*;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONTENT_ENCODING, HeaderMap, HeaderName, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Request, Response};
use std::io;
use std::rc::Rc;
use std::time::Instant;

/// What an attempt carries besides the request.
#[derive(Clone, Debug, Default)]
pub(crate) struct AttemptHeaders {
    /// The engine that keeps a replica of the run's KV cache.
    pub replica: Option<Upstream>,
    /// The replica that the run resumes from, as the platform names it.
    pub resume_from: Option<String>,
    /// The last event that need not be sent.
    pub last_event: Option<u64>,
    /// The rank at the upstream, 0 the highest.
    pub priority: u8,
}

/// An upstream's answer of which the head has arrived.
#[derive(Debug)]
pub(crate) struct OpenResponse {
    /// The head.
    pub head: Parts,
    /// The body to come.
    pub body: Incoming,
    /// The connection that it comes over.
    pub connection: Connection,
    /// The upstream's health.
    pub health: Rc<UpstreamHealth>,
}

/// Sends a request to an upstream and waits for the head of the answer.
///
/// # Errors
///
/// [`AttemptFailure`] for everything that is not the upstream's own answer to this request.
pub(crate) async fn send(
    router: &Rc<Router>,
    request: &RelayRequest,
    upstream: &Upstream,
    extras: &AttemptHeaders,
    liveness: &mut Liveness,
) -> Result<OpenResponse, AttemptFailure> {
    let health = router.health.of(upstream, router.now());
    loop {
        let mut connection = connect(router, request, upstream).await?;
        let is_kept = connection.requests > 0;
        let now = router.now();
        if !has_time_to_send(request.time_left(now)) {
            return Err(AttemptFailure::DeadlinePassedUnsent);
        }
        let message = message(router, request, upstream, extras, now)?;
        let awaited = Awaited {
            router,
            upstream,
            health: &health,
            deadline: request.deadline,
            stop: Some(&request.stop),
        };
        health.on_activity(now);
        match while_alive(&awaited, liveness, connection.send(message)).await? {
            // A kept connection that the upstream had closed meanwhile costs nothing.
            Err(broke) if broke.was_unsent && is_kept => {}
            Err(broke) => return Err(broken_send(router, upstream, &health, &broke)),
            Ok(response) => {
                let call = Call {
                    upstream,
                    via: CallKind::Request(&request.id),
                    sent: now,
                };
                return open(router, request, call, response, connection, health);
            }
        }
    }
}

fn broken_send(
    router: &Rc<Router>,
    upstream: &Upstream,
    health: &Rc<UpstreamHealth>,
    broke: &SendError,
) -> AttemptFailure {
    let error = describe_error(&broke.error);
    let now = router.now();
    let may_be_gone = find_io_error_kind(&broke.error).is_some_and(may_mean_process_gone);
    if may_be_gone || !broke.was_unsent {
        probe::probe(router, upstream, health, now);
    }
    AttemptFailure::BrokenBeforeResponse {
        was_unsent: broke.was_unsent,
        error,
    }
}

/// Takes a kept connection, or opens one.
async fn connect(
    router: &Rc<Router>,
    request: &RelayRequest,
    upstream: &Upstream,
) -> Result<Connection, AttemptFailure> {
    let now = router.now();
    let kept = router.pool.borrow_mut().take(&upstream.name, now);
    if let Some(connection) = kept {
        return Ok(connection);
    }
    router.metrics.connections.inc();
    let timeout = CONNECT_TIMEOUT.min(request.time_left(now));
    let opened = Connection::open(
        upstream.address,
        timeout,
        DEFAULT_IDLE_TIMEOUT,
        &router.timers,
    )
    .await;
    opened.map_err(|error| {
        let cause = match error.kind() {
            io::ErrorKind::ConnectionRefused => DeathCause::NoProcess,
            _ => DeathCause::Unreachable,
        };
        let failure = AttemptFailure::NotConnected {
            error: error.to_string(),
        };
        probe::declare_dead(router, upstream, cause, &failure.to_string(), router.now());
        failure
    })
}

/// The request as this upstream gets it.
fn message(
    router: &Router,
    request: &RelayRequest,
    upstream: &Upstream,
    extras: &AttemptHeaders,
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
    set_attempt_headers(router, request, upstream, extras, now, headers)?;
    Ok(message)
}

/// Sets the headers that belong to one attempt.
fn set_attempt_headers(
    router: &Router,
    request: &RelayRequest,
    upstream: &Upstream,
    extras: &AttemptHeaders,
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
    let left = request.time_left(now).as_millis().to_string();
    set(&names.deadline_ms, &left)?;
    set(&names.expected_upstream, upstream.name.as_str())?;
    if request.service.engine.is_some() {
        set(&names.priority, &extras.priority.to_string())?;
    }
    if let Some(replica) = &extras.replica {
        set(&names.replica_at, &replica.address.to_string())?;
    }
    if let Some(replica_id) = &extras.resume_from {
        set(&names.resume_from, replica_id)?;
    }
    if let Some(last) = extras.last_event {
        set(&names.last_event, &last.to_string())?;
    }
    Ok(())
}

/// Takes an answer that counts.
fn open(
    router: &Router,
    request: &RelayRequest,
    call: Call<'_>,
    response: Response<Incoming>,
    mut connection: Connection,
    health: Rc<UpstreamHealth>,
) -> Result<OpenResponse, AttemptFailure> {
    let (head, body) = response.into_parts();
    let is_first_on_connection = connection.requests == 1;
    let seen = answer_head(router, request, &head, is_first_on_connection);
    let verdict = check_response(&seen);
    let said = router.hear_reply(call, &head, &verdict);
    if verdict == Err(AttemptFailure::Misdirected) {
        on_misdirected(router, call.upstream, &said);
    }
    verdict?;
    // Only the upstream that the request names runs it, so this is the upstream's own answer.
    health.on_own_answer(router.now());
    record::on_answer(router, call.upstream, call.sent);
    if let Some(limit) = announced_idle_timeout(&head.headers) {
        connection.idle_timeout = limit;
    }
    Ok(OpenResponse {
        head,
        body,
        connection,
        health,
    })
}

/// Reads off an answer's head what decides whether it counts.
fn answer_head(
    router: &Router,
    request: &RelayRequest,
    head: &Parts,
    is_first_on_connection: bool,
) -> ResponseHead {
    let names = &router.wire_names.headers;
    let id = match text_of(&head.headers, &names.request_id) {
        None => RequestIdMatch::Missing,
        Some(id) if id == request.id => RequestIdMatch::Same,
        Some(_) => RequestIdMatch::Other,
    };
    ResponseHead {
        status: head.status.as_u16(),
        id,
        is_first_on_connection,
        is_marked_not_run: head.headers.contains_key(&names.not_run),
        is_signed: head.headers.contains_key(&names.signature),
        is_encoded: head.headers.contains_key(CONTENT_ENCODING),
    }
}

/// Another process answers at the upstream's address; where it names itself, the upstream is
/// gone.
fn on_misdirected(router: &Router, upstream: &Upstream, said: &UpstreamStatement) {
    let answering = said.name.as_ref();
    if answering.is_some_and(|name| *name != upstream.name) {
        successors::on_other_name(router, upstream, answering);
        router.pool.borrow_mut().close_all(&upstream.name);
    }
}

/// Keeps a connection whose answer was read to its end.
pub(crate) fn keep(router: &Rc<Router>, upstream: &Upstream, mut connection: Connection) {
    let limit = kept_connections(router, &upstream.service);
    let (router, upstream) = (Rc::clone(router), upstream.name.clone());
    tokio::task::spawn_local(async move {
        if connection.wait_until_ready().await {
            let now = router.now();
            let mut pool = router.pool.borrow_mut();
            pool.put(&upstream, connection, limit, now);
        }
    });
}

/// How many connections this router keeps to an upstream of a service; none to one of a service that is not
/// configured any more.
fn kept_connections(router: &Router, service: &ServiceName) -> usize {
    let configuration = router.store.configuration();
    let service = configuration.and_then(|c| c.service(service).cloned());
    let routers = router.peers.count() + 1;
    service.map_or(0, |service| {
        idle_connection_limit(service.max_connections, routers)
    })
}
