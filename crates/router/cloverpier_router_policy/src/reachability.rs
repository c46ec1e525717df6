//! Which services this router reaches over its own connections.
//!
//! - **Question.** Do calls to a service's upstreams fail because of the upstreams, or does this router reach none
//!   of them?
//! - **Inputs.** For each upstream, when this router's calls over its own connections failed without a response,
//!   and when a response arrived.
//! - **Result.** A [`ReachabilityChange`] when a service becomes unreachable or reachable.
//! - **Why.** One silent upstream has probably failed itself. Several that are silent while nothing arrives from
//!   any other upstream of their service suggest that this router has lost its paths to them.
//!
//! [`Reachability`] owns the times. It relies on its user to report every failure and response.

use crate::upstream::Upstream;
use cloverpier_core::{ServiceName, UpstreamName};
use std::collections::HashMap;
use std::time::Instant;

/// Minimum number of upstreams without a response at which their service counts as unreachable: a single upstream
/// may have failed itself.
const MIN_FAILED: usize = 2;

/// A service became reachable or unreachable over this router's own connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReachabilityChange {
    /// Calls to several upstreams failed, and no upstream of the service has responded since the first of them.
    Unreachable {
        /// Number of upstreams to which calls failed.
        failed: usize,
        /// When an upstream of the service last responded; `None` if none ever did.
        last_response: Option<Instant>,
    },
    /// An upstream of the service responded again.
    Reachable {
        /// When the service became unreachable.
        since: Instant,
    },
}

/// What is known of this router's own connections to the upstreams of one service.
#[derive(Clone, Debug, Default)]
struct ServiceReachability {
    /// The upstreams to which calls failed since the last response, with the time of the first failure.
    failed: HashMap<UpstreamName, Instant>,
    last_response: Option<Instant>,
    unreachable_since: Option<Instant>,
}

/// What is known of this router's own connections to the upstreams of all services.
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    services: HashMap<ServiceName, ServiceReachability>,
}

impl Reachability {
    /// Records that a call to an upstream over this router's own connections failed without a response.
    pub fn on_failure(&mut self, upstream: &Upstream, now: Instant) -> Option<ReachabilityChange> {
        let service = self.services.entry(upstream.service.clone()).or_default();
        service.failed.entry(upstream.name.clone()).or_insert(now);
        let failed = service.failed.len();
        if failed < MIN_FAILED || service.unreachable_since.is_some() {
            return None;
        }
        service.unreachable_since = Some(now);
        Some(ReachabilityChange::Unreachable {
            failed,
            last_response: service.last_response,
        })
    }

    /// Records that a response of an upstream arrived over one of this router's own connections.
    pub fn on_response(&mut self, upstream: &Upstream, now: Instant) -> Option<ReachabilityChange> {
        let service = match self.services.get_mut(&upstream.service) {
            Some(service) => service,
            None => self.services.entry(upstream.service.clone()).or_default(),
        };
        service.last_response = Some(now);
        service.failed.clear();
        let since = service.unreachable_since.take()?;
        Some(ReachabilityChange::Reachable { since })
    }
}
