//! What this router knows of its peers.
//!
//! Owns the table of peers, the members of a large fleet, and the signals that a peer has a newer
//! version; [`Outbox`] has what they are sent next. [`crate::heartbeats`] and [`crate::gossip`] send
//! and receive; who is sent what is decided in `cloverpier_router_policy::{heartbeat, membership}`.
//!
//! In a small fleet each peer is alive for as long as its heartbeats come; in a large one, members are
//! alive until somebody's probe says otherwise.

use crate::outbox::{Outbox, Recipients};
use crate::peer_messages::PeerMessage;
use crate::store_view::Watched;
use cloverpier_core::{DataCentre, ServiceName};
use cloverpier_router_policy::heartbeat::{contacts_mentioned_peers, is_small_fleet};
use cloverpier_router_policy::membership::{DEPARTURE_REPORT_INTERVAL, MemberUpdate, Membership};
use cloverpier_router_policy::peers::directory_addresses;
use cloverpier_router_policy::permit::{LimiterMap, RouterPlace};
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::store_watch::ReadyPeer;
use cloverpier_router_policy::version_fetch::PeerVersion;
use cloverpier_router_policy::watcher_reports::WatcherReports;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// What single routers of a large fleet said of themselves counts for this long: their use of the retry
/// budget, whose window it mostly is, their versions, how many members they know.
const LARGE_FLEET_REPORT_TTL: Duration = Duration::from_secs(10);

/// What decides who may hand out permits in a large fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct LimiterInputs {
    digest: u64,
    lost: usize,
    is_isolated: bool,
    serves: bool,
}

/// The peers, what is known of them, and what waits to be sent.
#[derive(Debug)]
pub(crate) struct Peers {
    table: RefCell<PeerTable>,
    pub(crate) members: RefCell<Membership>,
    pub(crate) watcher_reports: RefCell<WatcherReports>,
    /// The size of the fleet as other routers said it, and when.
    reported_size: Cell<Option<(usize, Instant)>>,
    /// Peers that send heartbeats though they know of a large fleet: those of former releases.
    heartbeat_peers: RefCell<HashMap<SocketAddr, Instant>>,
    /// The number of this router's last beat as a watcher.
    last_report_number: Cell<u64>,
    /// What the last map of a large fleet's limiters was made of.
    last_limiter_inputs: Cell<Option<LimiterInputs>>,
    /// When others were last notified at once of routers that end.
    departures_sent_at: Cell<Option<Instant>>,
    /// What they are sent next.
    pub(crate) outbox: Outbox,
    /// Wakes the fetcher of configurations.
    newer_configuration: Notify,
    /// Wakes the fetcher of upstreams.
    newer_upstreams: Notify,
}

impl Peers {
    /// A router that knows no peer yet.
    pub fn new(own: MemberUpdate) -> Self {
        Self {
            // Greater than those of former runs, as stamps are.
            last_report_number: Cell::new(own.stamp),
            departures_sent_at: Cell::default(),
            last_limiter_inputs: Cell::default(),
            table: RefCell::default(),
            members: RefCell::new(Membership::new(own)),
            watcher_reports: RefCell::default(),
            reported_size: Cell::default(),
            heartbeat_peers: RefCell::default(),
            outbox: Outbox::default(),
            newer_configuration: Notify::new(),
            newer_upstreams: Notify::new(),
        }
    }

    /// Whether the fleet is too large for heartbeats to all.
    pub fn is_large(&self) -> bool {
        !is_small_fleet(self.count())
    }

    /// Whether any peer has sent something since the start.
    pub fn has_live_members(&self) -> bool {
        self.members.borrow().count() > 0
    }

    /// How many peers there are.
    pub fn count(&self) -> usize {
        let heard = self.reported_size.get().map_or(0, |(size, _)| size);
        let known = self.members.borrow().count();
        known.max(self.table.borrow().count()).max(heard)
    }

    /// Records how many members another router knows.
    pub fn on_reported_size(&self, size: usize, now: Instant) {
        let is_higher = self
            .reported_size
            .get()
            .is_none_or(|(known, _)| size >= known);
        if is_higher {
            self.reported_size.set(Some((size, now)));
        }
    }

    /// The number of this router's next beat as a watcher.
    pub fn next_report_number(&self) -> u64 {
        let next = self.last_report_number.get() + 1;
        self.last_report_number.set(next);
        next
    }

