//! The routers that a router knows, and which of them callers get.
//!
//! - **Question.** Which addresses does a caller get that asks which router to use?
//! - **Inputs.** What peers reported in their heartbeats and when; this router's own state.
//! - **Answer.** Addresses of routers that are ready and alive.
//! - **Why.** An address that does not answer costs a caller a connection timeout, a missing
//!   one costs only balance. But a router without a message from any peer is probably cut off
//!   itself, and lists all of them.
//!
//! [`PeerTable`] owns the last heartbeat of each peer. Nothing of safety depends on it.
//! How long a peer may be silent is decided in [`crate::heartbeat`].

use crate::budget::BudgetUse;
use cloverpier_core::{DataCentre, ServiceName, hash_of};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Addresses in one answer to callers at most: the bound of the platform's protocol.
const MAX_LISTED: usize = 64;
/// A peer that was silent for this long is forgotten; until then it is still sent heartbeats, so
/// that routers find each other again after a partition.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(60);

/// Whether a router takes new callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PeerState {
    /// It does not know configuration or upstreams yet.
    Starting,
    /// It serves.
    Ready,
    /// It is stopping.
    Leaving,
}

/// What a peer reported in its last heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerEntry {
    /// Where it serves callers.
    pub callers: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Whether it takes new callers.
    pub state: PeerState,
    /// When the heartbeat arrived.
    pub last_heartbeat: Instant,
    /// Version of the configuration that it uses.
    pub configuration_version: u64,
    /// Revision of its list of upstreams.
    pub upstreams_revision: u64,
    /// Time since its last successful store call, when the heartbeat left, not fresh while its
    /// calls fail; `None` if it does not watch the store.
    pub store_age: Option<Duration>,
    /// Its use of each service's retry budget.
    pub budget_use: Vec<(ServiceKey, BudgetUse)>,
}

/// A service's name as a hash of eight bytes, for messages between routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ServiceKey(pub u64);

impl ServiceKey {
    /// The key of a service's name.
    pub fn of(name: &ServiceName) -> Self {
        Self(hash_of(name.as_str()))
    }
}

/// The routers that a router knows, by their addresses for peers.
#[derive(Clone, Debug, Default)]
pub struct PeerTable {
    peers: HashMap<SocketAddr, PeerEntry>,
    /// Addresses that settings or peers mentioned and that sent no heartbeat yet.
    mentioned: HashMap<SocketAddr, Instant>,
}

impl PeerTable {
    /// Records a peer's heartbeat; returns the one before.
    pub fn on_heartbeat(&mut self, peer: SocketAddr, entry: PeerEntry) -> Option<PeerEntry> {
        self.mentioned.remove(&peer);
        self.peers.insert(peer, entry)
    }

    /// Whether a peer has sent a heartbeat or was mentioned.
    pub fn contains(&self, peer: SocketAddr) -> bool {
        self.peers.contains_key(&peer) || self.mentioned.contains_key(&peer)
    }

    /// Records a peer that settings or another peer mentioned; returns whether it is new.
    pub fn on_mentioned(&mut self, peer: SocketAddr, now: Instant) -> bool {
        if self.peers.contains_key(&peer) {
            return false;
        }
        self.mentioned.insert(peer, now).is_none()
    }

    /// Forgets peers that were silent for a minute.
    pub fn forget_old(&mut self, now: Instant) {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < FORGOTTEN_AFTER;
        self.peers.retain(|_, peer| is_recent(&peer.last_heartbeat));
        self.mentioned.retain(|_, at| is_recent(at));
    }

    /// Number of peers, alive or not.
    pub fn count(&self) -> usize {
        self.peers.len() + self.mentioned.len()
    }

    /// The addresses of all peers, alive or not.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let all = self.peers.keys().chain(self.mentioned.keys());
        all.copied().collect()
    }

    /// The peers whose last heartbeat arrived within `timeout`.
    pub fn live(
        &self,
        now: Instant,
        timeout: Duration,
    ) -> impl Iterator<Item = (&SocketAddr, &PeerEntry)> {
        let is_live =
            move |p: &PeerEntry| now.saturating_duration_since(p.last_heartbeat) <= timeout;
        self.peers.iter().filter(move |(_, peer)| is_live(peer))
    }

    /// Number of routers that are alive, this one included.
    pub fn live_routers(&self, now: Instant, timeout: Duration) -> usize {
        1 + self.live(now, timeout).count()
    }

    /// Number of routers that sent something within the last minute, did not say that they leave, and
    /// are silent; those that were mentioned, too, where none ever sent anything.
    pub fn lost_count(&self, now: Instant, timeout: Duration) -> usize {
        if self.peers.is_empty() {
            return self.mentioned.len();
        }
        let is_lost = |p: &&PeerEntry| {
            let silent = now.saturating_duration_since(p.last_heartbeat);
            silent > timeout && p.state != PeerState::Leaving
        };
        self.peers.values().filter(is_lost).count()
    }

    /// Use of a service's retry budget by all live peers together.
    pub fn budget_use(&self, service: ServiceKey, now: Instant, timeout: Duration) -> BudgetUse {
        let mut total = BudgetUse::default();
        let all = self.live(now, timeout).flat_map(|(_, p)| &p.budget_use);
        for (_, part) in all.filter(|(key, _)| *key == service) {
            total.requests = total.requests.saturating_add(part.requests);
            total.retries = total.retries.saturating_add(part.retries);
        }
        total
    }

    /// The addresses that callers get: routers that are ready and alive, and `own` if
    /// this one is ready.
    pub fn addresses_for_callers(
        &self,
        own: Option<SocketAddr>,
        now: Instant,
        timeout: Duration,
    ) -> Vec<SocketAddr> {
        let ready = |peer: &&PeerEntry| peer.state == PeerState::Ready;
        let live = self.live(now, timeout).map(|(_, peer)| peer);
        let listed = live.filter(ready).map(|p| p.callers).collect();
        directory_addresses(own, listed, || {
            let known = self.peers.values().filter(ready);
            known.map(|p| p.callers).collect()
        })
    }

    /// Use of a service's retry budget by `live` peers, of whom only some reported within `window`:
    /// the others are taken to be like them.
    pub fn budget_estimate(
        &self,
        service: ServiceKey,
        live: usize,
        now: Instant,
        window: Duration,
    ) -> BudgetUse {
        let heard = self.live(now, window).count();
        let use_of_heard = self.budget_use(service, now, window);
        if heard == 0 {
            return use_of_heard;
        }
        let scale = live as f64 / heard as f64;
        BudgetUse {
            requests: (f64::from(use_of_heard.requests) * scale) as u32,
            retries: (f64::from(use_of_heard.retries) * scale).ceil() as u32,
        }
    }
}

/// The addresses that a caller gets: those of routers that are ready and alive, or where there are
/// none all that `known` gives, and `own` if this one is ready.
pub fn directory_addresses(
    own: Option<SocketAddr>,
    mut listed: Vec<SocketAddr>,
    known: impl FnOnce() -> Vec<SocketAddr>,
) -> Vec<SocketAddr> {
    if listed.is_empty() {
        listed = known();
    }
    listed.extend(own);
    listed.truncate(MAX_LISTED);
    listed
}
