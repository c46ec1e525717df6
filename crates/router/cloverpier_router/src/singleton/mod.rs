//! Work that one router at a time does for all: usage reports, and orders of engines.
//!
//! Where the settings name such work, every router counts the requests that began to run and reports
//! that with its load and its clock ([`reports`]); the routers that watch the store are ready to take the
//! lease ([`keeper`]), and its holder does the work ([`work`]). Everything is decided in
//! `cloverpier_router_policy::singleton`; the calls are a platform's ([`platform`]).
//!
//! [`Singleton`] owns what this router knows of the lease, of the other routers' counts, and of the work
//! while it is the holder. Without such settings there is none, and nothing of it runs.

mod keeper;
mod platform;
mod reports;
mod work;

pub use platform::{
    LeaseRecord, RecordWritten, ServiceScaling, SignedBy, SingletonPlatform, StoredRecord,
};
pub(crate) use reports::{on_lease_update, on_report};

use crate::metrics::Metrics;
use crate::relay_request::RelayRequest;
use crate::router::Router;
use cloverpier_core::{AccountName, ServiceName};
use cloverpier_router_policy::prelude::ServiceKey;
use cloverpier_router_policy::singleton::autoscaling::{Autoscaler, Plan, ServiceLoad};
use cloverpier_router_policy::singleton::fleet_clock::FleetClock;
use cloverpier_router_policy::singleton::lease::{HolderId, Lease, LeaseBounds};
use cloverpier_router_policy::singleton::metering::{
    HolderUsage, OwnUsage, UsageBook, WindowBounds,
};
use cloverpier_settings::{RouterSettings, SingletonSettings};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;
use tokio::sync::Notify;
use tokio::task::spawn_local;

/// What a router knows of the work that one router at a time does.
#[derive(Debug)]
pub(crate) struct Singleton {
    settings: SingletonSettings,
    lease: RefCell<Lease>,
    clock: RefCell<FleetClock>,
    own_usage: RefCell<OwnUsage>,
    book: RefCell<UsageBook>,
    /// The load that each router reported last.
    loads: RefCell<HashMap<SocketAddr, ReportedLoads>>,
    /// The holder of the lease, as it said last.
    holder: Cell<Option<SocketAddr>>,
    /// What this router does as the holder; `None` while it is not.
    work: RefCell<Option<Work>>,
    /// Until when this router leaves the lease to others, as it does not reach the platform's API.
    unfit_until: Cell<Option<Instant>>,
    /// Wakes the keeper of the lease.
    changed: Notify,
}

/// A router's load at each service of engines.
#[derive(Debug)]
struct ReportedLoads {
    at: Instant,
    loads: Vec<(ServiceKey, ServiceLoad)>,
}

/// What the holder of the lease does.
#[derive(Debug)]
struct Work {
    usage: HolderUsage,
    /// Whether windows are decided that do not stand in the record.
    has_updates: bool,
    /// The engines that the former holder ordered.
    inherited_plans: BTreeMap<ServiceName, Plan>,
    scalers: BTreeMap<ServiceName, Autoscaler>,
    renewals: u64,
}

impl Work {
    /// The engines that are ordered.
    fn plans(&self) -> BTreeMap<ServiceName, Plan> {
        let mut plans = self.inherited_plans.clone();
        let planned = self.scalers.iter();
        plans.extend(planned.map(|(service, scaler)| (service.clone(), scaler.in_force().clone())));
        plans
    }
}

impl Singleton {
    /// What is known at a start; `None` where the settings name no such work.
    pub fn new(
        settings: &RouterSettings,
        incarnation: u64,
        wall_ms: u64,
        now: Instant,
    ) -> Option<Self> {
        let singleton = settings.singleton.clone()?;
        let own = HolderId {
            vm: settings.vm.clone(),
            incarnation,
        };
        let bounds = LeaseBounds {
            duration: singleton.lease,
        };
        Some(Self {
            settings: singleton,
            lease: RefCell::new(Lease::new(own, bounds)),
            clock: RefCell::new(FleetClock::new(wall_ms, now)),
            own_usage: RefCell::default(),
            book: RefCell::default(),
            loads: RefCell::default(),
            holder: Cell::default(),
            work: RefCell::new(None),
            unfit_until: Cell::default(),
            changed: Notify::new(),
        })
    }

    fn windows(&self) -> WindowBounds {
        WindowBounds {
            length: self.settings.usage_window,
            late_after: self.settings.usage_late,
        }
    }

    /// The time of day that the routers agree on.
    fn fleet_ms(&self, now: Instant) -> u64 {
        self.clock.borrow().ms_at(now)
    }
}

/// Starts the tasks, where the settings name such work.
pub(crate) fn start(router: &Rc<Router>, platform: impl SingletonPlatform + 'static) {
    if router.singleton.is_none() {
        return;
    }
    let platform = Rc::new(platform);
    spawn_local(keeper::keep_lease(Rc::clone(router), Rc::clone(&platform)));
    spawn_local(work::do_work(Rc::clone(router), platform));
    spawn_local(reports::send_reports(Rc::clone(router)));
}

/// Counts a request that an upstream began to run at a moment.
pub(crate) fn on_begun(router: &Router, request: &RelayRequest, at: Instant) {
    let Some(singleton) = router.singleton.as_ref().filter(|s| s.settings.meters) else {
        return;
    };
    // Requests of public routes are on nobody's account.
    let Some(account) = &request.account else {
        return;
    };
    let window = singleton.windows().window_at(singleton.fleet_ms(at));
    let account = AccountName::new(&account.name);
    singleton.own_usage.borrow_mut().on_begun(&account, window);
}

fn count(metrics: &Metrics, kind: &'static str) {
    metrics.singleton.count(kind);
}
