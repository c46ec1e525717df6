//! Whether this router watches the platform's store, and what watches from that.

use crate::decision_log::WatcherRoleChanged;
use crate::router::Router;
use cloverpier_router_policy::prelude::*;
use std::time::{Duration, Instant};

/// A watcher's word from the store is fresh for this long.
const STORE_FRESH_FOR: Duration = Duration::from_millis(1_300);

impl Router {
    /// Decides whether this router watches the store, and notes a change.
    pub(crate) fn decide_watcher_role(&self, now: Instant) -> bool {
        let silence = self.peer_silence();
        let directory = self.directory.borrow();
        let live: Vec<Candidate> = directory
            .live(now, silence)
            .filter(|(_, e)| e.state == PeerState::Ready)
            .map(|(peer, e)| Candidate {
                peer: *peer,
                // What was heard has aged since.
                store_age: e
                    .store_age
                    .map(|a| a + now.saturating_duration_since(e.heard)),
            })
            .collect();
        let own = self.settings().listen.peers;
        let watcher_role = watcher_role(own, &live, STORE_FRESH_FOR);
        let former = self.watcher_role.replace(watcher_role);
        if former.watches() != watcher_role.watches() {
            let line = WatcherRoleChanged {
                follows: watcher_role.watches(),
                live_peers: live.len(),
                reason: watcher_role,
            };
            self.log.info("store.following", &line);
        }
        watcher_role.watches()
    }

    /// Whether this router watches the store.
    pub(crate) fn watches_store(&self) -> bool {
        self.watcher_role.get().watches()
    }

    /// Whether peers rely on this router's word from the store.
    pub(crate) fn serves_peers(&self, now: Instant) -> bool {
        let heard = self.last_store_success.get();
        let is_fresh = |at| now.saturating_duration_since(at) <= STORE_FRESH_FOR;
        match self.watcher_role.get() {
            WatcherRole::Chosen => true,
            WatcherRole::Fallback => heard.is_some_and(is_fresh),
            WatcherRole::Standby => false,
        }
    }

    /// The longest pause between calls to a store that doesn't answer.
    pub(crate) fn max_store_backoff(&self, now: Instant) -> Duration {
        let silence = self.peer_silence();
        let directory = self.directory.borrow();
        let live = directory.live(now, silence);
        let live: Vec<_> = live.map(|(peer, _)| *peer).collect();
        max_store_backoff(self.settings().listen.peers, &live)
    }
}
