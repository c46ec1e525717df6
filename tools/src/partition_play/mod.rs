//! Routers that lose their paths to all upstreams, played on the decisions in simulated time.
//!
//! Some routers are cut off from all upstreams of a service for a while, and reach their peers. Each request goes to a
//! random upstream: over a kept connection, a new one, or a tunnel through a peer, by the programs' own rules
//! (`reachability`, `tunnel_peers`). Half of the requests may not be repeated. What callers of the cut routers get is
//! counted here, and how evenly the others carry their tunnels. Requests follow one another without overlap, and the
//! upstreams always have room. Owns the model.

mod world;

use std::time::Duration;

pub use world::play;

/// How the connections of a cut router end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// Nothing is answered.
    Hangs,
    /// New connections are reset, and those that are open, too.
    Resets,
    /// New connections are reset, and those that are open live on.
    LivesOn,
    /// Nobody is cut off; as many upstreams as routers would have been are dead in part.
    DeadUpstreams,
}

/// What is played.
#[derive(Clone, Copy, Debug)]
pub struct PartitionSpec {
    /// Seeds everything that is drawn.
    pub seed: u64,
    /// Routers, in four data centres.
    pub routers: usize,
    /// Upstreams of the service.
    pub upstreams: usize,
    /// Routers that are cut off, the first ones of the list; data centres are filled one after the other.
    pub cut_off: usize,
    /// How their connections end.
    pub cut: Cut,
    /// How long.
    pub time: Duration,
    /// Time between two requests to a router, on average.
    pub pace: Duration,
}

impl PartitionSpec {
    /// Sizes of fleets, with the upstreams of a plain service there.
    pub const SIZES: [(usize, usize); 4] = [(8, 4), (60, 24), (295, 80), (986, 114)];

    /// A fleet of which some routers are cut off for 9 s.
    pub fn new(routers: usize, upstreams: usize, cut_off: usize, cut: Cut) -> Self {
        Self {
            seed: 1,
            routers,
            upstreams,
            cut_off,
            cut,
            time: Duration::from_secs(9),
            // Larger fleets send so much that fewer requests of each router show the same.
            pace: Duration::from_millis(if routers < 100 { 200 } else { 1_000 }),
        }
    }
}

/// What callers of the cut routers got from 3 s after the cut on, and what it cost.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PartitionOutcome {
    /// Requests to cut routers.
    pub requests: usize,
    /// Those that were served at the first attempt, within their deadline.
    pub served: usize,
    /// Requests for tunnels.
    pub asked: usize,
    /// Tunnels that were opened.
    pub opened: usize,
    /// The most tunnels that one router carried, over the mean of all routers that are not cut off.
    pub peak_to_mean: f64,
    /// Paths that were taken for lost although the router is not cut off.
    pub wrong_verdicts: usize,
    /// The longest time that the opening of a connection took for a request that was served.
    pub longest_opening: Duration,
}

impl PartitionOutcome {
    /// The share of first attempts that were served.
    pub fn share(&self) -> f64 {
        self.served as f64 / self.requests.max(1) as f64
    }
}
