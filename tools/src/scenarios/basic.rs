//! One load with one fault in its middle.

use crate::fleet::{Fleet, FleetSpec};
use crate::load::{Load, Outcome, run as run_load};
use crate::report::Figures;
use crate::scenarios::meter::{Cost, figures};
use cloverpier_daemon_standin::{EngineCounts, EngineFaults};
use std::io;
use std::time::{Duration, Instant};

const REQUESTS: usize = 32;
const TOKENS: u32 = 160;
/// By then all generations run, and none has ended.
const FAULT_AFTER: Duration = Duration::from_millis(1_600);
/// How long all engines pause: beyond the silence that a service allows.
const PAUSE: Duration = Duration::from_millis(1_300);

/// The fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// None, and recovery off.
    Plain,
    /// None.
    Copied,
    /// An engine is killed.
    EngineKilled,
    /// An engine makes no more steps; its connections stay open.
    EngineFrozen,
    /// The same, with the bound on silence learned from each stream.
    EngineFrozenAdaptive,
    /// The processes of all engines stand still for a while and go on.
    EnginesPaused,
    /// A router is killed.
    RouterKilled,
    /// Both are killed at once.
    EngineAndRouterKilled,
    /// An upstream is drained and a router stopped.
    Drain,
}

/// Runs the scenario.
///
/// # Errors
///
/// The error of a process.
pub async fn run(kind: Kind) -> io::Result<Figures> {
    let load = Load::new("load", REQUESTS, TOKENS);
    let plain = plain_cost(&load).await?;
    let spec = FleetSpec::new().service(|s| {
        s.copies = u8::from(kind != Kind::Plain);
        s.adaptive_silence = kind == Kind::EngineFrozenAdaptive;
    });
    let mut fleet = Fleet::start(spec).await?;
    let before = Cost::now(&fleet).await;
    let (outcomes, fault, lost) = with_fault(&mut fleet, kind, &load).await?;
    let lost_tokens: u64 = lost.iter().map(|c| c.prefilled + c.decoded).sum();
    let cost = Cost::now(&fleet).await.plus_engine_tokens(lost_tokens);
    let mut figures = figures(&outcomes, fault, cost.since(before), plain);
    own_counts(&fleet, kind, &outcomes, &mut figures).await;
    fleet.forget_logs();
    Ok(figures)
}

/// The cost of the same load without copies and without faults.
async fn plain_cost(load: &Load) -> io::Result<Cost> {
    let fleet = Fleet::start(FleetSpec::new().service(|s| s.copies = 0)).await?;
    let before = Cost::now(&fleet).await;
    run_load(&fleet, load).await;
    let cost = Cost::now(&fleet).await.since(before);
    fleet.forget_logs();
    Ok(cost)
}

type Ran = (Vec<Outcome>, Option<Instant>, Vec<EngineCounts>);

async fn with_fault(fleet: &mut Fleet, kind: Kind, load: &Load) -> io::Result<Ran> {
    let caller = std::sync::Arc::new(fleet.caller_at(0));
    caller.addresses().await.map_err(io::Error::other)?;
    let running = {
        let load = load.clone();
        tokio::spawn(async move { crate::load::run_with(caller, &load).await })
    };
    let mut lost = Vec::new();
    let mut fault = None;
    if !matches!(kind, Kind::Plain | Kind::Copied) {
        tokio::time::sleep(FAULT_AFTER).await;
        let counts = fleet.engine_counts().await;
        fault = Some(Instant::now());
        lost = strike(fleet, kind, counts).await;
    }
    let outcomes = running.await.map_err(io::Error::other)?;
    Ok((outcomes, fault, lost))
}

/// Brings the fault about; gives the counts of engines whose own are lost by it.
async fn strike(fleet: &mut Fleet, kind: Kind, counts: Vec<EngineCounts>) -> Vec<EngineCounts> {
    let last = fleet.routers.len() - 1;
    match kind {
        Kind::EngineKilled => {
            fleet.engines[0].process.kill();
            return counts.into_iter().take(1).collect();
        }
        Kind::EngineFrozen | Kind::EngineFrozenAdaptive => {
            let freeze = EngineFaults {
                freeze: true,
                ..EngineFaults::default()
            };
            fleet.engine_faults(0, &freeze).await;
        }
        Kind::EnginesPaused => pause_engines(fleet).await,
        Kind::RouterKilled => fleet.routers[last].process.kill(),
        Kind::EngineAndRouterKilled => {
            fleet.routers[last].process.kill();
            fleet.engines[0].process.kill();
            return counts.into_iter().take(1).collect();
        }
        Kind::Drain => {
            let operator = fleet.operator();
            // A refusal shows in the counts: work would start at the engine.
            let _ = operator.leave("e1").await;
            let _ = fleet.operator_at(&fleet.routers[last]).stop().await;
        }
        Kind::Plain | Kind::Copied => {}
    }
    Vec::new()
}

async fn pause_engines(fleet: &mut Fleet) {
    for engine in &mut fleet.engines {
        engine.process.freeze();
    }
    tokio::time::sleep(PAUSE).await;
    for engine in &mut fleet.engines {
        engine.process.wake();
    }
}

async fn own_counts(fleet: &Fleet, kind: Kind, outcomes: &[Outcome], figures: &mut Figures) {
    let counts = fleet.engine_counts().await;
    let resumed: u64 = counts.iter().map(|c| c.resumed).sum();
    figures.count("streams_resumed", resumed);
    if kind == Kind::EnginesPaused {
        let begun: u64 = counts.iter().map(|c| c.started).sum();
        figures.count("generations_begun", begun);
    }
    if kind == Kind::Drain {
        let stayed = outcomes
            .iter()
            .filter_map(|o| o.answer.as_ref().ok())
            .filter(|a| a.connections == 1)
            .count();
        figures.count("answers_over_one_connection", stayed as u64);
    }
}
