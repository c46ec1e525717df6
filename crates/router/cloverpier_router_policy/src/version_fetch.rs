//! Choice of the peer from which a newer version is fetched.
//!
//! - **Question.** Does a live peer have a newer configuration or list of upstreams, and from which peer is
//!   it fetched, now or later?
//! - **Inputs.** The version in force here; the versions that live peers reported; the peers at which the
//!   last fetch failed or that were busy.
//! - **Result.** A [`FetchStep`].
//! - **Why.** Most routers do not watch the store, and receive versions from peers. Right after a change only
//!   the watchers have the new version, and all other routers request it at the same moment, over links that
//!   carry a large configuration a few times a second ([`crate::version_serving`]). So a router sends no
//!   request to a busy peer before the time that this peer gave, avoids peers at which a fetch failed, and
//!   picks one of the remaining peers at random, because all routers have the same peers.
//!
//! Traffic between data centres is expensive in a large fleet. So a router prefers peers in its own data
//! centre. It fetches a list of upstreams from another data centre only after [`REMOTE_FETCH_DELAY`].
//!
//! A peer that does not hand over its upstreams soon may stand still: another one is asked beside it after
//! [`HEDGE_DELAY`]. A configuration may be large and take longer, so only one copy of it is under way.
//!
//! Configuration and upstreams are fetched separately: the change of a leaving upstream is a few bytes and
//! must not wait for a configuration.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long a router that watches the store waits for the store to deliver a configuration before it fetches the
/// configuration from a peer.
pub const CONFIGURATION_HEAD_START: Duration = Duration::from_millis(400);
/// The same for changes of upstreams, which are short. A router whose role is to watch may not have begun to.
pub const UPSTREAM_HEAD_START: Duration = Duration::from_millis(100);
/// A fetch fails when no bytes arrive for this long. Its total time is not bounded, because such a bound
/// could keep a large configuration from ever arriving over a shared link.
pub const STALL_TIMEOUT: Duration = Duration::from_millis(800);
/// How long a router waits for a copy of the upstreams from a peer before it asks another peer beside it. The peer may
/// stand still, or the path to it, and the news of a leaving upstream must not wait for [`STALL_TIMEOUT`].
pub const HEDGE_DELAY: Duration = Duration::from_millis(150);
/// Maximum number of peers from which a router fetches the same news at once.
pub const MAX_CONCURRENT_FETCHES: usize = 3;
/// How long after a fetch its connection is used for another one. An open connection may go silent without a reset,
/// which shows only when an answer is missing.
pub const REUSE_WINDOW: Duration = Duration::from_millis(500);
/// Interval at which a router of a small fleet compares its versions with those of its peers, even if no
/// heartbeat reported a newer one.
pub const COMPARE_PERIOD: Duration = Duration::from_millis(500);
/// Interval at which a router of a large fleet compares its versions with those of its peers. It is longer
/// than [`COMPARE_PERIOD`], because the comparison goes over all peers, and because gossip messages report
/// their senders' versions and start a comparison when one is newer.
pub const LARGE_FLEET_COMPARE_PERIOD: Duration = Duration::from_secs(2);
/// Pause of a router between a failed fetch and its next one.
pub const FAILURE_PAUSE: Duration = Duration::from_millis(100);
/// How long a peer is avoided after a failed fetch from it, while another peer has a newer version. It is
/// about the time after which a dead peer is detected.
const FAILED_PEER_BACKOFF: Duration = Duration::from_secs(1);
/// Minimum wait for a busy peer, which is the resolution of the timers (1 ms). With a shorter wait, a router
/// would send requests without a pause.
const MIN_WAIT: Duration = Duration::from_millis(1);

/// How long a router of a large fleet waits for a peer in its data centre to have newer upstreams before it
/// fetches them from another data centre.
pub const REMOTE_FETCH_DELAY: Duration = Duration::from_millis(200);

/// Pause of a router of a large fleet after each fetch of upstreams. Peers forward a few changes without a
/// fetch; while many upstreams change, fetches without a pause would each return only a few of the changes.
pub const UPSTREAM_FETCH_PAUSE: Duration = Duration::from_millis(500);

/// A live peer, and the version of the configuration or of the upstreams that it reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerVersion {
    /// The peer's address for other routers.
    pub peer: SocketAddr,
    /// The version that the peer last reported; higher is newer.
    pub version: u64,
    /// Whether the peer is preferred, because it is in this router's data centre. In a small fleet the caller
    /// sets this for all peers.
    pub is_local: bool,
}

