//! `cargo measure`: runs scenarios against real processes and prints their figures.

use argh::FromArgs;
use cloverpier_tools::process::build_programs;
use cloverpier_tools::scenarios::{ALL, Options};
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
    // The parts of the slopes are run by their own names only.
    let in_all = |name: &str| !name.starts_with("slopes-");
    let wanted = |name: &str| args.scenario.as_deref().map_or(in_all(name), |s| s == name);
    let chosen: Vec<_> = ALL.iter().filter(|s| wanted(s.name)).collect();
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
    let mut failed = false;
    for scenario in chosen {
        match scenario.run(options).await {
            Ok(figures) => {
                figures.print();
                failed |= !figures.clean;
            }
            Err(e) => {
                eprintln!("{}: {e}", scenario.name);
                failed = true;
            }
        }
    }
    if failed {
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}
