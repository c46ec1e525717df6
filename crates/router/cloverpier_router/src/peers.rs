//! This router's record of its peers, the other routers.
//!
//! [`Peers`] owns the table of peers, the members of a large fleet, the reports of the store's watchers, and
//! the signals that a peer has a newer version; its [`Outbox`] owns the queued messages.
//! [`crate::heartbeats`], [`crate::gossip`] and [`crate::peer_reports`] send and receive.
//! `cloverpier_router_policy::{heartbeat, membership}` decide which peers are sent which messages.
//!
//! In a small fleet, a peer counts as alive for a timeout after its last heartbeat. In a large one, a member
//! counts as alive until a router reports that the member did not reply to probes.

use crate::outbox::{Outbox, Recipients};
use crate::peer_messages::PeerMessage;
use crate::store_view::WatchedData;
use cloverpier_core::{DataCentre, ServiceName};
use cloverpier_router_policy::heartbeat::{contacts_mentioned_peers, is_small_fleet};
use cloverpier_router_policy::membership::{DEPARTURE_REPORT_INTERVAL, MemberUpdate, Membership};
use cloverpier_router_policy::peers::directory_addresses;
use cloverpier_router_policy::permit::{LimiterMap, RouterLocation};
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::store_watch::ReadyPeer;
use cloverpier_router_policy::version_fetch::PeerVersion;
use cloverpier_router_policy::watcher_reports::WatcherReports;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// How long a router's report about itself is valid in a large fleet: its use of retry budgets, its versions,
/// its number of members, and that it sends heartbeats. This time usually equals the window of retry budgets.
const LARGE_FLEET_REPORT_TTL: Duration = Duration::from_secs(10);

/// The inputs to the limiter map of a large fleet. While they are unchanged, the map is, too.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct LimiterInputs {
    /// Digest of the recorded live members and their states.
    digest: u64,
    /// Number of members recorded as dead.
    lost: usize,
    /// Whether this router has received no message for 2.5 s.
    is_isolated: bool,
    /// Whether this router is ready.
    serves: bool,
}

/// The recorded state of all peers, and the queue of messages for them.
#[derive(Debug)]
pub(crate) struct Peers {
    /// The last heartbeat of each peer; in a large fleet, filled from gossip messages, too.
    table: RefCell<PeerTable>,
    /// The members by gossip, which decide in a large fleet which routers are alive.
    pub(crate) members: RefCell<Membership>,
    /// The last reports of the store's watchers, in a large fleet.
    pub(crate) watcher_reports: RefCell<WatcherReports>,
    /// The largest number of members that another router reported recently, and when it did.
    reported_size: Cell<Option<(usize, Instant)>>,
    /// Peers that send heartbeats in a large fleet, because their release has no gossip, and when each last
    /// did.
    heartbeat_peers: RefCell<HashMap<SocketAddr, Instant>>,
    /// Sequence number of this router's last report as a watcher of the store.
    last_report_number: Cell<u64>,
    /// The inputs to the last limiter map of a large fleet.
    last_limiter_inputs: Cell<Option<LimiterInputs>>,
    /// When this router last sent an urgent report of leaving and dead routers.
    departures_sent_at: Cell<Option<Instant>>,
    /// The queue of messages to peers.
    pub(crate) outbox: Outbox,
    /// Wakes the loop that fetches configurations from peers.
    newer_configuration: Notify,
    /// Wakes the loop that fetches upstreams from peers.
    newer_upstreams: Notify,
}

