//! Who watches the platform's store, and how often a store that fails is called.
//!
//! - **Question.** Does this router watch the store now? When does it call a store again
//!   that did not answer?
//! - **Inputs.** The live peers, their data centres and how long ago each of them last reached
//!   the store; the same of this router; whether its calls fail at present.
//! - **Answer.** A [`WatcherRole`]; what the loops that call and ping do next; the store age
//!   that is reported to peers.
//! - **Why.** Each call to the store has its price, and a waiting watch counts as a call: at
//!   65 routers that all watched, calls were the largest price of a quiet day. So three
//!   routers watch, and the others fetch versions from them. Nothing of safety depends on who
//!   does: two groups of routers that cannot reach each other have watchers of their own.
//!
//! The store may turn the watchers away while it serves other routers. A watcher knows that at
//! once and says so: its heartbeat then carries an age that is not fresh. The others step in,
//! as many as are missing, by rank, or all where no watcher is left. Whoever steps in pings the
//! store first ([`crate::store_ping`]) and watches only if it is answered.

use crate::heartbeat::is_small_fleet;
use cloverpier_core::{DataCentre, hash_of};
use serde::Serialize;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Routers that watch at the same time: one may be dead and one cut off.
const WATCHERS: usize = 3;
/// A watcher's last store call is fresh for this long: three pings and a heartbeat.
const FRESH_FOR: Duration = Duration::from_millis(1_300);
/// The same where what watchers say goes from router to router: some rounds of gossip longer.
const FRESH_FOR_LARGE: Duration = Duration::from_secs(3);
/// Longest pause between the calls of a chosen watcher to a store that does not answer it.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// All other routers together ping such a store about once in this time.
const FALLBACK_SLOT: Duration = Duration::from_millis(100);

/// Pause after the first failed call; doubled up to [`max_backoff`].
pub const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// How long one watch waits at the store for changes. It bounds how long a watch that a silent
/// store swallowed can hold up changes.
pub const WATCH_WAIT: Duration = Duration::from_secs(6);
/// How long a connection to the store or its answer may take, beyond the wait asked for.
pub const STORE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Changes of upstreams that come close together are read by one call.
pub const UPSTREAM_WATCH_PAUSE: Duration = Duration::from_millis(300);

/// A router that has just learned configuration and upstreams watches the store only after this time:
/// two heartbeats, by which it knows who else does. Until it is over nobody may watch, so changes
/// reach all that much later after the loss of all routers; the least bound on a change is 2 s (the
/// platform's settings).
const SETTLE: Duration = Duration::from_millis(500);

/// A live and ready peer, and what it said of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadyPeer {
    /// The peer.
    pub peer: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Time since its last successful store call; `None` when it does not watch the store. One
    /// that is not fresh means that it tries and does not reach the store.
    pub store_age: Option<Duration>,
}

impl ReadyPeer {
    fn is_fresh(&self, fresh_for: Duration) -> bool {
        self.store_age.is_some_and(|age| age <= fresh_for)
    }

    /// Whether it does not call the store, so that it may step in.
    fn is_idle(&self) -> bool {
        self.store_age.is_none()
    }
}

/// This router, as the choice of watchers sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnWatcherState {
    /// Its address for peers.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Whether it reached the store just now, and its calls do not fail.
    pub is_fresh: bool,
}

/// Whether a router watches the store, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum WatcherRole {
    /// It watches, as it is among the first by rank.
    Chosen,
    /// It replaces a chosen one that does not reach the store: it pings, and watches if it
    /// is answered.
    #[serde(rename = "nobody-else")]
    Fallback,
    /// It does not watch; others do.
    #[serde(rename = "left-to-others")]
    Standby,
}

impl WatcherRole {
    /// Whether the store is watched, or would be if it answered.
    pub fn watches(self) -> bool {
        self != Self::Standby
    }

    /// Whether peers rely on this router for versions: they are then sent every heartbeat.
    pub fn serves_peers(self, last_success: Option<Instant>, now: Instant) -> bool {
        match self {
            Self::Chosen => true,
            Self::Fallback => last_success.is_some_and(|at| is_fresh(now, at)),
            Self::Standby => false,
        }
    }
}

/// Whether a store call that succeeded at `at` still counts.
pub fn is_fresh(now: Instant, at: Instant) -> bool {
    now.saturating_duration_since(at) <= FRESH_FOR
}

