//! Which upstreams this router reaches over its own connections, and which only through another router.
//!
//! - **Question.** Does a call to an upstream use a connection of this router's own, or a tunnel through a peer? Is
//!   it time to try an own connection again?
//! - **Inputs.** For each upstream, when calls over this router's own connections failed without a response; when
//!   a connection was opened on which a response arrived; when a peer reached the upstream although this router's
//!   own connection did not. For each service, when bytes last arrived over own connections.
//! - **Result.** An [`UpstreamPath`]; the upstreams to check over an own connection; a [`ReachabilityChange`] when
//!   a service becomes unreachable or reachable.
//! - **Why.** A missing response shows that the upstream or this router's path to it has failed. If a peer reaches the
//!   upstream, only the path has failed, and the upstream still serves. Once a few
//!   upstreams of a service are known to be well behind lost paths, and no new own connection to any other has
//!   worked since, the paths to the rest are probably lost, too; each of them would cost a request a timeout.
//!   Many upstreams may also die at once while others respond, so a service from which bytes arrive is
//!   reachable, however many calls fail.
//!
//! Only responses on connections that were opened after a failure restore a path: connections that were open before
//! may live on while new ones fail.
//!
//! [`Reachability`] owns the times. It relies on its user to report every failure and response.

use crate::path_evidence::{HEARD_TTL, OwnContact};
use crate::upstream::Upstream;
use cloverpier_core::{ServiceName, UpstreamName};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Minimum number of upstreams without a response at which their service counts as unreachable: a single upstream
/// may have failed itself.
const MIN_FAILED: usize = 2;
/// Minimum number of lost paths to upstreams of a service after which new calls to all its upstreams go through
/// peers. If the paths to the others still work, each request takes one more hop until the next check.
const MIN_LOST: usize = 2;
/// Interval of the checks whether the upstreams behind lost paths can be reached again over own connections.
pub const PATH_CHECK_PERIOD: Duration = Duration::from_millis(500);
/// Maximum number of upstreams of one service in a round of checks. Also limits the rate at which a router
/// reopens its connections after a partition.
const MAX_CHECKS: usize = 8;
/// A router that is cut off from a service checks one upstream in each round: the others would fail alike.
const MAX_CHECKS_CUT_OFF: usize = 1;

/// How a new connection to an upstream is opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamPath {
    /// By this router itself.
    Direct,
    /// As a tunnel through a peer that reaches the upstream.
    ThroughPeer,
}

/// A service became reachable or unreachable over this router's own connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReachabilityChange {
    /// Calls to several upstreams failed, and nothing arrives from the service, or peers reach these upstreams.
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

/// An upstream that a peer reached while this router's own connection to it failed.
#[derive(Clone, Debug)]
struct LostPath {
    upstream: Upstream,
    /// When the path was lost.
    since: Instant,
    /// When the last own connection that failed was tried.
    failed_at: Instant,
    /// When an own connection was last tried again; at first, when the path was lost.
    last_check: Instant,
}

/// The results of calls over this router's own connections to the upstreams of one service.
#[derive(Clone, Debug, Default)]
struct ServiceReachability {
    /// The upstreams to which calls failed since the last response, with the time of the first failure.
    failed: HashMap<UpstreamName, Instant>,
    last_response: Option<Instant>,
    /// When bytes last arrived over an own connection.
    heard_at: Option<Instant>,
    unreachable_since: Option<Instant>,
    lost: HashMap<UpstreamName, LostPath>,
    /// When the newest own connection on which a response arrived was opened.
    last_working_open: Option<Instant>,
}

impl ServiceReachability {
    /// Whether several paths are lost and no newer own connection to any upstream of the service has worked.
    fn is_cut_off(&self) -> bool {
        let is_newer = |lost: &&LostPath| Some(lost.failed_at) > self.last_working_open;
        self.lost.values().filter(is_newer).count() >= MIN_LOST
    }

    /// Whether the service counts as unreachable: several paths are lost, or several calls failed and nothing arrives.
    fn seems_unreachable(&self, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < HEARD_TTL;
        let is_silent = !self.heard_at.is_some_and(is_recent);
        self.is_cut_off() || (is_silent && self.failed.len() >= MIN_FAILED)
    }

    fn start_due_checks(&mut self, now: Instant) -> Vec<Upstream> {
        let most = if self.is_cut_off() {
            MAX_CHECKS_CUT_OFF
        } else {
            MAX_CHECKS
        };
        let mut due: Vec<&mut LostPath> = self.lost.values_mut().collect();
        due.retain(|lost| now.saturating_duration_since(lost.last_check) >= PATH_CHECK_PERIOD);
        due.sort_by(|a, b| {
            let by_time = a.last_check.cmp(&b.last_check);
            by_time.then_with(|| a.upstream.name.cmp(&b.upstream.name))
        });
        due.truncate(most);
        let started = due.into_iter().map(|lost| {
            lost.last_check = now;
            lost.upstream.clone()
        });
        started.collect()
    }
}

/// The results of calls over this router's own connections, by service.
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    services: HashMap<ServiceName, ServiceReachability>,
}

