//! Upstreams that limit themselves, as the permits and the choice of an upstream see them.
//!
//! Owns nothing; [`crate::limit`] owns the limits.

use crate::upstream::UpstreamKey;
use cloverpier_core::DataCentre;

/// An upstream, as far as its limit is concerned.
#[derive(Clone, Copy, Debug)]
pub struct LimitedUpstream<'a> {
    /// Its key.
    pub key: UpstreamKey,
    /// Its data centre.
    pub data_centre: &'a DataCentre,
    /// When its newest known start began, as a Unix time in milliseconds, if known.
    pub born_ms: Option<u64>,
}

/// The upstreams that limit themselves, as one choice sees them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LimitedUpstreams {
    pub(super) limited: Vec<UpstreamKey>,
    pub(super) withheld: Vec<UpstreamKey>,
}

impl LimitedUpstreams {
    /// None does.
    pub const NONE: Self = Self {
        limited: Vec::new(),
        withheld: Vec::new(),
    };

    /// Whether any does.
    pub fn limits_any(&self) -> bool {
        !self.limited.is_empty()
    }

    /// Whether an upstream limits itself.
    pub fn is_limited(&self, upstream: UpstreamKey) -> bool {
        self.limited.contains(&upstream)
    }

    /// Whether the choice leaves it out, as no permit can be had.
    pub fn is_withheld(&self, upstream: UpstreamKey) -> bool {
        self.withheld.contains(&upstream)
    }

    /// Whether the choice leaves any out.
    pub fn withholds_any(&self) -> bool {
        !self.withheld.is_empty()
    }
}
