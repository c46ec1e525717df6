//! The revision from which a watch of the store continues.
//!
//! - **Question.** After which revision does the next watch ask for changes?
//! - **Inputs.** The revisions of the store's responses, with or without changes, and when they arrived.
//! - **Result.** A revision.
//! - **Why.** A response with changes, or a whole list, counts as the content of all revisions up to its own; readings of the
//!   list ([`crate::list_evidence`]) bring what such a response left out. A response without
//!   changes has none, and its revision proves nothing: a watch that the store did not wake ends with the store's present
//!   revision and without the changes below it. A watch from that revision would never return them. So the position follows
//!   such responses [`EMPTY_RESPONSE_LAG`] behind: until then, each further watch asks for the same changes again.
//!
//! [`WatchPosition`] owns the state of one watch.

use std::time::{Duration, Instant};

/// How long the position stays at a revision with content while responses without changes name later ones: longer than a
/// store fails to wake its watches, and well within the history that it keeps (20 s).
pub const EMPTY_RESPONSE_LAG: Duration = Duration::from_secs(5);

/// The position of one watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchPosition {
    after: u64,
    /// The revision of a response without changes, and when it arrived.
    empty: Option<(u64, Instant)>,
}

impl WatchPosition {
    /// The position after content of all revisions up to `revision`.
    pub fn after_content(revision: u64) -> Self {
        Self {
            after: revision,
            empty: None,
        }
    }

    /// The revision after which the next watch asks for changes.
    pub fn after(&self) -> u64 {
        self.after
    }

    /// Records a response without changes.
    pub fn on_no_changes(&mut self, revision: u64, now: Instant) {
        let (passed, since) = *self.empty.get_or_insert((revision, now));
        if now.saturating_duration_since(since) >= EMPTY_RESPONSE_LAG {
            self.after = self.after.max(passed);
            self.empty = Some((revision, now));
        }
    }

    /// Records that the content of all revisions up to `revision` is known, from any source.
    pub fn on_content(&mut self, revision: u64) {
        if revision > self.after {
            *self = Self::after_content(revision);
        }
    }
}
