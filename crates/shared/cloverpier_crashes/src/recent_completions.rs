//! Contents that ran to their end a moment ago.
//!
//! - **Question.** Did this content run well just before an upstream ended under it?
//! - **Inputs.** Each request that an upstream answered to its end.
//! - **Answer.** Yes or no.
//! - **Why.** The same lookup may run at several upstreams at any moment. Where all of them end at
//!   once, as by an operator's mistake, nothing else would explain these ends, and a lookup that
//!   everybody needs would be stopped.
//!
//! Owns a table of fixed size in which a newer content takes an older one's place: what it forgets is
//! not excused. Told by a fast hash, as it takes in every request.

use crate::content::Content;
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::Xxh3;

/// A content that ran to its end this long ago counts as innocent of an end now. Longer, and one that
/// has begun to end upstreams is not stopped for that time.
const RECENT: Duration = Duration::from_secs(10);
/// Contents that are kept: 32 kB.
const SLOTS: usize = 1_024;

/// Contents that ran to their end recently.
#[derive(Clone, Debug)]
pub struct RecentContents {
    slots: Vec<Option<(u64, Instant)>>,
}

impl Default for RecentContents {
    fn default() -> Self {
        Self {
            slots: vec![None; SLOTS],
        }
    }
}

impl RecentContents {
    /// Records that a content ran to its end.
    pub fn on_completed(&mut self, content: &Content<'_>, now: Instant) {
        let hash = hash(content);
        self.slots[slot(hash)] = Some((hash, now));
    }

    /// Whether a content ran to its end a moment ago.
    pub fn ran_well(&self, content: &Content<'_>, now: Instant) -> bool {
        let hash = hash(content);
        self.slots[slot(hash)]
            .is_some_and(|(known, at)| known == hash && now.saturating_duration_since(at) <= RECENT)
    }
}

fn hash(content: &Content<'_>) -> u64 {
    let mut hasher = Xxh3::new();
    for part in content.head() {
        hasher.update(&(part.len() as u64).to_be_bytes());
        hasher.update(part.as_bytes());
    }
    hasher.update(content.body);
    hasher.digest()
}

/// Within the table: the rest of a division by its length.
fn slot(hash: u64) -> usize {
    (hash % SLOTS as u64) as usize
}
