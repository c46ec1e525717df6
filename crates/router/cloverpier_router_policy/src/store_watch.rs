//! Selection of the routers that watch the platform's store, and backoff of calls to a store that fails.
//!
//! - **Question.** Does this router watch the store now? When does it call a store again that did not
//!   respond?
//! - **Inputs.** The live peers, their data centres, and how long ago each peer's last call to the store
//!   succeeded; the same for this router; whether its calls fail at present.
//! - **Result.** A [`WatcherRole`]; whether the loops that watch and ping call the store; the store age that
//!   is reported to peers.
//! - **Why.** Each call to the store has a cost, and a pending watch counts as a call: if all of 65 routers
//!   watched, calls would be the largest cost of an idle day. So three routers watch, and the others fetch
//!   versions from them. No safety property depends on the selection: two groups of routers that can't reach
//!   each other have watchers of their own.
//!
//! The store may refuse the watchers while it serves other routers. A watcher detects that at once and reports
//! it: its heartbeat then carries an age that is not fresh. Other routers replace it by rank, as many as
//! watchers are missing, or all if no watcher is left. A replacement pings the store first
//! ([`crate::store_ping`]), and watches only if the store responds.

use crate::heartbeat::is_small_fleet;
use cloverpier_core::{DataCentre, hash_of};
use serde::Serialize;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Number of routers that watch the store at the same time: three, as one may be dead and one cut off.
const WATCHERS: usize = 3;
/// How long a watcher's last successful call to the store counts as fresh: three pings and a heartbeat.
const MAX_FRESH_AGE: Duration = Duration::from_millis(1_300);
/// How long a watcher's last successful call counts as fresh in a large fleet. It is some gossip rounds longer
/// than [`MAX_FRESH_AGE`], because routers forward the reports of watchers.
const MAX_FRESH_AGE_LARGE_FLEET: Duration = Duration::from_secs(3);
/// Maximum pause between the calls of a chosen watcher to a store that does not respond.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Average interval between the pings of all other routers together to a store that does not respond.
const FALLBACK_PING_INTERVAL: Duration = Duration::from_millis(100);

/// Pause after the first failed call to the store; each further failure doubles it, up to [`max_backoff`].
pub const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// How long one watch waits at the store for changes. With [`WATCH_GRACE`], it bounds the delay of changes by a watch that
/// the store accepted and that hears nothing: pings show that the store responds, and not that a watch does. The strictest
/// limit for the news of a leaving upstream is 2 s.
pub const WATCH_WAIT: Duration = Duration::from_millis(800);
/// How long the response to a watch may take beyond [`WATCH_WAIT`].
pub const WATCH_GRACE: Duration = Duration::from_millis(400);
/// Timeout for a connection to the store, and for the store's response beyond the wait that a watch requests.
pub const STORE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Pause after each change of the upstreams, so that one call reads all changes that happen close together.
pub const UPSTREAM_WATCH_PAUSE: Duration = Duration::from_millis(300);

/// How long a router waits after it first received configuration and upstreams before it may watch the store:
/// two heartbeats, by which it receives the other watchers' reports. If all routers restart at once, none
/// watches until then, and changes reach them that much later; the strictest limit for the time of a change in
/// the platform's settings is 2 s.
const WATCH_DELAY: Duration = Duration::from_millis(500);

/// A live and ready peer, with its last report as a watcher of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadyPeer {
    /// The peer's address for other routers.
    pub peer: SocketAddr,
    /// The data centre in which the peer runs.
    pub data_centre: DataCentre,
    /// Time since the peer's last successful call to the store; `None` if the peer does not watch the store.
    /// An age that is not fresh means that the peer tries to watch but does not reach the store.
    pub store_age: Option<Duration>,
}

impl ReadyPeer {
    fn is_fresh(&self, max_fresh_age: Duration) -> bool {
        self.store_age.is_some_and(|age| age <= max_fresh_age)
    }