/// The store age that is reported to peers: the time since the last successful call, and one that is
/// not fresh to any of `peers` peers while calls fail, so that others step in at once and not when it
/// has grown old.
/// `None` for a router that does not watch.
pub fn reported_store_age(
    role: WatcherRole,
    last_success: Option<Instant>,
    fails: bool,
    peers: usize,
    now: Instant,
) -> Option<Duration> {
    if !role.watches() {
        return None;
    }
    let stale = fresh_for(peers) * 2;
    let age = last_success.map(|at| now.saturating_duration_since(at));
    match age {
        Some(age) if fails => Some(age.max(stale)),
        Some(age) => Some(age),
        // It has not reached the store since its start.
        None => Some(stale),
    }
}

/// Decides whether a router watches the store, given its live and ready peers.
pub fn watcher_role(own: &OwnWatcherState, peers: &[ReadyPeer]) -> WatcherRole {
    let before = peers_before(own, peers);
    if before.len() < WATCHERS {
        return WatcherRole::Chosen;
    }
    let fresh_for = fresh_for(peers.len());
    let is_fresh = |peer: &ReadyPeer| peer.is_fresh(fresh_for);
    let steps_in = if own.is_fresh {
        // It replaces one already; it leaves that to others once there are enough of them.
        before.iter().filter(|peer| is_fresh(peer)).count() < WATCHERS
    } else {
        let fresh = peers.iter().filter(|peer| is_fresh(peer)).count();
        let missing = WATCHERS.saturating_sub(fresh);
        let idle = before.iter().filter(|peer| peer.is_idle()).count();
        missing == WATCHERS || idle < missing
    };
    if steps_in {
        WatcherRole::Fallback
    } else {
        WatcherRole::Standby
    }
}

/// The peers that are preferred to this router as watchers: first one of each data centre by
/// rank, as a data centre may die or be cut off as a whole, then the others by rank.
fn peers_before<'a>(own: &'a OwnWatcherState, peers: &'a [ReadyPeer]) -> Vec<&'a ReadyPeer> {
    struct Ranked<'a> {
        rank: (u64, SocketAddr),
        data_centre: &'a DataCentre,
        /// `None` for this router.
        peer: Option<&'a ReadyPeer>,
    }
    let others = peers.iter().map(|peer| Ranked {
        rank: rank_of(peer.peer),
        data_centre: &peer.data_centre,
        peer: Some(peer),
    });
    let this = Ranked {
        rank: rank_of(own.address),
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

/// How long a watcher's last store call counts, among this many peers.
fn fresh_for(peers: usize) -> Duration {
    if is_small_fleet(peers) {
        FRESH_FOR
    } else {
        FRESH_FOR_LARGE
    }
}

/// Whether one of `peers` peers says something else of the store than before, so that the roles are
/// decided anew.
pub fn affects_watcher_roles(
    former: Option<Duration>,
    present: Option<Duration>,
    peers: usize,
) -> bool {
    let kind = |age: Option<Duration>| age.map(|age| age <= fresh_for(peers));
    kind(former) != kind(present)
}

/// The longest pause between a router's calls to a store that does not answer it.
///
/// Failed calls have their price, too, and a store that is down for one router mostly is
/// for all. So those that are not chosen spread their pings over time; whoever succeeds
/// serves the others.
pub fn max_backoff(role: WatcherRole, live_routers: usize) -> Duration {
    if role == WatcherRole::Chosen {
        return MAX_BACKOFF;
    }
    let routers = u32::try_from(live_routers).unwrap_or(u32::MAX);
    (FALLBACK_SLOT * routers).max(MAX_BACKOFF)
}

/// Whether a loop that watches the store calls it now.
///
/// A fallback that has not been answered leaves the store to its pings.
pub fn may_call(role: WatcherRole, own_is_fresh: bool) -> bool {
    match role {
        WatcherRole::Chosen => true,
        WatcherRole::Fallback => own_is_fresh,
        WatcherRole::Standby => false,
    }
}

/// When a router that serves since a moment may begin to watch.
pub fn watches_from(serving_since: Instant) -> Instant {
    serving_since + SETTLE
}

/// The order in which routers are chosen: by hash, so that neighbours in the address space,
/// which may share a rack, are not chosen together.
fn rank_of(router: SocketAddr) -> (u64, SocketAddr) {
    (hash_of(&router.to_string()), router)
}
