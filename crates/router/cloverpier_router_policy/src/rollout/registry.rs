//! The orders that a router knows, and what follows for its attempts.
//!
//! Owns, for each service, the newest order with its progress, what this router counted for it,
//! what others reported, and which versions were ever listed. Relies on being informed of each list of
//! upstreams and of each view that peers or the store send.
//!
//! A version that appears beside others without an order gets nothing for a moment
//! ([`UNORDERED_HOLD`]): order and upstreams are read by two calls, and a version that is not known
//! to be good must not get everything in between.

use super::evidence::{EvidenceReport, FleetEvidence, OwnEvidence};
use super::schedule::{ExposureBounds, canaries, first_progress};
use super::{CanarySet, OrderId, Progress, RolloutOrder, RolloutView, Stage, VersionRule};
use cloverpier_core::{ServiceName, SoftwareVersion};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long a version that is listed beside others waits for an order that explains it: the store's
/// watches return within 10 ms or so, and peers know within three heartbeats (0.2 s each by
/// default); the rest is for a call that has to be made again.
pub const UNORDERED_HOLD: Duration = Duration::from_secs(2);
/// How much of an order's duration is taken to have passed where a router that has just started
/// finds it under way: nobody may be left who knows.
const RESUMED_AT: f64 = 0.3;
/// How long the end of a roll-out is sent to peers again: longer than a router that was cut off
/// takes to be listed as dead and to be found again.
const TOLD_FOR: Duration = Duration::from_secs(60);

/// What a view changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderUpdate {
    /// Nothing that was not known.
    Nothing,
    /// A new order.
    Ordered,
    /// A known order that is further on.
    Progressed,
    /// The order was taken back.
    Withdrawn,
}

/// An order under way, or ended.
#[derive(Clone, Debug)]
pub struct Rollout {
    /// As it travels.
    pub view: RolloutView,
    /// When the order was given, as far as this router knows.
    pub known_since: Instant,
    /// When the present stage or round began.
    pub stage_since: Instant,
    /// What this router counted.
    pub own: OwnEvidence,
    /// The counts of all routers whose reports arrived here.
    pub fleet: FleetEvidence,
}

impl Rollout {
    fn new(view: RolloutView, now: Instant) -> Self {
        Self {
            view,
            known_since: now,
            stage_since: now,
            own: OwnEvidence::default(),
            fleet: FleetEvidence::default(),
        }
    }

    /// The order, while it is under way.
    pub fn active(&self) -> Option<&RolloutOrder> {
        let order = self.view.order.as_ref()?;
        (!self.view.progress.stage.is_over()).then_some(order)
    }

    fn id(&self) -> Option<OrderId> {
        self.view.order.as_ref().map(|order| order.id)
    }

    /// Takes a progress that peers, the store or the schedule say; returns whether it is new.
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

/// The versions of a service that were ever listed; those that appeared later with the moment.
type SeenVersions = HashMap<SoftwareVersion, Option<Instant>>;

/// The orders that a router knows.
#[derive(Clone, Debug, Default)]
pub struct RolloutBook {
    rollouts: BTreeMap<ServiceName, Rollout>,
    seen: HashMap<ServiceName, SeenVersions>,
    /// Versions that get nothing, as their order ended so or was taken back.
    barred: HashSet<(ServiceName, SoftwareVersion)>,
}

impl RolloutBook {
    /// All views, for peers.
    pub fn views(&self) -> Vec<RolloutView> {
        self.rollouts.values().map(|r| r.view.clone()).collect()
    }

    /// The views that are sent to peers repeatedly.
    pub fn told_views(&self, now: Instant) -> Vec<RolloutView> {
        let is_told = |r: &&Rollout| {
            r.active().is_some() || now.saturating_duration_since(r.stage_since) <= TOLD_FOR
        };
        let told = self.rollouts.values().filter(is_told);
        told.map(|r| r.view.clone()).collect()
    }

    /// A service's roll-out.
    pub fn get(&self, service: &ServiceName) -> Option<&Rollout> {
        self.rollouts.get(service)
    }

    /// The same, to record what was seen.
    pub fn get_mut(&mut self, service: &ServiceName) -> Option<&mut Rollout> {
        self.rollouts.get_mut(service)
    }

    /// The services whose roll-outs are under way.
    pub fn active(&self) -> Vec<ServiceName> {
        let active = self.rollouts.iter().filter(|(_, r)| r.active().is_some());
        active.map(|(service, _)| service.clone()).collect()
    }

