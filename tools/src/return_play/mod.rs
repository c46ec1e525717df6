//! Callers that come back to a service whose upstreams all wanted nothing for a time, played on the decisions in
//! simulated time.
//!
//! The upstreams of one plain service turn all requests away for a while and say for how long. Before and after that
//! they run as many requests at once as they have slots, queue some, and refuse the rest. Routers choose and
//! refuse by the programs' own rules (`choice`, `refusal`); callers that are refused come back when they are told
//! to, while an answer may still be in time. What callers get is counted here. Owns the model.

mod world;

use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::refusal::{Refusal, retry_after};
use std::time::Duration;

/// When callers return that were refused while the upstreams wanted nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Returns {
    /// By the programs' rule, in the order in which they were refused.
    InOrder,
    /// As soon as an upstream may be asked again.
    AtOnce,
}

impl Returns {
    fn after(self, refusal: Refusal) -> Duration {
        let refusal = match (self, refusal) {
            (Self::AtOnce, Refusal::UpstreamsPaused { wait, objective }) => {
                Refusal::UpstreamsPaused {
                    wait: ServiceWait {
                        elapsed: Duration::ZERO,
                        ..wait
                    },
                    objective,
                }
            }
            _ => refusal,
        };
        // No caller of this play resumes a stream, so each refusal has a time.
        retry_after(refusal).unwrap_or_default()
    }
}

/// What is played.
#[derive(Clone, Copy, Debug)]
pub struct ReturnSpec {
    /// Seeds everything that is drawn.
    pub seed: u64,
    /// Routers.
    pub routers: usize,
    /// Upstreams of the service.
    pub upstreams: usize,
    /// Requests that an upstream runs at once.
    pub slots: u32,
    /// Requests that it queues beyond them.
    pub queue: usize,
    /// How long it runs one, on average.
    pub work: Duration,
    /// Part of what all of them can run that new requests ask for.
    pub demand: f64,
    /// For how long they want nothing.
    pub wait: Duration,
    /// The time within which an answer counts.
    pub objective: Duration,
    /// When a refused caller is told to come back.
    pub returns: Returns,
}

impl ReturnSpec {
    /// Eight routers before nine small upstreams that are half busy and want nothing for two seconds.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            routers: 8,
            upstreams: 9,
            slots: 6,
            queue: 24,
            work: Duration::from_millis(100),
            demand: 0.5,
            wait: Duration::from_secs(2),
            objective: Duration::from_secs(4),
            returns: Returns::InOrder,
        }
    }
}

/// What came of it.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReturnOutcome {
    /// Requests of callers.
    pub requests: usize,
    /// Those that were answered in time.
    pub in_time: usize,
    /// Refusals that callers got.
    pub refusals: usize,
    /// Requests that upstreams refused for lack of room.
    pub turned_away: usize,
}

impl ReturnOutcome {
    /// Adds another play's.
    pub fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.in_time += other.in_time;
        self.refusals += other.refusals;
        self.turned_away += other.turned_away;
    }
}

/// Plays until the last request has ended.
pub fn play(spec: ReturnSpec) -> ReturnOutcome {
    world::World::new(spec).play()
}
