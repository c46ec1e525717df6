//! One JSON object a scenario, and a table for people.

use hdrhistogram::Histogram;
use serde::Serialize;
use std::time::Duration;

/// Percentiles of waits, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Spread {
    /// How many there are.
    pub count: u64,
    /// The median.
    pub p50: f64,
    /// 95 in 100.
    pub p95: f64,
    /// 99 in 100.
    pub p99: f64,
    /// The longest.
    pub max: f64,
}

impl Spread {
    /// The percentiles of some waits.
    pub fn of(waits: &[Duration]) -> Self {
        let Ok(mut histogram) = Histogram::<u64>::new(3) else {
            return Self::default();
        };
        for wait in waits {
            let us = u64::try_from(wait.as_micros()).unwrap_or(u64::MAX);
            // The histogram grows with its values.
            let _ = histogram.record(us);
        }
        let at = |q: f64| histogram.value_at_quantile(q) as f64 / 1_000.0;
        Self {
            count: histogram.len(),
            p50: at(0.50),
            p95: at(0.95),
            p99: at(0.99),
            max: histogram.max() as f64 / 1_000.0,
        }
    }
}

/// The figures of one scenario.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// The scenario.
    pub scenario: String,
    /// The seed.
    pub seed: u64,
    /// Requests sent.
    pub requests: u64,
    /// Answers that are whole.
    pub answers_whole: u64,
    /// Requests refused or given up.
    pub requests_failed: u64,
    /// Tokens missing in answers that ended.
    pub tokens_missing: u64,
    /// Tokens that came again.
    pub tokens_repeated: u64,
    /// Answers that join two generations.
    pub tokens_mixed: u64,
    /// From the fault to the next token.
    pub resume_ms: Spread,
    /// From the request to the first token.
    pub first_token_ms: Spread,
    /// From one token to the next.
    pub between_tokens_ms: Spread,
    /// Engine tokens (prefill and decode) against those of the same load with recovery off.
    pub extra_engine_tokens_ratio: f64,
    /// Processor time of the routers that ran to the end, against recovery off.
    pub router_cpu_ratio: f64,
    /// Bytes between routers for each byte of text that callers received.
    pub router_bytes_ratio: f64,
    /// The most memory of any router, in megabytes.
    pub router_rss_mb: f64,
    /// Whether nothing went wrong that must never go wrong.
    pub clean: bool,
    /// What the scenario counts besides.
    pub counts: serde_json::Map<String, serde_json::Value>,
}

impl Figures {
    /// Tokens that are missing, came again or were mixed.
    pub fn wrong_tokens(&self) -> u64 {
        self.tokens_missing + self.tokens_repeated + self.tokens_mixed
    }

    /// Adds a count of the scenario's own.
    pub fn count(&mut self, name: &str, value: impl Into<serde_json::Value>) {
        self.counts.insert(name.to_owned(), value.into());
    }

    /// Prints the JSON line, and a line of the table.
    pub fn print(&self) {
        println!("{}", serde_json::to_string(self).unwrap_or_default());
        eprintln!(
            "{:<26} whole {:>4}/{:<4} missing {} repeated {} mixed {}  resume p50 {:>7.1} max {:>7.1} ms ({}x)  \
             first p95 {:>7.1}  gap p95 {:>6.1}  engine x{:.3} cpu x{:.2}  {}",
            self.scenario,
            self.answers_whole,
            self.requests,
            self.tokens_missing,
            self.tokens_repeated,
            self.tokens_mixed,
            self.resume_ms.p50,
            self.resume_ms.max,
            self.resume_ms.count,
            self.first_token_ms.p95,
            self.between_tokens_ms.p95,
            self.extra_engine_tokens_ratio,
            self.router_cpu_ratio,
            serde_json::Value::Object(self.counts.clone()),
        );
    }
}
