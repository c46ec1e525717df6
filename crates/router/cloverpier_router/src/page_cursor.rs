//! Follows a list of the platform's store from page to page, to its end.
//!
//! A list is whole only once its last page was read. A page after which the list would go on where it went on before leads
//! nowhere: the store, or a proxy before it, took the position for another one. [`PageCursor`] owns the positions that it
//! was given.

use crate::source::{PagePosition, SourceError};
use std::collections::HashSet;

/// What follows after a page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PageStep {
    /// The page at [`PageCursor::position`] is to be read next.
    Continue,
    /// The list is whole.
    Complete,
}

/// The place in a list that is read page by page; the default is before the first page.
#[derive(Clone, Debug, Default)]
pub struct PageCursor {
    revision: u64,
    position: Option<PagePosition>,
    former: HashSet<PagePosition>,
}

impl PageCursor {
    /// Where the page begins that is to be read; `None` for the first page.
    pub fn position(&self) -> Option<&PagePosition> {
        self.position.as_ref()
    }

    /// The store's revision of the first page; 0 before it was read. A watch from this revision also returns the changes that
    /// were made while the other pages were read.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Moves on after a page that was read at a revision; `next` is where it says that the next one begins, `None` on the
    /// last page.
    ///
    /// # Errors
    ///
    /// [`SourceError::HistoryLost`] if the page is older than the first one, which shows that the store was restored from an
    /// older state. [`SourceError::Malformed`] if the list does not go on.
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
            let reason = format!("the list does not go on after {:?}", next.0);
            return Err(SourceError::Malformed { reason });
        }
        self.position = Some(next);
        Ok(PageStep::Continue)
    }
}
