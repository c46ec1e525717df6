//! Reads the whole list of upstreams from the platform's store, page by page.
//!
//! A read of a later page that fails because the store is unavailable is repeated for this page only. A store
//! under load, as when a whole fleet starts, rejects some of its calls; if each rejection restarted the list,
//! a list of many pages would never be complete. [`crate::store_sync`] decides when this router reads. Owns
//! no state.

use crate::router::Router;
use crate::source::{ConfigurationSource, PagePosition, SourceError, UpstreamList, UpstreamPage};
use crate::store_sync::Backoff;

/// Reads the list. Without a `backoff`, a later page is not read again after a failure. Returns `None` if `is_wanted` becomes false before the last page, as when a peer has
/// delivered the list.
///
/// # Errors
///
/// [`SourceError`] if the first page can't be read, if the list has to be read again from its first page, or, without a
/// `backoff`, if any page can't be read.
pub(crate) async fn read_list(
    router: &Router,
    source: &impl ConfigurationSource,
    mut backoff: Option<&mut Backoff>,
    is_wanted: impl Fn() -> bool,
) -> Result<Option<UpstreamList>, SourceError> {
    let first = source.read_upstreams(None).await?;
    let mut list = UpstreamList {
        upstreams: first.upstreams,
        unreadable: first.unreadable,
        // The watch that follows starts here, and returns all changes since the first page.
        revision: first.revision,
    };
    let mut next = first.next;
    while let Some(at) = next {
        if !is_wanted() {
            return Ok(None);
        }
        match source.read_upstreams(Some(&at)).await {
            Ok(page) => next = append(&mut list, page)?,
            Err(error) => {
                let is_repeated = matches!(error, SourceError::Unavailable { .. });
                match backoff.as_mut().filter(|_| is_repeated) {
                    Some(backoff) => backoff.after_failure(router, &error).await,
                    None => return Err(error),
                }
                next = Some(at);
            }
        }
    }
    Ok(Some(list))
}

/// Appends a page; returns the position of the next one, or `None` after the last.
fn append(
    list: &mut UpstreamList,
    page: UpstreamPage,
) -> Result<Option<PagePosition>, SourceError> {
    // A page with an older revision shows that the store was restored from an older state.
    if page.revision < list.revision {
        return Err(SourceError::HistoryLost);
    }
    list.upstreams.extend(page.upstreams);
    list.unreadable.extend(page.unreadable);
    Ok(page.next)
}
