//! Random faults for a stated time, counted from the callers' and the stand-ins' side.

mod calls;
mod faults;
mod operators;

use crate::fleet::{Fleet, FleetSpec};
use crate::load::{Load, Outcome, faults as count_faults, run_with};
use crate::report::{Figures, Spread};
use crate::scenarios::Options;
use cloverpier_daemon_standin::EngineModel;
use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

const ROUTERS: usize = 5;
const ENGINES: usize = 5;
const GENERATIONS_AT_ONCE: usize = 12;
const TOKENS: u32 = 90;
const PATIENCE: Duration = Duration::from_secs(60);

/// Tells all loops when the time of faults is over.
#[derive(Clone, Debug, Default)]
pub(super) struct Over(Arc<AtomicBool>);

impl Over {
    fn is(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    fn set(&self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Runs the scenario.
///
/// # Errors
///
/// The error of a process.
pub async fn run(options: Options) -> io::Result<Figures> {
    let model = EngineModel {
        orphan_ms: 2_000,
        ..EngineModel::default()
    };
    let spec = FleetSpec::new().routers(ROUTERS).engines(ENGINES);
    let spec = spec.model(model).links();
    let mut fleet = Fleet::start(spec).await?;
    let over = Over::default();
    let generations = tokio::spawn(generate(fleet.caller_at(0), options.seed, over.clone()));
    let calls = tokio::spawn(calls::run(
        calls::Callers::of(&fleet),
        options.seed,
        over.clone(),
    ));
    let operators = tokio::spawn(operators::run(
        operators::Operators::of(&fleet),
        options.seed,
        over.clone(),
    ));
    let struck = faults::run(&mut fleet, options, &over).await?;
    over.set();
    let outcomes = generations.await.map_err(io::Error::other)?;
    let calls = calls.await.map_err(io::Error::other)?;
    let changes = operators.await.map_err(io::Error::other)?;
    let executed = fleet.service_counts().await;
    let mut figures = figures(&outcomes, &calls, &changes, &struck, &executed);
    figures.clean = is_clean(&figures);
    if figures.clean {
        fleet.forget_logs();
    } else {
        eprintln!(
            "not clean; logs in {}; again: cargo measure --scenario chaos --seed {}",
            fleet.dir().display(),
            options.seed
        );
    }
    Ok(figures)
}

/// Generations one after the other, several at once.
async fn generate(caller: cloverpier_client::Caller, seed: u64, over: Over) -> Vec<Outcome> {
    let caller = Arc::new(caller);
    let _ = caller.addresses().await;
    let mut all = Vec::new();
    let mut round = 0;
    while !over.is() {
        round += 1;
        let mut load = Load::new(
            &format!("chaos-{seed}-{round}"),
            GENERATIONS_AT_ONCE,
            TOKENS,
        );
        load.patience = PATIENCE;
        all.extend(run_with(Arc::clone(&caller), &load).await);
    }
    all
}

fn figures(
    outcomes: &[Outcome],
    calls: &[calls::Called],
    changes: &operators::Changes,
    struck: &faults::Struck,
    executed: &[cloverpier_daemon_standin::ServiceCounts],
) -> Figures {
    let counted = count_faults(outcomes);
    let mut figures = Figures {
        requests: outcomes.len() as u64,
        answers_whole: counted.whole,
        requests_failed: counted.failed,
        tokens_missing: counted.missing,
        tokens_repeated: counted.repeated,
        tokens_mixed: counted.mixed,
        first_token_ms: Spread::of(&crate::load::first_tokens(outcomes)),
        between_tokens_ms: Spread::of(&crate::load::between_tokens(outcomes)),
        ..Figures::default()
    };
    for (why, count) in failures(outcomes) {
        eprintln!("{count} generations failed: {why}");
    }
    let calls = calls::judge(calls, executed);
    figures.count("calls", calls.calls);
    figures.count("calls_done", calls.done);
    figures.count("calls_unknown", calls.unknown);
    figures.count("executed_twice", calls.executed_twice);
    figures.count("refused_but_run", calls.refused_but_run);
    figures.count("changes_accepted", changes.accepted);
    figures.count("changes_pending", changes.pending);
    figures.count("changes_refused", changes.refused);
    figures.count("versions_stepped_back", changes.stepped_back);
    figures.count("acted_on_old_after_accepted", changes.old_after_accepted);
    figures.count("new_work_after_leaving", struck.new_work_after_leaving);
    figures.count("stops_that_did_not_end", struck.stops_that_did_not_end);
    figures.count("faults", struck.faults);
    figures
}

/// Why generations failed, and how many.
fn failures(outcomes: &[Outcome]) -> BTreeMap<String, u64> {
    let mut by_reason = BTreeMap::new();
    for error in outcomes.iter().filter_map(|o| o.answer.as_ref().err()) {
        *by_reason.entry(error.to_string()).or_default() += 1;
    }
    by_reason
}

/// Counts that must all be 0.
const MUST_BE_ZERO: [&str; 6] = [
    "executed_twice",
    "refused_but_run",
    "versions_stepped_back",
    "acted_on_old_after_accepted",
    "new_work_after_leaving",
    "stops_that_did_not_end",
];

fn is_clean(figures: &Figures) -> bool {
    let zero = |name: &&str| figures.counts.get(*name).is_some_and(|v| *v == 0);
    figures.wrong_tokens() == 0 && MUST_BE_ZERO.iter().all(zero)
}
