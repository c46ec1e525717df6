//! The router's HTTP listeners, and the handlers for callers, readiness, directory and metrics.
//!
//! Accepts connections and limits the request heads and the idle time of connections; each listener has one
//! handler. The handler for peers is in [`crate::peer_serve`]. `cloverpier_router_policy::lifecycle` decides
//! whether a router that shuts down accepts a request. Owns no state.

use crate::body::{ResponseBody, Unsent};
use crate::buffer_reservation::BufferReservation;
use crate::caller_stream::CallerStream;
use crate::crashes::block_changes;
use crate::intake::receive_request;
use crate::lifecycle::InFlightGuard;
use crate::plain::relay_plain;
use crate::relay_request::RelayRequest;
use crate::responses::{ServerResponse, error_response, refusal_response};
use crate::router::Router;
use crate::stream::relay_stream;
use cloverpier_net::{TcpListener, TcpStream};
use cloverpier_router_policy::buffer_memory::BufferKind;
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::refusal::Refusal;
use cloverpier_timers::Timers;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Pause before a retry to listen at an address that is in use, and after a failed accept.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Number of retries to listen at an address that is in use, before the router fails to start. They take 3 s, in
/// which the previous process at the address can exit and release it.
const MAX_BIND_RETRIES: u32 = 60;
/// Minimum size in bytes of hyper's read buffer; hyper panics below it.
const MIN_READ_BUFFER: usize = 8_192;

/// Listens at an address. If another process still uses the address, retries for about 3 s.
pub(crate) async fn bind(timers: &Timers, address: SocketAddr) -> io::Result<TcpListener> {
    let mut retries = 0;
    loop {
        match TcpListener::bind(address).await {
            Err(e) if e.kind() == io::ErrorKind::AddrInUse && retries < MAX_BIND_RETRIES => {
                retries += 1;
                timers.sleep(RETRY_PAUSE).await;
            }
            bound => return bound,
        }
    }
}

/// The remote address of the connection on which a request arrived; an extension of each request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RemoteAddress(pub SocketAddr);

/// Accepts connections until the process exits, and serves the requests on each of them with `handle`.
pub(crate) async fn serve<H, F>(router: Rc<Router>, listener: TcpListener, handle: H)
where
    H: Fn(Rc<Router>, Request<Incoming>) -> F + Copy + 'static,
    F: Future<Output = ServerResponse> + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, remote)) => {
                let remote = RemoteAddress(remote);
                let router = Rc::clone(&router);
                tokio::task::spawn_local(serve_connection(router, stream, remote, handle));
            }
            // The process has no file descriptors left, or the connection was closed before it was accepted.
            Err(_) => router.timers.sleep(RETRY_PAUSE).await,
        }
    }
}

async fn serve_connection<H, F>(
    router: Rc<Router>,
    stream: TcpStream,
    remote: RemoteAddress,
    handle: H,
) where
    H: Fn(Rc<Router>, Request<Incoming>) -> F + Copy + 'static,
    F: Future<Output = ServerResponse> + 'static,
{
    // With Nagle's algorithm, small events of a stream would wait for the acknowledgement of earlier ones. A
    // failure only delays events.
    let _ = stream.set_nodelay(true);
    // Before the first configuration arrives, requests are held or refused, so the default limits suffice. They
    // also apply to later requests on the same connection.
    let limits = router.store.configuration().map(|c| c.limits());
    let limits = limits.unwrap_or_default();
    let mut server = http1::Builder::new();
    server
        .timer(TokioTimer::new())
        // hyper's timer for a request's head also runs while the connection is idle.
        .header_read_timeout(limits.idle_timeout.max(limits.header_timeout))
        .max_buf_size(limits.header_bytes.max(MIN_READ_BUFFER));
    let unsent = Unsent::default();
    let responses = Arc::clone(&unsent);
    let service = service_fn(move |mut request: Request<Incoming>| {
        request.extensions_mut().insert(remote);
        let response = handle(Rc::clone(&router), request);
        let unsent = Arc::clone(&responses);
        async move {
            let mut response = response.await;
            response.body_mut().set_unsent(&unsent);
            Ok::<_, Infallible>(response)
        }
    });
    // An error closes this connection only, so it is ignored.
    let stream = TokioIo::new(CallerStream::new(stream, unsent));
    let _ = server
        .serve_connection(stream, service)
        .with_upgrades()
        .await;
}

