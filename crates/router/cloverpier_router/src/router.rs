//! The state of one router, and the component that owns each piece of it.
//!
//! [`Router`] only groups the components. Each component owns its state and documents its invariants:
//!
//! | component | owns |
//! | --- | --- |
//! | [`StoreView`] | the configuration in force, whether a list of upstreams was received, whether calls to the store fail |
//! | [`UpstreamTable`] | the upstreams, with their load and whether they are suspected to be dead |
//! | [`UpstreamLimits`] | the rate limits that upstreams advertise, and the permits to send requests to those upstreams |
//! | [`Reachability`] | which upstreams this router reaches over its own connections |
//! | [`PathTrials`] | whether upstreams that do not respond are dead or behind lost paths, by trials through peers |
//! | [`HealthTable`] | the last activity and the probe in progress of each upstream on each path |
//! | [`Tunnels`] | connections to upstreams through peers, and those that are served for peers |
//! | [`ConnectionPool`] | idle connections to upstreams |
//! | [`Datagrams`] | the UDP socket for messages to other routers |
//! | [`Peers`] | the last heartbeats of other routers, and the messages to send to them |
//! | [`Prompts`] | which engine has read which prompt, and searches for such engines |
//! | [`AdmissionState`] | the streams that wait for engines, and those of peers |
//! | [`RetryBudgets`] | this router's use of each service's retry budget |
//! | [`CrashState`] | crashes of upstreams by the content of the requests that they were running |
//! | [`VersionHistory`] | which software versions of each service were listed |
//! | [`StreamOrigins`] | the software versions that began streams, of this router and of its peers |
//! | [`RolloutState`] | ordered roll-outs, and this router's evidence about the new versions |
//! | [`Singleton`] | the lease on work that only one router at a time does, and the state of that work |
//! | [`ListCopies`] | the encoded copies of the list of upstreams that were created for peers recently |
//! | [`CopyPacing`] | when the network link will have transmitted the copies that were sent to peers |
//! | [`BufferMemory`] | the memory that buffered request and response bodies take |
//! | [`Lifecycle`] | the start and the shutdown of the process, and the requests in flight |
//!
//! All code that uses the state runs on one thread, so the components are in cells. They are borrowed briefly and
//! never across an `await`.

use crate::admission::AdmissionState;
use crate::crashes::state::CrashState;
use crate::datagrams::Datagrams;
use crate::health::HealthTable;
use crate::lifecycle::Lifecycle;
use crate::list_checks::ListChecks;
use crate::list_copies::ListCopies;
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::pool::ConnectionPool;
use crate::prompts::Prompts;
use crate::reachability::trial::PathTrials;
use crate::retry_budgets::RetryBudgets;
use crate::rollout_state::RolloutState;
use crate::singleton::state::Singleton;
use crate::store_view::StoreView;
use crate::stream_origins::StreamOrigins;
use crate::tunnel::Tunnels;
use crate::upstream_limits::{LimitDependencies, UpstreamLimits};
use crate::wire_names::WireNames;
use cloverpier_core::{ServiceName, UpstreamName};
use cloverpier_observe::Log;
use cloverpier_router_policy::buffer_memory::BufferMemory;
use cloverpier_router_policy::heartbeat::peer_timeout;
use cloverpier_router_policy::lifecycle::router_state;
use cloverpier_router_policy::membership::{MEMBER_TIMEOUT, MemberState, MemberUpdate};
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::reachability::Reachability;
use cloverpier_router_policy::rollout::schedule::ExposureBounds;
use cloverpier_router_policy::stream_version::in_step::{Fleet, InStep};
use cloverpier_router_policy::version_serving::CopyPacing;
use cloverpier_settings::RouterSettings;
use cloverpier_timers::Timers;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// The state of one router, which is used by a single thread.
#[derive(Debug)]
pub struct Router {
    settings: RefCell<Rc<RouterSettings>>,
    /// The clock of this router, which counts time while the machine is suspended, and timers by that clock.
    pub(crate) timers: Timers,
    pub(crate) rng: RefCell<fastrand::Rng>,
    pub(crate) wire_names: WireNames,
    pub(crate) log: Log,
    pub(crate) metrics: Metrics,
    pub(crate) store: StoreView,
    pub(crate) upstreams: RefCell<UpstreamTable>,
    pub(crate) upstream_limits: Rc<UpstreamLimits>,
    pub(crate) reachability: RefCell<Reachability>,
    /// Which trials of tunnels have shown upstreams to be dead or paths to be lost.
    pub(crate) path_trials: PathTrials,
    /// Wakes the task that checks lost paths when a path is lost.
    pub(crate) path_lost: Notify,
    pub(crate) tunnels: Tunnels,
    pub(crate) health: HealthTable,
    pub(crate) pool: RefCell<ConnectionPool>,
    pub(crate) datagrams: Rc<Datagrams>,
    pub(crate) peers: Peers,
    pub(crate) prompts: Prompts,
    pub(crate) admission: AdmissionState,
    retry_budgets: RetryBudgets,
    pub(crate) crashes: CrashState,
    pub(crate) stream_origins: StreamOrigins,
    pub(crate) rollouts: RolloutState,
    pub(crate) version_history: RefCell<VersionHistory>,
    /// `None` if the settings enable no work that only one router at a time does.
    pub(crate) singleton: Option<Singleton>,
    /// Wakes the task that checks suspected upstreams when an upstream is declared dead.
    pub(crate) suspicion_added: Notify,
    /// When this router last received a new announcement that an upstream is leaving; `None` before the first.
    pub(crate) last_leaving_at: Cell<Option<Instant>>,
    /// The number of this router's next report of a refusal by a brittle upstream. Starts at the time of day, so that
    /// the numbers exceed those of earlier processes at this address.
    pub(crate) brittle_reports: Cell<u64>,
    /// The lowest number that each peer's next report of such a refusal may have.
    pub(crate) last_brittle_reports: RefCell<HashMap<SocketAddr, u64>>,
    pub(crate) copy_pacing: RefCell<CopyPacing>,
    /// The memory that the buffered bodies of all requests and responses take.
    pub(crate) buffer_memory: Rc<RefCell<BufferMemory>>,
    pub(crate) list_copies: RefCell<ListCopies>,
    pub(crate) list_checks: ListChecks,
    /// What this router knows of its own pauses and of its contact with peers.
    pub(crate) in_step: Cell<InStep>,
    pub(crate) lifecycle: Lifecycle,
}

