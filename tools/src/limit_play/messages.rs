//! Datagrams of the model: reports of limits, asks for permits and their answers.

use super::beliefs::{address_of, router_of};
use super::requests::Sending;
use super::world::{Event, PendingAsk, World};
use cloverpier_router_policy::dissemination::{is_within_repeat_window, sends_missed_facts};
use cloverpier_router_policy::limit::{LimitChange, LimitReport};
use cloverpier_router_policy::permit::{PermitDecision, PermitReply, PermitRequest, REPLY_TIMEOUT};
use std::net::SocketAddr;
use std::time::Duration;

const LEAST_DELAY: Duration = Duration::from_micros(500);
const MOST_DELAY: Duration = Duration::from_millis(2);
/// Hops by which reports reach all of a large fleet.
const FLOOD_HOPS: u32 = 4;
/// What a flood is passed on to by each router, of which some have it already.
const FLOOD_SENT: usize = 4;

#[derive(Clone)]
pub(super) enum Message {
    News(Vec<LimitReport>),
    Request(PermitRequest),
    Reply(PermitReply),
}

impl World {
    pub(super) fn post(&mut self, from: usize, to: usize, message: Message, hops: u32) {
        self.routers[from].datagrams += 1;
        let is_lost = self.rng.f64() < self.spec.loss;
        if is_lost || !self.beliefs.reach_each_other(from, to) {
            return;
        }
        let way = (MOST_DELAY - LEAST_DELAY).mul_f64(self.rng.f64());
        let delay = (LEAST_DELAY + way) * hops;
        self.schedule_in(delay, Event::Deliver { from, to, message });
    }

    /// Tells all others of a limit.
    pub(super) fn send_to_all(&mut self, from: usize, upstream: usize) {
        let now = self.instant();
        let key = self.upstreams[upstream].key;
        let report = self.routers[from].permits.limits().report(key, None, now);
        let reports: Vec<LimitReport> = report.into_iter().collect();
        let hops = if self.beliefs.is_large() {
            FLOOD_HOPS
        } else {
            1
        };
        for to in 0..self.spec.routers {
            if to != from {
                self.post(from, to, Message::News(reports.clone()), hops);
            }
        }
        if self.beliefs.is_large() {
            // Each passes it on to a few, and nobody sends it to all.
            self.routers[from].datagrams -= self.spec.routers - 1;
            for router in &mut self.routers {
                router.datagrams += FLOOD_SENT;
            }
        }
    }

    /// Tells a peer again what changed a moment ago.
    pub(super) fn repeat(&mut self, router: usize) {
        let last = self.routers[router].last_change;
        let last = last.map(|at| self.instant_of(at));
        if is_within_repeat_window(last, self.instant()) {
            let to = self.rng.usize(..self.spec.routers);
            self.send_everything(router, to);
        }
    }

    /// Some peers tell a router that has started what they know.
    pub(super) fn announce_start(&mut self, router: usize) {
        for peer in 0..self.spec.routers {
            let tells = sends_missed_facts(self.spec.routers, &mut self.rng);
            if tells && self.routers[peer].is_up {
                self.send_everything(peer, router);
            }
        }
    }

    fn send_everything(&mut self, from: usize, to: usize) {
        let now = self.instant();
        let limits = self.routers[from].permits.limits();
        let known = limits.upstreams().into_iter();
        let reports: Vec<LimitReport> = known.filter_map(|u| limits.report(u, None, now)).collect();
        if from != to && !reports.is_empty() {
            self.post(from, to, Message::News(reports), 1);
        }
    }

    pub(super) fn deliver(&mut self, from: usize, to: usize, message: &Message) {
        if !self.routers[to].is_up {
            return;
        }
        match message {
            Message::News(reports) => self.on_reports(to, reports),
            Message::Request(request) => self.on_request(from, to, request),
            Message::Reply(reply) => self.on_reply(from, to, reply),
        }
    }

