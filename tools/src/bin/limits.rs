//! Plays limits that upstreams name, for figures: `cargo limits`.
//!
//! Prints a line for each size, trouble and way of keeping to limits: the worst over the seeds, or the
//! mean where the head says so.

use argh::FromArgs;
use cloverpier_tools::limit_play::{LimitOutcome, LimitSpec, Trouble, Way, play};

/// Plays limits that upstreams name.
#[derive(FromArgs)]
struct Args {
    /// seeds a line
    #[argh(option, default = "10")]
    seeds: u64,
    /// most routers
    #[argh(option, default = "60")]
    largest: usize,
    /// requests a second that a limited upstream takes
    #[argh(option, default = "2.0")]
    rate: f64,
    /// requests a second of all callers, for each upstream
    #[argh(option, default = "40.0")]
    demand: f64,
    /// part of the upstreams that limit themselves
    #[argh(option, default = "0.25")]
    limited: f64,
    /// part of the datagrams that is lost
    #[argh(option, default = "0.0")]
    loss: f64,
}

/// Routers and upstreams.
const SIZES: [(usize, usize); 4] = [(8, 8), (60, 40), (295, 80), (986, 80)];
const TROUBLES: [Trouble; 6] = [
    Trouble::None,
    Trouble::CutOff,
    Trouble::CutInTwo,
    Trouble::Replaced,
    Trouble::LimitersKilled,
    Trouble::LimitersFrozen,
];
const HEAD: &str = "routers trouble way: beyond the rate in 4 s, used (least, mean), starved, \
    mean wait ms, same retry, refused, datagrams a second (most, mean), known after ms";

fn main() {
    let args: Args = argh::from_env();
    println!("{HEAD}");
    for (routers, upstreams) in SIZES.into_iter().filter(|(r, _)| *r <= args.largest) {
        for trouble in TROUBLES {
            for way in [Way::Permits, Way::Shares] {
                let spec = LimitSpec {
                    trouble,
                    way,
                    rate: args.rate,
                    requests: args.demand * upstreams as f64,
                    limited: (args.limited * upstreams as f64).ceil() as usize,
                    loss: args.loss,
                    ..LimitSpec::new(0, routers, upstreams)
                };
                let plays = (1..=args.seeds).map(|seed| play(LimitSpec { seed, ..spec }));
                print_worst(&spec, &plays.collect::<Vec<_>>());
            }
        }
    }
}

fn print_worst(spec: &LimitSpec, outcomes: &[LimitOutcome]) {
    let most = |f: &dyn Fn(&LimitOutcome) -> f64| {
        let figures = outcomes.iter().map(f);
        figures.fold(f64::NEG_INFINITY, f64::max)
    };
    let mean_used = outcomes.iter().map(|o| o.mean_used).sum::<f64>() / outcomes.len() as f64;
    println!(
        "{} {:?} {:?}: {:.1}, ({:.2}, {mean_used:.2}), {}, {:.1}, {:.2}, {:.3}, ({:.1}, {:.1}), {:.0}",
        spec.routers,
        spec.trouble,
        spec.way,
        most(&|o| o.most_beyond),
        -most(&|o| -o.least_used),
        most(&|o| o.starved as f64),
        most(&|o| o.mean_wait.as_secs_f64() * 1e3),
        most(&|o| o.same_retry),
        most(&|o| o.refused as f64 / o.requests as f64),
        most(&|o| o.most_datagrams),
        most(&|o| o.mean_datagrams),
        most(&|o| o.known_after.as_secs_f64() * 1e3),
    );
}
