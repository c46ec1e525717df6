//! What the parts of a front share.

use crate::decision_log::FollowingChanged;
use crate::dialect::Dialect;
use crate::links::Links;
use crate::metrics::Metrics;
use crate::pool::Pool;
use crate::recall::Searches;
use crate::sync::StoreHealth;
use cloverpier_core::{ServiceName, UpstreamName};
use cloverpier_observe::Log;
use cloverpier_relay::prelude::*;
use cloverpier_settings::FrontSettings;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// A peer that was silent for longer isn't taken for alive, in a small fleet.
const LEAST_PEER_SILENCE: Duration = Duration::from_millis(1_100);
/// Heartbeats of a peer that may be lost one after the other.
const HEARTBEATS_LOST: u32 = 3;
/// Peers that hear of each heartbeat; with more of them they take turns.
pub(crate) const PEERS_A_TURN: usize = 16;
/// A follower's word from the store is fresh for this long.
const STORE_WORD_FRESH: Duration = Duration::from_millis(1_300);

/// The state of one front; one thread uses it.
#[derive(Debug)]
pub struct Front {
    pub(crate) settings: RefCell<Rc<FrontSettings>>,
    pub(crate) dialect: Dialect,
    pub(crate) log: Log,
    pub(crate) metrics: Metrics,
    pub(crate) catalog: RefCell<Option<Rc<Catalog>>>,
    pub(crate) fleet: RefCell<Fleet>,
    /// Whether the list of servers was learned since the start.
    pub(crate) fleet_known: Cell<bool>,
    pub(crate) directory: RefCell<Directory>,
    pub(crate) pool: RefCell<Pool>,
    pub(crate) links: Links,
    pub(crate) budgets: RefCell<HashMap<ServiceName, RetryBudget>>,
    pub(crate) rng: RefCell<fastrand::Rng>,
    /// When the planned stop began.
    pub(crate) stopping: Cell<Option<Instant>>,
    pub(crate) in_flight: Cell<usize>,
    /// Wakes the sender of heartbeats: peers should hear of a change at once.
    pub(crate) news: Notify,
    /// Servers of which peers should hear at once.
    pub(crate) changed: RefCell<Vec<UpstreamName>>,
    /// Where prompts were read of late.
    pub(crate) places: RefCell<PromptPlaces>,
    /// Searches for the engines that hold prompts.
    pub(crate) searches: Searches,
    /// Where the prompts of running streams were read.
    pub(crate) running: RefCell<HashMap<PromptKey, ServerKey>>,
    /// Prompts of which peers should hear at once where they are read.
    pub(crate) changed_places: RefCell<Vec<(PromptKey, ServerKey)>>,
    /// Wakes whoever fetches newer versions from peers.
    pub(crate) newer: Notify,
    /// Whether calls to the store fail at present.
    pub(crate) store: StoreHealth,
    /// When the store answered last.
    pub(crate) store_heard: Cell<Option<Instant>>,
    /// Whether this front follows the store, and why.
    pub(crate) following: Cell<Following>,
    /// Distinguishes this start from others at the same address.
    pub(crate) incarnation: u64,
}

impl Front {
    /// A front that knows nothing yet.
    pub fn new(settings: FrontSettings, dialect: Dialect, mut rng: fastrand::Rng) -> Self {
        Self {
            log: Log::new(settings.vm.as_str()),
            settings: RefCell::new(Rc::new(settings)),
            dialect,
            metrics: Metrics::default(),
            catalog: RefCell::new(None),
            fleet: RefCell::new(Fleet::default()),
            fleet_known: Cell::new(false),
            directory: RefCell::new(Directory::default()),
            pool: RefCell::new(Pool::default()),
            links: Links::default(),
            budgets: RefCell::new(HashMap::new()),
            news: Notify::new(),
            changed: RefCell::new(Vec::new()),
            places: RefCell::new(PromptPlaces::default()),
            searches: Searches::default(),
            running: RefCell::new(HashMap::new()),
            changed_places: RefCell::new(Vec::new()),
            newer: Notify::new(),
            store: StoreHealth::default(),
            store_heard: Cell::new(None),
            following: Cell::new(Following::Chosen),
            incarnation: rng.u64(..),
            rng: RefCell::new(rng),
            stopping: Cell::new(None),
            in_flight: Cell::new(0),
        }
    }

    /// The settings in force.
    pub(crate) fn settings(&self) -> Rc<FrontSettings> {
        Rc::clone(&self.settings.borrow())
    }

    /// The configuration in force, once one was learned.
    pub(crate) fn catalog(&self) -> Option<Rc<Catalog>> {
        self.catalog.borrow().clone()
    }

    /// Whether requests can be served.
    pub(crate) fn is_serving(&self) -> bool {
        self.fleet_known.get() && self.catalog.borrow().is_some()
    }

    /// How long a peer may be silent before it isn't taken for alive.
    pub(crate) fn peer_silence(&self) -> Duration {
        let peers = self.directory.borrow().addresses().len();
        let turns = u32::try_from(peers.div_ceil(PEERS_A_TURN)).unwrap_or(u32::MAX);
        let interval = self.settings().heartbeat * turns.max(1);
        (interval * HEARTBEATS_LOST).max(LEAST_PEER_SILENCE)
    }

