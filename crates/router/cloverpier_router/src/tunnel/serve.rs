//! Serves tunnels for peers: opens a connection to the upstream and passes the bytes of both directions on.
//!
//! Only routers that this router knows as peers get a tunnel, and only to upstreams of its own list that it reaches
//! itself and that don't leave. Nor does an open tunnel carry a new request to one that leaves: the router at its origin may
//! not know of it, or this process stood still with the bytes. Counts each tunnel as in flight, so that a shutdown lets the requests in it end; peers close their idle
//! tunnels once this router's heartbeat reports the shutdown. The state is in [`super::Tunnels`].

use super::framing::send_frames;
use super::{FAILURE_HEADER, ID_HEADER, PROTOCOL, ServeFailure, UPSTREAM_HEADER};
use crate::body::ResponseBody;
use crate::connection::open_stream;
use crate::decision_log::{TunnelClosed, TunnelServed, ms_since};
use crate::lifecycle::InFlightGuard;
use crate::reachability;
use crate::responses::{ServerResponse, error_response};
use crate::router::Router;
use crate::web::RemoteAddress;
use bytes::BytesMut;
use cloverpier_core::UpstreamName;
use cloverpier_net::TcpStream;
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::reachability::UpstreamPath;
use cloverpier_router_policy::tunnel_peers::{MAX_SERVED, UPSTREAM_TIMEOUT};
use futures_util::future::poll_immediate;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue, UPGRADE};
use hyper::upgrade::{OnUpgrade, Upgraded};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::io;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Maximum number of bytes that are read from the origin of a tunnel before they are passed on.
const FORWARD_BUFFER: usize = 64 * 1024;

/// How long a request in a tunnel waits after a pause of this process until the list is read.
const PAUSE_READ_WAIT: Duration = Duration::from_millis(300);

/// Counts one served tunnel until it is dropped.
struct ServedGuard {
    served: Rc<Cell<usize>>,
    _in_flight: InFlightGuard,
}

impl ServedGuard {
    fn begin(router: &Router) -> Self {
        let served = Rc::clone(&router.tunnels.served);
        served.set(served.get() + 1);
        Self {
            served,
            _in_flight: InFlightGuard::begin(&router.lifecycle),
        }
    }
}

impl Drop for ServedGuard {
    fn drop(&mut self) {
        self.served.set(self.served.get() - 1);
    }
}

/// Serves a peer's request for a tunnel.
pub(crate) async fn serve_tunnel(
    router: Rc<Router>,
    mut request: Request<Incoming>,
) -> ServerResponse {
    let upgrade = hyper::upgrade::on(&mut request);
    // Without the name of an upstream, none is found, and the tunnel is declined; the id is for log lines only.
    let header = |name: &str| request.headers().get(name).and_then(|v| v.to_str().ok());
    let tunnel = header(ID_HEADER).unwrap_or_default().to_owned();
    let name = header(UPSTREAM_HEADER).unwrap_or_default().to_owned();
    let peer = request.extensions().get::<RemoteAddress>();
    let peer = peer.map(|address| address.0.ip());
    let result = match permitted_upstream(&router, peer, &name) {
        Ok(upstream) => connect(&router, &upstream).await,
        Err(failure) => Err(failure),
    };
    let line = TunnelServed {
        tunnel: &tunnel,
        upstream: &name,
        peer: peer.map(|ip| ip.to_string()),
        failure: result.as_ref().err().map(|failure| failure.name()),
    };
    router.log.info("tunnel.served", &line);
    match result {
        Ok(stream) => {
            router.metrics.tunnels.count("served");
            let upstream = UpstreamName::from(name.as_str());
            let carried = CarriedTunnel {
                router,
                upstream,
                id: tunnel,
            };
            tokio::task::spawn_local(carried.carry(upgrade, stream));
            switching_response()
        }
        Err(failure) => {
            router.metrics.tunnels.count("not-served");
            failure_response(failure)
        }
    }
}

/// The upstream to which the tunnel leads, if this router may serve it.
fn permitted_upstream(
    router: &Router,
    peer: Option<IpAddr>,
    name: &str,
) -> Result<Upstream, ServeFailure> {
    let is_peer = peer.is_some_and(|ip| router.peers.has_address(ip));
    let has_room = router.tunnels.served.get() < MAX_SERVED;
    if !is_peer || !has_room || router.lifecycle.is_shutting_down() {
        return Err(ServeFailure::Declined);
    }
    let now = router.now();
    let table = router.upstreams.borrow();
    let state = table.get(&UpstreamName::from(name));
    if state.is_some_and(|state| !state.may_get_requests(now)) {
        return Err(ServeFailure::UpstreamLeaves);
    }
    let upstream = state.map(|state| state.upstream.clone());
    let upstream = upstream.ok_or(ServeFailure::Declined)?;
    match router.reachability.borrow().path(&upstream) {
        UpstreamPath::Direct => Ok(upstream),
        UpstreamPath::ThroughPeer => Err(ServeFailure::Declined),
    }
}

