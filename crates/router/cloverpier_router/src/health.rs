//! What was heard from each upstream last, shared by all who wait for it.

use crate::connection::HttpClient;
use cloverpier_core::UpstreamName;
use cloverpier_router_policy::prelude::Upstream;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// How long a connection for questions may take to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Signs of life of one upstream.
#[derive(Debug)]
pub(crate) struct UpstreamHealth {
    /// When anything was heard from it last.
    pub heard: Cell<Instant>,
    /// Since when it is being asked whether it lives.
    pub probing_since: Cell<Option<Instant>>,
    /// Whether it was found dead: its requests are lost.
    pub dead: Cell<bool>,
    /// Wakes those who wait when it is found dead.
    pub found_dead: Notify,
    /// Asks it questions, over a connection of their own.
    pub caller: HttpClient,
}

impl UpstreamHealth {
    fn new(upstream: &Upstream, now: Instant) -> Self {
        Self {
            caller: HttpClient::new(upstream.address, CONNECT_TIMEOUT),
            heard: Cell::new(now),
            probing_since: Cell::new(None),
            dead: Cell::new(false),
            found_dead: Notify::new(),
        }
    }

    /// Notes that something came from the upstream.
    pub fn on_heartbeat_or_activity(&self, now: Instant) {
        self.heard.set(now);
    }

    /// Tells all who wait for the upstream that it is dead.
    pub fn on_dead(&self) {
        self.dead.set(true);
        self.found_dead.notify_waiters();
    }
}

/// All links.
#[derive(Debug, Default)]
pub(crate) struct HealthTable {
    by_server: RefCell<HashMap<UpstreamName, Rc<UpstreamHealth>>>,
}

impl HealthTable {
    /// The link of a upstream.
    pub fn of(&self, upstream: &Upstream, now: Instant) -> Rc<UpstreamHealth> {
        let mut health = self.by_server.borrow_mut();
        let health = health.entry(upstream.name.clone());
        Rc::clone(health.or_insert_with(|| Rc::new(UpstreamHealth::new(upstream, now))))
    }

    /// Gives a upstream a new link, as after it was found dead.
    pub fn renew(&self, upstream: &Upstream, now: Instant) {
        let mut health = self.by_server.borrow_mut();
        health.insert(
            upstream.name.clone(),
            Rc::new(UpstreamHealth::new(upstream, now)),
        );
    }

    /// Forgets the links of upstreams that aren't known any more.
    pub fn retain(&self, is_known: impl Fn(&UpstreamName) -> bool) {
        let mut health = self.by_server.borrow_mut();
        health.retain(|upstream, health| Rc::strong_count(health) > 1 || is_known(upstream));
    }
}
