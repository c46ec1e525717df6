//! Reads of a newer version from the store by a router that does not get it from its peers.
//!
//! - **Question.** When does a router that fetches a newer version from peers read it from the store itself?
//! - **Inputs.** When the router first wanted the version; whether a fetch of it has failed.
//! - **Result.** A time.
//! - **Why.** A router may receive a peer's heartbeats and not reach the peer: heartbeats are datagrams in one direction,
//!   and a fetch needs a connection, which works in both. Without a read of the store, such a router would miss changes
//!   until the path is restored.
//!
//! [`WantedVersion`] owns the state of one kind of data at one router.

use std::time::{Duration, Instant};

/// Time after the first fetch at which a version is overdue. A fetch takes some milliseconds, and by then two further peers
/// have been queried ([`crate::version_fetch::HEDGE_DELAY`]). A leaving upstream has to be known within 2 s.
pub const OVERDUE_AFTER: Duration = Duration::from_millis(400);
/// Pause between reads of the store for the same version. Each call to the store has a cost, and one that fails mostly
/// fails again.
pub const STORE_READ_PAUSE: Duration = Duration::from_secs(1);

/// When a slow fetch alone makes a version overdue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Patience {
    /// Copies are short, so that one which has not arrived shows a fault.
    Short,
    /// Copies may be long, so that only a failed fetch shows one.
    UntilFailure,
}

/// A newer version that this router wants from its peers, until it has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WantedVersion {
    /// When this router began to fetch the version.
    pub since: Instant,
    /// The earliest time of the next read of the store.
    read_from: Instant,
    /// Whether a fetch from a peer has failed.
    has_failed: bool,
}

impl WantedVersion {
    /// A version that this router begins to fetch.
    pub fn since(now: Instant) -> Self {
        Self {
            since: now,
            read_from: now + OVERDUE_AFTER,
            has_failed: false,
        }
    }

    /// When the router reads the version from the store; `None` while its peers may still deliver it.
    pub fn store_read_at(&self, patience: Patience) -> Option<Instant> {
        let is_doubtful = self.has_failed || patience == Patience::Short;
        is_doubtful.then_some(self.read_from)
    }

    /// Records that a fetch from a peer has failed.
    pub fn on_fetch_failed(&mut self) {
        self.has_failed = true;
    }

    /// Records that a read of the store begins.
    pub fn on_store_read(&mut self, now: Instant) {
        self.read_from = now + STORE_READ_PAUSE;
    }
}
