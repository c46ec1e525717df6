//! When a refused caller should retry.
//!
//! - **Question.** A request was refused and has not run: after what time is it worth
//!   sending again?
//! - **Inputs.** Why it was refused; for a request that was tried, its route's objective, or the time
//!   for which all upstreams of its service want nothing, or its turn where they limit themselves.
//! - **Answer.** A duration, which callers get as `Retry-After`.
//! - **Why.** The request is refused at once, never held. Coming back too soon meets the
//!   same state; too late misses the objective, the time within which an answer counts. Callers that wait
//!   for the same moment return one after the other, in their order.

use crate::upstream_table::ServiceWait;
use std::time::Duration;

/// After a request that was tried: this part of its route's objective, so that a second try still
/// has most of it.
const OBJECTIVE_SHARE: f64 = 0.4;
/// Callers that were refused while a service wanted nothing return within this part of what their
/// objective leaves after that.
const RETURN_SHARE: f64 = 0.2;
/// The least time, whatever the objective.
const MIN_WAIT: Duration = Duration::from_millis(40);
/// The longest time, whatever the objective.
const MAX_WAIT: Duration = Duration::from_millis(1_000);
/// A router that starts learns the configuration soon or not at all.
const STARTING_WAIT: Duration = Duration::from_millis(300);
/// Another router serves at once.
const STOPPING_WAIT: Duration = Duration::from_millis(10);
/// A directory without a ready router learns of one by the next heartbeat (200 ms, the setting's
/// default).
const DIRECTORY_WAIT: Duration = Duration::from_millis(200);

/// Why a caller is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// This router has no configuration or no list of upstreams yet.
    Starting,
    /// This router stops and the request would outlive it.
    Stopping,
    /// This router's memory is taken by others' bodies and answers.
    OutOfMemory,
    /// This router knows no router that callers could use.
    NoRouterKnown,
    /// No upstream could be given the request.
    NoUpstream {
        /// The route's objective.
        objective: Duration,
    },
    /// All upstreams of the service want nothing for now.
    UpstreamsWait {
        /// For how long.
        wait: ServiceWait,
        /// The route's objective.
        objective: Duration,
    },
    /// All upstreams of the service limit themselves.
    UpstreamsLimited {
        /// When it is this caller's turn, after those that were refused before.
        turn: Duration,
    },
}

/// The time after which the caller should retry.
pub fn retry_after(refusal: Refusal) -> Duration {
    match refusal {
        Refusal::Starting => STARTING_WAIT,
        Refusal::Stopping | Refusal::OutOfMemory => STOPPING_WAIT,
        Refusal::NoRouterKnown => DIRECTORY_WAIT,
        Refusal::NoUpstream { objective } => {
            let wait = objective.mul_f64(OBJECTIVE_SHARE);
            wait.clamp(MIN_WAIT, MAX_WAIT)
        }
        Refusal::UpstreamsWait { wait, objective } => {
            // Earlier nobody serves it, however short its objective is; all at once, they would meet full upstreams.
            let room = objective.saturating_sub(wait.remaining);
            let later = wait.elapsed.min(room.mul_f64(RETURN_SHARE));
            (wait.remaining + later).max(MIN_WAIT)
        }
        Refusal::UpstreamsLimited { turn } => turn.max(MIN_WAIT),
    }
}
