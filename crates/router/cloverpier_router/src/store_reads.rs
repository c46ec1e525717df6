//! Reads of newer versions from the platform's store by a router whose peers don't deliver them.
//!
//! `cloverpier_router_policy::overdue_version` decides when, and [`crate::peer_fetch`] calls. Routers that watch the store
//! read it in [`crate::store_sync`]. Owns no state.

use crate::list_confirmation::{on_list_confirmed, poll_list};
use crate::rollout_store::read_orders;
use crate::router::Router;
use crate::source::{ConfigurationSource, SourceError};
use crate::store_list::read_list;
use crate::store_sync::{FROM_STORE, apply_from_store};
use crate::store_view::WatchedData;
use crate::upstream_updates::apply_upstream_list;
use std::time::Duration;

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

/// Reads the changes since the list in force, or the whole list if the store does not have these changes any more.
async fn read_upstreams(
    router: &Router,
    source: &impl ConfigurationSource,
) -> Result<(), SourceError> {
    if router.exposure_bounds().is_some() {
        // A router that has a new version's upstreams must already limit the requests that go there.
        read_orders(router, source).await?;
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
        on_list_confirmed(router, sent_at);
        apply_upstream_list(router, list, FROM_STORE);
    }
    Ok(())
}