/// Handles a caller's request: reads it, relays it to an upstream and returns the response.
pub(crate) async fn handle_caller(
    router: Rc<Router>,
    request: Request<Incoming>,
) -> ServerResponse {
    let in_flight = InFlightGuard::begin(&router.lifecycle);
    let now = router.now();
    let mut response = match receive_request(&router, request, now).await {
        Ok(request) => relay(&router, Rc::new(request)).await,
        Err(response) => response,
    };
    if router.lifecycle.is_shutting_down() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    let reservation = BufferReservation::new(&router.buffer_memory, BufferKind::Response);
    response.map(|body| body.with_reservation(reservation).counted(in_flight))
}

/// Relays an admitted request, or refuses one that may not end before this router exits.
async fn relay(router: &Rc<Router>, request: Rc<RelayRequest>) -> ServerResponse {
    router.on_request(&request.service.name, request.arrived);
    block_changes::track_request(router, &request);
    // The body may have arrived long after the head, so the current time counts.
    if !may_end_before_exit(router, &request, router.now()) {
        return refusal_response("this router stops", Refusal::Stopping);
    }
    if request.route.streaming {
        relay_stream(router, &request).await
    } else {
        relay_plain(router, &request).await
    }
}

/// Whether the request can be expected to end before this router exits; true unless it shuts down.
fn may_end_before_exit(router: &Router, request: &RelayRequest, now: Instant) -> bool {
    let grace = router.settings().grace;
    if request.route.streaming {
        router.lifecycle.accepts_streams(grace, now)
    } else {
        let time_left = request.time_left(now);
        router.lifecycle.accepts_plain(time_left, grace, now)
    }
}

/// Handles a readiness check: 200 if this router accepts callers' requests, else 503.
pub(crate) async fn handle_readiness(
    router: Rc<Router>,
    request: Request<Incoming>,
) -> ServerResponse {
    if request.uri().path() != router.wire_names.paths.ready {
        return error_response(StatusCode::NOT_FOUND, "no such path");
    }
    match router.state() {
        PeerState::Ready => Response::new(ResponseBody::buffered("ready\n")),
        PeerState::Starting => error_response(StatusCode::SERVICE_UNAVAILABLE, "starting"),
        PeerState::Leaving => error_response(StatusCode::SERVICE_UNAVAILABLE, "stopping"),
    }
}

/// Handles a directory request: responds with the addresses of the routers that accept callers' requests.
pub(crate) async fn handle_directory(
    router: Rc<Router>,
    request: Request<Incoming>,
) -> ServerResponse {
    let is_directory_path = request.uri().path() == router.wire_names.paths.directory;
    if request.method() != Method::GET || !is_directory_path {
        return error_response(StatusCode::NOT_FOUND, "no such path");
    }
    let settings = router.settings();
    let own = (router.state() == PeerState::Ready).then_some(settings.listen.callers);
    let now = router.now();
    let addresses = router
        .peers
        .addresses_for_callers(own, now, router.peer_timeout());
    if addresses.is_empty() {
        return refusal_response("no router is known to serve", Refusal::NoReadyRouter);
    }
    let body = (router.wire_names.directory_response)(&addresses, settings.directory_keep);
    let mut response = Response::new(ResponseBody::buffered(body));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

/// Handles a metrics request: responds with all metrics in the text exposition format, for any path.
pub(crate) async fn handle_metrics(
    router: Rc<Router>,
    _request: Request<Incoming>,
) -> ServerResponse {
    let in_flight = i64::try_from(router.lifecycle.in_flight()).unwrap_or(i64::MAX);
    router.metrics.in_flight.set(in_flight);
    Response::new(ResponseBody::buffered(router.metrics.text()))
}
