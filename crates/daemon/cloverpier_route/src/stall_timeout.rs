//! The timeout for the next token of a stream, after which its engine counts as silent.
//!
//! [`StallTimeout`] starts with the timeout of the service. If the service allows it, the timeout
//! becomes shorter, according to the gaps between the tokens so far. What follows from the silence is
//! decided in [`crate::silence`], without a probe of the engine. The router of the platform takes the timeouts from its settings
//! and probes an upstream before it gives up a stream (`cloverpier_router_policy::liveness`).

use std::time::Duration;

/// Number of gaps that must be known before the timeout becomes shorter.
const MIN_GAPS: u32 = 8;
/// Weight of a new gap in the smoothed mean, as for retransmission timers (Jacobson, 1988).
const MEAN_WEIGHT: f64 = 0.125;
/// Weight of a new gap in the smoothed deviation, from the same paper.
const DEVIATION_WEIGHT: f64 = 0.25;
/// A gap counts as normal up to this many deviations above the mean.
const DEVIATION_FACTOR: f64 = 8.0;
/// A gap counts as normal up to this many times the mean. A growing batch makes the steps of an
/// engine longer, but not ten times as long.
const MEAN_FACTOR: f64 = 6.0;
/// Lower limit of the timeout. Reading the prompt of another request pauses the whole batch of an
/// engine for about this time.
const MIN_TIMEOUT: Duration = Duration::from_millis(250);
/// The first token may take this many times the maximum timeout, as the request first waits for a
/// slot and for its prefill.
const FIRST_TOKEN_FACTOR: u32 = 4;

/// The timeouts for the tokens of one stream.
///
/// The mean and the deviation of the gaps are smoothed as for retransmission timers (Jacobson,
/// "Congestion avoidance and control", 1988).
#[derive(Clone, Copy, Debug)]
pub struct StallTimeout {
    max_timeout: Duration,
    adaptive: bool,
    gap_count: u32,
    mean_s: f64,
    deviation_s: f64,
}

impl StallTimeout {
    /// Creates the timeouts of a new stream. They never exceed `max_timeout`, except for the first
    /// token. They stay fixed unless `adaptive` is set.
    pub fn new(max_timeout: Duration, adaptive: bool) -> Self {
        Self {
            max_timeout,
            adaptive,
            gap_count: 0,
            mean_s: 0.0,
            deviation_s: 0.0,
        }
    }

    /// Records the time between two tokens.
    pub fn on_gap(&mut self, gap: Duration) {
        let gap_s = gap.as_secs_f64();
        if self.gap_count == 0 {
            self.mean_s = gap_s;
            self.deviation_s = gap_s / 2.0;
        } else {
            let error = gap_s - self.mean_s;
            self.mean_s += MEAN_WEIGHT * error;
            self.deviation_s += DEVIATION_WEIGHT * (error.abs() - self.deviation_s);
        }
        self.gap_count += 1;
    }

    /// The timeout for the first token.
    pub fn first_token(&self) -> Duration {
        self.max_timeout * FIRST_TOKEN_FACTOR
    }

    /// The timeout for the next token after the first one.
    pub fn next_token(&self) -> Duration {
        if !self.adaptive || self.gap_count < MIN_GAPS {
            return self.max_timeout;
        }
        let from_deviation = self.mean_s + DEVIATION_FACTOR * self.deviation_s;
        let timeout_s = from_deviation.max(MEAN_FACTOR * self.mean_s);
        Duration::from_secs_f64(timeout_s)
            .max(MIN_TIMEOUT)
            .min(self.max_timeout)
    }
}
