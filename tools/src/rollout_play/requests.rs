//! The requests of the model: which upstream gets one, when it answers, what its router counts.

use super::PlaySpec;
use super::upstreams::{DATA_CENTRES, SimUpstream};
use super::world::{Event, ORDER_AT, World};
use cloverpier_core::DataCentre;
use cloverpier_router_policy::attempt_failure::AttemptFailure;
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::rollout::evidence::{
    Measure, MeasurementId, ObservedAttempt, RouteKey,
};
use std::collections::HashSet;
use std::time::Duration;

/// Bad answers after which the new version may get nothing more, some seconds later.
const BAD_ANSWERS: u32 = 50;

#[derive(Clone, Copy)]
pub(super) struct Request {
    pub router: usize,
    pub route: usize,
    pub upstream: usize,
    sent_at: Duration,
    fails: bool,
    pub is_done: bool,
    pub open: Option<MeasurementId>,
}

/// An upstream as the router of a request observes it.
pub(super) fn observed<'a>(
    table: &UpstreamTable,
    upstreams: &'a [SimUpstream],
    spec: &PlaySpec,
    request: Request,
) -> ObservedAttempt<'a> {
    let state = &upstreams[request.upstream];
    let start = table.get(&state.name).map(UpstreamState::incarnation);
    ObservedAttempt {
        upstream: &state.name,
        start: start.unwrap_or_default(),
        is_target: state.is_target,
        route: RouteKey::of(spec.routes[request.route].name),
    }
}

impl World {
    pub(super) fn send(&mut self, router: usize, route: usize) {
        let upstreams = self.spec.upstreams;
        // Only versions that are ordered are listed beside the former one.
        let newly_listed = Vec::new();
        let rule =
            self.books[router].rule(&self.service, |_| upstreams, newly_listed, &mut self.rng);
        let Some(upstream) = self.choose(&rule) else {
            return;
        };
        let is_ordered = self.now >= ORDER_AT && self.now < ORDER_AT + self.spec.duration;
        let is_target = self.upstreams[upstream].is_target;
        if is_ordered {
            self.outcome.requests += 1;
            self.outcome.exposed += u32::from(is_target);
        }
        if !is_target && self.now >= ORDER_AT {
            self.outcome.former_began = Some(self.now - ORDER_AT);
        }
        if let Some(fiftieth) = self.fiftieth_bad.filter(|_| is_target) {
            self.outcome.last_after_bad = Some(self.now - fiftieth);
        }
        if let Some(rollout) = self.books[router].get_mut(&self.service) {
            rollout.own.on_sent(is_target);
        }
        self.run(router, route, upstream);
    }

    fn choose(&mut self, rule: &VersionRule) -> Option<usize> {
        let reported = ReportedLoad::default();
        let home = DataCentre::new(format!("hall-{}", self.rng.usize(..DATA_CENTRES)));
        let demand = Demand {
            service: &self.service,
            home: &home,
            load: Load {
                requests: 1,
                ..Load::default()
            },
            engine_memory: None,
            affinity: None,
            prompt_location: None,
            is_continuation: false,
            tried: &[],
            connected: &HashSet::new(),
            suspect_content: None,
            overcommit: true,
            reported: &reported,
            versions: rule,
            limits: &LimitedUpstreams::NONE,
            now: self.at(self.now),
        };
        match choose_upstream(&self.table, &demand, &mut self.rng) {
            Choice::Upstream(upstream) => {
                let mut all = self.upstreams.iter();
                all.position(|u| u.name == upstream.name)
            }
            Choice::None(_) => None,
        }
    }

    fn run(&mut self, router: usize, route: usize, upstream: usize) {
        let request = self.requests.len();
        let fails = self.rng.f64() < self.failing_part(route, upstream);
        let mut sent = Request {
            router,
            route,
            upstream,
            sent_at: self.now,
            fails,
            is_done: false,
            open: None,
        };
        sent.open = self.begin_measure(sent);
        self.requests.push(sent);
        let state = &self.upstreams[upstream];
        if state.is_dead {
            // Refused at once; the upstream is suspected and the caller's request goes on
            // elsewhere, which changes nothing here.
            self.requests[request].is_done = true;
            self.table.suspect(&state.name.clone(), self.at(self.now));
            return;
        }
        let took = self.time_of(upstream);
        self.upstreams[upstream].running += 1;
        self.add_load(upstream, 1);
        self.schedule_in(took, Event::Answer { request });
    }

    fn begin_measure(&mut self, request: Request) -> Option<MeasurementId> {
        let now = self.at(self.now);
        let observed = observed(&self.table, &self.upstreams, &self.spec, request);
        let rollout = self.books[request.router].get_mut(&self.service)?;
        Some(rollout.own.start_timing(observed, Measure::Response, now))
    }

    fn add_load(&mut self, upstream: usize, requests: u32) {
        let name = self.upstreams[upstream].name.clone();
        let load = Load {
            requests,
            ..Load::default()
        };
        self.table.add_load(&name, load);
    }

    pub(super) fn on_answer(&mut self, request: usize) {
        let Request {
            upstream,
            sent_at,
            fails,
            is_done,
            ..
        } = self.requests[request];
        if is_done {
            return;
        }
        let took = self.now - sent_at;
        let is_bad = fails || took > self.spec.answer * 4;
        if self.upstreams[upstream].is_target && is_bad && self.now >= ORDER_AT {
            self.bad_answers += 1;
            if self.bad_answers == BAD_ANSWERS {
                self.fiftieth_bad = Some(self.now);
            }
        }
        self.note_answer(request);
        if fails || self.spec.stream.is_zero() {
            self.end(request);
        } else {
            let stream = self.spec.stream;
            self.schedule_in(stream, Event::StreamEnd { request });
        }
    }

    /// The router of a request counts its answer.
    fn note_answer(&mut self, request: usize) {
        let request = self.requests[request];
        let now = self.at(self.now);
        let observed = observed(&self.table, &self.upstreams, &self.spec, request);
        let rollout = self.books[request.router].get_mut(&self.service);
        let (Some(rollout), Some(open)) = (rollout, request.open) else {
            return;
        };
        if request.fails {
            let failure = AttemptFailure::UpstreamError { status: 500 };
            rollout.own.cancel_timing(open);
            rollout.own.on_failure(observed, &failure, now);
        } else {
            rollout.own.on_response(open, observed, now);
        }
    }

    pub(super) fn end(&mut self, request: usize) {
        let done = std::mem::replace(&mut self.requests[request].is_done, true);
        if done {
            return;
        }
        let upstream = self.requests[request].upstream;
        if !self.upstreams[upstream].is_target && self.now >= ORDER_AT {
            self.outcome.former_ended = Some(self.now - ORDER_AT);
        }
        self.upstreams[upstream].running -= 1;
        let name = self.upstreams[upstream].name.clone();
        let load = Load {
            requests: 1,
            ..Load::default()
        };
        self.table.remove_load(&name, load);
    }
}
