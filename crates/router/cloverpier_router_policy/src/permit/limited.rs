//! The view of limited upstreams that permit requests and the choice of an upstream use.
//!
//! Owns no state; [`crate::limit`] owns the limits.

use crate::upstream::UpstreamKey;
use cloverpier_core::DataCentre;

/// The properties of an upstream that its limit and the selection of its limiter depend on.
#[derive(Clone, Copy, Debug)]
pub struct LimitedUpstream<'a> {
    /// Identifies the upstream.
    pub key: UpstreamKey,
    /// The upstream's data centre, in which its limiter is preferably located.
    pub data_centre: &'a DataCentre,
    /// When the upstream's newest known incarnation started, as a Unix time in milliseconds; `None` if
    /// unknown.
    pub start_time_ms: Option<u64>,
}

/// The limited upstreams at the time of one choice of an upstream, and those excluded from that choice.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LimitedUpstreams {
    pub(super) limited: Vec<UpstreamKey>,
    pub(super) excluded: Vec<UpstreamKey>,
}

impl LimitedUpstreams {
    /// No upstream is limited.
    pub const NONE: Self = Self {
        limited: Vec::new(),
        excluded: Vec::new(),
    };

    /// Whether at least one upstream is limited.
    pub fn any_limited(&self) -> bool {
        !self.limited.is_empty()
    }

    /// Whether an upstream limits its request rate.
    pub fn is_limited(&self, upstream: UpstreamKey) -> bool {
        self.limited.contains(&upstream)
    }

    /// Whether an upstream is excluded from the choice because no permit is available.
    pub fn is_excluded(&self, upstream: UpstreamKey) -> bool {
        self.excluded.contains(&upstream)
    }

    /// Whether at least one upstream is excluded from the choice because no permit is available.
    pub fn excludes_any(&self) -> bool {
        !self.excluded.is_empty()
    }
}
