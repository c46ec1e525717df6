//! Confirms with the store that this router's list of upstreams is recent.
//!
//! A recent list with one version of a service proves which version began its streams; a list that peers delivered
//! may be out of date. Owns no state: `store_view` has the time of the last
//! confirmation.

use crate::decision_log::{WatchAnswered, log_named_event, ms_since};
use crate::gossip::broadcast_upstream_changes;
use crate::router::Router;
use crate::source::{ConfigurationSource, MixedServiceMarks, SourceError, UpstreamChanges};
use crate::store_reads::read_whole_list;
use crate::store_view::WatchedData;
use crate::stream_origins::marks::read_marks;
use crate::upstream_updates::{apply_upstream_changes, readable_changes};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Polls the store for changes since a revision and applies them. `wait` is how long the store may delay its response until
/// there is a change. The response does not show that the list is complete.
pub(crate) async fn poll_list(
    router: &Router,
    source: &impl ConfigurationSource,
    revision: u64,
    wait: Duration,
) -> Result<Polled, SourceError> {
    let sent_at = router.now();
    let changes = source.poll_upstreams(revision, wait).await?;
    let line = WatchAnswered {
        name: WatchedData::Upstreams.name(),
        after: revision,
        revision: changes.revision,
        changes: changes.changes.len(),
        waited_ms: ms_since(sent_at, router.now()),
    };
    router.log.info("watch.answered", &line);
    Ok(apply_changes(router, changes))
}

/// Records that the list of upstreams lacks no change before `at`.
pub(crate) fn on_list_confirmed(router: &Router, at: Instant) {
    router.store.on_list_confirmed(at);
    router.list_checks.on_proof(at);
}

/// The result of a poll or a read of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Polled {
    /// Changes, or a whole list: the content of all revisions up to this one is in force.
    Content(u64),
    /// No changes, and the store's revision.
    NoChanges(u64),
}

impl Polled {
    /// The result of a response with or without content.
    pub fn new(has_content: bool, revision: u64) -> Self {
        if has_content {
            Self::Content(revision)
        } else {
            Self::NoChanges(revision)
        }
    }

    /// The store's revision.
    pub fn revision(self) -> u64 {
        match self {
            Self::Content(revision) | Self::NoChanges(revision) => revision,
        }
    }
}

/// Reads the marks of mixed services and confirms the list, unless both have been done before.
pub(crate) async fn confirm_first_list(
    router: &Router,
    source: &(impl ConfigurationSource + MixedServiceMarks),
) {
    read_marks(router, source).await;
    if router.store.list_confirmed_at().is_none() {
        confirm_list(router, source).await;
    }
    router.store.set_confirming(false);
}

/// Confirms the list whenever a lookup of a stream's version requests it, until the process ends. The routers that watch
/// the store confirm theirs periodically, but all of them may be down.
pub(crate) async fn confirm_on_request(
    router: Rc<Router>,
    source: Rc<impl ConfigurationSource + MixedServiceMarks>,
) {
    loop {
        router.store.confirmation_requested().await;
        read_marks(&router, &*source).await;
        confirm_list(&router, &*source).await;
        router.store.set_confirming(false);
    }
}

async fn confirm_list(router: &Router, source: &impl ConfigurationSource) {
    if let Err(error) = read_whole_list(router, source).await {
        // The next read reports the failure if it lasts.
        let reason = error.to_string();
        log_named_event(&router.log, "list.unconfirmed", "servers", &reason);
    }
}

/// Applies the changes that a watch returned, and sends them to peers.
fn apply_changes(router: &Router, changes: UpstreamChanges) -> Polled {
    let revision = changes.revision;
    let count = changes.changes.len();
    let polled = Polled::new(count > 0, revision);
    if count == 0 {
        return polled;
    }
    let from = format!("store, {count} changes");
    let current_revision = router.upstreams.borrow().revision();
    let readable = readable_changes(&changes);
    apply_upstream_changes(router, changes, &from);
    // In a small fleet the others that watch hear the same. If peers can't be sent the changes, they are notified of the
    // revision and fetch the changes.
    if !router.peers.is_large()
        || !broadcast_upstream_changes(router, current_revision, revision, readable)
    {
        router.peers.outbox.schedule_heartbeat();
    }
    polled
}
