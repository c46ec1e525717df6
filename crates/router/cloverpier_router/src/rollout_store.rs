//! Orders of roll-outs in the platform's store: what it says, and what is written there.
//!
//! The routers that decide write the status in turns, under the revision that they know; what the
//! store holds goes before what anybody decided. Owns no state; [`crate::rollouts`] does.

use crate::decision_log::log_named_event;
use crate::rollout_steps::next_step;
use crate::rollouts::apply_views;
use crate::router::Router;
use crate::source::{
    ConfigurationSource, Freshness, RolloutChange, RolloutStatus, SourceError, StatusWritten,
    StoredRollout,
};
use cloverpier_core::ServiceName;
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::rollout::registry::new_view;
use cloverpier_router_policy::rollout::schedule::Step;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// The routers that decide write to the store one after the other with this pause, so that the
/// second finds what the first has written.
const WRITE_TURN: Duration = Duration::from_millis(400);
/// Where what the store says comes from, in log lines.
const FROM_STORE: &str = "store";

/// Since when each status is to be written.
#[derive(Debug, Default)]
pub(crate) struct WriteTurns {
    wanted: HashMap<ServiceName, (RolloutStatus, Instant)>,
}

impl WriteTurns {
    /// Since when this status is to be written.
    fn since(&mut self, service: &ServiceName, status: RolloutStatus, now: Instant) -> Instant {
        let entry = self.wanted.entry(service.clone());
        let (known, since) = entry.or_insert((status, now));
        if *known != status {
            (*known, *since) = (status, now);
        }
        *since
    }

    /// Nothing is to be written, or it was tried: another try waits for a turn again.
    fn end(&mut self, service: &ServiceName) {
        self.wanted.remove(service);
    }
}

/// Writes what is decided and not in the store yet, if it is this router's turn.
pub(crate) async fn write_statuses(
    router: &Router,
    source: &impl ConfigurationSource,
    turns: &mut WriteTurns,
) {
    let services: Vec<ServiceName> = router.rollouts.stored.borrow().keys().cloned().collect();
    for service in services {
        let now = router.now();
        let Some((stored, status)) = status_to_write(router, &service, now) else {
            turns.end(&service);
            continue;
        };
        let since = turns.since(&service, status, now);
        if now.saturating_duration_since(since) < own_turn(router, now) {
            continue;
        }
        match source.write_rollout_status(&stored, status).await {
            Ok(written) => on_written(router, &stored, written),
            Err(error) => on_write_failed(router, &service, &error),
        }
        // What was lost may be done all the same; the next try finds that.
        turns.end(&service);
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
            apply_change(router, change, FROM_STORE);
        }
        StatusWritten::Gone => {
            apply_change(router, RolloutChange::Gone(stored.name.clone()), FROM_STORE);
        }
    }
}

/// It is tried again, in the next turn of this router or by another one.
fn on_write_failed(router: &Router, service: &ServiceName, error: &SourceError) {
    router.metrics.store_calls.count("failed");
    let reason = format!("status not written: {error}");
    log_named_event(&router.log, "rollout.unwritten", service.as_str(), &reason);
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
                // Without an end in the store the order is under way from its beginning.
                progress: end.unwrap_or(view.progress),
                ..view
            }
        }
        RolloutChange::Gone(name) => match withdrawn(router, &name) {
            Some(stored) => new_view(stored.service, stored.revision + 1, None, bounds),
            None => return,
        },
        RolloutChange::Unreadable { name, reason } => {
            // An object whose name cannot be read takes no order back: the line has no name.
            let name = name.unwrap_or_default();
            log_named_event(&router.log, "rollout.unreadable", &name, &reason);
            match withdrawn(router, &name) {
                Some(stored) => new_view(stored.service, stored.revision + 1, None, bounds),
                None => return,
            }
        }
    };
    apply_views(router, vec![view], from, now);
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
        apply_change(router, change, FROM_STORE);
    }
    for change in read.changes {
        let resumed = match &change {
            RolloutChange::Stored(stored) if stored.status == Some(RolloutStatus::Running) => {
                let is_known = router.rollouts.book.borrow().get(&stored.service).is_some();
                (!is_known).then(|| stored.service.clone())
            }
            _ => None,
        };
        apply_change(router, change, FROM_STORE);
        if let Some(service) = resumed {
            router.rollouts.book.borrow_mut().resume(&service);
        }
    }
    Ok(read.revision)
}
