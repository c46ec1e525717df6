//! `cargo demo`: one answer that outlives its engine and then its router.

use cloverpier_client::{GenerateRequest, GeneratedResponse, ReceivedToken};
use cloverpier_daemon_standin::check_speech;
use cloverpier_tools::fleet::{Fleet, FleetSpec};
use cloverpier_tools::process::build_programs;
use std::io;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc::{self, UnboundedReceiver};

const TOKENS: u32 = 240;
/// Tokens after which the engine dies, and then the router.
const ENGINE_AT: usize = 60;
const ROUTER_AT: usize = 140;

#[tokio::main]
async fn main() -> ExitCode {
    match demo().await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::FAILURE
        }
    }
}

/// A fault that the demo brought about, and when.
struct Fault {
    what: String,
    at: Instant,
}

async fn demo() -> io::Result<bool> {
    build_programs()?;
    println!("starting the platform, 4 engines, a plain service and 3 routers ...");
    let mut fleet = Fleet::start(FleetSpec::new()).await?;
    println!("plan and confirm: the configuration is in force at all routers");
    let caller = Arc::new(fleet.caller_at(0));
    let addresses = caller.addresses().await.map_err(io::Error::other)?;
    println!(
        "a caller may use {} addresses, for {} s",
        addresses.addresses.len(),
        addresses.ttl_s
    );
    let (tx, rx) = mpsc::unbounded_channel();
    let asked = tokio::spawn(async move {
        let ask =
            GenerateRequest::new("drafts", "Summarise the calibration log of run 17.", TOKENS);
        caller
            .generate(&ask, |token| {
                // The receiver lives as long as the demo.
                let _ = tx.send(token.clone());
            })
            .await
    });
    let faults = kill_on_the_way(&mut fleet, rx).await;
    let answer = asked
        .await
        .map_err(io::Error::other)?
        .map_err(io::Error::other)?;
    let whole = print_result(&answer, &faults);
    fleet.forget_logs();
    Ok(whole)
}

/// Kills an engine and a router as the tokens arrive.
async fn kill_on_the_way(
    fleet: &mut Fleet,
    mut rx: UnboundedReceiver<ReceivedToken>,
) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut count = 0;
    while let Some(token) = rx.recv().await {
        count += 1;
        if count == ENGINE_AT {
            let engine = busy_engine(fleet, &token.text);
            faults.push(kill_engine(fleet, engine));
        }
        if count == ROUTER_AT {
            faults.push(kill_router(fleet, token.from));
        }
    }
    faults
}

/// The engine that made a token: its name is in the token's text.
fn busy_engine(fleet: &Fleet, text: &str) -> usize {
    let salt = |i: usize| {
        let hash = cloverpier_core::hash_of(&fleet.engines[i].address.to_string());
        format!(" {:04x}", hash & 0xffff)
    };
    let made_it = |i: &usize| text.starts_with(&salt(*i));
    (0..fleet.engines.len()).find(made_it).unwrap_or(0)
}

fn kill_engine(fleet: &mut Fleet, index: usize) -> Fault {
    let engine = &mut fleet.engines[index];
    engine.process.kill();
    Fault {
        what: format!("engine {} killed after {ENGINE_AT} tokens", engine.name),
        at: Instant::now(),
    }
}

fn kill_router(fleet: &mut Fleet, from: std::net::SocketAddr) -> Fault {
    let index = fleet.routers.iter().position(|r| r.callers_at == from);
    let router = &mut fleet.routers[index.unwrap_or(0)];
    router.process.kill();
    Fault {
        what: format!("router {} killed after {ROUTER_AT} tokens", router.vm),
        at: Instant::now(),
    }
}

fn print_result(answer: &GeneratedResponse, faults: &[Fault]) -> bool {
    for fault in faults {
        let next = answer
            .tokens
            .iter()
            .find(|t| t.at > fault.at + Duration::from_millis(1));
        let wait = next.map(|t| (t.at - fault.at).as_millis());
        println!(
            "{}: the next token came after {} ms",
            fault.what,
            wait.unwrap_or(0)
        );
    }
    let got = answer.tokens.len() as u64;
    let missing = u64::from(TOKENS).saturating_sub(got);
    let repeated = answer.repeated + got.saturating_sub(u64::from(TOKENS));
    let speech = check_speech(answer.tokens.iter().map(|t| &*t.text));
    println!(
        "received {got} tokens over {} connections: {missing} missing, {repeated} repeated",
        answer.connections
    );
    println!(
        "count and digest as the router told: {}",
        answer.is_verified
    );
    println!(
        "every token generated after exactly those before it: {}",
        speech.is_ok()
    );
    missing == 0 && repeated == 0 && answer.is_verified && speech.is_ok()
}
