//! Takes the steps of roll-outs: reports, decides, and writes the end to the store.
//!
//! A loop that sleeps while no order is under way. Every router reports what it saw to those that
//! watch the store; these decide, and write the status in turns, so that mostly one of them does.
//! What a step is decided by is in `cloverpier_router_policy::rollout::schedule`.

use crate::peer_messages::{PeerMessage, RolloutEvidence};
use crate::peers::Recipients;
use crate::rollouts::{on_decided, on_evidence, tell_peers};
use crate::router::Router;
use crate::source::{
    ConfigurationSource, Freshness, RolloutChange, RolloutStatus, SourceError, StatusWritten,
    StoredRollout,
};
use crate::store_view::log_dependency;
use cloverpier_core::ServiceName;
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::rollout::book::new_view;
use cloverpier_router_policy::rollout::evidence::EvidenceReport;
use cloverpier_router_policy::rollout::schedule::{Situation, Step, step};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How often a router that decides looks at what is known.  Chosen, not measured.
const STEP_PERIOD: Duration = Duration::from_millis(100);
/// How often a router reports what it saw.  Chosen, not measured.
const REPORT_PERIOD: Duration = Duration::from_millis(250);
/// How often orders are told to a few peers again, as datagrams are lost.  Chosen, not measured.
const TELL_PERIOD: Duration = Duration::from_secs(1);
/// The routers that decide write to the store one after the other with this pause, so that the
/// second finds what the first has written.  Chosen, not measured.
const WRITE_TURN: Duration = Duration::from_millis(400);

/// Takes the steps until the process ends.
pub(crate) async fn take_steps(router: Rc<Router>, source: Rc<impl ConfigurationSource>) {
    let mut clock = StepClock::default();
    loop {
        let now = router.now();
        let is_quiet = router.rollouts.book.borrow().told_views(now).is_empty();
        if is_quiet {
            router.rollouts.changed().await;
        } else {
            tokio::time::sleep(STEP_PERIOD).await;
        }
        let now = router.now();
        if clock.is_report_due(now) {
            report(&router, now);
        }
        if clock.is_tell_due(now) {
            tell_peers(&router, Recipients::Few, now);
        }
        if router.store.role().watches() {
            decide_all(&router, now);
            write_statuses(&router, &*source, &mut clock).await;
        }
    }
}

/// When what was done last.
#[derive(Debug, Default)]
struct StepClock {
    reported: Option<Instant>,
    told: Option<Instant>,
    /// Since when a status is to be written.
    to_write: HashMap<ServiceName, (RolloutStatus, Instant)>,
}

impl StepClock {
    fn is_report_due(&mut self, now: Instant) -> bool {
        is_due(&mut self.reported, REPORT_PERIOD, now)
    }

    fn is_tell_due(&mut self, now: Instant) -> bool {
        is_due(&mut self.told, TELL_PERIOD, now)
    }

    /// Since when this status is to be written.
    fn written_from(
        &mut self,
        service: &ServiceName,
        status: RolloutStatus,
        now: Instant,
    ) -> Instant {
        let entry = self.to_write.entry(service.clone());
        let (known, since) = entry.or_insert((status, now));
        if *known != status {
            (*known, *since) = (status, now);
        }
        *since
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
        let to = Recipients::These(watchers.clone());
        router
            .peers
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
        let in_flight = table.own_requests_but(&service, &order.target);
        let stage = rollout.view.progress.stage;
        reports.push(rollout.own.report(order.id, stage, in_flight, now));
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
        Step::Go(next) => on_decided(router, service, next, None, now),
        Step::RollBack(objection) => {
            let next = Progress {
                stage: Stage::RolledBack,
                ..progress
            };
            on_decided(router, service, next, objection.as_ref(), now);
        }
    }
}

