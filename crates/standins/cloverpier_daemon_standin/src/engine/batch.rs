//! The batch: what the engine holds, and a step of it.

use crate::speech::speak;
use cloverpier_core::{TokenDigest, hash_of, lock};
use cloverpier_upstream::{GenerateBody, LoadBody};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// The engine's parameters.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineModel {
    /// Time of a step, in microseconds.
    pub step_us: u64,
    /// Added for each running generation, in microseconds.
    pub per_running_us: u64,
    /// Prompt tokens worked off in a step.
    pub prefill_per_step: u64,
    /// Generations that run at once.
    pub slots: u32,
    /// Prompt prefixes that the cache holds.
    pub cached_prefixes: usize,
    /// How long a generation runs on without a reader, in milliseconds.
    pub orphan_ms: u64,
    /// The prompt that crashes the engine when its first token is made; empty for none.
    pub crashed_by: String,
}

impl Default for EngineModel {
    fn default() -> Self {
        Self {
            step_us: 20_000,
            per_running_us: 200,
            prefill_per_step: 512,
            slots: 16,
            cached_prefixes: 64,
            orphan_ms: 5_000,
            crashed_by: String::new(),
        }
    }
}

/// Faults of the engine.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// The process ends.
    pub die: bool,
    /// No step is made; connections stay open.
    pub freeze: bool,
    /// Steps take so many times as long; 0 and 1 are no fault.
    pub slow_factor: u32,
    /// New generations are refused.
    pub refuse: bool,
    /// Load reports are so old, in milliseconds.
    pub report_lag_ms: u64,
    /// All answers say that it leaves; its load reports do not.
    pub says_leaving: bool,
    /// New generations are refused, and it wants nothing for so long, in seconds; 0 is no fault.
    pub wait_s: f64,
}

/// What the engine did.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct EngineCounts {
    /// Generations started.
    pub started: u64,
    /// Generations started by request.
    pub runs: BTreeMap<String, u64>,
    /// Prompt and prefix tokens worked off.
    pub prefilled: u64,
    /// Prompt tokens found in the cache.
    pub cached: u64,
    /// Tokens generated.
    pub decoded: u64,
    /// Streams that were resumed.
    pub resumed: u64,
    /// Generations cancelled.
    pub cancelled: u64,
    /// Generations refused.
    pub refused: u64,
    /// Whether a generation has crashed it: it does nothing more until its owner ends it.
    pub crashed: bool,
}

#[derive(Debug)]
pub(super) struct Generation {
    pub(super) chain: TokenDigest,
    pub(super) offset: u64,
    /// Tokens made here, from `first` on.
    pub(super) made: Vec<Arc<str>>,
    pub(super) first: u64,
    pub(super) max_tokens: u64,
    pub(super) prefill_left: u64,
    pub(super) priority: u8,
    pub(super) finished: bool,
    pub(super) readers: u32,
    pub(super) idle_since: Instant,
    /// Whether its first token crashes the engine.
    pub(super) crashes: bool,
}

#[derive(Debug, Default)]
pub(super) struct Inner {
    pub(super) generations: BTreeMap<String, Generation>,
    pub(super) waiting: Vec<String>,
    pub(super) running: Vec<String>,
    pub(super) cache: VecDeque<u64>,
    pub(super) reports: VecDeque<(Instant, LoadBody)>,
    pub(super) counts: EngineCounts,
    pub(super) faults: EngineFaults,
}

#[derive(Debug)]
pub(super) struct State {
    pub(super) salt: u16,
    pub(super) model: EngineModel,
    pub(super) inner: Mutex<Inner>,
    pub(super) stepped: watch::Sender<u64>,
}

pub(super) async fn step_forever(state: Arc<State>) {
    loop {
        let took = {
            let mut inner = lock(&state.inner);
            if !inner.faults.freeze {
                step(&state, &mut inner);
            }
            step_time(&state.model, &inner)
        };
        state.stepped.send_modify(|n| *n += 1);
        tokio::time::sleep(took).await;
    }
}

pub(super) fn step_time(model: &EngineModel, inner: &Inner) -> Duration {
    let running = inner.running.len() as u64;
    let us = model.step_us + model.per_running_us * running;
    Duration::from_micros(us * u64::from(inner.faults.slow_factor.max(1)))
}