    /// Whether the peer does not call the store, and so may replace a watcher.
    fn is_idle(&self) -> bool {
        self.store_age.is_none()
    }
}

/// This router's inputs to the selection of watchers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnWatcherState {
    /// This router's address for peers.
    pub address: SocketAddr,
    /// The data centre in which this router runs.
    pub data_centre: DataCentre,
    /// Whether a recent call of this router to the store succeeded ([`is_fresh`]) and none fails at present.
    pub is_fresh: bool,
}

/// Whether a router watches the store, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum WatcherRole {
    /// The router watches the store, because it is one of the three preferred by rank and data centre.
    Chosen,
    /// The router replaces a watcher that does not reach the store: it pings the store, and watches if the
    /// store responds.
    #[serde(rename = "nobody-else")]
    Fallback,
    /// The router does not watch the store, because other routers do.
    #[serde(rename = "left-to-others")]
    Standby,
}

impl WatcherRole {
    /// Whether a router with this role watches the store, or will once the store responds.
    pub fn watches(self) -> bool {
        self != Self::Standby
    }

    /// Whether peers rely on this router for new versions, and so all receive each of its heartbeats. For a
    /// fallback that is so after a recent successful call; `last_success` is `None` before the first.
    pub fn serves_peers(self, last_success: Option<Instant>, now: Instant) -> bool {
        match self {
            Self::Chosen => true,
            Self::Fallback => last_success.is_some_and(|at| is_fresh(now, at)),
            Self::Standby => false,
        }
    }
}

/// Whether a call to the store that succeeded at `at` still counts as fresh for the router that made it.
pub fn is_fresh(now: Instant, at: Instant) -> bool {
    now.saturating_duration_since(at) <= MAX_FRESH_AGE
}

/// The store age that a router reports to its peers: the time since its last successful call, or `None` if it
/// does not watch the store. While calls fail (`calls_fail`) or before the first success, the age is at least
/// twice the freshness limit for a fleet with `peers` peers, so that other routers replace this one at once.
pub fn reported_store_age(
    role: WatcherRole,
    last_success: Option<Instant>,
    calls_fail: bool,
    peers: usize,
    now: Instant,
) -> Option<Duration> {
    if !role.watches() {
        return None;
    }
    let stale = max_fresh_age(peers) * 2;
    let age = last_success.map(|at| now.saturating_duration_since(at));
    match age {
        Some(age) if calls_fail => Some(age.max(stale)),
        Some(age) => Some(age),
        // No call has succeeded since the start.
        None => Some(stale),
    }
}

/// Decides this router's role as a watcher of the store. `peers` are its live and ready peers.
pub fn watcher_role(own: &OwnWatcherState, peers: &[ReadyPeer]) -> WatcherRole {
    let preferred = preferred_peers(own, peers);
    if preferred.len() < WATCHERS {
        return WatcherRole::Chosen;
    }
    let max_fresh_age = max_fresh_age(peers.len());
    let is_fresh = |peer: &ReadyPeer| peer.is_fresh(max_fresh_age);
    let replaces_watcher = if own.is_fresh {
        // This router watches as a replacement already, and stops once enough routers with a higher rank are
        // fresh.
        preferred.iter().filter(|peer| is_fresh(peer)).count() < WATCHERS
    } else {
        let fresh = peers.iter().filter(|peer| is_fresh(peer)).count();
        let missing = WATCHERS.saturating_sub(fresh);
        let idle = preferred.iter().filter(|peer| peer.is_idle()).count();
        missing == WATCHERS || idle < missing
    };
    if replaces_watcher {
        WatcherRole::Fallback
    } else {
        WatcherRole::Standby
    }
}

