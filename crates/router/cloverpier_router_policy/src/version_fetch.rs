//! From which peer newer versions are fetched.
//!
//! - **Question.** Does a live peer have a newer configuration or list of upstreams, and
//!   which one is asked for it, now or later?
//! - **Inputs.** The version in force here; the versions that live peers reported; which
//!   peers failed or were busy when they were asked last.
//! - **Answer.** A [`FetchStep`].
//! - **Why.** Most routers do not watch the store, so this is how versions reach them. Right
//!   after a change only the watchers have it, and all others ask at the same moment, over
//!   links that carry a large configuration a few times a second
//!   ([`crate::version_serving`]). So a busy peer is not asked again before the time that
//!   it named, one that failed is avoided, and among the rest chance decides, since all routers
//!   see the same peers.
//!
//! Configuration and upstreams are fetched apart: a leaving upstream is a few bytes and must
//! not wait for a configuration.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// A router that watches the store gives it this much time to deliver a version before it
/// fetches it from a peer.  Chosen, not measured.
pub const STORE_FIRST: Duration = Duration::from_millis(400);
/// A fetch is given up when nothing arrives for this long.  Its whole time has no bound: one
/// of 800 ms kept 1,400 routes (about 150 kB) from ever arriving over a shared link of
/// 10 Mbit/s.  The time itself is chosen, not measured.
pub const STALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Versions are compared at least this often, also without a heartbeat that shows a newer
/// one.  Chosen, not measured.
pub const COMPARE_PERIOD: Duration = Duration::from_millis(500);
/// Pause after a fetch that failed.  Chosen, not measured.
pub const FAILURE_PAUSE: Duration = Duration::from_millis(100);
/// A peer whose fetch failed is not asked again for this long while another one has a newer
/// version: about the time after which a dead peer is missed.  Chosen, not measured.
const AVOID_FAILED: Duration = Duration::from_secs(1);
/// The least wait for a busy peer.  It is the resolution of the timers (1 ms), below which a
/// router would ask again without a pause.
const MIN_WAIT: Duration = Duration::from_millis(1);

/// What a router does next about newer versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FetchStep {
    /// Nothing: no live peer has a newer version.
    UpToDate,
    /// Fetch from this peer.
    Ask(SocketAddr),
    /// Decide again after this time: all peers with the newest version are busy.
    Wait(Duration),
}

/// The peers that versions of one kind are fetched from, and how that went.
#[derive(Clone, Debug, Default)]
pub struct FetchSources {
    /// Until when a peer whose fetch failed is avoided.
    failed: HashMap<SocketAddr, Instant>,
    /// Until when a peer asked not to be asked.
    busy: HashMap<SocketAddr, Instant>,
}

impl FetchSources {
    /// Records that a fetch from a peer failed.
    pub fn on_failed(&mut self, peer: SocketAddr, now: Instant) {
        self.failed.insert(peer, now + AVOID_FAILED);
    }

    /// Records that a peer is busy for `wait`.
    pub fn on_busy(&mut self, peer: SocketAddr, wait: Duration, now: Instant) {
        self.busy.insert(peer, now + wait);
    }

    /// Decides whether, and from whom, to fetch, where `peers` have reported these versions.
    pub fn step(
        &mut self,
        known: u64,
        peers: impl IntoIterator<Item = (SocketAddr, u64)>,
        now: Instant,
        rng: &mut fastrand::Rng,
    ) -> FetchStep {
        self.failed.retain(|_, until| *until > now);
        self.busy.retain(|_, until| *until > now);
        let peers = peers.into_iter();
        let newer: Vec<(SocketAddr, u64)> = peers.filter(|(_, v)| *v > known).collect();
        let sources = self.newest(&newer);
        let free = sources.iter().filter(|peer| !self.busy.contains_key(peer));
        if let Some(peer) = rng.choice(free.copied().collect::<Vec<_>>()) {
            return FetchStep::Ask(peer);
        }
        let free_at = sources.iter().filter_map(|peer| self.busy.get(peer)).min();
        free_at.map_or(FetchStep::UpToDate, |at| {
            FetchStep::Wait((*at - now).max(MIN_WAIT))
        })
    }

    /// The peers with the newest version; those that failed count only if there is no other.
    fn newest(&self, newer: &[(SocketAddr, u64)]) -> Vec<SocketAddr> {
        let sound = newer.iter().filter(|(p, _)| !self.failed.contains_key(p));
        let mut candidates: Vec<(SocketAddr, u64)> = sound.copied().collect();
        if candidates.is_empty() {
            candidates = newer.to_vec();
        }
        let newest = candidates.iter().map(|(_, version)| *version).max();
        let with_newest = candidates.into_iter().filter(|(_, v)| Some(*v) == newest);
        with_newest.map(|(peer, _)| peer).collect()
    }
}
