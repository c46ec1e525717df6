//! A cache of encoded copies of the list of upstreams, for peers that fetch the whole list.
//!
//! Peers that start together request the same list within a second, so it is encoded once for all of them.
//! [`ListCopies`] owns the copies. Relies on the caller for the time, and on [`ListCopies::remove_expired`]
//! being called regularly to free their memory.

use crate::configuration_copies::CopyEncoding;
use bytes::Bytes;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// How long a copy of the list is sent to peers, although it may lack the newest changes, which a peer
/// fetches afterwards. While thousands of upstreams change, encoding each revision for each peer would take
/// most of a small VM's processor time.
const LIST_COPY_TTL: Duration = Duration::from_secs(1);

/// Whether upstreams are encoded with software versions and start times, and the encoding of the copy.
type CopyKey = (bool, CopyEncoding);

/// An encoded copy of the list.
#[derive(Debug)]
struct ListCopy {
    bytes: Bytes,
    /// The list's revision.
    revision: u64,
    encoded_at: Instant,
}

/// The last encoded copy of the list for each form and encoding.
#[derive(Debug, Default)]
pub(crate) struct ListCopies {
    copies: HashMap<CopyKey, ListCopy>,
}

impl ListCopies {
    /// The copy for a form and encoding that is newer than the revision `after`; `None` without one of the last second. A
    /// peer without a list has no `after`.
    pub fn get(&self, key: CopyKey, after: Option<u64>, now: Instant) -> Option<Bytes> {
        let copy = self.copies.get(&key)?;
        let is_recent = now.saturating_duration_since(copy.encoded_at) < LIST_COPY_TTL;
        let is_newer = after.is_none_or(|after| copy.revision > after);
        (is_recent && is_newer).then(|| copy.bytes.clone())
    }

    /// Stores a copy of the list at a revision that was encoded at `now`.
    pub fn put(&mut self, key: CopyKey, bytes: Bytes, revision: u64, now: Instant) {
        let copy = ListCopy {
            bytes,
            revision,
            encoded_at: now,
        };
        self.copies.insert(key, copy);
    }

    /// Removes all copies.
    pub fn clear(&mut self) {
        self.copies.clear();
    }

    /// Removes copies that are older than a second.
    pub fn remove_expired(&mut self, now: Instant) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < LIST_COPY_TTL;
        self.copies.retain(|_, copy| is_recent(copy.encoded_at));
    }
}
