//! Gossip of a large fleet, in simulated time: who knows what when, and what it costs each router.
//!
//! The rules are the routers' own (`membership`, `watcher_reports`), and so are the messages, which are
//! encoded to count their bytes. Routers are killed, start, lose datagrams; a change of upstreams is read
//! by a watcher and passed on. Not modelled: processor time, links that are full, heartbeats of former
//! releases, the store.

mod measure;
mod world;

use std::time::Duration;

/// What is played.
#[derive(Clone, Copy, Debug)]
pub struct GossipSpec {
    /// Number of routers.
    pub routers: usize,
    /// Number of data centres.
    pub data_centres: usize,
    /// Part of the datagrams that are lost.
    pub loss: f64,
    /// Seeds all choices.
    pub seed: u64,
}

/// How long it took until half, 99 in 100 and all routers knew something; `None` where not all did.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Spread {
    /// Until half of them knew.
    pub half: Option<Duration>,
    /// Until 99 in 100 knew.
    pub most: Option<Duration>,
    /// Until all knew.
    pub all: Option<Duration>,
}

/// What routers send in a second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    /// Datagrams of the middle router and of the busiest.
    pub messages: (f64, f64),
    /// Bytes of the middle router and of the busiest.
    pub bytes: (f64, f64),
    /// Part of the bytes that leaves the data centre.
    pub crossing: f64,
}

/// What came of a play.
#[derive(Clone, Debug, Default)]
pub struct GossipOutcome {
    /// From the start of all at once until each router knew nine tenths of the others, and until each
    /// knew all.
    pub start: (Option<Duration>, Option<Duration>),
    /// Costs of the first two seconds, and of a second in which nothing happens.
    pub start_cost: Cost,
    /// See [`GossipOutcome::start_cost`].
    pub idle_cost: Cost,
    /// A router was killed.
    pub death: Spread,
    /// As many in the hundred were killed at once.
    pub many_deaths: Spread,
    /// Costs of the seconds in which all hear of these.
    pub deaths_cost: Cost,
    /// Routers that live and were taken for dead by anybody, when nothing happened for a while.
    pub taken_for_dead: usize,
    /// A killed router started again.
    pub restart: Spread,
    /// A watcher read a change of upstreams.
    pub change: Spread,
    /// A watcher said that it does not reach the store any more.
    pub watcher_fails: Spread,
}

/// Plays it.
pub fn play(spec: GossipSpec) -> GossipOutcome {
    world::World::new(spec).play()
}
