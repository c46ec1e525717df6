//! When a connection to an upstream is used again.
//!
//! - **Question.** Is this idle connection safe to send a request on? How many are kept?
//! - **Inputs.** How long it has been idle; how long the upstream says that it keeps idle
//!   connections; how many connections it takes from all routers, and how many these are.
//! - **Answer.** Yes or no; a number.
//! - **Why.** A connection that the upstream closes while a request is on its way leaves
//!   open whether the request ran, which ends a request that runs at most once. So a
//!   connection is given up well before the upstream would close it. And an upstream resets what goes
//!   beyond the connections that it takes, so idle ones of all routers together leave room for those in use.

use std::time::Duration;

/// Connections kept to one upstream at most; beyond it the longest idle one is closed.
pub const MAX_KEPT: usize = 16;
/// How long a connection is kept where the upstream does not say.
pub const DEFAULT_IDLE_LIMIT: Duration = Duration::from_millis(4_000);
/// A connection is given up this long before the upstream would close it: a request's way there,
/// and a pause of either process.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// How often connections that cannot be used again are closed.
pub const SWEEP_PERIOD: Duration = Duration::from_millis(500);
/// A connection to an upstream has to come up within this time. One way between data centres takes
/// about 1.5 ms (the brief), so only a lost packet or a dead host takes longer.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// The part of an upstream's connections that all routers together keep idle; the rest is for requests.
const KEPT_SHARE: f64 = 0.75;

/// How many connections one of `routers` keeps to an upstream that takes `max_connections` from all of them; 0
/// where the configuration does not say how many it takes.
pub fn kept_limit(max_connections: u32, routers: usize) -> usize {
    if max_connections == 0 {
        return MAX_KEPT;
    }
    let share = f64::from(max_connections) * KEPT_SHARE / routers.max(1) as f64;
    // At most a few.
    (share as usize).min(MAX_KEPT)
}

/// Whether a connection that was idle for `idle` may carry another request.
pub fn is_reusable(idle: Duration, idle_limit: Duration) -> bool {
    idle < idle_limit.saturating_sub(IDLE_MARGIN)
}
