//! Scenarios that the measurements run, each against processes of its own.

mod basic;
mod chaos;
mod crashes;
mod detection;
mod meter;
mod overload;
mod plays;
mod returns;
mod rollouts;
mod slopes;
mod versions;

use crate::report::Figures;
use std::io;

/// A scenario by its name.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// The name.
    pub name: &'static str,
    /// What it shows.
    pub about: &'static str,
    run: Runner,
}

#[derive(Clone, Copy, Debug)]
enum Runner {
    Basic(basic::Kind),
    Chaos,
    Crashes,
    Detection,
    Overload,
    Returns,
    Rollouts,
    Slopes(slopes::Kind),
    Versions,
}

/// What the caller of a scenario can set.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// The seed of random choices.
    pub seed: u64,
    /// Seconds for which a scenario without an end of its own runs.
    pub seconds: u64,
}

/// All scenarios.
pub const ALL: &[Scenario] = &[
    basic_scenario("plain", "recovery off, no fault", basic::Kind::Plain),
    basic_scenario("copied", "recovery on, no fault", basic::Kind::Copied),
    basic_scenario(
        "engine-killed",
        "an engine dies mid-output",
        basic::Kind::EngineKilled,
    ),
    basic_scenario(
        "engine-frozen",
        "an engine falls silent mid-output",
        basic::Kind::EngineFrozen,
    ),
    basic_scenario(
        "engine-frozen-adaptive",
        "the same, silence learned",
        basic::Kind::EngineFrozenAdaptive,
    ),
    basic_scenario(
        "engines-paused",
        "all engines pause mid-output for longer than they may be silent, and go on",
        basic::Kind::EnginesPaused,
    ),
    basic_scenario(
        "router-killed",
        "a router dies mid-output",
        basic::Kind::RouterKilled,
    ),
    basic_scenario(
        "engine-and-router-killed",
        "both die within one batch",
        basic::Kind::EngineAndRouterKilled,
    ),
    basic_scenario(
        "drain",
        "an upstream and a router leave under load",
        basic::Kind::Drain,
    ),
    Scenario {
        name: "overload",
        about: "1 to 3 times the capacity, one account flooding",
        run: Runner::Overload,
    },
    Scenario {
        name: "detection",
        about: "time to detect a death, and false alarms, over a sweep; in simulated time",
        run: Runner::Detection,
    },
    Scenario {
        name: "versions",
        about: "a large configuration reaches a fleet over narrow links; in simulated time",
        run: Runner::Versions,
    },
    Scenario {
        name: "rollouts",
        about: "good and bad versions are rolled out: exposure, times, false alarms; in simulated time",
        run: Runner::Rollouts,
    },
    Scenario {
        name: "crashes",
        about: "requests that crash upstreams come again: ends, false alarms; in simulated time",
        run: Runner::Crashes,
    },
    Scenario {
        name: "returns",
        about: "callers come back to upstreams that wanted nothing for a time; in simulated time",
        run: Runner::Returns,
    },
    Scenario {
        name: "chaos",
        about: "random faults for a stated time; all counts of wrongs must be 0",
        run: Runner::Chaos,
    },
    slopes_scenario(
        "slopes",
        "all costs for docs/CAPACITY.md",
        slopes::Kind::All,
    ),
    slopes_scenario(
        "slopes-decisions",
        "decisions by size of fleet",
        slopes::Kind::Decisions,
    ),
    slopes_scenario(
        "slopes-idle",
        "idle routers by routers and engines",
        slopes::Kind::Idle,
    ),
    slopes_scenario(
        "slopes-tokens",
        "tokens by live answers",
        slopes::Kind::Tokens,
    ),
    slopes_scenario(
        "slopes-config",
        "the configuration by accounts",
        slopes::Kind::Config,
    ),
];

const fn basic_scenario(name: &'static str, about: &'static str, kind: basic::Kind) -> Scenario {
    Scenario {
        name,
        about,
        run: Runner::Basic(kind),
    }
}

const fn slopes_scenario(name: &'static str, about: &'static str, kind: slopes::Kind) -> Scenario {
    Scenario {
        name,
        about,
        run: Runner::Slopes(kind),
    }
}

impl Scenario {
    /// Runs the scenario.
    ///
    /// # Errors
    ///
    /// The error of a process, or what did not come up in time.
    pub async fn run(&self, options: Options) -> io::Result<Figures> {
        let mut figures = match self.run {
            Runner::Basic(kind) => basic::run(kind).await?,
            Runner::Chaos => chaos::run(options).await?,
            Runner::Crashes => crashes::run(options.seed),
            Runner::Detection => detection::run(options.seed),
            Runner::Overload => overload::run().await?,
            Runner::Returns => returns::run(options.seed),
            Runner::Rollouts => rollouts::run(options.seed),
            Runner::Slopes(kind) => slopes::run(kind).await?,
            Runner::Versions => versions::run(options.seed)?,
        };
        self.name.clone_into(&mut figures.scenario);
        // The chaos scenario has judged its own counts, too.
        let judged = matches!(self.run, Runner::Chaos);
        figures.clean = figures.wrong_tokens() == 0 && (figures.clean || !judged);
        figures.seed = options.seed;
        Ok(figures)
    }
}
