//! State of the singleton work at one router.
//!
//! [`Singleton`] owns the state of the lease, the reports of all routers, and the state of the work while this router
//! holds the lease. The tasks of this folder read and update it.

use cloverpier_core::ServiceName;
use cloverpier_router_policy::prelude::ServiceKey;
use cloverpier_router_policy::singleton::autoscaling::{Autoscaler, EnginePlan, ServiceLoad};
use cloverpier_router_policy::singleton::fleet_clock::FleetClock;
use cloverpier_router_policy::singleton::lease::{HolderId, Lease, LeaseBounds};
use cloverpier_router_policy::singleton::metering::{
    FleetUsage, HolderUsage, OwnUsage, WindowBounds,
};
use cloverpier_settings::{RouterSettings, SingletonSettings};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Instant;
use tokio::sync::Notify;

/// State of the singleton work at one router. Exists only if the settings configure singleton work.
#[derive(Debug)]
pub(crate) struct Singleton {
    pub(super) settings: SingletonSettings,
    pub(super) lease: RefCell<Lease>,
    /// The time of day that all routers use, which is right also if this VM's clock is wrong.
    pub(super) clock: RefCell<FleetClock>,
    /// Requests that this router counted, for its fleet reports.
    pub(super) own_usage: RefCell<OwnUsage>,
    /// Requests that all routers reported, this one included.
    pub(super) fleet_usage: RefCell<FleetUsage>,
    /// The last reported load of each router, this one included.
    pub(super) loads: RefCell<HashMap<SocketAddr, ReportedLoads>>,
    /// Sender of the last lease update that arrived while this router did not hold the lease; `None` before the first.
    pub(super) holder: Cell<Option<SocketAddr>>,
    /// State of the work; `None` while this router does not hold the lease.
    pub(super) work: RefCell<Option<HolderWork>>,
    /// Until when this router may not hold the lease, as its calls to the platform's API fail; `None` if they never
    /// failed for long.
    pub(super) ineligible_until: Cell<Option<Instant>>,
    /// Wakes the task that keeps the lease, when this router has taken or lost the lease.
    pub(super) lease_changed: Notify,
}

/// A router's load at each service that has engines, as last reported.
#[derive(Debug)]
pub(super) struct ReportedLoads {
    /// When the report arrived.
    pub(super) at: Instant,
    pub(super) loads: Vec<(ServiceKey, ServiceLoad)>,
}

/// State of the singleton work at the holder of the lease.
#[derive(Debug)]
pub(super) struct HolderWork {
    pub(super) usage: HolderUsage,
    /// Whether there are decided usage windows that the lease's record does not contain yet.
    pub(super) has_updates: bool,
    /// The engines that the previous holder ordered, by service, as found in the lease's record.
    pub(super) inherited_plans: BTreeMap<ServiceName, EnginePlan>,
    /// The planners of the services that this holder has planned engines for.
    pub(super) scalers: BTreeMap<ServiceName, Autoscaler>,
    /// [`super::LeaseRecord::renewals`] of the last written record.
    pub(super) renewals: u64,
}

impl HolderWork {
    /// The ordered engines of each service: by this holder, or by the previous one where this one has no planner.
    pub(super) fn plans(&self) -> BTreeMap<ServiceName, EnginePlan> {
        let mut plans = self.inherited_plans.clone();
        let planned = self.scalers.iter();
        plans.extend(planned.map(|(service, scaler)| (service.clone(), scaler.ordered().clone())));
        plans
    }
}

impl Singleton {
    /// The state at the start of the process; `None` if the settings configure no singleton work. `incarnation` is
    /// this process's random number, `wall_ms` the time of day by this VM's clock in milliseconds since 1970.
    pub fn new(
        settings: &RouterSettings,
        incarnation: u64,
        wall_ms: u64,
        now: Instant,
    ) -> Option<Self> {
        let singleton = settings.singleton.clone()?;
        let own_id = HolderId {
            vm: settings.vm.clone(),
            incarnation,
        };
        let bounds = LeaseBounds {
            duration: singleton.lease,
        };
        Some(Self {
            settings: singleton,
            lease: RefCell::new(Lease::new(own_id, bounds)),
            clock: RefCell::new(FleetClock::new(wall_ms, now)),
            own_usage: RefCell::default(),
            fleet_usage: RefCell::default(),
            loads: RefCell::default(),
            holder: Cell::default(),
            work: RefCell::new(None),
            ineligible_until: Cell::default(),
            lease_changed: Notify::new(),
        })
    }

    pub(super) fn windows(&self) -> WindowBounds {
        WindowBounds {
            length: self.settings.usage_window,
            report_deadline: self.settings.usage_late,
        }
    }

    /// The fleet's time of day at a moment, in milliseconds since 1970.
    pub(super) fn fleet_ms(&self, now: Instant) -> u64 {
        self.clock.borrow().ms_at(now)
    }
}
