//! News that all routers should have soon: who is told again.
//!
//! - **Question.** News goes to all peers at once, in one datagram each. Who is told again, and when?
//! - **Inputs.** When something new was learned last; what a heartbeat says of its sender beside the
//!   one before; the number of peers.
//! - **Answer.** Yes or no.
//! - **Why.** Datagrams get lost, and routers are cut off and start anew. So what is new is told again
//!   for a while, and all that is known to a peer that may have missed it. While there is no news,
//!   nothing is sent at all.
//!
//! What the news is belongs to [`crate::crash_news`] and [`crate::leaving`]. Owns nothing.

use crate::peers::PeerEntry;
use std::time::{Duration, Instant};

/// How long news is told again after something new was learned, to one peer with each heartbeat. With
/// 200 ms between heartbeats each peer is told some 15 times by the others: none misses it where a
/// tenth of the datagrams is lost. Chosen, not measured.
pub const TOLD_AGAIN_FOR: Duration = Duration::from_secs(3);
/// Peers that tell a router what it may have missed, of those that notice: each does with this
/// number over theirs as its chance. Chosen, not measured.
const TELLERS: usize = 16;

/// Whether the sender of a heartbeat may have missed what its peers were told: it is new, was silent
/// for longer than `timeout`, or has started anew and so forgotten its configuration.
pub fn may_have_missed(former: Option<&PeerEntry>, entry: &PeerEntry, timeout: Duration) -> bool {
    former.is_none_or(|former| {
        let silent = entry
            .last_heartbeat
            .saturating_duration_since(former.last_heartbeat);
        silent > timeout || entry.configuration_version < former.configuration_version
    })
}

/// Whether this router is one of those that tell a peer what it may have missed.
pub fn is_teller(peers: usize, rng: &mut fastrand::Rng) -> bool {
    peers <= TELLERS || rng.usize(..peers) < TELLERS
}

/// Whether news is told again now.
pub fn is_told_again(last_news: Option<Instant>, now: Instant) -> bool {
    last_news.is_some_and(|at| now.saturating_duration_since(at) < TOLD_AGAIN_FOR)
}
