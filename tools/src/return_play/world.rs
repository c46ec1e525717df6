//! The model: callers, routers by what they know, upstreams with slots and queues.

use super::{ReturnOutcome, ReturnSpec};
use cloverpier_core::{DataCentre, ServiceName, UpstreamName};
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::refusal::Refusal;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

const SERVICE: &str = "lookups";
/// The upstreams begin to want nothing.
const FROM: Duration = Duration::from_secs(2);
/// Requests arrive for so long after that time is over.
const AFTERWARDS: Duration = Duration::from_secs(6);
/// From a router to an upstream or back, at most.
const MOST_WAY: Duration = Duration::from_millis(4);
/// Upstreams that a router tries for a request.
const TRIES: usize = 3;

/// A request of a caller, at a router.
#[derive(Clone)]
struct Sending {
    router: usize,
    first_sent: Duration,
    tried: Vec<UpstreamName>,
}

enum Event {
    Arrive,
    Return(Sending),
    Reach {
        sending: Sending,
        upstream: usize,
    },
    Run {
        sending: Sending,
        upstream: usize,
    },
    Answer {
        sending: Sending,
        upstream: usize,
        said: Said,
    },
}

/// What an upstream answers.
#[derive(Clone, Copy)]
enum Said {
    Done,
    NoRoom,
    WantsNothing(Duration),
}

struct PlayedUpstream {
    name: UpstreamName,
    running: u32,
    queue: VecDeque<Sending>,
}

pub(super) struct World {
    spec: ReturnSpec,
    rng: fastrand::Rng,
    base: Instant,
    now: Duration,
    tables: Vec<UpstreamTable>,
    upstreams: Vec<PlayedUpstream>,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    events: HashMap<u64, Event>,
    scheduled: u64,
    outcome: ReturnOutcome,
}

fn entry(index: usize, slots: u32) -> Upstream {
    let port = 9_000 + u16::try_from(index).unwrap_or(u16::MAX);
    Upstream {
        name: UpstreamName::new(format!("u{index}")),
        service: ServiceName::new(SERVICE),
        address: ([127, 0, 0, 1], port).into(),
        data_centre: DataCentre::new("hall-0"),
        slots,
        draining: false,
        start: None,
    }
}

fn one_request() -> Load {
    Load {
        requests: 1,
        ..Load::default()
    }
}

impl World {
    pub fn new(spec: ReturnSpec) -> Self {
        let base = Instant::now();
        let entries: Vec<_> = (0..spec.upstreams).map(|i| entry(i, spec.slots)).collect();
        let table = || {
            let mut table = UpstreamTable::default();
            table.apply_list(entries.clone(), 1, base);
            table
        };
        let upstreams = entries.iter().map(|entry| PlayedUpstream {
            name: entry.name.clone(),
            running: 0,
            queue: VecDeque::new(),
        });
        Self {
            rng: fastrand::Rng::with_seed(spec.seed),
            base,
            now: Duration::ZERO,
            tables: (0..spec.routers).map(|_| table()).collect(),
            upstreams: upstreams.collect(),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            scheduled: 0,
            outcome: ReturnOutcome::default(),
            spec,
        }
    }

    pub fn play(mut self) -> ReturnOutcome {
        self.schedule_in(Duration::ZERO, Event::Arrive);
        while let Some(Reverse((at, number))) = self.queue.pop() {
            self.now = at;
            if let Some(event) = self.events.remove(&number) {
                self.on(event);
            }
        }
        self.outcome
    }

