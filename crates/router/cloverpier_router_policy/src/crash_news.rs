//! What peers are told of requests that end upstreams, and who is told again.
//!
//! - **Question.** Which ends do peers hear of, at once or again, and in how large messages?
//! - **Inputs.** What was around an end; what a heartbeat says of its sender beside the one before; the
//!   number of peers.
//! - **Answer.** Yes or no; messages within a datagram's bound.
//! - **Why.** A caller repeats at any router, so an end that counts goes to all routers at once, in one
//!   datagram each. One that something else explains goes to nobody: a dying data centre would have
//!   each of 300 routers tell all others some five of them. Datagrams get lost and routers are cut
//!   off, so what is known against suspect contents is told again for a while, and to a peer that may
//!   have missed it. On days without such contents nothing is sent at all.
//!
//! Which ends count, and what is done with a content, is decided in `cloverpier_crashes`. Owns
//! nothing.

use crate::peers::PeerEntry;
use cloverpier_crashes::{ContentReport, Surroundings};
use std::time::{Duration, Instant};

/// Ends of less weight, in thousandths, are not told: three of five others in a data centre have ended
/// beside it, so that two that one request ended at once are told. Chosen, not measured.
const MIN_TOLD_WEIGHT: u32 = 250;
/// How long suspect contents are told again after something new was learned, to one peer with each
/// heartbeat. With 200 ms between heartbeats each peer is told some 15 times by the others: none
/// misses it where a tenth of the datagrams is lost. Chosen, not measured.
pub const TOLD_AGAIN_FOR: Duration = Duration::from_secs(3);
/// Peers that tell a router what it may have missed, of those that notice: each does with this
/// number over theirs as its chance. Chosen, not measured.
const TELLERS: usize = 16;
/// Ends in one message. An end takes 40 bytes, and 10 for each of up to 12 others beside it: 32 of
/// them at most 5,200, where a datagram may have 8,192.
const MAX_ENDS: usize = 32;

/// Whether peers are told of an end, which is one of `ends` that are known of its content. What else
/// ended beside it explains the first; the others may be the content's own.
pub fn is_told(surroundings: &Surroundings, ends: usize) -> bool {
    let weight = surroundings.weight(|_| None);
    ends > 1 || weight.thousandths() >= MIN_TOLD_WEIGHT
}

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

/// Whether suspect contents are told again now.
pub fn is_told_again(last_news: Option<Instant>, now: Instant) -> bool {
    last_news.is_some_and(|at| now.saturating_duration_since(at) < TOLD_AGAIN_FOR)
}

/// Reports in as many messages as they need.
pub fn in_messages(reports: Vec<ContentReport>) -> Vec<Vec<ContentReport>> {
    let mut messages: Vec<Vec<ContentReport>> = Vec::new();
    let mut ends = 0;
    for report in reports {
        ends += report.crashes.len();
        match messages.last_mut() {
            Some(message) if ends <= MAX_ENDS => message.push(report),
            _ => {
                ends = report.crashes.len();
                messages.push(vec![report]);
            }
        }
    }
    messages
}
