//! The loop that keeps the lease: reads and writes the lease's record in the store.
//!
//! `cloverpier_router_policy::singleton::lease` decides each step. The loop runs at every router, and makes no calls
//! while the router may not hold the lease. Owns the record as last read or written, and the backoff after failed
//! calls; [`super::state::Singleton`] owns the state of the lease.

use super::platform::{LeaseRecord, RecordWriteResult, SingletonPlatform, StoredRecord};
use super::state::{HolderWork, Singleton};
use super::{count, reports};
use crate::decision_log::log_named_event;
use crate::decision_log::{LeaseChanged, ms};
use crate::router::Router;
use cloverpier_core::jitter;
use cloverpier_router_policy::prelude::PeerState;
use cloverpier_router_policy::singleton::lease::{
    LeaseInput, LeaseStep, LeaseWrite, RecordSnapshot, WriteResult,
};
use cloverpier_router_policy::singleton::metering::HolderUsage;
use cloverpier_router_policy::store_watch::may_call;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Maximum time between two decisions whether this router may hold the lease.
const RECHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Upper limit of the random pause after a failed call. The limit doubles with each consecutive failure, up to
/// [`MAX_BACKOFF`]; a pause is at least half of it.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Longest pause after a failed call.
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Takes and renews the lease, until the process exits. Returns at once if the settings configure no singleton work.
pub(super) async fn keep_lease(router: Rc<Router>, platform: Rc<impl SingletonPlatform>) {
    let Some(singleton) = &router.singleton else {
        return;
    };
    let mut keeper = LeaseKeeper {
        router: &router,
        singleton,
        platform: &*platform,
        record: None,
        backoff: INITIAL_BACKOFF,
    };
    loop {
        keeper.take_step().await;
    }
}

struct LeaseKeeper<'a, P> {
    router: &'a Router,
    singleton: &'a Singleton,
    platform: &'a P,
    /// The record as last read or written; `None` before the first read, or if the store has none.
    record: Option<LeaseRecord>,
    /// Upper limit of the pause after the next failed call.
    backoff: Duration,
}

