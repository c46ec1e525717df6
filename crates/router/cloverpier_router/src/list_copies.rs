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

/// The last encoded copy of the list for each form and encoding, and when it was encoded.
#[derive(Debug, Default)]
pub(crate) struct ListCopies {
    copies: HashMap<CopyKey, (Bytes, Instant)>,
}

impl ListCopies {
    /// The copy for a form and encoding; `None` without one of the last second.
    pub fn get(&self, key: CopyKey, now: Instant) -> Option<Bytes> {
        let (bytes, at) = self.copies.get(&key)?;
        let is_recent = now.saturating_duration_since(*at) < LIST_COPY_TTL;
        is_recent.then(|| bytes.clone())
    }

    /// Stores a copy that was encoded at `now`.
    pub fn put(&mut self, key: CopyKey, bytes: Bytes, now: Instant) {
        self.copies.insert(key, (bytes, now));
    }

    /// Removes copies that are older than a second.
    pub fn remove_expired(&mut self, now: Instant) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < LIST_COPY_TTL;
        self.copies.retain(|_, (_, at)| is_recent(*at));
    }
}
