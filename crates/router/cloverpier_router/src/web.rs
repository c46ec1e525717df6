//! The listeners: callers, readiness, directory, metrics, peers.

use crate::body::ReplyBody;
use crate::directory::directory_answer;
use crate::guards::InFlight;
use crate::intake::take_request;
use crate::plain::relay_plain;
use crate::reply::{Reply, own_reply, refusal};
use crate::router::Router;
use crate::stream::relay_stream;
use cloverpier_router_policy::prelude::*;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};

/// A port that is taken is tried again after this pause.
const BIND_PAUSE: Duration = Duration::from_millis(50);
/// Tries before a port that is taken ends the start.
const BIND_TRIES: u32 = 60;
/// Least buffer that the upstream of connections accepts.
const MIN_HEADER_BYTES: usize = 8_192;
/// A stopping router takes streams for so long; callers still hold its address.
const STREAMS_WHILE_STOPPING: Duration = Duration::from_millis(2_500);
/// When to come back to another router than a stopping one.
const STOP_PAUSE: Duration = Duration::from_millis(10);
/// A directory that knows no router yet is worth asking again soon.
const DIRECTORY_PAUSE: Duration = Duration::from_millis(200);

/// Listens at an address, waiting for a port that is still taken.
pub(crate) async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let mut tries = 0;
    loop {
        match TcpListener::bind(address).await {
            Err(e) if e.kind() == io::ErrorKind::AddrInUse && tries < BIND_TRIES => {
                tries += 1;
                tokio::time::sleep(BIND_PAUSE).await;
            }
            bound => return bound,
        }
    }
}

/// Accepts connections for as long as the process runs.
pub(crate) async fn serve<H, F>(router: Rc<Router>, listener: TcpListener, handle: H)
where
    H: Fn(Rc<Router>, Request<Incoming>) -> F + Copy + 'static,
    F: Future<Output = Reply> + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve_connection(Rc::clone(&router), stream, handle));
            }
            // Out of descriptors, or a connection that ended before it was taken.
            Err(_) => tokio::time::sleep(BIND_PAUSE).await,
        }
    }
}

async fn serve_connection<H, F>(router: Rc<Router>, stream: TcpStream, handle: H)
where
    H: Fn(Rc<Router>, Request<Incoming>) -> F + Copy + 'static,
    F: Future<Output = Reply> + 'static,
{
    // Without it events would wait for acknowledgements; its failure only costs time.
    let _ = stream.set_nodelay(true);
    let limits = router
        .configuration()
        .map(|c| c.limits())
        .unwrap_or_default();
    let mut upstream = http1::Builder::new();
    upstream
        .timer(TokioTimer::new())
        // This bound runs while a connection rests, too.
        .header_read_timeout(limits.idle_timeout.max(limits.header_timeout))
        .max_buf_size(limits.header_bytes.max(MIN_HEADER_BYTES));
    let service = service_fn(move |request| {
        let reply = handle(Rc::clone(&router), request);
        async move { Ok::<_, Infallible>(reply.await) }
    });
    // Errors of a caller's connection end that connection and concern nobody else.
    let _ = upstream
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

/// Takes a caller's request.
pub(crate) async fn on_caller(router: Rc<Router>, request: Request<Incoming>) -> Reply {
    let in_flight = InFlight::begin(&router);
    let now = Instant::now();
    let mut reply = match take_request(&router, request, now).await {
        Ok(request) => relay(&router, Rc::new(request), now).await,
        Err(reply) => reply,
    };
    if router.stopping.get().is_some() {
        let close = HeaderValue::from_static("close");
        reply.headers_mut().insert(CONNECTION, close);
    }
    hold_until_sent(reply, in_flight)
}

async fn relay(
    router: &Rc<Router>,
    request: Rc<crate::intake::RelayRequest>,
    now: Instant,
) -> Reply {
    router.on_request(&request.service.name, now);
    if request.route.streaming && is_late_in_stop(router, now) {
        return refusal("this router stops", STOP_PAUSE);
    }
    if request.route.streaming {
        relay_stream(router, &request).await
    } else {
        relay_plain(router, &request).await
    }
}

/// Whether a stream that begins now could not end before the process does.
fn is_late_in_stop(router: &Router, now: Instant) -> bool {
    let begun = router.stopping.get();
    begun.is_some_and(|at| now.saturating_duration_since(at) > STREAMS_WHILE_STOPPING)
}

/// Counts a streamed answer as in flight until its last byte is out.
fn hold_until_sent(reply: Reply, in_flight: InFlight) -> Reply {
    reply.map(|body| match body {
        ReplyBody::Pieces(stream) => ReplyBody::Pieces(Box::pin(Held {
            stream,
            _in_flight: in_flight,
        })),
        whole => whole,
    })
}

struct Held<S> {
    stream: S,
    _in_flight: InFlight,
}

impl<S: futures_util::Stream + Unpin> futures_util::Stream for Held<S> {
    type Item = S::Item;

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<S::Item>> {
        std::pin::Pin::new(&mut self.stream).poll_next(cx)
    }
}

/// Answers whether this router takes callers.
pub(crate) async fn on_ready(router: Rc<Router>, request: Request<Incoming>) -> Reply {
    if request.uri().path() != router.wire_names.paths.ready {
        return own_reply(StatusCode::NOT_FOUND, "no such path");
    }
    match router.state() {
        PeerState::Ready => Response::new(ReplyBody::whole("ready\n")),
        PeerState::Starting => own_reply(StatusCode::SERVICE_UNAVAILABLE, "starting"),
        PeerState::Leaving => own_reply(StatusCode::SERVICE_UNAVAILABLE, "stopping"),
    }
}

/// Answers which routers take callers.
pub(crate) async fn on_directory(router: Rc<Router>, request: Request<Incoming>) -> Reply {
    if request.method() != Method::GET || request.uri().path() != router.wire_names.paths.directory
    {
        return own_reply(StatusCode::NOT_FOUND, "no such path");
    }
    match directory_answer(&router, Instant::now()) {
        Some(answer) => {
            let mut reply = Response::new(ReplyBody::whole(answer));
            let json = HeaderValue::from_static("application/json");
            reply
                .headers_mut()
                .insert(hyper::header::CONTENT_TYPE, json);
            reply
        }
        None => refusal("no router is known to serve", DIRECTORY_PAUSE),
    }
}

/// Serves metrics as text.
pub(crate) async fn on_metrics(router: Rc<Router>, _request: Request<Incoming>) -> Reply {
    let in_flight = i64::try_from(router.in_flight.get()).unwrap_or(i64::MAX);
    router.metrics.in_flight.set(in_flight);
    Response::new(ReplyBody::whole(router.metrics.text()))
}
