//! `cloverpier`: the command line of operators and callers.
//!
//! Owns the exit codes; each command is a function of [`caller`] or [`operator`].

mod args;
mod caller;
mod operator;
mod table;

use args::{Args, Command};
use std::process::ExitCode;

/// What a command came to.
enum Outcome {
    /// It did what was asked.
    Done,
    /// It is stored, and some routers don't act on it yet.
    Pending,
    /// It was refused or failed; the text says why.
    Failed(String),
    /// The command itself can't stand.
    Usage(String),
}

/// Exit code of a command that was refused or failed; the codes are in `--help`.
const EXIT_FAILED: u8 = 1;
/// Exit code of wrong usage.
const EXIT_USAGE: u8 = 2;
/// Exit code of a change that is stored, but not in force everywhere yet.
const EXIT_PENDING: u8 = 3;

#[tokio::main]
async fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let outcome = match &args.command {
        Command::Key(key) => caller::key(key),
        Command::Addresses(_) => caller::addresses(&args).await,
        Command::Generate(ask) => caller::generate(&args, ask).await,
        Command::Call(call) => caller::call(&args, call).await,
        Command::Plan(plan) => operator::plan(&args, plan).await,
        Command::Show(show) => operator::show(&args, show).await,
        Command::Confirm(confirm) => operator::confirm(&args, confirm).await,
        Command::Version(version) => operator::version(&args, version).await,
        Command::Config(_) => operator::config(&args).await,
        Command::Status(_) => operator::status(&args).await,
        Command::Drain(drain) => operator::drain(&args, drain).await,
        Command::Stop(_) => operator::stop(&args).await,
    };
    match outcome {
        Outcome::Done => ExitCode::SUCCESS,
        Outcome::Pending => ExitCode::from(EXIT_PENDING),
        Outcome::Failed(why) => {
            eprintln!("{why}");
            ExitCode::from(EXIT_FAILED)
        }
        Outcome::Usage(why) => {
            eprintln!("{why}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}
