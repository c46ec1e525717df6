//! Requests of the model: their way to upstreams and back, and what is counted of them.

use super::world::{BORN_MS, Event, SERVICE, Said, Sending, World, one_request};
use super::{DRAIN, HEARTBEAT};
use cloverpier_core::{DataCentre, ServiceName, UpstreamName};
use cloverpier_router_policy::prelude::*;
use std::collections::HashSet;
use std::time::Duration;

/// A request is on its way to an upstream, and an answer back, at least and at most so long.
const LEAST_WAY: Duration = Duration::from_millis(1);
/// As above.
const MOST_WAY: Duration = Duration::from_millis(5);
const WORK: Duration = Duration::from_millis(30);
/// What is under way when an upstream wants nothing may reach it so long: the users' bound.
const UNDER_WAY: Duration = Duration::from_millis(500);
/// The way to a caller and back is left out; a request is tried this many times.
const TRIES: usize = 3;

impl World {
    fn way(&mut self) -> Duration {
        LEAST_WAY + (MOST_WAY - LEAST_WAY).mul_f64(self.rng.f64())
    }

    pub(super) fn arrive(&mut self) {
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
            suspect_content: None,
            overcommit: false,
            reported: &ReportedLoad::default(),
            versions: &VersionRule::ANY,
            limits: &LimitedUpstreams::NONE,
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

    pub(super) fn reach(&mut self, sending: Sending, upstream: usize) {
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

    pub(super) fn answer(&mut self, mut sending: Sending, upstream: usize, said: Said) {
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
                self.send_to_all(router, &name);
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
}
