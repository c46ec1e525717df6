//! What the parts of a router share.

use crate::health::HealthTable;
use crate::metrics::Metrics;
use crate::pool::ConnectionPool;
use crate::prompt_search::Searches;
use crate::store_sync::StoreHealth;
use crate::wire_names::WireNames;
use cloverpier_core::{ServiceName, UpstreamName};
use cloverpier_observe::Log;
use cloverpier_router_policy::prelude::*;
use cloverpier_settings::RouterSettings;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// A peer that was silent for longer isn't taken for alive, in a small fleet.
const MIN_PEER_SILENCE: Duration = Duration::from_millis(1_100);
/// Heartbeats of a peer that may be lost one after the other.
const HEARTBEATS_LOST: u32 = 3;
/// Peers that hear of each heartbeat; with more of them they take turns.
pub(crate) const PEERS_A_TURN: usize = 16;

/// The state of one router; one thread uses it.
#[derive(Debug)]
pub struct Router {
    pub(crate) settings: RefCell<Rc<RouterSettings>>,
    pub(crate) wire_names: WireNames,
    pub(crate) log: Log,
    pub(crate) metrics: Metrics,
    pub(crate) configuration: RefCell<Option<Rc<ConfigurationIndex>>>,
    pub(crate) upstreams: RefCell<UpstreamTable>,
    /// Whether the list of upstreams was learned since the start.
    pub(crate) upstreams_known: Cell<bool>,
    pub(crate) directory: RefCell<PeerTable>,
    pub(crate) pool: RefCell<ConnectionPool>,
    pub(crate) health: HealthTable,
    pub(crate) budgets: RefCell<HashMap<ServiceName, RetryBudget>>,
    pub(crate) rng: RefCell<fastrand::Rng>,
    /// When the planned stop began.
    pub(crate) stopping: Cell<Option<Instant>>,
    pub(crate) in_flight: Cell<usize>,
    /// Wakes the sender of heartbeats: peers should hear of a change at once.
    pub(crate) state_changed: Notify,
    /// Upstreams of which peers should hear at once.
    pub(crate) changed: RefCell<Vec<UpstreamName>>,
    /// Where prompts were read of late.
    pub(crate) prompt_locations: RefCell<PromptLocations>,
    /// Searches for the engines that hold prompts.
    pub(crate) searches: Searches,
    /// Where the prompts of running streams were read.
    pub(crate) running: RefCell<HashMap<PromptKey, UpstreamKey>>,
    /// Prompts of which peers should hear at once where they are read.
    pub(crate) new_prompt_locations: RefCell<Vec<(PromptKey, UpstreamKey)>>,
    /// Wakes whoever fetches newer versions from peers.
    pub(crate) newer_version_seen: Notify,
    /// Whether calls to the store fail at present.
    pub(crate) store: StoreHealth,
    /// When the store answered last.
    pub(crate) last_store_success: Cell<Option<Instant>>,
    /// Whether this router watches the store, and why.
    pub(crate) watcher_role: Cell<WatcherRole>,
    /// Distinguishes this start from others at the same address.
    pub(crate) incarnation: u64,
}

impl Router {
    /// A router that knows nothing yet.
    pub fn new(settings: RouterSettings, wire_names: WireNames, mut rng: fastrand::Rng) -> Self {
        Self {
            log: Log::new(settings.vm.as_str()),
            settings: RefCell::new(Rc::new(settings)),
            wire_names,
            metrics: Metrics::default(),
            configuration: RefCell::new(None),
            upstreams: RefCell::new(UpstreamTable::default()),
            upstreams_known: Cell::new(false),
            directory: RefCell::new(PeerTable::default()),
            pool: RefCell::new(ConnectionPool::default()),
            health: HealthTable::default(),
            budgets: RefCell::new(HashMap::new()),
            state_changed: Notify::new(),
            changed: RefCell::new(Vec::new()),
            prompt_locations: RefCell::new(PromptLocations::default()),
            searches: Searches::default(),
            running: RefCell::new(HashMap::new()),
            new_prompt_locations: RefCell::new(Vec::new()),
            newer_version_seen: Notify::new(),
            store: StoreHealth::default(),
            last_store_success: Cell::new(None),
            watcher_role: Cell::new(WatcherRole::Chosen),
            incarnation: rng.u64(..),
            rng: RefCell::new(rng),
            stopping: Cell::new(None),
            in_flight: Cell::new(0),
        }
    }