impl Reachability {
    /// How a new connection to an upstream is opened.
    pub fn path(&self, upstream: &Upstream) -> UpstreamPath {
        let service = self.services.get(&upstream.service);
        let is_lost =
            |s: &ServiceReachability| s.lost.contains_key(&upstream.name) || s.is_cut_off();
        if service.is_some_and(is_lost) {
            UpstreamPath::ThroughPeer
        } else {
            UpstreamPath::Direct
        }
    }

    /// Whether this router reaches the service only through peers.
    pub fn is_cut_off(&self, service: &ServiceName) -> bool {
        let service = self.services.get(service);
        service.is_some_and(ServiceReachability::is_cut_off)
    }

    /// Whether calls to several upstreams of the service have failed over own connections, and none has responded over
    /// one since.
    pub fn is_unreachable(&self, service: &ServiceName) -> bool {
        let service = self.services.get(service);
        service.is_some_and(|s| s.unreachable_since.is_some())
    }

    /// Number of upstreams whose paths are lost.
    pub fn lost_paths(&self) -> usize {
        self.services.values().map(|s| s.lost.len()).sum()
    }

    /// Records that bytes arrived at `at` from an upstream of the service over an own connection, such as events of a
    /// stream. Calls that failed earlier no longer count: the service was heard since.
    pub fn on_heard(&mut self, service: &ServiceName, at: Instant) {
        let service = self.service_mut(service);
        if service.heard_at.is_some_and(|known| at <= known) {
            return;
        }
        service.heard_at = Some(at);
        service.failed.retain(|_, failed_at| *failed_at > at);
    }

    /// When this router last had contact with upstreams of the service over its own connections.
    pub fn own_contact(&self, service: &ServiceName) -> OwnContact {
        let service = self.services.get(service);
        service.map_or_else(OwnContact::default, |s| OwnContact {
            heard_at: s.heard_at,
            last_working_open: s.last_working_open,
        })
    }

    /// Records that a call to an upstream over this router's own connections failed without a response.
    pub fn on_failure(&mut self, upstream: &Upstream, now: Instant) -> Option<ReachabilityChange> {
        let service = self.services.entry(upstream.service.clone()).or_default();
        service.failed.entry(upstream.name.clone()).or_insert(now);
        if service.unreachable_since.is_some() || !service.seems_unreachable(now) {
            return None;
        }
        service.unreachable_since = Some(now);
        Some(ReachabilityChange::Unreachable {
            failed: service.failed.len(),
            last_response: service.last_response,
        })
    }

    /// Records that a peer reached an upstream, while the own connection that was tried at `tried_at` failed.
    /// Returns whether the path was not known to be lost.
    pub fn on_reached_by_peer(
        &mut self,
        upstream: &Upstream,
        tried_at: Instant,
        now: Instant,
    ) -> bool {
        let service = self.services.entry(upstream.service.clone()).or_default();
        let lost = service.lost.get_mut(&upstream.name);
        if let Some(lost) = lost {
            lost.failed_at = lost.failed_at.max(tried_at);
            return false;
        }
        let lost = LostPath {
            upstream: upstream.clone(),
            since: now,
            failed_at: tried_at,
            last_check: now,
        };
        service.lost.insert(upstream.name.clone(), lost);
        true
    }

    /// Records that a response of an upstream arrived over one of this router's own connections.
    pub fn on_response(&mut self, upstream: &Upstream, now: Instant) -> Option<ReachabilityChange> {
        let service = self.service_mut(&upstream.service);
        service.last_response = Some(now);
        service.heard_at = service.heard_at.max(Some(now));
        service.failed.clear();
        let since = service.unreachable_since.take()?;
        Some(ReachabilityChange::Reachable { since })
    }

    /// Records that a response of an upstream arrived over an own connection that was opened at `opened_at`.
    /// Returns since when the path had been lost, if this restores it.
    pub fn on_working_connection(
        &mut self,
        upstream: &Upstream,
        opened_at: Instant,
    ) -> Option<Instant> {
        let service = self.service_mut(&upstream.service);
        service.last_working_open = service.last_working_open.max(Some(opened_at));
        let lost = service.lost.get(&upstream.name)?;
        if opened_at <= lost.failed_at {
            return None;
        }
        let lost = service.lost.remove(&upstream.name)?;
        Some(lost.since)
    }

    /// The upstreams whose lost paths are to be tried now. The checks count as started.
    pub fn start_due_checks(&mut self, now: Instant) -> Vec<Upstream> {
        let services = self.services.values_mut();
        services.flat_map(|s| s.start_due_checks(now)).collect()
    }

    /// Removes the lost paths to upstreams for which `is_known` returns false.
    pub fn retain(&mut self, is_known: impl Fn(&UpstreamName) -> bool) {
        for service in self.services.values_mut() {
            service.lost.retain(|name, _| is_known(name));
        }
    }

    fn service_mut(&mut self, service: &ServiceName) -> &mut ServiceReachability {
        if !self.services.contains_key(service) {
            self.services
                .insert(service.clone(), ServiceReachability::default());
        }
        self.services.entry(service.clone()).or_default()
    }
}