    /// Whether others are notified now of routers that end; it counts as done then.
    pub fn start_departure_report(&self, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < DEPARTURE_REPORT_INTERVAL;
        if !self.members.borrow().has_departures()
            || self.departures_sent_at.get().is_some_and(is_recent)
        {
            return false;
        }
        self.departures_sent_at.set(Some(now));
        true
    }

    /// Records a peer that sends heartbeats to a router of a large fleet.
    pub fn add_heartbeat_peer(&self, peer: SocketAddr, now: Instant) {
        self.heartbeat_peers.borrow_mut().insert(peer, now);
    }

    /// Records a peer that takes part in gossip.
    pub fn remove_heartbeat_peer(&self, peer: SocketAddr) {
        self.heartbeat_peers.borrow_mut().remove(&peer);
    }

    /// The peers that are to be sent heartbeats in a large fleet.
    pub fn heartbeat_peers(&self) -> Vec<SocketAddr> {
        self.heartbeat_peers.borrow().keys().copied().collect()
    }

    /// Records a heartbeat; returns the one before.
    pub fn on_heartbeat(&self, peer: SocketAddr, entry: PeerEntry) -> Option<PeerEntry> {
        let is_new = !self.table.borrow().contains(peer);
        if is_new && !self.is_large() {
            self.outbox.queue_first_heartbeat(peer);
        }
        self.table.borrow_mut().on_heartbeat(peer, entry)
    }

    /// Records the seeds of the settings; those that are not known are greeted.
    pub fn on_seeds(&self, seeds: impl IntoIterator<Item = SocketAddr>, now: Instant) {
        for seed in seeds {
            if self.record_mentioned(seed, now) {
                self.outbox.queue_first_heartbeat(seed);
            }
        }
    }

    /// Records peers that a peer mentioned.
    pub fn on_mentioned(&self, peers: impl IntoIterator<Item = SocketAddr>, now: Instant) {
        for peer in peers {
            if contacts_mentioned_peers(self.count()) && self.record_mentioned(peer, now) {
                self.outbox.queue_first_heartbeat(peer);
            }
        }
    }

    /// Records a peer that was mentioned; returns whether it was not known.
    fn record_mentioned(&self, peer: SocketAddr, now: Instant) -> bool {
        let is_new = self.table.borrow_mut().on_mentioned(peer, now);
        is_new && !self.members.borrow().contains(peer)
    }

    /// Forgets peers that were silent for long.
    pub fn remove_expired(&self, now: Instant) {
        self.table.borrow_mut().remove_expired(now);
        self.members.borrow_mut().remove_expired(now);
        self.watcher_reports.borrow_mut().remove_expired(now);
        let is_recent = |at: Instant| now.saturating_duration_since(at) < LARGE_FLEET_REPORT_TTL;
        self.heartbeat_peers
            .borrow_mut()
            .retain(|_, at| is_recent(*at));
        let heard = self.reported_size.get().filter(|(_, at)| is_recent(*at));
        self.reported_size.set(heard);
    }

