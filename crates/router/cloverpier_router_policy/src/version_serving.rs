//! Whether a router hands out another copy of its configuration now.
//!
//! - **Question.** A peer asks for the configuration: does it get a copy now, or when should
//!   it ask again?
//! - **Inputs.** Bytes of the copy; what the VM's link carries; the copies that were handed
//!   out before.
//! - **Answer.** A [`CopyStep`].
//! - **Why.** Right after a change three routers have the configuration and all others ask
//!   them. Handed out to all at once, 23 copies of 150 kB hold a link of 10 Mbit/s for 2.8 s:
//!   none of them is whole before that, and heartbeats, readiness answers and callers wait
//!   behind them. One after the other, the first copies are whole after milliseconds and
//!   serve the next peers: those that have it double with each copy's time.
//!
//! Relies on [`crate::version_fetch`] for what a peer does with the answer.

use std::time::{Duration, Instant};

/// The part of the link that copies may take; the rest is for callers, heartbeats and readiness
/// answers.
const LINK_SHARE: f64 = 0.5;
/// Copies may be handed out this far ahead of the link, so that small ones need no pacing: it is 31
/// kB at 10 Mbit/s, and what waits behind it waits half as long.
const MAX_BACKLOG: Duration = Duration::from_millis(50);

/// What a VM's link carries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkRate {
    bytes_per_s: f64,
}

impl LinkRate {
    /// A link of this many megabits a second.
    pub fn from_mbps(mbps: f64) -> Self {
        Self {
            bytes_per_s: mbps * 1e6 / 8.0,
        }
    }

    /// How long copies of this many bytes take with their share of the link.
    pub fn copy_time(self, bytes: usize) -> Duration {
        let seconds = bytes as f64 / (self.bytes_per_s * LINK_SHARE);
        // Longer than any time that can be stated: such a copy blocks all that follow.
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }
}

/// Whether a peer gets a copy now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyStep {
    /// It gets one.
    Send,
    /// It should ask again after this time, or ask another peer.
    Refuse(Duration),
}

/// The copies that the link still carries.
#[derive(Clone, Copy, Debug, Default)]
pub struct CopyPacing {
    /// When those handed out have passed the link.
    carried_at: Option<Instant>,
}

impl CopyPacing {
    /// Decides on a copy of this many bytes, and counts it if it is handed out.
    pub fn step(&mut self, bytes: usize, link: LinkRate, now: Instant) -> CopyStep {
        let carried_at = self.carried_at.map_or(now, |at| at.max(now));
        let backlog = carried_at - now;
        if backlog > MAX_BACKLOG {
            return CopyStep::Refuse(backlog - MAX_BACKLOG);
        }
        // A copy without end in sight blocks all others, as it should.
        self.carried_at = carried_at.checked_add(link.copy_time(bytes));
        CopyStep::Send
    }
}
