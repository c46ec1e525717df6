//! The records of streams that a router holds for itself and for other routers.
//!
//! [`OriginRecords`] owns them. A record is dropped a fixed time after it was last written; the router that relays the
//! stream writes it again from time to time, so that records outlast restarts of their holders.

use super::{StreamKey, StreamVersion};
use crate::peers::ServiceKey;
use crate::upstream::{Upstream, UpstreamKey, UpstreamState};
use crate::upstream_table::UpstreamTable;
use cloverpier_core::ServiceName;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

/// How long a record is kept after it was last written: as long as callers may take to resume a stream, which is no
/// longer than a stream lasts.
const RECORD_TTL: Duration = super::history::STREAM_LIFETIME;
/// Maximum number of records that a router holds. One record takes about 150 bytes of memory.
const MAX_RECORDS: usize = 16_384;

/// Which upstream wrote the first event of a stream, and the software version of that upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The service of the upstream.
    pub service: ServiceKey,
    /// The upstream that wrote the first event; `None` if only the version is certain.
    pub upstream: Option<UpstreamKey>,
    /// The version of that upstream; `None` if the platform's list did not determine it when the event was sent.
    pub version: Option<StreamVersion>,
    /// When the process of that upstream started, as a Unix time in milliseconds: only an entry with this start time
    /// determines the version. `None` if the version is already determined, or no response has stated the start time.
    pub start_time_ms: Option<u64>,
}

impl StreamOrigin {
    /// The origin of a stream whose first event has just arrived from `upstream`. `state` is the present
    /// state of the upstream; `None` if it has left the list.
    pub fn of_first_event(
        service: &ServiceName,
        upstream: &Upstream,
        state: Option<&UpstreamState>,
    ) -> Self {
        let service = ServiceKey::of(service);
        let version = state.and_then(StreamVersion::of_upstream);
        let has_two_versions = state.is_some_and(UpstreamState::has_two_versions);
        if version.is_none() && has_two_versions {
            return Self::ambiguous(service);
        }
        let start = match state {
            Some(state) => state.start_time_ms(),
            None => upstream.start_time_ms(),
        };
        Self {
            service,
            upstream: Some(UpstreamKey::of(&upstream.name)),
            start_time_ms: start.filter(|_| version.is_none()),
            version,
        }
    }

    /// The origin of a stream of which only the version is certain.
    pub fn of_version(service: &ServiceName, version: StreamVersion) -> Self {
        Self {
            service: ServiceKey::of(service),
            upstream: None,
            version: Some(version),
            start_time_ms: None,
        }
    }

    /// The version at which the stream may continue; `None` if it is not certain.
    ///
    /// An origin without a version gets it from the entry of the upstream's process once that has arrived. If the upstream
    /// has another version by now, it has restarted under its name, and the event may come from either process.
    pub fn version_now(&self, table: &UpstreamTable) -> Option<StreamVersion> {
        let state = self.upstream.and_then(|upstream| table.by_key(upstream));
        let current = state.and_then(StreamVersion::of_upstream);
        match (&self.version, current) {
            (Some(recorded), Some(current)) if *recorded != current => None,
            (Some(recorded), _) => Some(recorded.clone()),
            (None, current) => current.filter(|_| self.is_of_process(state)),
        }
    }

    /// Whether the upstream's state is that of the process that wrote the first event.
    fn is_of_process(&self, state: Option<&UpstreamState>) -> bool {
        let start = state.and_then(UpstreamState::start_time_ms);
        self.start_time_ms.is_none() || self.start_time_ms == start
    }

    /// The origin of a stream that two records describe differently, so that its version is uncertain.
    fn ambiguous(service: ServiceKey) -> Self {
        Self {
            service,
            // Without an upstream, no entry can add a version.
            upstream: None,
            version: None,
            start_time_ms: None,
        }
    }

    /// Whether two origins cannot both be those of one stream. Different upstreams of one version can: the stream has
    /// continued at the second one, and another router sent the record then.
    fn contradicts(&self, other: &Self) -> bool {
        let is_same_upstream = self.upstream.is_some() && self.upstream == other.upstream;
        let is_same_version = self.version == other.version;
        let lacks_version = self.version.is_none() || other.version.is_none();
        let may_gain_version = is_same_upstream && lacks_version;
        !is_same_version && !may_gain_version
    }
}

/// The origin of a stream, as routers send it to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginRecord {
    /// The key under which routers hold the record.
    pub stream: StreamKey,
    /// How the stream began.
    pub origin: StreamOrigin,
}

/// A record, and when it was last written.
#[derive(Clone, Debug)]
struct HeldRecord {
    origin: StreamOrigin,
    written_at: Instant,
}

impl HeldRecord {
    fn is_kept(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.written_at) < RECORD_TTL
    }
}

/// The records that a router holds.
#[derive(Clone, Debug, Default)]
pub struct OriginRecords {
    by_stream: HashMap<StreamKey, HeldRecord>,
    /// Each write, the oldest first. Only the last write of a stream counts.
    writes: VecDeque<(Instant, StreamKey)>,
}

impl OriginRecords {
    /// Writes a record, or extends the time for which it is kept.
    ///
    /// Callers give each of their requests an id of its own. If one does not, two streams have one key, and from
    /// then on the version is uncertain.
    pub fn write(&mut self, record: OriginRecord, now: Instant) {
        self.remove_expired(now);
        let OriginRecord { stream, origin } = record;
        let held = self.by_stream.get(&stream);
        let is_conflict = held.is_some_and(|held| held.origin.contradicts(&origin));
        let origin = if is_conflict {
            StreamOrigin::ambiguous(origin.service)
        } else {
            origin
        };
        let written_at = now;
        self.by_stream
            .insert(stream, HeldRecord { origin, written_at });
        self.writes.push_back((now, stream));
        self.evict_oldest();
    }

    /// The origin of a stream; `None` if this router holds no record of it.
    pub fn get(&self, stream: StreamKey, now: Instant) -> Option<&StreamOrigin> {
        let held = self.by_stream.get(&stream)?;
        held.is_kept(now).then_some(&held.origin)
    }

    /// Number of records, including those that have expired since the last write.
    pub fn len(&self) -> usize {
        self.by_stream.len()
    }

    /// Whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.by_stream.is_empty()
    }

    /// Drops the records that have not been written for [`RECORD_TTL`].
    pub fn remove_expired(&mut self, now: Instant) {
        while let Some((at, _)) = self.writes.front() {
            if now.saturating_duration_since(*at) < RECORD_TTL {
                return;
            }
            self.remove_oldest();
        }
    }

    fn evict_oldest(&mut self) {
        while self.by_stream.len() > MAX_RECORDS {
            self.remove_oldest();
        }
    }

    /// Removes the oldest write, and the record with it unless the record was written again.
    fn remove_oldest(&mut self) {
        let Some((at, stream)) = self.writes.pop_front() else {
            return;
        };
        let held = self.by_stream.get(&stream);
        if held.is_some_and(|held| held.written_at == at) {
            self.by_stream.remove(&stream);
        }
    }
}
