//! Roll-outs at this router: applies orders and progress, and counts the results of attempts at either version.
//!
//! `cloverpier_router_policy::rollout` decides which versions an attempt may go to, which responses are bad and which
//! step follows. [`crate::rollout_steps`] reports the counts to the routers that decide, and decides if this router is
//! one of them. Owns the running measurements of responses; [`crate::rollout_state`] owns the orders and the counts.

use crate::decision_log::{RolloutOrdered, RolloutProgressed};
use crate::outbox::Recipients;
use crate::peer_messages::{PeerMessage, RolloutReports};
use crate::relay_request::RelayRequest;
use crate::router::Router;
use cloverpier_core::{ServiceName, UpstreamName};
use cloverpier_router_policy::attempt_failure::AttemptFailure;
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::rollout::OrderId;
use cloverpier_router_policy::rollout::assessment::Regression;
use cloverpier_router_policy::rollout::evidence::{
    EvidenceReport, Measure, MeasurementId, ObservedAttempt, OwnEvidence, RouteKey,
};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

/// The rule on the versions that an attempt of a service may go to. It is drawn at random for each attempt, so that
/// the target version gets its share of the attempts.
pub(crate) fn version_rule(router: &Router, service: &ServiceName, now: Instant) -> VersionRule {
    let table = router.upstreams.borrow();
    let upstreams_of = |version: &_| table.count_of_version(service, version);
    let newly_listed = router.version_history.borrow().newly_listed(service, now);
    let mut rng = router.rng.borrow_mut();
    let registry = router.rollouts.registry.borrow();
    registry.rule(service, upstreams_of, newly_listed, &mut rng)
}

/// Merges views of a peer or of the store into the registry. Changes are logged and sent to peers; `from` is their
/// source in the log lines.
pub(crate) fn apply_views(router: &Router, views: Vec<RolloutView>, from: &str, now: Instant) {
    let mut has_update = false;
    for view in views {
        let service = view.service.clone();
        let update = router.rollouts.registry.borrow_mut().on_view(view, now);
        has_update |= update != OrderUpdate::Unchanged;
        match update {
            OrderUpdate::Unchanged => {}
            OrderUpdate::Ordered => log_order(router, &service, from),
            OrderUpdate::Withdrawn => {
                log_order(router, &service, from);
                router.metrics.rollouts.count("withdrawn");
            }
            OrderUpdate::Progressed => log_progress(router, &service, from, None),
        }
    }
    if has_update {
        send_views(router, Recipients::LargeSample, now);
        router.rollouts.registry_changed.notify_one();
    }
}

/// Merges a progress that this router decided, and sends it to peers if it changes the order's progress. `regression`
/// is the reason of a rollback; `None` for any other progress, and for a version that has too few responses.
pub(crate) fn on_decided(
    router: &Router,
    service: &ServiceName,
    progress: Progress,
    regression: Option<&Regression>,
    now: Instant,
) {
    let mut registry = router.rollouts.registry.borrow_mut();
    let is_new = registry.on_progress(service, progress, now);
    drop(registry);
    if is_new {
        log_progress(router, service, "this router", regression);
        send_views(router, Recipients::LargeSample, now);
        router.rollouts.registry_changed.notify_one();
    }
}

/// Sends the views of running and recently ended orders to peers.
pub(crate) fn send_views(router: &Router, to: Recipients, now: Instant) {
    let views = router.rollouts.registry.borrow().views_to_send(now);
    if views.is_empty() {
        return;
    }
    let sender = router.settings().listen.peers;
    let reports = RolloutReports { sender, views };
    router
        .peers
        .outbox
        .send(PeerMessage::RolloutReports(reports), to);
}

/// Records the counts that a router reported for an order; the sender may be this router.
pub(crate) fn on_evidence(router: &Router, sender: SocketAddr, report: EvidenceReport) {
    let mut registry = router.rollouts.registry.borrow_mut();
    registry.on_report(sender, report);
}

fn log_order(router: &Router, service: &ServiceName, from: &str) {
    let registry = router.rollouts.registry.borrow();
    let order = registry.get(service).and_then(|r| r.view.order.clone());
    let duration = order.as_ref().map(|order| order.duration.as_secs_f64());
    router.metrics.rollouts.count("ordered");
    let line = RolloutOrdered {
        service: service.as_str(),
        target: order.as_ref().map(|order| order.target.as_str()),
        duration_s: duration,
        from,
    };
    router.log.info("rollout.ordered", &line);
}

