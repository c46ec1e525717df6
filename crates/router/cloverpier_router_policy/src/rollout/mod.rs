//! Roll-outs: moving the requests of a service to upstreams of another software version.
//!
//! - **Question.** An operator orders that a service moves to another version within a time.
//!   Which upstreams get an attempt meanwhile, is the new version as good as the former one, and
//!   when does the roll-out end?
//! - **Inputs.** The order, as the platform's store holds it; the versions of the upstreams; how
//!   attempts went at either version, at all routers; the operator's bound on the part of all
//!   requests that a bad version may get.
//! - **Answer.** A [`VersionRule`] for each attempt; a [`Progress`], which routers send each
//!   other; at the end `completed` or `rolled back`, which one of them writes to the store.
//! - **Why.** A bad version shows itself by requests alone, and each request that shows it is one
//!   that a caller loses. So few requests go there until enough is known, by chance at each
//!   router: a share that every router keeps by itself is kept by all of them together, cut off
//!   or started anew. The share grows in [`Stage`]s. The old upstreams stop at once when the
//!   roll-out is completed, so that comes last, when nothing runs there any more.
//!
//! | concern | module |
//! | --- | --- |
//! | which versions an attempt may go to | [`versions`] |
//! | how attempts went, at this router and at all | [`evidence`], [`time_histogram`] |
//! | is the new version worse | [`assessment`] |
//! | which stage comes next, and when | [`schedule`] |
//! | the orders that a router knows | [`registry`] |
//!
//! Any router can decide; those that watch the store do, as the others report to them.
//! Two of them that disagree for a moment converge: a [`Progress`] only grows ([`Progress::join`]).

pub mod assessment;
pub mod evidence;
pub mod registry;
pub mod schedule;
pub mod time_histogram;
pub mod versions;

use cloverpier_core::{ServiceName, SoftwareVersion, hash_of};
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::time::Duration;

pub use registry::{OrderUpdate, RolloutBook};
pub use versions::{CanarySet, VersionRule};

/// Identifies an order: the same service, version and time ordered again is another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct OrderId(pub u64);

/// An operator's order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// Which order it is.
    pub id: OrderId,
    /// The version that is to get all requests.
    pub target: SoftwareVersion,
    /// How long after the order that should be so.
    pub duration: Duration,
}

impl RolloutOrder {
    /// An order for a service; `made` distinguishes it from an order that was taken back before.
    pub fn new(
        service: &ServiceName,
        target: SoftwareVersion,
        duration: Duration,
        made: u64,
    ) -> Self {
        let text = format!("{service} {target} {} {made}", duration.as_millis());
        Self {
            id: OrderId(hash_of(&text)),
            target,
            duration,
        }
    }
}

/// How far a roll-out is, in the order in which it goes on.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// Few requests go to a few upstreams of the new version.
    #[default]
    Canary,
    /// A few upstreams of the new version have as much load as they will have at the end.
    Load,
    /// A large part of the requests goes to the new version.
    Part,
    /// All new requests go to the new version.
    All,
    /// Streams at the former versions move, too.
    Moving,
    /// The new version gets nothing any more.
    RolledBack,
    /// Only the new version is left.
    Completed,
}

impl Stage {
    /// Whether the roll-out has ended.
    pub fn is_over(self) -> bool {
        matches!(self, Self::RolledBack | Self::Completed)
    }

    /// Whether all new requests go to the new version.
    pub fn is_decided_for_target(self) -> bool {
        matches!(self, Self::All | Self::Moving | Self::Completed)
    }
}

/// A part of all requests, in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Default)]
#[serde(transparent)]
pub struct Permille(u16);

impl Permille {
    /// The share nearest to a part between 0 and 1.
    pub fn of(part: f64) -> Self {
        let permille = (part.clamp(0.0, 1.0) * 1e3).round();
        // Between 0 and 1,000, so the cast keeps it.
        Self(permille as u16)
    }

    /// The part of 1.
    pub fn part(self) -> f64 {
        f64::from(self.0) / 1e3
    }
}

/// How far a roll-out is, as sent between routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct Progress {
    /// The stage.
    pub stage: Stage,
    /// The part of the requests that goes to the new version in the first three stages.
    pub share: Permille,
    /// Counts changes within the stages: of the share, or of the upstreams that are tried in the
    /// first two, as one that alone is bad may be at fault itself and not its version.
    pub round: u8,
    /// Whether the store holds the end.
    pub is_confirmed: bool,
}

impl Progress {
    /// What two routers that know different things both accept: what the store holds, else the
    /// later stage, in the same stage the later round and the lower share.
    #[must_use]
    pub fn join(self, other: Self) -> Self {
        let rank = |p: Self| (p.is_confirmed, p.stage, p.round, Reverse(p.share));
        if rank(other) > rank(self) {
            other
        } else {
            self
        }
    }
}

/// A service's order and how far it is, as sent between routers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutView {
    /// The service.
    pub service: ServiceName,
    /// The revision of the store at which the order was as it is; later orders have higher ones.
    pub revision: u64,
    /// The order; `None` after it was taken back.
    pub order: Option<RolloutOrder>,
    /// How far it is.
    pub progress: Progress,
}
