//! The routers of the model: how they learn an order, report what they counted, decide and tell
//! each other.

use super::world::{Event, ORDER_AT, World};
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::rollout::RolloutRegistry;
use cloverpier_router_policy::rollout::registry::new_view;
use cloverpier_router_policy::rollout::schedule::{ExposureBounds, Step, StepInput, step};
use std::net::SocketAddr;
use std::time::Duration;

/// The operator's bound, by the users' sheet.
const BOUNDS: ExposureBounds = ExposureBounds {
    share: 0.1,
    slack: 50.0,
};
/// How often routers report, and those that decide look.
pub(super) const REPORT_EACH: Duration = Duration::from_millis(250);
pub(super) const DECIDE_EACH: Duration = Duration::from_millis(100);
/// Routers that decide.
pub(super) const JUDGES: usize = 3;
/// How long a report or a progress travels, at most.
const MAX_DELAY: Duration = Duration::from_millis(220);

fn address(router: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (router >> 8) as u8, router as u8], 7_104))
}

impl World {
    /// All routers that can be reached learn the order; the new upstreams are listed since.
    pub(super) fn order(&mut self) {
        let order = RolloutOrder::new(&self.service, self.target.clone(), self.spec.duration, 1);
        let view = new_view(self.service.clone(), 2, Some(order), BOUNDS);
        let now = self.at(self.now);
        for book in &mut self.books {
            book.on_view(view.clone(), now);
        }
    }

    /// All routers lose what they know and read the order again.
    pub(super) fn restart(&mut self) {
        let now = self.at(self.now);
        let view = self.books[0].views().into_iter().next();
        for book in &mut self.books {
            *book = RolloutRegistry::default();
            if let Some(known) = &view {
                let order = known.order.clone();
                book.on_view(new_view(self.service.clone(), 2, order, BOUNDS), now);
                book.resume(&self.service);
            }
        }
    }

    fn is_cut_off(&self, router: usize) -> bool {
        router >= self.spec.routers - self.spec.cut_off
    }

    pub(super) fn report(&mut self, router: usize) {
        self.schedule_in(REPORT_EACH, Event::Report { router });
        if self.is_cut_off(router) {
            return;
        }
        let sent_at = self.now;
        let delay = MAX_DELAY.mul_f64(self.rng.f64());
        self.schedule_in(delay, Event::Reported { router, sent_at });
    }

    /// What a router has counted reaches those that decide.
    pub(super) fn on_reported(&mut self, router: usize) {
        let in_flight = self.former_in_flight(router);
        let now = self.at(self.now);
        let Some(rollout) = self.books[router].get(&self.service) else {
            return;
        };
        let Some(order) = rollout.active() else {
            return;
        };
        let stage = rollout.view.progress.stage;
        let reports = rollout.own.reports(order.id, stage, in_flight, now);
        for judge in 0..JUDGES.min(self.spec.routers) {
            for report in &reports {
                self.books[judge].on_report(address(router), report.clone());
            }
        }
    }

    fn former_in_flight(&self, router: usize) -> u32 {
        let open = self.requests.iter().filter(|r| !r.is_done);
        let own = open.filter(|r| r.router == router && !self.upstreams[r.upstream].is_target);
        own.count() as u32
    }

    pub(super) fn decide(&mut self, judge: usize) {
        self.schedule_in(DECIDE_EACH, Event::Decide { judge });
        let now = self.at(self.now);
        let living = self.spec.routers - self.spec.cut_off;
        let routers: Vec<SocketAddr> = (0..living).map(address).collect();
        let Some(rollout) = self.books[judge].get_mut(&self.service) else {
            return;
        };
        rollout.fleet.take_snapshot(now);
        let Some(order) = rollout.active() else {
            return;
        };
        let progress = rollout.view.progress;
        let decided = step(&StepInput {
            now,
            ordered_at: rollout.ordered_at,
            stage_since: rollout.stage_since,
            duration: order.duration,
            progress,
            evidence: &rollout.fleet,
            upstreams: self.spec.upstreams,
            routers: &routers,
            bounds: BOUNDS,
        });
        if let Some(next) = self.note_step(decided, progress) {
            self.go_on(judge, next);
        }
    }

    /// Counts an end; returns how the roll-out goes on.
    fn note_step(&mut self, decided: Step, progress: Progress) -> Option<Progress> {
        let since_order = self.now.saturating_sub(ORDER_AT);
        match decided {
            Step::Stay => None,
            Step::Update(next) => Some(next),
            Step::RollBack(_) => {
                self.outcome.rolled_back.get_or_insert(since_order);
                Some(Progress {
                    stage: Stage::RolledBack,
                    ..progress
                })
            }
            Step::Complete => {
                self.outcome.completed.get_or_insert(since_order);
                let all = 0..self.spec.routers;
                self.outcome.cut = all.map(|r| self.former_in_flight(r)).sum();
                self.is_over = true;
                None
            }
        }
    }

    /// A router that has decided tells the others.
    fn go_on(&mut self, judge: usize, next: Progress) {
        let now = self.at(self.now);
        if !self.books[judge].on_progress(&self.service, next, now) {
            return;
        }
        for router in 0..self.spec.routers {
            let delay = MAX_DELAY.mul_f64(self.rng.f64());
            let told = Event::Progress {
                router,
                from: judge,
            };
            self.schedule_in(delay, told);
        }
    }

    pub(super) fn on_progress(&mut self, router: usize, from: usize) {
        if self.is_cut_off(router) {
            return;
        }
        let now = self.at(self.now);
        for view in self.books[from].views() {
            self.books[router].on_view(view, now);
        }
    }
}
