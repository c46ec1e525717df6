//! The model: upstreams, routers by what they know, requests, and what is counted.

use super::{HEARTBEAT, StatementOutcome, StatementSpec, Trouble};
use cloverpier_core::{DataCentre, ServiceName, UpstreamName};
use cloverpier_router_policy::prelude::*;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::{Duration, Instant};

pub(super) const SERVICE: &str = "lookups";
/// When the first starts began, as a Unix time in milliseconds.
pub(super) const BORN_MS: u64 = 1_790_000_000_000;
const LENGTH: Duration = Duration::from_secs(14);
/// Upstreams begin to leave, and to turn requests away, until then.
const BEGIN_WITHIN: Duration = Duration::from_secs(6);
/// One that leaves serves on for so long, and is back under its name a second later.
const SERVES_ON: Duration = Duration::from_millis(2_500);
/// As above.
const BACK_AFTER: Duration = Duration::from_millis(1_000);
/// How often a list that was read before arrives at some router.
const OLD_LIST_EACH: Duration = Duration::from_millis(700);
/// A router is in touch again so long after it was cut off or started: the users' bound.
const CONTACT: Duration = Duration::from_secs(3);

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
    Message {
        router: usize,
        message: usize,
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
    pub router: usize,
    /// The router's start that has it.
    pub life: u32,
    pub sent: Duration,
    pub tried: Vec<UpstreamName>,
}

/// What an answer says.
#[derive(Clone, Copy)]
pub(super) struct Said {
    pub born_ms: u64,
    pub is_leaving: bool,
    pub wait: Option<Duration>,
}

pub(super) struct Upstreams {
    pub entry: Upstream,
    pub leaves_at: Option<Duration>,
    pub is_back: bool,
    /// When it turns requests away, and until when.
    pub turns_away: Option<(Duration, Duration)>,
    /// When each router first passed on an answer in which the first start said that it leaves.
    pub passed_on: HashMap<usize, Duration>,
    /// The same of any router in touch.
    pub passed_on_in_touch: Option<Duration>,
    /// When each router was told to wait, until when, and the arrivals meanwhile.
    pub told_to_wait: HashMap<usize, (Duration, Duration, usize)>,
}

pub(super) struct Router {
    pub table: UpstreamTable,
    pub last_report: Option<Instant>,
    pub is_up: bool,
    pub is_cut_off: bool,
    pub in_touch_from: Duration,
    pub bytes: usize,
    pub life: u32,
    pub revision: u64,
}

pub(super) struct World {
    pub spec: StatementSpec,
    pub rng: fastrand::Rng,
    pub now: Duration,
    pub routers: Vec<Router>,
    pub messages: Vec<Vec<LeavingReport>>,
    pub base: Instant,
    pub upstreams: Vec<Upstreams>,
    pub queue: BinaryHeap<Reverse<(Duration, u64)>>,
    pub events: HashMap<u64, Event>,
    pub scheduled: u64,
    pub outcome: StatementOutcome,
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
            start_time_ms: Some(born_ms),
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
            messages: Vec::new(),
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
            last_report: None,
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
            Event::Message { router, message } => self.on_reports(router, message),
            Event::OldList => self.old_list_arrives(),
            Event::UpstreamBack { upstream } => self.upstream_back(upstream),
            Event::Kill { router } => self.kill(router),
            Event::Started { router } => self.started(router),
            Event::Healed => self.healed(),
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
        self.announce_start(router);
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
            self.announce_start(router);
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
    pub fn is_leaving(&self, now: Duration) -> bool {
        !self.is_back && self.leaves_at.is_some_and(|at| now >= at)
    }
}

pub(super) fn one_request() -> Load {
    Load {
        requests: 1,
        ..Load::default()
    }
}