    fn on_reports(&mut self, router: usize, reports: &[LimitReport]) {
        let now = self.instant();
        let mut is_new = false;
        for report in reports {
            let change = self.routers[router].permits.on_report(report, None, now);
            is_new |= change != LimitChange::Unchanged;
        }
        if is_new {
            self.routers[router].last_change = Some(self.now);
            self.note_known();
        }
    }

    fn on_request(&mut self, from: usize, to: usize, request: &PermitRequest) {
        let now = self.instant();
        let upstream = self
            .upstreams
            .iter()
            .position(|u| u.key == request.upstream);
        let upstream = upstream.unwrap_or_default();
        let data_centre = self.upstreams[upstream].data_centre.clone();
        let place = cloverpier_router_policy::permit::LimitedUpstream {
            data_centre: &data_centre,
            ..self.place_of(upstream)
        };
        let permits = &mut self.routers[to].permits;
        let reply = permits.on_request(address_of(from), request, Some(place), now);
        let other = permits.limiter_of(place, now);
        let is_other = reply.allocation.is_none();
        self.post(to, from, Message::Reply(reply), 1);
        // Whether the router that should answer does.
        if let Some(limiter) = other.filter(|l| is_other && *l != address_of(to)) {
            self.ask(to, upstream, limiter, None);
        }
    }

    /// Asks a limiter for a permit, or whether it answers.
    pub(super) fn ask(
        &mut self,
        router: usize,
        upstream: usize,
        limiter: SocketAddr,
        sending: Option<Sending>,
    ) {
        let now = self.instant();
        self.asks += 1;
        let (number, key) = (self.asks, self.upstreams[upstream].key);
        let request = PermitRequest {
            number,
            upstream: key,
            count: u32::from(sending.is_some()),
            max_wait: sending
                .as_ref()
                .map_or(Duration::ZERO, |s| s.search.max_wait()),
            limit: self.routers[router].permits.limits().report(key, None, now),
        };
        let sending = sending.unwrap_or_else(|| Sending::nobody(router));
        let pending = PendingAsk {
            sending,
            upstream,
            limiter,
            asked: self.now,
        };
        let state = &mut self.routers[router];
        state.pending.insert(number, pending);
        let life = state.life;
        self.post(router, router_of(limiter), Message::Request(request), 1);
        let timeout = Event::Unanswered {
            router,
            life,
            number,
        };
        self.schedule_in(REPLY_TIMEOUT, timeout);
    }

    fn on_reply(&mut self, from: usize, router: usize, reply: &PermitReply) {
        let now = self.instant();
        let Some(pending) = self.routers[router].pending.remove(&reply.number) else {
            return;
        };
        if self.now > pending.asked + REPLY_TIMEOUT {
            return self.go_on_without(router, pending);
        }
        let permits = &mut self.routers[router].permits;
        let want = permits.on_reply(address_of(from), reply, None, &mut self.rng, now);
        self.go_on(pending, want);
    }

    pub(super) fn unanswered(&mut self, router: usize, life: u32, number: u64) {
        let state = &mut self.routers[router];
        let pending = state.pending.remove(&number).filter(|_| state.life == life);
        let Some(pending) = pending else { return };
        self.go_on_without(router, pending);
    }

    /// No answer has come in time.
    fn go_on_without(&mut self, router: usize, pending: PendingAsk) {
        let now = self.instant();
        let key = self.upstreams[pending.upstream].key;
        let permits = &mut self.routers[router].permits;
        permits.on_request_timeout(key, pending.limiter, now);
        let want = PermitDecision::Refused {
            retry: REPLY_TIMEOUT,
        };
        self.go_on(pending, want);
    }

    fn go_on(&mut self, pending: PendingAsk, want: PermitDecision) {
        let PendingAsk {
            sending, upstream, ..
        } = pending;
        if !sending.is_nobody() {
            self.on_want(sending, upstream, want);
        }
    }
}
