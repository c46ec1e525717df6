//! GET requests to an upstream over a path of the caller's choice, by which paths are compared.
//!
//! Owns no state. Relies on the calling module for a timeout: dropping the future ends the request.

use super::trial::begin_trial;
use crate::connection::{Connection, Via};
use crate::http_client::{CallError, HttpResponse, get_over};
use crate::router::Router;
use crate::tunnel::open::{TunnelError, open, open_in_trial, open_through};
use cloverpier_router_policy::connection_reuse::{CONNECT_TIMEOUT, DEFAULT_IDLE_TIMEOUT};
use cloverpier_router_policy::path_evidence::TRIAL_RESPONSE_TIMEOUT;
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::reachability::UpstreamPath;
use cloverpier_router_policy::tunnel_peers::TUNNEL_TIMEOUT;
use cloverpier_timers::Elapsed;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

/// A response, and the connection on which it arrived.
#[derive(Debug)]
pub(crate) struct PathResponse {
    pub response: HttpResponse,
    pub connection: Connection,
}

/// Opens a connection to an upstream that takes the given way.
///
/// # Errors
///
/// The operating system's error, or that of the tunnel.
pub(crate) async fn connect_via(
    router: &Rc<Router>,
    upstream: &Upstream,
    via: Via,
    timeout: Duration,
) -> io::Result<Connection> {
    match via {
        Via::Direct => {
            let address = upstream.address;
            Connection::open(address, timeout, DEFAULT_IDLE_TIMEOUT, &router.timers).await
        }
        Via::Peer(peer) => {
            let tunnel = open_through(router, peer, upstream, timeout.min(TUNNEL_TIMEOUT));
            tunnel.await.map_err(TunnelError::into_io)
        }
    }
}

/// Sends a GET request over a new direct connection.
///
/// # Errors
///
/// [`CallError`] if no complete response arrives.
pub(crate) async fn get_direct(
    router: &Rc<Router>,
    upstream: &Upstream,
    path: &str,
) -> Result<PathResponse, CallError> {
    let opened = connect_via(router, upstream, Via::Direct, CONNECT_TIMEOUT).await;
    get_on(opened, upstream, path).await
}

/// Sends a GET request over a new tunnel through any peer but `except`.
///
/// # Errors
///
/// [`CallError`] if no complete response arrives.
pub(crate) async fn get_through_peer(
    router: &Rc<Router>,
    upstream: &Upstream,
    path: &str,
    except: Option<SocketAddr>,
) -> Result<PathResponse, CallError> {
    let opened = open(router, upstream, CONNECT_TIMEOUT, except).await;
    get_on(opened.map_err(TunnelError::into_io), upstream, path).await
}

/// Sends a GET request over another path than `silent`: directly if `silent` is a tunnel and the direct path is not
/// lost, else through a peer.
///
/// # Errors
///
/// [`CallError`] if no complete response arrives.
pub(crate) async fn get_otherwise(
    router: &Rc<Router>,
    upstream: &Upstream,
    path: &str,
    silent: Via,
) -> Result<PathResponse, CallError> {
    let is_direct_lost = router.reachability.borrow().path(upstream) == UpstreamPath::ThroughPeer;
    match silent {
        Via::Peer(_) if !is_direct_lost => get_direct(router, upstream, path).await,
        Via::Peer(peer) => get_through_peer(router, upstream, path, Some(peer)).await,
        Via::Direct if is_direct_lost => get_through_peer(router, upstream, path, None).await,
        Via::Direct => get_in_trial(router, upstream, path).await,
    }
}

/// Sends a GET request over a new tunnel to an upstream that does not respond over own connections, unless the upstream
/// counts as dead.
///
/// # Errors
///
/// [`CallError`] if no complete response arrives.
pub(crate) async fn get_in_trial(
    router: &Rc<Router>,
    upstream: &Upstream,
    path: &str,
) -> Result<PathResponse, CallError> {
    let Some(trial) = begin_trial(router, upstream).await else {
        let source = TunnelError::Unreachable.into_io();
        return Err(CallError::Connect { source });
    };
    let opened = open_in_trial(router, upstream, CONNECT_TIMEOUT, &trial).await;
    let opened = opened.map_err(|e| CallError::Connect {
        source: e.into_io(),
    })?;
    let mut response = pin!(get_on(Ok(opened), upstream, path));
    match router
        .timers
        .timeout(TRIAL_RESPONSE_TIMEOUT, response.as_mut())
        .await
    {
        Ok(result) => result,
        Err(Elapsed) => {
            trial.on_silent();
            drop(trial);
            response.await
        }
    }
}

async fn get_on(
    opened: io::Result<Connection>,
    upstream: &Upstream,
    path: &str,
) -> Result<PathResponse, CallError> {
    let mut connection = opened.map_err(|source| CallError::Connect { source })?;
    let response = get_over(&mut connection, upstream.address, path).await?;
    Ok(PathResponse {
        response,
        connection,
    })
}
