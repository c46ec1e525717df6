//! Decides whether a stream that no engine takes now waits, and for how long.
//!
//! - **Question.** Does this stream wait in the router, until when, and when does a caller that is refused return?
//! - **Inputs.** The request's deadline; how long a stream takes once it is sent; the streams that go before it, over all
//!   routers; the number of streams in flight.
//! - **Result.** A [`WaitDecision`].
//! - **Why.** A stream that can still be complete by its deadline is better served late than refused. One that can't is
//!   refused at once, and not when its deadline passes. Streams in flight end at a known rate, which predicts the wait.
//!
//! [`StreamDuration`] owns the smoothed duration of completed streams.

use std::time::{Duration, Instant};

/// Weight of a new sample in the smoothed duration of streams.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Maximum number of streams that wait at one router. Each of them holds its body in memory and a connection.
pub const MAX_WAITING: usize = 512;
/// Minimum time for which a stream that resumes waits for its turn before it overcommits an engine.
const MIN_RESUMED_WAIT: Duration = Duration::from_millis(200);

/// The smoothed time from sending a stream to its last event.
#[derive(Clone, Copy, Debug, Default)]
pub struct StreamDuration {
    mean_s: Option<f64>,
}

impl StreamDuration {
    /// Records a completed stream.
    pub fn on_completed(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        let mean = self.mean_s.get_or_insert(took);
        *mean += SAMPLE_WEIGHT * (took - *mean);
    }

    /// The mean duration; `None` before the first stream is complete.
    pub fn mean(&self) -> Option<Duration> {
        Duration::try_from_secs_f64(self.mean_s?).ok()
    }
}

/// The inputs of [`decide_wait`].
#[derive(Clone, Copy, Debug)]
pub struct WaitInputs {
    /// The present moment.
    pub now: Instant,
    /// When the request arrived.
    pub arrived: Instant,
    /// When the request's timeout ends.
    pub deadline: Instant,
    /// The longest wait that the settings allow.
    pub max_wait: Duration,
    /// The mean duration of the service's streams; `None` while it is unknown.
    pub duration: Option<Duration>,
    /// Number of waiting streams, over all routers, that go before this one or have its rank.
    pub ahead: u32,
    /// Number of streams that the engines take now.
    pub room: u32,
    /// Number of the service's streams in flight, over all routers.
    pub in_flight: u32,
    /// Number of streams that wait at this router.
    pub waiting_here: usize,
}

/// What happens to a stream that no engine takes now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitDecision {
    /// The stream waits for its turn.
    Wait {
        /// When it is refused unless its turn has come.
        until: Instant,
    },
    /// The request is refused.
    Refuse {
        /// The predicted time until a turn, if the stream can be served after it; `None` if no such time is known.
        retry_after: Option<Duration>,
    },
}

/// Decides whether a stream waits.
pub fn decide_wait(inputs: &WaitInputs) -> WaitDecision {
    let duration = inputs.duration.unwrap_or_default();
    let latest_start = inputs.deadline.checked_sub(duration);
    let latest_start = latest_start.unwrap_or(inputs.now);
    let until = latest_start.min(inputs.arrived + inputs.max_wait);
    let turn = predicted_wait(inputs).map(|wait| inputs.now + wait);
    let is_in_time = turn.is_none_or(|turn| turn <= until);
    if until > inputs.now && is_in_time && inputs.waiting_here < MAX_WAITING {
        return WaitDecision::Wait { until };
    }
    let served_later = turn.filter(|turn| *turn <= latest_start);
    WaitDecision::Refuse {
        retry_after: served_later.map(|turn| turn.saturating_duration_since(inputs.now)),
    }
}

/// The time until as many streams have ended as go before this one; `None` if the rate at which streams end is unknown.
fn predicted_wait(inputs: &WaitInputs) -> Option<Duration> {
    let duration = inputs.duration?;
    let ahead = inputs.ahead.saturating_sub(inputs.room);
    if ahead == 0 {
        return Some(Duration::ZERO);
    }
    if inputs.in_flight == 0 {
        return None;
    }
    Some(duration.mul_f64(f64::from(ahead) / f64::from(inputs.in_flight)))
}

/// How long a stream that resumes waits for a turn before it overcommits an engine. `gap_objective` is the longest pause
/// that its route allows, `interrupted` the time since its last event, and `reading` the time that an engine takes to
/// read its prompt.
pub fn resumed_wait(
    gap_objective: Option<Duration>,
    interrupted: Duration,
    reading: Option<Duration>,
) -> Duration {
    let allowed = gap_objective.unwrap_or_default();
    let spent = interrupted + reading.unwrap_or_default();
    allowed.saturating_sub(spent).max(MIN_RESUMED_WAIT)
}