    /// Decides whether this front follows the store, and notes a change.
    pub(crate) fn decide_following(&self, now: Instant) -> bool {
        let silence = self.peer_silence();
        let directory = self.directory.borrow();
        let live: Vec<Candidate> = directory
            .heard()
            .filter(|(_, e)| e.state == PeerState::Ready)
            .filter(|(_, e)| now.saturating_duration_since(e.heard) <= silence)
            .map(|(peer, e)| Candidate {
                peer: *peer,
                // What was heard has aged since.
                store_age: e
                    .store_age
                    .map(|a| a + now.saturating_duration_since(e.heard)),
            })
            .collect();
        let own = self.settings().listen.peers;
        let following = should_follow(own, &live, STORE_WORD_FRESH);
        let former = self.following.replace(following);
        if former.is_due() != following.is_due() {
            let line = FollowingChanged {
                follows: following.is_due(),
                live_peers: live.len(),
                reason: following,
            };
            self.log.info("store.following", &line);
        }
        following.is_due()
    }

    /// Whether this front follows the store.
    pub(crate) fn follows_store(&self) -> bool {
        self.following.get().is_due()
    }

    /// Whether peers rely on this front's word from the store.
    pub(crate) fn has_word_for_peers(&self, now: Instant) -> bool {
        let heard = self.store_heard.get();
        let is_fresh = |at| now.saturating_duration_since(at) <= STORE_WORD_FRESH;
        match self.following.get() {
            Following::Chosen => true,
            Following::NobodyElse => heard.is_some_and(is_fresh),
            Following::LeftToOthers => false,
        }
    }

    /// The longest pause between calls to a store that doesn't answer.
    pub(crate) fn longest_store_pause(&self, now: Instant) -> Duration {
        let silence = self.peer_silence();
        let directory = self.directory.borrow();
        let live = directory
            .heard()
            .filter(|(_, e)| now.saturating_duration_since(e.heard) <= silence);
        let live: Vec<_> = live.map(|(peer, _)| *peer).collect();
        longest_pause(self.settings().listen.peers, &live)
    }

    /// Has peers hear at once of the work at a server, or that it is suspected.
    pub(crate) fn tell_peers(&self, server: &UpstreamName) {
        self.changed.borrow_mut().push(server.clone());
        self.news.notify_one();
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
    pub(crate) fn apply_catalog(&self, parts: CatalogParts) -> bool {
        let known = self.catalog.borrow().as_ref().map(|c| c.version());
        if known.is_some_and(|version| version >= parts.version) {
            return false;
        }
        *self.catalog.borrow_mut() = Some(Rc::new(Catalog::new(parts)));
        true
    }

    /// Takes a repeat at a service from this front's share of the budget.
    pub(crate) fn take_repeat(&self, service: &ServiceName, now: Instant) -> bool {
        let alive = self.directory.borrow().alive(now, self.peer_silence());
        self.with_budget(service, |budget| budget.take_repeat(now, alive))
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

/// Work at a server that ends when this is dropped.
#[derive(Debug)]
pub(crate) struct WorkGuard {
    front: Rc<Front>,
    server: UpstreamName,
    work: Work,
}

impl WorkGuard {
    /// Begins work at a server.
    pub fn begin(front: &Rc<Front>, server: &UpstreamName, work: Work) -> Self {
        front.fleet.borrow_mut().begin(server, work);
        Self {
            front: Rc::clone(front),
            server: server.clone(),
            work,
        }
    }

    /// Notes that the prompt has been read.
    pub fn on_prompt_read(&mut self) {
        let read = Work {
            unread_tokens: self.work.unread_tokens,
            ..Work::default()
        };
        self.front.fleet.borrow_mut().end(&self.server, read);
        self.work.unread_tokens = 0;
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.front.fleet.borrow_mut().end(&self.server, self.work);
    }
}

/// A running stream whose prompt's place peers are told of again and again.
#[derive(Debug)]
pub(crate) struct RunningStream {
    front: Rc<Front>,
    prompt: PromptKey,
    server: ServerKey,
}

impl RunningStream {
    /// Remembers where a prompt is being read, and has peers remember it.
    pub fn begin(
        front: &Rc<Front>,
        prompt: PromptKey,
        server: &UpstreamName,
        now: Instant,
    ) -> Self {
        let server = ServerKey::of(server);
        front.places.borrow_mut().on_read(prompt, server, now);
        front.changed_places.borrow_mut().push((prompt, server));
        front.running.borrow_mut().insert(prompt, server);
        Self {
            front: Rc::clone(front),
            prompt,
            server,
        }
    }
}

impl Drop for RunningStream {
    fn drop(&mut self) {
        let mut running = self.front.running.borrow_mut();
        // The stream may have gone on elsewhere meanwhile.
        if running.get(&self.prompt) == Some(&self.server) {
            running.remove(&self.prompt);
        }
    }
}

/// One request in flight; a planned stop waits for all of them.
#[derive(Debug)]
pub(crate) struct InFlight(Rc<Front>);

impl InFlight {
    /// Counts a request.
    pub fn begin(front: &Rc<Front>) -> Self {
        front.in_flight.set(front.in_flight.get() + 1);
        Self(Rc::clone(front))
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}
