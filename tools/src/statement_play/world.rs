//! The model: upstreams, routers by what they know, requests, and what is counted.

use super::{DRAIN, HEARTBEAT, StatementOutcome, StatementSpec, Trouble};
use cloverpier_core::{DataCentre, ServiceName, UpstreamName};
use cloverpier_router_policy::prelude::*;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::time::{Duration, Instant};

const SERVICE: &str = "lookups";
/// When the first starts began, as a Unix time in milliseconds.
const BORN_MS: u64 = 1_790_000_000_000;
const LENGTH: Duration = Duration::from_secs(14);
/// Upstreams begin to leave, and to turn requests away, until then.
const BEGIN_WITHIN: Duration = Duration::from_secs(6);
/// One that leaves serves on for so long, and is back under its name a second later.
const SERVES_ON: Duration = Duration::from_millis(2_500);
/// As above.
const BACK_AFTER: Duration = Duration::from_millis(1_000);
/// A request is on its way to an upstream, and an answer back, at least and at most so long.
const LEAST_WAY: Duration = Duration::from_millis(1);
/// As above.
const MOST_WAY: Duration = Duration::from_millis(5);
const WORK: Duration = Duration::from_millis(30);
/// What is under way when an upstream wants nothing may reach it so long: the users' bound.
const UNDER_WAY: Duration = Duration::from_millis(500);
/// How often a list that was read before arrives at some router.
const OLD_LIST_EACH: Duration = Duration::from_millis(700);
/// A router is in touch again so long after it was cut off or started: the users' bound.
const CONTACT: Duration = Duration::from_secs(3);
/// The way to a caller and back is left out; a request is tried this many times.
const TRIES: usize = 3;

pub(super) enum Event {
    Arrive,
    Reach {
        sending: Sending,
        upstream: usize,
    },
    Answer {
        sending: Sending,
        upstream: usize,
        said: Said,
    },
    Heartbeat {
        router: usize,
    },
    News {
        router: usize,
        news: usize,
    },
    OldList,
    UpstreamBack {
        upstream: usize,
    },
    Kill {
        router: usize,
    },
    Started {
        router: usize,
    },
    Healed,
}

/// A request at a router.
#[derive(Clone)]
pub(super) struct Sending {
    router: usize,
    /// The router's start that has it.
    life: u32,
    sent: Duration,
    tried: Vec<UpstreamName>,
}

/// What an answer says.
#[derive(Clone, Copy)]
pub(super) struct Said {
    born_ms: u64,
    is_leaving: bool,
    wait: Option<Duration>,
}

struct Upstreams {
    entry: Upstream,
    leaves_at: Option<Duration>,
    is_back: bool,
    /// When it turns requests away, and until when.
    turns_away: Option<(Duration, Duration)>,
    /// When each router first passed on an answer in which the first start said that it leaves.
    passed_on: HashMap<usize, Duration>,
    /// The same of any router in touch.
    passed_on_in_touch: Option<Duration>,
    /// When each router was told to wait, until when, and the arrivals meanwhile.
    told_to_wait: HashMap<usize, (Duration, Duration, usize)>,
}

pub(super) struct Router {
    pub table: UpstreamTable,
    pub last_news: Option<Instant>,
    pub is_up: bool,
    pub is_cut_off: bool,
    pub in_touch_from: Duration,
    pub bytes: usize,
    life: u32,
    revision: u64,
}

pub(super) struct World {
    pub spec: StatementSpec,
    pub rng: fastrand::Rng,
    pub now: Duration,
    pub routers: Vec<Router>,
    pub news: Vec<Vec<LeavingReport>>,
    base: Instant,
    upstreams: Vec<Upstreams>,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    events: HashMap<u64, Event>,
    scheduled: u64,
    outcome: StatementOutcome,
}

fn entry(index: usize, born_ms: u64) -> Upstream {
    let port = 9_000 + u16::try_from(index).unwrap_or(u16::MAX);
    Upstream {
        name: UpstreamName::new(format!("u{index}")),
        service: ServiceName::new(SERVICE),
        address: ([127, 0, 0, 1], port).into(),
        data_centre: DataCentre::new(format!("hall-{}", index % 3)),
        slots: 16,
        draining: false,
        start: Some(UpstreamStart {
            version: "v1".into(),
            born_ms: Some(born_ms),
        }),
    }
}

