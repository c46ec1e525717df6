//! Whether the process at the address of a dead upstream belongs to the same service.
//!
//! - **Question.** A check of a dead upstream is answered under another name. May that process
//!   get requests of the service before the platform's list names it?
//! - **Inputs.** The last sign of life of the former process, which has to be part of its own
//!   answer to a request: a probe may have been answered by the next process already. When the
//!   answer arrived; how long the platform keeps an address from other services after its
//!   process has ended.
//! - **Answer.** [`must_be_same_service`]; how often a dead upstream is checked meanwhile.
//! - **Why.** An engine that crashes is back after about a second under another name. While the
//!   platform's store is away, it cannot enter itself into the list, and after the deaths of
//!   two data centres in such a time half of the engines were unknown though they lived.
//!   The proof: the former process ended after its last sign of life. Until the platform lets
//!   another service have the address, counted from that end, only the same service can answer
//!   there. A name belongs to one start of one process, so what is concluded holds for as long
//!   as the name does: each request names the upstream that is meant, and any other one turns
//!   it down. The platform's list overrides: what it says of the upstream counts, and one
//!   that it does not name two seconds after the store was reached again is gone.

use std::time::{Duration, Instant};

/// What arrived from a process was sent at most this long before: links of one region take 3 ms. A
/// link whose packets wait longer is choked.
const MAX_DELAY: Duration = Duration::from_millis(250);
/// How often a dead upstream is checked while a successor would be recognized.
pub(crate) const CHECK_PAUSE: Duration = Duration::from_millis(100);

/// Until when an answer at the address of a process must come from its own service; `last_sign`
/// is when anything of that process arrived last.
pub fn recognizable_until(last_sign: Instant, address_reuse: Duration) -> Instant {
    last_sign + address_reuse.saturating_sub(MAX_DELAY)
}

/// Whether a process that answered at `answered` must belong to the service of the former one.
pub fn must_be_same_service(
    last_sign: Instant,
    answered: Instant,
    address_reuse: Duration,
) -> bool {
    answered < recognizable_until(last_sign, address_reuse)
}
