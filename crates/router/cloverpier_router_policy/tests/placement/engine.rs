//! A simulated model engine that reads prompts, generates tokens and reports its load with a delay.

use cloverpier_router_policy::prelude::*;
use std::collections::VecDeque;

pub const STEP_MS: u64 = 10;
/// Mean length of a prompt; each prompt is 0.5 to 1.5 times as long.
pub const PROMPT_TOKENS: u32 = 8_200;
pub const OUTPUT_TOKENS: u32 = 780;
/// Capacity of an engine's KV cache, in tokens.
pub const MEMORY_TOKENS: u64 = 88_000;
/// Prompt tokens read per millisecond. Between two token steps, the engine reads 200 tokens in 25 ms.
pub const READ_PER_MS: f64 = 200.0 / (25.0 + TOKEN_STEP_MS);
pub const TOKEN_STEP_MS: f64 = 5.05;
/// Factor by which the tokens of running streams are slower while a prompt is read, as a result.
pub const READING_SLOWDOWN: f64 = 6.0;
/// Factor by which every third engine is slower.
pub const SLOW_ENGINE_FACTOR: f64 = 1.3;
/// Age of the reports that an engine sends, in steps of [`STEP_MS`].
pub const REPORT_AGE_STEPS: usize = 10;

/// A stream's request at one engine, queued or running.
pub struct EngineRequest {
    pub stream: usize,
    /// Prompt tokens still to be read.
    pub unread: f64,
    /// Output tokens still to be generated.
    pub tokens_left: f64,
    pub waited_ms: u64,
    pub is_admitted: bool,
}

pub struct Engine {
    pub slowness: f64,
    pub requests: Vec<EngineRequest>,
    pub replicas: u32,
    pub is_down: bool,
    /// The reports of the last [`REPORT_AGE_STEPS`] steps, the newest at the end; a query gets the oldest.
    pub reports: VecDeque<EngineReport>,
}

pub fn stream_load() -> Load {
    Load {
        requests: 1,
        unread_tokens: PROMPT_TOKENS,
        memory_tokens: PROMPT_TOKENS + OUTPUT_TOKENS,
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
                SLOW_ENGINE_FACTOR
            } else {
                1.0
            },
            requests: Vec::new(),
            replicas: 0,
            is_down: false,
            reports: VecDeque::new(),
        }
    }

    fn used_memory(&self) -> u64 {
        let admitted = self.requests.iter().filter(|r| r.is_admitted).count() as u64;
        (admitted + u64::from(self.replicas)) * u64::from(stream_load().memory_tokens)
    }

    pub fn report(&self) -> EngineReport {
        let admitted = self.requests.iter().filter(|r| r.is_admitted);
        let reading = admitted.clone().filter(|r| r.unread > 0.0).count();
        EngineReport {
            queued: self.requests.iter().filter(|r| !r.is_admitted).count() as u32,
            running: admitted.count() as u32,
            reading: reading as u32,
            used_tokens: self.used_memory() as u32,
        }
    }

    /// Admits the requests that fit into the KV cache, reads the oldest prompt and generates tokens. Returns the
    /// streams whose prompts have been read, and the streams that ended.
    pub fn step(&mut self) -> (Vec<usize>, Vec<usize>) {
        for index in 0..self.requests.len() {
            let fits = self.used_memory() + u64::from(stream_load().memory_tokens) <= MEMORY_TOKENS;
            let request = &mut self.requests[index];
            request.is_admitted |= fits;
            request.waited_ms += if request.is_admitted { 0 } else { STEP_MS };
        }
        let mut first = Vec::new();
        let reading = self
            .requests
            .iter()
            .position(|r| r.is_admitted && r.unread > 0.0);
        if let Some(index) = reading {
            let request = &mut self.requests[index];
            request.unread -= READ_PER_MS * STEP_MS as f64 / self.slowness;
            if request.unread <= 0.0 {
                first.push(request.stream);
            }
        }
        let slower = if reading.is_some() {
            READING_SLOWDOWN
        } else {
            1.0
        };
        let tokens = STEP_MS as f64 / (TOKEN_STEP_MS * slower * self.slowness);
        for request in self
            .requests
            .iter_mut()
            .filter(|r| r.is_admitted && r.unread <= 0.0)
        {
            request.tokens_left -= tokens;
        }
        let ended = self
            .requests
            .iter()
            .filter(|r| r.tokens_left <= 0.0)
            .map(|r| r.stream)
            .collect();
        self.requests.retain(|r| r.tokens_left > 0.0);
        self.reports.push_back(self.report());
        if self.reports.len() > REPORT_AGE_STEPS {
            self.reports.pop_front();
        }
        (first, ended)
    }
}
