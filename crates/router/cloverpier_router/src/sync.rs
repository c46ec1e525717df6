//! Keeps configuration and upstreams as new as the platform's store.

use crate::decision_log::{Dependency, VersionTaken};
use crate::front::Front;
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
pub const STORE_PATIENCE: Duration = Duration::from_millis(1_500);
/// First pause after a failed call; it doubles up to the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// A front that doesn't follow the store looks this often whether it should.
const IDLE_PERIOD: Duration = Duration::from_millis(100);
/// How often a follower makes sure that the store still answers, and how long that may take.
const PING_PERIOD: Duration = Duration::from_millis(400);
const PING_PATIENCE: Duration = Duration::from_millis(500);
/// Changes that come close together are read by one call.
const GATHER: Duration = Duration::from_millis(300);

/// The names of what is read from the store, in logs.
const CATALOG: &str = "configuration";
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
pub struct CatalogChange {
    /// The configuration; `None` when there is none, or no new one.
    pub catalog: Option<CatalogParts>,
    /// The store's revision.
    pub revision: u64,
}

/// Where configuration and upstreams come from.
pub trait ConfigurationSource {
    /// Reads the configuration.
    fn read_catalog(&self) -> impl Future<Output = Result<CatalogChange, SourceError>>;

    /// Waits for a configuration after a revision.
    fn watch_catalog(
        &self,
        revision: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<CatalogChange, SourceError>>;

    /// Makes sure that the store answers, as cheaply as it allows.
    fn ping(&self, patience: Duration) -> impl Future<Output = Result<(), SourceError>>;

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
    catalog: Rc<Cell<bool>>,
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

    fn on_success(&mut self, front: &Front) {
        front.metrics.store_calls.count("answered");
        front.store_heard.set(Some(Instant::now()));
        self.pause = FIRST_PAUSE;
        note_regained(front, &self.lost, self.name);
    }

    async fn after_failure(&mut self, front: &Front, error: &SourceError) {
        front.metrics.store_calls.count("failed");
        if !self.lost.replace(true) {
            log_dependency(front, "dependency.lost", self.name, &error.to_string());
        }
        let pause = jitter(&mut front.rng.borrow_mut(), self.pause);
        self.pause = (self.pause * 2).min(front.longest_store_pause(Instant::now()));
        tokio::time::sleep(pause).await;
    }
}

/// Whether it is a front's turn to call the store.
///
/// Where no follower has a fresh word, all others would call at the same
/// moment; each waits for a part of the time in which all of them have a turn.
#[derive(Debug, Default)]
struct Turn {
    has_waited: bool,
}

impl Turn {
    /// Waits for a while; true when the store is to be called now.
    async fn has_come(&mut self, front: &Front) -> bool {
        let following = front.following.get();
        match following {
            Following::Chosen => true,
            Following::NobodyElse if self.has_waited => true,
            Following::NobodyElse => {
                self.has_waited = true;
                tokio::time::sleep(random_part(front)).await;
                false
            }
            Following::LeftToOthers => {
                self.has_waited = false;
                tokio::time::sleep(IDLE_PERIOD).await;
                false
            }
        }
    }
}

/// A random part of the longest pause between calls.
fn random_part(front: &Front) -> Duration {
    let longest = front.longest_store_pause(Instant::now());
    longest.mul_f64(front.rng.borrow_mut().f64())
}

/// Notes that the store answers again.
fn note_regained(front: &Front, lost: &Cell<bool>, name: &str) {
    if lost.replace(false) {
        log_dependency(front, "dependency.regained", name, "it answers");
    }
}

fn log_dependency(front: &Front, event: &'static str, name: &str, reason: &str) {
    front.log.info(event, &Dependency { name, reason });
}

/// Follows the configuration for as long as the process runs.
pub(crate) async fn follow_catalog(front: Rc<Front>, source: Rc<impl ConfigurationSource>) {
    let mut backoff = Backoff::new(CATALOG, &front.store.catalog);
    let mut turn = Turn::default();
    let mut revision: Option<u64> = None;
    loop {
        if front.catalog().is_some() && !turn.has_come(&front).await {
            continue;
        }
        let change = match revision {
            None => source.read_catalog().await,
            Some(at) => tokio::select! {
                change = source.watch_catalog(at, WATCH_WAIT) => change,
                () = front.store.watch_again.notified() => continue,
            },
        };
        match change {
            Ok(change) => {
                backoff.on_success(&front);
                revision = Some(change.revision);
                if let Some(parts) = change.catalog {
                    take_catalog(&front, parts, "store");
                }
            }
            Err(error) => {
                if error == SourceError::HistoryLost {
                    revision = None;
                }
                backoff.after_failure(&front, &error).await;
            }
        }
    }
}

/// Takes over a configuration if it is newer.
pub(crate) fn take_catalog(front: &Front, parts: CatalogParts, from: &str) {
    let version = parts.version;
    if front.apply_catalog(parts) {
        front.news.notify_one();
        log_version(front, CATALOG, version, from);
    }
}

/// Takes over a whole list of upstreams if it isn't older.
pub(crate) fn apply_upstream_list(front: &Front, list: UpstreamList, from: &str) {
    let revision = list.revision;
    let applied = {
        let mut table = front.upstreams.borrow_mut();
        table.apply_list(list.upstreams, revision, Instant::now())
    };
    if applied {
        front.upstreams_known.set(true);
        log_version(front, UPSTREAMS, revision, from);
    }
}

fn log_version(front: &Front, what: &str, version: u64, from: &str) {
    let line = VersionTaken {
        what,
        version,
        from,
    };
    front.log.info("version.taken", &line);
}

/// Follows the list of upstreams for as long as the process runs.
pub(crate) async fn watch_upstreams(front: Rc<Front>, source: Rc<impl ConfigurationSource>) {
    let mut backoff = Backoff::new(UPSTREAMS, &front.store.upstreams);
    let mut turn = Turn::default();
    let mut revision: Option<u64> = None;
    loop {
        if front.upstreams_known.get() {
            if !turn.has_come(&front).await {
                continue;
            }
            // Peers may have told more than the last watch did.
            revision = revision.map(|at| at.max(front.upstreams.borrow().revision()));
        }
        let done = match revision {
            None => source.read_upstreams().await.map(|list| {
                let at = list.revision;
                apply_upstream_list(&front, list, "store");
                at
            }),
            Some(at) => {
                let change = tokio::select! {
                    change = source.poll_upstreams(at, WATCH_WAIT) => change,
                    () = front.store.watch_again.notified() => continue,
                };
                change.map(|change| apply_change(&front, change))
            }
        };
        match done {
            Ok(at) => {
                backoff.on_success(&front);
                revision = Some(at);
                tokio::time::sleep(GATHER).await;
            }
            Err(error) => {
                if error == SourceError::HistoryLost {
                    revision = None;
                }
                backoff.after_failure(&front, &error).await;
            }
        }
    }
}

fn apply_change(front: &Front, change: UpstreamChanges) -> u64 {
    let at = change.revision;
    if !change.changes.is_empty() {
        let count = change.changes.len();
        apply_upstream_changes(front, change, &format!("store, {count} changes"));
    }
    at
}

/// Takes over changes of upstreams if they are new.
pub(crate) fn apply_upstream_changes(front: &Front, change: UpstreamChanges, from: &str) {
    let revision = change.revision;
    let applied = {
        let mut table = front.upstreams.borrow_mut();
        table.apply_changes(change.changes, revision, Instant::now())
    };
    if applied {
        front.news.notify_one();
        log_version(front, UPSTREAMS, revision, from);
    }
}

/// Makes sure that the store still answers while a watch waits, for as long as the process runs.
pub(crate) async fn ping_store(front: Rc<Front>, source: Rc<impl ConfigurationSource>) {
    let mut is_silent = false;
    loop {
        tokio::time::sleep(PING_PERIOD).await;
        if !is_ping_due(&front) {
            continue;
        }
        match source.ping(PING_PATIENCE).await {
            Ok(()) => {
                if std::mem::take(&mut is_silent) {
                    // A silent store may have swallowed the watches, too.
                    front.store.watch_again.notify_waiters();
                }
                front.metrics.store_calls.count("ping-answered");
                front.store_heard.set(Some(Instant::now()));
                note_regained(&front, &front.store.catalog, CATALOG);
                note_regained(&front, &front.store.upstreams, UPSTREAMS);
            }
            Err(error) => {
                front.metrics.store_calls.count("ping-failed");
                if !std::mem::replace(&mut is_silent, true) {
                    log_dependency(&front, "store.silent", "ping", &error.to_string());
                }
            }
        }
    }
}

/// A chosen follower always pings; any other one only a store that answers its calls.
fn is_ping_due(front: &Front) -> bool {
    let health = &front.store;
    match front.following.get() {
        Following::Chosen => true,
        Following::NobodyElse => !health.catalog.get() && !health.upstreams.get(),
        Following::LeftToOthers => false,
    }
}