    /// The settings in force.
    pub(crate) fn settings(&self) -> Rc<RouterSettings> {
        Rc::clone(&self.settings.borrow())
    }

    /// The configuration in force, once one was learned.
    pub(crate) fn configuration(&self) -> Option<Rc<ConfigurationIndex>> {
        self.configuration.borrow().clone()
    }

    /// Whether requests can be served.
    pub(crate) fn is_serving(&self) -> bool {
        self.upstreams_known.get() && self.configuration.borrow().is_some()
    }

    /// How long a peer may be silent before it isn't taken for alive.
    pub(crate) fn peer_silence(&self) -> Duration {
        let peers = self.directory.borrow().addresses().len();
        let turns = u32::try_from(peers.div_ceil(PEERS_A_TURN)).unwrap_or(u32::MAX);
        let interval = self.settings().heartbeat * turns.max(1);
        (interval * HEARTBEATS_LOST).max(MIN_PEER_SILENCE)
    }

    /// Has peers hear at once of the load at a upstream, or that it is suspected.
    pub(crate) fn report_to_peers(&self, upstream: &UpstreamName) {
        self.changed.borrow_mut().push(upstream.clone());
        self.state_changed.notify_one();
    }

    /// What peers and the platform are told.
    pub(crate) fn state(&self) -> PeerState {
        if self.stopping.get().is_some() {
            PeerState::Leaving
        } else if self.is_serving() {
            PeerState::Ready
        } else {
            PeerState::Starting
        }
    }

    /// Takes over a configuration unless it is older than the one in force.
    pub(crate) fn set_configuration(&self, parts: Configuration) -> bool {
        let known = self.configuration.borrow().as_ref().map(|c| c.version());
        if known.is_some_and(|version| version >= parts.version) {
            return false;
        }
        *self.configuration.borrow_mut() = Some(Rc::new(ConfigurationIndex::new(parts)));
        true
    }

    /// Takes a repeat at a service from this router's share of the budget.
    pub(crate) fn try_take_retry(&self, service: &ServiceName, now: Instant) -> bool {
        let silence = self.peer_silence();
        let directory = self.directory.borrow();
        let peers = PeerBudgetUse {
            spent: directory.spent(ServiceKey::of(service), now, silence),
            routers: directory.alive(now, silence),
            staleness: silence,
        };
        drop(directory);
        self.with_budget(service, |budget| budget.try_take_retry(now, &peers))
    }

    /// What this router has spent of each service's retry budget.
    pub(crate) fn spent(&self, now: Instant) -> Vec<(ServiceKey, BudgetUse)> {
        let mut budgets = self.budgets.borrow_mut();
        let spent = budgets.iter_mut();
        spent
            .map(|(service, budget)| (ServiceKey::of(service), budget.spent(now)))
            .collect()
    }

    /// Notes a caller's request for a service.
    pub(crate) fn on_request(&self, service: &ServiceName, now: Instant) {
        self.with_budget(service, |budget| budget.on_request(now));
    }

    fn with_budget<T>(&self, service: &ServiceName, act: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let retry = self.settings().retry;
        let bounds = BudgetBounds {
            ratio: retry.ratio,
            slack: retry.slack,
            window: retry.window,
        };
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(service.clone());
        let budget = budget.or_insert_with(|| RetryBudget::new(bounds));
        budget.set_bounds(bounds);
        act(budget)
    }
}
