//! The state of one router, by owner.
//!
//! [`Router`] only holds the parts together; each part owns its state and says what holds
//! for it:
//!
//! | part | owns |
//! | --- | --- |
//! | [`StoreView`] | configuration in force, whether upstreams are known, how calls to the store go |
//! | `upstreams` | the table of upstreams, with load and suspicions |
//! | [`UpstreamLimits`] | limits that upstreams named, permits to send them requests |
//! | [`HealthTable`] | last activity and probes of each upstream |
//! | [`ConnectionPool`] | idle connections to upstreams |
//! | [`Datagrams`] | the way to other routers by datagrams |
//! | [`Peers`] | peers' last heartbeats, and what they are sent next |
//! | [`Prompts`] | which engine has read which prompt, and searches for that |
//! | [`RetryBudgets`] | this router's use of each service's retry budget |
//! | [`Crashes`] | contents of requests that ended upstreams |
//! | [`Rollouts`] | orders of roll-outs, and what this router saw of them |
//! | [`Singleton`] | the lease on work that one router at a time does, and that work |
//! | [`CopyPacing`] | copies of the configuration that the link still carries |
//! | [`Lifecycle`] | the planned stop and the requests in flight |
//!
//! One thread uses it all, so the parts are cells that are borrowed for a moment and never
//! across an `await`.

use crate::budgets::RetryBudgets;
use crate::crashes::state::Crashes;
use crate::datagrams::Datagrams;
use crate::health::HealthTable;
use crate::lifecycle::Lifecycle;
use crate::list_copies::ListCopies;
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::pool::ConnectionPool;
use crate::prompts::Prompts;
use crate::rollout_state::Rollouts;
use crate::singleton::state::Singleton;
use crate::store_view::StoreView;
use crate::upstream_limits::{LimitParts, UpstreamLimits};
use crate::wire_names::WireNames;
use cloverpier_core::{ServiceName, UpstreamName, wall_ms};
use cloverpier_observe::Log;
use cloverpier_router_policy::buffer_memory::BufferMemory;
use cloverpier_router_policy::heartbeat::peer_timeout;
use cloverpier_router_policy::lifecycle::router_state;
use cloverpier_router_policy::membership::{MEMBER_TIMEOUT, MemberState, MemberUpdate};
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::rollout::schedule::ExposureBounds;
use cloverpier_router_policy::version_serving::CopyPacing;
use cloverpier_settings::RouterSettings;
use cloverpier_timers::Timers;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// The state of one router; one thread uses it.
#[derive(Debug)]
pub struct Router {
    settings: RefCell<Rc<RouterSettings>>,
    /// Waits by the same clock as the present moment's.
    pub(crate) timers: Timers,
    pub(crate) rng: RefCell<fastrand::Rng>,
    pub(crate) wire_names: WireNames,
    pub(crate) log: Log,
    pub(crate) metrics: Metrics,
    pub(crate) store: StoreView,
    pub(crate) upstreams: RefCell<UpstreamTable>,
    pub(crate) upstream_limits: Rc<UpstreamLimits>,
    pub(crate) health: HealthTable,
    pub(crate) pool: RefCell<ConnectionPool>,
    pub(crate) datagrams: Rc<Datagrams>,
    pub(crate) peers: Peers,
    pub(crate) prompts: Prompts,
    retry_budgets: RetryBudgets,
    pub(crate) crashes: Crashes,
    pub(crate) rollouts: Rollouts,
    /// `None` where the settings name no work that one router at a time does.
    pub(crate) singleton: Option<Singleton>,
    /// Wakes the checks of suspects.
    pub(crate) suspicion_added: Notify,
    /// When it was learned last that an upstream leaves.
    pub(crate) last_leaving_at: Cell<Option<Instant>>,
    pub(crate) copy_pacing: RefCell<CopyPacing>,
    /// What bodies and answers take.
    pub(crate) buffer_memory: Rc<RefCell<BufferMemory>>,
    pub(crate) list_copies: RefCell<ListCopies>,
    pub(crate) lifecycle: Lifecycle,
}

/// What a router says of itself when it starts.
fn member(settings: &RouterSettings) -> MemberUpdate {
    MemberUpdate {
        router: settings.listen.peers,
        callers: settings.listen.callers,
        data_centre: settings.data_centre.clone(),
        state: MemberState::Alive(PeerState::Starting),
        stamp: wall_ms(),
    }
}

