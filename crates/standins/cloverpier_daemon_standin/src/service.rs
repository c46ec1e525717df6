//! A plain service that counts how often it ran each request.

use crate::platform::break_answer;
use crate::web::{ask_to_wait, body, json, say_that_it_leaves, serve};
use cloverpier_core::lock;
use salvo::http::StatusCode;
use salvo::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Faults of the service.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Every call takes so long, in milliseconds.
    pub slow_ms: u64,
    /// So many calls run but are answered with a broken connection.
    pub lose_answers: u32,
    /// All answers say that it leaves.
    pub says_leaving: bool,
    /// Calls are turned away, and it wants nothing for so long, in seconds; 0 is no fault.
    pub wait_s: f64,
}

/// How often each request ran.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ServiceCounts {
    /// Runs by `Idempotency-Key`.
    pub runs: BTreeMap<String, u64>,
}

#[derive(Debug, Default)]
struct State {
    counts: Mutex<ServiceCounts>,
    faults: Mutex<ServiceFaults>,
}

#[derive(Debug, Serialize)]
struct Echo {
    method: String,
    path: String,
    runs: u64,
    body: String,
}

fn state(depot: &Depot) -> Arc<State> {
    let found = depot.get_typed::<Arc<State>>();
    Arc::clone(found.expect("the state is injected into every route"))
}

/// Serves the plain service until the process ends.
pub async fn run(listen: SocketAddr) {
    let state = Arc::new(State::default());
    let router = Router::new()
        .hoop(salvo::affix_state::inject(state))
        .push(Router::with_path("standin/faults").post(set_faults))
        .push(Router::with_path("standin/counts").get(get_counts))
        .push(Router::with_path("{**rest}").goal(run_call));
    serve(listen, router).await;
}

#[handler]
async fn set_faults(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    if let Some(faults) = body::<ServiceFaults>(req, res).await {
        *lock(&state(depot).faults) = faults;
    }
}

#[handler]
async fn get_counts(depot: &mut Depot, res: &mut Response) {
    let counts = lock(&state(depot).counts).clone();
    json(res, StatusCode::OK, counts);
}

#[handler]
async fn run_call(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let state = state(depot);
    let key = req.header::<String>("Idempotency-Key").unwrap_or_default();
    let payload = req.payload_with_max_size(1 << 20).await;
    let body = payload.map_or_else(
        |_| String::new(),
        |b| String::from_utf8_lossy(b).into_owned(),
    );
    let runs = {
        let mut counts = lock(&state.counts);
        let runs = counts.runs.entry(key).or_default();
        *runs += 1;
        *runs
    };
    let faults = lock(&state.faults).clone();
    if faults.says_leaving {
        say_that_it_leaves(res);
    }
    if faults.wait_s > 0.0 {
        ask_to_wait(res, faults.wait_s);
        return json(res, StatusCode::SERVICE_UNAVAILABLE, ());
    }
    let slow_ms = faults.slow_ms;
    tokio::time::sleep(Duration::from_millis(slow_ms)).await;
    let lose = {
        let mut faults = lock(&state.faults);
        let lose = faults.lose_answers > 0;
        faults.lose_answers = faults.lose_answers.saturating_sub(1);
        lose
    };
    if lose {
        return break_answer(res);
    }
    let echo = Echo {
        method: req.method().to_string(),
        path: req.uri().path().to_owned(),
        runs,
        body,
    };
    json(res, StatusCode::OK, echo);
}
