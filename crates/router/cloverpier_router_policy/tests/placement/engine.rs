//! An engine that reads prompts, generates tokens and reports its load late.

use cloverpier_router_policy::prelude::*;
use std::collections::VecDeque;

pub const STEP_MS: u64 = 10;
/// In the mean; the size of each differs by up to half of it.
pub const PROMPT_TOKENS: u32 = 8_200;
pub const ANSWER_TOKENS: u32 = 780;
/// What an engine keeps.
pub const MEMORY_TOKENS: u64 = 88_000;
/// 200 tokens, which take 25 ms, between two steps.
pub const READ_PER_MS: f64 = 200.0 / (25.0 + STEP_OF_TOKEN_MS);
pub const STEP_OF_TOKEN_MS: f64 = 5.05;
/// So the tokens of running streams come this much slower meanwhile.
pub const SLOWED_BY_READING: f64 = 6.0;
/// Every third engine is this much slower.
pub const SLOW_ENGINE: f64 = 1.3;
pub const REPORT_AGE_STEPS: usize = 10;

/// A stream at an engine.
pub struct Run {
    pub stream: usize,
    pub unread: f64,
    /// Tokens still to be generated.
    pub left: f64,
    pub waits_ms: u64,
    pub is_admitted: bool,
}

pub struct Engine {
    pub slowness: f64,
    pub runs: Vec<Run>,
    pub replicas: u32,
    pub is_away: bool,
    /// The newest last.
    pub reports: VecDeque<EngineReport>,
}

pub fn stream_load() -> Load {
    Load {
        requests: 1,
        unread_tokens: PROMPT_TOKENS,
        memory_tokens: PROMPT_TOKENS + ANSWER_TOKENS,
    }
}

pub fn replica_load() -> Load {
    Load {
        memory_tokens: stream_load().memory_tokens,
        ..Load::default()
    }
}

impl Engine {
    pub fn new(index: usize) -> Self {
        Self {
            slowness: if index.is_multiple_of(3) {
                SLOW_ENGINE
            } else {
                1.0
            },
            runs: Vec::new(),
            replicas: 0,
            is_away: false,
            reports: VecDeque::new(),
        }
    }

    fn used_memory(&self) -> u64 {
        let admitted = self.runs.iter().filter(|r| r.is_admitted).count() as u64;
        (admitted + u64::from(self.replicas)) * u64::from(stream_load().memory_tokens)
    }

    pub fn report(&self) -> EngineReport {
        let admitted = self.runs.iter().filter(|r| r.is_admitted);
        let reading = admitted.clone().filter(|r| r.unread > 0.0).count();
        EngineReport {
            queued: self.runs.iter().filter(|r| !r.is_admitted).count() as u32,
            running: admitted.count() as u32,
            reading: reading as u32,
            used_tokens: self.used_memory() as u32,
        }
    }

    /// Admits what fits, reads the oldest prompt and generates tokens; returns the streams that
    /// had their first token and those that ended.
    pub fn step(&mut self) -> (Vec<usize>, Vec<usize>) {
        for index in 0..self.runs.len() {
            let fits = self.used_memory() + u64::from(stream_load().memory_tokens) <= MEMORY_TOKENS;
            let run = &mut self.runs[index];
            run.is_admitted |= fits;
            run.waits_ms += if run.is_admitted { 0 } else { STEP_MS };
        }
        let mut first = Vec::new();
        let reading = self
            .runs
            .iter()
            .position(|r| r.is_admitted && r.unread > 0.0);
        if let Some(index) = reading {
            let run = &mut self.runs[index];
            run.unread -= READ_PER_MS * STEP_MS as f64 / self.slowness;
            if run.unread <= 0.0 {
                first.push(run.stream);
            }
        }
        let slower = if reading.is_some() {
            SLOWED_BY_READING
        } else {
            1.0
        };
        let tokens = STEP_MS as f64 / (STEP_OF_TOKEN_MS * slower * self.slowness);
        for run in self
            .runs
            .iter_mut()
            .filter(|r| r.is_admitted && r.unread <= 0.0)
        {
            run.left -= tokens;
        }
        let ended = self
            .runs
            .iter()
            .filter(|r| r.left <= 0.0)
            .map(|r| r.stream)
            .collect();
        self.runs.retain(|r| r.left > 0.0);
        self.reports.push_back(self.report());
        if self.reports.len() > REPORT_AGE_STEPS {
            self.reports.pop_front();
        }
        (first, ended)
    }
}