impl World {
    pub fn new(spec: StatementSpec) -> Self {
        let mut rng = fastrand::Rng::with_seed(spec.seed);
        let mut within = |time: Duration| time.mul_f64(rng.f64());
        let upstreams = (0..spec.upstreams).map(|index| {
            let leaves = index < spec.leavings;
            let turns_away = !leaves && index < spec.leavings + spec.waits;
            Upstreams {
                entry: entry(index, BORN_MS),
                leaves_at: leaves.then(|| within(BEGIN_WITHIN)),
                is_back: false,
                turns_away: turns_away.then(|| {
                    let from = within(BEGIN_WITHIN);
                    (
                        from,
                        from + Duration::from_secs(1) + within(Duration::from_secs(1)),
                    )
                }),
                passed_on: HashMap::new(),
                passed_on_in_touch: None,
                told_to_wait: HashMap::new(),
            }
        });
        let upstreams = upstreams.collect();
        let mut world = Self {
            rng,
            now: Duration::ZERO,
            routers: Vec::new(),
            news: Vec::new(),
            base: Instant::now(),
            upstreams,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            scheduled: 0,
            outcome: StatementOutcome::default(),
            spec,
        };
        world.routers = (0..spec.routers).map(|_| world.new_router()).collect();
        world
    }

    fn new_router(&self) -> Router {
        let mut table = UpstreamTable::default();
        table.apply_list(self.old_list(), 1, self.instant());
        Router {
            table,
            last_news: None,
            is_up: true,
            is_cut_off: false,
            in_touch_from: Duration::ZERO,
            bytes: 0,
            life: 0,
            revision: 1,
        }
    }

    /// The list as it was before anything happened: all are ready.
    fn old_list(&self) -> Vec<Upstream> {
        (0..self.spec.upstreams)
            .map(|i| entry(i, BORN_MS))
            .collect()
    }

    pub fn instant(&self) -> Instant {
        self.base + self.now
    }

    pub fn schedule_in(&mut self, time: Duration, event: Event) {
        self.scheduled += 1;
        self.queue.push(Reverse((self.now + time, self.scheduled)));
        self.events.insert(self.scheduled, event);
    }

    fn way(&mut self) -> Duration {
        LEAST_WAY + (MOST_WAY - LEAST_WAY).mul_f64(self.rng.f64())
    }

