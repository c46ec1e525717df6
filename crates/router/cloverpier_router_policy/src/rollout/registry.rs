//! The orders that a router has received, and the version rule that each gives its attempts.
//!
//! Owns, for each service, the newest order with its progress, the counts of this router for it,
//! and the reports of other routers. Relies on its caller to pass in each view that peers or the
//! store send, and the versions that were listed recently.
//!
//! A version that was listed recently, and that no order names, receives no requests: order and
//! list are read by two calls, and otherwise a version that is not known to be good would receive
//! its full share of requests in between.

use super::evidence::{EvidenceReport, FleetEvidence, OwnEvidence};
use super::schedule::{ExposureBounds, canary_count, first_progress};
use super::{CanarySet, OrderId, Progress, RolloutOrder, RolloutView, Stage, VersionRule};
use cloverpier_core::{ServiceName, SoftwareVersion};
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The fraction of an order's duration that counts as elapsed when a router starts and finds the
/// order already running in the store, since no router may be left that has the real start time.
const RESUMED_ELAPSED_FRACTION: f64 = 0.3;
/// How long the end of a roll-out is still sent to peers periodically: longer than a partitioned
/// router takes to be listed as dead and to be detected as alive again.
const ENDED_VIEW_RESEND_TIME: Duration = Duration::from_secs(60);

/// The effect of a received view on the registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderUpdate {
    /// The view contained nothing new.
    Unchanged,
    /// The view contained a new order.
    Ordered,
    /// The progress of the service's order advanced.
    Progressed,
    /// The operator withdrew the order.
    Withdrawn,
}

/// The newest order of a service, running, ended or withdrawn.
#[derive(Clone, Debug)]
pub struct Rollout {
    /// The order and its progress, in the form in which routers send them.
    pub view: RolloutView,
    /// The moment of the order, as far as this router has it: when the order arrived here, or earlier
    /// by an estimate ([`RolloutRegistry::resume`]).
    pub ordered_at: Instant,
    /// When the present stage or round began at this router.
    pub stage_since: Instant,
    /// The responses and attempts that this router counted.
    pub own: OwnEvidence,
    /// The counts of all routers whose reports arrived at this router, its own included.
    pub fleet: FleetEvidence,
}

impl Rollout {
    fn new(view: RolloutView, now: Instant) -> Self {
        Self {
            view,
            ordered_at: now,
            stage_since: now,
            own: OwnEvidence::default(),
            fleet: FleetEvidence::default(),
        }
    }

    /// The order, unless the roll-out has ended or the order was withdrawn.
    pub fn active(&self) -> Option<&RolloutOrder> {
        let order = self.view.order.as_ref()?;
        (!self.view.progress.stage.is_over()).then_some(order)
    }

    fn id(&self) -> Option<OrderId> {
        self.view.order.as_ref().map(|order| order.id)
    }

    /// Merges a progress from a peer, the store or the schedule; returns whether it changed this one.
    fn join(&mut self, progress: Progress, now: Instant) -> bool {
        let joined = self.view.progress.join(progress);
        let is_new = joined != self.view.progress;
        if is_new {
            self.view.progress = joined;
            self.stage_since = now;
        }
        is_new
    }
}

/// The orders that a router has received, by service.
#[derive(Clone, Debug, Default)]
pub struct RolloutRegistry {
    rollouts: BTreeMap<ServiceName, Rollout>,
    /// Targets of orders that were replaced or withdrawn before they completed: they receive no
    /// requests until an order names them again.
    excluded: HashSet<(ServiceName, SoftwareVersion)>,
}

impl RolloutRegistry {
    /// The views of all services, ended and withdrawn ones too, for a peer that requests them.
    pub fn views(&self) -> Vec<RolloutView> {
        self.rollouts.values().map(|r| r.view.clone()).collect()
    }

    /// The views that are sent to peers periodically: of running roll-outs, and of those whose progress
    /// last changed within `ENDED_VIEW_RESEND_TIME`.
    pub fn views_to_send(&self, now: Instant) -> Vec<RolloutView> {
        let is_sent = |r: &&Rollout| {
            r.active().is_some()
                || now.saturating_duration_since(r.stage_since) <= ENDED_VIEW_RESEND_TIME
        };
        let sent = self.rollouts.values().filter(is_sent);
        sent.map(|r| r.view.clone()).collect()
    }

    /// The newest order of a service; `None` where no order was ever received.
    pub fn get(&self, service: &ServiceName) -> Option<&Rollout> {
        self.rollouts.get(service)
    }

    /// The newest order of a service, for recording counts in it.
    pub fn get_mut(&mut self, service: &ServiceName) -> Option<&mut Rollout> {
        self.rollouts.get_mut(service)
    }

    /// The services whose roll-outs are running.
    pub fn active(&self) -> Vec<ServiceName> {
        let active = self.rollouts.iter().filter(|(_, r)| r.active().is_some());
        active.map(|(service, _)| service.clone()).collect()
    }

    /// Merges a view that a peer or the store sent. A view of another order replaces the service's
    /// present one only if its revision is higher.
    pub fn on_view(&mut self, view: RolloutView, now: Instant) -> OrderUpdate {
        let Some(current) = self.rollouts.get_mut(&view.service) else {
            let update = order_update_of(&view);
            self.readmit(&view);
            self.rollouts
                .insert(view.service.clone(), Rollout::new(view, now));
            return update;
        };
        if current.id() == view.order.as_ref().map(|order| order.id) {
            current.view.revision = current.view.revision.max(view.revision);
            return if current.join(view.progress, now) {
                OrderUpdate::Progressed
            } else {
                OrderUpdate::Unchanged
            };
        }
        if view.revision <= current.view.revision {
            return OrderUpdate::Unchanged;
        }
        let previous = std::mem::replace(current, Rollout::new(view.clone(), now));
        self.exclude_target_of(&previous.view);
        self.readmit(&view);
        order_update_of(&view)
    }