    /// The addresses of all peers, alive or not.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        if self.is_large() {
            return self.members.borrow().addresses();
        }
        self.table.borrow().addresses()
    }

    /// The live peers that are ready, and what they say of the store.
    pub fn ready(&self, now: Instant, timeout: Duration) -> Vec<ReadyPeer> {
        if self.is_large() {
            return self.ready_members(now);
        }
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

    fn ready_members(&self, now: Instant) -> Vec<ReadyPeer> {
        let members = self.members.borrow();
        let watcher_reports = self.watcher_reports.borrow();
        let ready = members.live(now).filter(|m| m.state == PeerState::Ready);
        let ready = ready.map(|member| ReadyPeer {
            peer: member.router,
            data_centre: member.data_centre.clone(),
            store_age: watcher_reports.store_age(member.router, now),
        });
        ready.collect()
    }

    /// The addresses of live peers.
    pub fn live(&self, now: Instant, timeout: Duration) -> Vec<SocketAddr> {
        if self.is_large() {
            let members = self.members.borrow();
            return members.live(now).map(|member| member.router).collect();
        }
        let table = self.table.borrow();
        let live = table.live(now, timeout);
        live.map(|(peer, _)| *peer).collect()
    }

    /// The routers that live and serve, this one among them if it does, as far as permits depend on
    /// them; `None` where they are the same as the last time in a large fleet.
    pub fn limiter_map(
        &self,
        own: RouterPlace,
        serves: bool,
        now: Instant,
        timeout: Duration,
    ) -> Option<LimiterMap> {
        let address = own.router;
        let own = serves.then_some(own);
        let ready = |place: &ReadyPeer| RouterPlace {
            router: place.peer,
            data_centre: place.data_centre.clone(),
        };
        if self.is_large() {
            let seen = self.limiter_inputs(serves, now);
            if self.last_limiter_inputs.replace(Some(seen)) == Some(seen) {
                return None;
            }
        }
        let live = self.ready(now, timeout);
        let live = live.iter().map(ready).chain(own);
        let lost = if self.is_large() {
            self.members.borrow().lost_count()
        } else {
            self.table.borrow().lost_count(now, timeout)
        };
        Some(LimiterMap::new(address, live.collect(), lost))
    }

    /// Changes with each change of what [`Peers::limiter_map`] says in a large fleet.
    fn limiter_inputs(&self, serves: bool, now: Instant) -> LimiterInputs {
        let members = self.members.borrow();
        LimiterInputs {
            digest: members.digest(),
            lost: members.lost_count(),
            is_isolated: members.is_isolated(now),
            serves,
        }
    }

    /// The addresses that callers get.
    pub fn addresses_for_callers(
        &self,
        own: Option<SocketAddr>,
        now: Instant,
        timeout: Duration,
    ) -> Vec<SocketAddr> {
        if !self.is_large() {
            let table = self.table.borrow();
            return table.addresses_for_callers(own, now, timeout);
        }
        let members = self.members.borrow();
        let ready = members.live(now).filter(|m| m.state == PeerState::Ready);
        let ready: Vec<SocketAddr> = ready.map(|member| member.callers).collect();
        directory_addresses(own, ready, || members.last_known_ready())
    }

    /// What is known of the peers' use of a service's retry budget.
    pub fn budget_use(
        &self,
        service: &ServiceName,
        now: Instant,
        timeout: Duration,
    ) -> PeerBudgetUse {
        let table = self.table.borrow();
        let key = ServiceKey::of(service);
        if !self.is_large() {
            return PeerBudgetUse {
                total: table.budget_use(key, now, timeout),
                routers: table.live_routers(now, timeout),
                staleness: timeout,
            };
        }
        let live = self.members.borrow().count();
        PeerBudgetUse {
            total: table.budget_estimate(key, live, now, LARGE_FLEET_REPORT_TTL),
            routers: live + 1,
            staleness: LARGE_FLEET_REPORT_TTL,
        }
    }

    /// The live peers that watch the store or try to.
    pub fn watchers(&self, now: Instant, timeout: Duration) -> Vec<SocketAddr> {
        if self.is_large() {
            return self.watcher_reports.borrow().watchers(now);
        }
        let table = self.table.borrow();
        let live = table.live(now, timeout);
        let watchers = live.filter(|(_, entry)| entry.store_age.is_some());
        watchers.map(|(peer, _)| *peer).collect()
    }

    /// The live peers, and one of the versions that each of them reported.
    pub fn versions(
        &self,
        version: impl Fn(&PeerEntry) -> u64,
        own_data_centre: &DataCentre,
        now: Instant,
        timeout: Duration,
    ) -> Vec<PeerVersion> {
        let table = self.table.borrow();
        let is_large = self.is_large();
        let timeout = if is_large {
            LARGE_FLEET_REPORT_TTL
        } else {
            timeout
        };
        let members = self.members.borrow();
        let live = table.live(now, timeout);
        let live = live.filter(|(peer, _)| !members.is_recorded_dead(**peer));
        let versions = live.map(|(peer, entry)| PeerVersion {
            peer: *peer,
            version: version(entry),
            // In a small fleet all are as good.
            is_local: !is_large || entry.data_centre == *own_data_centre,
        });
        versions.collect()
    }

    /// Has a message passed on that was new here, in a large fleet: in a small one its sender has sent
    /// it to all.
    pub fn forward(&self, message: PeerMessage) {
        if self.is_large() {
            self.outbox.send(message, Recipients::ForwardTargets);
        }
    }

    /// Wakes the fetcher of this kind: a peer has a newer version.
    pub fn notify_newer_version(&self, watched: Watched) {
        self.newer_version_notify(watched).notify_one();
    }

    /// Waits until a peer has a newer version of this kind.
    pub async fn wait_for_newer_version(&self, watched: Watched) {
        self.newer_version_notify(watched).notified().await;
    }

    fn newer_version_notify(&self, watched: Watched) -> &Notify {
        match watched {
            Watched::Configuration => &self.newer_configuration,
            Watched::Upstreams => &self.newer_upstreams,
        }
    }
}
