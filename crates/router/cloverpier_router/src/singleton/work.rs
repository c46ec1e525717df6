//! The work of the lease's holder: usage reports to the platform, and orders of engines.
//!
//! The loop runs at every router, and makes no calls while the router does not hold the lease. A call to the
//! platform's API starts only if the holder may act for long enough, and is aborted before the holder must stop
//! acting. Owns since when calls fail, and the operator's bounds on engines; [`super::state::Singleton`] owns the
//! state of the work.

use super::count;
use super::platform::{HolderCall, ServiceScaling, SingletonPlatform};
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

/// Interval at which the holder checks which usage windows to report and whether to order engines.
const WORK_INTERVAL: Duration = Duration::from_millis(200);
/// Minimum time between two decisions on the numbers of engines.
const PLAN_INTERVAL: Duration = Duration::from_secs(1);
/// A call under the lease is aborted at the latest this long before the holder must stop acting, and not started with
/// less time left.
const LEASE_END_MARGIN: Duration = Duration::from_millis(300);
/// Time after which a call is aborted. The call is repeated later.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Pause after a failed usage report.
const FAILURE_PAUSE: Duration = Duration::from_millis(300);
/// A holder whose calls have failed for longer than this multiple of the lease's duration lets its lease expire, as
/// the calls of another router may succeed.
const INELIGIBLE_AFTER_LEASES: u32 = 1;
/// For this multiple of the lease's duration, such a holder does not take the lease again.
const INELIGIBLE_FOR_LEASES: u32 = 4;
/// How long a router's reported load counts. A load is reported at least every second, and reports may be lost.
const LOAD_TTL: Duration = Duration::from_secs(3);
/// A router orders engines only after it could watch the store for this long, as the orders depend on the listed
/// engines.
const LIST_SETTLE_DELAY: Duration = Duration::from_secs(2);

/// Does the holder's work until the process exits. Returns at once if the settings configure no singleton work.
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
        next_plan_at: router.now(),
    };
    loop {
        router.timers.sleep(WORK_INTERVAL).await;
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
    /// When the first of the present series of failed calls failed; `None` after a success.
    failing_since: Option<Instant>,
    /// The operator's bounds on engines, and the version of this router's configuration when they were read; `None`
    /// before the first read.
    scaling: Option<(u64, Vec<ServiceScaling>)>,
    /// Engines are not planned before this moment.
    next_plan_at: Instant,
}

/// Authorization for one call under the lease.
struct CallAuthorization {
    holder: String,
    token: u64,
    timeout: Duration,
}

impl CallAuthorization {
    fn holder_call(&self) -> HolderCall<'_> {
        HolderCall {
            holder: &self.holder,
            token: self.token,
            timeout: self.timeout,
        }
    }
}

