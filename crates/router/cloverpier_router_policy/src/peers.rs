//! The table of peers, and the directory of routers for callers.
//!
//! - **Question.** Which router addresses does a caller receive that requests the directory?
//! - **Inputs.** The contents and arrival times of peers' heartbeats; this router's own state.
//! - **Result.** Addresses of routers that are ready and alive.
//! - **Why.** The address of a dead router costs a caller a connection timeout; a missing address only makes
//!   the load less even. But a router without a live, ready peer is probably cut off itself, and lists all
//!   peers whose last heartbeat reported that they are ready.
//!
//! [`PeerTable`] owns the last heartbeat of each peer. No safety property depends on it.
//! [`crate::heartbeat`] decides after what silence a peer is no longer considered alive.

use crate::budget::BudgetUse;
use cloverpier_core::{DataCentre, ServiceName, hash_of};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Maximum number of addresses in one directory response, which the platform's protocol sets.
const MAX_DIRECTORY_ADDRESSES: usize = 64;
/// A peer is removed after this long without a heartbeat from it. Until then it is still sent heartbeats, so
/// that routers discover each other again after a partition.
const PEER_TTL: Duration = Duration::from_secs(60);

/// The state of a router between its start and its shutdown. The directory for callers lists ready routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PeerState {
    /// The router has no configuration or no list of upstreams yet.
    Starting,
    /// The router serves requests.
    Ready,
    /// The router has received its termination signal. It still serves callers, but is not listed for new ones.
    Leaving,
}

/// The contents of a peer's last heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerEntry {
    /// The peer's address for callers.
    pub callers: SocketAddr,
    /// The data centre in which the peer runs.
    pub data_centre: DataCentre,
    /// The peer's state between its start and its shutdown.
    pub state: PeerState,
    /// When the heartbeat arrived.
    pub last_heartbeat: Instant,
    /// Version of the configuration in force at the peer; 0 before the first.
    pub configuration_version: u64,
    /// Revision of the peer's list of upstreams.
    pub upstreams_revision: u64,
    /// Time between the peer's last successful call to the store and the sending of the heartbeat. While
    /// the peer's calls fail, it is at least the age at which other routers replace the peer as a watcher.
    /// `None` if the peer does not watch the store, or reports its age by gossip.
    pub store_age: Option<Duration>,
    /// Requests and retries that the peer counts against each service's retry budget.
    pub budget_use: Vec<(ServiceKey, BudgetUse)>,
}

/// A service's name as a hash of eight bytes, for messages between routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ServiceKey(pub u64);

impl ServiceKey {
    /// The key of the service with this name: a hash that is the same in all routers.
    pub fn of(name: &ServiceName) -> Self {
        Self(hash_of(name.as_str()))
    }
}

/// The last heartbeat of each peer, keyed by the peer's address for other routers.
#[derive(Clone, Debug, Default)]
pub struct PeerTable {
    peers: HashMap<SocketAddr, PeerEntry>,
    /// Peers named by the settings or by another peer's heartbeat that have sent no heartbeat yet, and when
    /// each was last named.
    mentioned: HashMap<SocketAddr, Instant>,
}

impl PeerTable {
    /// Records a peer's heartbeat; returns the peer's previous heartbeat.
    pub fn on_heartbeat(&mut self, peer: SocketAddr, entry: PeerEntry) -> Option<PeerEntry> {
        self.mentioned.remove(&peer);
        self.peers.insert(peer, entry)
    }

    /// Whether the table holds a peer, either by a heartbeat or only by a mention.
    pub fn contains(&self, peer: SocketAddr) -> bool {
        self.peers.contains_key(&peer) || self.mentioned.contains_key(&peer)
    }

    /// Records a peer that the settings or another peer named; returns whether the table did not hold it.
    pub fn on_mentioned(&mut self, peer: SocketAddr, now: Instant) -> bool {
        if self.peers.contains_key(&peer) {
            return false;
        }
        self.mentioned.insert(peer, now).is_none()
    }

    /// Removes peers that have sent no heartbeat for a minute, and peers without any heartbeat that were last
    /// mentioned more than a minute ago.
    pub fn remove_expired(&mut self, now: Instant) {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < PEER_TTL;
        self.peers.retain(|_, peer| is_recent(&peer.last_heartbeat));
        self.mentioned.retain(|_, at| is_recent(at));
    }

    /// Number of peers in the table, alive or not.
    pub fn count(&self) -> usize {
        self.peers.len() + self.mentioned.len()
    }

    /// The addresses of all peers in the table, alive or not.
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

    /// The lowest revision of the list of upstreams that a peer reported in its last heartbeat, whether or not the peer is
    /// alive; the maximum if the table contains no heartbeat.
    pub fn lowest_upstreams_revision(&self) -> u64 {
        let revisions = self.peers.values().map(|peer| peer.upstreams_revision);
        revisions.min().unwrap_or(u64::MAX)
    }

    /// Number of routers that are alive, this one included.
    pub fn live_routers(&self, now: Instant, timeout: Duration) -> usize {
        1 + self.live(now, timeout).count()
    }

    /// Number of peers in the table that sent no heartbeat within `timeout`, without those that reported that
    /// they are leaving. If no peer has sent a heartbeat, the number of mentioned peers.
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

    /// Total of a service's requests and retries that the live peers reported for its retry budget.
    pub fn budget_use(&self, service: ServiceKey, now: Instant, timeout: Duration) -> BudgetUse {
        let mut total = BudgetUse::default();
        let all = self.live(now, timeout).flat_map(|(_, p)| &p.budget_use);
        for (_, reported) in all.filter(|(key, _)| *key == service) {
            total.requests = total.requests.saturating_add(reported.requests);
            total.retries = total.retries.saturating_add(reported.retries);
        }
        total
    }

    /// The directory for callers: addresses of peers that are ready and alive, and `own`, which is this
    /// router's address for callers, or `None` while this router is not ready.
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
            let all_ready = self.peers.values().filter(ready);
            all_ready.map(|p| p.callers).collect()
        })
    }

    /// Estimated total of a service's requests and retries at `live` peers, of which only some reported
    /// within `window`. The reported total is scaled up, as if the other peers had the same average.
    pub fn budget_estimate(
        &self,
        service: ServiceKey,
        live: usize,
        now: Instant,
        window: Duration,
    ) -> BudgetUse {
        let reporting = self.live(now, window).count();
        let reported_use = self.budget_use(service, now, window);
        if reporting == 0 {
            return reported_use;
        }
        let scale = live as f64 / reporting as f64;
        BudgetUse {
            requests: (f64::from(reported_use.requests) * scale) as u32,
            retries: (f64::from(reported_use.retries) * scale).ceil() as u32,
        }
    }
}

/// The directory for callers: the addresses in `listed`, or those that `fallback` returns if `listed` is
/// empty, and then `own`; cut to 64 addresses. `own` is `None` while this router is not ready.
pub fn directory_addresses(
    own: Option<SocketAddr>,
    mut listed: Vec<SocketAddr>,
    fallback: impl FnOnce() -> Vec<SocketAddr>,
) -> Vec<SocketAddr> {
    if listed.is_empty() {
        listed = fallback();
    }
    listed.extend(own);
    listed.truncate(MAX_DIRECTORY_ADDRESSES);
    listed
}
