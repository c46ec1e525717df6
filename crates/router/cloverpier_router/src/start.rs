//! Starts the parts of a router, in one visible place.

use crate::decision_log::Dependency;
use crate::heartbeats;
use crate::peer_fetch;
use crate::probe;
use crate::router::Router;
use crate::stop;
use crate::store_sync::{self, ConfigurationSource};
use crate::web::{bind, on_caller, on_directory, on_metrics, on_ready, serve};
use cloverpier_observe::{DroppedLines, NoFields};
use cloverpier_router_policy::prelude::UpstreamState;
use snafu::{ResultExt, Snafu};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;
use tokio::task::spawn_local;

/// How often connections and links that can't be used again are dropped.
const SWEEP_PERIOD: Duration = Duration::from_millis(500);

/// A router could not start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// An address can't be listened at.
    #[snafu(display("can't listen at {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system reports.
        source: io::Error,
    },
    /// Signals can't be received.
    #[snafu(display("can't receive signals: {source}"))]
    Signals {
        /// What the system reports.
        source: io::Error,
    },
}

/// Runs a router until a planned stop has ended.
///
/// It has to run inside a [`tokio::task::LocalSet`].
///
/// # Errors
///
/// [`StartError`] when an address can't be listened at.
pub async fn run_router(
    router: Router,
    source: impl ConfigurationSource + 'static,
    settings_path: Option<PathBuf>,
    dropped: DroppedLines,
) -> Result<(), StartError> {
    let router = Rc::new(router);
    let source = Rc::new(source);
    let terminate = stop::terminate_signal().context(SignalsSnafu)?;
    listen(&router).await?;
    spawn_local(store_sync::watch_configuration(
        Rc::clone(&router),
        Rc::clone(&source),
    ));
    spawn_local(store_sync::watch_upstreams(
        Rc::clone(&router),
        Rc::clone(&source),
    ));
    spawn_local(store_sync::ping_store(
        Rc::clone(&router),
        Rc::clone(&source),
    ));
    spawn_local(peer_fetch::fetch_newer(Rc::clone(&router)));
    spawn_local(probe::check_suspects(Rc::clone(&router)));
    spawn_local(sweep(Rc::clone(&router), dropped));
    if let Some(path) = settings_path {
        spawn_local(stop::reload_settings(Rc::clone(&router), path));
    }
    log_start(&router);
    stop::wait_for_stop(&router, terminate).await;
    router.log.info("process.stopped", &NoFields {});
    Ok(())
}

async fn listen(router: &Rc<Router>) -> Result<(), StartError> {
    let listen = router.settings().listen.clone();
    let address = listen.peers;
    let socket = UdpSocket::bind(address).await;
    let socket = Rc::new(socket.context(ListenSnafu { address })?);
    spawn_local(heartbeats::receive_messages(
        Rc::clone(router),
        Rc::clone(&socket),
    ));
    spawn_local(heartbeats::send_messages(Rc::clone(router), socket));
    spawn_local(serve(
        Rc::clone(router),
        at(address).await?,
        peer_fetch::on_peer,
    ));
    spawn_local(serve(Rc::clone(router), at(listen.ready).await?, on_ready));
    spawn_local(serve(
        Rc::clone(router),
        at(listen.directory).await?,
        on_directory,
    ));
    if let Some(address) = listen.metrics {
        spawn_local(serve(Rc::clone(router), at(address).await?, on_metrics));
    }
    spawn_local(serve(
        Rc::clone(router),
        at(listen.callers).await?,
        on_caller,
    ));
    Ok(())
}

async fn at(address: SocketAddr) -> Result<tokio::net::TcpListener, StartError> {
    bind(address).await.context(ListenSnafu { address })
}

fn log_start(router: &Router) {
    let reason = format!("incarnation {:016x}", router.incarnation);
    let line = Dependency {
        name: "process",
        reason: &reason,
    };
    router.log.info("process.started", &line);
}

/// Drops what can't be used again, for as long as the process runs.
async fn sweep(router: Rc<Router>, dropped: DroppedLines) {
    loop {
        tokio::time::sleep(SWEEP_PERIOD).await;
        router.pool.borrow_mut().close_stale(Instant::now());
        let table = router.upstreams.borrow();
        router
            .health
            .retain(|upstream| table.get(upstream).is_some_and(UpstreamState::is_listed));
        drop(table);
        let lines = i64::try_from(dropped.count()).unwrap_or(i64::MAX);
        router.metrics.dropped_lines.set(lines);
    }
}
