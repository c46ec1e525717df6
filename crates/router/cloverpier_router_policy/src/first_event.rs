//! Predicts when an engine sends the first event of a stream.
//!
//! - **Question.** How long after an attempt is sent to an engine does its first event arrive?
//! - **Inputs.** The prompt tokens that the engine has not read yet, those of the attempt included; the rate at which
//!   engines of the service read prompts, observed from earlier streams; the engine's pace relative to that rate.
//! - **Result.** A duration; `None` while no rate has been observed.
//! - **Why.** An engine reads one prompt after the other, so the prompts that are unread there decide how long a
//!   new stream waits, and not the number of free slots. Who decides whether a stream is placed at an engine, waits for
//!   room or is moved away needs that time, and not a load in tokens.
//!
//! [`PromptRates`] owns the observed rates; [`crate::upstream_table::UpstreamTable`] holds them.

use crate::choice::{Demand, estimated_load};
use crate::upstream::UpstreamState;
use crate::upstream_table::UpstreamTable;
use cloverpier_core::ServiceName;
use std::collections::HashMap;
use std::time::Duration;

/// Weight of a new sample in the smoothed rate: the rate reflects about the last ten streams.
const SAMPLE_WEIGHT: f64 = 0.1;
/// First events that arrive earlier are not used as samples: the engine had the prompt in its cache.
const MIN_SAMPLE: Duration = Duration::from_millis(20);

/// The first event of an attempt that read its prompt at an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FirstEventSample {
    /// Prompt tokens of the attempt itself.
    pub own_tokens: u32,
    /// Prompt tokens of other requests that were unread at the engine when the attempt was sent.
    pub tokens_ahead: u32,
    /// The time from sending the attempt to its first event.
    pub took: Duration,
    /// The engine's pace when the attempt was sent: 1 for the usual one, 2 for an engine that takes twice as long.
    pub pace: f64,
}

impl FirstEventSample {
    /// Prompt tokens read per millisecond at the usual pace. `None` if the sample does not show it: an attempt behind
    /// more than one other prompt shows little of the rate, as a part of these may have been read already.
    fn tokens_per_ms(&self) -> Option<f64> {
        if self.own_tokens == 0 || self.tokens_ahead > self.own_tokens || self.took < MIN_SAMPLE {
            return None;
        }
        // On average, half of the prompt ahead has been read when the attempt is sent.
        let tokens = f64::from(self.own_tokens) + f64::from(self.tokens_ahead) / 2.0;
        Some(tokens / (self.took.as_secs_f64() * 1e3) * self.pace)
    }
}

/// What is known of an attempt's first event when the attempt is sent to an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FirstEventForecast {
    /// Prompt tokens of the attempt that the engine has not read: 0 where it resumes from a replica or has read the
    /// prompt for an earlier request.
    pub own_tokens: u32,
    /// Prompt tokens of other requests that are unread at the engine.
    pub tokens_ahead: u32,
    /// The engine's pace: 1 for the usual one, 2 for an engine that takes twice as long.
    pub pace: f64,
    /// The predicted time to the first event; `None` while no rate is known.
    pub predicted: Option<Duration>,
}

impl FirstEventForecast {
    /// The forecast of an attempt that is about to be sent to an engine, which has to read so many of its tokens. The
    /// attempt's load has not been added there yet.
    pub fn of_attempt(
        table: &UpstreamTable,
        demand: &Demand<'_>,
        engine: &UpstreamState,
        own_tokens: u32,
    ) -> Self {
        let tokens_ahead = estimated_load(table, demand, engine).unread_tokens;
        let pace = engine.pace(demand.now);
        let unread = tokens_ahead.saturating_add(own_tokens);
        let rates = &table.prompt_rates;
        Self {
            own_tokens,
            tokens_ahead,
            pace,
            predicted: rates.reading_time(demand.service, unread, pace),
        }
    }

    /// The sample that the attempt yields when its first event has taken so long.
    pub fn sample(&self, took: Duration) -> FirstEventSample {
        FirstEventSample {
            own_tokens: self.own_tokens,
            tokens_ahead: self.tokens_ahead,
            took,
            pace: self.pace,
        }
    }
}

/// The rates at which the engines of each service read prompts, as this router has observed them.
#[derive(Clone, Debug, Default)]
pub struct PromptRates {
    tokens_per_ms: HashMap<ServiceName, f64>,
}

impl PromptRates {
    /// Records the first event of an attempt.
    pub fn on_first_event(&mut self, service: &ServiceName, sample: FirstEventSample) {
        let Some(observed) = sample.tokens_per_ms() else {
            return;
        };
        match self.tokens_per_ms.get_mut(service) {
            Some(rate) => *rate += SAMPLE_WEIGHT * (observed - *rate),
            None => {
                self.tokens_per_ms.insert(service.clone(), observed);
            }
        }
    }

    /// The least pace that explains a first event: the time that it took relative to the time in which an engine of the
    /// usual pace reads all prompts ahead and the attempt's own. `None` if the attempt had no prompt to read, and while no
    /// rate is known.
    pub fn least_pace(&self, service: &ServiceName, sample: FirstEventSample) -> Option<f64> {
        if sample.own_tokens == 0 {
            return None;
        }
        let tokens = sample.own_tokens.saturating_add(sample.tokens_ahead);
        let usual = self.reading_time(service, tokens, 1.0)?;
        Some(sample.took.as_secs_f64() / usual.as_secs_f64())
    }

    /// Prompt tokens that an engine of the service reads per millisecond at the usual pace; `None` before the first
    /// sample.
    pub fn tokens_per_ms(&self, service: &ServiceName) -> Option<f64> {
        self.tokens_per_ms.get(service).copied()
    }

    /// The time in which an engine of the service reads `tokens` prompt tokens at a pace.
    pub fn reading_time(&self, service: &ServiceName, tokens: u32, pace: f64) -> Option<Duration> {
        let rate = self.tokens_per_ms(service)?;
        let ms = f64::from(tokens) / rate * pace;
        Duration::try_from_secs_f64(ms / 1e3).ok()
    }
}

/// The predicted time from sending the demand's attempt to an engine until its first event. `None` while no rate is
/// known, and for a service without engines.
pub fn predicted_first_event(
    table: &UpstreamTable,
    demand: &Demand<'_>,
    state: &UpstreamState,
) -> Option<Duration> {
    demand.engine_memory?;
    let ahead = estimated_load(table, demand, state).unread_tokens;
    let unread = ahead.saturating_add(demand.load.unread_tokens);
    let rates = &table.prompt_rates;
    rates.reading_time(demand.service, unread, state.pace(demand.now))
}
