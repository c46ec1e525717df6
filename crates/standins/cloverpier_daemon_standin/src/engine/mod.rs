//! A model engine: continuous batching, prefix cache, priorities, resume and cancel.
//!
//! Timing is a stated model: a step of the batch takes `step_us` plus
//! `per_running_us` for each running generation; in each step a budget of
//! `prefill_per_step` prompt tokens is worked off, and each generation whose
//! prompt is done makes one token.

mod batch;

pub use batch::{EngineCounts, EngineFaults, EngineModel};

use batch::{State, start, step_forever};

use crate::web::{ask_to_wait, body, json, say_that_it_leaves, serve};
use cloverpier_core::{hash_of, lock};
use cloverpier_upstream::{EngineEvent, GenerateBody, GenerationBody, LoadBody};
use salvo::http::StatusCode;
use salvo::prelude::*;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Instant;
use tokio::sync::watch;

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
        .hoop(say_leaving)
        .push(Router::with_path("generate").post(generate))
        .push(Router::with_path("resume").post(resume))
        .push(Router::with_path("cancel").post(cancel))
        .push(Router::with_path("load").get(load));
    let router = Router::new()
        .hoop(salvo::affix_state::inject(state))
        .push(v1)
        .push(Router::with_path("faults").post(set_faults))
        .push(Router::with_path("counts").get(get_counts));
    serve(listen, router).await;
}

/// Says in an answer that the engine leaves, if it does.
#[handler]
async fn say_leaving(depot: &mut Depot, res: &mut Response) {
    let leaves = lock(&state(depot).inner).faults.says_leaving;
    if leaves {
        say_that_it_leaves(res);
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
        if inner.faults.refuse || inner.faults.wait_s > 0.0 {
            inner.counts.refused += 1;
            res.status_code(StatusCode::SERVICE_UNAVAILABLE);
            ask_to_wait(res, inner.faults.wait_s);
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