impl Peers {
    /// Creates the record of a router that has no peers yet. `own` is the state that the router reports for
    /// itself.
    pub fn new(own: MemberUpdate) -> Self {
        Self {
            // The stamp is the time of day, so these numbers exceed those of earlier processes at this
            // address.
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

    /// Whether the fleet is too large for heartbeats to all peers, and uses gossip instead: more than 96
    /// peers.
    pub fn is_large(&self) -> bool {
        !is_small_fleet(self.count())
    }

    /// Whether a member is recorded that is not dead. After a start, that is so from the first message of a
    /// peer on.
    pub fn has_live_members(&self) -> bool {
        self.members.borrow().count() > 0
    }

    /// Number of peers: the highest of the number of members, the number of peers in the table, and the
    /// number that another router reported within 10 s.
    pub fn count(&self) -> usize {
        let reported = self.reported_size.get().map_or(0, |(size, _)| size);
        let members = self.members.borrow().count();
        members.max(self.table.borrow().count()).max(reported)
    }

    /// Records the number of members that another router reported, unless a higher one is recorded.
    pub fn on_reported_size(&self, size: usize, now: Instant) {
        let is_higher = self
            .reported_size
            .get()
            .is_none_or(|(recorded, _)| size >= recorded);
        if is_higher {
            self.reported_size.set(Some((size, now)));
        }
    }

    /// Increments and returns the sequence number for this router's reports as a watcher.
    pub fn next_report_number(&self) -> u64 {
        let next = self.last_report_number.get() + 1;
        self.last_report_number.set(next);
        next
    }

    /// Whether to send an urgent report of leaving and dead routers now. If so, records `now` as the time of
    /// the report; two reports are at least 100 ms apart.
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

    /// Records that a peer sent a heartbeat in a large fleet, so that it receives heartbeats, too.
    pub fn add_heartbeat_peer(&self, peer: SocketAddr, now: Instant) {
        self.heartbeat_peers.borrow_mut().insert(peer, now);
    }

    /// Records that a peer sent gossip, so that it receives gossip instead of heartbeats.
    pub fn remove_heartbeat_peer(&self, peer: SocketAddr) {
        self.heartbeat_peers.borrow_mut().remove(&peer);
    }

    /// The peers that receive heartbeats in a large fleet, because their release has no gossip.
    pub fn heartbeat_peers(&self) -> Vec<SocketAddr> {
        self.heartbeat_peers.borrow().keys().copied().collect()
    }

    /// Records a peer's heartbeat and returns the peer's previous one. In a small fleet, a new peer is sent a
    /// first heartbeat.
    pub fn on_heartbeat(&self, peer: SocketAddr, entry: PeerEntry) -> Option<PeerEntry> {
        let is_new = !self.table.borrow().contains(peer);
        if is_new && !self.is_large() {
            self.outbox.queue_first_heartbeat(peer);
        }
        self.table.borrow_mut().on_heartbeat(peer, entry)
    }

    /// Records the seeds from the settings. Seeds without a record so far are sent a first heartbeat.
    pub fn on_seeds(&self, seeds: impl IntoIterator<Item = SocketAddr>, now: Instant) {
        for seed in seeds {
            if self.record_mentioned(seed, now) {
                self.outbox.queue_first_heartbeat(seed);
            }
        }
    }

    /// Records peers that another peer's heartbeat named, and sends new ones a first heartbeat. Does nothing
    /// in a large fleet.
    pub fn on_mentioned(&self, peers: impl IntoIterator<Item = SocketAddr>, now: Instant) {
        for peer in peers {
            if contacts_mentioned_peers(self.count()) && self.record_mentioned(peer, now) {
                self.outbox.queue_first_heartbeat(peer);
            }
        }
    }

    /// Records a peer that was named by the settings or by another peer; returns whether it had no record so
    /// far.
    fn record_mentioned(&self, peer: SocketAddr, now: Instant) -> bool {
        let is_new = self.table.borrow_mut().on_mentioned(peer, now);
        is_new && !self.members.borrow().contains(peer)
    }

    /// Removes peers and members that have been silent or dead for a minute, and expired reports.
    pub fn remove_expired(&self, now: Instant) {
        self.table.borrow_mut().remove_expired(now);
        self.members.borrow_mut().remove_expired(now);
        self.watcher_reports.borrow_mut().remove_expired(now);
        let is_recent = |at: Instant| now.saturating_duration_since(at) < LARGE_FLEET_REPORT_TTL;
        self.heartbeat_peers
            .borrow_mut()
            .retain(|_, at| is_recent(*at));
        let reported = self.reported_size.get().filter(|(_, at)| is_recent(*at));
        self.reported_size.set(reported);
    }

    /// The lowest revision of the list of upstreams that a peer has reported, dead ones included. `None` in a large fleet,
    /// in which no router receives the reports of all others.
    pub fn lowest_upstreams_revision(&self) -> Option<u64> {
        let lowest = self.table.borrow().lowest_upstreams_revision();
        (!self.is_large()).then_some(lowest)
    }

    /// The highest revision of the list of upstreams that a live peer has reported; `None` without a live peer.
    pub fn newest_live_list(&self, now: Instant, timeout: Duration) -> Option<u64> {
        let table = self.table.borrow();
        let live = table.live(now, timeout);
        live.map(|(_, entry)| entry.upstreams_revision).max()
    }

    /// The addresses of all recorded peers, dead ones included.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        if self.is_large() {
            return self.members.borrow().addresses();
        }
        self.table.borrow().addresses()
    }

