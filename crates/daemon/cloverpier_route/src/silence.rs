//! How long an engine may be silent before its generation goes on elsewhere.
//!
//! Question: how long may the next token take? Inputs: the service's bound; the gaps so far, if
//! the service lets the bound narrow. Answer: a duration. The router on the platform bounds gaps
//! by its settings and asks the upstream before it gives up a stream
//! (`cloverpier_router_policy::liveness`); here a silent generation is moved without asking.

use std::time::Duration;

/// Gaps that must be seen before the bound is narrowed.
const LEARNED_AFTER: u32 = 8;
/// Weight of a new gap in the mean: that of retransmission timers (Jacobson 1988).
const MEAN_WEIGHT: f64 = 0.125;
/// Weight of a new gap in the deviation, from the same paper.
const DEVIATION_WEIGHT: f64 = 0.25;
/// Deviations above the mean that are still an ordinary gap.
const DEVIATIONS: f64 = 8.0;
/// Means that are still an ordinary gap: a growing batch makes steps longer, but not ten times.
const MEANS: f64 = 6.0;
/// The shortest limit: reading a prompt stops the whole batch for about this time.
const LEAST: Duration = Duration::from_millis(250);
/// The first token may take this many times the limit: it waits for its place and its prefill.
const FIRST_TOKEN_FACTOR: u32 = 4;

/// The bound on one stream's silence.
///
/// Mean and deviation of the gaps are smoothed as for retransmission timers
/// (Jacobson, "Congestion avoidance and control", 1988).
#[derive(Clone, Copy, Debug)]
pub struct Silence {
    most: Duration,
    adaptive: bool,
    gaps: u32,
    mean_s: f64,
    deviation_s: f64,
}

impl Silence {
    /// A bound that is never wider than the service's setting.
    pub fn new(most: Duration, adaptive: bool) -> Self {
        Self {
            most,
            adaptive,
            gaps: 0,
            mean_s: 0.0,
            deviation_s: 0.0,
        }
    }

    /// Notes the time between two tokens.
    pub fn on_gap(&mut self, gap: Duration) {
        let gap_s = gap.as_secs_f64();
        if self.gaps == 0 {
            self.mean_s = gap_s;
            self.deviation_s = gap_s / 2.0;
        } else {
            let error = gap_s - self.mean_s;
            self.mean_s += MEAN_WEIGHT * error;
            self.deviation_s += DEVIATION_WEIGHT * (error.abs() - self.deviation_s);
        }
        self.gaps += 1;
    }

    /// The bound on the wait for the first token.
    pub fn first_token(&self) -> Duration {
        self.most * FIRST_TOKEN_FACTOR
    }

    /// The bound on the wait for the next token.
    pub fn next_token(&self) -> Duration {
        if !self.adaptive || self.gaps < LEARNED_AFTER {
            return self.most;
        }
        let by_deviation = self.mean_s + DEVIATIONS * self.deviation_s;
        let bound_s = by_deviation.max(MEANS * self.mean_s);
        Duration::from_secs_f64(bound_s).max(LEAST).min(self.most)
    }
}