/// The membership update by which a starting router introduces itself to its peers.
fn initial_member_update(settings: &RouterSettings, timers: &Timers) -> MemberUpdate {
    MemberUpdate {
        router: settings.listen.peers,
        callers: settings.listen.callers,
        data_centre: settings.data_centre.clone(),
        state: MemberState::Alive(PeerState::Starting),
        stamp: timers.wall_ms(),
    }
}

impl Router {
    /// Creates the state of a starting router, without configuration, upstreams or peers. `rng` provides all random
    /// decisions, and `timers` the time.
    pub fn new(
        settings: RouterSettings,
        wire_names: WireNames,
        timers: Timers,
        mut rng: fastrand::Rng,
    ) -> Self {
        let lifecycle = Lifecycle::new(rng.u64(..), timers.now());
        let incarnation = lifecycle.incarnation();
        let log = Log::with_clock(settings.vm.as_str(), timers.clock());
        let metrics = Metrics::default();
        let (sent, bytes) = (metrics.peer_datagrams.clone(), metrics.peer_bytes.clone());
        let datagrams = Rc::new(Datagrams::new(log.clone(), sent, bytes));
        let limits = LimitDependencies {
            own_address: settings.listen.peers,
            timers: timers.clone(),
            datagrams: Rc::clone(&datagrams),
            log: log.clone(),
            limit_counter: metrics.upstream_limits.clone(),
            permit_counter: metrics.permits.clone(),
            rng: rng.fork(),
        };
        Self {
            upstream_limits: Rc::new(UpstreamLimits::new(limits)),
            singleton: Singleton::new(&settings, incarnation, timers.wall_ms(), timers.now()),
            log,
            wire_names,
            metrics,
            store: StoreView::default(),
            upstreams: RefCell::new(UpstreamTable::default()),
            reachability: RefCell::default(),
            path_trials: PathTrials::default(),
            path_lost: Notify::new(),
            tunnels: Tunnels::default(),
            health: HealthTable::default(),
            pool: RefCell::new(ConnectionPool::default()),
            datagrams,
            peers: Peers::new(initial_member_update(&settings, &timers)),
            prompts: Prompts::default(),
            admission: AdmissionState::default(),
            retry_budgets: RetryBudgets::default(),
            crashes: CrashState::new(&settings.crashes),
            stream_origins: StreamOrigins::new(rng.u64(..)),
            rollouts: RolloutState::default(),
            version_history: RefCell::default(),
            suspicion_added: Notify::new(),
            last_leaving_at: Cell::default(),
            brittle_reports: Cell::new(timers.wall_ms()),
            last_brittle_reports: RefCell::default(),
            copy_pacing: RefCell::new(CopyPacing::default()),
            buffer_memory: Rc::new(RefCell::new(BufferMemory::for_vm(settings.memory_bytes))),
            list_copies: RefCell::default(),
            list_checks: ListChecks::default(),
            in_step: Cell::default(),
            lifecycle,
            timers,
            rng: RefCell::new(rng),
            settings: RefCell::new(Rc::new(settings)),
        }
    }

