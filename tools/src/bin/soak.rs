//! `cargo soak`: real routers as processes, harmed at random while they serve.

use argh::FromArgs;
use cloverpier_tools::process::build_programs;
use cloverpier_tools::soak::{Report, SoakSpec, run_soak};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// Harms real routers at random while they serve, and checks what callers and upstreams see.
#[derive(FromArgs)]
struct Args {
    /// how long to go on with fresh seeds, in minutes (2)
    #[argh(option, default = "2.0")]
    minutes: f64,
    /// how long harm is done with one seed, in seconds (10)
    #[argh(option, default = "10")]
    seconds: u64,
    /// the first seed; the next ones follow it (drawn)
    #[argh(option)]
    seed: Option<u64>,
    /// run this seed alone, again
    #[argh(option)]
    replay: Option<u64>,
    /// roll out no versions and start no upstream again under its name, as the kept seeds do
    #[argh(switch, long = "without-versions")]
    without_versions: bool,
    /// have no upstream say that it leaves or wants nothing, as the kept seeds do
    #[argh(switch, long = "without-statements")]
    without_statements: bool,
    /// have no upstream limit itself, as the kept seeds do
    #[argh(switch, long = "without-limits")]
    without_limits: bool,
    /// have no account flood, no streams burst and no engine turn slow, as the kept seeds do
    #[argh(switch, long = "without-load")]
    without_load: bool,
    /// have no sound upstream fall silent for a while, as the kept seeds do
    #[argh(switch, long = "without-pauses")]
    without_pauses: bool,
    /// have all requests carry one body under load and pauses, as they do without them
    #[argh(switch, long = "equal-bodies")]
    equal_bodies: bool,
    /// have a request crash upstreams while they pause, and do no other harm
    #[argh(switch)]
    crashes: bool,
    /// routers at most, each a process (24)
    #[argh(option, long = "most-fronts", default = "24")]
    most_routers: usize,
    /// where settings and logs lie (target/soak)
    #[argh(option, default = "PathBuf::from(\"target/soak\")")]
    dir: PathBuf,
}

#[tokio::main]
async fn main() -> ExitCode {
    let args: Args = argh::from_env();
    if let Err(e) = build_programs() {
        eprintln!("{e}");
        return ExitCode::FAILURE;
    }
    match run(&args).await {
        Ok(broken) if broken.is_empty() => ExitCode::SUCCESS,
        Ok(broken) => {
            println!("seeds with violations: {broken:?}");
            ExitCode::FAILURE
        }
        Err(e) => {
            eprintln!("the soak can't go on: {e}");
            ExitCode::FAILURE
        }
    }
}

async fn run(args: &Args) -> std::io::Result<Vec<u64>> {
    let until = Instant::now() + Duration::from_secs_f64(args.minutes * 60.0);
    let first = args
        .seed
        .unwrap_or_else(|| fastrand::u64(1_000..1_000_000_000));
    let mut seed = args.replay.unwrap_or(first);
    let mut broken = Vec::new();
    let mut count = 0;
    loop {
        let report = run_seed(args, seed).await?;
        count += 1;
        print!("{report}");
        if report.violations.is_empty() {
            std::fs::remove_dir_all(&report.dir)?;
        } else {
            write_violations(&report)?;
            broken.push(seed);
        }
        if args.replay.is_some() || Instant::now() >= until {
            println!("{count} seeds, {} with violations", broken.len());
            return Ok(broken);
        }
        seed += 1;
    }
}

/// Writes all violations beside the logs: a report tells the first ones.
fn write_violations(report: &Report) -> std::io::Result<()> {
    let lines = report.violations.iter();
    let lines: String = lines
        .map(|v| format!("{}: {}\n", v.check, v.found))
        .collect();
    std::fs::write(report.dir.join("violations.txt"), lines)
}

async fn run_seed(args: &Args, seed: u64) -> std::io::Result<Report> {
    let spec = SoakSpec {
        seed,
        length: Duration::from_secs(args.seconds),
        most_routers: args.most_routers,
        dir: args.dir.clone(),
        program: None,
        with_versions: !args.without_versions,
        with_statements: !args.without_statements,
        with_limits: !args.without_limits,
        with_load: !args.without_load,
        with_pauses: !args.without_pauses,
        with_equal_bodies: args.equal_bodies,
        with_crashes: args.crashes,
    };
    run_soak(&spec).await
}