    fn on(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Return(sending) => self.send(sending),
            Event::Reach { sending, upstream } => self.reach(sending, upstream),
            Event::Run { sending, upstream } => self.end_run(sending, upstream),
            Event::Answer {
                sending,
                upstream,
                said,
            } => self.answer(sending, upstream, said),
        }
    }

    fn schedule_in(&mut self, time: Duration, event: Event) {
        self.scheduled += 1;
        self.queue.push(Reverse((self.now + time, self.scheduled)));
        self.events.insert(self.scheduled, event);
    }

    /// A time drawn from an exponential distribution.
    fn draw(&mut self, mean: Duration) -> Duration {
        mean.mul_f64(-self.rng.f64().max(1e-9).ln())
    }

    fn way(&mut self) -> Duration {
        MOST_WAY.mul_f64(self.rng.f64())
    }

    fn arrive(&mut self) {
        if self.now > FROM + self.spec.wait + AFTERWARDS {
            return;
        }
        let places = f64::from(self.spec.slots) * self.spec.upstreams as f64;
        let mean = self.spec.work.div_f64(places * self.spec.demand);
        let pause = self.draw(mean);
        self.schedule_in(pause, Event::Arrive);
        self.outcome.requests += 1;
        let sending = Sending {
            router: 0,
            first_sent: self.now,
            tried: Vec::new(),
        };
        self.send(sending);
    }

    /// Sends a request for the first time or again, by any router.
    fn send(&mut self, sending: Sending) {
        let router = self.rng.usize(..self.spec.routers);
        self.attempt(Sending {
            router,
            tried: Vec::new(),
            ..sending
        });
    }

    fn attempt(&mut self, sending: Sending) {
        match self.choose(&sending) {
            Ok(upstream) => {
                let name = &self.upstreams[upstream].name;
                self.tables[sending.router].add_load(name, one_request());
                let way = self.way();
                self.schedule_in(way, Event::Reach { sending, upstream });
            }
            Err(refusal) => self.refuse(sending, refusal),
        }
    }

    fn choose(&mut self, sending: &Sending) -> Result<usize, Refusal> {
        let service = ServiceName::new(SERVICE);
        let table = &self.tables[sending.router];
        let now = self.base + self.now;
        let demand = Demand {
            service: &service,
            home: &DataCentre::new("hall-0"),
            load: one_request(),
            engine_memory: None,
            affinity: None,
            prompt_location: None,
            is_continuation: false,
            tried: &sending.tried,
            connected: &HashSet::new(),
            suspect_content: None,
            overcommit: false,
            reported: &ReportedLoad::default(),
            versions: &VersionRule::ANY,
            limits: &LimitedUpstreams::NONE,
            now,
        };
        let is_tried = sending.tried.len() >= TRIES;
        let chosen = (!is_tried).then(|| choose_upstream(table, &demand, &mut self.rng));
        let objective = self.spec.objective;
        if let Some(Choice::Upstream(chosen)) = chosen
            && let Some(index) = self.upstreams.iter().position(|u| u.name == chosen.name)
        {
            return Ok(index);
        }
        Err(match table.wait_of_service(&service, now) {
            Some(wait) => Refusal::UpstreamsPaused { wait, objective },
            None => Refusal::NoUpstream { objective },
        })
    }

    fn refuse(&mut self, sending: Sending, refusal: Refusal) {
        self.outcome.refusals += 1;
        let after = self.spec.returns.after(refusal);
        if self.now + after < sending.first_sent + self.spec.objective {
            self.schedule_in(after, Event::Return(sending));
        }
    }

    fn reach(&mut self, sending: Sending, upstream: usize) {
        let until = FROM + self.spec.wait;
        if (FROM..until).contains(&self.now) {
            let said = Said::WantsNothing(until - self.now);
            return self.reply(sending, upstream, said);
        }
        let state = &mut self.upstreams[upstream];
        if state.running < self.spec.slots {
            state.running += 1;
            let work = self.draw(self.spec.work);
            self.schedule_in(work, Event::Run { sending, upstream });
        } else if state.queue.len() < self.spec.queue {
            state.queue.push_back(sending);
        } else {
            self.outcome.turned_away += 1;
            self.reply(sending, upstream, Said::NoRoom);
        }
    }

    fn reply(&mut self, sending: Sending, upstream: usize, said: Said) {
        let way = self.way();
        self.schedule_in(
            way,
            Event::Answer {
                sending,
                upstream,
                said,
            },
        );
    }

    fn end_run(&mut self, sending: Sending, upstream: usize) {
        self.reply(sending, upstream, Said::Done);
        let state = &mut self.upstreams[upstream];
        state.running -= 1;
        if let Some(sending) = state.queue.pop_front() {
            state.running += 1;
            let work = self.draw(self.spec.work);
            self.schedule_in(work, Event::Run { sending, upstream });
        }
    }

    fn answer(&mut self, mut sending: Sending, upstream: usize, said: Said) {
        let name = self.upstreams[upstream].name.clone();
        let table = &mut self.tables[sending.router];
        table.remove_load(&name, one_request());
        match said {
            Said::Done => {
                let took = self.now - sending.first_sent;
                self.outcome.in_time += usize::from(took <= self.spec.objective);
                return;
            }
            Said::WantsNothing(time) => {
                table.on_wait(&name, time, self.base + self.now);
            }
            Said::NoRoom => {}
        }
        sending.tried.push(name);
        self.attempt(sending);
    }
}
