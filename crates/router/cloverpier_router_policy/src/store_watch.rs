//! Which routers watch the platform's store, for all of them.
//!
//! Every call to the store has its price, so a few routers watch it and the
//! others hear of changes from these. Nothing of safety hangs on who does it:
//! two groups that don't hear each other have watchers of their own, and a
//! router that hears of no watcher with a fresh word from the store watches
//! it itself.

use cloverpier_core::hash_of;
use serde::Serialize;
use std::net::SocketAddr;
use std::time::Duration;

/// Routers that watch the store at the same time.
const WATCHERS: usize = 3;
/// Longest pause between the calls of a chosen router to a store that doesn't answer.
const CHOSEN_PAUSE: Duration = Duration::from_secs(1);
/// All other routers together call such a store about once in this time.
const TURN: Duration = Duration::from_millis(100);

/// What a router knows of a peer that may watch the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The peer.
    pub peer: SocketAddr,
    /// How old its last word from the store is; `None` when it doesn't watch it.
    pub store_age: Option<Duration>,
}

/// Whether a router watches the store, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum WatcherRole {
    /// It is among the first by rank.
    Chosen,
    /// No peer has heard from the store of late.
    #[serde(rename = "nobody-else")]
    Fallback,
    /// Others do.
    #[serde(rename = "left-to-others")]
    Standby,
}

impl WatcherRole {
    /// Whether the store is to be followed.
    pub fn watches(self) -> bool {
        self != Self::Standby
    }
}

/// Decides whether a router watches the store, given its live peers.
pub fn watcher_role(own: SocketAddr, live: &[Candidate], fresh_within: Duration) -> WatcherRole {
    let own_rank = rank_of(own);
    let before = live.iter().filter(|c| rank_of(c.peer) < own_rank);
    if before.count() < WATCHERS {
        return WatcherRole::Chosen;
    }
    let is_fresh = |c: &Candidate| c.store_age.is_some_and(|age| age <= fresh_within);
    if live.iter().any(is_fresh) {
        WatcherRole::Standby
    } else {
        WatcherRole::Fallback
    }
}

/// The longest pause between a router's calls to a store that doesn't answer it.
///
/// Refused calls have their price, too, and a store that is down for one
/// router mostly is for all. So those that aren't among the first by rank take
/// turns; whoever gets through tells the others.
pub fn max_store_backoff(own: SocketAddr, live: &[SocketAddr]) -> Duration {
    let own_rank = rank_of(own);
    let before = live.iter().filter(|peer| rank_of(**peer) < own_rank);
    if before.count() < WATCHERS {
        return CHOSEN_PAUSE;
    }
    let routers = u32::try_from(live.len() + 1).unwrap_or(u32::MAX);
    (TURN * routers).max(CHOSEN_PAUSE)
}

/// The order in which routers are chosen: by hash, so that neighbours aren't chosen together.
fn rank_of(router: SocketAddr) -> (u64, SocketAddr) {
    (hash_of(&router.to_string()), router)
}
