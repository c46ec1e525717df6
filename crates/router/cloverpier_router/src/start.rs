//! Starts the parts of a front, in one visible place.

use crate::decision_log::Dependency;
use crate::front::Front;
use crate::gossip;
use crate::probe;
use crate::stop;
use crate::sync::{self, ConfigurationSource};
use crate::versions;
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

/// A front could not start.
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

/// Runs a front until a planned stop has ended.
///
/// It has to run inside a [`tokio::task::LocalSet`].
///
/// # Errors
///
/// [`StartError`] when an address can't be listened at.
pub async fn run_front(
    front: Front,
    source: impl ConfigurationSource + 'static,
    settings_path: Option<PathBuf>,
    dropped: DroppedLines,
) -> Result<(), StartError> {
    let front = Rc::new(front);
    let source = Rc::new(source);
    let terminate = stop::terminate_signal().context(SignalsSnafu)?;
    listen(&front).await?;
    spawn_local(sync::follow_catalog(Rc::clone(&front), Rc::clone(&source)));
    spawn_local(sync::watch_upstreams(Rc::clone(&front), Rc::clone(&source)));
    spawn_local(sync::ping_store(Rc::clone(&front), Rc::clone(&source)));
    spawn_local(versions::fetch_newer(Rc::clone(&front)));
    spawn_local(probe::check_suspects(Rc::clone(&front)));
    spawn_local(sweep(Rc::clone(&front), dropped));
    if let Some(path) = settings_path {
        spawn_local(stop::reload_settings(Rc::clone(&front), path));
    }
    log_start(&front);
    stop::wait_for_stop(&front, terminate).await;
    front.log.info("process.stopped", &NoFields {});
    Ok(())
}

async fn listen(front: &Rc<Front>) -> Result<(), StartError> {
    let listen = front.settings().listen.clone();
    let address = listen.peers;
    let socket = UdpSocket::bind(address).await;
    let socket = Rc::new(socket.context(ListenSnafu { address })?);
    spawn_local(gossip::receive_messages(
        Rc::clone(front),
        Rc::clone(&socket),
    ));
    spawn_local(gossip::send_messages(Rc::clone(front), socket));
    spawn_local(serve(
        Rc::clone(front),
        at(address).await?,
        versions::on_peer,
    ));
    spawn_local(serve(Rc::clone(front), at(listen.ready).await?, on_ready));
    spawn_local(serve(
        Rc::clone(front),
        at(listen.directory).await?,
        on_directory,
    ));
    if let Some(address) = listen.metrics {
        spawn_local(serve(Rc::clone(front), at(address).await?, on_metrics));
    }
    spawn_local(serve(
        Rc::clone(front),
        at(listen.callers).await?,
        on_caller,
    ));
    Ok(())
}

async fn at(address: SocketAddr) -> Result<tokio::net::TcpListener, StartError> {
    bind(address).await.context(ListenSnafu { address })
}

fn log_start(front: &Front) {
    let reason = format!("incarnation {:016x}", front.incarnation);
    let line = Dependency {
        name: "process",
        reason: &reason,
    };
    front.log.info("process.started", &line);
}

/// Drops what can't be used again, for as long as the process runs.
async fn sweep(front: Rc<Front>, dropped: DroppedLines) {
    loop {
        tokio::time::sleep(SWEEP_PERIOD).await;
        front.pool.borrow_mut().close_stale(Instant::now());
        let table = front.upstreams.borrow();
        front
            .links
            .retain(|upstream| table.get(upstream).is_some_and(UpstreamState::is_listed));
        drop(table);
        let lines = i64::try_from(dropped.count()).unwrap_or(i64::MAX);
        front.metrics.dropped_lines.set(lines);
    }
}
