//! Which routers follow the platform's store, for all of them.
//!
//! Every call to the store has its price, so a few routers follow it and the
//! others hear of changes from these. Nothing of safety hangs on who does it:
//! two groups that don't hear each other have followers of their own, and a
//! router that hears of no follower with a fresh word from the store follows
//! it itself.

use cloverpier_core::hash_of;
use serde::Serialize;
use std::net::SocketAddr;
use std::time::Duration;

/// Routers that follow the store at the same time.
const FOLLOWERS: usize = 3;
/// Longest pause between the calls of a chosen router to a store that doesn't answer.
const CHOSEN_PAUSE: Duration = Duration::from_secs(1);
/// All other routers together call such a store about once in this time.
const TURN: Duration = Duration::from_millis(100);

/// What a router knows of a peer that may follow the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The peer.
    pub peer: SocketAddr,
    /// How old its last word from the store is; `None` when it doesn't follow it.
    pub store_age: Option<Duration>,
}

/// Whether a router follows the store, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Following {
    /// It is among the first by rank.
    Chosen,
    /// No peer has heard from the store of late.
    NobodyElse,
    /// Others do.
    LeftToOthers,
}

impl Following {
    /// Whether the store is to be followed.
    pub fn is_due(self) -> bool {
        self != Self::LeftToOthers
    }
}

/// Decides whether a router follows the store, given its live peers.
pub fn should_follow(own: SocketAddr, live: &[Candidate], fresh_within: Duration) -> Following {
    let own_rank = rank_of(own);
    let before = live.iter().filter(|c| rank_of(c.peer) < own_rank);
    if before.count() < FOLLOWERS {
        return Following::Chosen;
    }
    let is_fresh = |c: &Candidate| c.store_age.is_some_and(|age| age <= fresh_within);
    if live.iter().any(is_fresh) {
        Following::LeftToOthers
    } else {
        Following::NobodyElse
    }
}

/// The longest pause between a router's calls to a store that doesn't answer it.
///
/// Refused calls have their price, too, and a store that is down for one
/// router mostly is for all. So those that aren't among the first by rank take
/// turns; whoever gets through tells the others.
pub fn longest_pause(own: SocketAddr, live: &[SocketAddr]) -> Duration {
    let own_rank = rank_of(own);
    let before = live.iter().filter(|peer| rank_of(**peer) < own_rank);
    if before.count() < FOLLOWERS {
        return CHOSEN_PAUSE;
    }
    let routers = u32::try_from(live.len() + 1).unwrap_or(u32::MAX);
    (TURN * routers).max(CHOSEN_PAUSE)
}

/// The order in which routers are chosen: by hash, so that neighbours aren't chosen together.
fn rank_of(router: SocketAddr) -> (u64, SocketAddr) {
    (hash_of(&router.to_string()), router)
}
