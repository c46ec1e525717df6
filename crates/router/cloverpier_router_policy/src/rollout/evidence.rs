//! Results of attempts at the target version and at the previous versions: what is counted, and how
//! the counts are sent.
//!
//! [`OwnEvidence`] counts the results at this router, [`FleetEvidence`] adds up the reports of all
//! routers. Bad responses are failures of the upstream itself, refusals, responses that are invalid
//! or make no progress, and responses that take several times as long as others on their route. The
//! crash of an upstream is no evidence against its version: a broken attempt counts only after the
//! same start of the upstream has responded again.
//!
//! Both versions are measured on the same routes and by the same rule, and compared period by
//! period, as the target version's share of the requests changes: a burst, a slow store or ordinary
//! failures of upstreams affect both.

mod fleet;
mod own;

pub use fleet::FleetEvidence;
pub use own::{MeasurementId, ObservedAttempt, OwnEvidence};

use super::time_histogram::TimeHistogram;
use super::{OrderId, Stage};
use cloverpier_core::hash_of;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A hash of a route's name in eight bytes, which keeps messages between routers short.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RouteKey(pub u64);

impl RouteKey {
    /// The key of a route's name.
    pub fn of(name: &str) -> Self {
        Self(hash_of(name))
    }
}

/// The version at which a response was counted; a target version is divided into groups.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Arm {
    /// A previous version.
    #[serde(rename = "Former")]
    Previous,
    /// The target version, with the group of the upstream ([`super::versions::group_of`]).
    Target(u8),
}

/// The interval of a response that is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Measure {
    /// From sending the request until the complete response, or until the first event of a stream.
    #[serde(rename = "Answer")]
    Response,
    /// From a stream's first event until a fixed number of further events.
    Pace,
}

/// The route, the measure and the version that an entry's counts belong to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EvidenceKey {
    /// The route of the requests.
    pub route: RouteKey,
    /// The interval that the times measure.
    pub measure: Measure,
    /// The version and, for the target version, the group of upstreams.
    pub arm: Arm,
}

/// Counts of one entry since the order arrived at the router.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResponseCounts {
    /// Responses that were failures.
    pub failed: u32,
    /// Times of the responses that were no failures.
    pub times: TimeHistogram,
    /// How long the pending responses have taken so far.
    #[serde(rename = "awaited")]
    pub pending: TimeHistogram,
}

impl ResponseCounts {
    pub(super) fn add(&mut self, other: &Self) {
        self.failed = self.failed.saturating_add(other.failed);
        self.times.merge(&other.times);
        self.pending.merge(&other.pending);
    }

    pub(super) fn since(&self, earlier: &Self) -> Self {
        Self {
            failed: self.failed.saturating_sub(earlier.failed),
            times: self.times.since(&earlier.times),
            pending: self.pending.clone(),
        }
    }
}

/// Numbers of attempts sent since the order arrived at the router.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SentCounts {
    /// Attempts sent to the previous versions.
    #[serde(rename = "former")]
    pub previous: u32,
    /// Attempts sent to the target version.
    pub target: u32,
}

/// The counts of one router for an order. A report may carry only some of the router's entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceReport {
    /// The order that the counts belong to.
    pub order: OrderId,
    /// The stage by which the router chooses upstreams.
    pub stage: Stage,
    /// The router's requests that are in flight at the previous versions.
    #[serde(rename = "former_in_flight")]
    pub previous_in_flight: u32,
    /// All attempts that the router sent since the order arrived there.
    pub sent: SentCounts,
    /// Counts of responses since the order arrived at the router.
    pub entries: Vec<(EvidenceKey, ResponseCounts)>,
}

/// Counts of responses, of one router or of several.
pub type Evidence = BTreeMap<EvidenceKey, ResponseCounts>;
