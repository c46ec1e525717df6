//! Opens connections to upstreams, by this router itself or in a tunnel through a peer.
//!
//! A direct connection that fails, or does not come up soon, is tried through a peer as well, unless the upstream
//! counts as dead: if the peer reaches the upstream, only this router's path is lost, and the request goes on in the
//! tunnel. Owns no state.

use super::on_path_lost;
use super::trial::begin_trial;
use crate::connection::{Connection, Via};
use crate::decision_log::{ConnectionSlow, ms};
use crate::router::Router;
use crate::tunnel::open::{TunnelError, open, open_in_trial};
use cloverpier_router_policy::connection_reuse::DEFAULT_IDLE_TIMEOUT;
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::reachability::UpstreamPath;
use cloverpier_router_policy::tunnel_peers::FALLBACK_DELAY;
use cloverpier_timers::Elapsed;
use std::future::Future;
use std::io;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::time::Duration;

/// Takes an idle connection to an upstream from the pool, if there is one on a path that counts as working.
pub(crate) fn take_idle(router: &Router, upstream: &Upstream) -> Option<Connection> {
    let path = router.reachability.borrow().path(upstream);
    let mut pool = router.pool.borrow_mut();
    pool.take(&upstream.name, path, router.now())
}

/// Opens a new connection to an upstream within `timeout`.
///
/// # Errors
///
/// The error of the direct connection, or of the tunnel if only that was tried. [`io::ErrorKind::ConnectionRefused`]
/// shows that no process listens at the upstream's address.
pub(crate) async fn connect(
    router: &Rc<Router>,
    upstream: &Upstream,
    timeout: Duration,
) -> io::Result<Connection> {
    router.metrics.connections.inc();
    let path = router.reachability.borrow().path(upstream);
    if path == UpstreamPath::ThroughPeer {
        return match open(router, upstream, timeout, None).await {
            // Without peers, the lost path is the only one.
            Err(TunnelError::NoPeer) => open_direct(router, upstream, timeout).await,
            opened => opened.map_err(TunnelError::into_io),
        };
    }
    connect_with_fallback(router, upstream, timeout).await
}

async fn open_direct(
    router: &Router,
    upstream: &Upstream,
    timeout: Duration,
) -> io::Result<Connection> {
    let address = upstream.address;
    Connection::open(address, timeout, DEFAULT_IDLE_TIMEOUT, &router.timers).await
}

/// Opens a direct connection, and tries a tunnel as well once that has failed or taken [`FALLBACK_DELAY`].
async fn connect_with_fallback(
    router: &Rc<Router>,
    upstream: &Upstream,
    timeout: Duration,
) -> io::Result<Connection> {
    let started = router.now();
    let mut direct = pin!(open_direct(router, upstream, timeout));
    let soon = router.timers.timeout(FALLBACK_DELAY, direct.as_mut()).await;
    let elapsed = router.now().saturating_duration_since(started);
    let tunnel = open_if_path_suspected(router, upstream, timeout.saturating_sub(elapsed));
    let connection = match soon {
        Ok(Ok(connection)) => connection,
        Ok(Err(error)) => tunnel.await.map_err(|_| error)?,
        Err(Elapsed) => first_to_open(direct, tunnel).await?,
    };
    let took = router.now().saturating_duration_since(started);
    if connection.via != Via::Direct {
        on_path_lost(router, upstream, connection.via, started);
    } else if took > FALLBACK_DELAY {
        log_slow(router, upstream, took);
    }
    Ok(connection)
}

fn log_slow(router: &Router, upstream: &Upstream, took: Duration) {
    let line = ConnectionSlow {
        upstream: upstream.name.as_str(),
        took_ms: ms(took),
    };
    router.log.info("connection.slow", &line);
}

/// Opens a tunnel within `timeout`, unless the upstream counts as dead.
async fn open_if_path_suspected(
    router: &Rc<Router>,
    upstream: &Upstream,
    timeout: Duration,
) -> Result<Connection, TunnelError> {
    let until = router.now() + timeout;
    let beginning = begin_trial(router, upstream);
    let Ok(Some(trial)) = router.timers.timeout(timeout, beginning).await else {
        return Err(TunnelError::Unreachable);
    };
    let left = until.saturating_duration_since(router.now());
    open_in_trial(router, upstream, left, &trial).await
}

/// The connection that opens first; the error of the direct one if neither opens.
async fn first_to_open(
    mut direct: Pin<&mut impl Future<Output = io::Result<Connection>>>,
    tunnel: impl Future<Output = Result<Connection, TunnelError>>,
) -> io::Result<Connection> {
    let mut tunnel = pin!(tunnel);
    tokio::select! {
        opened = &mut direct => match opened {
            Ok(connection) => Ok(connection),
            Err(error) => tunnel.await.map_err(|_| error),
        },
        opened = &mut tunnel => match opened {
            Ok(connection) => Ok(connection),
            // The log has the peers' reasons; the direct connection may still open.
            Err(_) => direct.await,
        },
    }
}
