//! Evidence that a router's list of upstreams lacks no change, and reads of the store without it.
//!
//! - **Question.** When does a router read the list of upstreams from the store? What does a report of a peer's list show?
//! - **Inputs.** When the list was last shown to be complete; the role and the size of the list; a peer's revision, the digest
//!   of its list, and the age of the reading on which that list rests.
//! - **Result.** A time; a [`ReportMeaning`].
//! - **Why.** Only a reading of the list shows what is in it. A revision that peers agree on, a watch that ends without changes and a
//!   ping that is answered show that others are in touch, and not that this router was told of all changes. So one of the
//!   routers that watch the store reads the list in turn, and tells all others when it was read and which list it has. A
//!   router with the same list has a proof. One with another list, or without a proof for a while, reads the store itself.
//!
//! A reading shows that no change before it is missing. What watches tell afterwards is added to the list, and does not make
//! the reading younger.
//!
//! [`ListEvidence`] owns the state of one router.

use crate::list_digest::ListDigest;
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// How old the last reading of the list may be before a router that watches the store reads it.
pub const READ_PERIOD: Duration = Duration::from_millis(400);
/// The same for other routers: a period, the spread, a reading and two heartbeats of which one may be lost.
pub const EVIDENCE_TTL: Duration = Duration::from_millis(1_000);
/// Time over which the reads of routers are spread that lack evidence since the same moment.
const READ_SPREAD: Duration = Duration::from_millis(100);
/// The same for the few routers that watch the store: long enough that the others hear of the first one's reading.
const WATCHER_READ_SPREAD: Duration = Duration::from_millis(200);
/// Number of entries that a reading of one call returns; longer lists are read less often.
const ENTRIES_PER_CALL: usize = 500;
/// Pause after the first read without evidence; each read that fails doubles it.
const READ_PAUSE: Duration = Duration::from_millis(400);
/// Maximum pause between two reads.
const MAX_READ_PAUSE: Duration = Duration::from_secs(3);

/// What a router that watches the store reports of its list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListReport {
    /// The revision of the list.
    pub revision: u64,
    /// The digest of the list.
    pub digest: ListDigest,
    /// Milliseconds since the call was sent that read the list; no change before it is missing.
    pub read_age_ms: u32,
}

impl ListReport {
    /// When the list was read, for a report that has just arrived.
    pub fn read_at(&self, now: Instant) -> Option<Instant> {
        now.checked_sub(Duration::from_millis(self.read_age_ms.into()))
    }
}

/// This router's list, as far as the meaning of a report depends on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnList {
    /// Its revision.
    pub revision: u64,
    /// Its digest.
    pub digest: ListDigest,
    /// When its entries last changed; `None` if they never did.
    pub changed_at: Option<Instant>,
    /// When it was last shown to be complete; `None` if it never was.
    pub proven_at: Option<Instant>,
}

/// What a report shows of this router's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportMeaning {
    /// It lacks no change before this time.
    Complete(Instant),
    /// It differs from the one that the peer has read, and was not changed since.
    Differs,
    /// Nothing: the peer has a newer list, which is fetched, or has read its list before this one changed.
    Nothing,
}

/// What a report that has just arrived shows of this router's list.
pub fn meaning(own: &OwnList, report: &ListReport, now: Instant) -> ReportMeaning {
    let Some(read_at) = report.read_at(now) else {
        return ReportMeaning::Nothing;
    };
    if own.digest == report.digest {
        return ReportMeaning::Complete(read_at);
    }
    let is_later = own.changed_at.max(own.proven_at) < Some(read_at);
    if is_later && report.revision <= own.revision {
        ReportMeaning::Differs
    } else {
        ReportMeaning::Nothing
    }
}

/// The time over which this router's read is spread among those of others. `watches` is whether it watches the store.
pub fn read_spread(watches: bool) -> Duration {
    if watches {
        WATCHER_READ_SPREAD
    } else {
        READ_SPREAD
    }
}

/// The evidence of one router.
#[derive(Clone, Copy, Debug)]
pub struct ListEvidence {
    /// When this router received its first list.
    since: Instant,
    /// When the list was last shown to be complete; `None` if it never was.
    proven_at: Option<Instant>,
    /// The earliest time of the next read.
    read_from: Instant,
    pause: Duration,
}

impl ListEvidence {
    /// A router that has just received its first list.
    pub fn new(now: Instant) -> Self {
        Self {
            since: now,
            proven_at: None,
            read_from: now,
            pause: READ_PAUSE,
        }
    }

    /// When the list was last shown to be complete; `None` if it never was.
    pub fn proven_at(&self) -> Option<Instant> {
        self.proven_at
    }

    /// Records that the list lacks no change before `at`.
    pub fn on_proof(&mut self, at: Instant) {
        self.proven_at = self.proven_at.max(Some(at));
        self.pause = READ_PAUSE;
    }

    /// When the store is read if no evidence arrives before. `watches` is whether this router watches the store, and
    /// `entries` the length of the list.
    pub fn read_at(&self, watches: bool, entries: usize) -> Instant {
        let ttl = if watches { READ_PERIOD } else { EVIDENCE_TTL };
        let calls = u32::try_from(entries / ENTRIES_PER_CALL).unwrap_or(u32::MAX);
        let ttl = ttl.saturating_mul(calls.saturating_add(1));
        (self.proven_at.unwrap_or(self.since) + ttl).max(self.read_from)
    }

    /// Records that a read of the store begins.
    pub fn on_read(&mut self, now: Instant) {
        self.read_from = now + self.pause;
        self.pause = (self.pause * 2).min(MAX_READ_PAUSE);
    }
}