    pub fn play(mut self) -> StatementOutcome {
        self.schedule_all();
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at > LENGTH {
                break;
            }
            self.now = at;
            if let Some(event) = self.events.remove(&number) {
                self.on(event);
            }
        }
        self.now = LENGTH;
        self.count_unused();
        self.outcome.most_bytes = self.routers.iter().map(|r| r.bytes).max().unwrap_or(0);
        self.outcome
    }

    fn schedule_all(&mut self) {
        self.schedule_in(Duration::ZERO, Event::Arrive);
        self.schedule_in(OLD_LIST_EACH, Event::OldList);
        for router in 0..self.spec.routers {
            let phase = HEARTBEAT.mul_f64(self.rng.f64());
            self.schedule_in(phase, Event::Heartbeat { router });
        }
        for upstream in 0..self.spec.upstreams {
            if let Some(at) = self.upstreams[upstream].leaves_at {
                let back = at + SERVES_ON + BACK_AFTER;
                self.schedule_in(back, Event::UpstreamBack { upstream });
            }
        }
        match self.spec.trouble {
            Trouble::None => {}
            Trouble::CutOff => {
                for router in self.routers.iter_mut().step_by(4) {
                    router.is_cut_off = true;
                }
                self.schedule_in(Duration::from_secs(5), Event::Healed);
            }
            Trouble::Replaced => {
                for router in 0..self.spec.routers {
                    let at = Duration::from_secs(8).mul_f64(self.rng.f64());
                    self.schedule_in(at, Event::Kill { router });
                }
            }
        }
    }

    fn on(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Reach { sending, upstream } => self.reach(sending, upstream),
            Event::Answer {
                sending,
                upstream,
                said,
            } => self.answer(sending, upstream, said),
            Event::Heartbeat { router } => self.heartbeat(router),
            Event::News { router, news } => self.on_news(router, news),
            Event::OldList => self.old_list_arrives(),
            Event::UpstreamBack { upstream } => self.upstream_back(upstream),
            Event::Kill { router } => self.kill(router),
            Event::Started { router } => self.started(router),
            Event::Healed => self.healed(),
        }
    }

    fn arrive(&mut self) {
        let pause = Duration::from_secs_f64(-self.rng.f64().max(1e-9).ln() / self.spec.requests);
        self.schedule_in(pause, Event::Arrive);
        let router = self.rng.usize(..self.spec.routers);
        if !self.routers[router].is_up {
            return;
        }
        self.outcome.requests += 1;
        let sending = Sending {
            router,
            life: self.routers[router].life,
            sent: self.now,
            tried: Vec::new(),
        };
        self.send(sending);
    }

    fn send(&mut self, sending: Sending) {
        let Some(upstream) = self.choose(sending.router, &sending.tried) else {
            self.outcome.refused += 1;
            return;
        };
        let table = &mut self.routers[sending.router].table;
        table.add_load(&self.upstreams[upstream].entry.name, one_request());
        let way = self.way();
        self.schedule_in(way, Event::Reach { sending, upstream });
    }

    fn choose(&mut self, router: usize, tried: &[UpstreamName]) -> Option<usize> {
        let demand = Demand {
            service: &ServiceName::new(SERVICE),
            home: &DataCentre::new("hall-0"),
            load: one_request(),
            engine_memory: None,
            affinity: None,
            prompt_location: None,
            is_continuation: false,
            tried,
            connected: &HashSet::new(),
            apart: None,
            overcommit: false,
            reported: &ReportedLoad::default(),
            versions: &VersionRule::ANY,
            now: self.base + self.now,
        };
        let chosen = choose_upstream(&self.routers[router].table, &demand, &mut self.rng);
        let Choice::Upstream(chosen) = chosen else {
            return None;
        };
        self.upstreams
            .iter()
            .position(|u| u.entry.name == chosen.name)
    }

    fn reach(&mut self, sending: Sending, upstream: usize) {
        self.count_arrival(&sending, upstream);
        let now = self.now;
        let state = &self.upstreams[upstream];
        let is_leaving = state.is_leaving(now);
        let wait = state
            .turns_away
            .filter(|(from, until)| (*from..*until).contains(&now));
        let said = Said {
            born_ms: if state.is_back { BORN_MS + 1 } else { BORN_MS },
            is_leaving,
            wait: wait.map(|(_, until)| until - now),
        };
        let work = if wait.is_some() { Duration::ZERO } else { WORK };
        let way = self.way();
        let answer = Event::Answer {
            sending,
            upstream,
            said,
        };
        self.schedule_in(work + way, answer);
    }

    fn count_arrival(&mut self, sending: &Sending, upstream: usize) {
        let now = self.now;
        let in_touch = self.is_in_touch(sending.router);
        let state = &mut self.upstreams[upstream];
        if state.is_leaving(now) {
            let own = state.passed_on.get(&sending.router);
            let is_late = own.is_some_and(|at| sending.sent > *at + DRAIN);
            self.outcome.after_own_answer += usize::from(is_late);
            let any = state.passed_on_in_touch;
            let is_late = in_touch && any.is_some_and(|at| sending.sent > at + HEARTBEAT);
            self.outcome.after_any_answer += usize::from(is_late);
        }
        if let Some((from, until, arrived)) = state.told_to_wait.get_mut(&sending.router)
            && (*from + UNDER_WAY..*until).contains(&now)
        {
            *arrived += 1;
            let most = &mut self.outcome.most_while_waiting;
            *most = (*most).max(*arrived);
        }
    }

    fn answer(&mut self, mut sending: Sending, upstream: usize, said: Said) {
        let now = self.instant();
        let router = sending.router;
        if self.routers[router].life != sending.life {
            return;
        }
        let name = self.upstreams[upstream].entry.name.clone();
        let table = &mut self.routers[router].table;
        table.remove_load(&name, one_request());
        table.on_start(&name, Some(said.born_ms));
        if said.is_leaving {
            let is_new = table.on_leaving(&name, Some(said.born_ms), now);
            self.pass_on(router, upstream);
            if is_new {
                self.tell_all(router, &name);
            }
        }
        if let Some(wait) = said.wait {
            let table = &mut self.routers[router].table;
            table.on_wait(&name, wait, now);
            let told = &mut self.upstreams[upstream].told_to_wait;
            told.entry(router).or_insert((self.now, self.now + wait, 0));
            sending.tried.push(name);
            if sending.tried.len() < TRIES {
                self.send(sending);
            }
        }
    }

    /// A router passes on an answer that says that its sender leaves.
    fn pass_on(&mut self, router: usize, upstream: usize) {
        let in_touch = self.is_in_touch(router);
        let state = &mut self.upstreams[upstream];
        if state.is_back {
            return;
        }
        state.passed_on.entry(router).or_insert(self.now);
        if in_touch {
            state.passed_on_in_touch.get_or_insert(self.now);
        }
    }

    pub fn is_in_touch(&self, router: usize) -> bool {
        let state = &self.routers[router];
        state.is_up && !state.is_cut_off && self.now >= state.in_touch_from
    }

    fn old_list_arrives(&mut self) {
        self.schedule_in(OLD_LIST_EACH, Event::OldList);
        let router = self.rng.usize(..self.spec.routers);
        let (list, now) = (self.old_list(), self.instant());
        let state = &mut self.routers[router];
        state.revision += 1;
        state.table.apply_list(list, state.revision, now);
    }

    /// The next start of an upstream: each router that is up meets it by a probe or a list.
    fn upstream_back(&mut self, upstream: usize) {
        let state = &mut self.upstreams[upstream];
        state.is_back = true;
        let name = state.entry.name.clone();
        for router in self.routers.iter_mut().filter(|r| r.is_up) {
            router.table.on_start(&name, Some(BORN_MS + 1));
        }
    }

    fn kill(&mut self, router: usize) {
        let state = &mut self.routers[router];
        state.is_up = false;
        state.life += 1;
        for upstream in &mut self.upstreams {
            upstream.passed_on.remove(&router);
            upstream.told_to_wait.remove(&router);
        }
        let back = Duration::from_millis(800);
        self.schedule_in(back, Event::Started { router });
    }

    fn started(&mut self, router: usize) {
        let (life, bytes) = (self.routers[router].life, self.routers[router].bytes);
        self.routers[router] = Router {
            life,
            bytes,
            in_touch_from: self.now + CONTACT,
            ..self.new_router()
        };
        self.tell_started(router);
    }

    fn healed(&mut self) {
        let now = self.now;
        let is_healed: Vec<usize> = (0..self.spec.routers)
            .filter(|router| self.routers[*router].is_cut_off)
            .collect();
        for router in &is_healed {
            self.routers[*router].is_cut_off = false;
            self.routers[*router].in_touch_from = now + CONTACT;
        }
        for router in is_healed {
            self.tell_started(router);
        }
    }

    /// Counts the starts that are sound now and that a router in touch does not use.
    fn count_unused(&mut self) {
        let now = self.instant();
        let sound: Vec<UpstreamName> = self
            .upstreams
            .iter()
            .filter(|u| u.is_back || u.leaves_at.is_none())
            .map(|u| u.entry.name.clone())
            .collect();
        // One that was replaced after the start came back knows it by its probes, which are not played.
        if self.spec.trouble == Trouble::Replaced {
            return;
        }
        let in_touch = (0..self.spec.routers).filter(|router| self.is_in_touch(*router));
        let unused = in_touch.map(|router| {
            let table = &self.routers[router].table;
            let is_unused = |name: &&UpstreamName| {
                let state = table.get(name);
                !state.is_some_and(|state| state.is_usable(now))
            };
            sound.iter().filter(is_unused).count()
        });
        self.outcome.unused_starts = unused.sum();
    }
}

impl Upstreams {
    fn is_leaving(&self, now: Duration) -> bool {
        !self.is_back && self.leaves_at.is_some_and(|at| now >= at)
    }
}

fn one_request() -> Load {
    Load {
        requests: 1,
        ..Load::default()
    }
}
