//! Readiness and the planned stop of a router.
//!
//! - **Question.** Does this router take callers, does it still take streams, and may it
//!   exit?
//! - **Inputs.** Whether configuration and upstreams are known; when the termination signal
//!   came; requests in flight; the grace period in force.
//! - **Answer.** A [`PeerState`] and a [`StopStep`].
//! - **Why.** Callers keep a router's address for a while after it has left the directory,
//!   so a stopping router goes on serving; and it must be gone before the platform kills
//!   it, which would cut what is in flight.

use crate::peers::PeerState;
use std::time::Duration;

/// A stopping router serves at least this long, as callers keep its address for
/// `directory_keep_s` (1 s by default) and longer if they don't ask anew.  Chosen, not
/// measured.
const MIN_STOP: Duration = Duration::from_millis(3_500);
/// A stopping router takes new streams for this long; one that begins later could not end
/// within the grace period, 8 s by default (70c80fb).  Chosen, not measured.
const STREAMS_WHILE_STOPPING: Duration = Duration::from_millis(2_500);
/// The process exits this long before the end of its grace period, as its last bytes have to
/// leave before the kill.  Chosen, not measured.
const KILL_MARGIN: Duration = Duration::from_millis(300);
/// How often a stopping router checks whether it may exit.  Chosen, not measured.
pub const STOP_CHECK_PERIOD: Duration = Duration::from_millis(50);

/// What a stopping router does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopStep {
    /// Go on serving and check again.
    Serve,
    /// Exit: nothing is in flight, or the grace period is over.
    Exit,
}

/// The state that a router reports to peers, to the platform and to callers.
pub fn router_state(is_stopping: bool, is_serving: bool) -> PeerState {
    match (is_stopping, is_serving) {
        (true, _) => PeerState::Leaving,
        (false, true) => PeerState::Ready,
        (false, false) => PeerState::Starting,
    }
}

/// Whether a stream that begins this long after the termination signal is taken; `None`
/// where there was no signal.
pub fn takes_streams(stopping_for: Option<Duration>) -> bool {
    stopping_for.is_none_or(|passed| passed <= STREAMS_WHILE_STOPPING)
}

/// Whether a router that got its termination signal `stopping_for` ago may exit.
pub fn stop_step(stopping_for: Duration, in_flight: usize, grace: Duration) -> StopStep {
    let is_idle = in_flight == 0 && stopping_for >= MIN_STOP;
    let is_over = stopping_for >= grace.saturating_sub(KILL_MARGIN);
    if is_idle || is_over {
        StopStep::Exit
    } else {
        StopStep::Serve
    }
}