/// Opens the connection to the upstream.
async fn connect(router: &Router, upstream: &Upstream) -> Result<TcpStream, ServeFailure> {
    router.metrics.connections.inc();
    let stream = open_stream(upstream.address, UPSTREAM_TIMEOUT, &router.timers).await;
    stream.map_err(|error| {
        reachability::on_failure(router, upstream);
        match error.kind() {
            io::ErrorKind::ConnectionRefused => ServeFailure::Refused,
            _ => ServeFailure::Unreachable,
        }
    })
}

/// Whether bytes from the origin begin a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Exchange {
    /// They do: the upstream has sent something since the last bytes from the origin, or there were none.
    Begins,
    /// They belong to a request that was passed on in part.
    UnderWay,
}

/// A tunnel that this router carries for a peer.
struct CarriedTunnel {
    router: Rc<Router>,
    upstream: UpstreamName,
    /// The id in log lines of both routers.
    id: String,
}

impl CarriedTunnel {
    /// Passes bytes on until either side closes its connection, and then closes both.
    async fn carry(self, upgrade: OnUpgrade, upstream: TcpStream) {
        let guard = ServedGuard::begin(&self.router);
        let opened_at = self.router.now();
        let result = match upgrade.await {
            Ok(origin) => self.pass(origin, upstream).await,
            Err(error) => Err(io::Error::other(error)),
        };
        drop(guard);
        let line = TunnelClosed {
            tunnel: &self.id,
            error: result.err().map(|error| error.to_string()),
            open_ms: ms_since(opened_at, self.router.now()),
        };
        self.router.log.info("tunnel.closed", &line);
    }

    async fn pass(&self, origin: Upgraded, mut upstream: TcpStream) -> io::Result<()> {
        let exchange = Cell::new(Exchange::Begins);
        let (from_origin, to_origin) = tokio::io::split(TokioIo::new(origin));
        let (from_upstream, to_upstream) = upstream.split();
        let on_response = || exchange.set(Exchange::Begins);
        tokio::select! {
            sent = self.forward(from_origin, to_upstream, &exchange) => {
                // The origin has closed the tunnel, which cancels what the upstream still does.
                upstream.set_zero_linger()?;
                sent
            }
            received = send_frames(from_upstream, to_origin, on_response) => received,
        }
    }

    /// Passes bytes on until the origin closes the tunnel, or begins a request although the upstream leaves. Bytes that are
    /// read together with the end are discarded: they were received while this process was paused, and the origin has
    /// abandoned the request.
    async fn forward(
        &self,
        mut from: impl AsyncRead + Unpin,
        mut to: impl AsyncWrite + Unpin,
        exchange: &Cell<Exchange>,
    ) -> io::Result<()> {
        let mut buf = BytesMut::with_capacity(FORWARD_BUFFER);
        while from.read_buf(&mut buf).await? > 0 {
            if exchange.replace(Exchange::UnderWay) == Exchange::Begins
                && !self.may_carry_request().await
            {
                return Err(io::Error::other(ServeFailure::UpstreamLeaves.name()));
            }
            while buf.len() < FORWARD_BUFFER {
                match poll_immediate(from.read_buf(&mut buf)).await {
                    None => break,
                    Some(Ok(count)) if count > 0 => {}
                    Some(ended) => return ended.map(|_| ()),
                }
            }
            to.write_all(&buf).await?;
            buf.clear();
        }
        Ok(())
    }

    /// Whether the upstream may get a request that the origin sends now. After a pause of this process, the list is read
    /// first.
    async fn may_carry_request(&self) -> bool {
        let router = &self.router;
        let proven_at = router.list_checks.proven_at();
        let in_step = router.in_step.get();
        if in_step.is_list_from_before_pause(proven_at, router.now()) {
            let checks = &router.list_checks;
            checks.wait_for_read(&router.timers, PAUSE_READ_WAIT).await;
        }
        router.may_get_requests(&self.upstream)
    }
}

fn switching_response() -> ServerResponse {
    let mut response = Response::new(ResponseBody::buffered(""));
    *response.status_mut() = StatusCode::SWITCHING_PROTOCOLS;
    let headers = response.headers_mut();
    headers.insert(CONNECTION, HeaderValue::from_static("upgrade"));
    headers.insert(UPGRADE, HeaderValue::from_static(PROTOCOL));
    response
}

fn failure_response(failure: ServeFailure) -> ServerResponse {
    let mut response = error_response(StatusCode::SERVICE_UNAVAILABLE, failure.name());
    let name = HeaderValue::from_static(failure.name());
    response.headers_mut().insert(FAILURE_HEADER, name);
    response
}
