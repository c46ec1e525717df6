//! Roll-out orders in the platform's store: applies the orders that are read, and writes their status.
//!
//! Several routers decide the same status. They write it one after the other, each on the condition that the order has
//! the revision that the router has read, so that mostly one write happens. An end of a roll-out that the store holds
//! takes precedence over the decisions of routers. Owns no state but the pending writes of
//! [`crate::rollout_steps::drive_rollouts`]; [`crate::rollout_state`] owns the orders.

use crate::decision_log::log_named_event;
use crate::rollout_steps::next_step;
use crate::rollouts::apply_views;
use crate::router::Router;
use crate::source::{
    ConfigurationSource, RolloutChange, RolloutStatus, SourceError, StatusWriteResult,
    StoredRollout,
};
use cloverpier_core::ServiceName;
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::rollout::registry::new_view;
use cloverpier_router_policy::rollout::schedule::Step;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Delay between the writes of two routers that decide the same status: enough for the second router to receive the
/// change that the first one has written, so that it does not write.
const WRITE_STAGGER: Duration = Duration::from_millis(400);
/// The source of a change that was read from the store, as named in log lines.
const FROM_STORE: &str = "store";

/// The statuses that the store does not hold yet, by service, and the times since which this is so.
#[derive(Debug, Default)]
pub(crate) struct PendingWrites {
    statuses: HashMap<ServiceName, (RolloutStatus, Instant)>,
}

impl PendingWrites {
    /// Since when this status of a service's order is pending; the time restarts when the status changes.
    fn pending_since(
        &mut self,
        service: &ServiceName,
        status: RolloutStatus,
        now: Instant,
    ) -> Instant {
        let entry = self.statuses.entry(service.clone());
        let (pending, since) = entry.or_insert((status, now));
        if *pending != status {
            (*pending, *since) = (status, now);
        }
        *since
    }

    /// Removes a service's status, as the store holds it or a write was attempted. Another attempt waits for this
    /// router's delay again.
    fn remove(&mut self, service: &ServiceName) {
        self.statuses.remove(service);
    }
}

/// Writes each status that the store does not hold yet, once this router's delay has passed.
pub(crate) async fn write_statuses(
    router: &Router,
    source: &impl ConfigurationSource,
    pending: &mut PendingWrites,
) {
    let services: Vec<ServiceName> = router.rollouts.stored.borrow().keys().cloned().collect();
    for service in services {
        let now = router.now();
        let Some((stored, status)) = status_to_write(router, &service, now) else {
            pending.remove(&service);
            continue;
        };
        let since = pending.pending_since(&service, status, now);
        if now.saturating_duration_since(since) < write_delay(router, now) {
            continue;
        }
        match source.write_rollout_status(&stored, status).await {
            Ok(written) => on_written(router, &stored, written),
            Err(error) => on_write_failed(router, &service, &error),
        }
        // After an error the store may still have applied the write. If so, this router reads the status with the next
        // change, or its next write is a conflict.
        pending.remove(&service);
    }
}

/// The order of a service as this router last read it from the store, and the status to write to it. `None` if the
/// store holds the status already, or a newer order, or the end of the roll-out.
fn status_to_write(
    router: &Router,
    service: &ServiceName,
    now: Instant,
) -> Option<(StoredRollout, RolloutStatus)> {
    let stored = router.rollouts.stored.borrow().get(service)?.clone();
    let decided = next_step(router, service, now);
    let registry = router.rollouts.registry.borrow();
    let view = &registry.get(service)?.view;
    let is_same_order = view
        .order
        .as_ref()
        .is_some_and(|order| order.id == stored.order.id);
    if !is_same_order || view.progress.is_confirmed {
        return None;
    }
    let status = match (view.progress.stage, decided) {
        (Stage::RolledBack, _) => RolloutStatus::RolledBack,
        (_, Some((_, Step::Complete))) => RolloutStatus::Completed,
        _ => RolloutStatus::Running,
    };
    (stored.status != Some(status)).then_some((stored, status))
}

/// How long this router waits before it writes a status: [`WRITE_STAGGER`] for each other router that watches the
/// store and has a lower address.
fn write_delay(router: &Router, now: Instant) -> Duration {
    let own = router.settings().listen.peers;
    let watchers = router.peers.watchers(now, router.peer_timeout());
    let preceding = watchers.iter().filter(|peer| **peer < own).count();
    WRITE_STAGGER * u32::try_from(preceding).unwrap_or(u32::MAX)
}

