//! The upstreams of the model: what they fail, how long they take, how their data centres die.

use super::requests::{Request, observed};
use super::world::{Event, ORDER_AT, World};
use super::{SharedFault, VersionFault};
use cloverpier_core::{DataCentre, UpstreamName};
use cloverpier_router_policy::attempt_failure::AttemptFailure;
use cloverpier_router_policy::prelude::*;
use std::net::SocketAddr;
use std::time::Duration;

/// Data centres.
pub(super) const DATA_CENTRES: usize = 4;
/// A data centre dies each so often.
pub(super) const DEATH_EACH: Duration = Duration::from_millis(6_500);
/// A data centre that died is back after this time.
const DEAD_FOR: Duration = Duration::from_millis(1_200);
/// Requests that a grey upstream fails.
const GREY_FAILURES: f64 = 0.45;
/// How many times as long requests take that a fault of both versions slows down.
const SHARED_SLOWDOWN: f64 = 10.0;
/// Spread of the lognormal times of answers: the sheet's.
const SPREAD: f64 = 0.5;

/// An upstream.
pub(super) struct SimUpstream {
    pub name: UpstreamName,
    pub is_target: bool,
    pub data_centre: usize,
    pub is_dead: bool,
    pub is_grey: bool,
    /// Counts its starts.
    pub start: u64,
    pub running: u32,
}

impl World {
    pub(super) fn list_upstreams(&mut self) {
        let count = self.spec.upstreams * 2;
        let mut order: Vec<usize> = (0..count).collect();
        self.rng.shuffle(&mut order);
        let grey = (self.spec.grey * count as f64).round() as usize;
        for index in 0..count {
            let is_grey = order[..grey].contains(&index);
            self.upstreams.push(SimUpstream {
                name: UpstreamName::new(format!("u-{index}-{:x}", self.rng.u32(..))),
                is_target: index >= self.spec.upstreams,
                data_centre: index % DATA_CENTRES,
                is_dead: false,
                is_grey,
                start: 0,
                running: 0,
            });
        }
        let listed = (0..count).map(|index| self.listed(index)).collect();
        self.table.apply_list(listed, 1, self.began);
    }

    fn listed(&self, index: usize) -> Upstream {
        let upstream = &self.upstreams[index];
        let version = if upstream.is_target { "v2" } else { "v1" };
        Upstream {
            name: upstream.name.clone(),
            service: self.service.clone(),
            address: SocketAddr::from(([10, 9, 0, index as u8], 8_080)),
            data_centre: DataCentre::new(format!("hall-{}", upstream.data_centre)),
            slots: self.spec.slots,
            draining: false,
            start: Some(UpstreamStart {
                version: version.into(),
                start_time_ms: Some(1 + upstream.start),
            }),
        }
    }

    /// The part of a route's requests that an upstream fails.
    pub(super) fn failing_part(&self, route: usize, upstream: usize) -> f64 {
        let state = &self.upstreams[upstream];
        let own = self.spec.routes[route].own_failures;
        let grey = if state.is_grey { GREY_FAILURES } else { 0.0 };
        let passed = self.passed_fraction();
        let by_version = match self.spec.fault {
            VersionFault::Fails(part) => part,
            VersionFault::FailsFrom(from, part) if passed >= from => part,
            VersionFault::FailsOnOneRoute(part) if route == 0 => part,
            _ => 0.0,
        };
        let by_version = if state.is_target { by_version } else { 0.0 };
        let shared = self.shared_fault().map_or(0.0, |fault| fault.failing);
        1.0 - (1.0 - own) * (1.0 - grey) * (1.0 - by_version) * (1.0 - shared)
    }

    /// The part of the order's duration that has passed.
    fn passed_fraction(&self) -> f64 {
        let passed = self.now.saturating_sub(ORDER_AT);
        passed.as_secs_f64() / self.spec.duration.as_secs_f64()
    }

    /// What is wrong with the upstreams of both versions now.
    fn shared_fault(&self) -> Option<SharedFault> {
        let fault = self.spec.shared_fault;
        fault.filter(|fault| self.passed_fraction() >= fault.from)
    }

    pub(super) fn time_of(&mut self, upstream: usize) -> Duration {
        let normal = (0..12).map(|_| self.rng.f64()).sum::<f64>() - 6.0;
        let time = self.spec.answer.mul_f64((normal * SPREAD).exp());
        let state = &self.upstreams[upstream];
        let slower = match self.spec.fault {
            VersionFault::Slow(times) if state.is_target => times,
            VersionFault::SlowUnderLoad(times) if state.is_target && self.is_loaded(upstream) => {
                times
            }
            _ => 1.0,
        };
        let slow_part = self.shared_fault().map_or(0.0, |fault| fault.slow);
        let is_slowed = slow_part > 0.0 && self.rng.f64() < slow_part;
        let slower = if is_slowed {
            slower * SHARED_SLOWDOWN
        } else {
            slower
        };
        // Requests beyond the slots wait for a place.
        let waiting = f64::from(state.running / self.spec.slots);
        time.mul_f64(slower * (1.0 + waiting))
    }

    /// Whether an upstream has about the requests that it will have at the end.
    fn is_loaded(&self, upstream: usize) -> bool {
        let rate: f64 = self.spec.routes.iter().map(|r| r.rate).sum();
        let each = (self.spec.answer + self.spec.stream).as_secs_f64();
        let at_the_end = rate * each / self.spec.upstreams as f64;
        f64::from(self.upstreams[upstream].running) >= 0.6 * at_the_end
    }

    pub(super) fn die(&mut self, data_centre: usize) {
        for index in 0..self.requests.len() {
            let request = self.requests[index];
            let is_there = self.upstreams[request.upstream].data_centre == data_centre;
            if !request.is_done && is_there {
                self.note_break(request);
                self.end(index);
            }
        }
        for state in &mut self.upstreams {
            state.is_dead |= state.data_centre == data_centre;
        }
        self.schedule_in(DEAD_FOR, Event::Return { data_centre });
        let next = (data_centre + 1) % DATA_CENTRES;
        self.schedule_in(DEATH_EACH, Event::Die { data_centre: next });
    }

    /// The router of a request counts that it broke.
    fn note_break(&mut self, request: Request) {
        let now = self.began + self.now;
        let observed = observed(&self.table, &self.upstreams, &self.spec, request);
        let failure = AttemptFailure::BrokenBeforeResponse {
            was_unsent: false,
            error: "reset".to_owned(),
        };
        let Some(rollout) = self.books[request.router].get_mut(&self.service) else {
            return;
        };
        if let Some(open) = request.open {
            rollout.own.cancel_timing(open);
        }
        rollout.own.on_failure(observed, &failure, now);
    }

    pub(super) fn come_back(&mut self, data_centre: usize) {
        for index in 0..self.upstreams.len() {
            if self.upstreams[index].data_centre != data_centre {
                continue;
            }
            self.upstreams[index].is_dead = false;
            self.upstreams[index].start += 1;
            let name = self.upstreams[index].name.clone();
            let born_ms = 1 + self.upstreams[index].start;
            self.table.on_start(&name, Some(born_ms));
            self.table.on_alive(&name, self.began + self.now);
        }
    }
}
