//! Request contents that completed within the last seconds, before an upstream crashed under them.
//!
//! The same lookup may run at several upstreams at any time. If all of them crash at once, as after an operator's
//! mistake, nothing else shows that the lookup did not cause the crashes, and a lookup that every caller needs would be
//! blocked. A content that completed just before a crash is therefore taken not to have caused the crash.
//!
//! Owns a hash table of fixed size, in which a newer content replaces an older one in the same slot: crashes
//! under a replaced content count as usual. The hash is a fast one, not a cryptographic one, as each completed
//! request is recorded.

use crate::content::RequestContent;
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::Xxh3;

/// How long after a completion a request content is taken not to have caused an upstream crash. The window is short
/// because a content that starts to crash upstreams is not blocked for this time.
const RECENT_COMPLETION_WINDOW: Duration = Duration::from_secs(10);
/// Number of request contents in the table; at 24 bytes each, the table takes 24 kB.
const SLOTS: usize = 1_024;

/// Table of the request contents that completed recently.
#[derive(Clone, Debug)]
pub struct RecentCompletions {
    /// The hash and the last completion of one content; `None` for an unused slot.
    slots: Vec<Option<(u64, Instant)>>,
}

impl Default for RecentCompletions {
    fn default() -> Self {
        Self {
            slots: vec![None; SLOTS],
        }
    }
}

impl RecentCompletions {
    /// Records that a request with a content completed.
    pub fn on_completed(&mut self, content: &RequestContent<'_>, now: Instant) {
        let hash = hash(content);
        self.slots[slot(hash)] = Some((hash, now));
    }

    /// Whether a request with a content completed within the last 10 seconds.
    pub fn completed_recently(&self, content: &RequestContent<'_>, now: Instant) -> bool {
        let hash = hash(content);
        self.slots[slot(hash)].is_some_and(|(recorded, at)| {
            recorded == hash && now.saturating_duration_since(at) <= RECENT_COMPLETION_WINDOW
        })
    }
}

fn hash(content: &RequestContent<'_>) -> u64 {
    let mut hasher = Xxh3::new();
    for field in content.head() {
        hasher.update(&(field.len() as u64).to_be_bytes());
        hasher.update(field.as_bytes());
    }
    hasher.update(content.body);
    hasher.digest()
}

/// The slot of a hash; less than [`SLOTS`].
fn slot(hash: u64) -> usize {
    (hash % SLOTS as u64) as usize
}
