//! The listeners: callers, readiness, directory, metrics, peers.
//!
//! Owns accepting connections and the limits on what callers may send; each listener has one
//! handler. Whether a stopping router takes a request is decided in
//! `cloverpier_router_policy::lifecycle`.

use crate::body::ResponseBody;
use crate::buffer_reservation::BufferReservation;
use crate::caller_stream::CallerStream;
use crate::crashes::verdicts;
use crate::intake::receive_request;
use crate::lifecycle::InFlightGuard;
use crate::plain::relay_plain;
use crate::relay_request::RelayRequest;
use crate::responses::{ServerResponse, error_response, refusal_response};
use crate::router::Router;
use crate::stream::relay_stream;
use cloverpier_router_policy::buffer_memory::BufferKind;
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::refusal::Refusal;
use cloverpier_timers::Timers;
use futures_util::Stream;
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
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};

/// Pause before a port that is taken is tried again, and after a failed accept.
const BIND_PAUSE: Duration = Duration::from_millis(50);
/// Tries before a port that is taken ends the start: 3 s, in which a process that ends lets go of
/// it.
const MAX_BIND_TRIES: u32 = 60;
/// Least buffer that the server of connections accepts: hyper's bound.
const MIN_HEADER_BYTES: usize = 8_192;

/// Listens at an address, waiting for a port that is still taken.
pub(crate) async fn bind(timers: &Timers, address: SocketAddr) -> io::Result<TcpListener> {
    let mut tries = 0;
    loop {
        match TcpListener::bind(address).await {
            Err(e) if e.kind() == io::ErrorKind::AddrInUse && tries < MAX_BIND_TRIES => {
                tries += 1;
                timers.sleep(BIND_PAUSE).await;
            }
            bound => return bound,
        }
    }
}

/// Accepts connections until the process ends.
pub(crate) async fn serve<H, F>(router: Rc<Router>, listener: TcpListener, handle: H)
where
    H: Fn(Rc<Router>, Request<Incoming>) -> F + Copy + 'static,
    F: Future<Output = ServerResponse> + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve_connection(Rc::clone(&router), stream, handle));
            }
            // Out of descriptors, or a connection that ended before it was accepted.
            Err(_) => router.timers.sleep(BIND_PAUSE).await,
        }
    }
}

async fn serve_connection<H, F>(router: Rc<Router>, stream: TcpStream, handle: H)
where
    H: Fn(Rc<Router>, Request<Incoming>) -> F + Copy + 'static,
    F: Future<Output = ServerResponse> + 'static,
{
    // Without it events would wait for acknowledgements; its failure only costs time.
    let _ = stream.set_nodelay(true);
    // Until a configuration is known, requests are held or refused; the default limits do, also
    // for what comes over this connection later.
    let limits = router.store.configuration().map(|c| c.limits());
    let limits = limits.unwrap_or_default();
    let mut server = http1::Builder::new();
    server
        .timer(TokioTimer::new())
        // This bound also runs while a connection is idle.
        .header_read_timeout(limits.idle_timeout.max(limits.header_timeout))
        .max_buf_size(limits.header_bytes.max(MIN_HEADER_BYTES));
    let service = service_fn(move |request| {
        let reply = handle(Rc::clone(&router), request);
        async move { Ok::<_, Infallible>(reply.await) }
    });
    // Errors of a caller's connection end that connection and concern nobody else.
    let stream = TokioIo::new(CallerStream(stream));
    let _ = server.serve_connection(stream, service).await;
}

/// Takes a caller's request.
pub(crate) async fn on_caller(router: Rc<Router>, request: Request<Incoming>) -> ServerResponse {
    let in_flight = InFlightGuard::begin(&router.lifecycle);
    let now = router.now();
    let mut reply = match receive_request(&router, request, now).await {
        Ok(request) => relay(&router, Rc::new(request), now).await,
        Err(reply) => reply,
    };
    if router.lifecycle.is_shutting_down() {
        let close = HeaderValue::from_static("close");
        reply.headers_mut().insert(CONNECTION, close);
    }
    let held = BufferReservation::new(&router.buffer_memory, BufferKind::Response);
    hold_until_sent(reply.map(|body| body.counted(held)), in_flight)
}

async fn relay(router: &Rc<Router>, request: Rc<RelayRequest>, now: Instant) -> ServerResponse {
    router.on_request(&request.service.name, now);
    verdicts::track(router, &request);
    if !request.route.streaming {
        return relay_plain(router, &request).await;
    }
    if !router
        .lifecycle
        .accepts_streams(router.settings().grace, now)
    {
        return refusal_response("this router stops", Refusal::Stopping);
    }
    relay_stream(router, &request).await
}

/// Counts a streamed answer as in flight until its last byte is out.
fn hold_until_sent(reply: ServerResponse, in_flight: InFlightGuard) -> ServerResponse {
    reply.map(|body| match body {
        ResponseBody::Pieces(stream) => ResponseBody::Pieces(Box::pin(Held {
            stream,
            _in_flight: in_flight,
        })),
        whole => whole,
    })
}

/// A stream that holds something until it ends.
struct Held<S> {
    stream: S,
    _in_flight: InFlightGuard,
}

impl<S: Stream + Unpin> Stream for Held<S> {
    type Item = S::Item;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<S::Item>> {
        Pin::new(&mut self.stream).poll_next(cx)
    }
}

/// Answers whether this router takes callers.
pub(crate) async fn on_ready(router: Rc<Router>, request: Request<Incoming>) -> ServerResponse {
    if request.uri().path() != router.wire_names.paths.ready {
        return error_response(StatusCode::NOT_FOUND, "no such path");
    }
    match router.state() {
        PeerState::Ready => Response::new(ResponseBody::whole("ready\n")),
        PeerState::Starting => error_response(StatusCode::SERVICE_UNAVAILABLE, "starting"),
        PeerState::Leaving => error_response(StatusCode::SERVICE_UNAVAILABLE, "stopping"),
    }
}

/// Answers which routers take callers.
pub(crate) async fn on_directory(router: Rc<Router>, request: Request<Incoming>) -> ServerResponse {
    let is_known_path = request.uri().path() == router.wire_names.paths.directory;
    if request.method() != Method::GET || !is_known_path {
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
    let answer = (router.wire_names.directory_response)(&addresses, settings.directory_keep);
    let mut reply = Response::new(ResponseBody::whole(answer));
    let json = HeaderValue::from_static("application/json");
    reply.headers_mut().insert(CONTENT_TYPE, json);
    reply
}

/// Serves metrics as text.
pub(crate) async fn on_metrics(router: Rc<Router>, _request: Request<Incoming>) -> ServerResponse {
    let in_flight = i64::try_from(router.lifecycle.in_flight()).unwrap_or(i64::MAX);
    router.metrics.in_flight.set(in_flight);
    Response::new(ResponseBody::whole(router.metrics.text()))
}
