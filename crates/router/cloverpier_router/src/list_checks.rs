//! Reads the list of upstreams from the store while nothing shows that this router's list lacks no change, and when something
//! shows that it does.
//!
//! `cloverpier_router_policy::list_evidence` decides when, and what the reports of peers show. [`ListChecks`] owns the evidence;
//! `list_confirmation` records this router's own readings. In a large fleet only the routers that watch the store read without
//! evidence, as too few of their reports reach each of the others.

use crate::decision_log::{ListDiffers, ListUnproven, log_named_event, ms_since};
use crate::list_confirmation::on_list_confirmed;
use crate::peer_messages::{ListReportMessage, PeerMessage};
use crate::router::Router;
use crate::source::ConfigurationSource;
use crate::store_reads::read_whole_list;
use crate::store_view::WatchedData;
use cloverpier_core::jitter;
use cloverpier_router_policy::list_evidence::{
    ListEvidence, ListReport, OwnList, ReportMeaning, meaning, read_spread,
};
use cloverpier_timers::Timers;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// How often a router that is not to read looks whether it is.
const IDLE_PERIOD: Duration = Duration::from_millis(500);
/// Minimum pause between two requested reads.
const REQUESTED_READ_PAUSE: Duration = Duration::from_millis(200);

/// The evidence that this router's list lacks no change.
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
    /// When the list was last shown to be complete; `None` if it never was.
    pub fn proven_at(&self) -> Option<Instant> {
        self.evidence.get()?.proven_at()
    }

    /// Records that a list was received, which counts for the first one.
    pub fn on_list_received(&self, now: Instant) {
        let evidence = self.evidence.get().unwrap_or(ListEvidence::new(now));
        self.evidence.set(Some(evidence));
    }

    /// Records that the list lacks no change before `at`.
    pub fn on_proof(&self, at: Instant) {
        self.update(at, |evidence| evidence.on_proof(at));
    }

    /// Has the list read at once, because something shows that this router may have missed changes: a peer knows of a
    /// leaving that the list does not contain, or has read another list, this process was paused, or the store has lost its
    /// history.
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
        self.update(now, |evidence| evidence.on_read(now));
    }

    fn update(&self, now: Instant, change: impl FnOnce(&mut ListEvidence)) {
        let mut evidence = self.evidence.get().unwrap_or(ListEvidence::new(now));
        change(&mut evidence);
        self.evidence.set(Some(evidence));
    }
}

/// Sends peers the report of this router's list, if this router watches the store and its list was shown to be complete.
pub(crate) fn send_report(router: &Router, peers: &[SocketAddr], now: Instant) {
    let proven_at = router.list_checks.proven_at();
    let Some(proven_at) = proven_at.filter(|_| router.store.role().watches()) else {
        return;
    };
    let age = now.saturating_duration_since(proven_at);
    let table = router.upstreams.borrow();
    let report = ListReport {
        revision: table.revision(),
        digest: table.digest(),
        read_age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
    };
    drop(table);
    let sender = router.settings().listen.peers;
    let message = PeerMessage::ListReport(ListReportMessage { sender, report });
    router.datagrams.send(&message, peers);
}

/// Applies a peer's report of its list.
pub(crate) fn on_report(router: &Router, message: &ListReportMessage, now: Instant) {
    // A report that was received during a pause of this process is older than it says.
    if router.in_step.get().is_paused(now) || !router.store.has_upstreams() {
        return;
    }
    let own = own_list(router);
    match meaning(&own, &message.report, now) {
        ReportMeaning::Complete(at) => on_list_confirmed(router, at),
        ReportMeaning::Differs => {
            log_difference(router, &own, message);
            router.list_checks.request_read();
        }
        ReportMeaning::Nothing => {}
    }
}

fn own_list(router: &Router) -> OwnList {
    let table = router.upstreams.borrow();
    OwnList {
        revision: table.revision(),
        digest: table.digest(),
        changed_at: table.changed_at(),
        proven_at: router.list_checks.proven_at(),
    }
}

fn log_difference(router: &Router, own: &OwnList, message: &ListReportMessage) {
    let line = ListDiffers {
        peer: message.sender.to_string(),
        revision: own.revision,
        peer_revision: message.report.revision,
        digest: own.digest,
        peer_digest: message.report.digest,
        read_ms_ago: message.report.read_age_ms,
    };
    router.log.info("list.differs", &line);
}

/// Reads the store whenever the evidence is too old, or a read is requested, until the process ends.
pub(crate) async fn check_list(router: Rc<Router>, source: Rc<impl ConfigurationSource>) {
    loop {
        // A router that does not read now looks again later.
        let due = read_at(&router).unwrap_or(router.now() + IDLE_PERIOD);
        tokio::select! {
            () = router.timers.sleep_until(due) => read_if_unproven(&router, &*source).await,
            () = router.list_checks.read_requested.notified() => {
                read(&router, &*source).await;
                router.timers.sleep(REQUESTED_READ_PAUSE).await;
            }
        }
    }
}

/// When this router reads the store if no evidence arrives before; `None` if it does not read without evidence.
fn read_at(router: &Router) -> Option<Instant> {
    let watches = router.store.role().watches();
    let reads = router.store.is_serving() && (watches || !router.peers.is_large());
    let evidence = router.list_checks.evidence.get().filter(|_| reads)?;
    Some(evidence.read_at(watches, router.upstreams.borrow().len()))
}

fn is_unproven(router: &Router) -> bool {
    read_at(router).is_some_and(|at| router.now() >= at)
}

/// Reads the list, unless evidence has arrived meanwhile.
async fn read_if_unproven(router: &Router, source: &impl ConfigurationSource) {
    if !is_unproven(router) {
        return;
    }
    // Other routers lack evidence since the same moment.
    let spread = read_spread(router.store.role().watches());
    let spread = jitter(&mut router.rng.borrow_mut(), spread);
    router.timers.sleep(spread).await;
    if is_unproven(router) {
        if !router.store.role().watches() {
            log_unproven(router);
        }
        read(router, source).await;
    }
}

/// Reads the list, once this router serves.
async fn read(router: &Router, source: &impl ConfigurationSource) {
    if !router.store.is_serving() {
        return;
    }
    router.list_checks.on_read(router.now());
    if let Err(error) = read_whole_list(router, source).await {
        let what = WatchedData::Upstreams.name();
        log_named_event(&router.log, "version.unread", what, &error.to_string());
    }
    router.list_checks.read_ended.notify_waiters();
    // The others that watch need not read as well.
    let now = router.now();
    let watchers = router.peers.watchers(now, router.peer_timeout());
    send_report(router, &watchers, now);
}

fn log_unproven(router: &Router) {
    let proven_at = router.list_checks.proven_at();
    let line = ListUnproven {
        revision: router.upstreams.borrow().revision(),
        proven_ms_ago: proven_at.map(|at| ms_since(at, router.now())),
    };
    router.log.info("list.unproven", &line);
}
