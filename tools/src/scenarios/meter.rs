//! What a load cost: engine tokens, processor time, bytes between routers.

use crate::fleet::Fleet;
use crate::load::{Outcome, between_tokens, faults, first_tokens, resume_times};
use crate::report::{Figures, Spread};
use cloverpier_daemon_standin::EngineCounts;
use std::time::Instant;

/// Counters at one moment.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    engine_tokens: u64,
    cpu_ms: u64,
    peer_bytes: u64,
    rss_kb: u64,
}

fn engine_tokens(counts: &[EngineCounts]) -> u64 {
    counts.iter().map(|c| c.prefilled + c.decoded).sum()
}

impl Cost {
    /// Reads the counters.
    pub async fn now(fleet: &Fleet) -> Self {
        let usage = fleet.router_usage();
        Self {
            engine_tokens: engine_tokens(&fleet.engine_counts().await),
            cpu_ms: usage.cpu_ms,
            peer_bytes: fleet.peer_bytes().await,
            rss_kb: usage.rss_kb,
        }
    }

    /// What was used since an earlier moment.
    pub fn since(self, before: Self) -> Self {
        Self {
            engine_tokens: self.engine_tokens.saturating_sub(before.engine_tokens),
            cpu_ms: self.cpu_ms.saturating_sub(before.cpu_ms),
            peer_bytes: self.peer_bytes.saturating_sub(before.peer_bytes),
            rss_kb: self.rss_kb,
        }
    }

    /// Adds engine tokens that were counted otherwise: those of an engine before it died.
    pub fn plus_engine_tokens(mut self, tokens: u64) -> Self {
        self.engine_tokens += tokens;
        self
    }
}

/// The figures of a load, against the cost of the same load with recovery off.
pub fn figures(outcomes: &[Outcome], fault: Option<Instant>, cost: Cost, plain: Cost) -> Figures {
    let faults = faults(outcomes);
    let text: usize = outcomes
        .iter()
        .filter_map(|o| o.answer.as_ref().ok())
        .map(|a| a.text().len())
        .sum();
    let ratio = |a: u64, b: u64| a as f64 / b.max(1) as f64;
    Figures {
        requests: outcomes.len() as u64,
        answers_whole: faults.whole,
        requests_failed: faults.failed,
        tokens_missing: faults.missing,
        tokens_repeated: faults.repeated,
        tokens_mixed: faults.mixed,
        resume_ms: Spread::of(&fault.map_or_else(Vec::new, |at| resume_times(outcomes, at))),
        first_token_ms: Spread::of(&first_tokens(outcomes)),
        between_tokens_ms: Spread::of(&between_tokens(outcomes)),
        extra_engine_tokens_ratio: ratio(cost.engine_tokens, plain.engine_tokens),
        router_cpu_ratio: ratio(cost.cpu_ms, plain.cpu_ms),
        router_bytes_ratio: ratio(cost.peer_bytes, text as u64),
        router_rss_mb: cost.rss_kb as f64 / 1_024.0,
        ..Figures::default()
    }
}
