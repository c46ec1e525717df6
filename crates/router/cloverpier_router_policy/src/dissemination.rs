//! Dissemination of facts that all routers need soon: when a fact is sent again, and to whom.
//!
//! - **Question.** A new fact is sent to all peers at once, in one datagram each. When is it sent
//!   again, and to whom?
//! - **Inputs.** When the last fact was learned; a peer's heartbeat and the one before; the number of
//!   peers.
//! - **Answer.** Yes or no.
//! - **Why.** Datagrams are lost, and routers are partitioned and restarted. So new facts are repeated
//!   to random peers for a while, and a peer that may have missed some gets all of them. Without new
//!   facts nothing is sent.
//!
//! The facts themselves are those of [`crate::crash_reports`] and [`crate::leaving`]. Owns nothing.

use crate::peers::PeerEntry;
use std::time::{Duration, Instant};

/// How long facts are repeated after the last one was learned, to one peer with each heartbeat.
/// With 200 ms between heartbeats each peer receives some 15 repeats: none misses a fact where a
/// tenth of the datagrams is lost.
pub const REPEAT_WINDOW: Duration = Duration::from_secs(3);
/// How many of the peers that notice a router which may have missed facts send them: each does with
/// this number divided by the number of peers as its probability.
const SENDERS: usize = 16;

/// Whether the sender of a heartbeat may have missed facts: it is new, was silent for longer than
/// `timeout`, or was restarted and so has an older configuration than before, or none. One without a
/// configuration counts each time: the heartbeat before may be that of a run that ended as early.
pub fn may_have_missed_facts(
    former: Option<&PeerEntry>,
    entry: &PeerEntry,
    timeout: Duration,
) -> bool {
    former.is_none_or(|former| {
        let silent = entry
            .last_heartbeat
            .saturating_duration_since(former.last_heartbeat);
        let version = entry.configuration_version;
        silent > timeout || version < former.configuration_version || version == 0
    })
}

/// Whether this router is one of those that send a peer what it may have missed.
pub fn sends_missed_facts(peers: usize, rng: &mut fastrand::Rng) -> bool {
    peers <= SENDERS || rng.usize(..peers) < SENDERS
}

/// Whether facts are repeated now.
pub fn is_within_repeat_window(last_report: Option<Instant>, now: Instant) -> bool {
    last_report.is_some_and(|at| now.saturating_duration_since(at) < REPEAT_WINDOW)
}