impl<P: SingletonPlatform> Worker<'_, P> {
    /// Authorizes a call that starts now; `None` if this router does not hold the lease, or must stop acting too soon.
    fn authorize_call(&self) -> Option<CallAuthorization> {
        let now = self.router.now();
        let (token, until) = self.singleton.lease.borrow().acts_until()?;
        let remaining = until.saturating_duration_since(now);
        (remaining > LEASE_END_MARGIN).then(|| CallAuthorization {
            holder: self.router.settings().vm.to_string(),
            token,
            timeout: (remaining - LEASE_END_MARGIN).min(CALL_TIMEOUT),
        })
    }

    async fn report_usage(&mut self) {
        for (window, counts) in self.due_reports() {
            let Some(authorization) = self.authorize_call() else {
                return;
            };
            let sent = self
                .platform
                .report_usage(authorization.holder_call(), window, &counts)
                .await;
            self.on_reported(&authorization, window, &counts, &sent);
            if sent.is_err() {
                self.router.timers.sleep(FAILURE_PAUSE).await;
                return;
            }
        }
    }

    /// The usage windows to report; empty if this router does not hold the lease.
    fn due_reports(&self) -> Vec<(Window, WindowCounts)> {
        let work = self.singleton.work.borrow();
        work.as_ref()
            .map_or_else(Vec::new, |work| work.usage.to_report())
    }

    fn on_reported(
        &mut self,
        authorization: &CallAuthorization,
        window: Window,
        counts: &WindowCounts,
        sent: &Result<(), SourceError>,
    ) {
        self.record_outcome("usage", sent.as_ref().err());
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
            token: authorization.token,
        };
        self.router.log.info("usage.reported", &line);
    }

    /// Records the outcome of a call: `error` is `None` for a success. If calls keep failing, this router becomes
    /// ineligible to hold the lease for a while.
    fn record_outcome(&mut self, name: &str, error: Option<&SourceError>) {
        let now = self.router.now();
        let Some(error) = error else {
            self.failing_since = None;
            return;
        };
        count(&self.router.metrics, "call-failed");
        let failing_since = *self.failing_since.get_or_insert_with(|| {
            log_named_event(
                &self.router.log,
                "dependency.lost",
                name,
                &error.to_string(),
            );
            now
        });
        let duration = self.singleton.settings.lease;
        if now.saturating_duration_since(failing_since) > duration * INELIGIBLE_AFTER_LEASES {
            self.failing_since = None;
            let until = now + duration * INELIGIBLE_FOR_LEASES;
            self.singleton.ineligible_until.set(Some(until));
            log_named_event(&self.router.log, "lease.left", name, &error.to_string());
        }
    }

    async fn order_engines(&mut self) {
        let now = self.router.now();
        if now < self.next_plan_at || self.authorize_call().is_none() || !self.is_list_settled(now)
        {
            return;
        }
        self.next_plan_at = now + PLAN_INTERVAL;
        self.refresh_scaling().await;
        let Some((_, scaling)) = self.scaling.clone() else {
            return;
        };
        for service in &scaling {
            self.order_engines_of(service).await;
        }
    }

    /// Whether this router could watch the store for longer than [`LIST_SETTLE_DELAY`].
    fn is_list_settled(&self, now: Instant) -> bool {
        let watches_from = self.router.store.watches_from();
        watches_from.is_some_and(|since| now.saturating_duration_since(since) > LIST_SETTLE_DELAY)
    }

    /// Reads the operator's bounds on engines if the version of the configuration has changed since the last read.
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
            let Some(authorization) = self.authorize_call() else {
                return;
            };
            let call =
                self.platform
                    .order_engines(authorization.holder_call(), &scaling.service, &order);
            let sent = call.await;
            self.record_outcome("scaling", sent.as_ref().err());
            let Ok(result) = sent else {
                // The failure is recorded above; the next plan repeats the order.
                return;
            };
            self.on_ordered(&authorization, &scaling.service, &order, result, load);
        }
    }

    /// The orders that are due, and the highest recent load that they are planned for, as a number of engines.
    fn due_orders(&self, scaling: &ServiceScaling) -> (Vec<EngineOrder>, f64) {
        let now = self.router.now();
        let listed = listed_engines(&self.router.upstreams.borrow(), &scaling.service);
        // Without the service's configuration or any upstream of the service, the capacity of an engine is unknown,
        // and no engines are ordered.
        let Some(capacity) = self.engine_capacity(&scaling.service) else {
            return (Vec::new(), 0.0);
        };
        let load = self.fleet_load(&scaling.service, now).in_engines(capacity);
        let mut work = self.singleton.work.borrow_mut();
        let Some(work) = work.as_mut() else {
            return (Vec::new(), load);
        };
        let inherited = work.inherited_plans.get(&scaling.service).cloned();
        let scaler = work
            .scalers
            .entry(scaling.service.clone())
            .or_insert_with(|| {
                let plan = inherited.unwrap_or_else(|| initial_plan(&listed));
                Autoscaler::new(scaling.bounds.clone(), plan)
            });
        scaler.set_bounds(scaling.bounds.clone());
        scaler.on_load(load, now);
        (scaler.orders(&listed, now), scaler.peak())
    }

    /// The capacity of one engine of a service; `None` if the service is not configured, has no engines or has no
    /// upstreams.
    fn engine_capacity(&self, service: &ServiceName) -> Option<EngineCapacity> {
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

    /// The sum of the recent loads of all routers at a service.
    fn fleet_load(&self, service: &ServiceName, now: Instant) -> ServiceLoad {
        let key = ServiceKey::of(service);
        let mut loads = self.singleton.loads.borrow_mut();
        loads.retain(|_, reported| now.saturating_duration_since(reported.at) <= LOAD_TTL);
        let mut total = ServiceLoad::default();
        let of_service = loads.values().flat_map(|reported| &reported.loads);
        for (_, load) in of_service.filter(|(of, _)| *of == key) {
            total.streams += load.streams;
            total.memory_tokens += load.memory_tokens;
        }
        total
    }

    fn on_ordered(
        &self,
        authorization: &CallAuthorization,
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
            token: authorization.token,
        };
        self.router.log.info("engines.ordered", &line);
    }
}

/// The number of listed engines of a service that are not leaving, by data centre.
fn listed_engines(table: &UpstreamTable, service: &ServiceName) -> BTreeMap<DataCentre, u32> {
    let mut listed = BTreeMap::new();
    for state in table.of_service(service).filter(|s| s.is_listed()) {
        let count = listed.entry(state.upstream.data_centre.clone());
        *count.or_default() += 1;
    }
    listed
}

/// The plan before any order: the listed engines of each data centre, all counted as on demand.
fn initial_plan(listed: &BTreeMap<DataCentre, u32>) -> EnginePlan {
    let plan = listed.iter().map(|(data_centre, count)| {
        let engines = Engines {
            on_demand: *count,
            spot: 0,
        };
        (data_centre.clone(), engines)
    });
    plan.collect()
}

/// The load that this router's own requests cause at a service.
pub(super) fn own_load(table: &UpstreamTable, service: &ServiceName) -> ServiceLoad {
    let mut total = ServiceLoad::default();
    for state in table.of_service(service) {
        total.streams += u64::from(state.own_load.requests);
        total.memory_tokens += u64::from(state.own_load.memory_tokens);
    }
    total
}
