//! How long a successor may get requests that the platform's list does not contain yet.
//!
//! - **Question.** A successor of a dead upstream was found ([`crate::successor`]) and has no entry in the list. Until when
//!   does it get requests?
//! - **Inputs.** Whether the store is reachable for this router or a peer, and the versions of the list that come without
//!   the upstream, each with its time.
//! - **Answer.** Whether it counts as removed, from the functions of `NotYetListed` that record the inputs.
//! - **Why.** A store that is reachable lists a running upstream soon. After an outage,
//!   upstreams need some time to register again.
//!
//! Owns the record of one upstream; the table of upstreams has one for each.

use crate::suspicion::{RELIST_WINDOW, UNLISTED_PERIOD};
use std::time::Instant;

/// Marks an upstream that a router uses although the platform's list does not contain it yet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
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
}
