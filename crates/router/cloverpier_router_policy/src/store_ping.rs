//! When a router pings the platform's store.
//!
//! - **Question.** When is the next ping, if any?
//! - **Inputs.** The router's role as a watcher ([`crate::store_watch`]); how many routers are
//!   alive; whether the last pings were answered.
//! - **Answer.** A pause, or none for a router that leaves the store to others.
//! - **Why.** A ping costs a tenth of a call. A watcher's pings show that the store is silent
//!   behind watches that wait. A router that steps in pings before it watches: a store that is
//!   down for all then gets no more than from routers that take turns, and one that serves a
//!   few routers is found by them within a fraction of a second.
//!
//! [`PingPacing`] is the state of one router's pings.

use crate::store_watch::{WatcherRole, max_backoff};
use std::time::Duration;

/// How often a watcher pings the store while its watches wait: a ping costs a tenth of a call. With
/// [`PING_SUSPICION_TIMEOUT`] it bounds the time until a silent store is noticed.
pub const PING_PERIOD: Duration = Duration::from_millis(250);
/// The same for a chosen watcher while its pings fail, so that a store that answers nobody is not
/// called more often than one that answers.
const FAILING_PING_PERIOD: Duration = Duration::from_millis(400);
/// A ping without an answer for this long makes the watcher say that it does not reach the store; a
/// healthy store answers in about 4 ms.
pub const PING_SUSPICION_TIMEOUT: Duration = Duration::from_millis(150);
/// How long a ping waits for its answer.
pub const PING_TIMEOUT: Duration = Duration::from_millis(500);
/// Routers that step in spread their first pings over this time for each router, so that most see
/// another one succeed before it is their turn; a heartbeat takes about 2 ms.
const STEP_IN_SPREAD: Duration = Duration::from_millis(2);
/// And over this time at most, so that a large fleet does not wait for it.
const MAX_STEP_IN_SPREAD: Duration = Duration::from_millis(150);

/// When a router pings the store next, by its role.
#[derive(Clone, Copy, Debug, Default)]
pub struct PingPacing {
    has_stepped_in: bool,
    pause: Option<Duration>,
}

impl PingPacing {
    /// The pause before the next ping; `None` where the router does not ping. `random` is drawn
    /// evenly from 0 to 1.
    pub fn pause(
        &mut self,
        role: WatcherRole,
        live_routers: usize,
        random: impl FnOnce() -> f64,
    ) -> Option<Duration> {
        match role {
            WatcherRole::Fallback => {}
            WatcherRole::Chosen => {
                self.has_stepped_in = false;
                return Some(self.pause.map_or(PING_PERIOD, |_| FAILING_PING_PERIOD));
            }
            WatcherRole::Standby => {
                *self = Self::default();
                return None;
            }
        }
        if !std::mem::replace(&mut self.has_stepped_in, true) {
            let routers = u32::try_from(live_routers).unwrap_or(u32::MAX);
            let spread = (STEP_IN_SPREAD * routers).min(MAX_STEP_IN_SPREAD);
            return Some(spread.mul_f64(random()));
        }
        // A part of it by chance, so that pings of routers that stepped in together drift apart.
        let pause = self.pause.unwrap_or(PING_PERIOD);
        Some(pause.mul_f64(0.5 + random() / 2.0))
    }

    /// Records a ping's result: the pause after an unanswered one is four times as long.
    pub fn on_result(&mut self, is_answered: bool, role: WatcherRole, live_routers: usize) {
        self.pause = if is_answered {
            None
        } else {
            let most = max_backoff(role, live_routers);
            // The first failure has no pause before it.
            Some((self.pause.unwrap_or(PING_PERIOD) * 4).min(most))
        };
    }
}
