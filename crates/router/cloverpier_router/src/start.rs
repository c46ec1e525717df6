//! Starts the tasks of a router.
//!
//! Each component of the router is a task, and all tasks run on one thread. To remove a component, remove the line
//! that starts its task here. The listeners start first, so that the start fails if an address is in use. Owns no
//! state.

use crate::admission;
use crate::brittle;
use crate::crashes::resolution;
use crate::decision_log::log_named_event;
use crate::heartbeats;
use crate::list_checks;
use crate::list_confirmation;
use crate::liveness_queries;
use crate::peer_fetch;
use crate::peer_reports;
use crate::peer_serve;
use crate::reachability::{checks, update_gauge};
use crate::rollout_steps;
use crate::router::Router;
use crate::signals;
use crate::singleton::{self, SingletonPlatform};
use crate::source::{ConfigurationSource, MixedServiceMarks};
use crate::store_pings;
use crate::store_sync;
use crate::store_view::WatchedData;
use crate::stream_origins::marks::keep_marks;
use crate::stream_origins::write::refresh_records;
use crate::suspect_checks;
use crate::suspension;
use crate::upstream_updates::record_versions;
use crate::web::{bind, handle_caller, handle_directory, handle_metrics, handle_readiness, serve};
use cloverpier_net::{TcpListener, UdpSocket};
use cloverpier_observe::{LogProgress, NoFields};
use cloverpier_router_policy::connection_reuse::IDLE_SWEEP_PERIOD;
use cloverpier_router_policy::prelude::UpstreamState;
use snafu::{ResultExt, Snafu};
use std::collections::HashSet;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use tokio::task::spawn_local;

/// Why a router could not start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The router can't listen at one of the addresses in its settings.
    #[snafu(display("can't listen at {address}: {source}"))]
    Listen {
        /// The address, as configured.
        address: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
    /// The handler for SIGTERM can't be registered.
    #[snafu(display("can't receive signals: {source}"))]
    Signals {
        /// The operating system's error.
        source: io::Error,
    },
}

/// Runs a router until its shutdown is complete.
///
/// Has to be called inside a [`tokio::task::LocalSet`]. `settings_path` is the settings file, which is reloaded when
/// its text changes; with `None`, the settings of `router` stay in force. `log_progress` provides the number of log
/// lines that were dropped.
///
/// # Errors
///
/// [`StartError`] if the router can't listen at one of its addresses or can't handle SIGTERM.
pub async fn run_router(
    router: Router,
    source: impl ConfigurationSource + MixedServiceMarks + 'static,
    platform: impl SingletonPlatform + 'static,
    settings_path: Option<PathBuf>,
    log_progress: LogProgress,
) -> Result<(), StartError> {
    let router = Rc::new(router);
    let terminate = signals::terminate_signal().context(SignalsSnafu)?;
    start_listeners(&router).await?;
    start_store_loops(&router, Rc::new(source));
    singleton::start(&router, platform);
    spawn_local(admission::give_turns(Rc::clone(&router)));
    spawn_local(suspension::watch_resumes(Rc::clone(&router)));
    spawn_local(suspect_checks::check_suspects(Rc::clone(&router)));
    spawn_local(checks::check_lost_paths(Rc::clone(&router)));
    spawn_local(liveness_queries::send_liveness_queries(Rc::clone(&router)));
    spawn_local(resolution::resolve_lost_attempts(Rc::clone(&router)));
    spawn_local(remove_stale_state(Rc::clone(&router), log_progress));
    spawn_local(refresh_records(Rc::clone(&router)));
    if let Some(path) = settings_path {
        spawn_local(signals::reload_settings(Rc::clone(&router), path));
    }
    log_start(&router);
    signals::wait_for_shutdown(&router, terminate).await;
    router.log.info("process.stopped", &NoFields {});
    Ok(())
}

/// Starts the tasks that read from the store or write to it, and those that fetch its data from peers.
fn start_store_loops(
    router: &Rc<Router>,
    source: Rc<impl ConfigurationSource + MixedServiceMarks + 'static>,
) {
    let handles = || (Rc::clone(router), Rc::clone(&source));
    for watched in [WatchedData::Configuration, WatchedData::Upstreams] {
        let (router, source) = handles();
        spawn_local(peer_fetch::fetch_newer(router, source, watched));
    }
    let (router, source) = handles();
    spawn_local(store_sync::watch_configuration(router, source));
    let (router, source) = handles();
    spawn_local(store_sync::watch_upstreams(router, source));
    let (router, source) = handles();
    spawn_local(store_sync::watch_rollouts(router, source));
    let (router, source) = handles();
    spawn_local(rollout_steps::drive_rollouts(router, source));
    let (router, source) = handles();
    spawn_local(list_confirmation::confirm_on_request(router, source));
    let (router, source) = handles();
    spawn_local(list_checks::check_list(router, source));
    let (router, source) = handles();
    spawn_local(keep_marks(router, source));
    let (router, source) = handles();
    spawn_local(store_pings::ping_store(router, source));
}

