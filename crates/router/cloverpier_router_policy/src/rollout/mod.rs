//! Roll-outs: moving the requests of a service from upstreams of the previous software versions to
//! upstreams of a target version.
//!
//! - **Question.** An operator orders that a service moves to a target version within a duration.
//!   Which upstreams may receive an attempt during the roll-out, is the target version as good as
//!   the previous versions, and when does the roll-out end?
//! - **Inputs.** The order, as the platform's store holds it; the versions of the upstreams; the
//!   results of attempts at either version, at all routers; the operator's bound on the share of
//!   all requests that a bad version may receive.
//! - **Outcome.** A [`VersionRule`] for each attempt; a [`Progress`], which routers send each
//!   other; at the end the status `completed` or `rolled back`, which one router writes to the
//!   store.
//! - **Why.** A bad version is detected only by requests that it handles badly, and a caller loses
//!   each of these. So few requests go to the target version until enough of its responses are
//!   counted. Each router draws at random, for each attempt, whether the attempt goes to the target
//!   version: when every router keeps the share, the fleet keeps it, also while routers are
//!   partitioned or after they restart. The share grows in [`Stage`]s. The platform stops the
//!   upstreams of the previous versions as soon as the roll-out is completed, so completion comes
//!   last, when no request runs there any more.
//!
//! | concern | module |
//! | --- | --- |
//! | which versions an attempt may go to | [`versions`] |
//! | results of attempts, at this router and at all routers | [`evidence`], [`time_histogram`] |
//! | whether the target version is worse | [`assessment`] |
//! | which stage comes next, and when | [`schedule`] |
//! | the orders that a router has received | [`registry`] |
//!
//! Any router could decide; the routers that watch the store do, as the others report to them.
//! Routers that decide differently for a moment converge: a [`Progress`] only advances
//! ([`Progress::join`]).

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

pub use registry::{OrderUpdate, RolloutRegistry};
pub use versions::{CanarySet, VersionRule};

/// Identifies an order. A second order of the same service, version and duration has another id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct OrderId(pub u64);

/// An operator's order to move a service to a target version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// Distinguishes this order from all others, also from an equal one that was withdrawn before.
    pub id: OrderId,
    /// The version that receives all requests once the roll-out is completed.
    pub target: SoftwareVersion,
    /// The time from the order until the target version should receive all requests.
    pub duration: Duration,
}

impl RolloutOrder {
    /// Creates an order for a service. `made` is a number that differs between two orders of the same
    /// service, target and duration, so that a repeated order does not take the id of a withdrawn one.
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

/// The stages of a roll-out in their order; a later stage is greater.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// A small share of the requests goes to a few upstreams of the target version.
    #[default]
    Canary,
    /// A few upstreams of the target version carry about the load of the completed roll-out, or more.
    Load,
    /// About a third of the requests goes to the target version, spread over all of its upstreams.
    Part,
    /// All new requests go to the target version; streams stay at the version that began them, until they end.
    All,
    /// Like [`Self::All`]. Releases that moved streams to the target version send it.
    Moving,
    /// The target version receives no more requests, as it is bad or returned too few responses.
    RolledBack,
    /// Only the target version is in use, and the upstreams of the previous versions may stop.
    Completed,
}

impl Stage {
    /// Whether the roll-out has ended, either way.
    pub fn is_over(self) -> bool {
        matches!(self, Self::RolledBack | Self::Completed)
    }

    /// Whether all new requests go to the target version.
    pub fn sends_all_to_target(self) -> bool {
        matches!(self, Self::All | Self::Moving | Self::Completed)
    }
}

/// A share of all requests, from 0 to 1,000 thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Default)]
#[serde(transparent)]
pub struct Permille(u16);

impl Permille {
    /// The nearest permille of a fraction; a fraction outside of 0 to 1 is clamped.
    pub fn from_fraction(fraction: f64) -> Self {
        let permille = (fraction.clamp(0.0, 1.0) * 1e3).round();
        // Between 0 and 1,000 after the clamp, so the cast does not truncate.
        Self(permille as u16)
    }

    /// The share as a fraction between 0 and 1.
    pub fn as_fraction(self) -> f64 {
        f64::from(self.0) / 1e3
    }
}

/// How far a roll-out has advanced, as sent between routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct Progress {
    /// The stage in which the roll-out is.
    pub stage: Stage,
    /// The share of requests that goes to the target version in the first three stages.
    pub share: Permille,
    /// Counts updates within the stages: of the share, or of the set of upstreams that are tried in
    /// the first two stages. Another set is tried because a single bad upstream may itself be faulty,
    /// and not its version.
    pub round: u8,
    /// Whether the store holds this end of the roll-out, `completed` or `rolled back`.
    pub is_confirmed: bool,
}

impl Progress {
    /// Merges the states of two routers; all routers that merge the same states get the same result.
    /// A confirmed end precedes all else, then the later stage, then the later round, then the lower
    /// share.
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

/// A service's order with its progress, as sent between routers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutView {
    /// The service that the order moves.
    pub service: ServiceName,
    /// The store's revision at which the order had this content; later orders have higher revisions.
    pub revision: u64,
    /// The order; `None` after the operator withdrew it.
    pub order: Option<RolloutOrder>,
    /// How far the roll-out has advanced.
    pub progress: Progress,
}
