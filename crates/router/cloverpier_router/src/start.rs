//! Starts the parts of a router, in one visible place.
//!
//! Each part is a task on one thread; removing a part is removing a line. Listeners come first,
//! so that a port that is taken ends the start.

use crate::crashes::judgement;
use crate::decision_log::log_dependency;
use crate::heartbeats;
use crate::peer_fetch;
use crate::peer_reports;
use crate::peer_serve;
use crate::probe;
use crate::resume;
use crate::rollout_steps;
use crate::router::Router;
use crate::signals;
use crate::singleton::{self, SingletonPlatform};
use crate::source::ConfigurationSource;
use crate::store_sync;
use crate::store_view::Watched;
use crate::web::{bind, handle_caller, handle_directory, handle_metrics, handle_readiness, serve};
use cloverpier_observe::{LogProgress, NoFields};
use cloverpier_router_policy::connection_reuse::IDLE_SWEEP_PERIOD;
use cloverpier_router_policy::prelude::UpstreamState;
use snafu::{ResultExt, Snafu};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use tokio::net::{TcpListener, UdpSocket};
use tokio::task::spawn_local;

/// A router could not start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// An address cannot be listened at.
    #[snafu(display("can't listen at {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system reports.
        source: io::Error,
    },
    /// Signals cannot be received.
    #[snafu(display("can't receive signals: {source}"))]
    Signals {
        /// What the system reports.
        source: io::Error,
    },
}

/// Runs a router until a planned stop has ended.
///
/// It has to run inside a [`tokio::task::LocalSet`].  `settings_path` is the file that is
/// read again when it changes.
///
/// # Errors
///
/// [`StartError`] when an address cannot be listened at.
pub async fn run_router(
    router: Router,
    source: impl ConfigurationSource + 'static,
    platform: impl SingletonPlatform + 'static,
    settings_path: Option<PathBuf>,
    log_progress: LogProgress,
) -> Result<(), StartError> {
    let router = Rc::new(router);
    let terminate = signals::terminate_signal().context(SignalsSnafu)?;
    listen(&router).await?;
    start_store_loops(&router, Rc::new(source));
    singleton::start(&router, platform);
    for watched in [Watched::Configuration, Watched::Upstreams] {
        spawn_local(peer_fetch::fetch_newer(Rc::clone(&router), watched));
    }
    spawn_local(resume::watch_resumes(Rc::clone(&router)));
    spawn_local(probe::check_suspects(Rc::clone(&router)));
    spawn_local(judgement::judge_lost(Rc::clone(&router)));
    spawn_local(sweep(Rc::clone(&router), log_progress));
    if let Some(path) = settings_path {
        spawn_local(signals::reload_settings(Rc::clone(&router), path));
    }
    log_start(&router);
    signals::wait_for_shutdown(&router, terminate).await;
    router.log.info("process.stopped", &NoFields {});
    Ok(())
}

fn start_store_loops(router: &Rc<Router>, source: Rc<impl ConfigurationSource + 'static>) {
    let both = || (Rc::clone(router), Rc::clone(&source));
    let (cx, from) = both();
    spawn_local(store_sync::watch_configuration(cx, from));
    let (cx, from) = both();
    spawn_local(store_sync::watch_upstreams(cx, from));
    let (cx, from) = both();
    spawn_local(store_sync::watch_rollouts(cx, from));
    let (cx, from) = both();
    spawn_local(rollout_steps::take_steps(cx, from));
    let (cx, from) = both();
    spawn_local(store_sync::ping_store(cx, from));
}

async fn listen(router: &Rc<Router>) -> Result<(), StartError> {
    let listen = router.settings().listen.clone();
    let address = listen.peers;
    let socket = UdpSocket::bind(address).await;
    let socket = Rc::new(socket.context(ListenSnafu { address })?);
    let cx = || Rc::clone(router);
    router.datagrams.attach(Rc::clone(&socket));
    spawn_local(peer_reports::receive_messages(cx(), socket));
    spawn_local(heartbeats::send_messages(cx()));
    spawn_local(serve(cx(), at(router, address).await?, peer_serve::on_peer));
    spawn_local(serve(
        cx(),
        at(router, listen.ready).await?,
        handle_readiness,
    ));
    spawn_local(serve(
        cx(),
        at(router, listen.directory).await?,
        handle_directory,
    ));
    if let Some(address) = listen.metrics {
        spawn_local(serve(cx(), at(router, address).await?, handle_metrics));
    }
    spawn_local(serve(
        cx(),
        at(router, listen.callers).await?,
        handle_caller,
    ));
    Ok(())
}

async fn at(router: &Router, address: SocketAddr) -> Result<TcpListener, StartError> {
    bind(&router.timers, address)
        .await
        .context(ListenSnafu { address })
}

fn log_start(router: &Router) {
    let reason = format!("incarnation {:016x}", router.lifecycle.incarnation());
    log_dependency(&router.log, "process.started", "process", &reason);
    for work in &router.settings().unknown_work {
        let reason = "this release does not know such work; nobody does it here";
        log_dependency(&router.log, "settings.unknown-work", work, reason);
    }
}

/// Drops what cannot be used again, until the process ends.
async fn sweep(router: Rc<Router>, log_progress: LogProgress) {
    loop {
        router.timers.sleep(IDLE_SWEEP_PERIOD).await;
        router.pool.borrow_mut().close_stale(router.now());
        let table = router.upstreams.borrow();
        router
            .health
            .retain(|upstream| table.get(upstream).is_some_and(UpstreamState::is_listed));
        router
            .upstream_limits
            .retain(|upstream| table.by_key(upstream).is_some());
        drop(table);
        let lines = i64::try_from(log_progress.dropped()).unwrap_or(i64::MAX);
        router.metrics.dropped_lines.set(lines);
    }
}
