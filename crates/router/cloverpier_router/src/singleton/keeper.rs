//! Keeps the lease: reads and writes its record as `cloverpier_router_policy::singleton::lease` says.
//!
//! A loop at each router, which does nothing where the router may not hold the lease. Owns the record as
//! it was read last, and the pause after failed calls.

use super::platform::{LeaseRecord, RecordWritten, SingletonPlatform, StoredRecord};
use super::state::{Singleton, Work};
use super::{count, reports};
use crate::decision_log::log_named_event;
use crate::decision_log::{LeaseChanged, ms};
use crate::router::Router;
use cloverpier_core::{jitter, wall_ms};
use cloverpier_router_policy::prelude::PeerState;
use cloverpier_router_policy::singleton::lease::{
    LeaseInput, LeaseStep, LeaseWrite, RecordSnapshot, WriteResult,
};
use cloverpier_router_policy::singleton::metering::HolderUsage;
use cloverpier_router_policy::store_watch::may_call;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How often it is decided anew whether this router may hold the lease.
const TICK: Duration = Duration::from_millis(200);
/// Pause after a failed call, doubled up to [`MAX_PAUSE`].
const INITIAL_PAUSE: Duration = Duration::from_millis(100);
const MAX_PAUSE: Duration = Duration::from_millis(800);

/// Keeps the lease until the process ends.
pub(super) async fn keep_lease(router: Rc<Router>, platform: Rc<impl SingletonPlatform>) {
    let Some(singleton) = &router.singleton else {
        return;
    };
    let mut keeper = Keeper {
        router: &router,
        singleton,
        platform: &*platform,
        record: None,
        pause: INITIAL_PAUSE,
    };
    loop {
        keeper.take_step().await;
    }
}

struct Keeper<'a, P> {
    router: &'a Router,
    singleton: &'a Singleton,
    platform: &'a P,
    /// The record as it was read or written last.
    record: Option<LeaseRecord>,
    pause: Duration,
}

