//! Whether the process that took over a dead upstream's address belongs to the same service.
//!
//! - **Question.** A check of a dead upstream gets a response from a process with another name, its
//!   possible *successor*. May the successor get requests of the service before the platform's list
//!   contains it?
//! - **Inputs.** When a call was sent to the dead process, the *predecessor*, that it has answered under its own name.
//!   When the response to the check was read. How long the platform withholds an address from other services after the
//!   process there has ended.
//! - **Answer.** [`must_be_same_service`]; how often a dead upstream is checked until then; when a live one is asked for a
//!   new proof ([`is_proof_renewal_due`]).
//! - **Why.** An engine that crashes is back after about a second under another name. During an outage of
//!   the platform's store it cannot register, so when two data centres crash during such an outage, half
//!   of the engines run but are unknown to routers. The conclusion is safe: a process that answers a call
//!   was alive after the call was sent. From its end on, the platform withholds the address from other services
//!   for a fixed time, during which only the same service can respond there. When the answer, or a later part of it, was
//!   read proves nothing: bytes wait in this host while this process is paused or its caller reads slowly, in a peer that
//!   relays them and is paused, and on a path that is cut and works again. A name belongs to one
//!   process, so the conclusion holds for as long as the name does: each request names the upstream
//!   that it is for, and any other upstream rejects it. The platform's list takes precedence: its entry for
//!   the successor overrides the assumed one, and a successor that is still missing two seconds after the
//!   store became reachable counts as removed.
//!
//! Owns no state; relies on the caller for the times, by a clock that includes suspensions, and on the platform for the
//! withheld addresses.

use std::time::{Duration, Instant};

/// Age of the last proof that an upstream ran from which it is asked for another one while the store is away. An engine is
/// back about a second after its end; the proof must still count then.
const PROOF_RENEWAL_AGE: Duration = Duration::from_millis(300);
/// Interval at which upstreams whose proof is too old are looked for.
pub const PROOF_RENEWAL_PERIOD: Duration = Duration::from_millis(200);
/// The most upstreams that one router asks in such an interval. Its share is a few; a router that has lost its peers is the
/// only one that it knows, and all upstreams are its share.
pub const MAX_PROOF_RENEWALS: usize = 16;
/// Interval between checks of a dead upstream while its successor can still be accepted.
pub(crate) const SUCCESSOR_CHECK_PERIOD: Duration = Duration::from_millis(100);

/// Whether an upstream is asked for a new proof that it runs, so that its successor can be told if it ends while the
/// platform's store is away. `proven_alive_at` and `address_reuse` are those of [`successor_deadline`]; `None` without a
/// proof.
pub fn is_proof_renewal_due(
    proven_alive_at: Option<Instant>,
    address_reuse: Duration,
    now: Instant,
) -> bool {
    let is_old = |at| now.saturating_duration_since(at) >= PROOF_RENEWAL_AGE;
    !address_reuse.is_zero() && proven_alive_at.is_none_or(is_old)
}

/// Until when a response at a dead process's address must come from the same service.
///
/// `proven_alive_at` is when the last call was sent to that address that the dead process has answered. `address_reuse` is
/// how long the platform withholds the address of a process that has ended from other services, a router
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
