//! Whether this router follows the platform's store, and what follows from that.

use crate::decision_log::FollowingChanged;
use crate::router::Router;
use cloverpier_router_policy::prelude::*;
use std::time::{Duration, Instant};

/// A follower's word from the store is fresh for this long.
const STORE_WORD_FRESH: Duration = Duration::from_millis(1_300);

impl Router {
    /// Decides whether this router follows the store, and notes a change.
    pub(crate) fn decide_following(&self, now: Instant) -> bool {
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
        let following = should_follow(own, &live, STORE_WORD_FRESH);
        let former = self.following.replace(following);
        if former.is_due() != following.is_due() {
            let line = FollowingChanged {
                follows: following.is_due(),
                live_peers: live.len(),
                reason: following,
            };
            self.log.info("store.following", &line);
        }
        following.is_due()
    }

    /// Whether this router follows the store.
    pub(crate) fn follows_store(&self) -> bool {
        self.following.get().is_due()
    }

    /// Whether peers rely on this router's word from the store.
    pub(crate) fn has_word_for_peers(&self, now: Instant) -> bool {
        let heard = self.store_heard.get();
        let is_fresh = |at| now.saturating_duration_since(at) <= STORE_WORD_FRESH;
        match self.following.get() {
            Following::Chosen => true,
            Following::NobodyElse => heard.is_some_and(is_fresh),
            Following::LeftToOthers => false,
        }
    }

    /// The longest pause between calls to a store that doesn't answer.
    pub(crate) fn longest_store_pause(&self, now: Instant) -> Duration {
        let silence = self.peer_silence();
        let directory = self.directory.borrow();
        let live = directory.live(now, silence);
        let live: Vec<_> = live.map(|(peer, _)| *peer).collect();
        longest_pause(self.settings().listen.peers, &live)
    }
}
