//! What a router knows of the work that one router at a time does.
//!
//! [`Singleton`] owns it; the tasks of this folder act by it.

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

/// What a router knows of the work that one router at a time does.
#[derive(Debug)]
pub(crate) struct Singleton {
    pub(super) settings: SingletonSettings,
    pub(super) lease: RefCell<Lease>,
    pub(super) clock: RefCell<FleetClock>,
    pub(super) own_usage: RefCell<OwnUsage>,
    pub(super) book: RefCell<FleetUsage>,
    /// The load that each router reported last.
    pub(super) loads: RefCell<HashMap<SocketAddr, ReportedLoads>>,
    /// The holder of the lease, as it said last.
    pub(super) holder: Cell<Option<SocketAddr>>,
    /// What this router does as the holder; `None` while it is not.
    pub(super) work: RefCell<Option<Work>>,
    /// Until when this router leaves the lease to others, as it does not reach the platform's API.
    pub(super) unfit_until: Cell<Option<Instant>>,
    /// Wakes the keeper of the lease.
    pub(super) changed: Notify,
}

/// A router's load at each service of engines.
#[derive(Debug)]
pub(super) struct ReportedLoads {
    pub(super) at: Instant,
    pub(super) loads: Vec<(ServiceKey, ServiceLoad)>,
}

/// What the holder of the lease does.
#[derive(Debug)]
pub(super) struct Work {
    pub(super) usage: HolderUsage,
    /// Whether windows are decided that the record lacks.
    pub(super) has_updates: bool,
    /// The engines that the former holder ordered.
    pub(super) inherited_plans: BTreeMap<ServiceName, EnginePlan>,
    pub(super) scalers: BTreeMap<ServiceName, Autoscaler>,
    pub(super) renewals: u64,
}

impl Work {
    /// The engines that are ordered.
    pub(super) fn plans(&self) -> BTreeMap<ServiceName, EnginePlan> {
        let mut plans = self.inherited_plans.clone();
        let planned = self.scalers.iter();
        plans.extend(planned.map(|(service, scaler)| (service.clone(), scaler.ordered().clone())));
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

    pub(super) fn windows(&self) -> WindowBounds {
        WindowBounds {
            length: self.settings.usage_window,
            report_deadline: self.settings.usage_late,
        }
    }

    /// The time of day that the routers agree on.
    pub(super) fn fleet_ms(&self, now: Instant) -> u64 {
        self.clock.borrow().ms_at(now)
    }
}
