//! Permit requests from a router to a limiter, the limiter's replies, and the resulting decision for a
//! caller's request.
//!
//! [`PermitRequest`] and [`PermitReply`] are sent between routers. Owns no state.

use super::bucket::PermitAllocation;
use crate::limit::LimitReport;
use crate::upstream::UpstreamKey;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long after its due time a permit stays valid. A later request, as after this process was paused,
/// would reach the upstream at a time for which other permits are counted.
const PERMIT_VALIDITY: Duration = Duration::from_millis(100);

/// Whether a permit that may be used from `due` on is still valid at `now`.
pub fn is_permit_usable(due: Instant, now: Instant) -> bool {
    now.saturating_duration_since(due) <= PERMIT_VALIDITY
}

/// The permits that a router requests for one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PermitDemand {
    /// The address for peers of the requesting router.
    pub from: SocketAddr,
    /// The upstream that the permits are for.
    pub upstream: UpstreamKey,
    /// The number of requested permits, one for each caller's request; 0 only checks whether the limiter
    /// replies.
    pub count: u32,
    /// How long each caller's request may wait for its permit; zero requires a permit that is available
    /// now.
    pub max_wait: Duration,
}

/// The reply for requests that get no permit within the time that they may wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRefusal {
    /// The time until a permit is available.
    #[serde(rename = "next")]
    pub next_permit: Duration,
    /// The time after which the caller of the refused request should retry. The time increases with each
    /// refused request, up to ten seconds, so that callers refused earlier get permits first.
    #[serde(rename = "retry")]
    pub retry_after: Duration,
    /// The estimated time in which each router that requests permits for the upstream gets one.
    #[serde(rename = "turn")]
    pub per_router_interval: Duration,
}

/// A permit request as sent to the limiter. The order of fields is part of the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Identifies the permit request among all that the sender has sent.
    pub number: u64,
    /// The upstream that the permits are for.
    pub upstream: UpstreamKey,
    /// The number of requested permits; 0 only checks whether the limiter replies.
    pub count: u32,
    /// How long each of the callers' requests may wait for its permit.
    pub max_wait: Duration,
    /// The limit of the upstream as recorded by the sender, so that the limiter gets a limit that it has
    /// not received yet; `None` if the sender has no limit recorded.
    pub limit: Option<LimitReport>,
}

/// A limiter's reply to a [`PermitRequest`]. The order of fields is part of the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitReply {
    /// The number of the permit request.
    pub number: u64,
    /// The upstream that the permits are for.
    pub upstream: UpstreamKey,
    /// The granted permits; `None` if the replying router has no limit recorded for the upstream, or
    /// regards another router as its limiter.
    #[serde(rename = "handed_out")]
    pub allocation: Option<PermitAllocation>,
    /// The limit of the upstream as recorded by the replying router; `None` if it has no limit recorded.
    pub limit: Option<LimitReport>,
}

/// The decision of a router on a caller's request for which it has selected an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitDecision {
    /// Send the request now: the upstream is not limited.
    Unlimited,
    /// Send the request after this time: a permit was granted.
    Granted(Duration),
    /// Request a permit from the router at this address, the upstream's limiter.
    RequestFrom(SocketAddr),
    /// Do not send the request to this upstream.
    Refused {
        /// The time after which the caller should retry.
        retry: Duration,
    },
}
