//! The events of the model in their order, and what all its parts share.

use super::pauses::Question;
use super::requests::{Request, Run};
use super::upstreams::{DATA_CENTRES, DEATH_EACH, Engine};
use super::{CrashOutcome, CrashSpec, Trouble};
use cloverpier_core::ServiceName;
use cloverpier_crashes::prelude::*;
use cloverpier_router_policy::prelude::*;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

/// How long is played.
const LENGTH: Duration = Duration::from_secs(25);
/// The crashing contents come within this time.
const FIRST_WITHIN: Duration = Duration::from_secs(2);
/// Ends of upstreams that stop a content: the users' bound.
pub(super) const LIMIT: CrashLimit = CrashLimit(3);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Event {
    /// A request that crashes nothing comes.
    Arrive,
    /// A crashing content comes again.
    Repeat { content: usize },
    /// A request is sent to an engine, or waits for a judgement.
    Send { request: usize },
    /// An engine has read a prompt and begins to run it.
    Begin { run: usize },
    /// A stream is over.
    End { run: usize },
    /// A router sees that a run broke off.
    Broke { run: usize },
    /// A probe was refused.
    Refused { router: usize, engine: usize },
    /// A router hears that an engine is dead.
    Death { router: usize, engine: usize },
    /// A router judges.
    Judge { router: usize },
    /// A router gets a message of a peer.
    Message { router: usize, message: usize },
    /// A router's turn to send a heartbeat.
    Heartbeat { router: usize },
    /// A router is back.
    Started { router: usize },
    /// A router is killed.
    Kill { router: usize },
    /// Routers that were cut off hear of others again.
    Heal,
    /// A data centre's engines end.
    Die { data_centre: usize },
    /// One of them ends.
    Fail { engine: usize },
    /// An engine is back.
    Return { engine: usize },
    /// An engine pauses by itself.
    PauseOne,
    /// A router gives a run up, if its engine is still silent.
    GiveUp { run: usize },
    /// A question reaches an engine.
    Asked { question: Question },
    /// A router checks an engine that it declared dead.
    Check { router: usize, engine: usize },
}

/// A router.
pub(super) struct SimRouter {
    pub cases: CrashTracker,
    pub last_report: Option<Instant>,
    /// When it looks at its open attempts next.
    pub judges_at: Option<Instant>,
    pub is_up: bool,
    pub is_cut_off: bool,
    /// When it was started or heard of others again last.
    pub in_touch_since: Duration,
    pub bytes: usize,
}

impl SimRouter {
    fn new() -> Self {
        Self {
            cases: CrashTracker::new(LIMIT, CrashTimestamp::ProcessStart),
            last_report: None,
            judges_at: None,
            is_up: true,
            is_cut_off: false,
            in_touch_since: Duration::ZERO,
            bytes: 0,
        }
    }
}

/// A running play.
pub(super) struct World {
    pub spec: CrashSpec,
    pub began: Instant,
    pub now: Duration,
    pub rng: fastrand::Rng,
    /// What routers believe of engines; the same for all of them.
    pub table: UpstreamTable,
    pub service: ServiceName,
    pub engines: Vec<Engine>,
    pub routers: Vec<SimRouter>,
    pub requests: Vec<Request>,
    pub runs: Vec<Run>,
    pub messages: Vec<Vec<ContentReport>>,
    /// How many routers were killed when they saw a crash of each crashing content.
    pub killed_at: Vec<usize>,
    /// When each crashing content ended its third engine.
    pub third_end: Vec<Option<Duration>>,
    pub outcome: CrashOutcome,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    scheduled: u64,
}

