//! The lists of engines that the routers of the play have, and what the store confirms of them.

use super::routers::{DETECTION, SMALL_FLEET};
use super::world::{Event, LEAD, World};
use cloverpier_core::ServiceName;
use cloverpier_router_policy::store_watch::{UPSTREAM_WATCH_PAUSE, WATCH_WAIT};
use std::time::Duration;

/// Number of routers that watch the store.
pub(super) const WATCHERS: usize = 3;
/// From a watcher to the other routers, at most; in large fleets a message is passed on several times.
const SPREAD_MS: [u64; 2] = [250, 900];

impl World {
    /// The routers that watch the store: the first ones that are not known to be dead and reach it.
    pub(super) fn watchers(&self) -> Vec<usize> {
        let may_watch = |index: &usize| {
            let router = &self.routers[*index];
            let is_known = match router.started {
                Some(_) => true,
                None => self.now < router.ended + DETECTION,
            };
            is_known && !router.is_cut_from_store
        };
        (0..self.routers.len())
            .filter(may_watch)
            .take(WATCHERS)
            .collect()
    }

    /// Whether a router knows of a watcher that reaches the store.
    pub(super) fn has_contact(&self, index: usize) -> bool {
        let router = &self.routers[index];
        if self.is_store_away {
            return false;
        }
        !router.is_cut_from_peers || !router.is_cut_from_store
    }

    /// Has a changed list reach all routers that can hear of it.
    pub(super) fn announce_list(&mut self) {
        let watchers = self.watchers();
        let most = SPREAD_MS[usize::from(self.spec.routers >= SMALL_FLEET)];
        for router in 0..self.routers.len() {
            // What arrives is the newest list at that moment.
            if std::mem::replace(&mut self.routers[router].is_list_coming, true) {
                continue;
            }
            let pause = UPSTREAM_WATCH_PAUSE.as_millis() as u64;
            let mut delay = self.ms_between(5, pause);
            if !watchers.contains(&router) {
                delay += self.ms_between(1, most);
            }
            self.schedule_in(delay, Event::ListArrives { router });
        }
    }

    pub(super) fn on_list_arrival(&mut self, router: usize) {
        self.routers[router].is_list_coming = false;
        self.apply_newest_list(router);
    }

    /// The revision of the newest list that a router can have now, from the store or from a peer.
    fn reachable_list(&self, index: usize) -> bool {
        let router = &self.routers[index];
        let from_store = !router.is_cut_from_store && !self.is_store_away;
        let from_peers = !router.is_cut_from_peers && !self.is_store_away;
        // Before the first stream, nothing is harmed.
        from_store || from_peers || self.now < LEAD
    }

    pub(super) fn apply_newest_list(&mut self, index: usize) {
        if !self.is_running(index) || self.routers[index].is_suspended {
            return;
        }
        if !self.reachable_list(index) {
            let later = Duration::from_millis(300);
            self.schedule_in(later, Event::ListArrives { router: index });
            return;
        }
        if self.routers[index].table.revision() == self.revision {
            return;
        }
        let now = self.instant();
        let router = &mut self.routers[index];
        router
            .table
            .apply_list(self.listed.clone(), self.revision, now);
        self.record_versions(index);
    }

    /// Updates what a router knows of versions from its list.
    pub(super) fn record_versions(&mut self, index: usize) {
        let now = self.instant();
        let router = &mut self.routers[index];
        if router.table.revision() == 0 {
            return;
        }
        router.table.forget_delisted(now);
        let (counts, revision) = (router.table.version_counts(), router.table.revision());
        let has_new = router.history.on_listed(counts, revision, now);
        if has_new {
            self.send_records(index);
        }
        let is_mixed = self.routers[index].history.is_mixed(&self.service);
        let watches = self.watchers().contains(&index) && !self.is_store_away;
        if is_mixed && watches && self.routers[index].history.knows_past() {
            self.is_marked = true;
        }
    }

    /// A watch ends without changes, which confirms the list; the next one begins.
    pub(super) fn on_watch_end(&mut self, index: usize) {
        self.schedule_in(WATCH_WAIT, Event::WatchEnds { router: index });
        let watches = self.watchers().contains(&index);
        if !watches || !self.is_running(index) || self.is_store_away {
            return;
        }
        let now = self.instant();
        self.apply_newest_list(index);
        let marks = self.marks();
        let router = &mut self.routers[index];
        // The watch was sent when the last one ended, and confirms what was so then.
        let sent_at = now.checked_sub(WATCH_WAIT);
        let started = router.started.map(|at| self.start + at);
        router.list_confirmed_at = router.list_confirmed_at.max(sent_at.max(started));
        if !router.history.knows_past() {
            router.history.on_marks_read(&marks, now);
        }
    }

    pub(super) fn marks(&self) -> Vec<ServiceName> {
        let marked = self.is_marked.then(|| self.service.clone());
        marked.into_iter().collect()
    }

    /// The store tells a router how recent its list is.
    pub(super) fn on_store_answer(&mut self, index: usize) {
        let router = &self.routers[index];
        let fails = self.is_store_away || router.is_cut_from_store || router.is_suspended;
        if self.is_running(index) && !fails {
            let now = self.instant();
            self.apply_newest_list(index);
            let marks = self.marks();
            let router = &mut self.routers[index];
            if !router.history.knows_past() {
                router.history.on_marks_read(&marks, now);
            }
            router.list_confirmed_at = Some(now - Duration::from_millis(4));
        }
        self.decide_own_lookups(index);
    }

    /// The lowest revision that a router's peers have reported; `None` in a large fleet.
    pub(super) fn lowest_peer_revision(&self, index: usize) -> Option<u64> {
        if self.spec.routers >= SMALL_FLEET {
            return None;
        }
        let others = (0..self.routers.len()).filter(|other| *other != index);
        others
            .map(|other| self.routers[other].reported_revision)
            .min()
    }
}
