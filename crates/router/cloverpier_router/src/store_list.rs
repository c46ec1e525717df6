//! Reads the whole list of upstreams from the platform's store, page by page.
//!
//! A page that cannot be had is asked for again: a store that turns away a part of its calls, as at a
//! start of a whole fleet, would never give a list of many pages if each of them began it anew. Who reads,
//! and when, is decided in [`crate::store_sync`]. Owns nothing.

use crate::router::Router;
use crate::source::{
    ConfigurationSource, Freshness, PagePosition, SourceError, UpstreamList, UpstreamPage,
};
use crate::store_sync::Backoff;

/// Reads the list; `None` if it is not wanted any more, as a peer has handed it on.
///
/// # Errors
///
/// [`SourceError`] where it has to be read from its beginning.
pub(crate) async fn read_list(
    router: &Router,
    source: &impl ConfigurationSource,
    freshness: Freshness,
    backoff: &mut Backoff,
    is_wanted: impl Fn() -> bool,
) -> Result<Option<UpstreamList>, SourceError> {
    let first = source.read_upstreams(freshness, None).await?;
    let mut list = UpstreamList {
        upstreams: first.upstreams,
        unreadable: first.unreadable,
        // Changes since the first page are read by the watch that follows.
        revision: first.revision,
    };
    let mut next = first.next;
    while let Some(at) = next {
        if !is_wanted() {
            return Ok(None);
        }
        match source.read_upstreams(freshness, Some(&at)).await {
            Ok(page) => next = append(&mut list, page)?,
            Err(error @ SourceError::Unavailable { .. }) => {
                backoff.after_failure(router, &error).await;
                next = Some(at);
            }
            Err(error) => return Err(error),
        }
    }
    Ok(Some(list))
}

/// Appends a page; returns where the next one begins.
fn append(
    list: &mut UpstreamList,
    page: UpstreamPage,
) -> Result<Option<PagePosition>, SourceError> {
    // The store has returned in an older state.
    if page.revision < list.revision {
        return Err(SourceError::HistoryLost);
    }
    list.upstreams.extend(page.upstreams);
    list.unreadable.extend(page.unreadable);
    Ok(page.next)
}
