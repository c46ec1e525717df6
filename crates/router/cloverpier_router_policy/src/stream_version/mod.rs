//! The software version that writes a stream, and how routers remember it.
//!
//! - **Question.** Which upstreams may a stream continue at?
//! - **Inputs.** The upstream that wrote the stream's first event, and its software version in the platform's list; the
//!   records of that in other routers; the versions of the service that were listed, and how old that list is.
//! - **Result.** A [`StreamVersion`], to which [`crate::rollout::VersionRule::for_stream`] limits every attempt, or the
//!   reason why no router can determine the version; then the stream does not continue.
//! - **Why.** What two software versions write does not fit together, and upstreams do not check it. Within one response
//!   the router that relays the stream knows its version. A caller that resumes a stream at another router names the
//!   request that got the first event, and nothing else survives the first router. So while upstreams of several
//!   versions may serve, a router sends a record of each stream to a few others before the first event leaves, and the
//!   router at which the caller resumes requests the record from them. A router that finds no record must not guess.
//!
//! While all upstreams of a service have one version, and have had it for longer than any stream lasts, that version
//! began every stream, and no record is sent. Such a claim needs a list of upstreams that is recent. The list of a router
//! may be older than those of others, so a newly listed version begins no streams until every list that is recent enough
//! for a claim contains it ([`history`]).
//!
//! | concern | module |
//! | --- | --- |
//! | which versions can have begun a stream; which may begin one now | [`history`] |
//! | which routers hold the record of a stream | [`holders`] |
//! | the records that a router holds | [`records`] |
//! | what the replies of other routers prove | [`lookup`] |

pub mod history;
pub mod holders;
pub mod in_step;
pub mod lookup;
pub mod records;

pub use history::{VersionHistory, VersionsReport};
pub use records::{OriginRecord, OriginRecords, StreamOrigin};

use crate::upstream::{Upstream, UpstreamState};
use cloverpier_core::{SoftwareVersion, wide_digest};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// How long a stream in progress waits for an upstream of its version, while all of them are dead. Upstreams that crash
/// are back within about 2.5 s, and callers wait longer than this for the next event.
pub const UPSTREAM_RETURN_WAIT: Duration = Duration::from_secs(3);

/// The software version of the upstream that wrote a stream's first event, and so of all upstreams at which the stream
/// may continue.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum StreamVersion {
    /// The version that the upstream's entry in the platform's list names.
    Named(SoftwareVersion),
    /// The entry names no version. All such upstreams count as one version of their own.
    Unnamed,
}

impl StreamVersion {
    /// The version in an upstream's entry.
    pub fn in_entry(upstream: &Upstream) -> Self {
        match upstream.version() {
            Some(version) => Self::Named(version.clone()),
            None => Self::Unnamed,
        }
    }

    /// The version that an upstream writes, by its entry in the platform's list.
    ///
    /// `None` if the list does not determine it: the upstream is not listed yet, has restarted since its entry was written, or
    /// its entry has named two versions for one start.
    pub fn of_upstream(state: &UpstreamState) -> Option<Self> {
        let is_confirmed = state.is_version_confirmed();
        is_confirmed.then(|| Self::in_entry(&state.upstream))
    }

    /// Whether the upstream that an attempt was sent to still has the version that its entry named when it was chosen.
    /// `state` is the present state of the upstream; `None` if it has left the list, which does not end its process.
    pub fn is_kept(chosen: &Upstream, state: Option<&UpstreamState>) -> bool {
        state.is_none_or(|state| Self::of_upstream(state) == Some(Self::in_entry(chosen)))
    }

    /// The name of the version; `None` if upstreams name none.
    pub fn name(&self) -> Option<&SoftwareVersion> {
        match self {
            Self::Named(version) => Some(version),
            Self::Unnamed => None,
        }
    }

    /// The version as text, for log lines.
    pub fn as_str(&self) -> &str {
        self.name().map_or("unnamed", SoftwareVersion::as_str)
    }
}

/// Identifies a stream over all requests by which its caller resumes it.
///
/// It is a digest of the client account and of the id of the request that got the first event, so no caller can name a
/// stream of another client account. Serialized, between routers, as two 64-bit numbers.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StreamKey(u64, u64);

impl StreamKey {
    /// The key of a stream whose first event was sent in the response to the request `id`. `account` is empty for a
    /// request without a client account. `None` if the caller set no id, as such a stream cannot be named.
    pub fn new(account: &str, id: &str) -> Option<Self> {
        if id.is_empty() {
            return None;
        }
        let (high, low) = wide_digest([account], id.as_bytes());
        Some(Self(high, low))
    }

    /// A 64-bit hash by which routers choose the holders of the stream's record.
    pub fn placement_hash(self) -> u64 {
        self.0
    }
}

impl fmt::Display for StreamKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}{:016x}", self.0, self.1)
    }
}

impl fmt::Debug for StreamKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self}")
    }
}
