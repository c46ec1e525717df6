//! Evidence that a router's list of upstreams is the newest one, and reads of the store without it.
//!
//! - **Question.** When does a router read changes of upstreams from the store, beside the watches?
//! - **Inputs.** When the store or a router that watches it last showed that the list is the newest; whether a peer knows
//!   of a leaving that the list does not contain.
//! - **Result.** A time.
//! - **Why.** A router learns of changes from the routers that watch the store. Their silence does not show that nothing
//!   has changed: they may be dead, paused or partitioned. Until others replace them a second and more passes, and
//!   those may be lost in turn. So a router without a report from any of them soon reads the store itself. If the store does
//!   not respond either, the pauses between such reads grow.
//!
//! [`ListEvidence`] owns the state of one router.

use std::time::{Duration, Instant};

/// How long the report of a router that watches the store counts: three heartbeats, of which two may be lost, and what
/// datagrams take.
pub const EVIDENCE_TTL: Duration = Duration::from_millis(700);
/// The same for the own calls of a router that watches the store: a watch waits 0.8 s, after a pause of 0.3 s.
pub const WATCHER_EVIDENCE_TTL: Duration = Duration::from_millis(1_500);
/// Time over which the reads of routers are spread that lack evidence since the same moment.
pub const READ_SPREAD: Duration = Duration::from_millis(100);
/// Pause after the first read without evidence; each read that fails doubles it.
const READ_PAUSE: Duration = Duration::from_millis(400);
/// Maximum pause between two reads.
const MAX_READ_PAUSE: Duration = Duration::from_secs(3);
/// The oldest last call to the store with which a watcher's report shows that it reaches the store: three pings.
const MAX_WATCHER_AGE: Duration = Duration::from_millis(800);

/// The evidence of one router.
#[derive(Clone, Copy, Debug)]
pub struct ListEvidence {
    /// When the list was last shown to be the newest.
    proven_at: Instant,
    /// The earliest time of the next read.
    read_from: Instant,
    pause: Duration,
}

impl ListEvidence {
    /// A router that has just received its first list.
    pub fn new(now: Instant) -> Self {
        Self {
            proven_at: now,
            read_from: now,
            pause: READ_PAUSE,
        }
    }

    /// When the list was last shown to be the newest.
    pub fn proven_at(&self) -> Instant {
        self.proven_at
    }

    /// Records that the store or a watcher has shown the list to be the newest at `at`.
    pub fn on_proof(&mut self, at: Instant) {
        self.proven_at = self.proven_at.max(at);
        self.pause = READ_PAUSE;
    }

    /// When the store is read if no evidence arrives before. `watches` is whether this router watches the store itself.
    pub fn read_at(&self, watches: bool) -> Instant {
        let ttl = if watches {
            WATCHER_EVIDENCE_TTL
        } else {
            EVIDENCE_TTL
        };
        (self.proven_at + ttl).max(self.read_from)
    }

    /// Records that a read of the store begins.
    pub fn on_read(&mut self, now: Instant) {
        self.read_from = now + self.pause;
        self.pause = (self.pause * 2).min(MAX_READ_PAUSE);
    }
}

/// Whether a peer's report shows that this router's list is the newest: the peer watches the store and has reached it, and
/// has no newer list. `store_age` is the time since the peer's last successful call to the store; `None` if it does not
/// watch.
pub fn is_proof(store_age: Option<Duration>, peer_revision: u64, own_revision: u64) -> bool {
    store_age.is_some_and(|age| age <= MAX_WATCHER_AGE) && peer_revision <= own_revision
}
