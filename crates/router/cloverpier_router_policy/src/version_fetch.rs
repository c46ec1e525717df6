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
//! Bytes between data centres are dear where many routers fetch: a peer of the own data centre is
//! preferred, and where only others have a list of upstreams, they are asked after [`REMOTE_FETCH_DELAY`].
//!
//! Configuration and upstreams are fetched apart: a leaving upstream is a few bytes and must
//! not wait for a configuration.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// A router that watches the store gives it this much time to deliver a version before it fetches
/// it from a peer.
pub const STORE_HEAD_START: Duration = Duration::from_millis(400);
/// A fetch is given up when nothing arrives for this long. Its whole time has no bound, which
/// would keep a large configuration from ever arriving over a shared link.
pub const STALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Versions are compared at least this often, also without a heartbeat that shows a newer one.
pub const COMPARE_PERIOD: Duration = Duration::from_millis(500);
/// The same in a large fleet, where it takes a look at each peer, and messages say which versions their
/// senders have.
pub const LARGE_FLEET_COMPARE_PERIOD: Duration = Duration::from_secs(2);
/// Pause after a fetch that failed.
pub const FAILURE_PAUSE: Duration = Duration::from_millis(100);
/// A peer whose fetch failed is not asked again for this long while another one has a newer
/// version: about the time after which a dead peer is missed.
const AVOID_FAILED: Duration = Duration::from_secs(1);
/// The least wait for a busy peer.  It is the resolution of the timers (1 ms), below which a
/// router would ask again without a pause.
const MIN_WAIT: Duration = Duration::from_millis(1);

/// How long a router of a large fleet waits for a peer of its data centre to have newer upstreams.
pub const REMOTE_FETCH_DELAY: Duration = Duration::from_millis(200);

/// A router of a large fleet fetches changes of upstreams once in this time at most: few changes are sent
/// to all, and where there are many, each fetch would get a part of them.
pub const UPSTREAM_FETCH_PAUSE: Duration = Duration::from_millis(500);

/// A live peer, and its version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerVersion {
    /// The peer.
    pub peer: SocketAddr,
    /// What it reported.
    pub version: u64,
    /// Whether it is to be preferred, as in the own data centre.
    pub is_local: bool,
}

/// What a router does next about newer versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FetchStep {
    /// Nothing: no live peer has a newer version.
    UpToDate,
    /// Fetch from this peer.
    Fetch(SocketAddr),
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
    /// How long peers that are not near are waited with, and since when only they have something newer.
    far_wait: Duration,
    only_far_since: Option<Instant>,
}

impl FetchSources {
    /// Sources of which those that are not near are asked after a wait.
    pub fn with_remote_delay(far_wait: Duration) -> Self {
        Self {
            far_wait,
            ..Self::default()
        }
    }

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
        peers: impl IntoIterator<Item = PeerVersion>,
        now: Instant,
        rng: &mut fastrand::Rng,
    ) -> FetchStep {
        self.failed.retain(|_, until| *until > now);
        self.busy.retain(|_, until| *until > now);
        let peers = peers.into_iter();
        let newer: Vec<PeerVersion> = peers.filter(|p| p.version > known).collect();
        let near: Vec<PeerVersion> = newer.iter().filter(|p| p.is_local).copied().collect();
        if let Some(wait) = self.wait_for_near(&newer, &near, now) {
            return FetchStep::Wait(wait);
        }
        let sources = self.newest(if near.is_empty() { &newer } else { &near });
        let free = sources.iter().filter(|peer| !self.busy.contains_key(peer));
        if let Some(peer) = rng.choice(free.copied().collect::<Vec<_>>()) {
            return FetchStep::Fetch(peer);
        }
        let free_at = sources.iter().filter_map(|peer| self.busy.get(peer)).min();
        free_at.map_or(FetchStep::UpToDate, |at| {
            FetchStep::Wait((*at - now).max(MIN_WAIT))
        })
    }

    /// How long to wait where only peers that are not near have something newer.
    fn wait_for_near(
        &mut self,
        newer: &[PeerVersion],
        near: &[PeerVersion],
        now: Instant,
    ) -> Option<Duration> {
        if newer.is_empty() || !near.is_empty() {
            self.only_far_since = None;
            return None;
        }
        let since = *self.only_far_since.get_or_insert(now);
        let left = (since + self.far_wait).saturating_duration_since(now);
        (!left.is_zero()).then(|| left.max(MIN_WAIT))
    }

    /// The peers with the newest version; those that failed count only if there is no other.
    fn newest(&self, newer: &[PeerVersion]) -> Vec<SocketAddr> {
        let sound = newer.iter().filter(|p| !self.failed.contains_key(&p.peer));
        let mut candidates: Vec<PeerVersion> = sound.copied().collect();
        if candidates.is_empty() {
            candidates = newer.to_vec();
        }
        let newest = candidates.iter().map(|p| p.version).max();
        let with_newest = candidates.into_iter().filter(|p| Some(p.version) == newest);
        with_newest.map(|p| p.peer).collect()
    }
}