    /// When the store confirmed the list of upstreams, if that still proves which versions serve; `None` otherwise.
    pub(crate) fn trusted_confirmation(&self, now: Instant) -> Option<Instant> {
        let fleet = match self.peers.count() {
            0 => Fleet::Alone,
            _ if self.peers.is_large() => Fleet::Large,
            _ => Fleet::Small,
        };
        let own_revision = self.upstreams.borrow().revision();
        let newest = self.peers.newest_live_list(now, self.peer_timeout());
        let has_newer_list = newest.is_some_and(|revision| revision > own_revision);
        let in_step = self.in_step.get();
        let confirmed_at = self.store.list_confirmed_at()?;
        in_step
            .trusts(confirmed_at, fleet, has_newer_list, now)
            .then_some(confirmed_at)
    }

    /// The present moment on the router's clock.
    pub(crate) fn now(&self) -> Instant {
        self.timers.now()
    }

    /// The settings in force.
    pub(crate) fn settings(&self) -> Rc<RouterSettings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Replaces the settings in force. Listeners keep their addresses.
    pub(crate) fn set_settings(&self, settings: RouterSettings) {
        *self.settings.borrow_mut() = Rc::new(settings);
    }

    /// The state that this router reports to peers, to readiness checks and in the directory.
    pub(crate) fn state(&self) -> PeerState {
        router_state(self.lifecycle.is_shutting_down(), self.store.is_serving())
    }

    /// How long after its last heartbeat a peer is considered alive. In a large fleet, where peers do not all send
    /// heartbeats to each other, the timeout of the membership protocol applies.
    pub(crate) fn peer_timeout(&self) -> Duration {
        if self.peers.is_large() {
            return MEMBER_TIMEOUT;
        }
        let interval = self.settings().heartbeat;
        peer_timeout(interval, self.peers.count())
    }

    /// Whether requests for which an upstream was chosen may still be sent to it.
    pub(crate) fn is_usable(&self, upstream: &Upstream) -> bool {
        let table = self.upstreams.borrow();
        table.is_still_usable(upstream, self.now())
    }

    /// Whether any request may be sent to an upstream now, be it as a last resort.
    pub(crate) fn may_get_requests(&self, upstream: &UpstreamName) -> bool {
        let table = self.upstreams.borrow();
        let state = table.get(upstream);
        state.is_some_and(|state| state.may_get_requests(self.now()))
    }

    /// Whether the upstreams of a service are model engines, by the configuration in force.
    pub(crate) fn has_engines(&self, service: &ServiceName) -> bool {
        let configuration = self.store.configuration();
        let service = configuration.and_then(|c| c.service(service).cloned());
        service.is_some_and(|service| service.engine.is_some())
    }

    /// Sends this router's load at an upstream, and whether the upstream is suspected, to peers without waiting for
    /// the next heartbeat.
    pub(crate) fn report_to_peers(&self, upstream: &UpstreamName) {
        self.peers.outbox.report_upstream(upstream);
    }

    /// Counts a caller's request for a service, which increases the service's retry budget.
    pub(crate) fn on_request(&self, service: &ServiceName, now: Instant) {
        let bounds = self.budget_bounds();
        self.retry_budgets
            .with_budget(service, bounds, |b| b.on_request(now));
    }

    /// Takes one retry from a service's budget. Returns false if the budget does not allow this router another one.
    pub(crate) fn try_take_retry(&self, service: &ServiceName, now: Instant) -> bool {
        let peers = self.peers.budget_use(service, now, self.peer_timeout());
        let bounds = self.budget_bounds();
        let take = |budget: &mut RetryBudget| budget.try_take_retry(now, &peers);
        self.retry_budgets.with_budget(service, bounds, take)
    }

    /// Whether a service's budget allows this router another retry now. Takes none.
    pub(crate) fn allows_retry(&self, service: &ServiceName, now: Instant) -> bool {
        let peers = self.peers.budget_use(service, now, self.peer_timeout());
        let bounds = self.budget_bounds();
        let allows = |budget: &mut RetryBudget| budget.allows_retry(now, &peers);
        self.retry_budgets.with_budget(service, bounds, allows)
    }

    /// This router's requests and retries within the window of the retry budget, for each service.
    pub(crate) fn budget_use(&self, now: Instant) -> Vec<(ServiceKey, BudgetUse)> {
        self.retry_budgets.usage(now)
    }

    /// The operator's bound on the requests that a version which may be bad receives during a roll-out. `None` if the
    /// settings don't enable roll-outs.
    pub(crate) fn exposure_bounds(&self) -> Option<ExposureBounds> {
        self.settings().exposure.map(|exposure| ExposureBounds {
            share: exposure.share,
            slack: exposure.slack,
        })
    }

    /// The bounds of the retry budgets, from the settings in force.
    fn budget_bounds(&self) -> BudgetBounds {
        let retry = self.settings().retry;
        BudgetBounds {
            ratio: retry.ratio,
            slack: retry.slack,
            window: retry.window,
        }
    }
}