fn on_written(router: &Router, stored: &StoredRollout, written: StatusWriteResult) {
    match written {
        StatusWriteResult::Written(change) | StatusWriteResult::Conflict(change) => {
            apply_change(router, change, FROM_STORE);
        }
        StatusWriteResult::Withdrawn => {
            apply_change(
                router,
                RolloutChange::Withdrawn(stored.name.clone()),
                FROM_STORE,
            );
        }
    }
}

/// Logs a failed write. This router tries again after its delay, unless another one has written the status before.
fn on_write_failed(router: &Router, service: &ServiceName, error: &SourceError) {
    router.metrics.store_calls.count("failed");
    let reason = format!("status not written: {error}");
    log_named_event(&router.log, "rollout.unwritten", service.as_str(), &reason);
}

/// Applies a change of an order in the store to the registry. `from` is the source of the change, as named in log
/// lines. If the settings disable roll-outs, the change is dropped.
pub(crate) fn apply_change(router: &Router, change: RolloutChange, from: &str) {
    let Some(bounds) = router.exposure_bounds() else {
        return;
    };
    let now = router.now();
    let view = match change {
        RolloutChange::Stored(stored) => {
            let ended = ended_progress(&stored);
            let order = Some(stored.order.clone());
            let view = new_view(stored.service.clone(), stored.revision, order, bounds);
            let mut all = router.rollouts.stored.borrow_mut();
            all.insert(stored.service.clone(), stored);
            RolloutView {
                // An order without an end in the store starts at the first stage.
                progress: ended.unwrap_or(view.progress),
                ..view
            }
        }
        RolloutChange::Withdrawn(name) => match remove_stored(router, &name) {
            Some(stored) => new_view(stored.service, stored.revision + 1, None, bounds),
            None => return,
        },
        RolloutChange::Unreadable { name, reason } => {
            // Without a readable name the log line has an empty one, and no order is withdrawn.
            let name = name.unwrap_or_default();
            log_named_event(&router.log, "rollout.unreadable", &name, &reason);
            match remove_stored(router, &name) {
                Some(stored) => new_view(stored.service, stored.revision + 1, None, bounds),
                None => return,
            }
        }
    };
    apply_views(router, vec![view], from, now);
}

/// Removes the order with this name in the store from the stored orders; `None` if there is none.
fn remove_stored(router: &Router, name: &str) -> Option<StoredRollout> {
    let mut all = router.rollouts.stored.borrow_mut();
    let service = all.values().find(|stored| stored.name == name)?;
    let service = service.service.clone();
    all.remove(&service)
}

/// The confirmed progress of an order whose end the store holds; `None` while the order runs or has no status.
fn ended_progress(stored: &StoredRollout) -> Option<Progress> {
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

/// Reads all orders from the store and applies them; orders that the store does not hold any more are withdrawn.
/// Returns the store's revision.
///
/// An order that this router receives for the first time and that is already running was given some time ago, so its
/// start is moved back ([`cloverpier_router_policy::rollout::RolloutRegistry::resume`]).
///
/// # Errors
///
/// As [`ConfigurationSource::read_rollouts`].
pub(crate) async fn read_orders(
    router: &Router,
    source: &impl ConfigurationSource,
) -> Result<u64, SourceError> {
    let read = source.read_rollouts().await?;
    let is_listed = |stored: &StoredRollout| {
        let mut changes = read.changes.iter();
        changes.any(|c| matches!(c, RolloutChange::Stored(s) if s.name == stored.name))
    };
    let previous: Vec<StoredRollout> = router.rollouts.stored.borrow().values().cloned().collect();
    let gone = previous.into_iter().filter(|stored| !is_listed(stored));
    let gone: Vec<RolloutChange> = gone
        .map(|stored| RolloutChange::Withdrawn(stored.name))
        .collect();
    for change in gone {
        apply_change(router, change, FROM_STORE);
    }
    for change in read.changes {
        let resumed = match &change {
            RolloutChange::Stored(stored) if stored.status == Some(RolloutStatus::Running) => {
                let is_registered = router
                    .rollouts
                    .registry
                    .borrow()
                    .get(&stored.service)
                    .is_some();
                (!is_registered).then(|| stored.service.clone())
            }
            _ => None,
        };
        apply_change(router, change, FROM_STORE);
        if let Some(service) = resumed {
            router.rollouts.registry.borrow_mut().resume(&service);
        }
    }
    Ok(read.revision)
}