impl<P: SingletonPlatform> Keeper<'_, P> {
    async fn take_step(&mut self) {
        let now = self.router.now();
        let wish = LeaseInput {
            may_hold: self.may_hold(now),
            has_updates: self.decide_windows(now),
        };
        let fleet_ms = self.singleton.fleet_ms(now);
        let step = self.singleton.lease.borrow().step(wish, fleet_ms, now);
        match step {
            LeaseStep::Wait(at) => self.wait(at, now).await,
            LeaseStep::Read => self.read().await,
            LeaseStep::Write(write) => self.write(&write).await,
        }
    }

    /// Whether this router takes the lease when it is free, and renews its own: it watches the store
    /// and serves, or holds the lease already.
    fn may_hold(&self, now: Instant) -> bool {
        let (store, singleton) = (&self.router.store, self.singleton);
        let is_unfit = singleton.unfit_until.get().is_some_and(|at| now < at);
        let holds = singleton.work.borrow().is_some();
        let watches = may_call(store.role(), store.is_fresh(now));
        let is_ready = self.router.state() == PeerState::Ready;
        !is_unfit && (holds || (watches && is_ready))
    }

    /// Decides the windows whose time has come; returns whether any are not written yet.
    fn decide_windows(&self, now: Instant) -> bool {
        let mut work = self.singleton.work.borrow_mut();
        let Some(work) = work.as_mut() else {
            return false;
        };
        if self.singleton.settings.meters {
            let book = self.singleton.book.borrow();
            work.has_updates |= work.usage.decide(&book, self.singleton.fleet_ms(now));
        }
        work.has_updates
    }

    async fn wait(&self, at: Option<Instant>, now: Instant) {
        let tick = now + TICK;
        let until = at.map_or(tick, |at| at.min(tick));
        tokio::select! {
            () = self.router.timers.sleep_until(until) => {}
            () = self.singleton.changed.notified() => {}
        }
    }

    async fn read(&mut self) {
        match self.platform.read_record().await {
            Ok(stored) => {
                self.pause = INITIAL_PAUSE;
                self.on_seen(stored);
            }
            Err(error) => self.after_failure(&error.to_string()).await,
        }
    }

    fn on_seen(&mut self, stored: StoredRecord) {
        let seen = RecordSnapshot {
            version: stored.version,
            tenure: stored.record.as_ref().map(|record| record.tenure.clone()),
        };
        let now = self.router.now();
        self.singleton.lease.borrow_mut().on_read(&seen, now);
        self.record = stored.record;
        self.settle(now);
    }

    async fn write(&mut self, write: &LeaseWrite) {
        let sent = self.router.now();
        let record = self.next_record(write, sent);
        let written = self.platform.write_record(write, &record).await;
        let now = self.router.now();
        match written {
            RecordWritten::Done(version) => {
                self.note_written(write, &WriteResult::Done(version), sent, now);
                self.pause = INITIAL_PAUSE;
                self.on_recorded(&record);
                self.record = Some(record);
                self.settle(now);
                reports::notify_watchers(self.router, self.singleton);
            }
            RecordWritten::Conflict(stored) => self.on_seen(stored),
            RecordWritten::NotDone(error) => {
                self.note_written(write, &WriteResult::NotDone, sent, now);
                self.after_failure(&error.to_string()).await;
            }
            RecordWritten::Unknown(error) => {
                self.note_written(write, &WriteResult::Unknown, sent, now);
                self.after_failure(&error.to_string()).await;
            }
        }
    }

    fn note_written(&self, write: &LeaseWrite, result: &WriteResult, sent: Instant, now: Instant) {
        let mut lease = self.singleton.lease.borrow_mut();
        lease.on_written(write, result, sent, now);
    }

    /// The record that a write puts in place: the holder's present work, or what the former holder left
    /// with this router's name on it.
    fn next_record(&self, write: &LeaseWrite, now: Instant) -> LeaseRecord {
        let work = self.singleton.work.borrow();
        let Some(work) = work.as_ref() else {
            return match &self.record {
                Some(former) => LeaseRecord {
                    tenure: write.tenure.clone(),
                    renewals: former.renewals + 1,
                    ..former.clone()
                },
                None => LeaseRecord::first(write.tenure.clone()),
            };
        };
        let book = self.singleton.book.borrow();
        LeaseRecord {
            tenure: write.tenure.clone(),
            renewals: work.renewals + 1,
            usage: work.usage.journal(&book, self.singleton.fleet_ms(now)),
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

    /// Begins or ends the work, as this router holds the lease now or does not.
    fn settle(&self, now: Instant) {
        let lease = self.singleton.lease.borrow();
        let held = lease.held_version();
        let token = lease.acts_until().map(|(token, _)| token);
        drop(lease);
        let mut work = self.singleton.work.borrow_mut();
        match (held, work.is_some()) {
            (Some(version), false) => *work = Some(self.begin_work(version.era, now)),
            (None, true) => *work = None,
            _ => return,
        }
        drop(work);
        let kind = if held.is_some() { "taken" } else { "lost" };
        count(&self.router.metrics, kind);
        let former = self.record.as_ref().map(|record| &record.tenure);
        let line = LeaseChanged {
            holds: held.is_some(),
            token,
            revision: held.and_then(|version| version.revision),
            holder: former.map(|tenure| tenure.holder.vm.as_str()),
        };
        self.router.log.info("lease.changed", &line);
        self.singleton.changed.notify_waiters();
    }

    fn begin_work(&self, era: u64, now: Instant) -> Work {
        let singleton = self.singleton;
        let fleet_ms = singleton.fleet_ms(now);
        let uptime = now.saturating_duration_since(self.router.lifecycle.started_at());
        let record = self.record.as_ref();
        // A record that was just made holds no journal of anybody.
        let journal = record.map(|r| &r.usage).filter(|usage| usage.written > 0);
        Work {
            usage: HolderUsage::take_over(
                singleton.windows(),
                journal,
                era,
                fleet_ms.saturating_sub(ms(uptime)),
                fleet_ms,
            ),
            has_updates: false,
            // Without a record nobody has ordered engines.
            inherited_plans: record.map(|r| r.engines.clone()).unwrap_or_default(),
            scalers: BTreeMap::new(),
            renewals: record.map_or(0, |record| record.renewals),
        }
    }

    async fn after_failure(&mut self, reason: &str) {
        count(&self.router.metrics, "store-failed");
        if self.pause == INITIAL_PAUSE {
            log_named_event(&self.router.log, "lease.uncertain", "lease", reason);
        }
        let pause = jitter(&mut self.router.rng.borrow_mut(), self.pause);
        self.pause = (self.pause * 2).min(MAX_PAUSE);
        self.router.timers.sleep(pause).await;
    }
}

/// The time of day by this VM's own clock, which may be wrong.
pub(super) fn own_wall_ms() -> u64 {
    wall_ms()
}
