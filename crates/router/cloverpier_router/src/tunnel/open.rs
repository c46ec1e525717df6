//! Opens tunnels to upstreams through peers.
//!
//! Requests it from one peer after the other. `cloverpier_router_policy::tunnel_peers` decides which one, and for how long a peer
//! that did not open a tunnel is not chosen again. The state is in [`super::Tunnels`].

use super::framing::FramedStream;
use super::{
    FAILURE_HEADER, ID_HEADER, OpenTunnel, PROTOCOL, ServeFailure, TUNNEL_PATH, UPSTREAM_HEADER,
};
use crate::abandonable_stream::{AbandonableStream, Abandonment};
use crate::connection::{Connection, open_stream};
use crate::decision_log::{TunnelFailed, TunnelOpened, ms_since};
use crate::reachability::trial::PathTrial;
use crate::router::Router;
use bytes::Bytes;
use cloverpier_core::ServiceName;
use cloverpier_router_policy::connection_reuse::DEFAULT_IDLE_TIMEOUT;
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::store_watch::ReadyPeer;
use cloverpier_router_policy::tunnel_peers::{
    MAX_PEERS_TRIED, PeerFailure, TUNNEL_TIMEOUT, TunnelCandidate, TunnelEnds, remote_witnesses,
};
use cloverpier_timers::Elapsed;
use http_body_util::Empty;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::{CONNECTION, HOST, UPGRADE};
use hyper::upgrade::Upgraded;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Why no tunnel to an upstream could be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TunnelError {
    /// No peer is available: none is ready, or those that are ready have failed shortly before.
    NoPeer,
    /// The upstream's host refused the connection of a peer: no process listens at its address.
    Refused,
    /// No peer that was tried reached the upstream.
    Unreachable,
}

impl TunnelError {
    /// The error as that of a connection.
    pub fn into_io(self) -> io::Error {
        match self {
            Self::NoPeer => io::Error::other("no router reaches it"),
            Self::Refused => io::ErrorKind::ConnectionRefused.into(),
            Self::Unreachable => io::Error::new(io::ErrorKind::TimedOut, "no router reaches it"),
        }
    }
}

/// The result of requesting a tunnel from one peer.
enum TunnelOutcome {
    Opened(Connection),
    /// The upstream's host refused the peer's connection.
    Refused,
    /// The peer could not help.
    Failed(PeerFailure),
}

/// Opens a tunnel to an upstream within `timeout`, through a peer other than `except`.
///
/// # Errors
///
/// [`TunnelError`] if no peer opens one.
pub(crate) async fn open(
    router: &Rc<Router>,
    upstream: &Upstream,
    timeout: Duration,
    except: Option<SocketAddr>,
) -> Result<Connection, TunnelError> {
    let choose = || choose_peer(router, upstream, except);
    let is_conclusive = |answer| match answer {
        PeerAnswer::Refused | PeerAnswer::Failed(PeerFailure::UpstreamLeaves) => true,
        PeerAnswer::Failed(_) => false,
    };
    open_via(router, upstream, timeout, choose, is_conclusive).await
}

/// Opens a tunnel to an upstream that does not respond over own connections within `timeout`, unless it counts as dead.
///
/// # Errors
///
/// [`TunnelError`] if no peer opens one, and [`TunnelError::Unreachable`] without a trial.
pub(crate) async fn open_in_trial(
    router: &Rc<Router>,
    upstream: &Upstream,
    timeout: Duration,
    trial: &PathTrial,
) -> Result<Connection, TunnelError> {
    let choose = || {
        if trial.is_decisive() {
            choose_witness(router, upstream)
        } else {
            choose_peer(router, upstream, None)
        }
    };
    let is_conclusive = |answer| match answer {
        PeerAnswer::Refused => trial.on_peer_agreed() || !trial.is_decisive(),
        PeerAnswer::Failed(PeerFailure::UpstreamSilent) => trial.on_peer_agreed(),
        PeerAnswer::Failed(PeerFailure::UpstreamLeaves) => true,
        PeerAnswer::Failed(_) => false,
    };
    let opened = open_via(router, upstream, timeout, choose, is_conclusive).await;
    if opened.is_err() {
        trial.on_search_ended();
    }
    opened
}

/// What a peer that opened no tunnel answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PeerAnswer {
    /// The upstream's host refused the peer's connection.
    Refused,
    /// The peer could not help.
    Failed(PeerFailure),
}

