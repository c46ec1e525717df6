//! How long an upstream may get requests that the platform's list does not contain yet.
//!
//! - **Question.** A successor was found at a dead upstream's address ([`crate::successor`]) and has no entry. Does it get
//!   requests, and when does it count as removed?
//! - **Inputs.** Whether the store is reachable for this router or a peer, and the versions of the list that come without
//!   the upstream, each with its time.
//! - **Answer.** [`NotYetListed::may_serve`], and the results of the functions that record the inputs.
//! - **Why.** A store that is reachable lists a running upstream soon, so that nothing has to be assumed. After an outage,
//!   upstreams need some time to register again.
//!
//! Owns the record of one upstream; the table of upstreams has one for each.

use crate::suspicion::{RELIST_WINDOW, UNLISTED_PERIOD};
use std::time::Instant;

/// Marks an upstream that the platform's list does not contain yet. It gets requests only if the store was unreachable at
/// some time since it was found: otherwise the store lists it soon, and nothing has to be assumed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NotYetListed {
    /// When the first list version without the upstream arrived. From then on the store is
    /// reachable and the upstream is expected to register.
    missing_since: Option<Instant>,
    /// Since when the store has been reachable without a break, as far as was seen; `None` while it is not.
    reachable_since: Option<Instant>,
    /// Whether the store was unreachable at some time since the upstream was found.
    was_away: bool,
}

impl NotYetListed {
    /// Marks an upstream that is found now. `is_away` is whether the store is unreachable at present.
    pub fn new(is_away: bool) -> Self {
        Self {
            missing_since: None,
            reachable_since: None,
            was_away: is_away,
        }
    }

    /// Records a list version that does not contain the upstream.
    ///
    /// Returns whether the upstream counts as removed: a running upstream registers within
    /// [`RELIST_WINDOW`] of the end of a store outage.
    pub fn on_list_without_upstream(&mut self, now: Instant) -> bool {
        let since = *self.missing_since.get_or_insert(now);
        now.saturating_duration_since(since) > RELIST_WINDOW
    }

    /// Records whether the store is reachable at present. Returns whether the upstream counts as removed: a reachable
    /// store lists a running upstream soon, and one whose entry came and went unseen is never listed again.
    pub fn on_store_contact(&mut self, is_reachable: bool, now: Instant) -> bool {
        if !is_reachable {
            self.was_away = true;
            self.reachable_since = None;
            return false;
        }
        let since = *self.reachable_since.get_or_insert(now);
        let allowed = if self.was_away {
            RELIST_WINDOW
        } else {
            UNLISTED_PERIOD
        };
        now.saturating_duration_since(since) > allowed
    }

    /// Whether the upstream may get requests without an entry.
    pub fn may_serve(&self) -> bool {
        self.was_away
    }
}
