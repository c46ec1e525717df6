//! The routers that a router knows, and which of them callers are told of.

use crate::budget::BudgetUse;
use cloverpier_core::{ServiceName, hash_of};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Most addresses in one answer.
const MAX_LISTED: usize = 64;
/// A peer that was not heard for this long is forgotten.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(60);

/// Whether a router takes new callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PeerState {
    /// It has no configuration yet.
    Starting,
    /// It serves.
    Ready,
    /// It ends soon.
    Leaving,
}

/// What a router knows of a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerEntry {
    /// Where it serves callers.
    pub router: SocketAddr,
    /// Whether it takes new callers.
    pub state: PeerState,
    /// When it was heard last.
    pub heard: Instant,
    /// The configuration that it acts on.
    pub configuration_version: u64,
    /// The revision of its list of upstreams.
    pub upstreams_revision: u64,
    /// The age of its last word from the store, when it watches it.
    pub store_age: Option<Duration>,
    /// What it has spent of each service's retry budget.
    pub spent: Vec<(ServiceKey, BudgetUse)>,
}

/// A service's name in few bytes, for messages between routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ServiceKey(pub u64);

impl ServiceKey {
    /// The key of a service's name.
    pub fn of(name: &ServiceName) -> Self {
        Self(hash_of(name.as_str()))
    }
}

/// The routers that a router has heard of, by their peer addresses.
#[derive(Clone, Debug, Default)]
pub struct PeerTable {
    peers: HashMap<SocketAddr, PeerEntry>,
    /// Addresses that were named and not heard yet.
    named: HashMap<SocketAddr, Instant>,
}

impl PeerTable {
    /// Notes what a peer says of itself.
    pub fn on_heartbeat_or_activity(&mut self, peer: SocketAddr, entry: PeerEntry) {
        self.named.remove(&peer);
        self.peers.insert(peer, entry);
    }

    /// Notes a peer that another one named; returns whether it is new.
    pub fn on_named(&mut self, peer: SocketAddr, now: Instant) -> bool {
        if self.peers.contains_key(&peer) {
            return false;
        }
        self.named.insert(peer, now).is_none()
    }

    /// Forgets peers that have been silent for a minute.
    pub fn forget_old(&mut self, now: Instant) {
        let is_new = |at: &Instant| now.saturating_duration_since(*at) < FORGOTTEN_AFTER;
        self.peers.retain(|_, entry| is_new(&entry.heard));
        self.named.retain(|_, at| is_new(at));
    }

    /// All peer addresses, heard or named.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let all = self.peers.keys().chain(self.named.keys());
        all.copied().collect()
    }

    /// The peers that were heard.
    pub fn heard(&self) -> impl Iterator<Item = (&SocketAddr, &PeerEntry)> {
        self.peers.iter()
    }

    /// The routers alive, this one included.
    pub fn alive(&self, now: Instant, within: Duration) -> usize {
        1 + self.live(now, within).count()
    }

    /// What live peers have spent together of a service's retry budget.
    pub fn spent(&self, service: ServiceKey, now: Instant, within: Duration) -> BudgetUse {
        let mut total = BudgetUse::default();
        let all = self.live(now, within).flat_map(|(_, e)| &e.spent);
        for (_, spent) in all.filter(|(key, _)| *key == service) {
            total.requests = total.requests.saturating_add(spent.requests);
            total.retries = total.retries.saturating_add(spent.retries);
        }
        total
    }

    /// The peers that were heard within a time.
    pub fn live(
        &self,
        now: Instant,
        within: Duration,
    ) -> impl Iterator<Item = (&SocketAddr, &PeerEntry)> {
        let is_live = move |e: &PeerEntry| now.saturating_duration_since(e.heard) <= within;
        self.peers.iter().filter(move |(_, e)| is_live(e))
    }

    /// The addresses that callers are told: routers that are ready and alive.
    ///
    /// A router that hears none of its peers is itself cut off; it then lists
    /// them all, as callers leave out what fails them.
    pub fn listed(
        &self,
        own: Option<SocketAddr>,
        now: Instant,
        within: Duration,
    ) -> Vec<SocketAddr> {
        let ready = |e: &&PeerEntry| e.state == PeerState::Ready;
        let mut listed: Vec<SocketAddr> = self
            .live(now, within)
            .map(|(_, e)| e)
            .filter(ready)
            .map(|e| e.router)
            .collect();
        if listed.is_empty() {
            listed = self
                .peers
                .values()
                .filter(ready)
                .map(|e| e.router)
                .collect();
        }
        listed.extend(own);
        listed.truncate(MAX_LISTED);
        listed
    }
}