fn log_progress(
    router: &Router,
    service: &ServiceName,
    from: &str,
    regression: Option<&Regression>,
) {
    let registry = router.rollouts.registry.borrow();
    let Some(rollout) = registry.get(service) else {
        return;
    };
    let progress = rollout.view.progress;
    let sent = rollout.fleet.sent();
    router.metrics.rollouts.count(stage_name(progress.stage));
    let order = rollout.view.order.as_ref();
    let line = RolloutProgressed {
        service: service.as_str(),
        target: order.map(|order| order.target.as_str()),
        stage: progress.stage,
        share: progress.share.as_fraction(),
        round: progress.round,
        is_confirmed: progress.is_confirmed,
        sent_to_target: sent.target,
        sent_to_previous: sent.previous,
        regression: regression.map(|o| format!("{:?}", o.kind)),
        route: regression.and_then(|o| o.route),
        bad_responses: regression.map(|o| o.bad),
        responses: regression.map(|o| o.responses),
        baseline_bad_share: regression.map(|o| o.baseline_bad_share),
        likelihood_ratio: regression.map(|o| o.likelihood_ratio),
        from,
    };
    router.log.info("rollout.progressed", &line);
}

/// The `kind` label of the metric `rollouts` for a stage.
fn stage_name(stage: Stage) -> &'static str {
    match stage {
        Stage::Canary => "canary",
        Stage::Load => "load",
        Stage::Part => "part",
        Stage::All => "all",
        Stage::Moving => "moving",
        Stage::RolledBack => "rolled-back",
        Stage::Completed => "completed",
    }
}

/// An attempt at an upstream of a service whose roll-out is running.
#[derive(Clone, Debug)]
struct RolloutAttempt {
    service: ServiceName,
    order: OrderId,
    upstream: UpstreamName,
    incarnation: IncarnationNumber,
    is_target: bool,
    route: RouteKey,
}

impl RolloutAttempt {
    /// `None` if no roll-out of the request's service is running, or the upstream is not in the table any more.
    fn of(router: &Router, request: &RelayRequest, upstream: &Upstream) -> Option<Self> {
        let service = &request.service.name;
        let registry = router.rollouts.registry.borrow();
        let order = registry.get(service)?.active()?;
        let table = router.upstreams.borrow();
        // For an upstream that is not in the table any more, the process that responds is unknown, so its responses
        // are not counted.
        let incarnation = table.get(&upstream.name)?.incarnation();
        Some(Self {
            service: service.clone(),
            order: order.id,
            upstream: upstream.name.clone(),
            incarnation,
            is_target: upstream.version() == Some(&order.target),
            route: RouteKey::of(&request.route.name),
        })
    }

    fn observed(&self) -> ObservedAttempt<'_> {
        ObservedAttempt {
            upstream: &self.upstream,
            start: self.incarnation,
            is_target: self.is_target,
            route: self.route,
        }
    }

    /// Updates this router's counts for the order; `None` if the order has ended or another order has replaced it.
    fn record<T>(&self, router: &Router, update: impl FnOnce(&mut OwnEvidence) -> T) -> Option<T> {
        let mut registry = router.rollouts.registry.borrow_mut();
        let rollout = registry.get_mut(&self.service)?;
        let is_same_order = rollout.active().is_some_and(|order| order.id == self.order);
        is_same_order.then(|| update(&mut rollout.own))
    }
}

/// A running measurement of a response time. If dropped before [`Self::complete`], it is cancelled and not counted.
#[derive(Debug)]
pub(crate) struct Measurement {
    router: Rc<Router>,
    attempt: RolloutAttempt,
    id: MeasurementId,
}

impl Measurement {
    /// Records the time of a good response.
    pub fn complete(self) {
        let now = self.router.now();
        let (id, observed) = (self.id, self.attempt.observed());
        self.attempt
            .record(&self.router, |own| own.on_response(id, observed, now));
    }
}

impl Drop for Measurement {
    fn drop(&mut self) {
        let id = self.id;
        self.attempt
            .record(&self.router, |own| own.cancel_timing(id));
    }
}

/// Counts an attempt that is sent, while a roll-out of its service is running.
pub(crate) fn on_sent(router: &Router, request: &RelayRequest, upstream: &Upstream) {
    if let Some(attempt) = RolloutAttempt::of(router, request, upstream) {
        attempt.record(router, |own| own.on_sent(attempt.is_target));
    }
}

/// Starts to measure a response of an upstream; `None` unless a roll-out of the request's service is running.
pub(crate) fn start_measurement(
    router: &Rc<Router>,
    request: &RelayRequest,
    upstream: &Upstream,
    measure: Measure,
) -> Option<Measurement> {
    let attempt = RolloutAttempt::of(router, request, upstream)?;
    let now = router.now();
    let id = attempt.record(router, |own| {
        own.start_timing(attempt.observed(), measure, now)
    })?;
    Some(Measurement {
        router: Rc::clone(router),
        attempt,
        id,
    })
}

/// Counts a failed attempt, while a roll-out of its service is running.
pub(crate) fn on_failure(
    router: &Router,
    request: &RelayRequest,
    upstream: &Upstream,
    failure: &AttemptFailure,
) {
    if let Some(attempt) = RolloutAttempt::of(router, request, upstream) {
        let now = router.now();
        attempt.record(router, |own| {
            own.on_failure(attempt.observed(), failure, now);
        });
    }
}