impl<P: SingletonPlatform> LeaseKeeper<'_, P> {
    async fn take_step(&mut self) {
        let now = self.router.now();
        let input = LeaseInput {
            may_hold: self.may_hold(now),
            has_updates: self.decide_windows(now),
        };
        let fleet_ms = self.singleton.fleet_ms(now);
        let step = self.singleton.lease.borrow().step(input, fleet_ms, now);
        match step {
            LeaseStep::Wait(at) => self.wait(at, now).await,
            LeaseStep::Read => self.read().await,
            LeaseStep::Write(write) => self.write(&write).await,
        }
    }

    /// Whether this router may take the lease when it has expired, and renew it: the router watches the store and is
    /// ready, or holds the lease already, and is not ineligible because of failed calls.
    fn may_hold(&self, now: Instant) -> bool {
        let (store, singleton) = (&self.router.store, self.singleton);
        let is_ineligible = singleton.ineligible_until.get().is_some_and(|at| now < at);
        let holds = singleton.work.borrow().is_some();
        let watches = may_call(store.role(), store.is_fresh(now));
        let is_ready = self.router.state() == PeerState::Ready;
        !is_ineligible && (holds || (watches && is_ready))
    }

    /// Decides the usage windows that are due; returns whether decided windows are not yet written to the record.
    /// False at a router that does not hold the lease.
    fn decide_windows(&self, now: Instant) -> bool {
        let mut work = self.singleton.work.borrow_mut();
        let Some(work) = work.as_mut() else {
            return false;
        };
        if self.singleton.settings.meters {
            let fleet_usage = self.singleton.fleet_usage.borrow();
            work.has_updates |= work
                .usage
                .decide(&fleet_usage, self.singleton.fleet_ms(now));
        }
        work.has_updates
    }

    /// Waits until `at`, but at most for [`RECHECK_INTERVAL`].
    async fn wait(&self, at: Option<Instant>, now: Instant) {
        let recheck_at = now + RECHECK_INTERVAL;
        let until = at.map_or(recheck_at, |at| at.min(recheck_at));
        tokio::select! {
            () = self.router.timers.sleep_until(until) => {}
            () = self.singleton.lease_changed.notified() => {}
        }
    }

    async fn read(&mut self) {
        match self.platform.read_record().await {
            Ok(stored) => {
                self.backoff = INITIAL_BACKOFF;
                self.on_record_read(stored);
            }
            Err(error) => self.after_failure(&error.to_string()).await,
        }
    }

    fn on_record_read(&mut self, stored: StoredRecord) {
        let snapshot = RecordSnapshot {
            version: stored.version,
            tenure: stored.record.as_ref().map(|record| record.tenure.clone()),
        };
        let now = self.router.now();
        self.singleton.lease.borrow_mut().on_read(&snapshot, now);
        self.record = stored.record;
        self.update_work(now);
    }

    async fn write(&mut self, write: &LeaseWrite) {
        let sent = self.router.now();
        let record = self.next_record(write, sent);
        let written = self.platform.write_record(write, &record).await;
        let now = self.router.now();
        match written {
            RecordWriteResult::Done(version) => {
                self.record_result(write, &WriteResult::Done(version), sent, now);
                self.backoff = INITIAL_BACKOFF;
                self.on_recorded(&record);
                self.record = Some(record);
                self.update_work(now);
                reports::notify_watchers(self.router, self.singleton);
            }
            RecordWriteResult::Conflict(stored) => self.on_record_read(stored),
            RecordWriteResult::NotDone(error) => {
                self.record_result(write, &WriteResult::NotDone, sent, now);
                self.after_failure(&error.to_string()).await;
            }
            RecordWriteResult::Unknown(error) => {
                self.record_result(write, &WriteResult::Unknown, sent, now);
                self.after_failure(&error.to_string()).await;
            }
        }
    }

    fn record_result(&self, write: &LeaseWrite, result: &WriteResult, sent: Instant, now: Instant) {
        let mut lease = self.singleton.lease.borrow_mut();
        lease.on_written(write, result, sent, now);
    }

    /// The content of the record for a write: with the state of this router's work if it holds the lease, otherwise
    /// with the state that the previous holder left, under this router's tenure.
    fn next_record(&self, write: &LeaseWrite, now: Instant) -> LeaseRecord {
        let work = self.singleton.work.borrow();
        let Some(work) = work.as_ref() else {
            return match &self.record {
                Some(previous) => LeaseRecord {
                    tenure: write.tenure.clone(),
                    renewals: previous.renewals + 1,
                    ..previous.clone()
                },
                None => LeaseRecord::initial(write.tenure.clone()),
            };
        };
        let fleet_usage = self.singleton.fleet_usage.borrow();
        LeaseRecord {
            tenure: write.tenure.clone(),
            renewals: work.renewals + 1,
            usage: work
                .usage
                .journal(&fleet_usage, self.singleton.fleet_ms(now)),
            engines: work.plans(),
        }
    }

    fn on_recorded(&self, record: &LeaseRecord) {
        let mut work = self.singleton.work.borrow_mut();
        if let Some(work) = work.as_mut() {
            work.usage.on_recorded(&record.usage);
            work.renewals = record.renewals;
            work.has_updates = false;
        }
    }

    /// Starts or ends the work if this router has taken or lost the lease, and logs the change.
    fn update_work(&self, now: Instant) {
        let lease = self.singleton.lease.borrow();
        let held = lease.held_version();
        let token = lease.acts_until().map(|(token, _)| token);
        drop(lease);
        let mut work = self.singleton.work.borrow_mut();
        match (held, work.is_some()) {
            (Some(version), false) => *work = Some(self.start_work(version.era, now)),
            (None, true) => *work = None,
            _ => return,
        }
        drop(work);
        let kind = if held.is_some() { "taken" } else { "lost" };
        count(&self.router.metrics, kind);
        let tenure = self.record.as_ref().map(|record| &record.tenure);
        let line = LeaseChanged {
            holds: held.is_some(),
            token,
            revision: held.and_then(|version| version.revision),
            holder: tenure.map(|tenure| tenure.holder.vm.as_str()),
        };
        self.router.log.info("lease.changed", &line);
        self.singleton.lease_changed.notify_waiters();
    }

    /// The state of the work at a router that has just taken the lease, from the record that the previous holder left.
    fn start_work(&self, era: u64, now: Instant) -> HolderWork {
        let singleton = self.singleton;
        let fleet_ms = singleton.fleet_ms(now);
        let uptime = now.saturating_duration_since(self.router.lifecycle.started_at());
        let record = self.record.as_ref();
        // A journal without a time of writing is the empty one of the initial record.
        let journal = record.map(|r| &r.usage).filter(|usage| usage.written > 0);
        HolderWork {
            usage: HolderUsage::take_over(
                singleton.windows(),
                journal,
                era,
                fleet_ms.saturating_sub(ms(uptime)),
                fleet_ms,
            ),
            has_updates: false,
            // Without a record, no holder has ordered engines.
            inherited_plans: record.map(|r| r.engines.clone()).unwrap_or_default(),
            scalers: BTreeMap::new(),
            renewals: record.map_or(0, |record| record.renewals),
        }
    }

    /// Counts a failed call and sleeps before the next one. Only the first failure after a success is logged.
    async fn after_failure(&mut self, reason: &str) {
        count(&self.router.metrics, "store-failed");
        if self.backoff == INITIAL_BACKOFF {
            log_named_event(&self.router.log, "lease.uncertain", "lease", reason);
        }
        let pause = jitter(&mut self.router.rng.borrow_mut(), self.backoff);
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        self.router.timers.sleep(pause).await;
    }
}
