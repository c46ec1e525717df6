//! Who watches the platform's store, and how often a store that fails is called.
//!
//! - **Question.** Does this router watch the store now? When does it call a store again
//!   that did not answer?
//! - **Inputs.** The live peers and how long ago each of them last reached the store; the
//!   freshness of this router's own last call.
//! - **Answer.** A [`WatcherRole`]; pauses.
//! - **Why.** Each call to the store has its price, and a waiting watch counts as a call: at
//!   65 routers that all watched, calls were the largest price of a quiet day (fc1ec04). So
//!   three routers watch, and the others fetch versions from them. Nothing of safety
//!   depends on who does: two groups of routers that cannot reach each other have watchers
//!   of their own, and a router that knows no watcher with a fresh store call watches
//!   itself.

use cloverpier_core::hash_of;
use serde::Serialize;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Routers that watch at the same time: one may be dead and one cut off.  Measured with three
/// (fc1ec04: ledger 0.737 -> 0.751, fonts 0.622 -> 0.636); no other number was tried.
const WATCHERS: usize = 3;
/// A watcher's last store call is fresh for this long: three pings and a heartbeat.  Chosen,
/// not measured.
const FRESH_FOR: Duration = Duration::from_millis(1_300);
/// Longest pause between the calls of a chosen watcher to a store that does not answer it.
/// Chosen, not measured.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// All other routers together call such a store about once in this time (6106876: 3,197 ->
/// 2,020 calls on a day with 6 s of outage at 72 routers).
const FALLBACK_SLOT: Duration = Duration::from_millis(100);

/// Pause after the first failed call; doubled up to [`max_backoff`].  Chosen, not measured.
pub const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// How long one watch waits at the store for changes.  It bounds how long a watch that a
/// silent store swallowed can hold up changes (44d643f).  Chosen, not measured.
pub const WATCH_WAIT: Duration = Duration::from_secs(6);
/// How long a connection to the store or its answer may take, beyond the wait asked for.
/// Chosen, not measured.
pub const STORE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How often a router that does not watch checks whether it should.  Chosen, not measured.
pub const ROLE_CHECK_PERIOD: Duration = Duration::from_millis(100);
/// How often a watcher pings the store while its watches wait, and how long that may take: a
/// ping costs a tenth of a call.  Chosen, not measured.
pub const PING_PERIOD: Duration = Duration::from_millis(400);
/// How long a ping waits for its answer.  Chosen, not measured.
pub const PING_TIMEOUT: Duration = Duration::from_millis(500);
/// Changes of upstreams that come close together are read by one call (dc2936d: calls on a
/// quiet day 372 -> 250 with 300 ms in place of 100; the worth moved within noise).
pub const GATHER_PERIOD: Duration = Duration::from_millis(300);

/// A live and ready peer, and what it said of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadyPeer {
    /// The peer.
    pub peer: SocketAddr,
    /// Time since its last successful store call; `None` when it does not watch the store.
    pub store_age: Option<Duration>,
}

/// Whether a router watches the store, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum WatcherRole {
    /// It watches, as it is among the first by rank.
    Chosen,
    /// It watches, as no peer's last store call is fresh.
    #[serde(rename = "nobody-else")]
    Fallback,
    /// It does not watch; others do.
    #[serde(rename = "left-to-others")]
    Standby,
}

impl WatcherRole {
    /// Whether the store is watched.
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

    /// Whether the store is pinged; a fallback spares a store that fails its calls.
    pub fn pings(self, calls_fail: bool) -> bool {
        match self {
            Self::Chosen => true,
            Self::Fallback => !calls_fail,
            Self::Standby => false,
        }
    }
}

fn is_fresh(now: Instant, at: Instant) -> bool {
    now.saturating_duration_since(at) <= FRESH_FOR
}

/// Decides whether a router watches the store, given its live and ready peers.
pub fn watcher_role(own: SocketAddr, peers: &[ReadyPeer]) -> WatcherRole {
    let own_rank = rank_of(own);
    let before = peers.iter().filter(|p| rank_of(p.peer) < own_rank);
    if before.count() < WATCHERS {
        return WatcherRole::Chosen;
    }
    let is_fresh = |p: &ReadyPeer| p.store_age.is_some_and(|age| age <= FRESH_FOR);
    if peers.iter().any(is_fresh) {
        WatcherRole::Standby
    } else {
        WatcherRole::Fallback
    }
}

/// The longest pause between a router's calls to a store that does not answer it.
///
/// Failed calls have their price, too, and a store that is down for one router mostly is
/// for all. So those that are not among the first by rank spread their calls over time;
/// whoever succeeds serves the others.
pub fn max_backoff(own: SocketAddr, live_peers: &[SocketAddr]) -> Duration {
    let own_rank = rank_of(own);
    let before = live_peers.iter().filter(|peer| rank_of(**peer) < own_rank);
    if before.count() < WATCHERS {
        return MAX_BACKOFF;
    }
    let routers = u32::try_from(live_peers.len() + 1).unwrap_or(u32::MAX);
    (FALLBACK_SLOT * routers).max(MAX_BACKOFF)
}

/// What a loop that calls the store does next.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallStep {
    /// Call the store.
    Call,
    /// Check the role again after this time.
    CheckAfter(Duration),
    /// Check the role again after this part, 0 to 1, of [`max_backoff`].
    CheckAfterPart(f64),
}

/// When a router calls the store, by its role.
///
/// Where no watcher's call is fresh, all routers become fallbacks at the same moment; each
/// waits for a random part of the time over which their calls are spread.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallPacing {
    has_waited: bool,
}

impl CallPacing {
    /// Decides whether to call now; `random` is drawn evenly from 0 to 1.
    pub fn step(&mut self, role: WatcherRole, random: impl FnOnce() -> f64) -> CallStep {
        match role {
            WatcherRole::Chosen => CallStep::Call,
            WatcherRole::Fallback if self.has_waited => CallStep::Call,
            WatcherRole::Fallback => {
                self.has_waited = true;
                CallStep::CheckAfterPart(random())
            }
            WatcherRole::Standby => {
                self.has_waited = false;
                CallStep::CheckAfter(ROLE_CHECK_PERIOD)
            }
        }
    }
}

/// The order in which routers are chosen: by hash, so that neighbours in the address space,
/// which may share a rack, are not chosen together.
fn rank_of(router: SocketAddr) -> (u64, SocketAddr) {
    (hash_of(&router.to_string()), router)
}
