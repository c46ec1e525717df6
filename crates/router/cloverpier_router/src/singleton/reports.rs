//! What routers report to the holder of the lease, and what the holder reports to them.
//!
//! Every router reports its counts, its load and its clock to the routers that watch the store, of
//! which one mostly is the holder, and to the holder. The holder answers with the version of the lease's
//! record, the time of day, and the first window of which it still needs counts. Owns no state.

use super::keeper::own_wall_ms;
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

/// How often new counts are reported: what a router counted since is lost with it.
const REPORT_PERIOD: Duration = Duration::from_millis(500);
/// Reports without new counts are sent once in this many periods, for clocks and loads.
const QUIET_PERIODS: u32 = 2;

/// Sends reports until the process ends.
pub(super) async fn send_reports(router: Rc<Router>) {
    let Some(singleton) = &router.singleton else {
        return;
    };
    for period in 0u32.. {
        router.timers.sleep(REPORT_PERIOD).await;
        let has_updates = singleton.own_usage.borrow_mut().take_updates();
        if has_updates || period.is_multiple_of(QUIET_PERIODS) {
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
    let pieces = split_into_reports(singleton.own_usage.borrow().windows());
    for windows in pieces {
        let report = FleetReport {
            sender,
            incarnation: router.lifecycle.incarnation(),
            started: singleton.fleet_ms(started),
            wall_ms: own_wall_ms(),
            windows,
            loads: own_loads(router),
        };
        let message = PeerMessage::FleetReport(report.clone());
        router
            .peers
            .outbox
            .send(message, Recipients::These(to.clone()));
        take_report(singleton, report, now);
    }
}

/// This router's load at each service of engines.
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

/// Records a router's report, and answers it where this router holds the lease.
pub(crate) fn on_report(router: &Router, report: FleetReport, now: Instant) {
    let Some(singleton) = &router.singleton else {
        return;
    };
    let sender = report.sender;
    take_report(singleton, report, now);
    if singleton.work.borrow().is_some() {
        tell(router, singleton, vec![sender]);
    }
}

fn take_report(singleton: &Singleton, report: FleetReport, now: Instant) {
    let from = UsageReporter {
        router: report.sender,
        incarnation: report.incarnation,
    };
    let mut clock = singleton.clock.borrow_mut();
    clock.on_reading(report.sender, report.wall_ms, now);
    drop(clock);
    let mut book = singleton.book.borrow_mut();
    book.on_report(from, report.started, report.windows);
    let mut loads = singleton.loads.borrow_mut();
    let reported = ReportedLoads {
        at: now,
        loads: report.loads,
    };
    loads.insert(report.sender, reported);
}

/// Tells the routers that may take the lease that it was renewed.
pub(super) fn notify_watchers(router: &Router, singleton: &Singleton) {
    let watchers = router.peers.watchers(router.now(), router.peer_timeout());
    tell(router, singleton, watchers);
}

fn tell(router: &Router, singleton: &Singleton, to: Vec<SocketAddr>) {
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
    router.peers.outbox.send(message, Recipients::These(to));
}

/// Records what the holder says.
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
    let mut own = singleton.own_usage.borrow_mut();
    own.discard_before(update.undecided);
    singleton.book.borrow_mut().discard_before(update.undecided);
}
