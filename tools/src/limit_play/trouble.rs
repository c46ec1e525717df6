//! Troubles of the play: routers that are killed, stand still or are cut off.
//!
//! What others believe of them meanwhile is [`super::beliefs`]'s. Owns no state.

use super::Trouble;
use super::beliefs::router_of;
use super::world::{CUT, Event, RouterModel, World, new_router};
use std::time::Duration;

/// How long after its death a router is back, under its address.
const BACK_AFTER: Duration = Duration::from_millis(800);
/// How long a router stands still.
const FROZEN_FOR: Duration = Duration::from_millis(2_500);
/// How often limiters are harmed.
pub(super) const HARM_EACH: Duration = Duration::from_secs(6);

impl World {
    pub(super) fn kill(&mut self, router: usize) {
        let state = &mut self.routers[router];
        if !state.is_up {
            return;
        }
        state.is_up = false;
        state.life += 1;
        state.pending.clear();
        self.beliefs.set_running(router, false, self.now);
        self.schedule_in(BACK_AFTER, Event::Started(router));
    }

    pub(super) fn started(&mut self, router: usize) {
        let former = &self.routers[router];
        let (life, datagrams, requests) = (former.life, former.datagrams, former.requests);
        self.routers[router] = RouterModel {
            datagrams,
            requests,
            ..new_router(router, self.instant(), life)
        };
        self.beliefs.set_running(router, true, self.now);
        self.announce_start(router);
    }

    pub(super) fn cut(&mut self) {
        let routers = self.spec.routers;
        let side_of = |router: usize| match (self.spec.trouble, router % 4) {
            (Trouble::CutOff, 0) => router + 1,
            (Trouble::CutInTwo, 0) => 1,
            _ => 0,
        };
        let sides = (0..routers).map(side_of).collect();
        self.beliefs.set_sides(sides, self.now);
    }

    /// Kills the limiter of each limited upstream, or has it stand still.
    pub(super) fn harm_limiters(&mut self) {
        self.schedule_in(HARM_EACH, Event::HarmLimiters);
        let mut limiters = Vec::new();
        for upstream in 0..self.spec.limited {
            let observer = self.routers.iter().find(|r| r.is_up);
            let place = self.place_of(upstream);
            let limiter = observer.and_then(|o| o.permits.limiter_of(place, self.instant()));
            limiters.extend(limiter.map(router_of));
        }
        limiters.sort_unstable();
        limiters.dedup();
        for router in limiters {
            if self.spec.trouble == Trouble::LimitersKilled {
                self.kill(router);
            } else {
                self.routers[router].frozen_until = self.now + FROZEN_FOR;
                self.beliefs.set_running(router, false, self.now);
                self.schedule_in(FROZEN_FOR, Event::Wake(router));
            }
        }
    }

    /// Whether a router reaches an upstream.
    pub fn reaches(&self, router: usize, upstream: usize) -> bool {
        let is_in_two = self.spec.trouble == Trouble::CutInTwo;
        let is_cut = is_in_two && (CUT.0..CUT.1).contains(&self.now);
        !is_cut || router.is_multiple_of(4) == upstream.is_multiple_of(4)
    }
}
