//! Pacing of the copies of the configuration that a router sends to its peers.
//!
//! - **Question.** A peer requests the configuration. Does it receive a copy now, or after what time should
//!   it send the request again?
//! - **Inputs.** Size of the copy; bandwidth of the VM's link; the copies sent before.
//! - **Result.** A [`CopyStep`].
//! - **Why.** Right after a change, three routers have the configuration and all others request it from them.
//!   If a router sent 23 copies of 150 kB at once over a link of 10 Mbit/s, they would occupy the link for
//!   2.8 s: no copy would be complete before, and heartbeats, readiness responses and callers would wait
//!   behind them. If copies are sent one after the other, the first ones are complete after milliseconds, and
//!   their recipients serve further peers: the number of routers with the configuration doubles with the time
//!   of each copy.
//!
//! Relies on [`crate::version_fetch`], which follows a refusal with a request to another peer or a wait.

use std::time::{Duration, Instant};

/// The fraction of the link's bandwidth that copies may use; the rest is for callers, heartbeats and
/// readiness responses.
const COPY_LINK_SHARE: f64 = 0.5;
/// Maximum time that copies already sent may still need at their share of the link when a further one is
/// sent, so that small copies need no pacing. At 10 Mbit/s, copies of 31 kB take this time. Other traffic waits
/// half as long behind these copies, because they can use the whole link while they are transmitted.
const MAX_BACKLOG: Duration = Duration::from_millis(50);

/// Bandwidth of a VM's network link.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkRate {
    bytes_per_s: f64,
}

impl LinkRate {
    /// Converts a bandwidth in megabits per second.
    pub fn from_mbps(mbps: f64) -> Self {
        Self {
            bytes_per_s: mbps * 1e6 / 8.0,
        }
    }

    /// How long a copy of this many bytes takes at the share of the link that copies may use.
    pub fn copy_time(self, bytes: usize) -> Duration {
        let seconds = bytes as f64 / (self.bytes_per_s * COPY_LINK_SHARE);
        // `Duration` can't represent the time for a link with almost no bandwidth.
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }
}

/// Whether a peer receives a copy now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyStep {
    /// Send the copy now.
    Send,
    /// Refuse the request: the peer should repeat it after this time, or send it to another peer.
    Refuse(Duration),
}

/// Tracks when the link will have transmitted the copies sent so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct CopyPacing {
    /// When the link will have transmitted the copies sent so far; `None` before the first copy.
    link_free_at: Option<Instant>,
}

impl CopyPacing {
    /// Decides whether to send a copy of this many bytes, and records a copy that is sent.
    pub fn step(&mut self, bytes: usize, link: LinkRate, now: Instant) -> CopyStep {
        let link_free_at = self.link_free_at.map_or(now, |at| at.max(now));
        let backlog = link_free_at - now;
        if backlog > MAX_BACKLOG {
            return CopyStep::Refuse(backlog - MAX_BACKLOG);
        }
        // If `Instant` can't represent the end of the transmission, no time is recorded, and this copy does
        // not delay the next one.
        self.link_free_at = link_free_at.checked_add(link.copy_time(bytes));
        CopyStep::Send
    }
}
