//! Requests of the model: which upstream each is offered to, and what reaches upstreams.

use super::Way;
use super::world::{Event, World};
use cloverpier_router_policy::limit::{LimitChange, LimitStatement, ResponseInterval};
use cloverpier_router_policy::permit::{PermitDecision, PermitSearch, is_permit_usable};
use std::time::Duration;

const LEAST_WAY: Duration = Duration::from_millis(1);
const MOST_WAY: Duration = Duration::from_millis(3);
const WORK: Duration = Duration::from_millis(30);

/// A request at a router.
#[derive(Clone)]
pub(super) struct Sending {
    pub router: usize,
    /// The router's start that has it.
    pub life: u32,
    pub arrived: Duration,
    pub sent: Duration,
    pub search: PermitSearch,
    is_nobody: bool,
}

impl Sending {
    /// In place of a request, where only the limiter's answer matters.
    pub fn nobody(router: usize) -> Self {
        Self {
            router,
            life: 0,
            arrived: Duration::ZERO,
            sent: Duration::ZERO,
            search: PermitSearch::new(Duration::ZERO),
            is_nobody: true,
        }
    }

    pub fn is_nobody(&self) -> bool {
        self.is_nobody
    }
}

impl World {
    fn way(&mut self) -> Duration {
        LEAST_WAY + (MOST_WAY - LEAST_WAY).mul_f64(self.rng.f64())
    }

    pub(super) fn arrive(&mut self) {
        let pause = -self.rng.f64().max(1e-9).ln() / self.spec.requests;
        self.schedule_in(Duration::from_secs_f64(pause), Event::Arrive);
        let router = self.rng.usize(..self.spec.routers);
        let state = &mut self.routers[router];
        if !state.is_up || self.now < state.frozen_until {
            return;
        }
        state.requests += 1;
        self.outcome.requests += 1;
        let sending = Sending {
            router,
            life: state.life,
            arrived: self.now,
            sent: self.now,
            search: PermitSearch::new(self.spec.max_wait),
            is_nobody: false,
        };
        self.offer(sending);
    }

    /// Offers a request to an upstream, at random among those that may get it.
    fn offer(&mut self, mut sending: Sending) {
        let Some(upstream) = self.pick(&sending) else {
            if sending.search.begin_waiting() {
                return self.offer(sending);
            }
            self.outcome.refused += 1;
            self.waits.retries.extend(sending.search.retry_after());
            return;
        };
        let want = match self.spec.way {
            Way::Permits => self.want_permit(&sending, upstream),
            Way::Shares => self.want_share(&sending, upstream),
        };
        match want {
            PermitDecision::RequestFrom(limiter) => {
                self.ask(sending.router, upstream, limiter, Some(sending));
            }
            want => self.on_want(sending, upstream, want),
        }
    }

    fn pick(&mut self, sending: &Sending) -> Option<usize> {
        let (now, router) = (self.instant(), sending.router);
        let permits = &self.routers[router].permits;
        let may_get = |upstream: &usize| {
            let key = self.upstreams[*upstream].key;
            !sending.search.excludes(permits, key, now) && self.reaches(router, *upstream)
        };
        let candidates: Vec<usize> = (0..self.spec.upstreams).filter(may_get).collect();
        self.rng.choice(candidates)
    }

    fn want_permit(&mut self, sending: &Sending, upstream: usize) -> PermitDecision {
        let now = self.instant();
        let data_centre = self.upstreams[upstream].data_centre.clone();
        let place = cloverpier_router_policy::permit::LimitedUpstream {
            data_centre: &data_centre,
            ..self.place_of(upstream)
        };
        let max_wait = sending.search.max_wait();
        self.routers[sending.router]
            .permits
            .decide(place, max_wait, now)
    }

    /// Each router may send its part of the rate, and one request at once.
    fn want_share(&mut self, sending: &Sending, upstream: usize) -> PermitDecision {
        let (now, instant) = (self.now, self.instant());
        let key = self.upstreams[upstream].key;
        let routers = self.spec.routers as f64;
        let state = &mut self.routers[sending.router];
        let Some(rate) = state.permits.limits().rate(key, instant) else {
            return PermitDecision::Unlimited;
        };
        let next = state.next_by_share.entry(upstream).or_default();
        if now < *next {
            return PermitDecision::Refused { retry: *next - now };
        }
        *next = now + Duration::from_secs_f64(routers / rate.as_per_second());
        PermitDecision::Granted(Duration::ZERO)
    }

    pub(super) fn on_want(&mut self, mut sending: Sending, upstream: usize, want: PermitDecision) {
        match want {
            PermitDecision::Unlimited => self.send(sending, upstream),
            PermitDecision::Granted(wait) => {
                self.waits.waits.push(self.now + wait - sending.arrived);
                self.waits.senders.insert(sending.router);
                if wait.is_zero() {
                    self.send(sending, upstream);
                } else {
                    let due = self.now + wait;
                    self.schedule_in(wait, Event::SendLater(sending, upstream, due));
                }
            }
            PermitDecision::RequestFrom(_) => {}
            PermitDecision::Refused { retry } => {
                let key = self.upstreams[upstream].key;
                sending.search.on_refused(key, retry);
                self.offer(sending);
            }
        }
    }

    pub(super) fn send_later(&mut self, sending: Sending, upstream: usize, due: Duration) {
        if is_permit_usable(self.instant_of(due), self.instant()) {
            self.send(sending, upstream);
        } else {
            self.offer(sending);
        }
    }

    pub(super) fn send(&mut self, mut sending: Sending, upstream: usize) {
        let state = &self.routers[sending.router];
        if !state.is_up || state.life != sending.life {
            return;
        }
        sending.sent = self.now;
        let way = self.way();
        self.schedule_in(way, Event::Reach(sending, upstream));
    }

    pub(super) fn reach(&mut self, sending: Sending, upstream: usize) {
        self.outcome.served += 1;
        self.upstreams[upstream].arrivals.push(self.now);
        let said = self.statement(upstream);
        let way = self.way();
        self.schedule_in(WORK + way, Event::Answer(sending, upstream, said));
    }

    pub(super) fn answer(&mut self, sending: &Sending, upstream: usize, said: LimitStatement) {
        let (now, router) = (self.instant(), sending.router);
        if self.routers[router].life != sending.life {
            return;
        }
        let written = ResponseInterval {
            request_sent_at: self.instant_of(sending.sent),
            response_received_at: now,
        };
        let key = self.upstreams[upstream].key;
        let permits = &mut self.routers[router].permits;
        let change = permits.on_statement(key, said, true, written, now);
        if change != LimitChange::Unchanged {
            self.routers[router].last_change = Some(self.now);
            self.send_to_all(router, upstream);
            self.note_known();
        }
    }
}
