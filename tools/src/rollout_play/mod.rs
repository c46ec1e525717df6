//! The load of a roll-out, played on the decisions, in simulated time.
//!
//! Some routers take the requests of a service whose upstreams have two versions; a data centre
//! dies each 6.5 s. The rules are the routers' own: which versions an attempt may go to, what counts
//! as a bad answer, what the answers say, which stage comes next (`rollout`), which upstream gets
//! the attempt (`choice`). Routers are modelled by what they know; reports and progress travel with
//! a delay. What is checked is counted here, from the upstreams' side. Owns the model.

mod requests;
mod routers;
mod upstreams;
mod world;

use std::time::Duration;

/// What is wrong with the new version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum VersionFault {
    /// Nothing.
    Good,
    /// It fails so many of its requests.
    Fails(f64),
    /// It does from a part of the order's duration on.
    FailsFrom(f64, f64),
    /// It takes so many times as long.
    Slow(f64),
    /// It takes so many times as long where it has more than its share of the requests there, or
    /// as many as it will have at the end.
    SlowUnderLoad(f64),
    /// It fails so many of the requests of one route.
    FailsOnOneRoute(f64),
}

/// What is wrong with the upstreams of both versions from some moment on, as under a burst of load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedFault {
    /// The part of the order's duration after which it begins.
    pub from: f64,
    /// The part of the requests that fail.
    pub failing: f64,
    /// The part of the requests that take ten times as long.
    pub slow: f64,
}

/// A kind of request.
#[derive(Clone, Copy, Debug)]
pub struct RouteSpec {
    /// Its name.
    pub name: &'static str,
    /// How many a second, at all routers together.
    pub rate: f64,
    /// The part that upstreams fail, whatever their version.
    pub own_failures: f64,
}

/// What is played.
#[derive(Clone, Debug)]
pub struct PlaySpec {
    /// Seeds everything that is drawn.
    pub seed: u64,
    /// Number of routers.
    pub routers: usize,
    /// Upstreams of each version.
    pub upstreams: usize,
    /// Requests that an upstream works on at once.
    pub slots: u32,
    /// The kinds of requests.
    pub routes: Vec<RouteSpec>,
    /// The median time of an answer, to a stream's first event.
    pub answer: Duration,
    /// How long a stream goes on after its first event; nothing for plain requests.
    pub stream: Duration,
    /// How long the operator gives the roll-out.
    pub duration: Duration,
    /// What is wrong with the new version.
    pub fault: VersionFault,
    /// What is wrong with the upstreams of both versions.
    pub shared_fault: Option<SharedFault>,
    /// Whether a data centre's upstreams die each 6.5 s.
    pub deaths: bool,
    /// The part of the upstreams that fails 0.45 of its requests, whatever their version.
    pub grey: f64,
    /// Routers that hear nothing of the others from the beginning on.
    pub cut_off: usize,
    /// The part of the duration after which all routers start anew; none where it is 1 or more.
    pub restart_at: f64,
}

impl PlaySpec {
    /// The lookups of the users' sheet: 270 requests a second before four upstreams.
    pub fn lookups(seed: u64, routers: usize, fault: VersionFault) -> Self {
        Self {
            seed,
            routers,
            upstreams: 4,
            slots: 6,
            routes: vec![
                RouteSpec {
                    name: "status",
                    rate: 219.0,
                    own_failures: 0.004,
                },
                RouteSpec {
                    name: "check",
                    rate: 50.5,
                    own_failures: 0.14,
                },
            ],
            answer: Duration::from_millis(27),
            stream: Duration::ZERO,
            duration: Duration::from_secs(12),
            fault,
            shared_fault: None,
            deaths: true,
            grey: 0.0,
            cut_off: 0,
            restart_at: 1.0,
        }
    }

    /// The streams of the users' sheet: 65 requests a second before engines, fewer of these than
    /// the users' 280 so that a play takes less.
    pub fn streams(seed: u64, routers: usize, fault: VersionFault) -> Self {
        let route = |name, rate| RouteSpec {
            name,
            rate,
            own_failures: 0.0,
        };
        Self {
            upstreams: 70,
            slots: 24,
            routes: vec![
                route("calib", 18.1),
                route("trigger", 36.5),
                route("beam", 10.0),
            ],
            answer: Duration::from_millis(1_000),
            stream: Duration::from_millis(4_050),
            ..Self::lookups(seed, routers, fault)
        }
    }
}

/// What came of it.
#[derive(Clone, Debug, Default)]
pub struct PlayOutcome {
    /// Requests that reached the service between the order and its deadline.
    pub requests: u32,
    /// Those of them that reached the new version.
    pub exposed: u32,
    /// When the new version was rolled back, after the order.
    pub rolled_back: Option<Duration>,
    /// When the roll-out was completed, after the order.
    pub completed: Option<Duration>,
    /// How long after the 50th bad answer the last request reached the new version.
    pub last_after_bad: Option<Duration>,
    /// Requests at the former versions when the roll-out was completed.
    pub cut: u32,
    /// When the last request began at a former version, after the order.
    pub former_began: Option<Duration>,
    /// When the last request ended at a former version, after the order.
    pub former_ended: Option<Duration>,
}

impl PlayOutcome {
    /// How many requests more than the operator's bound the new version got; negative within it.
    pub fn beyond_bound(&self, share: f64, slack: f64) -> f64 {
        f64::from(self.exposed) - share * f64::from(self.requests) - slack
    }
}

/// Plays a roll-out to its end, or well past its deadline.
pub fn play(spec: PlaySpec) -> PlayOutcome {
    world::World::new(spec).play()
}
