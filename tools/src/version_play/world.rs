//! Time and events of the play.

use super::engines::Engine;
use super::faults::Fault;
use super::lookups::LookupRun;
use super::messages::Datagram;
use super::routers::SimRouter;
use super::streams::Stream;
use super::{VersionOutcome, VersionSpec};
use cloverpier_core::ServiceName;
use cloverpier_router_policy::prelude::*;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Data centres of routers and of engines.
pub(super) const DATA_CENTRES: usize = 4;
/// The routers know each other and the list before the first stream begins.
pub(super) const LEAD: Duration = Duration::from_secs(4);
/// How long the play goes on after the last stream began.
const TAIL: Duration = Duration::from_secs(12);

/// Something that happens at a moment.
#[derive(Clone, Debug)]
pub(super) enum Event {
    /// A caller asks for a new stream.
    Arrive,
    /// A caller's request for a stream reaches a router.
    Request { stream: usize },
    /// An engine has written the first event of an attempt.
    FirstOutput { stream: usize, attempt: u32 },
    /// The time for acknowledgements of a stream's record is over.
    RecordTimeout { stream: usize, attempt: u32 },
    /// A stream that lacks an engine of its version looks for one again.
    RetryEngine { stream: usize, attempt: u32 },
    /// A stream has had its last event.
    StreamEnd { stream: usize, attempt: u32 },
    /// A datagram arrives.
    Deliver { to: usize, datagram: Box<Datagram> },
    /// A lookup repeats its queries, or ends.
    LookupTimer { number: u64, is_last: bool },
    /// The store has answered a router's question how recent its list is.
    StoreAnswer { router: usize },
    /// A router applies the newest list that it can have.
    ListArrives { router: usize },
    /// A watcher's watch is answered without changes.
    WatchEnds { router: usize },
    /// A router sends the records of its streams again, and reports its list.
    Refresh { router: usize },
    /// Something goes wrong, or ends.
    Fault(Fault),
}

/// A running play.
pub(super) struct World {
    pub(super) spec: VersionSpec,
    pub(super) start: Instant,
    pub(super) now: Duration,
    pub(super) rng: fastrand::Rng,
    pub(super) service: ServiceName,
    pub(super) engines: Vec<Engine>,
    /// The list of engines in the store, and its revision.
    pub(super) listed: Vec<Upstream>,
    pub(super) revision: u64,
    pub(super) is_store_away: bool,
    /// Services that the store's marks name; there is one service.
    pub(super) is_marked: bool,
    pub(super) routers: Vec<SimRouter>,
    pub(super) by_address: HashMap<SocketAddr, usize>,
    pub(super) streams: Vec<Stream>,
    pub(super) lookups: HashMap<u64, LookupRun>,
    pub(super) last_number: u64,
    pub(super) outcome: VersionOutcome,
    events: BinaryHeap<Reverse<(Duration, u64)>>,
    pending: HashMap<u64, Event>,
    scheduled: u64,
}

/// Plays some releases.
pub fn play(spec: VersionSpec) -> VersionOutcome {
    World::new(spec).run()
}

impl World {
    fn new(spec: VersionSpec) -> Self {
        let mut world = Self {
            spec,
            start: Instant::now(),
            now: Duration::ZERO,
            rng: fastrand::Rng::with_seed(spec.seed),
            service: "drafts".into(),
            engines: Vec::new(),
            listed: Vec::new(),
            revision: 1,
            is_store_away: false,
            is_marked: false,
            routers: Vec::new(),
            by_address: HashMap::new(),
            streams: Vec::new(),
            lookups: HashMap::new(),
            last_number: 0,
            outcome: VersionOutcome::default(),
            events: BinaryHeap::new(),
            pending: HashMap::new(),
            scheduled: 0,
        };
        world.start_engines();
        world.start_routers();
        world.schedule_faults();
        world.schedule_in(LEAD, Event::Arrive);
        world
    }

    fn run(mut self) -> VersionOutcome {
        let end = LEAD + self.spec.time + TAIL;
        while let Some(Reverse((at, number))) = self.events.pop() {
            if at > end {
                break;
            }
            self.now = at;
            if let Some(event) = self.pending.remove(&number) {
                self.on_event(event);
            }
        }
        self.outcome
    }

    pub(super) fn schedule_in(&mut self, after: Duration, event: Event) {
        self.scheduled += 1;
        self.events
            .push(Reverse((self.now + after, self.scheduled)));
        self.pending.insert(self.scheduled, event);
    }

    /// The present moment on the routers' clocks.
    pub(super) fn instant(&self) -> Instant {
        self.start + self.now
    }

    /// A random time between two bounds, in milliseconds.
    pub(super) fn ms_between(&mut self, least: u64, most: u64) -> Duration {
        Duration::from_millis(self.rng.u64(least..=most))
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Arrive => self.on_arrival(),
            Event::Request { stream } => self.on_request(stream),
            Event::FirstOutput { stream, attempt } => self.on_first_event(stream, attempt),
            Event::RecordTimeout { stream, attempt } => self.pass_first_event(stream, attempt),
            Event::RetryEngine { stream, attempt } => self.retry_engine(stream, attempt),
            Event::StreamEnd { stream, attempt } => self.on_stream_end(stream, attempt),
            Event::Deliver { to, datagram } => self.on_datagram(to, *datagram),
            Event::LookupTimer { number, is_last } => self.on_lookup_timer(number, is_last),
            Event::StoreAnswer { router } => self.on_store_answer(router),
            Event::ListArrives { router } => self.on_list_arrival(router),
            Event::WatchEnds { router } => self.on_watch_end(router),
            Event::Refresh { router } => self.on_refresh(router),
            Event::Fault(fault) => self.on_fault(fault),
        }
    }

    pub(super) fn schedule_next_arrival(&mut self) {
        let pause = -(1.0 - self.rng.f64()).ln() / self.spec.per_second;
        let pause = Duration::from_secs_f64(pause);
        if self.now + pause < LEAD + self.spec.time {
            self.schedule_in(pause, Event::Arrive);
        }
    }
}
