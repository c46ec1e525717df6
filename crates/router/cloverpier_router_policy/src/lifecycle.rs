//! Readiness and the planned stop of a router.
//!
//! - **Question.** Does this router take callers, does it hold requests until it can serve them,
//!   does it still take streams, and may it exit?
//! - **Inputs.** Whether configuration and upstreams are known, and how long ago the process
//!   started; when a request arrived, and its caller's limit; when the termination signal came;
//!   requests in flight; the grace period in force.
//! - **Answer.** A [`PeerState`], a moment and a [`StopStep`].
//! - **Why.** Callers keep a router's address for a while after it has left the directory,
//!   so a stopping router goes on serving; and it must be gone before the platform kills
//!   it, which would cut what is in flight.

use crate::deadline::CallerTimeout;
use crate::peers::PeerState;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Longest time after its start for which a router without configuration or upstreams holds
/// requests.
const START_HOLD: Duration = Duration::from_millis(600);
/// Part of the caller's limit for which its request is held; the rest is for the answer.
const HELD_SHARE: f64 = 0.9;
/// A stopping router serves at least this long, as callers keep its address for `directory_keep_s`
/// (1 s by default) and longer if they don't ask anew.
const MIN_STOP: Duration = Duration::from_millis(3_500);
/// A stopping router takes new streams for this long at most: about 5 s of a grace period of 8 s
/// are left then, and callers have asked for other addresses.
const STREAMS_WHILE_STOPPING: Duration = Duration::from_millis(2_500);
/// Streams whose durations are remembered.
const REMEMBERED_STREAMS: usize = 20;
/// A new stream is expected to last no longer than this many times the longest of them, so that none
/// is cut that lasts a little longer than those seen.
const LONGEST_FACTOR: f64 = 1.25;
/// The process exits this long before the end of its grace period, as its last bytes have to leave
/// before the kill.
const KILL_MARGIN: Duration = Duration::from_millis(300);
/// How often a stopping router checks whether it may exit.
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

/// Until when a router that started at a moment holds a request that it cannot serve yet, which
/// arrived at another one; `None` where `store_fails`: then the router is not known to be ready
/// soon, and the request is refused at once.
pub fn holds_until(
    started: Instant,
    store_fails: bool,
    arrived: Instant,
    limit: CallerTimeout,
) -> Option<Instant> {
    let until = started + START_HOLD;
    let caller_until = match limit {
        // A limit beyond all moments is none.
        CallerTimeout::Within(limit) => arrived.checked_add(limit.mul_f64(HELD_SHARE)),
        CallerTimeout::Absent | CallerTimeout::Unreadable => None,
    };
    (!store_fails).then_some(caller_until.map_or(until, |at| until.min(at)))
}

/// How long the streams lasted that ended last at this router.
#[derive(Clone, Debug, Default)]
pub struct StreamDurations {
    last: VecDeque<Duration>,
}

impl StreamDurations {
    /// Records a stream that was served from its beginning to its end.
    pub fn on_completed(&mut self, duration: Duration) {
        if self.last.len() == REMEMBERED_STREAMS {
            self.last.pop_front();
        }
        self.last.push_back(duration);
    }

    /// How long a new stream may be expected to last at most; `None` before any has ended.
    pub fn expected(&self) -> Option<Duration> {
        let longest = self.last.iter().max()?;
        Some(longest.mul_f64(LONGEST_FACTOR))
    }
}

/// Whether a stream that begins this long after the termination signal is taken, which is so
/// while it can be expected to end within the grace period; `stopping_for` is `None` where
/// there was no signal. One that is refused is served by another router, one that is cut has
/// to be resumed there.
pub fn takes_streams(
    stopping_for: Option<Duration>,
    expected: Option<Duration>,
    grace: Duration,
) -> bool {
    let Some(passed) = stopping_for else {
        return true;
    };
    let left = grace.saturating_sub(KILL_MARGIN).saturating_sub(passed);
    let ends_in_time = expected.is_none_or(|expected| expected <= left);
    passed <= STREAMS_WHILE_STOPPING && ends_in_time
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
