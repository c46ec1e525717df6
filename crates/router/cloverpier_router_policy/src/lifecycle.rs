//! Readiness and graceful shutdown of a router.
//!
//! - **Question.** Does this router accept callers, does it hold requests until it can serve them, does it
//!   still accept streams and plain requests, and may it exit?
//! - **Inputs.** Whether this router has configuration and upstreams, and when the process started; when a
//!   request arrived, and its caller's time limit; how long ago the termination signal arrived; requests in
//!   flight; the grace period in force.
//! - **Result.** A [`PeerState`], a deadline for holding a request, whether a stream or plain request is
//!   accepted, and a [`ShutdownStep`].
//! - **Why.** Callers keep a router's address for a while after it has left the directory, so a router
//!   continues to serve during its shutdown. It has to exit before the platform kills it, because the kill
//!   would cut responses in flight.
//!
//! [`StreamDurations`] owns the durations of recent streams.

use crate::deadline::CallerTimeout;
use crate::peers::PeerState;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// How long after its start a router without configuration or upstreams holds requests.
const MAX_STARTUP_HOLD: Duration = Duration::from_millis(600);
/// Fraction of the caller's time limit for which a request may be held; the rest is for the response.
const HOLD_FRACTION: f64 = 0.9;
/// Minimum time for which a router continues to serve after its termination signal. Callers keep the router's
/// address for `directory_keep_s` (1 s by default), and longer if they don't request the directory again.
const MIN_SHUTDOWN: Duration = Duration::from_millis(3_500);
/// Maximum time after its termination signal during which a router accepts new streams. After it, about 5 s of a
/// grace period of 8 s are left, and callers have requested other addresses.
const STREAM_ACCEPTANCE_PERIOD: Duration = Duration::from_millis(2_500);
/// Fraction of the grace period in which new streams are accepted while their usual duration is unknown.
const STREAM_ACCEPTANCE_FRACTION: f64 = 5.0 / 16.0;
/// Time after its termination signal during which a router accepts all plain requests. After it, callers have requested
/// other addresses, and a request that is cut at the end of the grace period was taken needlessly.
const PLAIN_ACCEPTANCE_PERIOD: Duration = Duration::from_secs(3);
/// Maximum fraction of the grace period in which a router accepts all plain requests, so that they can end within a short
/// grace period.
const PLAIN_ACCEPTANCE_FRACTION: f64 = 3.0 / 8.0;
/// Number of recent streams whose durations are kept.
const RECENT_STREAMS: usize = 20;
/// A new stream is expected to last at most this many times as long as the longest recent one, so that a stream
/// that lasts slightly longer than those is not cut.
const DURATION_MARGIN: f64 = 1.25;
/// The process exits this long before the end of its grace period, so that its last bytes are sent before the
/// platform kills it.
const EXIT_MARGIN: Duration = Duration::from_millis(300);
/// Interval at which a router checks during its shutdown whether it may exit.
pub const SHUTDOWN_CHECK_PERIOD: Duration = Duration::from_millis(50);

/// The next action of a router that has received its termination signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownStep {
    /// Continue to serve, and check again after [`SHUTDOWN_CHECK_PERIOD`].
    Serve,
    /// Exit: no request is in flight, or the grace period is nearly over.
    Exit,
}

/// The state that a router reports to peers, to the platform and to callers. `is_stopping` is true after the
/// termination signal, `is_serving` once the router has configuration and upstreams.
pub fn router_state(is_stopping: bool, is_serving: bool) -> PeerState {
    match (is_stopping, is_serving) {
        (true, _) => PeerState::Leaving,
        (false, true) => PeerState::Ready,
        (false, false) => PeerState::Starting,
    }
}

/// Until when a router that cannot serve yet holds a request. `started` is the start of the process, `arrived`
/// the arrival of the request, and `limit` its caller's time limit. `None` if `store_calls_fail`: the router
/// may then not be ready soon, and the request is refused at once.
pub fn hold_deadline(
    started: Instant,
    store_calls_fail: bool,
    arrived: Instant,
    limit: CallerTimeout,
) -> Option<Instant> {
    let startup_deadline = started + MAX_STARTUP_HOLD;
    let caller_deadline = match limit {
        // A limit beyond what `Instant` can represent counts as absent.
        CallerTimeout::Within(limit) => arrived.checked_add(limit.mul_f64(HOLD_FRACTION)),
        CallerTimeout::Absent | CallerTimeout::Unreadable => None,
    };
    (!store_calls_fail)
        .then_some(caller_deadline.map_or(startup_deadline, |at| startup_deadline.min(at)))
}

/// The durations of the streams that this router completed last.
#[derive(Clone, Debug, Default)]
pub struct StreamDurations {
    recent: VecDeque<Duration>,
}

impl StreamDurations {
    /// Records the duration of a stream that this router served from its request to its last event.
    pub fn on_completed(&mut self, duration: Duration) {
        if self.recent.len() == RECENT_STREAMS {
            self.recent.pop_front();
        }
        self.recent.push_back(duration);
    }

    /// The longest time that a new stream is expected to last; `None` before the first stream is complete.
    pub fn expected(&self) -> Option<Duration> {
        let longest = self.recent.iter().max()?;
        Some(longest.mul_f64(DURATION_MARGIN))
    }
}

/// Whether a router accepts a new stream. During a shutdown it does while the stream can be expected to end
/// within the grace period: another router serves a refused stream, but would have to resume one that is cut.
/// `stopping_for` is the time since the termination signal, `None` before it; `expected` is the longest time
/// that a new stream is expected to last, `None` if no stream has been completed yet; streams are then accepted for a
/// fraction of the grace period.
pub fn accepts_streams(
    stopping_for: Option<Duration>,
    expected: Option<Duration>,
    grace: Duration,
) -> bool {
    let Some(passed) = stopping_for else {
        return true;
    };
    let left = grace.saturating_sub(EXIT_MARGIN).saturating_sub(passed);
    let ends_in_time = match expected {
        Some(expected) => expected <= left,
        None => passed <= grace.mul_f64(STREAM_ACCEPTANCE_FRACTION),
    };
    passed <= STREAM_ACCEPTANCE_PERIOD && ends_in_time
}

/// Whether a router accepts a plain request that has `time_left` until its deadline. Late in a shutdown it accepts only
/// requests whose deadline passes before it exits, because an upstream may be silent until then. `stopping_for` is the time
/// since the termination signal, `None` before it.
pub fn accepts_plain(stopping_for: Option<Duration>, time_left: Duration, grace: Duration) -> bool {
    let Some(passed) = stopping_for else {
        return true;
    };
    let until_exit = grace.saturating_sub(EXIT_MARGIN).saturating_sub(passed);
    let period = PLAIN_ACCEPTANCE_PERIOD.min(grace.mul_f64(PLAIN_ACCEPTANCE_FRACTION));
    passed <= period || time_left <= until_exit
}

/// Whether a router may exit that received its termination signal `stopping_for` ago. `in_flight` is the number
/// of requests in flight.
pub fn shutdown_step(stopping_for: Duration, in_flight: usize, grace: Duration) -> ShutdownStep {
    let is_idle = in_flight == 0 && stopping_for >= MIN_SHUTDOWN;
    let is_over = stopping_for >= grace.saturating_sub(EXIT_MARGIN);
    if is_idle || is_over {
        ShutdownStep::Exit
    } else {
        ShutdownStep::Serve
    }
}
