//! A model engine: continuous batching, prefix cache, priorities, resume and cancel.
//!
//! Timing is a stated model: a step of the batch takes `step_us` plus
//! `per_running_us` for each running generation; in each step a budget of
//! `prefill_per_step` prompt tokens is worked off, and each generation whose
//! prompt is done makes one token.

use crate::speech::speak;
use crate::web::{body, json, serve};
use cloverpier_core::{Chain, hash_of, lock};
use cloverpier_upstream::{
    EngineEvent, GenerateBody, GenerationBody, LoadBody, OrderBody, OrderKind,
};
use salvo::http::StatusCode;
use salvo::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
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
    /// Whether orders with a lower fence than one seen are refused.
    pub checks_fence: bool,
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
            checks_fence: true,
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
    /// Generations started while the engine was leaving.
    pub started_leaving: u64,
}

#[derive(Debug)]
struct Generation {
    chain: Chain,
    offset: u64,
    /// Tokens made here, from `first` on.
    made: Vec<Arc<str>>,
    first: u64,
    max_tokens: u64,
    prefill_left: u64,
    priority: u8,
    finished: bool,
    readers: u32,
    idle_since: Instant,
}

#[derive(Debug, Default)]
struct Inner {
    generations: BTreeMap<String, Generation>,
    waiting: Vec<String>,
    running: Vec<String>,
    cache: VecDeque<u64>,
    reports: VecDeque<(Instant, LoadBody)>,
    counts: EngineCounts,
    faults: EngineFaults,
    leaving: bool,
    fence: u64,
}

#[derive(Debug)]
struct State {
    salt: u16,
    model: EngineModel,
    inner: Mutex<Inner>,
    stepped: watch::Sender<u64>,
}

fn state(depot: &Depot) -> Arc<State> {
    let found = depot.get_typed::<Arc<State>>();
    Arc::clone(found.expect("the state is injected into every route"))
}

/// Serves the engine until the process ends.
pub async fn run(listen: SocketAddr, model: EngineModel) {
    let salt = u16::try_from(hash_of(&listen.to_string()) & 0xffff).unwrap_or(0);
    let state = Arc::new(State {
        salt,
        model,
        inner: Mutex::default(),
        stepped: watch::Sender::new(0),
    });
    tokio::spawn(step_forever(Arc::clone(&state)));
    let v1 = Router::with_path("v1")
        .push(Router::with_path("generate").post(generate))
        .push(Router::with_path("resume").post(resume))
        .push(Router::with_path("cancel").post(cancel))
        .push(Router::with_path("load").get(load))
        .push(Router::with_path("orders").post(take_order));
    let router = Router::new()
        .hoop(salvo::affix_state::inject(state))
        .push(v1)
        .push(Router::with_path("faults").post(set_faults))
        .push(Router::with_path("counts").get(get_counts));
    serve(listen, router).await;
}

async fn step_forever(state: Arc<State>) {
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

fn step_time(model: &EngineModel, inner: &Inner) -> Duration {
    let running = inner.running.len() as u64;
    let us = model.step_us + model.per_running_us * running;
    Duration::from_micros(us * u64::from(inner.faults.slow_factor.max(1)))
}

fn step(state: &State, inner: &mut Inner) {
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
        if generation.prefill_left == 0 {
            make_token(state.salt, generation);
            inner.counts.decoded += 1;
        }
    }
    drop_idle(&state.model, inner);
    note_report(&state.model, inner);
}

