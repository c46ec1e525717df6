//! Delays the rejoining of a process that was removed from the member list.
//!
//! [`RejoinBackoff`] decides from the duration of the last memberships whether the process may join
//! now. The caller passes in the time.

use std::time::{Duration, Instant};

/// Delay before a process rejoins after a stable membership. The delay doubles with each removal
/// after an unstable one.
const INITIAL_DELAY: Duration = Duration::from_millis(500);
/// Upper limit of the delay.
const MAX_DELAY: Duration = Duration::from_secs(60);
/// A membership that lasted this long counts as stable and resets the delay.
const STABLE_AFTER: Duration = Duration::from_secs(60);

/// Exponential backoff between the joins of a process that other members can't reach.
///
/// Such a process still reaches the platform, so it could rejoin immediately after each removal.
/// Without a growing delay, the member list would change every few seconds.
#[derive(Clone, Copy, Debug)]
pub struct RejoinBackoff {
    delay: Duration,
    joined_at: Option<Instant>,
    due_at: Option<Instant>,
}

impl RejoinBackoff {
    /// Creates the state of a process that has not joined yet and may join immediately.
    pub fn new() -> Self {
        Self {
            delay: INITIAL_DELAY,
            joined_at: None,
            due_at: None,
        }
    }

    /// Records that the process is on the member list.
    pub fn on_listed(&mut self, now: Instant) {
        self.joined_at.get_or_insert(now);
        self.due_at = None;
    }

    /// Whether a process that is not on the member list may join now. The first call after a
    /// removal starts the delay.
    pub fn may_join(&mut self, now: Instant) -> bool {
        if let Some(joined_at) = self.joined_at.take() {
            let was_stable = now.saturating_duration_since(joined_at) >= STABLE_AFTER;
            self.delay = if was_stable {
                INITIAL_DELAY
            } else {
                (self.delay * 2).min(MAX_DELAY)
            };
            self.due_at = Some(now + self.delay);
        }
        self.due_at.is_none_or(|due_at| now >= due_at)
    }
}

impl Default for RejoinBackoff {
    fn default() -> Self {
        Self::new()
    }
}