/// Requests a tunnel from one peer after the other, until one opens it or `is_conclusive` returns true for the answer.
async fn open_via(
    router: &Rc<Router>,
    upstream: &Upstream,
    timeout: Duration,
    choose: impl Fn() -> Option<SocketAddr>,
    is_conclusive: impl Fn(PeerAnswer) -> bool,
) -> Result<Connection, TunnelError> {
    let until = router.now() + timeout;
    let mut error = TunnelError::NoPeer;
    for _ in 0..MAX_PEERS_TRIED {
        let left = until.saturating_duration_since(router.now());
        if left.is_zero() {
            break;
        }
        let Some(peer) = choose() else {
            break;
        };
        match request_from(router, peer, upstream, left.min(TUNNEL_TIMEOUT)).await {
            TunnelOutcome::Opened(connection) => return Ok(connection),
            TunnelOutcome::Refused if is_conclusive(PeerAnswer::Refused) => {
                return Err(TunnelError::Refused);
            }
            TunnelOutcome::Refused => {
                let failure = PeerFailure::UpstreamSilent;
                on_peer_failed(router, &upstream.service, peer, failure);
                error = TunnelError::Refused;
            }
            TunnelOutcome::Failed(failure) => {
                on_peer_failed(router, &upstream.service, peer, failure);
                if failure == PeerFailure::UpstreamLeaves {
                    router.list_checks.request_read();
                }
                error = TunnelError::Unreachable;
                if is_conclusive(PeerAnswer::Failed(failure)) {
                    break;
                }
            }
        }
    }
    Err(error)
}

/// Records that a peer did not open a tunnel to an upstream of a service, or that nothing arrives through it any more.
/// Idle tunnels through a peer that declined or is silent are closed: if it has lost its paths, too, requests in them
/// would be lost.
pub(crate) fn on_peer_failed(
    router: &Router,
    service: &ServiceName,
    peer: SocketAddr,
    failure: PeerFailure,
) {
    let now = router.now();
    router.tunnels.on_failed(service, peer, failure, now);
    if failure.is_of_peer() {
        router.pool.borrow_mut().close_tunnels_through(peer);
    }
}

/// Opens a tunnel to an upstream through one peer within `timeout`.
///
/// # Errors
///
/// [`TunnelError`] if the peer does not open one.
pub(crate) async fn open_through(
    router: &Rc<Router>,
    peer: SocketAddr,
    upstream: &Upstream,
    timeout: Duration,
) -> Result<Connection, TunnelError> {
    match request_from(router, peer, upstream, timeout).await {
        TunnelOutcome::Opened(connection) => Ok(connection),
        TunnelOutcome::Refused => Err(TunnelError::Refused),
        TunnelOutcome::Failed(_) => Err(TunnelError::Unreachable),
    }
}

fn choose_peer(
    router: &Router,
    upstream: &Upstream,
    except: Option<SocketAddr>,
) -> Option<SocketAddr> {
    let mut candidates = candidates(router);
    candidates.retain(|c| Some(c.peer) != except);
    choose_among(router, upstream, &candidates)
}

/// The peer that is asked whether an upstream is dead: one of another data centre, if there is one, because a lost
/// path often concerns all routers of a data centre.
fn choose_witness(router: &Router, upstream: &Upstream) -> Option<SocketAddr> {
    let candidates = candidates(router);
    let witnesses = remote_witnesses(&candidates, &router.settings().data_centre);
    choose_among(router, upstream, &witnesses).or_else(|| choose_peer(router, upstream, None))
}

/// The live and ready peers.
fn candidates(router: &Router) -> Vec<TunnelCandidate> {
    let ready = router.peers.ready(router.now(), router.peer_timeout());
    let candidate = |peer: ReadyPeer| TunnelCandidate {
        peer: peer.peer,
        data_centre: peer.data_centre,
    };
    ready.into_iter().map(candidate).collect()
}

fn choose_among(
    router: &Router,
    upstream: &Upstream,
    candidates: &[TunnelCandidate],
) -> Option<SocketAddr> {
    let now = router.now();
    let ends = TunnelEnds {
        home: &router.settings().data_centre,
        upstream: &upstream.data_centre,
    };
    let mut rng = router.rng.borrow_mut();
    let peers = router.tunnels.peers.borrow();
    peers.choose(candidates, &upstream.service, ends, now, &mut rng)
}

/// Requests a tunnel from a peer, and logs the result.
async fn request_from(
    router: &Rc<Router>,
    peer: SocketAddr,
    upstream: &Upstream,
    timeout: Duration,
) -> TunnelOutcome {
    let id = router.rng.borrow_mut().u64(..);
    let requested_at = router.now();
    let opening = request_tunnel(router, peer, upstream, id, timeout);
    let result = router.timers.timeout(timeout, opening).await;
    let outcome = match result {
        Ok(Ok(Ok((stream, abandonment)))) => {
            let tunnel = router
                .tunnels
                .begin(&upstream.service, peer, id, router.now());
            opened(stream, abandonment, tunnel, requested_at).await
        }
        Ok(Ok(Err(failure))) => failure,
        // The log line below has the outcome; which error ended the connection to the peer does not matter.
        Ok(Err(_)) | Err(Elapsed) => TunnelOutcome::Failed(PeerFailure::Silent),
    };
    log_outcome(router, peer, upstream, id, requested_at, &outcome);
    outcome
}

