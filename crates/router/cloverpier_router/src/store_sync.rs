//! Keeps configuration and upstreams as new as the platform's store.

use crate::decision_log::{Dependency, VersionTaken};
use crate::router::Router;
use cloverpier_core::jitter;
use cloverpier_router_policy::prelude::*;
use snafu::Snafu;
use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// How long one watch waits for changes.
const WATCH_WAIT: Duration = Duration::from_secs(6);
/// How long a connection to the store or its answer may take, beyond the wait asked for.
pub const STORE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// First pause after a failed call; it doubles up to the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// A router that doesn't watch the store looks this often whether it should.
const IDLE_PERIOD: Duration = Duration::from_millis(100);
/// How often a watcher makes sure that the store still answers, and how long that may take.
const PING_PERIOD: Duration = Duration::from_millis(400);
const PING_TIMEOUT: Duration = Duration::from_millis(500);
/// Changes that come close together are read by one call.
const GATHER: Duration = Duration::from_millis(300);

/// The names of what is read from the store, in logs.
const CONFIGURATION: &str = "configuration";
const UPSTREAMS: &str = "servers";

/// The store gave no usable answer.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum SourceError {
    /// It doesn't remember the revision; all has to be read again.
    #[snafu(display("the store has forgotten the history"))]
    HistoryLost,
    /// It can't be reached, or turns this router away.
    #[snafu(display("{reason}"))]
    Unavailable {
        /// What happened.
        reason: String,
    },
    /// Its answer can't be read.
    #[snafu(display("{reason}"))]
    Malformed {
        /// What is wrong, with the field's name.
        reason: String,
    },
}

/// All upstreams at a revision.
#[derive(Debug)]
pub struct UpstreamList {
    /// The upstreams.
    pub upstreams: Vec<Upstream>,
    /// The store's revision.
    pub revision: u64,
}

/// Changes of upstreams up to a revision.
#[derive(Debug)]
pub struct UpstreamChanges {
    /// The changes, in order.
    pub changes: Vec<UpstreamChange>,
    /// The store's revision.
    pub revision: u64,
}

/// The newest configuration up to a revision.
#[derive(Debug)]
pub struct ConfigurationChange {
    /// The configuration; `None` when there is none, or no new one.
    pub configuration: Option<Configuration>,
    /// The store's revision.
    pub revision: u64,
}

/// Where configuration and upstreams come from.
pub trait ConfigurationSource {
    /// Reads the configuration.
    fn read_configuration(&self) -> impl Future<Output = Result<ConfigurationChange, SourceError>>;

