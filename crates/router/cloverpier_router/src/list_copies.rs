//! Copies of the list of upstreams that were written for peers a moment ago.
//!
//! [`ListCopies`] owns them: peers that start together ask for the same bytes within a second, so they are
//! written once. Relies on its caller for the time, and on [`ListCopies::remove_expired`] being called.

use crate::configuration_copies::CopyEncoding;
use bytes::Bytes;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// A copy of the list is handed out for this long, though changes may have come: whoever gets it asks for
/// those next. While thousands of upstreams change, writing each revision anew for each peer would take
/// most of a small VM's processor.
const LIST_COPY_TTL: Duration = Duration::from_secs(1);

/// The form and the encoding of a copy.
type CopyKey = (bool, CopyEncoding);

/// The copies of the list that were written last.
#[derive(Debug, Default)]
pub(crate) struct ListCopies {
    copies: HashMap<CopyKey, (Bytes, Instant)>,
}

impl ListCopies {
    /// A copy that was written a moment ago.
    pub fn get(&self, key: CopyKey, now: Instant) -> Option<Bytes> {
        let (bytes, at) = self.copies.get(&key)?;
        let is_recent = now.saturating_duration_since(*at) < LIST_COPY_TTL;
        is_recent.then(|| bytes.clone())
    }

    /// Keeps a copy for a moment.
    pub fn put(&mut self, key: CopyKey, bytes: Bytes, now: Instant) {
        self.copies.insert(key, (bytes, now));
    }

    /// Drops what is not handed out any more.
    pub fn remove_expired(&mut self, now: Instant) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < LIST_COPY_TTL;
        self.copies.retain(|_, (_, at)| is_recent(*at));
    }
}
