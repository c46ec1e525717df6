//! Reads the whole list of upstreams from the platform's store, page by page.
//!
//! A read of a later page that fails because the store is unavailable is repeated for this page only. A store
//! under load, as when a whole fleet starts, rejects some of its calls; if each rejection restarted the list,
//! a list of many pages would never be complete. [`crate::page_cursor`] decides whether a list is whole, and
//! [`crate::store_sync`] when this router reads. Owns no state.

use crate::page_cursor::{PageCursor, PageStep};
use crate::router::Router;
use crate::source::{ConfigurationSource, SourceError, UpstreamList};
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
    let mut cursor = PageCursor::default();
    let mut upstreams = Vec::new();
    let mut unreadable = Vec::new();
    loop {
        let is_later = cursor.position().is_some();
        if is_later && !is_wanted() {
            return Ok(None);
        }
        let page = match source.read_upstreams(cursor.position()).await {
            Ok(page) => page,
            Err(error) => {
                let is_repeated = is_later && matches!(error, SourceError::Unavailable { .. });
                match backoff.as_mut().filter(|_| is_repeated) {
                    Some(backoff) => backoff.after_failure(router, &error).await,
                    None => return Err(error),
                }
                continue;
            }
        };
        let step = cursor.on_page(page.revision, page.next)?;
        upstreams.extend(page.upstreams);
        unreadable.extend(page.unreadable);
        if step == PageStep::Complete {
            return Ok(Some(UpstreamList {
                upstreams,
                unreadable,
                revision: cursor.revision(),
            }));
        }
    }
}
