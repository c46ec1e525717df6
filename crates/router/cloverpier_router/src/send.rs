//! Sends one attempt to one upstream and receives the head of the response.
//!
//! Takes a connection from the pool or opens one, writes the request with the headers of this attempt, and waits
//! for a valid response head. An upstream that has begun to leave meanwhile gets nothing. `cloverpier_router_policy::attempt_failure` decides which responses are valid and
//! what a failure proves; this module extracts the inputs from the messages. Owns no state.

use crate::attempt_message::{AttemptHeaders, build_request};
use crate::brittle;
use crate::call_kind::CallKind;
use crate::connection::{Connection, SendError, Via, describe_error, find_io_error_kind};
use crate::crashes::record;
use crate::decision_log::SentThroughPeer;
use crate::health::{self, UpstreamHealth};
use crate::pool::announced_idle_timeout;
use crate::probe::{self, FailureEvidence};
use crate::reachability::connect as reachability;
use crate::relay_request::RelayRequest;
use crate::request_headers::header_text;
use crate::router::Router;
use crate::statements::Call;
use crate::successors;
use crate::wait::{AttemptWatches, AwaitedUpstream, wait_while_alive};
use cloverpier_core::{ServiceName, is_transfer_coding_left};
use cloverpier_router_policy::attempt_failure::{
    RequestIdMatch, ResponseHead, check_response, may_mean_process_gone,
};
use cloverpier_router_policy::connection_reuse::{CONNECT_TIMEOUT, idle_connection_limit};
use cloverpier_router_policy::deadline::has_time_to_send;
use cloverpier_router_policy::prelude::*;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::{CONTENT_ENCODING, HeaderMap, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use std::io;
use std::rc::Rc;
use std::time::Instant;

/// A response whose head has arrived and is valid, and whose body follows.
#[derive(Debug)]
pub(crate) struct OpenResponse {
    /// The status and the headers.
    pub head: Parts,
    /// The body, which is received while it is read.
    pub body: Incoming,
    /// The connection that carries the response; dropping it cancels the response.
    pub connection: Connection,
    /// The health record of the upstream that responded.
    pub health: Rc<UpstreamHealth>,
}

/// Sends a request to an upstream and waits for the head of the response, until the request's deadline.
///
/// # Errors
///
/// [`AttemptFailure`] if no valid response of this upstream to this request arrives.
pub(crate) async fn send(
    router: &Rc<Router>,
    request: &RelayRequest,
    upstream: &Upstream,
    attempt_headers: &AttemptHeaders,
    liveness: &mut Liveness,
    watches: AttemptWatches<'_>,
) -> Result<OpenResponse, AttemptFailure> {
    loop {
        let mut connection = connect(router, request, upstream).await?;
        let is_reused = connection.requests > 0;
        let now = router.now();
        let health = router.health.of(upstream, connection.via, now);
        if !has_time_to_send(request.time_left(now)) {
            return Err(AttemptFailure::DeadlinePassedUnsent);
        }
        if !router.may_get_requests(&upstream.name) {
            return_to_pool(router, upstream, connection);
            return Err(AttemptFailure::UpstreamLeaves);
        }
        let message = build_request(router, request, upstream, attempt_headers, now)?;
        log_tunnel(router, request, upstream, &connection);
        let awaited = AwaitedUpstream {
            router,
            upstream,
            health: &health,
            deadline: request.deadline,
            stop: Some(&request.cancel),
            watches,
        };
        health.on_activity(now);
        match wait_while_alive(&awaited, liveness, connection.send(message)).await? {
            // The upstream closed the idle connection before any byte was written, so the request is sent again.
            Err(failure) if failure.was_unsent && is_reused => {}
            Err(failure) => return Err(on_send_failure(router, upstream, &health, &failure)),
            Ok(response) => {
                let sent = SentRequest {
                    upstream,
                    request,
                    sent_at: now,
                    health,
                };
                return accept_response(router, sent, response, connection);
            }
        }
    }
}

/// Converts a failed send into the failure of the attempt. Probes the upstream if its process may be gone.
fn on_send_failure(
    router: &Rc<Router>,
    upstream: &Upstream,
    health: &Rc<UpstreamHealth>,
    failure: &SendError,
) -> AttemptFailure {
    let error = describe_error(&failure.error);
    let now = router.now();
    let may_be_gone = find_io_error_kind(&failure.error).is_some_and(may_mean_process_gone);
    if may_be_gone || !failure.was_unsent {
        probe::probe(router, upstream, health, now);
    }
    AttemptFailure::BrokenBeforeResponse {
        was_unsent: failure.was_unsent,
        error,
    }
}

/// Logs that a request is sent through a peer, by which the logs of both routers are connected.
fn log_tunnel(
    router: &Router,
    request: &RelayRequest,
    upstream: &Upstream,
    connection: &Connection,
) {
    let (Via::Peer(peer), Some(tunnel)) = (connection.via, connection.tunnel_id()) else {
        return;
    };
    let line = SentThroughPeer {
        request: &request.id,
        upstream: upstream.name.as_str(),
        peer: peer.to_string(),
        tunnel: format!("{tunnel:016x}"),
    };
    router.log.info("send.through-peer", &line);
}

/// Takes a connection to the upstream from the pool, or opens a new one. If that fails, declares the upstream dead.
async fn connect(
    router: &Rc<Router>,
    request: &RelayRequest,
    upstream: &Upstream,
) -> Result<Connection, AttemptFailure> {
    if let Some(connection) = reachability::take_idle(router, upstream) {
        return Ok(connection);
    }
    let timeout = CONNECT_TIMEOUT.min(request.time_left(router.now()));
    let opened = reachability::connect(router, upstream, timeout).await;
    opened.map_err(|error| {
        let cause = match error.kind() {
            io::ErrorKind::ConnectionRefused => FailureEvidence::NoProcess,
            _ => FailureEvidence::Unreachable,
        };
        let failure = AttemptFailure::NotConnected {
            error: error.to_string(),
        };
        probe::declare_dead(router, upstream, cause, &failure.to_string(), router.now());
        failure
    })
}

/// A request of which the head of the response has arrived.
struct SentRequest<'a> {
    upstream: &'a Upstream,
    request: &'a RelayRequest,
    sent_at: Instant,
    /// The health record of the path that the request took.
    health: Rc<UpstreamHealth>,
}

