//! What the simulation of a spreading version is made of: its input and outcome, routers, and
//! events.
//!
//! Owns no rule: the states that decide are the routers' own types.

use cloverpier_router_policy::heartbeat::HeartbeatRotation;
use cloverpier_router_policy::version_fetch::FetchSources;
use cloverpier_router_policy::version_serving::CopyPacing;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// A fleet and what spreads.
#[derive(Clone, Copy, Debug)]
pub struct SpreadSpec {
    /// How many routers.
    pub routers: usize,
    /// Bytes of one copy.
    pub copy_bytes: usize,
    /// What each VM's link carries.
    pub link_mbps: f64,
    /// How long reading a copy takes at a router.
    pub read_time: Duration,
    /// Seeds all choices.
    pub seed: u64,
}

/// What came of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SpreadOutcome {
    /// For each change: from the moment at which the watchers have it until the last router
    /// has it, or a newer one, in force.
    pub last_in_force: Vec<Duration>,
    /// Copies of the router that handed out most of them.
    pub most_copies: usize,
    /// Copies that the median router handed out.
    pub median_copies: usize,
    /// Bytes that all routers handed out.
    pub bytes: usize,
    /// Times that a router was told to ask again.
    pub refusals: usize,
}

/// One router of the simulation.
#[derive(Debug)]
pub(super) struct SimRouter {
    pub address: SocketAddr,
    pub version: u64,
    /// When each version, or a newer one, came into force.
    pub in_force: Vec<Duration>,
    pub peers: BTreeMap<SocketAddr, u64>,
    pub turn: HeartbeatRotation,
    pub sources: FetchSources,
    pub is_fetching: bool,
    pub pacing: CopyPacing,
    /// When its link has carried all that was handed out.
    pub link_free: Duration,
    pub copies: usize,
}

impl SimRouter {
    /// A router without a version that knows all its peers.
    pub fn new(address: SocketAddr, peers: impl Iterator<Item = SocketAddr>) -> Self {
        Self {
            address,
            version: 0,
            in_force: Vec::new(),
            peers: peers.map(|peer| (peer, 0)).collect(),
            turn: HeartbeatRotation::default(),
            sources: FetchSources::default(),
            is_fetching: false,
            pacing: CopyPacing::default(),
            link_free: Duration::ZERO,
            copies: 0,
        }
    }
}

/// What happens at a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Event {
    /// A router sends its heartbeat; the regular one is followed by the next.
    Beat { router: usize, is_regular: bool },
    /// A heartbeat arrives.
    Heard {
        router: usize,
        from: usize,
        version: u64,
    },
    /// A router decides whom to ask.
    Step { router: usize },
    /// A router's request arrives at a source.
    Asked { source: usize, router: usize },
    /// A refusal arrives.
    Refused {
        router: usize,
        source: usize,
        wait: Duration,
    },
    /// A copy was read.
    Read { router: usize, version: u64 },
}
