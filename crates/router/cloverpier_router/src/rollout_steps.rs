//! The loop that drives roll-outs: reports this router's counts, and decides the next step.
//!
//! Every router reports its counts to the routers that watch the store. These decide the steps, and write the status
//! to the store through [`crate::rollout_store`]. The rules of a decision are in
//! `cloverpier_router_policy::rollout::schedule`. The loop sleeps while there is no running or recently ended order.
//! Owns the times of the last report and of the last resend to peers.

use crate::outbox::Recipients;
use crate::peer_messages::{PeerMessage, RolloutEvidence};
use crate::rollout_store::{PendingWrites, write_statuses};
use crate::rollouts::{on_decided, on_evidence, send_views};
use crate::router::Router;
use crate::source::ConfigurationSource;
use cloverpier_core::ServiceName;
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::rollout::evidence::EvidenceReport;
use cloverpier_router_policy::rollout::schedule::{Step, StepInput, step};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Interval of the loop, and so of the decisions, while there is a running or recently ended order.
const STEP_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which a router reports its counts to the routers that decide.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which the views of orders are sent to a few random peers again, since datagrams may be lost.
const VIEW_RESEND_INTERVAL: Duration = Duration::from_secs(1);

/// Reports, decides and writes statuses, until the process exits.
pub(crate) async fn drive_rollouts(router: Rc<Router>, source: Rc<impl ConfigurationSource>) {
    let mut timers = StepTimers::default();
    let mut pending_writes = PendingWrites::default();
    loop {
        let now = router.now();
        let is_idle = router
            .rollouts
            .registry
            .borrow()
            .views_to_send(now)
            .is_empty();
        if is_idle {
            router.rollouts.wait_for_change().await;
        } else {
            router.timers.sleep(STEP_INTERVAL).await;
        }
        let now = router.now();
        if timers.is_report_due(now) {
            send_reports(&router, now);
        }
        if timers.is_view_resend_due(now) {
            send_views(&router, Recipients::SmallSample, now);
        }
        if router.store.role().watches() {
            decide_all(&router, now);
            write_statuses(&router, &*source, &mut pending_writes).await;
        }
    }
}

/// When the periodic messages of the loop were last due; `None` before the first time.
#[derive(Debug, Default)]
struct StepTimers {
    reported_at: Option<Instant>,
    views_sent_at: Option<Instant>,
}

impl StepTimers {
    fn is_report_due(&mut self, now: Instant) -> bool {
        is_due(&mut self.reported_at, REPORT_INTERVAL, now)
    }

    fn is_view_resend_due(&mut self, now: Instant) -> bool {
        is_due(&mut self.views_sent_at, VIEW_RESEND_INTERVAL, now)
    }
}

/// Whether `interval` has passed since `last`, or `last` is `None`; if so, sets `last` to `now`.
fn is_due(last: &mut Option<Instant>, interval: Duration, now: Instant) -> bool {
    let is_due = last.is_none_or(|at| now.saturating_duration_since(at) >= interval);
    if is_due {
        *last = Some(now);
    }
    is_due
}

/// Sends this router's counts to the routers that watch the store, and records them at this router, as it may be one
/// that decides.
fn send_reports(router: &Router, now: Instant) {
    let sender = router.settings().listen.peers;
    let watchers = router.peers.watchers(now, router.peer_timeout());
    for report in own_reports(router, now) {
        let evidence = RolloutEvidence {
            sender,
            report: report.clone(),
        };
        let to = Recipients::Only(watchers.clone());
        router
            .peers
            .outbox
            .send(PeerMessage::RolloutEvidence(evidence), to);
        on_evidence(router, sender, report);
    }
}

fn own_reports(router: &Router, now: Instant) -> Vec<EvidenceReport> {
    let registry = router.rollouts.registry.borrow();
    let table = router.upstreams.borrow();
    let mut reports = Vec::new();
    for service in registry.active() {
        let Some(rollout) = registry.get(&service) else {
            continue;
        };
        let Some(order) = rollout.active() else {
            continue;
        };
        let in_flight = table.own_requests_at_other_versions(&service, &order.target);
        let stage = rollout.view.progress.stage;
        reports.extend(rollout.own.reports(order.id, stage, in_flight, now));
    }
    reports
}

fn decide_all(router: &Router, now: Instant) {
    let active = router.rollouts.registry.borrow().active();
    for service in active {
        decide(router, &service, now);
    }
}

/// Decides how a service's roll-out continues. A completion takes effect only once the store holds it, so nothing is
/// done here for [`Step::Complete`].
fn decide(router: &Router, service: &ServiceName, now: Instant) {
    let Some((progress, step)) = next_step(router, service, now) else {
        return;
    };
    match step {
        Step::Stay | Step::Complete => {}
        Step::Update(next) => on_decided(router, service, next, None, now),
        Step::RollBack(regression) => {
            let next = Progress {
                stage: Stage::RolledBack,
                ..progress
            };
            on_decided(router, service, next, regression.as_ref(), now);
        }
    }
}

/// The present progress of a service's order, and the step that follows from the counts of all routers. `None` without
/// a running order, or if the settings disable roll-outs.
pub(crate) fn next_step(
    router: &Router,
    service: &ServiceName,
    now: Instant,
) -> Option<(Progress, Step)> {
    let bounds = router.exposure_bounds()?;
    let mut routers = router.peers.live(now, router.peer_timeout());
    routers.push(router.settings().listen.peers);
    let table = router.upstreams.borrow();
    let mut registry = router.rollouts.registry.borrow_mut();
    let rollout = registry.get_mut(service)?;
    rollout.fleet.take_snapshot(now);
    let order = rollout.active()?;
    let progress = rollout.view.progress;
    let step = step(&StepInput {
        now,
        ordered_at: rollout.ordered_at,
        stage_since: rollout.stage_since,
        duration: order.duration,
        progress,
        evidence: &rollout.fleet,
        upstreams: table.count_of_version(service, &order.target),
        routers: &routers,
        bounds,
    });
    Some((progress, step))
}
