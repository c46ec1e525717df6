//! Whether a router's list of upstreams still proves which version began its service's streams.
//!
//! - **Question.** May this router conclude from the store's last confirmation of its list that a service has one version?
//! - **Inputs.** When the store confirmed the list; when this router's tasks last ran; when its last pause ended; when a
//!   peer last sent a message; whether a peer has reported a newer list.
//! - **Result.** Whether the confirmation counts.
//! - **Why.** Other routers may use a version that has joined since, where the former one leaves. A router that runs and
//!   receives its peers' messages learns of it within milliseconds. One that was paused, or is partitioned, uses its earlier list:
//!   after a pause, requests that wait in its sockets are read before any message of a peer. So a confirmation from before a pause does
//!   not count, and without messages of peers only a recent one does; the store is asked anew.
//!
//! [`InStep`] owns what a router knows of itself.

use std::time::{Duration, Instant};

/// How long after the last message of a peer a router counts as cut off: three heartbeats, of which two may be lost.
pub const SILENCE_LIMIT: Duration = Duration::from_millis(700);
/// The same in a large fleet, in which a router gets gossip messages of a few peers.
pub const LARGE_FLEET_SILENCE_LIMIT: Duration = Duration::from_secs(2);
/// By how much a router's periodic work is late after a pause, at least.
pub const PAUSE_THRESHOLD: Duration = Duration::from_millis(300);

/// How long after a pause of this process its list is read before requests of peers are passed on by it.
const PAUSE_EFFECT: Duration = Duration::from_secs(2);

/// What a router knows of its own pauses and of its contact with peers.
#[derive(Clone, Copy, Debug, Default)]
pub struct InStep {
    /// When the next periodic work is due; `None` before the first.
    next_period: Option<Instant>,
    /// When the last pause of this process was noticed; `None` without one.
    resumed_at: Option<Instant>,
    /// When a peer last sent a message; `None` before the first message.
    last_message_at: Option<Instant>,
}

/// A fleet as far as the silence of peers depends on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fleet {
    /// This router knows no other.
    Alone,
    /// Routers send each other heartbeats.
    Small,
    /// Routers send each other gossip.
    Large,
}

impl InStep {
    /// Records that periodic work is done, and when it is due next. Returns whether the process was paused before.
    pub fn on_period(&mut self, now: Instant, next: Instant) -> bool {
        let was_paused = self.is_paused(now);
        if was_paused {
            self.resumed_at = Some(now);
        }
        self.next_period = Some(next);
        was_paused
    }

    /// Records a message of a peer.
    pub fn on_message(&mut self, now: Instant) {
        self.last_message_at = Some(now);
    }

    /// Whether the store's confirmation of the list at `confirmed_at` counts. `has_newer_list` is whether a live peer has
    /// reported a newer list.
    pub fn trusts(
        &self,
        confirmed_at: Instant,
        fleet: Fleet,
        has_newer_list: bool,
        now: Instant,
    ) -> bool {
        let limit = match fleet {
            Fleet::Large => LARGE_FLEET_SILENCE_LIMIT,
            Fleet::Alone | Fleet::Small => SILENCE_LIMIT,
        };
        let is_recent = |at: Instant| now.saturating_duration_since(at) <= limit;
        let is_after_pause = self.resumed_at.is_none_or(|at| confirmed_at >= at);
        let is_in_touch = fleet == Fleet::Alone
            || is_recent(confirmed_at)
            || self.last_message_at.is_some_and(is_recent);
        !self.is_paused(now) && is_after_pause && is_in_touch && !has_newer_list
    }

    /// Whether this process was paused after its list was shown to be complete at `proven_at`, so that requests which waited
    /// in its sockets are read by an earlier list. A pause counts for [`PAUSE_EFFECT`].
    pub fn is_list_from_before_pause(&self, proven_at: Option<Instant>, now: Instant) -> bool {
        let is_earlier = |resumed_at: Instant| {
            let is_recent = now.saturating_duration_since(resumed_at) < PAUSE_EFFECT;
            is_recent && proven_at.is_none_or(|at| at < resumed_at)
        };
        self.is_paused(now) || self.resumed_at.is_some_and(is_earlier)
    }

    /// Whether the periodic work is so late that the process must have been paused.
    pub fn is_paused(&self, now: Instant) -> bool {
        self.next_period
            .is_some_and(|due| now.saturating_duration_since(due) > PAUSE_THRESHOLD)
    }
}
