//! Messages of the singleton work between routers: fleet reports to the holder of the lease, lease updates from it.
//!
//! Every router reports its usage counts, its load and its clock to the routers that watch the store, one of which
//! usually is the holder, and to the holder itself. The holder replies with the version of the lease's record, the
//! fleet's time of day, and the first usage window that is not decided. Owns no state: [`super::state`] does.

use super::state::{ReportedLoads, Singleton};
use super::work;
use crate::outbox::Recipients;
use crate::peer_messages::{FleetReport, LeaseUpdate, PeerMessage};
use crate::router::Router;
use cloverpier_router_policy::prelude::ServiceKey;
use cloverpier_router_policy::singleton::autoscaling::ServiceLoad;
use cloverpier_router_policy::singleton::metering::{UsageReporter, split_into_reports};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Interval at which new counts are reported. When a router crashes, its counts since its last report are lost.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Without new counts, a report is sent only in every second interval, for the clock and the load.
const IDLE_REPORT_INTERVALS: u32 = 2;

/// Sends fleet reports until the process exits. Returns at once if the settings configure no singleton work.
pub(super) async fn send_reports(router: Rc<Router>) {
    let Some(singleton) = &router.singleton else {
        return;
    };
    for interval in 0u32.. {
        router.timers.sleep(REPORT_INTERVAL).await;
        let has_updates = singleton.own_usage.borrow_mut().take_updates();
        if has_updates || interval.is_multiple_of(IDLE_REPORT_INTERVALS) {
            send_report(&router, singleton);
        }
    }
}

fn send_report(router: &Router, singleton: &Singleton) {
    let now = router.now();
    let sender = router.settings().listen.peers;
    let mut to = router.peers.watchers(now, router.peer_timeout());
    to.extend(singleton.holder.get().filter(|holder| *holder != sender));
    to.sort_unstable();
    to.dedup();
    let started = router.lifecycle.started_at();
    let parts = split_into_reports(singleton.own_usage.borrow().windows());
    for windows in parts {
        let report = FleetReport {
            sender,
            incarnation: router.lifecycle.incarnation(),
            started: singleton.fleet_ms(started),
            wall_ms: router.timers.wall_ms(),
            windows,
            loads: own_loads(router),
        };
        let message = PeerMessage::FleetReport(report.clone());
        router
            .peers
            .outbox
            .send(message, Recipients::Only(to.clone()));
        record_report(singleton, report, now);
    }
}

/// This router's load at each service that has engines; empty without a configuration.
fn own_loads(router: &Router) -> Vec<(ServiceKey, ServiceLoad)> {
    let Some(configuration) = router.store.configuration() else {
        return Vec::new();
    };
    let table = router.upstreams.borrow();
    let services = configuration.unindexed().services.iter();
    let engines = services.filter(|service| service.engine.is_some());
    let loads = engines.map(|service| {
        let load = work::own_load(&table, &service.name);
        (ServiceKey::of(&service.name), load)
    });
    loads.collect()
}

/// Records a router's fleet report, and replies with a lease update if this router holds the lease.
pub(crate) fn on_report(router: &Router, report: FleetReport, now: Instant) {
    let Some(singleton) = &router.singleton else {
        return;
    };
    let sender = report.sender;
    record_report(singleton, report, now);
    if singleton.work.borrow().is_some() {
        send_update(router, singleton, vec![sender]);
    }
}

fn record_report(singleton: &Singleton, report: FleetReport, now: Instant) {
    let reporter = UsageReporter {
        router: report.sender,
        incarnation: report.incarnation,
    };
    let mut clock = singleton.clock.borrow_mut();
    clock.on_reading(report.sender, report.wall_ms, now);
    drop(clock);
    let mut fleet_usage = singleton.fleet_usage.borrow_mut();
    fleet_usage.on_report(reporter, report.started, report.windows);
    let mut loads = singleton.loads.borrow_mut();
    let reported = ReportedLoads {
        at: now,
        loads: report.loads,
    };
    loads.insert(report.sender, reported);
}

/// Sends a lease update to the routers that watch the store, which may take the lease. Called after this router has
/// renewed the lease.
pub(super) fn notify_watchers(router: &Router, singleton: &Singleton) {
    let watchers = router.peers.watchers(router.now(), router.peer_timeout());
    send_update(router, singleton, watchers);
}

/// Sends a lease update, unless this router holds no lease or none of its writes was acknowledged.
fn send_update(router: &Router, singleton: &Singleton, to: Vec<SocketAddr>) {
    let lease = singleton.lease.borrow();
    let (Some(version), Some((token, _))) = (lease.held_version(), lease.acts_until()) else {
        return;
    };
    drop(lease);
    let work = singleton.work.borrow();
    let Some(work) = work.as_ref() else {
        return;
    };
    let update = LeaseUpdate {
        sender: router.settings().listen.peers,
        version,
        token,
        undecided: work.usage.undecided(),
        fleet_ms: singleton.fleet_ms(router.now()),
    };
    let message = PeerMessage::LeaseUpdate(update);
    router.peers.outbox.send(message, Recipients::Only(to));
}

/// Applies a lease update of the holder: the record's version, the fleet's time of day, and the first undecided usage
/// window, before which counts are discarded. A router that holds the lease itself ignores all but the version.
pub(crate) fn on_lease_update(router: &Router, update: &LeaseUpdate, now: Instant) {
    let Some(singleton) = &router.singleton else {
        return;
    };
    singleton
        .lease
        .borrow_mut()
        .on_version_reported(update.version, now);
    if singleton.work.borrow().is_some() {
        return;
    }
    singleton.holder.set(Some(update.sender));
    singleton.clock.borrow_mut().adopt(update.fleet_ms, now);
    let mut own_usage = singleton.own_usage.borrow_mut();
    own_usage.discard_before(update.undecided);
    singleton
        .fleet_usage
        .borrow_mut()
        .discard_before(update.undecided);
}