/// What a router does next to get newer versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FetchStep {
    /// No live peer has a newer version.
    UpToDate,
    /// Fetch from this peer.
    Fetch(SocketAddr),
    /// Decide again after this time: all peers with the newest version are busy, or only peers in other data
    /// centres have it and [`REMOTE_FETCH_DELAY`] has not passed.
    Wait(Duration),
}

/// The peers at which fetches of one kind of version failed or that were busy.
#[derive(Clone, Debug, Default)]
pub struct FetchSources {
    /// Until when each peer at which a fetch failed is avoided.
    failed: HashMap<SocketAddr, Instant>,
    /// Until when each peer that was busy accepts no new request.
    busy: HashMap<SocketAddr, Instant>,
    /// How long a newer version has to be available only from other data centres before it is fetched there.
    remote_delay: Duration,
    /// Since when only peers in other data centres have a newer version.
    only_remote_since: Option<Instant>,
}

impl FetchSources {
    /// Creates sources that fetch from peers in other data centres only after a delay. The default has no
    /// delay.
    pub fn with_remote_delay(remote_delay: Duration) -> Self {
        Self {
            remote_delay,
            ..Self::default()
        }
    }

    /// Records a failed fetch from a peer, which is then avoided for a second.
    pub fn on_failed(&mut self, peer: SocketAddr, now: Instant) {
        self.failed.insert(peer, now + FAILED_PEER_BACKOFF);
    }

    /// Records that a peer refused a fetch because it is busy, and accepts requests again after `wait`.
    pub fn on_busy(&mut self, peer: SocketAddr, wait: Duration, now: Instant) {
        self.busy.insert(peer, now + wait);
    }

    /// Decides whether to fetch, and from which peer. `current_version` is the version in force at this
    /// router, and `peers` are the live peers.
    pub fn step(
        &mut self,
        current_version: u64,
        peers: impl IntoIterator<Item = PeerVersion>,
        now: Instant,
        rng: &mut fastrand::Rng,
    ) -> FetchStep {
        self.failed.retain(|_, until| *until > now);
        self.busy.retain(|_, until| *until > now);
        let peers = peers.into_iter();
        let newer: Vec<PeerVersion> = peers.filter(|p| p.version > current_version).collect();
        let local: Vec<PeerVersion> = newer.iter().filter(|p| p.is_local).copied().collect();
        if let Some(wait) = self.wait_for_local(&newer, &local, now) {
            return FetchStep::Wait(wait);
        }
        let sources = self.newest(if local.is_empty() { &newer } else { &local });
        let idle = sources.iter().filter(|peer| !self.busy.contains_key(peer));
        if let Some(peer) = rng.choice(idle.copied().collect::<Vec<_>>()) {
            return FetchStep::Fetch(peer);
        }
        let idle_at = sources.iter().filter_map(|peer| self.busy.get(peer)).min();
        idle_at.map_or(FetchStep::UpToDate, |at| {
            FetchStep::Wait((*at - now).max(MIN_WAIT))
        })
    }

    /// The rest of the delay during which only peers in other data centres have a newer version; `None` once
    /// the delay is over, if a peer in this data centre has one, or if no peer has.
    fn wait_for_local(
        &mut self,
        newer: &[PeerVersion],
        local: &[PeerVersion],
        now: Instant,
    ) -> Option<Duration> {
        if newer.is_empty() || !local.is_empty() {
            self.only_remote_since = None;
            return None;
        }
        let since = *self.only_remote_since.get_or_insert(now);
        let left = (since + self.remote_delay).saturating_duration_since(now);
        (!left.is_zero()).then(|| left.max(MIN_WAIT))
    }

    /// The peers in `newer` with the newest version. Peers at which a fetch failed are included only if it
    /// failed at all of them.
    fn newest(&self, newer: &[PeerVersion]) -> Vec<SocketAddr> {
        let not_failed = newer.iter().filter(|p| !self.failed.contains_key(&p.peer));
        let mut candidates: Vec<PeerVersion> = not_failed.copied().collect();
        if candidates.is_empty() {
            candidates = newer.to_vec();
        }
        let newest = candidates.iter().map(|p| p.version).max();
        let with_newest = candidates.into_iter().filter(|p| Some(p.version) == newest);
        with_newest.map(|p| p.peer).collect()
    }
}
