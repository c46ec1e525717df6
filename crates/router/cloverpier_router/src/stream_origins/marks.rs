//! What the platform's store keeps of the software versions of services, for routers that start.
//!
//! A router that has just started has the list of upstreams and not its past. If all routers were killed at the same
//! time, no peer has the past either. So the routers that watch the store keep a record there of the versions that each
//! service has, or has had for as long as a stream may last. It is written when a version is listed for the first time, and
//! when a version has not been listed for long enough; on other days nothing is written. A router that starts takes the
//! recorded versions for listed ones, so that one listed version proves nothing while the record names another.
//!
//! Services that have had several versions have a mark besides, which releases without records rely on. Owns no state:
//! `cloverpier_router_policy::stream_version::history` has it.

use super::version_records::RecordKeeper;
use crate::decision_log::log_named_event;
use crate::router::Router;
use crate::source::{MixedServiceMarks, SourceError};
use cloverpier_core::ServiceName;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

/// How often a watcher compares marks and records with the versions that are listed, if no new version wakes it.
const MARK_PERIOD: Duration = Duration::from_millis(500);

/// Reads marks and records, unless this router has read them before. A failure is logged, and the next call reads them.
pub(crate) async fn read_marks(router: &Router, source: &impl MixedServiceMarks) {
    if router.version_history.borrow().knows_past() {
        return;
    }
    let records = match source.read_version_records().await {
        Ok(records) => records,
        Err(error) => return log_failure(router, "read", &error),
    };
    match source.read_marks().await {
        Ok(marked) => {
            let now = router.now();
            let mut history = router.version_history.borrow_mut();
            for record in records {
                history.on_versions_recorded(&record.service, record.versions, now);
            }
            history.on_marks_read(&marked, now);
        }
        Err(error) => log_failure(router, "read", &error),
    }
}

/// Writes and removes marks, and writes records, while this router watches the store, until the process ends.
pub(crate) async fn keep_marks(router: Rc<Router>, source: Rc<impl MixedServiceMarks>) {
    let mut keeper = MarkKeeper::default();
    let mut records = RecordKeeper::default();
    loop {
        tokio::select! {
            () = router.timers.sleep(MARK_PERIOD) => {}
            () = router.stream_origins.version_listed() => {}
        }
        records.observe(&router);
        if may_write(&router)
            && watches_already(&router)
            && let Err(error) = records.write(&router, &*source).await
        {
            log_failure(&router, "record", &error);
        }
        let mixed = mixed_services(&router);
        keeper.seen_mixed.extend(mixed.iter().cloned());
        if may_write(&router) {
            keeper.write(&router, &*source, &mixed).await;
        }
    }
}

/// The services of several versions whose streams callers may resume.
fn mixed_services(router: &Router) -> BTreeSet<ServiceName> {
    let history = router.version_history.borrow();
    let mixed = history.mixed_services();
    // Entries of other writers may name services that are not configured.
    let Some(configuration) = router.store.configuration() else {
        return BTreeSet::new();
    };
    let resumable = mixed.filter(|service| configuration.has_resumable_streams(service));
    resumable.cloned().collect()
}

/// The state of the task that writes marks.
#[derive(Debug, Default)]
struct MarkKeeper {
    /// Services that have had several versions, and whose marks this router has not removed yet; another router may have
    /// set them.
    seen_mixed: BTreeSet<ServiceName>,
    /// The services that this router has marked.
    marked: BTreeSet<ServiceName>,
}

impl MarkKeeper {
    async fn write(
        &mut self,
        router: &Router,
        source: &impl MixedServiceMarks,
        mixed: &BTreeSet<ServiceName>,
    ) {
        for service in mixed - &self.marked {
            match source.set_mark(&service).await {
                Ok(()) => {
                    self.marked.insert(service);
                }
                Err(error) => log_failure(router, "set", &error),
            }
        }
        for service in &self.seen_mixed - mixed {
            match source.remove_mark(&service).await {
                Ok(()) => {
                    self.seen_mixed.remove(&service);
                    self.marked.remove(&service);
                }
                Err(error) => log_failure(router, "remove", &error),
            }
        }
    }
}

/// The configured services whose streams callers may resume.
pub(super) fn resumable_services(router: &Router) -> Vec<ServiceName> {
    let Some(configuration) = router.store.configuration() else {
        return Vec::new();
    };
    let services = configuration.unindexed().services.iter();
    let resumable = services.filter(|s| configuration.has_resumable_streams(&s.name));
    resumable.map(|service| service.name.clone()).collect()
}

/// Whether the routers that watch the store have been decided since the start of this router.
fn watches_already(router: &Router) -> bool {
    router
        .store
        .watches_from()
        .is_some_and(|at| router.now() >= at)
}

/// Whether this router watches the store, reaches it, and has read the marks.
fn may_write(router: &Router) -> bool {
    let store = &router.store;
    let knows_past = router.version_history.borrow().knows_past();
    knows_past && store.role().watches() && store.is_fresh(router.now())
}

fn log_failure(router: &Router, what: &str, error: &SourceError) {
    router.metrics.store_calls.count("failed");
    let reason = format!("{what}: {error}");
    log_named_event(&router.log, "versions.unmarked", "marks", &reason);
}
