//! What this router knows and sees of roll-outs.
//!
//! Records how attempts went at either version; [`crate::rollout_state`] owns the orders.
//! [`crate::rollout_steps`] reports that to the routers that decide, and decides itself where this
//! router is one; which versions an attempt may go to, what counts as a bad answer and what follows is
//! decided in `cloverpier_router_policy::rollout`.

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

/// The versions that an attempt of a service may go to, drawn anew for each.
pub(crate) fn version_rule(router: &Router, service: &ServiceName, now: Instant) -> VersionRule {
    let table = router.upstreams.borrow();
    let upstreams_of = |version: &_| table.count_of_version(service, version);
    let mut rng = router.rng.borrow_mut();
    let book = router.rollouts.book.borrow();
    book.rule(service, upstreams_of, now, &mut rng)
}

/// Records the versions that updates of the list name.
pub(crate) fn on_listed(router: &Router, update: &AppliedUpdate, now: Instant) {
    let mut book = router.rollouts.book.borrow_mut();
    book.on_listed(&update.versions, now);
}

/// Applies views of a peer or of the store; what is new is logged and handed on.
pub(crate) fn apply_views(router: &Router, views: Vec<RolloutView>, from: &str, now: Instant) {
    let mut has_update = false;
    for view in views {
        let service = view.service.clone();
        let update = router.rollouts.book.borrow_mut().on_view(view, now);
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
        notify_peers(router, Recipients::Many, now);
        router.rollouts.changed.notify_one();
    }
}

/// Records a progress that this router decided, and sends it to peers.
pub(crate) fn on_decided(
    router: &Router,
    service: &ServiceName,
    progress: Progress,
    objection: Option<&Regression>,
    now: Instant,
) {
    let mut book = router.rollouts.book.borrow_mut();
    let is_new = book.on_progress(service, progress, now);
    drop(book);
    if is_new {
        log_progress(router, service, "this router", objection);
        notify_peers(router, Recipients::Many, now);
        router.rollouts.changed.notify_one();
    }
}

/// Sends peers the orders that are under way, and those that ended recently.
pub(crate) fn notify_peers(router: &Router, to: Recipients, now: Instant) {
    let views = router.rollouts.book.borrow().views_to_send(now);
    if views.is_empty() {
        return;
    }
    let sender = router.settings().listen.peers;
    let reports = RolloutReports { sender, views };
    router.peers.outbox.send(PeerMessage::Rollouts(reports), to);
}

/// Records what a router saw.
pub(crate) fn on_evidence(router: &Router, sender: SocketAddr, report: EvidenceReport) {
    let mut book = router.rollouts.book.borrow_mut();
    book.on_report(sender, report);
}

fn log_order(router: &Router, service: &ServiceName, from: &str) {
    let book = router.rollouts.book.borrow();
    let order = book.get(service).and_then(|r| r.view.order.clone());
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
    objection: Option<&Regression>,
) {
    let book = router.rollouts.book.borrow();
    let Some(rollout) = book.get(service) else {
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
        regression: objection.map(|o| format!("{:?}", o.kind)),
        route: objection.and_then(|o| o.route),
        bad_responses: objection.map(|o| o.bad),
        responses: objection.map(|o| o.responses),
        baseline_bad_share: objection.map(|o| o.baseline_bad_share),
        likelihood_ratio: objection.map(|o| o.likelihood_ratio),
        from,
    };
    router.log.info("rollout.progressed", &line);
}

/// The name of a stage, for metrics.
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

/// An attempt of a service whose roll-out is under way.
#[derive(Clone, Debug)]
struct Subject {
    service: ServiceName,
    order: OrderId,
    upstream: UpstreamName,
    start: IncarnationNumber,
    is_target: bool,
    route: RouteKey,
}

impl Subject {
    /// `None` where no roll-out of the request's service is under way.
    fn of(router: &Router, request: &RelayRequest, upstream: &Upstream) -> Option<Self> {
        let service = &request.service.name;
        let book = router.rollouts.book.borrow();
        let order = book.get(service)?.active()?;
        let table = router.upstreams.borrow();
        // One that is forgotten by now has no start, and its answers say nothing.
        let start = table.get(&upstream.name)?.incarnation();
        Some(Self {
            service: service.clone(),
            order: order.id,
            upstream: upstream.name.clone(),
            start,
            is_target: upstream.version() == Some(&order.target),
            route: RouteKey::of(&request.route.name),
        })
    }

    fn observed(&self) -> ObservedAttempt<'_> {
        ObservedAttempt {
            upstream: &self.upstream,
            start: self.start,
            is_target: self.is_target,
            route: self.route,
        }
    }

    /// Records something, unless the order has ended or is another one by now.
    fn record<T>(&self, router: &Router, record: impl FnOnce(&mut OwnEvidence) -> T) -> Option<T> {
        let mut book = router.rollouts.book.borrow_mut();
        let rollout = book.get_mut(&self.service)?;
        let is_same = rollout.active().is_some_and(|order| order.id == self.order);
        is_same.then(|| record(&mut rollout.own))
    }
}

/// A time that is being measured; dropped without an answer it says nothing.
#[derive(Debug)]
pub(crate) struct Measuring {
    router: Rc<Router>,
    subject: Subject,
    id: MeasurementId,
}

impl Measuring {
    /// Records a good answer.
    pub fn answered(self) {
        let now = self.router.now();
        let (id, observed) = (self.id, self.subject.observed());
        self.subject
            .record(&self.router, |own| own.on_response(id, observed, now));
    }
}

impl Drop for Measuring {
    fn drop(&mut self) {
        let id = self.id;
        self.subject
            .record(&self.router, |own| own.cancel_timing(id));
    }
}

/// Records that an attempt is sent.
pub(crate) fn on_sent(router: &Router, request: &RelayRequest, upstream: &Upstream) {
    if let Some(subject) = Subject::of(router, request, upstream) {
        subject.record(router, |own| own.on_sent(subject.is_target));
    }
}

/// Begins to measure an answer, where a roll-out is under way.
pub(crate) fn measure(
    router: &Rc<Router>,
    request: &RelayRequest,
    upstream: &Upstream,
    measure: Measure,
) -> Option<Measuring> {
    let subject = Subject::of(router, request, upstream)?;
    let now = router.now();
    let id = subject.record(router, |own| {
        own.start_timing(subject.observed(), measure, now)
    })?;
    Some(Measuring {
        router: Rc::clone(router),
        subject,
        id,
    })
}

/// Records an attempt that failed.
pub(crate) fn on_failure(
    router: &Router,
    request: &RelayRequest,
    upstream: &Upstream,
    failure: &AttemptFailure,
) {
    if let Some(subject) = Subject::of(router, request, upstream) {
        let now = router.now();
        subject.record(router, |own| {
            own.on_failure(subject.observed(), failure, now);
        });
    }
}

/// Whether a run at an upstream is to move, as its version is about to be stopped.
pub(crate) fn is_to_move(router: &Router, service: &ServiceName, upstream: &Upstream) -> bool {
    let book = router.rollouts.book.borrow();
    let Some(rollout) = book.get(service) else {
        return false;
    };
    let is_moving = rollout.view.progress.stage == Stage::Moving;
    let order = rollout.view.order.as_ref();
    is_moving && order.is_some_and(|order| upstream.version() != Some(&order.target))
}
