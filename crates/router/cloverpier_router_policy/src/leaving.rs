//! Upstreams that have said in an answer that they leave, and for how long that binds.
//!
//! - **Question.** Which start of which upstream gets nothing new, since it has said that it leaves?
//!   How long does it get what nobody else could serve?
//! - **Inputs.** What answers and peers said: upstream, start, since when it is known.
//! - **Answer.** Since when a start leaves; what is sent to peers.
//! - **Why.** An upstream says in all its answers that it leaves, whether or not the platform's store can
//!   be reached; read from the store alone, it would go on to get requests while the store is
//!   away. A set that only grows needs no order of messages: a leaving is never taken back, by the
//!   upstream's own entry neither, which may be read late or written by who knows less. It binds one
//!   start. A later one under the same name is another process, and serves.
//!
//! Leavings are kept apart from the upstreams that are listed, as a peer may report one before the
//! list does, and a list that was read late may name one that was forgotten. Owns them.

use crate::upstream::UpstreamKey;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// While no other upstream of its service is left, one that leaves gets requests for this long after
/// its announcement. It serves for two seconds at least, by the platform's promise, of which one is
/// kept for requests under way, so that its successor may be late without a refusal.
pub const LAST_RESORT_FOR: Duration = Duration::from_millis(1_000);
/// How long a leaving is remembered: longer than any list is read late, and a hundred times as long
/// as an upstream takes to end. A thousand leavings take 40 kB.
const KEPT_FOR: Duration = Duration::from_secs(3_600);
/// Leavings in one message. One takes 24 bytes at most, and a datagram may have 8,192.
const MAX_REPORTS: usize = 256;

/// An upstream that leaves, as routers send it to each other; the order of fields is on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingReport {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// When the start began that leaves, as a Unix time in milliseconds; `None` where each start has a
    /// name of its own.
    pub born_ms: Option<u64>,
    /// Milliseconds since the first router knew of it.
    pub age_ms: u32,
}

/// A start of an upstream that leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Leaving {
    born_ms: Option<u64>,
    since: Instant,
}

/// All leavings that are known.
#[derive(Debug, Default)]
pub struct Leavings {
    by_upstream: HashMap<UpstreamKey, Leaving>,
}

impl Leavings {
    /// Records that a start of an upstream leaves; returns whether that is new.
    pub fn learn(&mut self, upstream: UpstreamKey, born_ms: Option<u64>, since: Instant) -> bool {
        let learned = Leaving { born_ms, since };
        let Some(known) = self.by_upstream.get_mut(&upstream) else {
            self.by_upstream.insert(upstream, learned);
            return true;
        };
        match (born_ms, known.born_ms) {
            (Some(named), Some(of_known)) if named < of_known => false,
            (Some(named), Some(of_known)) if named > of_known => {
                *known = learned;
                true
            }
            _ => {
                known.since = known.since.min(since);
                known.born_ms = known.born_ms.or(born_ms);
                false
            }
        }
    }

    /// Since when a start of an upstream leaves; `None` where it does not.
    pub fn since(&self, upstream: UpstreamKey, born_ms: Option<u64>) -> Option<Instant> {
        let leaving = self.by_upstream.get(&upstream)?;
        let is_later_start = match (born_ms, leaving.born_ms) {
            (Some(born), Some(of_leaving)) => born > of_leaving,
            _ => false,
        };
        (!is_later_start).then_some(leaving.since)
    }

    /// The reports of those of some upstreams that leave.
    pub fn reports(
        &self,
        upstreams: impl IntoIterator<Item = UpstreamKey>,
        now: Instant,
    ) -> Vec<LeavingReport> {
        let known = upstreams.into_iter().filter_map(|upstream| {
            let leaving = self.by_upstream.get(&upstream)?;
            let age = now.saturating_duration_since(leaving.since);
            Some(LeavingReport {
                upstream,
                born_ms: leaving.born_ms,
                age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
            })
        });
        known.collect()
    }

    /// The upstreams of which it has been known for less than a time that they leave.
    pub fn known_for_less(&self, time: Duration, now: Instant) -> Vec<UpstreamKey> {
        let is_new = |l: &Leaving| now.saturating_duration_since(l.since) < time;
        let new = self.by_upstream.iter().filter(|(_, l)| is_new(l));
        new.map(|(upstream, _)| *upstream).collect()
    }

    /// Forgets leavings that have been over for long.
    pub fn forget_old(&mut self, now: Instant) {
        let is_kept = |l: &Leaving| now.saturating_duration_since(l.since) < KEPT_FOR;
        self.by_upstream.retain(|_, leaving| is_kept(leaving));
    }
}

impl LeavingReport {
    /// Since when it is known, by the receiver's clock.
    pub fn since(&self, now: Instant) -> Instant {
        let age = Duration::from_millis(self.age_ms.into());
        // From before this machine's clock began counts as from now on, which binds as well.
        now.checked_sub(age).unwrap_or(now)
    }
}

/// Reports in as many messages as they need.
pub fn in_messages(reports: &[LeavingReport]) -> Vec<Vec<LeavingReport>> {
    reports.chunks(MAX_REPORTS).map(<[_]>::to_vec).collect()
}
