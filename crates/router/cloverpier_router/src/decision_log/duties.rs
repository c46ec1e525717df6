//! Log lines on roll-outs and on work that one router at a time does.
//!
//! As the parent module says, the names of events and fields stay.

use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::rollout::evidence::RouteKey;
use cloverpier_router_policy::singleton::autoscaling::{EngineKind, OrderResult};
use serde::Serialize;

/// An operator's order became known, or was taken back.
#[derive(Debug, Serialize)]
pub(crate) struct RolloutOrdered<'a> {
    pub service: &'a str,
    /// The new version; nothing where the order was taken back.
    pub target: Option<&'a str>,
    pub duration_s: Option<f64>,
    pub from: &'a str,
}

/// A roll-out is further on.
#[derive(Debug, Serialize)]
pub(crate) struct RolloutProgressed<'a> {
    pub service: &'a str,
    pub target: Option<&'a str>,
    pub stage: Stage,
    /// The part of the requests that goes to the new version in the first three stages.
    pub share: f64,
    pub round: u8,
    /// Whether the store holds the end.
    pub is_confirmed: bool,
    /// Attempts of all routers whose reports arrived here.
    pub sent_to_target: u32,
    pub sent_to_former: u32,
    /// What spoke against the version where this router rolled it back: the kind of fault, the
    /// route (nothing for all together), bad answers among all, the part of bad answers that the
    /// former versions have at most, and how many times likelier a worse version is.
    pub fault: Option<String>,
    pub route: Option<RouteKey>,
    pub bad: Option<u32>,
    pub answers: Option<u32>,
    pub former_part: Option<f64>,
    pub ratio: Option<f64>,
    pub from: &'a str,
}

/// This router holds the lease on work that one router at a time does, or does not hold it any more.
#[derive(Debug, Serialize)]
pub(crate) struct LeaseChanged<'a> {
    pub holds: bool,
    pub token: Option<u64>,
    /// The revision of the lease's record.
    pub revision: Option<u64>,
    /// The VM that the record names as the holder.
    pub holder: Option<&'a str>,
}

/// The usage of a window was reported.
#[derive(Debug, Serialize)]
pub(crate) struct UsageReported {
    pub window: u64,
    /// Client accounts with requests in it.
    pub accounts: usize,
    pub requests: u64,
    pub token: u64,
}

/// A data centre was ordered to hold a number of engines.
#[derive(Debug, Serialize)]
pub(crate) struct EnginesOrdered<'a> {
    pub service: &'a str,
    pub data_centre: &'a str,
    pub kind: EngineKind,
    pub count: u32,
    pub result: OrderResult,
    /// The highest recent load, as a number of engines that it would fill.
    pub peak_load: f64,
    pub token: u64,
}