fn next_step(router: &Router, service: &ServiceName, now: Instant) -> Option<(Progress, Step)> {
    let bounds = router.exposure_bounds()?;
    let mut routers = router.peers.live(now, router.peer_timeout());
    routers.push(router.settings().listen.peers);
    let table = router.upstreams.borrow();
    let mut book = router.rollouts.book.borrow_mut();
    let rollout = book.get_mut(service)?;
    rollout.fleet.remember(now);
    let order = rollout.active()?;
    let progress = rollout.view.progress;
    let step = step(&Situation {
        now,
        known_since: rollout.known_since,
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

/// Writes what is decided and not in the store yet, if it is this router's turn.
async fn write_statuses(router: &Router, source: &impl ConfigurationSource, clock: &mut StepClock) {
    let services: Vec<ServiceName> = router.rollouts.stored.borrow().keys().cloned().collect();
    for service in services {
        let now = router.now();
        let Some((stored, status)) = status_to_write(router, &service, now) else {
            clock.to_write.remove(&service);
            continue;
        };
        let since = clock.written_from(&service, status, now);
        if now.saturating_duration_since(since) < own_turn(router, now) {
            continue;
        }
        match source.write_rollout_status(&stored, status).await {
            Ok(written) => on_written(router, &stored, written),
            Err(error) => on_write_failed(router, &service, &error),
        }
        // Another try waits for a turn again; what was lost may be done all the same.
        clock.to_write.remove(&service);
    }
}

/// The status that the store should hold of an order and does not.
fn status_to_write(
    router: &Router,
    service: &ServiceName,
    now: Instant,
) -> Option<(StoredRollout, RolloutStatus)> {
    let stored = router.rollouts.stored.borrow().get(service)?.clone();
    let decided = next_step(router, service, now);
    let book = router.rollouts.book.borrow();
    let view = &book.get(service)?.view;
    let is_same = view
        .order
        .as_ref()
        .is_some_and(|order| order.id == stored.order.id);
    if !is_same || view.progress.is_confirmed {
        return None;
    }
    let wanted = match (view.progress.stage, decided) {
        (Stage::RolledBack, _) => RolloutStatus::RolledBack,
        (_, Some((_, Step::Complete))) => RolloutStatus::Completed,
        _ => RolloutStatus::Running,
    };
    (stored.status != Some(wanted)).then_some((stored, wanted))
}

/// How long this router leaves a write to those that watch the store and come before it.
fn own_turn(router: &Router, now: Instant) -> Duration {
    let own = router.settings().listen.peers;
    let watchers = router.peers.watchers(now, router.peer_timeout());
    let before = watchers.iter().filter(|peer| **peer < own).count();
    WRITE_TURN * u32::try_from(before).unwrap_or(u32::MAX)
}

fn on_written(router: &Router, stored: &StoredRollout, written: StatusWritten) {
    match written {
        StatusWritten::Done(change) | StatusWritten::Conflict(change) => {
            apply_change(router, change, "store");
        }
        StatusWritten::Gone => {
            apply_change(router, RolloutChange::Gone(stored.name.clone()), "store");
        }
    }
}

/// It is tried again, in the next turn of this router or by another one.
fn on_write_failed(router: &Router, service: &ServiceName, error: &SourceError) {
    router.metrics.store_calls.count("failed");
    let reason = format!("status not written: {error}");
    log_dependency(router, "rollout.unwritten", service.as_str(), &reason);
}

/// Applies what the store says of an order.
pub(crate) fn apply_change(router: &Router, change: RolloutChange, from: &str) {
    let Some(bounds) = router.exposure_bounds() else {
        return;
    };
    let now = router.now();
    let view = match change {
        RolloutChange::Stored(stored) => {
            let end = end_of(&stored);
            let order = Some(stored.order.clone());
            let view = new_view(stored.service.clone(), stored.revision, order, bounds);
            let mut all = router.rollouts.stored.borrow_mut();
            all.insert(stored.service.clone(), stored);
            RolloutView {
                progress: end.unwrap_or(view.progress),
                ..view
            }
        }
        RolloutChange::Gone(name) => match withdrawn(router, &name) {
            Some(stored) => new_view(stored.service, stored.revision + 1, None, bounds),
            None => return,
        },
        RolloutChange::Unreadable { name, reason } => {
            let name = name.unwrap_or_default();
            log_dependency(router, "rollout.unreadable", &name, &reason);
            match withdrawn(router, &name) {
                Some(stored) => new_view(stored.service, stored.revision + 1, None, bounds),
                None => return,
            }
        }
    };
    crate::rollouts::apply_views(router, vec![view], from, now);
}

/// An order that the store does not hold any more.
fn withdrawn(router: &Router, name: &str) -> Option<StoredRollout> {
    let mut all = router.rollouts.stored.borrow_mut();
    let service = all.values().find(|stored| stored.name == name)?;
    let service = service.service.clone();
    all.remove(&service)
}

/// The end of an order, if the store holds it.
fn end_of(stored: &StoredRollout) -> Option<Progress> {
    let stage = match stored.status? {
        RolloutStatus::Running => return None,
        RolloutStatus::Completed => Stage::Completed,
        RolloutStatus::RolledBack => Stage::RolledBack,
    };
    Some(Progress {
        stage,
        is_confirmed: true,
        ..Progress::default()
    })
}

/// Reads all orders; those that are under way have been so for a while.
///
/// # Errors
///
/// As [`ConfigurationSource::read_rollouts`].
pub(crate) async fn read_orders(
    router: &Router,
    source: &impl ConfigurationSource,
    freshness: Freshness,
) -> Result<u64, SourceError> {
    let read = source.read_rollouts(freshness).await?;
    let is_listed = |stored: &StoredRollout| {
        let mut changes = read.changes.iter();
        changes.any(|c| matches!(c, RolloutChange::Stored(s) if s.name == stored.name))
    };
    let known: Vec<StoredRollout> = router.rollouts.stored.borrow().values().cloned().collect();
    let gone = known.into_iter().filter(|stored| !is_listed(stored));
    let gone: Vec<RolloutChange> = gone
        .map(|stored| RolloutChange::Gone(stored.name))
        .collect();
    for change in gone {
        apply_change(router, change, "store");
    }
    for change in read.changes {
        let resumed = match &change {
            RolloutChange::Stored(stored) if stored.status == Some(RolloutStatus::Running) => {
                let is_known = router.rollouts.book.borrow().get(&stored.service).is_some();
                (!is_known).then(|| stored.service.clone())
            }
            _ => None,
        };
        apply_change(router, change, "store");
        if let Some(service) = resumed {
            router.rollouts.book.borrow_mut().resume(&service);
        }
    }
    Ok(read.revision)
}