pub(super) fn step(state: &State, inner: &mut Inner) {
    admit(&state.model, inner);
    let mut budget = state.model.prefill_per_step;
    let running = inner.running.clone();
    for name in &running {
        let Some(generation) = inner.generations.get_mut(name) else {
            continue;
        };
        if generation.prefill_left > 0 {
            let work = generation.prefill_left.min(budget);
            generation.prefill_left -= work;
            budget -= work;
            inner.counts.prefilled += work;
        }
        if generation.prefill_left == 0 && generation.crashes {
            inner.counts.crashed = true;
            inner.faults.freeze = true;
            return;
        }
        if generation.prefill_left == 0 {
            make_token(state.salt, generation);
            inner.counts.decoded += 1;
        }
    }
    drop_idle(&state.model, inner);
    note_report(&state.model, inner);
}

/// Lets waiting generations run: the highest priority first, then in order.
pub(super) fn admit(model: &EngineModel, inner: &mut Inner) {
    while inner.running.len() < usize::try_from(model.slots).unwrap_or(usize::MAX) {
        let rank = |name: &String| inner.generations.get(name).map_or(0, |g| g.priority);
        let Some(best) = inner.waiting.iter().map(rank).max() else {
            return;
        };
        let Some(at) = inner.waiting.iter().position(|n| rank(n) == best) else {
            return;
        };
        let name = inner.waiting.remove(at);
        inner.running.push(name);
    }
}

pub(super) fn make_token(salt: u16, generation: &mut Generation) {
    let text = speak(salt, generation.chain);
    generation.chain = generation.chain.push(&text);
    generation.made.push(Arc::from(text));
    generation.offset += 1;
    generation.finished = generation.offset >= generation.max_tokens;
    if generation.finished {
        generation.idle_since = Instant::now();
    }
}

pub(super) fn drop_idle(model: &EngineModel, inner: &mut Inner) {
    let patience = Duration::from_millis(model.orphan_ms);
    inner
        .generations
        .retain(|_, g| g.readers > 0 || g.idle_since.elapsed() < patience);
    let known = &inner.generations;
    let live = |name: &String| known.get(name).is_some_and(|g| !g.finished);
    inner.running.retain(live);
    inner.waiting.retain(live);
}

pub(super) fn note_report(model: &EngineModel, inner: &mut Inner) {
    let report = LoadBody {
        running: u32::try_from(inner.running.len()).unwrap_or(u32::MAX),
        waiting: u32::try_from(inner.waiting.len()).unwrap_or(u32::MAX),
        slots: model.slots,
        leaving: false,
        age_ms: 0,
    };
    inner.reports.push_back((Instant::now(), report));
    let lag = Duration::from_millis(inner.faults.report_lag_ms);
    while inner.reports.len() > 1 && inner.reports[1].0.elapsed() >= lag {
        inner.reports.pop_front();
    }
}

pub(super) fn start(model: &EngineModel, inner: &mut Inner, ask: &GenerateBody) {
    let prompt_tokens = ask.prompt.split_whitespace().count() as u64;
    let digest = hash_of(&ask.prompt);
    let cached = inner.cache.contains(&digest);
    inner.cache.retain(|d| *d != digest);
    inner.cache.push_back(digest);
    if inner.cache.len() > model.cached_prefixes {
        inner.cache.pop_front();
    }
    let prefix_tokens = ask.prefix.len() as u64;
    let mut prefill_left = prefix_tokens;
    if cached {
        inner.counts.cached += prompt_tokens;
    } else {
        prefill_left += prompt_tokens;
    }
    let request = ask.generation.split('#').next().unwrap_or_default();
    *inner.counts.runs.entry(request.to_owned()).or_default() += 1;
    inner.counts.started += 1;
    let generation = Generation {
        chain: TokenDigest::of_tokens(ask.prefix.iter().map(|t| &**t)),
        offset: prefix_tokens,
        made: Vec::new(),
        first: prefix_tokens,
        max_tokens: u64::from(ask.max_tokens),
        prefill_left,
        priority: ask.priority,
        finished: prefix_tokens >= u64::from(ask.max_tokens),
        readers: 0,
        idle_since: Instant::now(),
        crashes: !model.crashed_by.is_empty() && model.crashed_by == *ask.prompt,
    };
    inner.generations.insert(ask.generation.clone(), generation);
    inner.waiting.push(ask.generation.clone());
}