/// The peers that are preferred to this router as watchers. The first router by rank in each data centre comes
/// first, as a whole data centre may fail or be cut off; the other routers follow by rank.
fn preferred_peers<'a>(own: &'a OwnWatcherState, peers: &'a [ReadyPeer]) -> Vec<&'a ReadyPeer> {
    struct Ranked<'a> {
        rank: (u64, SocketAddr),
        data_centre: &'a DataCentre,
        /// The router's report as a peer; `None` for this router.
        peer: Option<&'a ReadyPeer>,
    }
    let others = peers.iter().map(|peer| Ranked {
        rank: watcher_rank(peer.peer),
        data_centre: &peer.data_centre,
        peer: Some(peer),
    });
    let this = Ranked {
        rank: watcher_rank(own.address),
        data_centre: &own.data_centre,
        peer: None,
    };
    let mut routers: Vec<Ranked<'_>> = others.chain([this]).collect();
    routers.sort_by_key(|router| router.rank);
    let mut seen = HashSet::new();
    let (first_of_each, rest): (Vec<_>, Vec<_>) = routers
        .into_iter()
        .partition(|router| seen.insert(router.data_centre));
    let in_order = first_of_each.into_iter().chain(rest);
    in_order.map_while(|router| router.peer).collect()
}

/// How long a watcher's last successful call counts as fresh in a fleet with this many peers.
fn max_fresh_age(peers: usize) -> Duration {
    if is_small_fleet(peers) {
        MAX_FRESH_AGE
    } else {
        MAX_FRESH_AGE_LARGE_FLEET
    }
}

/// The peers that watch the store and reach it, at most as many as usually watch, those with the most recent call first.
pub fn fresh_watchers(peers: &[ReadyPeer]) -> Vec<SocketAddr> {
    let max_fresh_age = max_fresh_age(peers.len());
    let fresh = peers.iter().filter(|peer| peer.is_fresh(max_fresh_age));
    let mut fresh: Vec<&ReadyPeer> = fresh.collect();
    fresh.sort_by_key(|peer| peer.store_age);
    fresh.truncate(WATCHERS);
    fresh.into_iter().map(|peer| peer.peer).collect()
}

/// Whether a peer's new store age (`current`) requires a new decision on the watcher roles: the peer began or
/// stopped to watch the store, or its age became fresh or stale. `peers` is the number of all peers.
pub fn affects_watcher_roles(
    previous: Option<Duration>,
    current: Option<Duration>,
    peers: usize,
) -> bool {
    let kind = |age: Option<Duration>| age.map(|age| age <= max_fresh_age(peers));
    kind(previous) != kind(current)
}

/// Maximum pause between a router's calls to a store that does not respond.
///
/// Failed calls have a cost, too, and a store that is down for one router is mostly down for all. So routers
/// that are not chosen watchers spread their pings over time, and the first one that succeeds serves the
/// others.
pub fn max_backoff(role: WatcherRole, live_routers: usize) -> Duration {
    if role == WatcherRole::Chosen {
        return MAX_BACKOFF;
    }
    let routers = u32::try_from(live_routers).unwrap_or(u32::MAX);
    (FALLBACK_PING_INTERVAL * routers).max(MAX_BACKOFF)
}

/// Whether the loops that watch the store may call it now.
///
/// A fallback watches only while its own calls or pings succeed (`own_is_fresh`).
pub fn may_call(role: WatcherRole, own_is_fresh: bool) -> bool {
    match role {
        WatcherRole::Chosen => true,
        WatcherRole::Fallback => own_is_fresh,
        WatcherRole::Standby => false,
    }
}

/// When a router that has served requests since `serving_since` may begin to watch the store.
pub fn watches_from(serving_since: Instant) -> Instant {
    serving_since + WATCH_DELAY
}

/// Orders routers for the selection of watchers by the hash of their address, so that routers with adjacent
/// addresses, which may share a rack, are not selected together.
fn watcher_rank(router: SocketAddr) -> (u64, SocketAddr) {
    (hash_of(&router.to_string()), router)
}
