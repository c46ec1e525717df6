//! Reads changes of upstreams from the store while nobody shows that this router's list is the newest, and the whole list
//! when something shows that it is not.
//!
//! `cloverpier_router_policy::list_evidence` decides when. [`ListChecks`] owns the evidence; `list_confirmation` and
//! `peer_reports` record it. Routers of a large fleet only do the latter: too few reports of watchers reach each of
//! them to count as evidence.

use crate::decision_log::{ListUnproven, log_named_event, ms_since};
use crate::router::Router;
use crate::source::{ConfigurationSource, SourceError};
use crate::store_reads::{read_newer, read_whole_list};
use crate::store_view::WatchedData;
use cloverpier_core::jitter;
use cloverpier_router_policy::list_evidence::{ListEvidence, READ_SPREAD, is_proof};
use cloverpier_timers::Timers;
use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// How often a router that is not to read looks whether it is.
const IDLE_PERIOD: Duration = Duration::from_millis(500);
/// Minimum pause between two requested reads.
const REQUESTED_READ_PAUSE: Duration = Duration::from_millis(200);

/// The evidence that this router's list is the newest.
#[derive(Debug, Default)]
pub(crate) struct ListChecks {
    /// `None` before the first list.
    evidence: Cell<Option<ListEvidence>>,
    /// Wakes the task for a read without a wait.
    read_requested: Notify,
    /// Wakes what waits for the end of a read.
    read_ended: Notify,
}

impl ListChecks {
    /// When the list was last shown to be the newest; `None` before the first list.
    pub fn proven_at(&self) -> Option<Instant> {
        self.evidence.get().map(|evidence| evidence.proven_at())
    }

    /// Records that the list was shown to be the newest at `at`.
    pub fn on_proof(&self, at: Instant) {
        // The first proof begins the evidence.
        let mut evidence = self.evidence.get().unwrap_or(ListEvidence::new(at));
        evidence.on_proof(at);
        self.evidence.set(Some(evidence));
    }

    /// Has the whole list read at once, because something shows that this router may have missed changes: a peer knows of a
    /// leaving that the list does not contain, or the store has lost its history.
    pub fn request_read(&self) {
        self.read_requested.notify_one();
    }

    /// Has the store read at once, and waits until a read has ended, with or without success; for `timeout` at most.
    pub async fn wait_for_read(&self, timers: &Timers, timeout: Duration) {
        let ended = self.read_ended.notified();
        self.request_read();
        // After the timeout, the list stays what it is.
        let _ = timers.timeout(timeout, ended).await;
    }

    fn on_read(&self, now: Instant) {
        // A read may be requested before the first proof.
        let mut evidence = self.evidence.get().unwrap_or(ListEvidence::new(now));
        evidence.on_read(now);
        self.evidence.set(Some(evidence));
    }
}

/// Records what a peer's heartbeat shows of this router's list.
pub(crate) fn on_peer_report(
    router: &Router,
    store_age: Option<Duration>,
    revision: u64,
    now: Instant,
) {
    let own_revision = router.upstreams.borrow().revision();
    if is_proof(store_age, revision, own_revision) {
        router.list_checks.on_proof(now);
    }
}

/// Reads the store whenever the evidence is too old, or a read is requested, until the process ends.
pub(crate) async fn check_list(router: Rc<Router>, source: Rc<impl ConfigurationSource>) {
    loop {
        // A router that does not read now looks again later.
        let due = read_at(&router).unwrap_or(router.now() + IDLE_PERIOD);
        tokio::select! {
            () = router.timers.sleep_until(due) => read_if_unproven(&router, &*source).await,
            () = router.list_checks.read_requested.notified() => {
                // Not the changes alone: a store that has lost its history may name none.
                carry_out(&router, read_whole_list(&router, &*source)).await;
                router.timers.sleep(REQUESTED_READ_PAUSE).await;
            }
        }
    }
}

/// When this router reads the store if no evidence arrives before; `None` if it does not read without evidence.
fn read_at(router: &Router) -> Option<Instant> {
    let reads = router.store.is_serving() && !router.peers.is_large();
    let evidence = router.list_checks.evidence.get().filter(|_| reads);
    evidence.map(|evidence| evidence.read_at(router.store.role().watches()))
}

fn is_unproven(router: &Router) -> bool {
    read_at(router).is_some_and(|at| router.now() >= at)
}

/// Reads the changes, unless evidence has arrived meanwhile.
async fn read_if_unproven(router: &Router, source: &impl ConfigurationSource) {
    if !is_unproven(router) {
        return;
    }
    // Other routers lack evidence since the same moment.
    let spread = jitter(&mut router.rng.borrow_mut(), READ_SPREAD);
    router.timers.sleep(spread).await;
    if is_unproven(router) {
        log_unproven(router);
        carry_out(router, read_newer(router, source, WatchedData::Upstreams)).await;
    }
}

/// Carries out a read of the store, once this router serves.
async fn carry_out(router: &Router, read: impl Future<Output = Result<(), SourceError>>) {
    if !router.store.is_serving() {
        return;
    }
    router.list_checks.on_read(router.now());
    if let Err(error) = read.await {
        let what = WatchedData::Upstreams.name();
        log_named_event(&router.log, "version.unread", what, &error.to_string());
    }
    router.list_checks.read_ended.notify_waiters();
}

fn log_unproven(router: &Router) {
    let proven_at = router.list_checks.proven_at();
    let line = ListUnproven {
        revision: router.upstreams.borrow().revision(),
        proven_ms_ago: proven_at.map(|at| ms_since(at, router.now())),
    };
    router.log.info("list.unproven", &line);
}
