//! The deadline of a request.
//!
//! - **Question.** How long may this request be held, and is what is left of that worth an
//!   attempt?
//! - **Inputs.** The caller's own limit in milliseconds, as text; the route's timeout.
//! - **Answer.** A duration from the arrival of the request's head.
//! - **Why.** The operator's bound is the upper one; a caller may ask for less. A caller's
//!   limit that cannot be read is treated as absent, since the route's bound still holds.

use std::time::Duration;

/// With less time left than this, a request is not sent: no answer could arrive in time.
///
/// Two one-way delays between data centres are 2 to 3 ms (the brief).
pub const MIN_SEND_TIME: Duration = Duration::from_millis(5);

/// What a caller asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerLimit {
    /// Nothing.
    Absent,
    /// Something that is not a number of milliseconds, or one that no duration can be.
    Unreadable,
    /// An answer within this time.
    Within(Duration),
}

impl CallerLimit {
    /// Reads a limit in milliseconds.
    pub fn parse(text: Option<&str>) -> Self {
        let Some(text) = text else {
            return Self::Absent;
        };
        let Ok(ms) = text.trim().parse::<f64>() else {
            return Self::Unreadable;
        };
        match Duration::try_from_secs_f64(ms / 1e3) {
            Ok(limit) => Self::Within(limit),
            // Negative or too large for a time; the header is logged as ignored.
            Err(_) => Self::Unreadable,
        }
    }

    /// The time that a request with this limit has on a route.
    pub fn time_on_route(self, route_timeout: Duration) -> Duration {
        match self {
            Self::Within(limit) => limit.min(route_timeout),
            Self::Absent | Self::Unreadable => route_timeout,
        }
    }
}

/// Whether an attempt that begins with this much time left can succeed.
pub fn is_worth_sending(time_left: Duration) -> bool {
    time_left >= MIN_SEND_TIME
}
