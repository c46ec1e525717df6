//! Decides when a connection to an upstream is used again, and how many idle connections are kept.
//!
//! - **Question.** Is it safe to send a request on this idle connection? How many idle connections are kept?
//! - **Inputs.** How long the connection has been idle; the idle timeout that the upstream announces; the number of
//!   connections that the upstream accepts from all routers, and the number of routers.
//! - **Result.** Yes or no; a number of connections.
//! - **Why.** If an upstream closes a connection while a request is on its way, it is unknown whether the request
//!   ran, and a request that runs at most once can't be retried. So a router stops using a connection well before
//!   the upstream would close it. And an upstream resets connections beyond the number that it accepts, so the
//!   idle connections of all routers together leave capacity for those in use.
//!
//! Owns no state; the connection pool of `cloverpier_router` applies the rules.

use std::time::Duration;

/// Maximum number of idle connections that a router keeps to one upstream; beyond it, the connection that has been
/// idle longest is closed.
pub const MAX_IDLE_CONNECTIONS: usize = 16;
/// Idle timeout of connections to an upstream that does not announce one by a `Keep-Alive` header.
pub const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(4_000);
/// A connection is not used any more from this long before the upstream's idle timeout. The margin covers the
/// delay of a request on its way to the upstream and a pause of either process.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(700);
/// Interval at which idle connections that can no longer be used are closed.
pub const IDLE_SWEEP_PERIOD: Duration = Duration::from_millis(500);
/// Timeout for opening a connection to an upstream. The one-way delay between data centres is about 1.5 ms (from
/// the requirements), so only a lost packet or a dead host takes longer.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Fraction of the connections accepted by an upstream that all routers together may keep idle; the rest is for
/// connections with requests.
const IDLE_FRACTION: f64 = 0.75;

/// The number of idle connections that each of `routers` routers keeps to an upstream. The upstream accepts
/// `max_connections` from all routers together; 0 means that the configuration sets no such number.
pub fn idle_connection_limit(max_connections: u32, routers: usize) -> usize {
    if max_connections == 0 {
        return MAX_IDLE_CONNECTIONS;
    }
    let share = f64::from(max_connections) * IDLE_FRACTION / routers.max(1) as f64;
    // The conversion rounds down, so that the sum over all routers stays within the fraction.
    (share as usize).min(MAX_IDLE_CONNECTIONS)
}

/// Whether a connection that has been idle for `idle` may carry another request, given the idle timeout of its
/// upstream.
pub fn is_reusable(idle: Duration, idle_timeout: Duration) -> bool {
    idle < idle_timeout.saturating_sub(IDLE_TIMEOUT_MARGIN)
}