/// Binds the addresses for peers, readiness checks, directory requests, metrics and callers, and starts the tasks that
/// serve them.
async fn start_listeners(router: &Rc<Router>) -> Result<(), StartError> {
    let listen = router.settings().listen.clone();
    let address = listen.peers;
    let socket = UdpSocket::bind(address).await;
    let socket = Rc::new(socket.context(ListenSnafu { address })?);
    let router_handle = || Rc::clone(router);
    router.datagrams.attach(Rc::clone(&socket));
    spawn_local(peer_reports::receive_messages(router_handle(), socket));
    spawn_local(heartbeats::send_messages(router_handle()));
    spawn_local(serve(
        router_handle(),
        bind_listener(router, address).await?,
        peer_serve::serve_peer,
    ));
    spawn_local(serve(
        router_handle(),
        bind_listener(router, listen.ready).await?,
        handle_readiness,
    ));
    spawn_local(serve(
        router_handle(),
        bind_listener(router, listen.directory).await?,
        handle_directory,
    ));
    if let Some(address) = listen.metrics {
        spawn_local(serve(
            router_handle(),
            bind_listener(router, address).await?,
            handle_metrics,
        ));
    }
    spawn_local(serve(
        router_handle(),
        bind_listener(router, listen.callers).await?,
        handle_caller,
    ));
    Ok(())
}

async fn bind_listener(router: &Router, address: SocketAddr) -> Result<TcpListener, StartError> {
    bind(&router.timers, address)
        .await
        .context(ListenSnafu { address })
}

fn log_start(router: &Router) {
    let reason = format!("incarnation {:016x}", router.lifecycle.incarnation());
    log_named_event(&router.log, "process.started", "process", &reason);
    for work in &router.settings().unknown_work {
        let reason = "this release does not support this kind of work; this router does not do it";
        log_named_event(&router.log, "settings.unknown-work", work, reason);
    }
}

/// Periodically closes stale idle connections, removes the state of upstreams that are gone, and updates the metric
/// of dropped log lines. Runs until the process exits.
async fn remove_stale_state(router: Rc<Router>, log_progress: LogProgress) {
    loop {
        router.timers.sleep(IDLE_SWEEP_PERIOD).await;
        close_stale_connections(&router);
        brittle::update_shares(&router);
        forget_old_versions(&router);
        let table = router.upstreams.borrow();
        router
            .health
            .retain(|upstream| table.get(upstream).is_some_and(UpstreamState::is_listed));
        router
            .upstream_limits
            .retain(|upstream| table.by_key(upstream).is_some());
        let mut reachability = router.reachability.borrow_mut();
        reachability.retain(|upstream| table.get(upstream).is_some_and(UpstreamState::is_listed));
        drop((table, reachability));
        update_gauge(&router);
        let lines = i64::try_from(log_progress.dropped()).unwrap_or(i64::MAX);
        router.metrics.dropped_lines.set(lines);
    }
}

/// Forgets the versions of upstreams that were removed from the list some time ago, also if the list does not change any
/// more.
fn forget_old_versions(router: &Router) {
    let now = router.now();
    let is_mixed = router
        .version_history
        .borrow()
        .mixed_services()
        .next()
        .is_some();
    if is_mixed {
        router.upstreams.borrow_mut().forget_delisted(now);
    }
    record_versions(router, now);
}

/// Closes idle connections that may not be used again, among them tunnels through peers that are not ready any more,
/// and removes what is known of peers as ways to upstreams.
fn close_stale_connections(router: &Router) {
    let now = router.now();
    let has_tunnels = router.pool.borrow().has_tunnels();
    let ready: HashSet<SocketAddr> = if has_tunnels {
        let ready = router.peers.ready(now, router.peer_timeout()).into_iter();
        ready.map(|peer| peer.peer).collect()
    } else {
        HashSet::new()
    };
    let mut pool = router.pool.borrow_mut();
    pool.close_stale(now, |peer| ready.contains(&peer));
    drop(pool);
    router.tunnels.remove_expired(now);
}