    /// Whether a recorded peer, dead ones included, has this IP address.
    pub fn has_address(&self, ip: IpAddr) -> bool {
        self.addresses().iter().any(|peer| peer.ip() == ip)
    }

    /// The live and ready peers, with the age of each one's last successful call to the store. `timeout` is
    /// the silence after which a peer of a small fleet no longer counts as alive.
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
            // The heartbeat contains the age at the time of its sending.
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

    /// The addresses of live peers. `timeout` applies in a small fleet, as in [`Peers::ready`].
    pub fn live(&self, now: Instant, timeout: Duration) -> Vec<SocketAddr> {
        if self.is_large() {
            let members = self.members.borrow();
            return members.live(now).map(|member| member.router).collect();
        }
        let table = self.table.borrow();
        let live = table.live(now, timeout);
        live.map(|(peer, _)| *peer).collect()
    }

    /// The live and ready routers by which the limiter of each upstream is chosen. `own` is included if this
    /// router `serves`, that is, if it is ready. `None` in a large fleet if the map is the same as that of
    /// the last call.
    pub fn limiter_map(
        &self,
        own: RouterLocation,
        serves: bool,
        now: Instant,
        timeout: Duration,
    ) -> Option<LimiterMap> {
        let address = own.router;
        let own = serves.then_some(own);
        let ready = |place: &ReadyPeer| RouterLocation {
            router: place.peer,
            data_centre: place.data_centre.clone(),
        };
        if self.is_large() {
            let inputs = self.limiter_inputs(serves, now);
            if self.last_limiter_inputs.replace(Some(inputs)) == Some(inputs) {
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

    /// The inputs to [`Peers::limiter_map`] in a large fleet, which differ whenever the map does.
    fn limiter_inputs(&self, serves: bool, now: Instant) -> LimiterInputs {
        let members = self.members.borrow();
        LimiterInputs {
            digest: members.digest(),
            lost: members.lost_count(),
            is_isolated: members.is_isolated(now),
            serves,
        }
    }

    /// The directory for callers: addresses of live and ready routers. `own` is this router's address for
    /// callers, or `None` while it is not ready.
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

    /// The peers' use of a service's retry budget: the total of their reports in a small fleet, and an
    /// estimate from the reports of some of them in a large one.
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

    /// The addresses of live peers that watch the store or try to.
    pub fn watchers(&self, now: Instant, timeout: Duration) -> Vec<SocketAddr> {
        if self.is_large() {
            return self.watcher_reports.borrow().watchers(now);
        }
        let table = self.table.borrow();
        let live = table.live(now, timeout);
        let watchers = live.filter(|(_, entry)| entry.store_age.is_some());
        watchers.map(|(peer, _)| *peer).collect()
    }

    /// The live peers with the version that `version` selects from each one's last report. Peers that are
    /// recorded as dead are left out. In a large fleet, so are peers without a report within 10 s, and only
    /// those of `own_data_centre` count as local.
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
            // In a small fleet, fetches don't prefer a data centre.
            is_local: !is_large || entry.data_centre == *own_data_centre,
        });
        versions.collect()
    }

    /// Forwards a message that this router received for the first time. In a small fleet that is not
    /// necessary, because the sender sent it to all peers.
    pub fn forward(&self, message: PeerMessage) {
        if self.is_large() {
            self.outbox.send(message, Recipients::ForwardTargets);
        }
    }

    /// Wakes the loop that fetches this kind of data, because a peer has a newer version.
    pub fn notify_newer_version(&self, watched: WatchedData) {
        self.newer_version_notify(watched).notify_one();
    }

    /// Waits until a peer reports a newer version of this kind of data.
    pub async fn wait_for_newer_version(&self, watched: WatchedData) {
        self.newer_version_notify(watched).notified().await;
    }

    fn newer_version_notify(&self, watched: WatchedData) -> &Notify {
        match watched {
            WatchedData::Configuration => &self.newer_configuration,
            WatchedData::Upstreams => &self.newer_upstreams,
        }
    }
}
