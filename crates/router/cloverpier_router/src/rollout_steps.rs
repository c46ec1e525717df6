//! Takes the steps of roll-outs: reports, and decides.
//!
//! A loop that sleeps while no order is under way. Every router reports what it saw to those that
//! watch the store; these decide, and have [`crate::rollout_store`] write the status. What a step
//! is decided by is in `cloverpier_router_policy::rollout::schedule`. Owns when what was done last.

use crate::outbox::Recipients;
use crate::peer_messages::{PeerMessage, RolloutEvidence};
use crate::rollout_store::{WriteTurns, write_statuses};
use crate::rollouts::{notify_peers, on_decided, on_evidence};
use crate::router::Router;
use crate::source::ConfigurationSource;
use cloverpier_core::ServiceName;
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::rollout::evidence::EvidenceReport;
use cloverpier_router_policy::rollout::schedule::{Step, StepInput, step};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How often a router that decides looks at what is known.
const STEP_PERIOD: Duration = Duration::from_millis(100);
/// How often a router reports what it saw.
const REPORT_PERIOD: Duration = Duration::from_millis(250);
/// How often orders are sent to a few peers again, as datagrams are lost.
const TELL_PERIOD: Duration = Duration::from_secs(1);

/// Takes the steps until the process ends.
pub(crate) async fn take_steps(router: Rc<Router>, source: Rc<impl ConfigurationSource>) {
    let mut clock = StepClock::default();
    let mut turns = WriteTurns::default();
    loop {
        let now = router.now();
        let is_quiet = router.rollouts.book.borrow().views_to_send(now).is_empty();
        if is_quiet {
            router.rollouts.changed().await;
        } else {
            router.timers.sleep(STEP_PERIOD).await;
        }
        let now = router.now();
        if clock.is_report_due(now) {
            report(&router, now);
        }
        if clock.is_tell_due(now) {
            notify_peers(&router, Recipients::SmallSample, now);
        }
        if router.store.role().watches() {
            decide_all(&router, now);
            write_statuses(&router, &*source, &mut turns).await;
        }
    }
}

/// When what was done last.
#[derive(Debug, Default)]
struct StepClock {
    reported: Option<Instant>,
    told: Option<Instant>,
}

impl StepClock {
    fn is_report_due(&mut self, now: Instant) -> bool {
        is_due(&mut self.reported, REPORT_PERIOD, now)
    }

    fn is_tell_due(&mut self, now: Instant) -> bool {
        is_due(&mut self.told, TELL_PERIOD, now)
    }
}

fn is_due(last: &mut Option<Instant>, period: Duration, now: Instant) -> bool {
    let is_due = last.is_none_or(|at| now.saturating_duration_since(at) >= period);
    if is_due {
        *last = Some(now);
    }
    is_due
}

/// Reports what this router saw to the routers that decide, itself among them.
fn report(router: &Router, now: Instant) {
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
    let book = router.rollouts.book.borrow();
    let table = router.upstreams.borrow();
    let mut reports = Vec::new();
    for service in book.active() {
        let Some(rollout) = book.get(&service) else {
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
    let active = router.rollouts.book.borrow().active();
    for service in active {
        decide(router, &service, now);
    }
}

/// Decides how a roll-out goes on. A completion is not acted by before the store holds it.
fn decide(router: &Router, service: &ServiceName, now: Instant) {
    let Some((progress, step)) = next_step(router, service, now) else {
        return;
    };
    match step {
        Step::Stay | Step::Complete => {}
        Step::Update(next) => on_decided(router, service, next, None, now),
        Step::RollBack(objection) => {
            let next = Progress {
                stage: Stage::RolledBack,
                ..progress
            };
            on_decided(router, service, next, objection.as_ref(), now);
        }
    }
}

pub(crate) fn next_step(
    router: &Router,
    service: &ServiceName,
    now: Instant,
) -> Option<(Progress, Step)> {
    let bounds = router.exposure_bounds()?;
    let mut routers = router.peers.live(now, router.peer_timeout());
    routers.push(router.settings().listen.peers);
    let table = router.upstreams.borrow();
    let mut book = router.rollouts.book.borrow_mut();
    let rollout = book.get_mut(service)?;
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
