//! What this router knows of its peers, and what it sends them next.
//!
//! Owns the table of peers, the news that waits for the next datagram, and the signals that a
//! peer has a newer version. [`crate::heartbeats`] sends and receives; who is sent what is
//! decided in `cloverpier_router_policy::heartbeat`.

use crate::peer_messages::PeerMessage;
use crate::store_view::Watched;
use cloverpier_core::{ServiceName, UpstreamName};
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::store_watch::ReadyPeer;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Who gets a message.
#[derive(Clone, Debug)]
pub(crate) enum Recipients {
    /// All peers.
    All,
    /// All, or where they are many some of them, who hand it on.
    Many,
    /// A few of them, picked at random.
    Few,
    /// These.
    These(Vec<SocketAddr>),
}

/// Peers, and what they are sent next.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    table: RefCell<PeerTable>,
    /// Upstreams of which the load or a suspicion is to be reported at once.
    changed_upstreams: RefCell<Vec<UpstreamName>>,
    /// Prompts that engines began to read since the last report.
    new_prompt_locations: RefCell<Vec<(PromptKey, UpstreamKey)>>,
    /// Messages that are sent as they are, each once.
    outgoing: RefCell<Vec<(PeerMessage, Recipients)>>,
    /// Peers that were not known before, to be sent a first heartbeat.
    new_peers: RefCell<Vec<SocketAddr>>,
    /// Wakes the sender of datagrams.
    state_changed: Notify,
    /// Whether a heartbeat is due at once, as the last one says something older.
    heartbeat_due: Cell<bool>,
    /// Wakes the fetcher of configurations.
    newer_configuration_seen: Notify,
    /// Wakes the fetcher of upstreams.
    newer_upstreams_seen: Notify,
}

impl Peers {
    /// Records a heartbeat; returns the one before.
    pub fn on_heartbeat(&self, peer: SocketAddr, entry: PeerEntry) -> Option<PeerEntry> {
        let is_new = !self.table.borrow().knows(peer);
        if is_new {
            self.greet(peer);
        }
        self.table.borrow_mut().on_heartbeat(peer, entry)
    }

    /// Records peers that settings or a peer mentioned.
    pub fn on_mentioned(&self, peers: impl IntoIterator<Item = SocketAddr>, now: Instant) {
        let mut table = self.table.borrow_mut();
        for peer in peers {
            if table.on_mentioned(peer, now) {
                self.greet(peer);
            }
        }
    }

    /// Has a first heartbeat sent to a peer.
    fn greet(&self, peer: SocketAddr) {
        self.new_peers.borrow_mut().push(peer);
        self.state_changed.notify_one();
    }

    /// Takes some of the peers that are to be sent a first heartbeat.
    pub fn take_new(&self, most: usize) -> Vec<SocketAddr> {
        let mut new = self.new_peers.borrow_mut();
        let count = new.len().min(most);
        new.drain(..count).collect()
    }

    /// Whether some are left.
    pub fn has_new(&self) -> bool {
        !self.new_peers.borrow().is_empty()
    }

    /// Forgets peers that were silent for long.
    pub fn forget_old(&self, now: Instant) {
        self.table.borrow_mut().forget_old(now);
    }

