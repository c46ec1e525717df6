//! Repeated sending of facts that all routers need soon.
//!
//! - **Question.** A new fact is sent to all peers at once, in one datagram each. When is it sent again, and
//!   to which peers?
//! - **Inputs.** When this router received the last new fact; a peer's heartbeat and the previous one; the
//!   number of peers.
//! - **Result.** Yes or no.
//! - **Why.** Datagrams are lost, and routers are partitioned and restarted. So new facts are repeated to
//!   random peers for [`REPEAT_WINDOW`], and a peer that may have missed facts is sent all of them. Without
//!   new facts, nothing is sent.
//!
//! The facts are crash reports, leaving reports and rate-limit reports ([`crate::crash_reports`],
//! [`crate::leaving`], [`crate::limit`]). Owns no state.

use crate::peers::PeerEntry;
use std::time::{Duration, Instant};

/// How long facts are repeated after the last new one, to one random peer with each heartbeat. At a heartbeat
/// interval of 200 ms, each peer receives about 15 repeats, so that no peer misses a fact when 10% of the
/// datagrams are lost.
pub const REPEAT_WINDOW: Duration = Duration::from_secs(3);
/// Expected number of routers that send a peer the facts that it may have missed. Each router that detects
/// such a peer sends with a probability of this number divided by its number of peers.
const EXPECTED_SENDERS: usize = 16;

/// Whether the sender of a heartbeat may have missed facts: it is new, was silent for longer than `timeout`,
/// or has an older configuration than before or none, and so was restarted. A sender without a configuration
/// counts in each heartbeat, because the previous heartbeat may be from an earlier process at its address
/// that ended before it had a configuration, too.
pub fn may_have_missed_facts(
    previous: Option<&PeerEntry>,
    entry: &PeerEntry,
    timeout: Duration,
) -> bool {
    previous.is_none_or(|previous| {
        let silent = entry
            .last_heartbeat
            .saturating_duration_since(previous.last_heartbeat);
        let version = entry.configuration_version;
        silent > timeout || version < previous.configuration_version || version == 0
    })
}

/// Whether this router sends another router the facts that it may have missed. The decision is random, so that
/// about 16 of the other router's peers do; `peers` is the number of this router's peers.
pub fn sends_missed_facts(peers: usize, rng: &mut fastrand::Rng) -> bool {
    peers <= EXPECTED_SENDERS || rng.usize(..peers) < EXPECTED_SENDERS
}

/// Whether facts are still repeated, because the last new one arrived less than [`REPEAT_WINDOW`] ago.
/// `last_report` is the time of its arrival, `None` if this router has received no fact.
pub fn is_within_repeat_window(last_report: Option<Instant>, now: Instant) -> bool {
    last_report.is_some_and(|at| now.saturating_duration_since(at) < REPEAT_WINDOW)
}
