//! How attempts went at the new version and at those before: what is counted, and how it travels.
//!
//! [`OwnEvidence`] counts what this router saw, [`FleetEvidence`] adds up what all routers report.
//! What counts as a bad answer: a failure of the upstream's own, a refusal, an answer that does not
//! count or does not progress, and one that took several times as long as others on its route. An
//! upstream that dies says nothing of its version: an attempt that broke counts only once the
//! same start of the upstream has answered again.
//!
//! Both versions are measured over the same time and the same routes by the same rule, so a burst,
//! a slow store or upstreams' ordinary failures weigh on both.

mod fleet;
mod own;

pub use fleet::FleetEvidence;
pub use own::{Observed, OpenId, OwnEvidence};

use super::time_histogram::TimeCounts;
use super::{OrderId, Stage};
use cloverpier_core::hash_of;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A route's name as a hash of eight bytes, for messages between routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RouteKey(pub u64);

impl RouteKey {
    /// The key of a route's name.
    pub fn of(name: &str) -> Self {
        Self(hash_of(name))
    }
}

/// At which version an answer was observed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Arm {
    /// At one before the new one.
    Former,
    /// At the new one, by the group of its upstream.
    Target(u8),
}

/// What is measured of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Measure {
    /// From sending to the whole answer, or to a stream's first event.
    Answer,
    /// A stream's first events after the first one, together.
    Pace,
}

/// What the counts of an entry are about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EvidenceKey {
    /// The route.
    pub route: RouteKey,
    /// What was measured.
    pub measure: Measure,
    /// The version.
    pub arm: Arm,
}

/// Counts since the order became known.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerCounts {
    /// Answers that were failures.
    pub failed: u32,
    /// Times of the others.
    pub times: TimeCounts,
    /// How long those that have not come are awaited.
    pub awaited: TimeCounts,
}

impl AnswerCounts {
    pub(super) fn add(&mut self, other: &Self) {
        self.failed = self.failed.saturating_add(other.failed);
        self.times.add_all(&other.times);
        self.awaited.add_all(&other.awaited);
    }

    pub(super) fn since(&self, former: &Self) -> Self {
        Self {
            failed: self.failed.saturating_sub(former.failed),
            times: self.times.since(&former.times),
            awaited: self.awaited.clone(),
        }
    }
}

/// Attempts that were sent since the order became known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SentCounts {
    /// To versions before the new one.
    pub former: u32,
    /// To the new one.
    pub target: u32,
}

/// All that one router has counted for an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceReport {
    /// The order.
    pub order: OrderId,
    /// The stage by which the router acts.
    pub stage: Stage,
    /// Requests of its own at versions before the new one.
    pub former_in_flight: u32,
    /// Attempts.
    pub sent: SentCounts,
    /// Answers.
    pub entries: Vec<(EvidenceKey, AnswerCounts)>,
}

/// Answers of all routers.
pub type Evidence = BTreeMap<EvidenceKey, AnswerCounts>;