    /// Applies a view of a peer or of the store.
    pub fn on_view(&mut self, view: RolloutView, now: Instant) -> OrderUpdate {
        let Some(known) = self.rollouts.get_mut(&view.service) else {
            let update = update_of(&view);
            self.unbar(&view);
            self.rollouts
                .insert(view.service.clone(), Rollout::new(view, now));
            return update;
        };
        if known.id() == view.order.as_ref().map(|order| order.id) {
            known.view.revision = known.view.revision.max(view.revision);
            return if known.join(view.progress, now) {
                OrderUpdate::Progressed
            } else {
                OrderUpdate::Nothing
            };
        }
        if view.revision <= known.view.revision {
            return OrderUpdate::Nothing;
        }
        let former = std::mem::replace(known, Rollout::new(view.clone(), now));
        self.bar_target_of(&former.view);
        self.unbar(&view);
        update_of(&view)
    }

    /// Takes an order as under way for some time already.
    pub fn resume(&mut self, service: &ServiceName) {
        let Some(rollout) = self.rollouts.get_mut(service) else {
            return;
        };
        let duration = rollout.view.order.as_ref().map(|order| order.duration);
        // A view without an order has nothing under way.
        let passed = duration.unwrap_or_default().mul_f64(RESUMED_AT);
        let since = rollout.known_since.checked_sub(passed);
        // A clock that began later than that cannot say so; the order then seems newer.
        rollout.known_since = since.unwrap_or(rollout.known_since);
    }

    /// Records a progress that this router decided; returns whether it is new.
    pub fn on_progress(&mut self, service: &ServiceName, to: Progress, now: Instant) -> bool {
        let rollout = self.rollouts.get_mut(service);
        rollout.is_some_and(|rollout| rollout.join(to, now))
    }

    /// Records what a router reports; ignored where it is of another order.
    pub fn on_report(&mut self, router: SocketAddr, report: EvidenceReport) {
        let mut rollouts = self.rollouts.values_mut();
        if let Some(rollout) = rollouts.find(|r| r.id() == Some(report.order)) {
            rollout.fleet.on_report(router, report);
        }
    }

    /// A new version gets nothing more if its order ends without it having been completed.
    fn bar_target_of(&mut self, former: &RolloutView) {
        let is_completed = former.progress.stage == Stage::Completed;
        if let Some(order) = former.order.as_ref().filter(|_| !is_completed) {
            let target = order.target.clone();
            self.barred.insert((former.service.clone(), target));
        }
    }

    /// A version that is ordered again is judged again.
    fn unbar(&mut self, view: &RolloutView) {
        if let Some(order) = &view.order {
            let version = (view.service.clone(), order.target.clone());
            self.barred.remove(&version);
        }
    }

    /// Records which versions of each service are listed.
    pub fn on_listed(
        &mut self,
        listed: &BTreeMap<ServiceName, BTreeSet<SoftwareVersion>>,
        now: Instant,
    ) {
        for (service, versions) in listed {
            let is_first = !self.seen.contains_key(service);
            let seen = self.seen.entry(service.clone()).or_default();
            for version in versions {
                seen.entry(version.clone())
                    .or_insert((!is_first).then_some(now));
            }
        }
    }

    /// The versions that an attempt of a service may go to, drawn anew for each attempt.
    pub fn rule(
        &self,
        service: &ServiceName,
        upstreams_of: impl Fn(&SoftwareVersion) -> usize,
        now: Instant,
        rng: &mut fastrand::Rng,
    ) -> VersionRule {
        let rule = VersionRule::but(self.barred_now(service, now));
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
            Stage::RolledBack => rule.preferring_former(target),
            Stage::All | Stage::Moving | Stage::Completed => rule.preferring_target(target),
            Stage::Canary | Stage::Load | Stage::Part if rng.f64() >= share.part() => {
                rule.preferring_former(target)
            }
            Stage::Part => rule.preferring_target(target),
            Stage::Canary | Stage::Load => {
                let size = canaries(stage, share, upstreams_of(&target));
                rule.preferring_canaries(target, CanarySet { size, round })
            }
        }
    }

    fn barred_now(&self, service: &ServiceName, now: Instant) -> Vec<SoftwareVersion> {
        let rollout = self.rollouts.get(service);
        let order = rollout.and_then(|r| r.view.order.as_ref());
        let is_ordered = |version: &SoftwareVersion| order.is_some_and(|o| o.target == *version);
        let is_rolled_back = rollout.is_some_and(|r| r.view.progress.stage == Stage::RolledBack);
        let of_service = self.barred.iter().filter(|(s, _)| s == service);
        let barred = of_service.map(|(_, version)| version.clone());
        let held = self.seen.get(service).into_iter().flatten();
        let held = held.filter(|(version, since)| {
            let is_new = since.is_some_and(|at| now.saturating_duration_since(at) < UNORDERED_HOLD);
            is_new && !is_ordered(version)
        });
        let held = held.map(|(version, _)| version.clone());
        let target = order.filter(|_| is_rolled_back).map(|o| o.target.clone());
        barred.chain(held).chain(target).collect()
    }
}

fn update_of(view: &RolloutView) -> OrderUpdate {
    match view.order {
        Some(_) => OrderUpdate::Ordered,
        None => OrderUpdate::Withdrawn,
    }
}

/// The view of an order that the store holds without a status.
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
