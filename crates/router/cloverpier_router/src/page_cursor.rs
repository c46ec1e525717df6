//! Pagination of the lists in the platform's store.
//!
//! A list is complete only after the last page was read. If a page points to a position that was read before, the store or a
//! proxy has misread a position, and the list would never end. [`PageCursor`] owns the positions of the pages read so far.

use crate::source::{PagePosition, SourceError};
use std::collections::HashSet;

/// The next step after a page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PageStep {
    /// Read the page at [`PageCursor::position`].
    Continue,
    /// The page was the last one.
    Complete,
}

/// The position in a paginated list; the default is before the first page.
#[derive(Clone, Debug, Default)]
pub struct PageCursor {
    revision: u64,
    position: Option<PagePosition>,
    former: HashSet<PagePosition>,
}

impl PageCursor {
    /// The position of the next page to read; `None` for the first page.
    pub fn position(&self) -> Option<&PagePosition> {
        self.position.as_ref()
    }

    /// The store's revision of the first page; 0 before the first page was read. A watch from this revision also returns the
    /// changes that were made while the other pages were read.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Records a page that was read at `revision`. `next` is the position of the page after it, `None` on the last page.
    ///
    /// # Errors
    ///
    /// [`SourceError::HistoryLost`] if the page is older than the first page, which shows that the store was restored from an
    /// older state. [`SourceError::Malformed`] if `next` was read before.
    pub fn on_page(
        &mut self,
        revision: u64,
        next: Option<PagePosition>,
    ) -> Result<PageStep, SourceError> {
        if self.position.is_none() {
            self.revision = revision;
        }
        if revision < self.revision {
            return Err(SourceError::HistoryLost);
        }
        let Some(next) = next else {
            return Ok(PageStep::Complete);
        };
        if !self.former.insert(next.clone()) {
            let reason = format!("the list repeats the page after {:?}", next.0);
            return Err(SourceError::Malformed { reason });
        }
        self.position = Some(next);
        Ok(PageStep::Continue)
    }
}
