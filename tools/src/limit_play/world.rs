//! The model: routers, upstreams, and the events that happen to them.

use super::beliefs::{Beliefs, address_of};
use super::measure::{Arrivals, Waits};
use super::messages::Message;
use super::requests::Sending;
use super::trouble::HARM_EACH;
use super::{LimitOutcome, LimitSpec, Trouble};
use cloverpier_core::{DataCentre, hash_of};
use cloverpier_router_policy::limit::{LimitStatement, Rate};
use cloverpier_router_policy::permit::{LimitedUpstream, Permits};
use cloverpier_router_policy::prelude::UpstreamKey;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Upstreams name limits from then on.
pub(super) const NAMED_FROM: Duration = Duration::from_secs(3);
/// And until this long before the end.
const ENDS_BEFORE: Duration = Duration::from_secs(5);
/// A cut lasts from and until then.
pub(super) const CUT: (Duration, Duration) = (Duration::from_secs(6), Duration::from_secs(14));
/// Kills of routers are spread over this time.
const REPLACED_WITHIN: Duration = Duration::from_secs(20);

pub(super) enum Event {
    Arrive,
    Reach(Sending, usize),
    Answer(Sending, usize, LimitStatement),
    Deliver {
        from: usize,
        to: usize,
        message: Message,
    },
    Period(usize),
    Unanswered {
        router: usize,
        life: u32,
        number: u64,
    },
    SendLater(Sending, usize, Duration),
    Kill(usize),
    Started(usize),
    Wake(usize),
    Cut,
    Heal,
    HarmLimiters,
}

impl Event {
    /// The router at which it happens, if it happens at one.
    fn router(&self) -> Option<usize> {
        match self {
            Self::Answer(sending, ..) | Self::SendLater(sending, ..) => Some(sending.router),
            Self::Deliver { to, .. } => Some(*to),
            Self::Period(router) | Self::Unanswered { router, .. } => Some(*router),
            _ => None,
        }
    }
}

/// An ask that waits for its answer.
pub(super) struct PendingAsk {
    pub sending: Sending,
    pub upstream: usize,
    pub limiter: SocketAddr,
    pub asked: Duration,
}

pub(super) struct RouterModel {
    pub permits: Permits,
    pub is_up: bool,
    /// Events that happen to it wait until then.
    pub frozen_until: Duration,
    pub life: u32,
    pub pending: HashMap<u64, PendingAsk>,
    pub last_change: Option<Duration>,
    pub datagrams: usize,
    /// When its share of each upstream's rate allows the next request, where that is how limits are kept.
    pub next_by_share: HashMap<usize, Duration>,
    pub has_map: bool,
    pub requests: usize,
}

pub(super) struct UpstreamModel {
    pub key: UpstreamKey,
    pub data_centre: DataCentre,
    pub rate: Option<Rate>,
    pub arrivals: Arrivals,
}

pub(super) struct World {
    pub spec: LimitSpec,
    pub rng: fastrand::Rng,
    pub now: Duration,
    pub base: Instant,
    pub beliefs: Beliefs,
    pub routers: Vec<RouterModel>,
    pub upstreams: Vec<UpstreamModel>,
    pub waits: Waits,
    pub outcome: LimitOutcome,
    pub asks: u64,
    pub queue: BinaryHeap<Reverse<(Duration, u64)>>,
    pub events: HashMap<u64, Event>,
    pub scheduled: u64,
}

impl World {
    pub fn new(spec: LimitSpec) -> Self {
        let base = Instant::now();
        let beliefs = Beliefs::new(spec.routers, spec.data_centres);
        let upstreams = (0..spec.upstreams).map(|index| UpstreamModel {
            key: UpstreamKey(hash_of(&format!("upstream-{index}"))),
            data_centre: beliefs.data_centre_of(index),
            rate: Rate::per_second(spec.rate).filter(|_| index < spec.limited),
            arrivals: Arrivals::default(),
        });
        let routers = (0..spec.routers).map(|router| new_router(router, base, 0));
        Self {
            upstreams: upstreams.collect(),
            routers: routers.collect(),
            rng: fastrand::Rng::with_seed(spec.seed),
            now: Duration::ZERO,
            base,
            beliefs,
            waits: Waits::default(),
            outcome: LimitOutcome::default(),
            asks: 0,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            scheduled: 0,
            spec,
        }
    }

    pub fn instant(&self) -> Instant {
        self.base + self.now
    }

    pub fn instant_of(&self, at: Duration) -> Instant {
        self.base + at
    }

    pub fn schedule_in(&mut self, time: Duration, event: Event) {
        self.scheduled += 1;
        self.queue.push(Reverse((self.now + time, self.scheduled)));
        self.events.insert(self.scheduled, event);
    }

    pub fn limits_end(&self) -> Duration {
        self.spec.length - ENDS_BEFORE
    }

