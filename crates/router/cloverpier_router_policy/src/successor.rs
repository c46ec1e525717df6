//! Whether the process that took over a dead upstream's address belongs to the same service.
//!
//! - **Question.** A check of a dead upstream gets a response from a process with another name, its
//!   possible *successor*. May the successor get requests of the service before the platform's list
//!   contains it?
//! - **Inputs.** When the latest call was sent to the dead process, the *predecessor*, that has a response under its own
//!   name. When the response to the check was read. How long the platform withholds an address from other services after
//!   the process there has ended.
//! - **Answer.** [`must_be_same_service`]; how often a dead upstream is checked until then; when an upstream is queried for
//!   more recent evidence ([`is_liveness_query_due`]).
//! - **Why.** An engine that crashes is back after about a second under another name. During an outage of
//!   the platform's store it cannot register, so when two data centres crash during such an outage, half
//!   of the engines run but are unknown to routers. The conclusion is safe: the predecessor was
//!   running after the call was sent. From its end on, the platform withholds the address from other services
//!   for a fixed time, during which only the same service can respond there. The time at which a response was read is no
//!   input, because its data may have been buffered for long: in this host while this process is paused or its caller reads
//!   slowly, in a paused peer that relays it, or on a path that was partitioned. A name belongs to one
//!   process, so the conclusion holds for as long as the name does: each request names the upstream
//!   that it is for, and any other upstream rejects it. The platform's list takes precedence: its entry for
//!   the successor overrides the assumed one, and a successor that is still missing two seconds after the
//!   store became reachable counts as removed.
//!
//! Owns no state; relies on the caller for the times, by a clock that includes suspensions, and on the platform for the
//! withheld addresses.

use std::time::{Duration, Instant};

/// Age of the evidence for an upstream from which the upstream is queried. An engine restarts within about a second, and the
/// evidence has to be recent enough then.
const MAX_EVIDENCE_AGE: Duration = Duration::from_millis(300);
/// Interval between two searches for upstreams that are due.
pub const LIVENESS_QUERY_PERIOD: Duration = Duration::from_millis(200);
/// Maximum number of upstreams that a router queries per interval. A router that has lost its peers would query all.
pub const MAX_LIVENESS_QUERIES: usize = 16;
/// Interval between checks of a dead upstream while its successor can still be accepted.
pub(crate) const SUCCESSOR_CHECK_PERIOD: Duration = Duration::from_millis(100);

/// Whether an upstream is queried for more recent evidence while the store is unreachable, so that its successor can be
/// recognized. `proven_alive_at` and `address_reuse` are those of [`successor_deadline`]; `None` without evidence.
pub fn is_liveness_query_due(
    proven_alive_at: Option<Instant>,
    address_reuse: Duration,
    now: Instant,
) -> bool {
    let is_old = |at| now.saturating_duration_since(at) >= MAX_EVIDENCE_AGE;
    !address_reuse.is_zero() && proven_alive_at.is_none_or(is_old)
}

/// Until when a response at a dead process's address must come from the same service.
///
/// `proven_alive_at` is when the latest call to that address was sent that has a response under the dead process's name.
/// `address_reuse` is how long the platform withholds the address of a process that has ended from other services, a router
/// setting; zero if the platform guarantees no time, and then no successor is accepted.
pub fn successor_deadline(proven_alive_at: Instant, address_reuse: Duration) -> Instant {
    proven_alive_at + address_reuse
}

/// Whether a process whose response was read at `responded_at` at a dead process's address must belong to the
/// same service. `proven_alive_at` and `address_reuse` are those of [`successor_deadline`].
pub fn must_be_same_service(
    proven_alive_at: Instant,
    responded_at: Instant,
    address_reuse: Duration,
) -> bool {
    responded_at < successor_deadline(proven_alive_at, address_reuse)
}
