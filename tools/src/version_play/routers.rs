//! The routers of the play: their processes, and the peers that each counts as alive.

use super::lists::WATCHERS;
use super::messages::Datagram;
use super::world::{DATA_CENTRES, Event, World};
use cloverpier_core::DataCentre;
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::store_watch::{ReadyPeer, WATCH_WAIT};
use cloverpier_router_policy::stream_version::OriginRecords;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// From the death of a router to the moment at which its peers count it as dead.
pub(super) const DETECTION: Duration = Duration::from_millis(1_100);
/// From the start of a router to the moment at which it has a list and knows its peers.
const START: Duration = Duration::from_millis(150);
/// Fleets with more routers pass messages on, and no router knows the lists of all others.
pub(super) const SMALL_FLEET: usize = 97;
/// For how long a router has to have been in touch before returns at it count.
const CONTACT: Duration = Duration::from_secs(3);

/// One router.
pub(super) struct SimRouter {
    pub address: SocketAddr,
    pub data_centre: DataCentre,
    /// When the process started; `None` while there is none.
    pub started: Option<Duration>,
    /// When the last process ended.
    pub ended: Duration,
    pub is_cut_from_peers: bool,
    pub is_cut_from_store: bool,
    pub is_suspended: bool,
    /// When something last went wrong here.
    pub harmed: Duration,
    /// Whether it stops, and takes no new requests.
    pub is_stopping: bool,
    pub table: UpstreamTable,
    pub history: VersionHistory,
    pub records: OriginRecords,
    pub list_confirmed_at: Option<Instant>,
    /// Whether a changed list is on its way to it.
    pub is_list_coming: bool,
    /// The revision that its peers have last heard from it.
    pub reported_revision: u64,
    /// The streams that it relays and that can be named.
    pub relayed: HashMap<StreamKey, StreamOrigin>,
    /// Datagrams that wait until it is resumed.
    pub held: Vec<Datagram>,
}

impl World {
    pub(super) fn start_routers(&mut self) {
        for index in 0..self.spec.routers {
            let address = SocketAddr::from(([10, 0, (index >> 8) as u8, index as u8], 7_104));
            let centre = index * DATA_CENTRES / self.spec.routers;
            self.by_address.insert(address, index);
            self.routers.push(SimRouter {
                address,
                data_centre: DataCentre::new(format!("hall-{centre}")),
                started: None,
                ended: Duration::ZERO,
                is_cut_from_peers: false,
                is_cut_from_store: false,
                is_suspended: false,
                harmed: Duration::ZERO,
                is_stopping: false,
                table: UpstreamTable::default(),
                history: VersionHistory::default(),
                records: OriginRecords::default(),
                list_confirmed_at: None,
                is_list_coming: false,
                reported_revision: 0,
                relayed: HashMap::new(),
                held: Vec::new(),
            });
            self.start_router(index);
            let phase = self.ms_between(0, 1_000);
            self.schedule_in(phase, Event::Refresh { router: index });
            let phase = self.ms_between(0, WATCH_WAIT.as_millis() as u64);
            self.schedule_in(phase, Event::WatchEnds { router: index });
        }
    }

    /// Starts a router's process, which knows nothing.
    pub(super) fn start_router(&mut self, index: usize) {
        let now = self.now;
        let router = &mut self.routers[index];
        if router.started.is_some() {
            return;
        }
        router.started = Some(now);
        router.harmed = now;
        router.is_stopping = false;
        router.table = UpstreamTable::default();
        router.history = VersionHistory::default();
        router.records = OriginRecords::default();
        router.list_confirmed_at = None;
        router.reported_revision = 0;
        router.relayed.clear();
        router.held.clear();
        // Seeds read the store; the others get the list from them.
        let delay = self.ms_between(20, 140);
        self.schedule_in(delay, Event::ListArrives { router: index });
        if index < WATCHERS {
            self.schedule_in(delay, Event::StoreAnswer { router: index });
        }
    }

    /// Ends a router's process; the streams that it relays break.
    pub(super) fn kill_router(&mut self, index: usize) {
        let now = self.now;
        let router = &mut self.routers[index];
        if router.started.take().is_none() {
            return;
        }
        router.ended = now;
        router.harmed = now;
        router.relayed.clear();
        self.break_streams_of(index);
    }

    /// Whether a router's process runs and takes requests.
    pub(super) fn serves(&self, index: usize) -> bool {
        let router = &self.routers[index];
        let is_started = router.started.is_some_and(|at| self.now >= at + START);
        is_started && !router.is_stopping && !router.is_suspended && router.table.revision() > 0
    }

    pub(super) fn is_running(&self, index: usize) -> bool {
        self.routers[index].started.is_some()
    }

    /// Whether datagrams between two routers arrive.
    pub(super) fn can_talk(&self, a: usize, b: usize) -> bool {
        let is_cut = |index: usize| self.routers[index].is_cut_from_peers;
        a == b || !(is_cut(a) || is_cut(b))
    }

    /// Whether a router has been in touch with the store and the others for some seconds.
    pub(super) fn is_in_touch(&self, index: usize) -> bool {
        let router = &self.routers[index];
        let is_whole =
            !router.is_cut_from_peers && !router.is_cut_from_store && !router.is_suspended;
        is_whole && !self.is_store_away && self.now >= router.harmed + CONTACT
    }

    /// Whether a router counts another one as alive.
    fn counts_as_alive(&self, viewer: usize, other: usize) -> bool {
        let viewed = &self.routers[other];
        let is_known = match viewed.started {
            Some(at) => self.now >= at + START,
            None => self.now < viewed.ended + DETECTION,
        };
        // A router that is cut off counts as dead after a while, as the others do for it.
        let is_cut = !self.can_talk(viewer, other);
        let cut_since = viewed.harmed.max(self.routers[viewer].harmed);
        is_known && !viewed.is_stopping && !(is_cut && self.now >= cut_since + DETECTION)
    }

    /// The peers of a router as it sees them.
    pub(super) fn ready_peers(&self, viewer: usize) -> Vec<ReadyPeer> {
        let others = (0..self.routers.len()).filter(|other| *other != viewer);
        let alive: Vec<usize> = others
            .filter(|o| self.counts_as_alive(viewer, *o))
            .collect();
        let watchers: HashSet<usize> = self.watchers().into_iter().collect();
        let peer = |index: &usize| ReadyPeer {
            peer: self.routers[*index].address,
            data_centre: self.routers[*index].data_centre.clone(),
            store_age: watchers
                .contains(index)
                .then_some(Duration::from_millis(200)),
        };
        alive.iter().map(peer).collect()
    }

    /// Each second, a router reports its list, updates its history and sends the records of its streams again.
    pub(super) fn on_refresh(&mut self, index: usize) {
        self.schedule_in(Duration::from_secs(1), Event::Refresh { router: index });
        if !self.is_running(index) || self.routers[index].is_suspended {
            return;
        }
        self.record_versions(index);
        if !self.routers[index].is_cut_from_peers {
            self.routers[index].reported_revision = self.routers[index].table.revision();
        }
        self.send_records(index);
    }
}
