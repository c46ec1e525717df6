//! `cargo measure`: runs scenarios against real processes and prints their figures.

use argh::FromArgs;
use cloverpier_tools::process::build_programs;
use cloverpier_tools::scenarios::{ALL, Options, Scenario};
use std::process::ExitCode;

/// Runs scenarios against real processes: one JSON object a line, a table on standard error.
#[derive(FromArgs)]
struct Args {
    /// run only this scenario
    #[argh(option)]
    scenario: Option<String>,
    /// the seed of random choices
    #[argh(option, default = "1")]
    seed: u64,
    /// how long a scenario without an end of its own runs
    #[argh(option, default = "25")]
    seconds: u64,
    /// print the scenarios
    #[argh(switch)]
    list: bool,
}

#[tokio::main]
async fn main() -> ExitCode {
    let args: Args = argh::from_env();
    if args.list {
        for scenario in ALL {
            println!("{:<26} {}", scenario.name, scenario.about);
        }
        return ExitCode::SUCCESS;
    }
    let chosen = chosen(args.scenario.as_deref());
    if chosen.is_empty() {
        eprintln!("--scenario: expected one of those that --list prints");
        return ExitCode::from(2);
    }
    if let Err(e) = build_programs() {
        eprintln!("{e}");
        return ExitCode::FAILURE;
    }
    let options = Options {
        seed: args.seed,
        seconds: args.seconds,
    };
    if run_all(&chosen, options).await {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// The scenario of a name, or all; the parts of the slopes are run by their own names only.
fn chosen(name: Option<&str>) -> Vec<&'static Scenario> {
    let in_all = |s: &&Scenario| !s.name.starts_with("slopes-");
    match name {
        Some(name) => ALL.iter().filter(|s| s.name == name).collect(),
        None => ALL.iter().filter(in_all).collect(),
    }
}

/// Runs scenarios one after another and prints their figures; whether all were clean.
async fn run_all(scenarios: &[&Scenario], options: Options) -> bool {
    let mut is_clean = true;
    for scenario in scenarios {
        match scenario.run(options).await {
            Ok(figures) => {
                figures.print();
                is_clean &= figures.clean;
            }
            Err(e) => {
                eprintln!("{}: {e}", scenario.name);
                is_clean = false;
            }
        }
    }
    is_clean
}