impl World {
    pub fn new(spec: CrashSpec) -> Self {
        let mut world = Self {
            began: Instant::now(),
            now: Duration::ZERO,
            rng: fastrand::Rng::with_seed(spec.seed),
            table: UpstreamTable::default(),
            service: "drafts".into(),
            engines: Vec::new(),
            routers: (0..spec.routers).map(|_| SimRouter::new()).collect(),
            requests: Vec::new(),
            runs: Vec::new(),
            messages: Vec::new(),
            killed_at: vec![0; spec.contents],
            third_end: vec![None; spec.contents],
            outcome: CrashOutcome {
                ends: vec![0; spec.contents],
                late: vec![0; spec.contents],
                ..CrashOutcome::default()
            },
            events: BinaryHeap::new(),
            scheduled: 0,
            spec,
        };
        world.list_engines();
        world
    }

    pub fn play(mut self) -> CrashOutcome {
        self.begin();
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > LENGTH {
                break;
            }
            self.now = at;
            self.on_event(event);
        }
        let bytes = self.routers.iter().map(|router| router.bytes);
        self.outcome.bytes = bytes.clone().sum();
        self.outcome.most_bytes = bytes.max().unwrap_or(0);
        self.outcome
    }

    fn begin(&mut self) {
        self.schedule_in(Duration::ZERO, Event::Arrive);
        for content in 0..self.spec.contents {
            let at = FIRST_WITHIN.mul_f64(self.rng.f64());
            self.schedule_in(at, Event::Repeat { content });
        }
        for router in 0..self.spec.routers {
            let phase = super::reports::HEARTBEAT.mul_f64(self.rng.f64());
            self.schedule_in(phase, Event::Heartbeat { router });
        }
        if self.spec.deaths {
            let phase = DEATH_EACH.mul_f64(self.rng.f64());
            let data_centre = self.rng.usize(..DATA_CENTRES);
            self.schedule_in(phase, Event::Die { data_centre });
        }
        self.begin_trouble();
        self.begin_pauses();
    }

    fn begin_trouble(&mut self) {
        match self.spec.trouble {
            Trouble::None | Trouble::KilledAtCrash => {}
            Trouble::CutOff => {
                for router in (0..self.spec.routers).filter(|router| router % 5 == 0) {
                    self.routers[router].is_cut_off = true;
                }
                self.schedule_in(Duration::from_secs(12), Event::Heal);
            }
            Trouble::RolledOut => self.start_all_anew(Duration::from_secs(8)),
            Trouble::AllStartAnew => self.start_all_anew(Duration::from_secs(1)),
        }
    }

    fn start_all_anew(&mut self, within: Duration) {
        for router in 0..self.spec.routers {
            let at = within.mul_f64(router as f64 / self.spec.routers as f64);
            self.schedule_in(Duration::from_secs(6) + at, Event::Kill { router });
        }
    }

    pub(super) fn schedule_in(&mut self, after: Duration, event: Event) {
        self.scheduled += 1;
        let at = self.now + after;
        self.events.push(Reverse((at, self.scheduled, event)));
    }

    /// The present moment, as the decisions are told it.
    pub(super) fn instant(&self) -> Instant {
        self.began + self.now
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Repeat { content } => self.repeat(content),
            Event::Send { request } => self.send(request),
            Event::Begin { run } => self.begin_run(run),
            Event::End { run } => self.end_run(run),
            Event::Broke { run } => self.on_broken(run),
            Event::Refused { router, engine } => self.on_refused(router, engine),
            Event::Death { router, engine } => self.on_death(router, engine),
            Event::Judge { router } => self.judge(router),
            Event::Message { router, message } => self.on_reports(router, message),
            Event::Heartbeat { router } => self.heartbeat(router),
            Event::Started { router } => self.on_started(router),
            Event::Kill { router } => self.kill(router),
            Event::Heal => self.heal(),
            Event::Die { data_centre } => self.die(data_centre),
            Event::Fail { engine } => self.fail(engine),
            Event::Return { engine } => self.come_back(engine),
            Event::PauseOne => self.pause_one(),
            Event::GiveUp { run } => self.give_up(run),
            Event::Asked { question } => self.on_asked(question),
            Event::Check { router, engine } => self.check(router, engine),
        }
    }
}
