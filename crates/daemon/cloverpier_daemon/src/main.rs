//! `cloverpierd`: the router daemon, the same on every VM.
//!
//! Reads the settings and runs the daemon until a planned stop; exit code 2 for settings with
//! faults.

use argh::FromArgs;
use cloverpier_daemon::prelude::*;
use cloverpier_observe::init_logs;
use cloverpier_settings::{DaemonSettings, read_settings};
use std::process::ExitCode;

/// The exit code for settings with faults.
const EXIT_SETTINGS: u8 = 2;

/// Router of a serving system for long generations on engines that fail.
#[derive(FromArgs)]
struct Args {
    /// check the settings and exit: 0 when they can stand, 2 when not
    #[argh(switch)]
    check: bool,
    /// the settings, a TOML file
    #[argh(positional)]
    settings: String,
}

#[tokio::main]
async fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let settings = match read_settings(args.settings.as_ref(), DaemonSettings::parse) {
        Ok(settings) => settings,
        Err(faults) => {
            eprintln!("{faults}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if args.check {
        println!("{}: the settings can stand", args.settings);
        return ExitCode::SUCCESS;
    }
    // `DaemonSettings::parse` takes the known levels only.
    init_logs(settings.log_level.parse().unwrap_or(log::LevelFilter::Info));
    run(App::new(settings, Timers::default())).await;
    ExitCode::SUCCESS
}
