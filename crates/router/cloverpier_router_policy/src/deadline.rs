//! Computes the deadline of a request.
//!
//! - **Question.** How long may this request take, and is the remaining time enough for an attempt?
//! - **Inputs.** The caller's own timeout in milliseconds, as header text; the route's timeout.
//! - **Result.** A duration from the arrival of the request's head.
//! - **Why.** The operator's timeout of the route is the upper bound, and a caller may ask for less. A caller's
//!   timeout that can't be parsed counts as absent, as the route's timeout still applies.
//!
//! Owns no state.

use std::time::Duration;

/// A request with less time left than this is not sent, as no response could arrive in time: a round trip between
/// data centres takes 2 to 3 ms (from the requirements).
pub const MIN_SEND_TIME: Duration = Duration::from_millis(5);

/// A caller's own timeout for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerTimeout {
    /// The caller set no timeout.
    Absent,
    /// The caller's value is no number of milliseconds, or a [`Duration`] can't hold it.
    Unreadable,
    /// The caller expects the response within this time.
    Within(Duration),
}

impl CallerTimeout {
    /// Parses a timeout in milliseconds, which may have a fraction; `None` is an absent header.
    pub fn parse(text: Option<&str>) -> Self {
        let Some(text) = text else {
            return Self::Absent;
        };
        let Ok(ms) = text.trim().parse::<f64>() else {
            return Self::Unreadable;
        };
        match Duration::try_from_secs_f64(ms / 1e3) {
            Ok(timeout) => Self::Within(timeout),
            // The number is negative or too large. The caller of `parse` logs that the header is ignored.
            Err(_) => Self::Unreadable,
        }
    }

    /// The time that a request has: the shorter of the caller's timeout and the route's timeout.
    pub fn effective_timeout(self, route_timeout: Duration) -> Duration {
        match self {
            Self::Within(timeout) => timeout.min(route_timeout),
            Self::Absent | Self::Unreadable => route_timeout,
        }
    }
}

/// Whether a request with this much time left until its deadline may still be sent.
pub fn has_time_to_send(time_left: Duration) -> bool {
    time_left >= MIN_SEND_TIME
}
