//! What the holder of the lease does: usage reports, and orders of engines.
//!
//! A loop at each router, which does nothing while the router does not hold the lease. Each call is
//! made only while the lease is sure to last, and given up before it is over. Owns how the calls go.

use super::count;
use super::platform::{ServiceScaling, SignedBy, SingletonPlatform};
use super::state::Singleton;
use crate::decision_log::log_named_event;
use crate::decision_log::{EnginesOrdered, UsageReported};
use crate::router::Router;
use crate::source::SourceError;
use cloverpier_core::{DataCentre, ServiceName};
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::singleton::autoscaling::{
    Autoscaler, EngineCapacity, EngineOrder, EnginePlan, Engines, OrderResult, ServiceLoad,
};
use cloverpier_router_policy::singleton::metering::{Window, WindowCounts};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How often the holder looks what is due.
const WORK_PERIOD: Duration = Duration::from_millis(200);
/// How often engines are planned.
const PLAN_PERIOD: Duration = Duration::from_secs(1);
/// A call is made only if the lease lasts for so much longer.
const LEAST_LEFT: Duration = Duration::from_millis(300);
/// A call that takes longer is given up, and made again.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Pause after a failed call.
const FAILURE_PAUSE: Duration = Duration::from_millis(300);
/// A holder whose calls fail for this multiple of the lease's duration leaves it to others for as long.
const UNFIT_AFTER: u32 = 1;
const UNFIT_FOR: u32 = 4;
/// A router's report of its load counts for this long: some reports, of which one may be lost.
const LOAD_TTL: Duration = Duration::from_secs(3);
/// Engines are ordered only by a router that has known the list of upstreams for this long.
const LIST_SETTLES: Duration = Duration::from_secs(2);

/// Does the work until the process ends.
pub(super) async fn do_work(router: Rc<Router>, platform: Rc<impl SingletonPlatform>) {
    let Some(singleton) = &router.singleton else {
        return;
    };
    let mut worker = Worker {
        router: &router,
        singleton,
        platform: &*platform,
        failing_since: None,
        scaling: None,
        next_plan: router.now(),
    };
    loop {
        router.timers.sleep(WORK_PERIOD).await;
        if singleton.work.borrow().is_some() {
            singleton.clock.borrow_mut().take_median(router.now());
        }
        if singleton.settings.meters {
            worker.report_usage().await;
        }
        if singleton.settings.scales {
            worker.order_engines().await;
        }
    }
}

struct Worker<'a, P> {
    router: &'a Router,
    singleton: &'a Singleton,
    platform: &'a P,
    /// Since when calls fail.
    failing_since: Option<Instant>,
    /// The operator's bounds, and the version of the configuration in which they were read.
    scaling: Option<(u64, Vec<ServiceScaling>)>,
    next_plan: Instant,
}

/// What allows one call.
struct Permit {
    holder: String,
    token: u64,
    timeout: Duration,
}

impl Permit {
    fn signed(&self) -> SignedBy<'_> {
        SignedBy {
            holder: &self.holder,
            token: self.token,
            timeout: self.timeout,
        }
    }
}

