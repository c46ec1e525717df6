//! Log lines about work that the routers coordinate: roll-outs, and work that only one router at a time does.
//!
//! The names of events and fields are outer names; see the parent module. Owns no state.

use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::rollout::evidence::RouteKey;
use cloverpier_router_policy::singleton::autoscaling::{EngineKind, OrderResult};
use serde::Serialize;

/// This router received an operator's order of a roll-out, or its withdrawal.
#[derive(Debug, Serialize)]
pub(crate) struct RolloutOrdered<'a> {
    pub service: &'a str,
    /// The version to roll out; `None` if the order was withdrawn.
    pub target: Option<&'a str>,
    /// The planned duration of the roll-out in seconds.
    pub duration_s: Option<f64>,
    /// The peer that sent the order, or the store.
    pub from: &'a str,
}

/// A roll-out reached another stage or round.
#[derive(Debug, Serialize)]
pub(crate) struct RolloutProgressed<'a> {
    pub service: &'a str,
    /// The version that is rolled out; `None` if the order was withdrawn.
    pub target: Option<&'a str>,
    pub stage: Stage,
    /// The fraction of the requests that the target version receives in the first three stages.
    pub share: f64,
    /// The number of the round within the stage.
    pub round: u8,
    /// Whether the store contains the final status of the roll-out.
    pub is_confirmed: bool,
    /// Attempts at the target version by this router and the routers whose reports it has received.
    pub sent_to_target: u32,
    /// Attempts at the previous versions by the same routers.
    #[serde(rename = "sent_to_former")]
    pub sent_to_previous: u32,
    /// The kind of regression for which this router rolled the target version back. This field and the following five
    /// are `None` in all other cases.
    #[serde(rename = "fault")]
    pub regression: Option<String>,
    /// The route with the regression; also `None` if the regression is found in all routes together.
    pub route: Option<RouteKey>,
    /// The number of bad responses of the target version, and the number of all its responses.
    #[serde(rename = "bad")]
    pub bad_responses: Option<u32>,
    #[serde(rename = "answers")]
    pub responses: Option<u32>,
    /// The upper estimate of the share of bad responses at the previous versions, from 0 to 1.
    #[serde(rename = "former_part")]
    pub baseline_bad_share: Option<f64>,
    /// How many times likelier the responses are if the target version is worse than if it is not.
    #[serde(rename = "ratio")]
    pub likelihood_ratio: Option<f64>,
    /// The source of the progress: a peer, the store or this router.
    pub from: &'a str,
}

/// This router acquired or lost the lease on work that only one router at a time does.
#[derive(Debug, Serialize)]
pub(crate) struct LeaseChanged<'a> {
    /// Whether this router holds the lease now.
    pub holds: bool,
    /// The fencing token of the lease; `None` without the lease.
    pub token: Option<u64>,
    /// The revision of the lease's record in the store.
    pub revision: Option<u64>,
    /// The VM that the record names as the holder.
    pub holder: Option<&'a str>,
}

/// The usage of all client accounts in a metering window was reported to the platform.
#[derive(Debug, Serialize)]
pub(crate) struct UsageReported {
    /// The number of the window.
    pub window: u64,
    /// Number of client accounts with requests in the window.
    pub accounts: usize,
    /// Number of requests of all client accounts in the window.
    pub requests: u64,
    /// The fencing token of the lease.
    pub token: u64,
}

/// An order for the number of engines of a service in a data centre was sent to the platform.
#[derive(Debug, Serialize)]
pub(crate) struct EnginesOrdered<'a> {
    pub service: &'a str,
    pub data_centre: &'a str,
    /// The kind of engines that was ordered.
    pub kind: EngineKind,
    /// The ordered number of engines.
    pub count: u32,
    pub result: OrderResult,
    /// The highest recent load of the service, as the number of engines that it would fill.
    pub peak_load: f64,
    /// The fencing token of the lease.
    pub token: u64,
}
