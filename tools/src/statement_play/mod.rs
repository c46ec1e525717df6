//! Upstreams that say of themselves that they leave or want nothing, played on the decisions in
//! simulated time, with the platform's store away throughout.
//!
//! Some routers take requests before the upstreams of one plain service. Upstreams begin to leave and say
//! so in each answer alone, end some seconds later and may start again under their names; others turn
//! requests away for a while and say for how long. The rules are the programs' own (`leaving`, `wait`,
//! `choice`, `dissemination`); routers are modelled by what they know, and what they report to each other
//! travels with a delay, gets lost, or meets a router that is cut off or starts anew. Lists that were read
//! before, in which all are ready, arrive at any time. What is checked is counted here, from the upstreams'
//! side. Owns the model.

mod reports;
mod requests;
mod world;

use std::time::Duration;

/// How often a router sends heartbeats: all of those in touch are told within this time.
pub const HEARTBEAT: Duration = Duration::from_millis(200);
/// What a router itself has passed on binds it after this time: the users' bound.
pub const DRAIN: Duration = Duration::from_millis(2_000);

/// What befalls routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// Nothing.
    None,
    /// A quarter of them hear of no other and are heard by none, from 1 s to 5 s.
    CutOff,
    /// Each is killed once, within eight seconds, and is back after 0.8 s.
    Replaced,
}

/// What is played.
#[derive(Clone, Copy, Debug)]
pub struct StatementSpec {
    /// Seeds everything that is drawn.
    pub seed: u64,
    /// Routers.
    pub routers: usize,
    /// Upstreams of the service.
    pub upstreams: usize,
    /// Those of them that leave, within the first six seconds.
    pub leavings: usize,
    /// Those of the others that turn requests away, for a second or two.
    pub waits: usize,
    /// Requests a second.
    pub requests: f64,
    /// The part of the datagrams that is lost.
    pub loss: f64,
    /// What befalls routers.
    pub trouble: Trouble,
}

impl StatementSpec {
    /// A third of the upstreams leaves, and a fifth turns requests away for a while.
    pub fn new(seed: u64, routers: usize, upstreams: usize) -> Self {
        Self {
            seed,
            routers,
            upstreams,
            leavings: upstreams.div_ceil(3),
            waits: upstreams / 5,
            requests: (upstreams * 20) as f64,
            loss: 0.03,
            trouble: Trouble::None,
        }
    }
}

/// What came of it.
#[derive(Clone, Debug, Default)]
pub struct StatementOutcome {
    /// Requests that were sent.
    pub requests: usize,
    /// Those that were refused as no upstream was left for them.
    pub refused: usize,
    /// Those that reached a start which leaves, sent later than [`DRAIN`] after their router had passed
    /// on an answer that said so.
    pub after_own_answer: usize,
    /// Those that reached one, sent by a router in touch later than [`HEARTBEAT`] after any router in
    /// touch had passed on such an answer.
    pub after_any_answer: usize,
    /// The most requests of one router that reached an upstream between half a second after it had
    /// said that it wants nothing and the end of that time.
    pub most_while_waiting: usize,
    /// Starts that are sound at the end and that a router in touch does not use.
    pub unused_starts: usize,
    /// Bytes of reports that the router which sent the most did.
    pub most_bytes: usize,
}

/// Plays 14 seconds.
pub fn play(spec: StatementSpec) -> StatementOutcome {
    world::World::new(spec).play()
}
