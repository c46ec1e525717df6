//! Reads of newer versions from the platform's store by a router whose peers don't deliver them.
//!
//! `cloverpier_router_policy::overdue_version` decides when, and [`crate::peer_fetch`] calls. Routers that watch the store
//! read it in [`crate::store_sync`]. Owns no state.

use crate::gossip::broadcast_upstream_changes;
use crate::list_confirmation::{on_list_confirmed, poll_list};
use crate::rollout_store::read_orders;
use crate::router::Router;
use crate::source::{ConfigurationSource, SourceError, UpstreamList};
use crate::store_list::read_list;
use crate::store_sync::{FROM_STORE, apply_from_store};
use crate::store_view::WatchedData;
use crate::upstream_updates::apply_upstream_list;
use std::time::{Duration, Instant};

/// Reads the configuration or the changes of upstreams from the store, and applies what is newer.
///
/// # Errors
///
/// [`SourceError`] if a call to the store failed.
pub(crate) async fn read_newer(
    router: &Router,
    source: &impl ConfigurationSource,
    watched: WatchedData,
) -> Result<(), SourceError> {
    match watched {
        WatchedData::Configuration => read_configuration(router, source).await,
        WatchedData::Upstreams => read_upstreams(router, source).await,
    }
}

async fn read_configuration(
    router: &Router,
    source: &impl ConfigurationSource,
) -> Result<(), SourceError> {
    let change = source.read_configuration().await?;
    if let Some(configuration) = change.configuration {
        apply_from_store(router, configuration).await;
    }
    Ok(())
}

/// Reads the list of upstreams. In a large fleet, only the changes since the list in force: many routers may read at once, and
/// the store's link does not carry so many copies.
async fn read_upstreams(
    router: &Router,
    source: &impl ConfigurationSource,
) -> Result<(), SourceError> {
    if router.exposure_bounds().is_some() {
        // A router that has a new version's upstreams must already limit the requests that go there.
        read_orders(router, source).await?;
    }
    if !router.peers.is_large() {
        return read_whole_list(router, source).await;
    }
    let revision = router.upstreams.borrow().revision();
    match poll_list(router, source, revision, Duration::ZERO).await {
        Err(SourceError::HistoryLost) => read_whole_list(router, source).await,
        polled => polled.map(|_| ()),
    }
}

/// Reads and applies the whole list of upstreams.
///
/// # Errors
///
/// [`SourceError`] if a call to the store failed.
pub(crate) async fn read_whole_list(
    router: &Router,
    source: &impl ConfigurationSource,
) -> Result<(), SourceError> {
    let sent_at = router.now();
    let list = read_list(router, source, None, || true).await?;
    if let Some(list) = list {
        apply_read_list(router, list, sent_at);
    }
    Ok(())
}

/// Applies a whole list that the store returned to a call which was sent at `sent_at`, unless newer changes have arrived
/// meanwhile. A list with the entries that are in force already keeps its revision, so that peers don't fetch it.
pub(crate) fn apply_read_list(router: &Router, list: UpstreamList, sent_at: Instant) {
    let table = router.upstreams.borrow();
    let former_revision = table.revision();
    let is_outdated = list.revision < former_revision;
    let is_in_force = router.store.has_upstreams() && table.has_same_entries(&list.upstreams);
    drop(table);
    if is_outdated {
        return;
    }
    if !is_in_force {
        apply_upstream_list(router, list, FROM_STORE);
        // Copies of the same revision may lack what was read.
        router.list_copies.borrow_mut().clear();
        tell_peers(router, former_revision);
    }
    on_list_confirmed(router, sent_at);
}

/// Sends peers what a reading has changed since a revision: their watches may not have told them. Those that can't be sent the
/// changes fetch them.
fn tell_peers(router: &Router, former_revision: u64) {
    let table = router.upstreams.borrow();
    let (revision, changes) = (table.revision(), table.changes_after(former_revision));
    drop(table);
    // The first list is nobody's news.
    if let Some(changes) = changes.filter(|changes| former_revision > 0 && !changes.is_empty()) {
        broadcast_upstream_changes(router, former_revision, revision, changes);
    }
    router.peers.outbox.schedule_heartbeat();
}