/// Sends the request for a tunnel. `Ok(Ok(..))` is the byte stream of the open tunnel, with the mark by which its connection
/// is reset.
async fn request_tunnel(
    router: &Router,
    peer: SocketAddr,
    upstream: &Upstream,
    id: u64,
    timeout: Duration,
) -> io::Result<Result<(Upgraded, Abandonment), TunnelOutcome>> {
    let stream = AbandonableStream::new(open_stream(peer, timeout, &router.timers).await?);
    let abandonment = stream.abandonment();
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, driver) = handshake.map_err(io::Error::other)?;
    tokio::task::spawn_local(async move {
        // The request receives the connection's errors.
        let _ = driver.with_upgrades().await;
    });
    let request = Request::get(TUNNEL_PATH)
        .header(HOST, peer.to_string())
        .header(CONNECTION, "upgrade")
        .header(UPGRADE, PROTOCOL)
        .header(UPSTREAM_HEADER, upstream.name.as_str())
        .header(ID_HEADER, format!("{id:016x}"))
        .body(Empty::<Bytes>::new());
    let request = request.map_err(io::Error::other)?;
    let response = sender.send_request(request).await;
    let response = response.map_err(io::Error::other)?;
    if response.status() != StatusCode::SWITCHING_PROTOCOLS {
        return Ok(Err(failure_of(&response)));
    }
    let upgraded = hyper::upgrade::on(response).await;
    let upgraded = upgraded.map_err(io::Error::other)?;
    Ok(Ok((upgraded, abandonment)))
}

/// The failure that a peer's response reports.
fn failure_of(response: &Response<Incoming>) -> TunnelOutcome {
    let Some(name) = response.headers().get(FAILURE_HEADER) else {
        return TunnelOutcome::Failed(PeerFailure::Unsupported);
    };
    // A name that is no text is one of a later release, as an unknown one is.
    match ServeFailure::from_name(name.to_str().unwrap_or_default()) {
        ServeFailure::Refused => TunnelOutcome::Refused,
        ServeFailure::Unreachable => TunnelOutcome::Failed(PeerFailure::UpstreamSilent),
        ServeFailure::Declined => TunnelOutcome::Failed(PeerFailure::Declined),
        ServeFailure::UpstreamLeaves => TunnelOutcome::Failed(PeerFailure::UpstreamLeaves),
    }
}

/// Prepares an open tunnel for requests.
async fn opened(
    stream: Upgraded,
    abandonment: Abandonment,
    tunnel: OpenTunnel,
    requested_at: Instant,
) -> TunnelOutcome {
    let stream = FramedStream::new(TokioIo::new(stream));
    let idle_timeout = DEFAULT_IDLE_TIMEOUT;
    let connection =
        Connection::over_tunnel(stream, abandonment, tunnel, requested_at, idle_timeout);
    match connection.await {
        Ok(connection) => TunnelOutcome::Opened(connection),
        // The tunnel ended before it was used.
        Err(_) => TunnelOutcome::Failed(PeerFailure::Silent),
    }
}

fn log_outcome(
    router: &Router,
    peer: SocketAddr,
    upstream: &Upstream,
    id: u64,
    requested_at: Instant,
    outcome: &TunnelOutcome,
) {
    let took_ms = ms_since(requested_at, router.now());
    let (tunnel, peer) = (format!("{id:016x}"), peer.to_string());
    let upstream = upstream.name.as_str();
    let reason = match outcome {
        TunnelOutcome::Opened(_) => {
            router.metrics.tunnels.count("opened");
            let line = TunnelOpened {
                tunnel,
                upstream,
                peer,
                took_ms,
            };
            router.log.info("tunnel.opened", &line);
            return;
        }
        TunnelOutcome::Refused => "refused",
        TunnelOutcome::Failed(PeerFailure::Declined) => "declined",
        TunnelOutcome::Failed(PeerFailure::UpstreamLeaves) => "leaving",
        TunnelOutcome::Failed(PeerFailure::UpstreamSilent) => "unreachable",
        TunnelOutcome::Failed(PeerFailure::Silent) => "silent",
        TunnelOutcome::Failed(PeerFailure::Unsupported) => "unsupported",
    };
    router.metrics.tunnels.count(reason);
    let line = TunnelFailed {
        tunnel,
        upstream,
        peer,
        reason,
        took_ms,
    };
    router.log.info("tunnel.failed", &line);
}
