//! The events of the model in their order, and what all its parts share.

use super::requests::Request;
use super::routers::{DECIDE_EACH, JUDGES, REPORT_EACH};
use super::upstreams::{DATA_CENTRES, DEATH_EACH, SimUpstream};
use super::{PlayOutcome, PlaySpec};
use cloverpier_core::{ServiceName, SoftwareVersion};
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::rollout::RolloutRegistry;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

/// The order comes so long after the routers know their upstreams.
pub(super) const ORDER_AT: Duration = Duration::from_secs(3);
/// The play goes on until this part of the duration: streams at the former version end after the deadline.
const LATEST: f64 = 1.8;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Event {
    Arrive { route: usize },
    Answer { request: usize },
    StreamEnd { request: usize },
    Report { router: usize },
    Reported { router: usize, sent_at: Duration },
    Decide { judge: usize },
    Progress { router: usize, from: usize },
    Order,
    Restart,
    Die { data_centre: usize },
    Return { data_centre: usize },
}

/// A running play.
pub(super) struct World {
    pub(super) spec: PlaySpec,
    pub(super) began: Instant,
    pub(super) now: Duration,
    pub(super) rng: fastrand::Rng,
    pub(super) table: UpstreamTable,
    pub(super) upstreams: Vec<SimUpstream>,
    pub(super) books: Vec<RolloutRegistry>,
    pub(super) requests: Vec<Request>,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    scheduled: u64,
    pub(super) service: ServiceName,
    pub(super) target: SoftwareVersion,
    pub(super) bad_answers: u32,
    pub(super) fiftieth_bad: Option<Duration>,
    pub(super) outcome: PlayOutcome,
    pub(super) is_over: bool,
}

impl World {
    pub fn new(spec: PlaySpec) -> Self {
        let mut world = Self {
            began: Instant::now(),
            now: Duration::ZERO,
            rng: fastrand::Rng::with_seed(spec.seed),
            table: UpstreamTable::default(),
            upstreams: Vec::new(),
            books: vec![RolloutRegistry::default(); spec.routers],
            requests: Vec::new(),
            events: BinaryHeap::new(),
            scheduled: 0,
            service: "service".into(),
            target: "v2".into(),
            bad_answers: 0,
            fiftieth_bad: None,
            outcome: PlayOutcome::default(),
            is_over: false,
            spec,
        };
        world.list_upstreams();
        world
    }

    pub fn play(mut self) -> PlayOutcome {
        self.begin();
        let end = ORDER_AT + self.spec.duration.mul_f64(LATEST);
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > end || self.is_over {
                break;
            }
            self.now = at;
            self.on_event(event);
        }
        self.outcome
    }

    fn begin(&mut self) {
        for route in 0..self.spec.routes.len() {
            self.schedule_arrival(route);
        }
        for router in 0..self.spec.routers {
            let phase = REPORT_EACH.mul_f64(self.rng.f64());
            self.schedule(ORDER_AT + phase, Event::Report { router });
        }
        for judge in 0..JUDGES.min(self.spec.routers) {
            let phase = DECIDE_EACH.mul_f64(self.rng.f64());
            self.schedule(ORDER_AT + phase, Event::Decide { judge });
        }
        self.schedule(ORDER_AT, Event::Order);
        if self.spec.restart_at < 1.0 {
            let at = ORDER_AT + self.spec.duration.mul_f64(self.spec.restart_at);
            self.schedule(at, Event::Restart);
        }
        if self.spec.deaths {
            let phase = DEATH_EACH.mul_f64(self.rng.f64());
            let data_centre = self.rng.usize(..DATA_CENTRES);
            self.schedule(phase, Event::Die { data_centre });
        }
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.scheduled += 1;
        self.events.push(Reverse((at, self.scheduled, event)));
    }

    pub(super) fn schedule_in(&mut self, after: Duration, event: Event) {
        self.schedule(self.now + after, event);
    }

    fn schedule_arrival(&mut self, route: usize) {
        let rate = self.spec.routes[route].rate;
        let pause = -(1.0 - self.rng.f64()).ln() / rate;
        self.schedule_in(Duration::from_secs_f64(pause), Event::Arrive { route });
    }

    pub(super) fn at(&self, time: Duration) -> Instant {
        self.began + time
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Arrive { route } => {
                self.schedule_arrival(route);
                let router = self.rng.usize(..self.spec.routers);
                self.send(router, route);
            }
            Event::Answer { request } => self.on_answer(request),
            Event::StreamEnd { request } => self.end(request),
            Event::Report { router } => self.report(router),
            Event::Reported { router, .. } => self.on_reported(router),
            Event::Decide { judge } => self.decide(judge),
            Event::Progress { router, from } => self.on_progress(router, from),
            Event::Order => self.order(),
            Event::Restart => self.restart(),
            Event::Die { data_centre } => self.die(data_centre),
            Event::Return { data_centre } => self.come_back(data_centre),
        }
    }
}