/// Lets waiting generations run: the highest priority first, then in order.
fn admit(model: &EngineModel, inner: &mut Inner) {
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

fn make_token(salt: u16, generation: &mut Generation) {
    let text = speak(salt, generation.chain);
    generation.chain = generation.chain.push(&text);
    generation.made.push(Arc::from(text));
    generation.offset += 1;
    generation.finished = generation.offset >= generation.max_tokens;
    if generation.finished {
        generation.idle_since = Instant::now();
    }
}

fn drop_idle(model: &EngineModel, inner: &mut Inner) {
    let patience = Duration::from_millis(model.orphan_ms);
    inner
        .generations
        .retain(|_, g| g.readers > 0 || g.idle_since.elapsed() < patience);
    let known = &inner.generations;
    let live = |name: &String| known.get(name).is_some_and(|g| !g.finished);
    inner.running.retain(live);
    inner.waiting.retain(live);
}

fn note_report(model: &EngineModel, inner: &mut Inner) {
    let report = LoadBody {
        running: u32::try_from(inner.running.len()).unwrap_or(u32::MAX),
        waiting: u32::try_from(inner.waiting.len()).unwrap_or(u32::MAX),
        slots: model.slots,
        leaving: inner.leaving,
        age_ms: 0,
        cache_seq: inner.counts.started,
    };
    inner.reports.push_back((Instant::now(), report));
    let lag = Duration::from_millis(inner.faults.report_lag_ms);
    while inner.reports.len() > 1 && inner.reports[1].0.elapsed() >= lag {
        inner.reports.pop_front();
    }
}

#[handler]
async fn generate(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let state = state(depot);
    let Some(ask) = body::<GenerateBody>(req, res).await else {
        return;
    };
    let first = ask.prefix.len() as u64;
    {
        let mut inner = lock(&state.inner);
        if inner.faults.refuse {
            res.status_code(StatusCode::SERVICE_UNAVAILABLE);
            return;
        }
        if inner.generations.contains_key(&ask.generation) {
            res.status_code(StatusCode::CONFLICT);
            return;
        }
        start(&state.model, &mut inner, &ask);
    }
    stream(&state, res, ask.generation, first);
}

fn start(model: &EngineModel, inner: &mut Inner, ask: &GenerateBody) {
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
    if inner.leaving {
        inner.counts.started_leaving += 1;
    }
    let generation = Generation {
        chain: Chain::over(ask.prefix.iter().map(|t| &**t)),
        offset: prefix_tokens,
        made: Vec::new(),
        first: prefix_tokens,
        max_tokens: u64::from(ask.max_tokens),
        prefill_left,
        priority: ask.priority,
        finished: prefix_tokens >= u64::from(ask.max_tokens),
        readers: 0,
        idle_since: Instant::now(),
    };
    inner.generations.insert(ask.generation.clone(), generation);
    inner.waiting.push(ask.generation.clone());
}

#[handler]
async fn resume(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let state = state(depot);
    let Some(ask) = body::<GenerationBody>(req, res).await else {
        return;
    };
    {
        let mut inner = lock(&state.inner);
        let found = inner.generations.get(&ask.generation);
        let able = found.is_some_and(|g| ask.offset >= g.first && ask.offset <= g.offset);
        if !able {
            res.status_code(StatusCode::NOT_FOUND);
            return;
        }
        inner.counts.resumed += 1;
    }
    stream(&state, res, ask.generation, ask.offset);
}

/// Counts a stream as a reader for as long as it lives.
struct Reader {
    state: Arc<State>,
    generation: String,
    offset: u64,
    done: bool,
}

impl Reader {
    fn count(&self, by: i64) {
        let mut inner = lock(&self.state.inner);
        if let Some(generation) = inner.generations.get_mut(&self.generation) {
            let readers = i64::from(generation.readers) + by;
            generation.readers = u32::try_from(readers).unwrap_or(0);
            generation.idle_since = Instant::now();
        }
    }

    /// Lines that are ready; `None` when the generation is gone.
    fn ready(&mut self) -> Option<String> {
        let inner = lock(&self.state.inner);
        let generation = inner.generations.get(&self.generation)?;
        let from = usize::try_from(self.offset - generation.first).ok()?;
        let mut lines = String::new();
        for text in generation.made.get(from..)? {
            push_line(
                &mut lines,
                &EngineEvent::Token {
                    offset: self.offset,
                    text: Arc::clone(text),
                },
            );
            self.offset += 1;
        }
        if generation.finished {
            let at = generation.offset;
            push_line(&mut lines, &EngineEvent::Finish { at, length: true });
            self.done = true;
        }
        Some(lines)
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.count(-1);
    }
}

fn push_line(lines: &mut String, event: &EngineEvent) {
    // Events are plain data; writing them can't fail.
    lines.push_str(&serde_json::to_string(event).unwrap_or_default());
    lines.push('\n');
}

fn stream(state: &Arc<State>, res: &mut Response, generation: String, offset: u64) {
    let reader = Reader {
        state: Arc::clone(state),
        generation,
        offset,
        done: false,
    };
    reader.count(1);
    let stepped = state.stepped.subscribe();
    let chunks = futures_util::stream::unfold((reader, stepped), |(mut reader, mut rx)| async {
        loop {
            if reader.done {
                return None;
            }
            let lines = reader.ready()?;
            if !lines.is_empty() {
                return Some((Ok::<_, std::io::Error>(lines), (reader, rx)));
            }
            rx.changed().await.ok()?;
        }
    });
    res.stream(chunks);
}

#[handler]
async fn cancel(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let state = state(depot);
    if let Some(ask) = body::<GenerationBody>(req, res).await {
        let mut inner = lock(&state.inner);
        if inner.generations.remove(&ask.generation).is_some() {
            inner.counts.cancelled += 1;
        }
    }
}

#[handler]
async fn load(depot: &mut Depot, res: &mut Response) {
    let state = state(depot);
    let report = {
        let inner = lock(&state.inner);
        let oldest = inner.reports.front().cloned();
        oldest.map(|(at, report)| LoadBody {
            age_ms: u64::try_from(at.elapsed().as_millis()).unwrap_or(0),
            ..report
        })
    };
    json(res, StatusCode::OK, report.unwrap_or_default());
}

#[handler]
async fn take_order(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let state = state(depot);
    let Some(order) = body::<OrderBody>(req, res).await else {
        return;
    };
    let mut inner = lock(&state.inner);
    if state.model.checks_fence && order.fence < inner.fence {
        res.status_code(StatusCode::CONFLICT);
        return;
    }
    inner.fence = inner.fence.max(order.fence);
    if let OrderKind::Leaving(leaving) = order.kind {
        inner.leaving = leaving;
    }
}

#[handler]
async fn set_faults(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let state = state(depot);
    if let Some(faults) = body::<EngineFaults>(req, res).await {
        if faults.die {
            std::process::exit(1);
        }
        lock(&state.inner).faults = faults;
    }
}

#[handler]
async fn get_counts(depot: &mut Depot, res: &mut Response) {
    let counts = lock(&state(depot).inner).counts.clone();
    json(res, StatusCode::OK, counts);
}