    /// What an upstream says of its limit now.
    pub fn statement(&self, upstream: usize) -> LimitStatement {
        let names = (NAMED_FROM..self.limits_end()).contains(&self.now);
        let rate = self.upstreams[upstream].rate.filter(|_| names);
        rate.map_or(LimitStatement::Absent, LimitStatement::Advertised)
    }

    pub fn place_of(&self, upstream: usize) -> LimitedUpstream<'_> {
        let state = &self.upstreams[upstream];
        LimitedUpstream {
            key: state.key,
            data_centre: &state.data_centre,
            start_time_ms: None,
        }
    }

    pub fn play(mut self) -> LimitOutcome {
        self.schedule_all();
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at > self.spec.length {
                break;
            }
            self.now = at;
            let Some(event) = self.events.remove(&number) else {
                continue;
            };
            let thaws = event
                .router()
                .map(|router| self.routers[router].frozen_until);
            match thaws.filter(|until| *until > at) {
                // What happens to a router that stands still happens once it goes on.
                Some(until) => self.schedule_in(until - at, event),
                None => self.on(event),
            }
        }
        self.measure()
    }

    fn schedule_all(&mut self) {
        self.schedule_in(Duration::ZERO, Event::Arrive);
        let period = self.beliefs.period();
        for router in 0..self.spec.routers {
            let phase = period.mul_f64(self.rng.f64());
            self.schedule_in(phase, Event::Period(router));
        }
        match self.spec.trouble {
            Trouble::None => {}
            Trouble::CutOff | Trouble::CutInTwo => {
                self.schedule_in(CUT.0, Event::Cut);
                self.schedule_in(CUT.1, Event::Heal);
            }
            Trouble::Replaced => {
                for router in 0..self.spec.routers {
                    let at = REPLACED_WITHIN.mul_f64(self.rng.f64());
                    self.schedule_in(at, Event::Kill(router));
                }
            }
            Trouble::LimitersKilled | Trouble::LimitersFrozen => {
                self.schedule_in(HARM_EACH, Event::HarmLimiters);
            }
        }
    }

    fn on(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Reach(sending, upstream) => self.reach(sending, upstream),
            Event::Answer(sending, upstream, said) => self.answer(&sending, upstream, said),
            Event::Deliver { from, to, message } => self.deliver(from, to, &message),
            Event::Period(router) => self.period(router),
            Event::Unanswered {
                router,
                life,
                number,
            } => self.unanswered(router, life, number),
            Event::SendLater(sending, upstream, due) => self.send_later(sending, upstream, due),
            Event::Kill(router) => self.kill(router),
            Event::Started(router) => self.started(router),
            Event::Wake(router) => self.beliefs.set_running(router, true, self.now),
            Event::Cut => self.cut(),
            Event::Heal => self.beliefs.set_sides(vec![0; self.spec.routers], self.now),
            Event::HarmLimiters => self.harm_limiters(),
        }
    }

    fn period(&mut self, router: usize) {
        let period = self.beliefs.period();
        self.schedule_in(period, Event::Period(router));
        if !self.routers[router].is_up {
            return;
        }
        let (now, hold) = (self.instant(), self.beliefs.hold());
        let is_new = !self.routers[router].has_map || self.beliefs.may_have_changed(self.now);
        let map = is_new.then(|| self.beliefs.map_of(router, self.now));
        let state = &mut self.routers[router];
        state.has_map = true;
        state.permits.on_period(map, hold, now);
        let upstreams = &self.upstreams;
        let find = |key| {
            let state = upstreams.iter().find(|u| u.key == key)?;
            Some(LimitedUpstream {
                key,
                data_centre: &state.data_centre,
                start_time_ms: None,
            })
        };
        state.permits.release_obsolete(find, now);
        for limiter in self.routers[router].permits.unresponsive_limiters(now) {
            self.ask(router, 0, limiter, None);
        }
        self.repeat(router);
    }

    /// Records when the last router learned of the first limit.
    pub fn note_known(&mut self) {
        let (key, now) = (self.upstreams[0].key, self.instant());
        let knows = |r: &RouterModel| !r.is_up || r.permits.limits().rate(key, now).is_some();
        let is_first = self.outcome.known_after.is_zero() && self.now >= NAMED_FROM;
        if is_first && self.routers.iter().all(knows) {
            self.outcome.known_after = self.now - NAMED_FROM;
        }
    }
}

pub(super) fn new_router(router: usize, now: Instant, life: u32) -> RouterModel {
    RouterModel {
        permits: Permits::new(address_of(router), now),
        is_up: true,
        frozen_until: Duration::ZERO,
        life,
        pending: HashMap::new(),
        last_change: None,
        datagrams: 0,
        next_by_share: HashMap::new(),
        has_map: false,
        requests: 0,
    }
}