    /// Waits for a configuration after a revision.
    fn poll_configuration(
        &self,
        revision: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<ConfigurationChange, SourceError>>;

    /// Makes sure that the store answers, as cheaply as it allows.
    fn ping(&self, time_limit: Duration) -> impl Future<Output = Result<(), SourceError>>;

    /// Reads all upstreams.
    fn read_upstreams(&self) -> impl Future<Output = Result<UpstreamList, SourceError>>;

    /// Waits for changes of upstreams after a revision.
    fn poll_upstreams(
        &self,
        revision: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<UpstreamChanges, SourceError>>;
}

/// The pauses after failed calls.
struct Backoff {
    pause: Duration,
    /// Since when calls fail.
    lost: Rc<Cell<bool>>,
    name: &'static str,
}

/// What calls to the store have in common: whether they fail at present.
#[derive(Debug, Default)]
pub(crate) struct StoreHealth {
    configuration: Rc<Cell<bool>>,
    upstreams: Rc<Cell<bool>>,
    /// Ends watches that may never be answered.
    watch_again: Notify,
}

impl Backoff {
    fn new(name: &'static str, lost: &Rc<Cell<bool>>) -> Self {
        Self {
            pause: FIRST_PAUSE,
            lost: Rc::clone(lost),
            name,
        }
    }

    fn on_success(&mut self, router: &Router) {
        router.metrics.store_calls.count("answered");
        router.last_store_success.set(Some(Instant::now()));
        self.pause = FIRST_PAUSE;
        note_regained(router, &self.lost, self.name);
    }

    async fn after_failure(&mut self, router: &Router, error: &SourceError) {
        router.metrics.store_calls.count("failed");
        if !self.lost.replace(true) {
            log_dependency(router, "dependency.lost", self.name, &error.to_string());
        }
        let pause = jitter(&mut router.rng.borrow_mut(), self.pause);
        self.pause = (self.pause * 2).min(router.max_store_backoff(Instant::now()));
        tokio::time::sleep(pause).await;
    }
}

/// Whether it is a router's turn to call the store.
///
/// Where no watcher has a fresh word, all others would call at the same
/// moment; each waits for a part of the time in which all of them have a turn.
#[derive(Debug, Default)]
struct Turn {
    has_waited: bool,
}

impl Turn {
    /// Waits for a while; true when the store is to be called now.
    async fn has_come(&mut self, router: &Router) -> bool {
        let watcher_role = router.watcher_role.get();
        match watcher_role {
            WatcherRole::Chosen => true,
            WatcherRole::Fallback if self.has_waited => true,
            WatcherRole::Fallback => {
                self.has_waited = true;
                tokio::time::sleep(random_part(router)).await;
                false
            }
            WatcherRole::Standby => {
                self.has_waited = false;
                tokio::time::sleep(IDLE_PERIOD).await;
                false
            }
        }
    }
}

/// A random part of the longest pause between calls.
fn random_part(router: &Router) -> Duration {
    let longest = router.max_store_backoff(Instant::now());
    longest.mul_f64(router.rng.borrow_mut().f64())
}

/// Notes that the store answers again.
fn note_regained(router: &Router, lost: &Cell<bool>, name: &str) {
    if lost.replace(false) {
        log_dependency(router, "dependency.regained", name, "it answers");
    }
}

fn log_dependency(router: &Router, event: &'static str, name: &str, reason: &str) {
    router.log.info(event, &Dependency { name, reason });
}

/// Follows the configuration for as long as the process runs.
pub(crate) async fn watch_configuration(router: Rc<Router>, source: Rc<impl ConfigurationSource>) {
    let mut backoff = Backoff::new(CONFIGURATION, &router.store.configuration);
    let mut turn = Turn::default();
    let mut revision: Option<u64> = None;
    loop {
        if router.configuration().is_some() && !turn.has_come(&router).await {
            continue;
        }
        let change = match revision {
            None => source.read_configuration().await,
            Some(at) => tokio::select! {
                change = source.poll_configuration(at, WATCH_WAIT) => change,
                () = router.store.watch_again.notified() => continue,
            },
        };
        match change {
            Ok(change) => {
                backoff.on_success(&router);
                revision = Some(change.revision);
                if let Some(parts) = change.configuration {
                    apply_configuration(&router, parts, "store");
                }
            }
            Err(error) => {
                if error == SourceError::HistoryLost {
                    revision = None;
                }
                backoff.after_failure(&router, &error).await;
            }
        }
    }
}

/// Takes over a configuration if it is newer.
pub(crate) fn apply_configuration(router: &Router, parts: Configuration, from: &str) {
    let version = parts.version;
    if router.set_configuration(parts) {
        router.state_changed.notify_one();
        log_version(router, CONFIGURATION, version, from);
    }
}

/// Takes over a whole list of upstreams if it isn't older.
pub(crate) fn apply_upstream_list(router: &Router, list: UpstreamList, from: &str) {
    let revision = list.revision;
    let applied = {
        let mut table = router.upstreams.borrow_mut();
        table.apply_list(list.upstreams, revision, Instant::now())
    };
    if applied {
        router.upstreams_known.set(true);
        log_version(router, UPSTREAMS, revision, from);
    }
}

fn log_version(router: &Router, what: &str, version: u64, from: &str) {
    let line = VersionTaken {
        what,
        version,
        from,
    };
    router.log.info("version.taken", &line);
}

/// Follows the list of upstreams for as long as the process runs.
pub(crate) async fn watch_upstreams(router: Rc<Router>, source: Rc<impl ConfigurationSource>) {
    let mut backoff = Backoff::new(UPSTREAMS, &router.store.upstreams);
    let mut turn = Turn::default();
    let mut revision: Option<u64> = None;
    loop {
        if router.upstreams_known.get() {
            if !turn.has_come(&router).await {
                continue;
            }
            // Peers may have told more than the last watch did.
            revision = revision.map(|at| at.max(router.upstreams.borrow().revision()));
        }
        let done = match revision {
            None => source.read_upstreams().await.map(|list| {
                let at = list.revision;
                apply_upstream_list(&router, list, "store");
                at
            }),
            Some(at) => {
                let change = tokio::select! {
                    change = source.poll_upstreams(at, WATCH_WAIT) => change,
                    () = router.store.watch_again.notified() => continue,
                };
                change.map(|change| apply_change(&router, change))
            }
        };
        match done {
            Ok(at) => {
                backoff.on_success(&router);
                revision = Some(at);
                tokio::time::sleep(GATHER).await;
            }
            Err(error) => {
                if error == SourceError::HistoryLost {
                    revision = None;
                }
                backoff.after_failure(&router, &error).await;
            }
        }
    }
}

fn apply_change(router: &Router, change: UpstreamChanges) -> u64 {
    let at = change.revision;
    if !change.changes.is_empty() {
        let count = change.changes.len();
        apply_upstream_changes(router, change, &format!("store, {count} changes"));
    }
    at
}

/// Takes over changes of upstreams if they are new.
pub(crate) fn apply_upstream_changes(router: &Router, change: UpstreamChanges, from: &str) {
    let revision = change.revision;
    let applied = {
        let mut table = router.upstreams.borrow_mut();
        table.apply_changes(change.changes, revision, Instant::now())
    };
    if applied {
        router.state_changed.notify_one();
        log_version(router, UPSTREAMS, revision, from);
    }
}

/// Makes sure that the store still answers while a watch waits, for as long as the process runs.
pub(crate) async fn ping_store(router: Rc<Router>, source: Rc<impl ConfigurationSource>) {
    let mut is_silent = false;
    loop {
        tokio::time::sleep(PING_PERIOD).await;
        if !is_ping_due(&router) {
            continue;
        }
        match source.ping(PING_TIMEOUT).await {
            Ok(()) => {
                if std::mem::take(&mut is_silent) {
                    // A silent store may have swallowed the watches, too.
                    router.store.watch_again.notify_waiters();
                }
                router.metrics.store_calls.count("ping-answered");
                router.last_store_success.set(Some(Instant::now()));
                note_regained(&router, &router.store.configuration, CONFIGURATION);
                note_regained(&router, &router.store.upstreams, UPSTREAMS);
            }
            Err(error) => {
                router.metrics.store_calls.count("ping-failed");
                if !std::mem::replace(&mut is_silent, true) {
                    log_dependency(&router, "store.silent", "ping", &error.to_string());
                }
            }
        }
    }
}

/// A chosen watcher always pings; any other one only a store that answers its calls.
fn is_ping_due(router: &Router) -> bool {
    let health = &router.store;
    match router.watcher_role.get() {
        WatcherRole::Chosen => true,
        WatcherRole::Fallback => !health.configuration.get() && !health.upstreams.get(),
        WatcherRole::Standby => false,
    }
}
