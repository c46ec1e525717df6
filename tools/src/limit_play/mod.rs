//! Upstreams that limit themselves, played on the decisions in simulated time.
//!
//! Routers take requests before the upstreams of one service, some of which name in their answers how
//! many requests a second they take from all routers together. The rules are the programs' own (`limit`,
//! `permit`); requests, datagrams and what routers believe of each other are modelled: datagrams are late
//! or lost, deaths and returns of routers are noticed by each of the others at another moment. What is
//! checked is counted at the upstreams, of all routers. Owns the model.

mod beliefs;
mod measure;
mod messages;
mod requests;
mod trouble;
mod world;

pub use measure::LimitOutcome;

use std::time::Duration;

/// All routers in touch know of a limit so long after it was named first.
pub const KNOWN_AFTER: Duration = Duration::from_millis(500);
/// The window in which the users count.
pub const WINDOW: Duration = Duration::from_secs(4);

/// How routers keep to a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// One router hands out permits: the programs' way.
    Permits,
    /// Each sends its part of the rate, with a burst of one request.
    Shares,
}

/// What befalls routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// Nothing.
    None,
    /// A quarter of them hear of no other and are heard by none, and reach all upstreams, from 6 s to
    /// 14 s.
    CutOff,
    /// A quarter of the routers and a quarter of the upstreams do not reach the others, from 6 s to 14 s.
    CutInTwo,
    /// Each is killed once, within 20 s, and is back after 0.8 s.
    Replaced,
    /// The limiter of each upstream is killed every 6 s, and is back after 0.8 s.
    LimitersKilled,
    /// The limiter of each upstream stands still every 6 s, for 2.5 s.
    LimitersFrozen,
}

/// What is played.
#[derive(Clone, Copy, Debug)]
pub struct LimitSpec {
    /// Seeds everything that is drawn.
    pub seed: u64,
    /// Routers.
    pub routers: usize,
    /// Their data centres, over which they and the upstreams are spread evenly.
    pub data_centres: usize,
    /// Upstreams of the service.
    pub upstreams: usize,
    /// Those of them that limit themselves.
    pub limited: usize,
    /// Requests a second that each of these takes.
    pub rate: f64,
    /// Requests a second of all callers.
    pub requests: f64,
    /// How long a request may wait for a permit where no upstream is free.
    pub max_wait: Duration,
    /// The part of the datagrams that is lost.
    pub loss: f64,
    /// What befalls routers.
    pub trouble: Trouble,
    /// How they keep to limits.
    pub way: Way,
    /// How long is played.
    pub length: Duration,
}

impl LimitSpec {
    /// A quarter of the upstreams takes two requests a second each, and would get twenty times that.
    pub fn new(seed: u64, routers: usize, upstreams: usize) -> Self {
        Self {
            seed,
            routers,
            data_centres: 4,
            upstreams,
            limited: upstreams.div_ceil(4),
            rate: 2.0,
            requests: upstreams as f64 * 40.0,
            max_wait: Duration::from_millis(40),
            loss: 0.0,
            trouble: Trouble::None,
            way: Way::Permits,
            length: Duration::from_secs(24),
        }
    }
}

/// Plays what is specified.
pub fn play(spec: LimitSpec) -> LimitOutcome {
    world::World::new(spec).play()
}
