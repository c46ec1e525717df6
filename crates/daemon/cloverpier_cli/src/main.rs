//! `cloverpier`: the command line client of operators and callers.
//!
//! Owns the exit codes and prints error messages; each command is a function of [`caller`] or
//! [`operator`].

mod args;
mod caller;
mod operator;
mod table;

use args::{Args, Command};
use std::process::ExitCode;

/// The outcome of a command, which determines the exit code.
enum Outcome {
    /// The command succeeded.
    Done,
    /// The change is stored, but some routers don't act on it yet.
    Pending,
    /// The call was refused or failed; the text is the error message.
    Failed(String),
    /// The arguments or the intent file are invalid; the text is the error message.
    Usage(String),
}

/// Exit code of a command that was refused or failed. `--help` lists the exit codes.
const EXIT_FAILED: u8 = 1;
/// Exit code of invalid arguments or an invalid intent file.
const EXIT_USAGE: u8 = 2;
/// Exit code of a change that is stored, but not in force at all routers yet.
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
        Outcome::Failed(message) => {
            eprintln!("{message}");
            ExitCode::from(EXIT_FAILED)
        }
        Outcome::Usage(message) => {
            eprintln!("{message}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}