/// Checks the head of a response, and applies what the upstream states in it about itself.
///
/// # Errors
///
/// [`AttemptFailure`] if the response is not the upstream's valid response to this request.
fn accept_response(
    router: &Router,
    sent: SentRequest<'_>,
    response: Response<Incoming>,
    mut connection: Connection,
) -> Result<OpenResponse, AttemptFailure> {
    let (head, body) = response.into_parts();
    check_head(router, &sent, &head, &connection)?;
    let (name, now) = (&sent.upstream.name, router.now());
    health::on_own_response(router, name, &sent.health, now);
    record::on_request_response(router, sent.upstream, sent.sent_at);
    if let Some(limit) = announced_idle_timeout(&head.headers) {
        connection.idle_timeout = limit;
    }
    Ok(OpenResponse {
        head,
        body,
        connection,
        health: sent.health,
    })
}

/// Checks the head of a response, applies what the upstream states in it, and handles another process at the
/// upstream's address and a refusal for lack of room.
fn check_head(
    router: &Router,
    sent: &SentRequest<'_>,
    head: &Parts,
    connection: &Connection,
) -> Result<(), AttemptFailure> {
    let (upstream, request) = (sent.upstream, sent.request);
    let call = Call {
        upstream,
        via: CallKind::Request(&request.id),
        sent: sent.sent_at,
        connection,
    };
    let is_first_on_connection = connection.requests == 1;
    let properties = response_head(router, request, head, is_first_on_connection);
    let validity = check_response(&properties);
    let statement = router.apply_response_statement(call, head, &validity);
    if validity == Err(AttemptFailure::Misdirected) {
        on_misdirected(router, upstream, &statement);
    }
    if validity
        .as_ref()
        .is_err_and(AttemptFailure::is_for_lack_of_room)
    {
        brittle::on_refusal(router, upstream);
    }
    validity
}

/// Extracts the properties of a response's head that decide whether the response is valid.
fn response_head(
    router: &Router,
    request: &RelayRequest,
    head: &Parts,
    is_first_on_connection: bool,
) -> ResponseHead {
    let names = &router.wire_names.headers;
    let id = match header_text(&head.headers, &names.request_id) {
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
        is_transfer_coded: is_transfer_coded(&head.headers),
        is_encoded: head.headers.contains_key(CONTENT_ENCODING),
    }
}

/// Whether the HTTP library leaves a transfer coding of the body in place.
fn is_transfer_coded(headers: &HeaderMap) -> bool {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    codings.any(|coding| is_transfer_coding_left(coding.as_bytes()))
}

/// Handles a response of another process at the upstream's address. If that process states another name than the
/// upstream's, the upstream is gone, and all idle connections to it are closed.
fn on_misdirected(router: &Router, upstream: &Upstream, statement: &UpstreamStatement) {
    let responding = statement.name.as_ref();
    if responding.is_some_and(|name| *name != upstream.name) {
        successors::on_name_mismatch(router, upstream, responding);
        router.pool.borrow_mut().close_all(&upstream.name);
    }
}

/// Returns a connection to the pool once the exchange on it has ended. Callers have read the body of the response
/// to its end before.
pub(crate) fn return_to_pool(router: &Rc<Router>, upstream: &Upstream, mut connection: Connection) {
    let limit = pool_limit(router, &upstream.service);
    let (router, upstream) = (Rc::clone(router), upstream.name.clone());
    tokio::task::spawn_local(async move {
        if connection.wait_until_ready().await {
            let now = router.now();
            let mut pool = router.pool.borrow_mut();
            pool.insert(&upstream, connection, limit, now);
        }
    });
}

/// Maximum number of idle connections that this router keeps to one upstream of a service; 0 if the configuration
/// does not contain the service any more.
fn pool_limit(router: &Router, service: &ServiceName) -> usize {
    let configuration = router.store.configuration();
    let service = configuration.and_then(|c| c.service(service).cloned());
    let routers = router.peers.count() + 1;
    service.map_or(0, |service| {
        idle_connection_limit(service.max_connections, routers)
    })
}
