//! Prints how well streams were placed, from the log lines of all routers.

use argh::FromArgs;
use cloverpier_tools::placement::{Objectives, read_placement};
use std::path::PathBuf;
use std::process::ExitCode;

/// Prints how well streams were placed, from the log lines of all routers.
#[derive(FromArgs)]
struct Args {
    /// a file with the lines; other text before each is passed over
    #[argh(positional)]
    log: PathBuf,
    /// seconds of one row (6)
    #[argh(option, default = "6")]
    slice_s: u64,
    /// objective of the first event, in milliseconds (4500)
    #[argh(option, default = "4_500")]
    first_event_ms: u64,
    /// objective of a pause between events, in milliseconds (700)
    #[argh(option, default = "700")]
    pause_ms: u64,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let bytes = match std::fs::read(&args.log) {
        Ok(bytes) => bytes,
        Err(error) => {
            eprintln!("can't read {}: {error}", args.log.display());
            return ExitCode::FAILURE;
        }
    };
    let objectives = Objectives {
        first_event_ms: args.first_event_ms,
        pause_ms: args.pause_ms,
    };
    // A line that was cut within a character is one that cannot be read.
    let text = String::from_utf8_lossy(&bytes);
    print!("{}", read_placement(&text, args.slice_s.max(1), objectives));
    ExitCode::SUCCESS
}
