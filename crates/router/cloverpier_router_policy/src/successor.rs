//! Whether the process that took over a dead upstream's address belongs to the same service.
//!
//! - **Question.** A check of a dead upstream gets a response from a process with another name, its
//!   possible *successor*. May the successor get requests of the service before the platform's list
//!   contains it?
//! - **Inputs.** When data from the dead process, the *predecessor*, last arrived, at the earliest: a router that was
//!   paused, or whose caller reads slowly, reads it later. Only its responses to
//!   requests count: a probe may already have been answered by the successor. When the response to the
//!   check arrived. How long the platform withholds an address from other services after the process
//!   there has ended.
//! - **Answer.** [`must_be_same_service`]; how often a dead upstream is checked until then.
//! - **Why.** An engine that crashes is back after about a second under another name. During an outage of
//!   the platform's store it cannot register, so when two data centres crash during such an outage, half
//!   of the engines run but are unknown to routers. The conclusion is safe: the predecessor ended
//!   after its last response. From that end on, the platform withholds the address from other services
//!   for a fixed time, during which only the same service can respond there. A name belongs to one
//!   process, so the conclusion holds for as long as the name does: each request names the upstream
//!   that it is for, and any other upstream rejects it. The platform's list takes precedence: its entry for
//!   the successor overrides the assumed one, and a successor that is still missing two seconds after the
//!   store became reachable counts as removed.
//!
//! Owns no state; relies on the caller for the times and on the platform for the withheld addresses.

use std::time::{Duration, Instant};

/// Upper bound on the network delay of data from a process. Links within a region take 3 ms; longer
/// delays mean that packets are queued on a congested link.
const MAX_NETWORK_DELAY: Duration = Duration::from_millis(250);
/// Interval between checks of a dead upstream while its successor can still be accepted.
pub(crate) const SUCCESSOR_CHECK_PERIOD: Duration = Duration::from_millis(100);

/// Until when a response at a dead process's address must come from the same service.
///
/// `last_response` is when data of a response from the dead process last arrived. `address_reuse` is how
/// long the platform withholds the address of a process that has ended from other services, a router
/// setting; zero if the platform guarantees no time, and then no successor is accepted.
pub fn successor_deadline(last_response: Instant, address_reuse: Duration) -> Instant {
    last_response + address_reuse.saturating_sub(MAX_NETWORK_DELAY)
}

/// Whether a process that responded at `responded_at` at a dead process's address must belong to the
/// same service. `last_response` and `address_reuse` are those of [`successor_deadline`].
pub fn must_be_same_service(
    last_response: Instant,
    responded_at: Instant,
    address_reuse: Duration,
) -> bool {
    responded_at < successor_deadline(last_response, address_reuse)
}
