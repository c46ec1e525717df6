//! Loads of 1 to 3 times the capacity, in which one account floods and one asks little.

use crate::fleet::{Fleet, FleetSpec, KEY};
use crate::load::{Load, Outcome, first_tokens, run_with};
use crate::report::{Figures, Spread};
use crate::scenarios::meter::{Cost, figures};
use cloverpier_client::{Caller, GenerateRequest};
use serde_json::{Value, json};
use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

const TOKENS: u32 = 60;
const SECONDS: u32 = 6;
/// What 4 engines with 16 places end in a second: 64 answers of 60 steps of 23 ms.
const CAPACITY_A_S: f64 = 64.0 / (60.0 * 0.0232);
const SMALL_KEY: &str = "account-1.secret";
const SMALL_PART: f64 = 0.1;
/// A probe that gets its first token so soon finds the site recovered.
const RECOVERED: Duration = Duration::from_millis(150);

/// Runs all factors; the figures proper are those of the highest.
///
/// # Errors
///
/// The error of a process.
pub async fn run() -> io::Result<Figures> {
    let mut by_factor = Vec::new();
    let mut last = Figures::default();
    for factor in [1.0, 1.5, 2.0, 3.0] {
        let (figures, row) = one(factor).await?;
        by_factor.push(row);
        last = figures;
    }
    last.count("by_factor", by_factor);
    Ok(last)
}

fn load_of(name: &str, per_s: f64) -> Load {
    let requests = (per_s * f64::from(SECONDS)) as usize;
    let mut load = Load::new(name, requests, TOKENS);
    load.spacing = Duration::from_secs_f64(1.0 / per_s);
    // A refusal is final: what is measured is what the routers do, not callers' retries.
    load.patience = Duration::ZERO;
    load
}

async fn one(factor: f64) -> io::Result<(Figures, Value)> {
    let fleet = Fleet::start(FleetSpec::new().accounts(2)).await?;
    let before = Cost::now(&fleet).await;
    let per_s = CAPACITY_A_S * factor;
    let large = Arc::new(fleet.caller_at(0));
    let small = Arc::new(Caller::new(fleet.routers[0].callers_at, SMALL_KEY));
    for caller in [&large, &small] {
        caller.addresses().await.map_err(io::Error::other)?;
    }
    let flood = load_of("flood", per_s * (1.0 - SMALL_PART));
    let little = load_of("little", per_s * SMALL_PART);
    let started = Instant::now();
    let (flood, little) = tokio::join!(run_with(large, &flood), run_with(small, &little));
    let took = started.elapsed();
    let recovered = recovery(&fleet).await;
    let cost = Cost::now(&fleet).await.since(before);
    let row = json!({
        "factor": factor,
        "asked_a_s": per_s.round(),
        "whole_a_s": whole(&flood, &little) as f64 / took.as_secs_f64(),
        "large": side(&flood),
        "small": side(&little),
        "recovery_ms": u64::try_from(recovered.as_millis()).unwrap_or(0),
    });
    let all: Vec<Outcome> = flood.into_iter().chain(little).collect();
    let figures = figures(&all, None, cost, cost);
    fleet.forget_logs();
    Ok((figures, row))
}

fn whole(flood: &[Outcome], little: &[Outcome]) -> usize {
    let ended = |o: &&Outcome| o.answer.as_ref().is_ok_and(|a| a.is_verified);
    flood.iter().filter(ended).count() + little.iter().filter(ended).count()
}

fn side(outcomes: &[Outcome]) -> Value {
    let refused = outcomes.iter().filter(|o| o.answer.is_err());
    let waits: Vec<Duration> = refused.map(|o| o.ended - o.asked).collect();
    json!({
        "asked": outcomes.len(),
        "refused": waits.len(),
        "refused_within_ms": Spread::of(&waits),
        "first_token_ms": Spread::of(&first_tokens(outcomes)),
    })
}

/// How long after the load a request finds the site idle again.
async fn recovery(fleet: &Fleet) -> Duration {
    let started = Instant::now();
    let caller = Caller::new(fleet.routers[0].callers_at, KEY);
    while started.elapsed() < Duration::from_secs(20) {
        let mut first = None;
        let asked = Instant::now();
        let ask = GenerateRequest::new("drafts", "a probe", 1);
        let answer = caller.generate(&ask, |t| first = Some(t.at - asked)).await;
        if answer.is_ok() && first.is_some_and(|wait| wait <= RECOVERED) {
            return started.elapsed();
        }
    }
    started.elapsed()
}
