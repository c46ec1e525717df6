//! Timing of a router's pings to the platform's store.
//!
//! - **Question.** When is the next ping, if any?
//! - **Inputs.** The router's role as a watcher ([`crate::store_watch`]); the number of live routers; the
//!   results of the last pings.
//! - **Result.** A pause, or none for a router that leaves the store to other watchers.
//! - **Why.** A ping costs a tenth of a call. A watcher's pings detect a store that stopped responding while
//!   the watches are still waiting. A router that replaces a watcher pings before it watches. So a store that
//!   is down for all routers receives only pings, spread over time, and if the store serves a few routers,
//!   they detect that within a fraction of a second.
//!
//! [`PingPacing`] owns the state of one router's pings.

use crate::store_watch::{WatcherRole, max_backoff};
use std::time::Duration;

/// Interval between a watcher's pings to the store; a ping costs a tenth of a call. Together with
/// [`PING_SUSPICION_TIMEOUT`], it bounds the time until a silent store is detected.
pub const PING_PERIOD: Duration = Duration::from_millis(250);
/// Interval between a chosen watcher's pings while they fail. It is longer than [`PING_PERIOD`], so that a
/// store that is down for all routers is not called more often than one that responds.
const FAILING_PING_PERIOD: Duration = Duration::from_millis(400);
/// How long a ping goes without a response before the watcher reports that it does not reach the store. A
/// healthy store responds in about 4 ms.
pub const PING_SUSPICION_TIMEOUT: Duration = Duration::from_millis(150);
/// Timeout of a ping, after which it has failed.
pub const PING_TIMEOUT: Duration = Duration::from_millis(500);
/// Routers that replace a watcher spread their first pings over this time multiplied by the number of live
/// routers. A heartbeat takes about 2 ms, so that most of them receive the report of a successful router
/// before their own ping is due.
const FIRST_PING_SPREAD_PER_ROUTER: Duration = Duration::from_millis(2);
/// Maximum time over which first pings are spread, so that a large fleet does not wait longer.
const MAX_FIRST_PING_SPREAD: Duration = Duration::from_millis(150);

/// Computes the pauses between one router's pings to the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct PingPacing {
    /// Whether this router, as a fallback watcher, has already been given the pause before its first ping.
    is_first_ping_scheduled: bool,
    /// The pause after the last failed ping, before randomisation; `None` if the last ping succeeded.
    pause: Option<Duration>,
}

impl PingPacing {
    /// The pause before the next ping; `None` if a router with this role does not ping. `random` returns a
    /// number that is uniformly distributed between 0 and 1.
    pub fn pause(
        &mut self,
        role: WatcherRole,
        live_routers: usize,
        random: impl FnOnce() -> f64,
    ) -> Option<Duration> {
        match role {
            WatcherRole::Fallback => {}
            WatcherRole::Chosen => {
                self.is_first_ping_scheduled = false;
                return Some(self.pause.map_or(PING_PERIOD, |_| FAILING_PING_PERIOD));
            }
            WatcherRole::Standby => {
                *self = Self::default();
                return None;
            }
        }
        if !std::mem::replace(&mut self.is_first_ping_scheduled, true) {
            let routers = u32::try_from(live_routers).unwrap_or(u32::MAX);
            let spread = (FIRST_PING_SPREAD_PER_ROUTER * routers).min(MAX_FIRST_PING_SPREAD);
            return Some(spread.mul_f64(random()));
        }
        // The pause is random, between half and the whole, so that the pings of routers that became fallbacks
        // together spread out.
        let pause = self.pause.unwrap_or(PING_PERIOD);
        Some(pause.mul_f64(0.5 + random() / 2.0))
    }

    /// Records a ping's result. Each failed ping multiplies the pause by four, up to [`max_backoff`].
    pub fn on_result(&mut self, has_succeeded: bool, role: WatcherRole, live_routers: usize) {
        self.pause = if has_succeeded {
            None
        } else {
            let max_pause = max_backoff(role, live_routers);
            // Before the first failure, the regular interval was in use.
            Some((self.pause.unwrap_or(PING_PERIOD) * 4).min(max_pause))
        };
    }
}