    /// The addresses of all peers, alive or not.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.table.borrow().addresses()
    }

    /// The live peers that are ready, and what they say of the store.
    pub fn ready(&self, now: Instant, timeout: Duration) -> Vec<ReadyPeer> {
        let table = self.table.borrow();
        let ready = table
            .live(now, timeout)
            .filter(|(_, entry)| entry.state == PeerState::Ready);
        let ready = ready.map(|(peer, entry)| ReadyPeer {
            peer: *peer,
            data_centre: entry.data_centre.clone(),
            // The age has grown since the heartbeat.
            store_age: entry
                .store_age
                .map(|age| age + now.saturating_duration_since(entry.last_heartbeat)),
        });
        ready.collect()
    }

    /// The addresses of live peers.
    pub fn live(&self, now: Instant, timeout: Duration) -> Vec<SocketAddr> {
        let table = self.table.borrow();
        let live = table.live(now, timeout);
        live.map(|(peer, _)| *peer).collect()
    }

    /// The addresses that callers get.
    pub fn addresses_for_callers(
        &self,
        own: Option<SocketAddr>,
        now: Instant,
        timeout: Duration,
    ) -> Vec<SocketAddr> {
        let table = self.table.borrow();
        table.addresses_for_callers(own, now, timeout)
    }

    /// What is known of the peers' use of a service's retry budget.
    pub fn budget_use(
        &self,
        service: &ServiceName,
        now: Instant,
        timeout: Duration,
    ) -> PeerBudgetUse {
        let table = self.table.borrow();
        PeerBudgetUse {
            total: table.budget_use(ServiceKey::of(service), now, timeout),
            routers: table.live_routers(now, timeout),
            staleness: timeout,
        }
    }

    /// The live peers that watch the store or try to.
    pub fn watchers(&self, now: Instant, timeout: Duration) -> Vec<SocketAddr> {
        let table = self.table.borrow();
        let live = table.live(now, timeout);
        let watchers = live.filter(|(_, entry)| entry.store_age.is_some());
        watchers.map(|(peer, _)| *peer).collect()
    }

    /// The live peers, and one of the versions that each of them reported.
    pub fn versions(
        &self,
        version: impl Fn(&PeerEntry) -> u64,
        now: Instant,
        timeout: Duration,
    ) -> Vec<(SocketAddr, u64)> {
        let table = self.table.borrow();
        let live = table.live(now, timeout);
        live.map(|(peer, entry)| (*peer, version(entry))).collect()
    }

    /// Has an upstream's load, or a suspicion of it, reported at once.
    pub fn report_upstream(&self, upstream: &UpstreamName) {
        self.changed_upstreams.borrow_mut().push(upstream.clone());
        self.state_changed.notify_one();
    }

    /// Has a message sent.
    pub fn send(&self, message: PeerMessage, to: Recipients) {
        self.outgoing.borrow_mut().push((message, to));
        self.state_changed.notify_one();
    }

    /// Empties the list of messages to send.
    pub fn drain_outgoing(&self) -> Vec<(PeerMessage, Recipients)> {
        std::mem::take(&mut *self.outgoing.borrow_mut())
    }

    /// Has the location of a prompt reported with the next change.
    pub fn report_prompt(&self, prompt: PromptKey, engine: UpstreamKey) {
        let mut locations = self.new_prompt_locations.borrow_mut();
        locations.push((prompt, engine));
    }

    /// Has a heartbeat sent at once: a version here has changed.
    pub fn report_version(&self) {
        self.heartbeat_due.set(true);
        self.state_changed.notify_one();
    }

    /// Whether a heartbeat is due at once; it counts as sent then.
    pub fn take_heartbeat_due(&self) -> bool {
        self.heartbeat_due.take()
    }

    /// Empties the list of upstreams to report.
    pub fn drain_changed_upstreams(&self) -> Vec<UpstreamName> {
        std::mem::take(&mut *self.changed_upstreams.borrow_mut())
    }

    /// Empties the list of prompt locations to report.
    pub fn drain_prompt_locations(&self) -> Vec<(PromptKey, UpstreamKey)> {
        std::mem::take(&mut *self.new_prompt_locations.borrow_mut())
    }

    /// Waits until there is something to report.
    pub async fn state_changed(&self) {
        self.state_changed.notified().await;
    }

    /// Wakes the fetcher of this kind: a peer has a newer version.
    pub fn on_newer_version(&self, watched: Watched) {
        self.newer_seen(watched).notify_one();
    }

    /// Waits until a peer has a newer version of this kind.
    pub async fn newer_version_seen(&self, watched: Watched) {
        self.newer_seen(watched).notified().await;
    }

    fn newer_seen(&self, watched: Watched) -> &Notify {
        match watched {
            Watched::Configuration => &self.newer_configuration_seen,
            Watched::Upstreams => &self.newer_upstreams_seen,
        }
    }
}
