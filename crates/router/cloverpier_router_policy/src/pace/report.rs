//! The reports of paces that routers send each other.
//!
//! Owns the form of a report and the bound on a message. A report contains what one router has learned itself, or has
//! combined with earlier reports; recipients pass nothing on.

use super::bounded;
use crate::upstream::UpstreamKey;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Maximum number of reports in one message, which then has about 1 kB.
pub const MAX_REPORTS: usize = 64;

/// How long work takes at an upstream, as a router knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceReport {
    /// The upstream, by the hash of its name.
    pub upstream: UpstreamKey,
    /// How long work takes there, in percent of the usual time.
    pub percent: u16,
    /// Milliseconds since the sender's last evidence.
    pub age_ms: u16,
}

impl PaceReport {
    /// A report of a factor that is within its bounds.
    pub(super) fn new(upstream: UpstreamKey, factor: f64, age: Duration) -> Self {
        Self {
            upstream,
            // The bounds of factors are 50 and 1,600 percent.
            percent: (factor * 100.0).round() as u16,
            age_ms: u16::try_from(age.as_millis()).unwrap_or(u16::MAX),
        }
    }

    /// The reported factor, within its bounds.
    pub(super) fn factor(&self) -> f64 {
        bounded(f64::from(self.percent) / 100.0)
    }

    /// The age of the evidence when the report was sent.
    pub(super) fn age(&self) -> Duration {
        Duration::from_millis(self.age_ms.into())
    }
}