    /// Moves the start of a service's order back by a fixed fraction of its duration, as the order was
    /// running before this router received it.
    pub fn resume(&mut self, service: &ServiceName) {
        let Some(rollout) = self.rollouts.get_mut(service) else {
            return;
        };
        let duration = rollout.view.order.as_ref().map(|order| order.duration);
        // A withdrawn order has no duration, and its start then stays.
        let elapsed = duration
            .unwrap_or_default()
            .mul_f64(RESUMED_ELAPSED_FRACTION);
        let since = rollout.ordered_at.checked_sub(elapsed);
        // `Instant` may not reach that far back, as shortly after a boot; the order then seems newer.
        rollout.ordered_at = since.unwrap_or(rollout.ordered_at);
    }

    /// Merges a progress that this router decided; returns whether that changed the order's progress.
    pub fn on_progress(&mut self, service: &ServiceName, to: Progress, now: Instant) -> bool {
        let rollout = self.rollouts.get_mut(service);
        rollout.is_some_and(|rollout| rollout.join(to, now))
    }

    /// Records a router's evidence report; a report on an order that is not the newest is dropped.
    pub fn on_report(&mut self, router: SocketAddr, report: EvidenceReport) {
        let mut rollouts = self.rollouts.values_mut();
        if let Some(rollout) = rollouts.find(|r| r.id() == Some(report.order)) {
            rollout.fleet.on_report(router, report);
        }
    }

    /// Excludes the target version of an order that ends without being completed.
    fn exclude_target_of(&mut self, previous: &RolloutView) {
        let is_completed = previous.progress.stage == Stage::Completed;
        if let Some(order) = previous.order.as_ref().filter(|_| !is_completed) {
            let target = order.target.clone();
            self.excluded.insert((previous.service.clone(), target));
        }
    }

    /// Stops excluding a version that an order names again, so that it is assessed again.
    fn readmit(&mut self, view: &RolloutView) {
        if let Some(order) = &view.order {
            let version = (view.service.clone(), order.target.clone());
            self.excluded.remove(&version);
        }
    }

    /// The rule for one attempt of a service. The rule is drawn at random for each attempt, so that the
    /// target version gets its share of the attempts; `upstreams_of` counts a version's upstreams, and
    /// `newly_listed` are the versions that were listed recently.
    pub fn rule(
        &self,
        service: &ServiceName,
        upstreams_of: impl Fn(&SoftwareVersion) -> usize,
        newly_listed: Vec<SoftwareVersion>,
        rng: &mut fastrand::Rng,
    ) -> VersionRule {
        let on_hold = self.without_target(service, newly_listed);
        let rule = VersionRule::excluding(self.excluded_now(service)).holding(on_hold);
        let Some(rollout) = self.rollouts.get(service) else {
            return rule;
        };
        let Some(order) = &rollout.view.order else {
            return rule;
        };
        let target = order.target.clone();
        let Progress {
            stage,
            share,
            round,
            ..
        } = rollout.view.progress;
        match stage {
            Stage::RolledBack => rule.preferring_previous(target),
            Stage::All | Stage::Moving | Stage::Completed => rule.preferring_target(target),
            Stage::Canary | Stage::Load | Stage::Part if rng.f64() >= share.as_fraction() => {
                rule.preferring_previous(target)
            }
            Stage::Part => rule.preferring_target(target),
            Stage::Canary | Stage::Load => {
                let size = canary_count(stage, share, upstreams_of(&target));
                rule.preferring_canaries(target, CanarySet { size, round })
            }
        }
    }

    /// The versions that the service's order does not name as its target.
    fn without_target(
        &self,
        service: &ServiceName,
        mut versions: Vec<SoftwareVersion>,
    ) -> Vec<SoftwareVersion> {
        let rollout = self.rollouts.get(service);
        let order = rollout.and_then(|r| r.view.order.as_ref());
        versions.retain(|version| order.is_none_or(|o| o.target != *version));
        versions
    }

    fn excluded_now(&self, service: &ServiceName) -> Vec<SoftwareVersion> {
        let rollout = self.rollouts.get(service);
        let order = rollout.and_then(|r| r.view.order.as_ref());
        let is_rolled_back = rollout.is_some_and(|r| r.view.progress.stage == Stage::RolledBack);
        let of_service = self.excluded.iter().filter(|(s, _)| s == service);
        let excluded = of_service.map(|(_, version)| version.clone());
        let target = order.filter(|_| is_rolled_back).map(|o| o.target.clone());
        excluded.chain(target).collect()
    }
}

fn order_update_of(view: &RolloutView) -> OrderUpdate {
    match view.order {
        Some(_) => OrderUpdate::Ordered,
        None => OrderUpdate::Withdrawn,
    }
}

/// Creates a view at the start of the first stage, for an order without an end in the store, or for
/// a withdrawn order (`None`). `revision` is the store's revision of the order.
pub fn new_view(
    service: ServiceName,
    revision: u64,
    order: Option<RolloutOrder>,
    bounds: ExposureBounds,
) -> RolloutView {
    RolloutView {
        service,
        revision,
        order,
        progress: first_progress(bounds),
    }
}