impl Router {
    /// A router that knows no configuration, upstream or peer yet.
    pub fn new(
        settings: RouterSettings,
        wire_names: WireNames,
        timers: Timers,
        mut rng: fastrand::Rng,
    ) -> Self {
        let lifecycle = Lifecycle::new(rng.u64(..), timers.now());
        let incarnation = lifecycle.incarnation();
        let log = Log::new(settings.vm.as_str());
        let metrics = Metrics::default();
        let (sent, bytes) = (metrics.peer_datagrams.clone(), metrics.peer_bytes.clone());
        let datagrams = Rc::new(Datagrams::new(log.clone(), sent, bytes));
        let limit_parts = LimitParts {
            own: settings.listen.peers,
            timers: timers.clone(),
            datagrams: Rc::clone(&datagrams),
            log: log.clone(),
            limits: metrics.upstream_limits.clone(),
            permits: metrics.permits.clone(),
            rng: rng.fork(),
        };
        Self {
            upstream_limits: Rc::new(UpstreamLimits::new(limit_parts)),
            singleton: Singleton::new(&settings, incarnation, wall_ms(), timers.now()),
            log,
            wire_names,
            metrics,
            store: StoreView::default(),
            upstreams: RefCell::new(UpstreamTable::default()),
            health: HealthTable::new(timers.clone()),
            pool: RefCell::new(ConnectionPool::default()),
            datagrams,
            peers: Peers::new(member(&settings)),
            prompts: Prompts::default(),
            retry_budgets: RetryBudgets::default(),
            crashes: Crashes::new(&settings.crashes),
            rollouts: Rollouts::default(),
            suspicion_added: Notify::new(),
            last_leaving_at: Cell::default(),
            copy_pacing: RefCell::new(CopyPacing::default()),
            buffer_memory: Rc::new(RefCell::new(BufferMemory::for_vm(settings.memory_bytes))),
            list_copies: RefCell::default(),
            lifecycle,
            timers,
            rng: RefCell::new(rng),
            settings: RefCell::new(Rc::new(settings)),
        }
    }

    /// The present moment.
    pub(crate) fn now(&self) -> Instant {
        self.timers.now()
    }

    /// The settings in force.
    pub(crate) fn settings(&self) -> Rc<RouterSettings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Puts new settings in force; listeners keep their addresses.
    pub(crate) fn set_settings(&self, settings: RouterSettings) {
        *self.settings.borrow_mut() = Rc::new(settings);
    }

    /// The state that is reported to peers, the platform and callers.
    pub(crate) fn state(&self) -> PeerState {
        router_state(self.lifecycle.is_shutting_down(), self.store.is_serving())
    }

    /// How long after its last heartbeat a peer is considered alive.
    pub(crate) fn peer_timeout(&self) -> Duration {
        if self.peers.is_large() {
            return MEMBER_TIMEOUT;
        }
        let interval = self.settings().heartbeat;
        peer_timeout(interval, self.peers.count())
    }

    /// Whether an upstream may still be sent requests.
    pub(crate) fn is_usable(&self, upstream: &Upstream) -> bool {
        let table = self.upstreams.borrow();
        let state = table.get(&upstream.name);
        state.is_some_and(|state| state.is_usable(self.now()))
    }

    /// Reports this router's load at an upstream, or a suspicion of it, to peers at once.
    pub(crate) fn report_to_peers(&self, upstream: &UpstreamName) {
        self.peers.outbox.report_upstream(upstream);
    }

    /// Counts a caller's request for a service, which adds to the retry budget.
    pub(crate) fn on_request(&self, service: &ServiceName, now: Instant) {
        let bounds = self.budget_bounds();
        self.retry_budgets
            .with(service, bounds, |b| b.on_request(now));
    }

    /// Takes a retry of a service from the budget, if it has one left for this router.
    pub(crate) fn try_take_retry(&self, service: &ServiceName, now: Instant) -> bool {
        let peers = self.peers.budget_use(service, now, self.peer_timeout());
        let bounds = self.budget_bounds();
        let take = |budget: &mut RetryBudget| budget.try_take_retry(now, &peers);
        self.retry_budgets.with(service, bounds, take)
    }

    /// This router's use of each service's retry budget.
    pub(crate) fn budget_use(&self, now: Instant) -> Vec<(ServiceKey, BudgetUse)> {
        self.retry_budgets.usage(now)
    }

    /// The operator's bound on versions that are not known to be good; `None` where no roll-outs
    /// are ordered.
    pub(crate) fn exposure_bounds(&self) -> Option<ExposureBounds> {
        self.settings().exposure.map(|exposure| ExposureBounds {
            share: exposure.share,
            slack: exposure.slack,
        })
    }

    fn budget_bounds(&self) -> BudgetBounds {
        let retry = self.settings().retry;
        BudgetBounds {
            ratio: retry.ratio,
            slack: retry.slack,
            window: retry.window,
        }
    }
}
