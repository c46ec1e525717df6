//! Records in the table the successors of dead upstreams, until the platform's list contains them.
//!
//! [`crate::successor`] decides which processes are successors, and [`crate::unlisted`] for how long one gets requests
//! without an entry. Owns no state besides that of [`UpstreamTable`].

use super::UpstreamTable;
use crate::unlisted::NotYetListed;
use crate::upstream::{Upstream, UpstreamState};
use cloverpier_core::UpstreamName;
use std::time::Instant;

impl UpstreamTable {
    /// Adds an upstream that took over the address of `predecessor` and that the platform's list does
    /// not contain yet.
    ///
    /// Returns false, and changes nothing, if the upstream is known already or an upstream other than
    /// `predecessor` is known at the address and not replaced.
    pub fn add_successor(&mut self, predecessor: &UpstreamName, upstream: Upstream) -> bool {
        let is_known = self.upstreams.contains_key(&upstream.name);
        let others = self.by_address.at(upstream.address).iter();
        let others = others.filter(|name| *name != predecessor);
        let mut states = others.filter_map(|name| self.upstreams.get(name));
        if is_known || states.any(|s| !s.replaced) {
            return false;
        }
        let mut state = UpstreamState::new(upstream);
        state.not_yet_listed = Some(NotYetListed::default());
        self.insert(state);
        true
    }

    /// Marks successors as removed that a reachable store has not listed for too long. To be called periodically;
    /// `is_reachable` is whether this router or a peer reaches the store at present.
    pub fn expire_unlisted(&mut self, is_reachable: bool, now: Instant) {
        for state in self.upstreams.values_mut() {
            let not_yet_listed = state.not_yet_listed.as_mut();
            if not_yet_listed.is_some_and(|mark| mark.on_store_contact(is_reachable, now)) {
                state.on_removed(false, now);
            }
        }
    }

    /// Marks successors as removed that the list still does not contain although the store has been
    /// reachable for longer than [`crate::suspicion::RELIST_WINDOW`].
    pub(super) fn delist_missing(&mut self, now: Instant) {
        for state in self.upstreams.values_mut() {
            let not_yet_listed = state.not_yet_listed.as_mut();
            if not_yet_listed.is_some_and(|mark| mark.on_list_without_upstream(now)) {
                state.on_removed(false, now);
            }
        }
    }
}
