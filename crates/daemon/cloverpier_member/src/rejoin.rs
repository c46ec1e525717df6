//! When a member that was taken off the list joins again.
//!
//! Question: may this process join now? Input: how long its memberships lasted. Answer: yes or
//! no.

use std::time::{Duration, Instant};

/// The first wait; doubled with each removal.
const FIRST: Duration = Duration::from_millis(500);
/// The longest wait.
const MOST: Duration = Duration::from_secs(60);
/// A membership that lasted this long was sound: the next wait is the first again.
const SOUND: Duration = Duration::from_secs(60);

/// Spaces the joins of a member that others can't reach.
///
/// Such a member reaches the platform and joins again as soon as it is
/// removed; without growing waits the list would change every few seconds.
#[derive(Clone, Copy, Debug)]
pub struct Rejoin {
    wait: Duration,
    joined: Option<Instant>,
    due: Option<Instant>,
}

impl Rejoin {
    /// A process that has not joined yet; it may at once.
    pub fn new() -> Self {
        Self {
            wait: FIRST,
            joined: None,
            due: None,
        }
    }

    /// Notes that the process is on the list.
    pub fn on_member(&mut self, now: Instant) {
        self.joined.get_or_insert(now);
        self.due = None;
    }

    /// Whether a process that is not on the list may join now.
    pub fn may_join(&mut self, now: Instant) -> bool {
        if let Some(joined) = self.joined.take() {
            let sound = now.saturating_duration_since(joined) >= SOUND;
            self.wait = if sound {
                FIRST
            } else {
                (self.wait * 2).min(MOST)
            };
            self.due = Some(now + self.wait);
        }
        self.due.is_none_or(|due| now >= due)
    }
}

impl Default for Rejoin {
    fn default() -> Self {
        Self::new()
    }
}