impl<P: SingletonPlatform> Worker<'_, P> {
    /// Allows a call now, where the lease lasts long enough.
    fn permit(&self) -> Option<Permit> {
        let now = self.router.now();
        let (token, until) = self.singleton.lease.borrow().acts_until()?;
        let left = until.saturating_duration_since(now);
        (left > LEAST_LEFT).then(|| Permit {
            holder: self.router.settings().vm.to_string(),
            token,
            timeout: (left - LEAST_LEFT).min(CALL_TIMEOUT),
        })
    }

    async fn report_usage(&mut self) {
        for (window, counts) in self.due_reports() {
            let Some(permit) = self.permit() else {
                return;
            };
            let sent = self
                .platform
                .report_usage(permit.signed(), window, &counts)
                .await;
            self.on_reported(&permit, window, &counts, &sent);
            if sent.is_err() {
                self.router.timers.sleep(FAILURE_PAUSE).await;
                return;
            }
        }
    }

    /// The windows to report, where this router holds the lease.
    fn due_reports(&self) -> Vec<(Window, WindowCounts)> {
        let work = self.singleton.work.borrow();
        work.as_ref()
            .map_or_else(Vec::new, |work| work.usage.to_report())
    }

    fn on_reported(
        &mut self,
        permit: &Permit,
        window: Window,
        counts: &WindowCounts,
        sent: &Result<(), SourceError>,
    ) {
        self.note_outcome("usage", sent.as_ref().err());
        if sent.is_err() {
            return;
        }
        let mut work = self.singleton.work.borrow_mut();
        if let Some(work) = work.as_mut() {
            work.usage.on_reported(window);
        }
        count(&self.router.metrics, "usage-reported");
        let line = UsageReported {
            window,
            accounts: counts.len(),
            requests: counts.values().map(|count| u64::from(*count)).sum(),
            token: permit.token,
        };
        self.router.log.info("usage.reported", &line);
    }

    /// Records how a call went; a holder whose calls keep failing leaves the lease to others.
    fn note_outcome(&mut self, name: &str, error: Option<&SourceError>) {
        let now = self.router.now();
        let Some(error) = error else {
            self.failing_since = None;
            return;
        };
        count(&self.router.metrics, "call-failed");
        let since = *self.failing_since.get_or_insert_with(|| {
            log_named_event(
                &self.router.log,
                "dependency.lost",
                name,
                &error.to_string(),
            );
            now
        });
        let duration = self.singleton.settings.lease;
        if now.saturating_duration_since(since) > duration * UNFIT_AFTER {
            self.failing_since = None;
            let until = now + duration * UNFIT_FOR;
            self.singleton.unfit_until.set(Some(until));
            log_named_event(&self.router.log, "lease.left", name, &error.to_string());
        }
    }

    async fn order_engines(&mut self) {
        let now = self.router.now();
        if now < self.next_plan || self.permit().is_none() || !self.list_is_settled(now) {
            return;
        }
        self.next_plan = now + PLAN_PERIOD;
        self.refresh_scaling().await;
        let Some((_, scaling)) = self.scaling.clone() else {
            return;
        };
        for service in &scaling {
            self.order_engines_of(service).await;
        }
    }

    fn list_is_settled(&self, now: Instant) -> bool {
        let serving = self.router.store.watches_from();
        serving.is_some_and(|since| now.saturating_duration_since(since) > LIST_SETTLES)
    }

    /// Reads the operator's bounds anew where the configuration has changed.
    async fn refresh_scaling(&mut self) {
        let version = self.router.store.configuration_version();
        if self.scaling.as_ref().is_some_and(|(at, _)| *at == version) {
            return;
        }
        match self.platform.read_scaling().await {
            Ok(scaling) => self.scaling = Some((version, scaling)),
            Err(error) => {
                let reason = error.to_string();
                log_named_event(&self.router.log, "dependency.lost", "scaling", &reason);
            }
        }
    }

    async fn order_engines_of(&mut self, scaling: &ServiceScaling) {
        let (orders, load) = self.due_orders(scaling);
        for order in orders {
            let Some(permit) = self.permit() else {
                return;
            };
            let call = self
                .platform
                .order_engines(permit.signed(), &scaling.service, &order);
            let sent = call.await;
            self.note_outcome("scaling", sent.as_ref().err());
            let Ok(result) = sent else {
                // It is noted above; the next plan makes the order again.
                return;
            };
            self.on_ordered(&permit, &scaling.service, &order, result, load);
        }
    }

    /// The orders that are due, and the load that decided them.
    fn due_orders(&self, scaling: &ServiceScaling) -> (Vec<EngineOrder>, f64) {
        let now = self.router.now();
        let listed = listed_engines(&self.router.upstreams.borrow(), &scaling.service);
        // Without the service's configuration or any upstream of it nothing is known of its load.
        let Some(size) = self.engine_size(&scaling.service) else {
            return (Vec::new(), 0.0);
        };
        let load = self.load_of(&scaling.service, now).in_engines(size);
        let mut work = self.singleton.work.borrow_mut();
        let Some(work) = work.as_mut() else {
            return (Vec::new(), load);
        };
        let inherited = work.inherited_plans.get(&scaling.service).cloned();
        let scaler = work
            .scalers
            .entry(scaling.service.clone())
            .or_insert_with(|| {
                let plan = inherited.unwrap_or_else(|| first_plan(&listed));
                Autoscaler::new(scaling.bounds.clone(), plan)
            });
        scaler.set_bounds(scaling.bounds.clone());
        scaler.on_load(load, now);
        (scaler.orders(&listed, now), scaler.peak())
    }

    fn engine_size(&self, service: &ServiceName) -> Option<EngineCapacity> {
        let configuration = self.router.store.configuration()?;
        let mut services = configuration.unindexed().services.iter();
        let engine = services.find(|s| s.name == *service)?.engine?;
        let table = self.router.upstreams.borrow();
        let slots = table.of_service(service).map(|s| s.upstream.slots).max()?;
        Some(EngineCapacity {
            slots,
            memory_tokens: engine.memory_tokens,
        })
    }

    /// The load of all routers at a service.
    fn load_of(&self, service: &ServiceName, now: Instant) -> ServiceLoad {
        let key = ServiceKey::of(service);
        let mut loads = self.singleton.loads.borrow_mut();
        loads.retain(|_, reported| now.saturating_duration_since(reported.at) <= LOAD_TTL);
        let mut all = ServiceLoad::default();
        let of_service = loads.values().flat_map(|reported| &reported.loads);
        for (_, load) in of_service.filter(|(of, _)| *of == key) {
            all.streams += load.streams;
            all.memory_tokens += load.memory_tokens;
        }
        all
    }

    fn on_ordered(
        &self,
        permit: &Permit,
        service: &ServiceName,
        order: &EngineOrder,
        result: OrderResult,
        load: f64,
    ) {
        let now = self.router.now();
        let mut work = self.singleton.work.borrow_mut();
        let scaler = work.as_mut().and_then(|work| work.scalers.get_mut(service));
        if let Some(scaler) = scaler {
            scaler.on_result(order, result, now);
        }
        count(&self.router.metrics, "engines-ordered");
        let line = EnginesOrdered {
            service: service.as_str(),
            data_centre: order.data_centre.as_str(),
            kind: order.kind,
            count: order.count,
            result,
            peak_load: load,
            token: permit.token,
        };
        self.router.log.info("engines.ordered", &line);
    }
}

/// Engines of a service that are listed and stay, by data centre.
fn listed_engines(table: &UpstreamTable, service: &ServiceName) -> BTreeMap<DataCentre, u32> {
    let mut listed = BTreeMap::new();
    for state in table.of_service(service).filter(|s| s.is_listed()) {
        let count = listed.entry(state.upstream.data_centre.clone());
        *count.or_default() += 1;
    }
    listed
}

/// What the data centres hold before anything was ordered.
fn first_plan(listed: &BTreeMap<DataCentre, u32>) -> EnginePlan {
    let held = listed.iter().map(|(data_centre, count)| {
        let engines = Engines {
            on_demand: *count,
            spot: 0,
        };
        (data_centre.clone(), engines)
    });
    held.collect()
}

/// This router's own load at a service.
pub(super) fn own_load(table: &UpstreamTable, service: &ServiceName) -> ServiceLoad {
    let mut all = ServiceLoad::default();
    for state in table.of_service(service) {
        all.streams += u64::from(state.own_load.requests);
        all.memory_tokens += u64::from(state.own_load.memory_tokens);
    }
    all
}
