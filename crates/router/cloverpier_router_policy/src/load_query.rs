//! Load queries: engines are queried for their load before a stream is placed.
//!
//! - **Question.** Which engines are queried before one of them gets a stream, how long does the router wait
//!   for their responses, and which load does a response stand for?
//! - **Inputs.** The engines that may get the stream, with this router's estimates of their load; the prompt's
//!   hash; the number of routers that place streams on the same engines.
//! - **Result.** Some engines to query, all at once; a timeout; a [`Load`] for each engine that responded.
//! - **Why.** The load that peers report is complete only while each change reaches all peers. Where a change
//!   reaches only some of them, routers place streams almost at random, and many streams go to one engine. A
//!   few queries per stream cost the same at any number of routers, and the best of a few engines picked at
//!   random is close to the best of all (the power of two choices).
//!
//! The prompt's hash selects among engines of about equal cost. So a router that has no record of the stream
//! which a request continues searches the same engines for the prompt first ([`crate::prompt_search`]).
//!
//! Relies on [`crate::choice`] for candidates and costs. Owns no state.

use crate::choice::{Demand, by_estimated_cost};
use crate::heartbeat::is_small_fleet;
use crate::load::Load;
use crate::upstream::{Upstream, UpstreamKey};
use crate::upstream_table::UpstreamTable;
use std::collections::HashMap;
use std::time::Duration;

/// Number of engines that are queried for each stream.
pub const QUERIED_ENGINES: usize = 3;
/// Timeout of a load query, including the time to open a connection. A stream waits for all of it only if an
/// engine does not respond; objectives for the first event are seconds.
pub const QUERY_TIMEOUT: Duration = Duration::from_millis(30);

/// An engine's response to a load query; the values are about 100 ms old.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// Requests that wait in the engine's queue.
    pub queued: u32,
    /// Requests that run, including those in `reading`.
    pub running: u32,
    /// Running requests that have no event yet: the engine is reading their prompts.
    pub reading: u32,
    /// Tokens in the KV cache that cannot be evicted, including those of replicas.
    pub used_tokens: u32,
}

impl EngineReport {
    /// The load that the report stands for. A report does not contain the lengths of the prompts that are still
    /// to be read, so each of them counts like the prompt of the request that is to be placed, whose load is
    /// `request`.
    pub fn load(&self, request: Load) -> Load {
        let unread = self.queued.saturating_add(self.reading);
        let waiting_memory = self.queued.saturating_mul(request.memory_tokens);
        Load {
            requests: self.queued.saturating_add(self.running),
            unread_tokens: unread.saturating_mul(request.unread_tokens),
            memory_tokens: self.used_tokens.saturating_add(waiting_memory),
        }
    }
}

/// The load of the engines that responded to a request's load queries; empty if none was queried.
#[derive(Clone, Debug, Default)]
pub struct ReportedLoad {
    by_engine: HashMap<UpstreamKey, Load>,
}

impl ReportedLoad {
    /// Records the load from an engine's response.
    pub fn insert(&mut self, engine: UpstreamKey, load: Load) {
        self.by_engine.insert(engine, load);
    }

    /// The load that an engine reported; `None` if it was not queried or did not respond in time.
    pub fn of(&self, engine: UpstreamKey) -> Option<Load> {
        self.by_engine.get(&engine).copied()
    }

    /// Whether no engine was queried, or none responded in time.
    pub fn is_empty(&self) -> bool {
        self.by_engine.is_empty()
    }

    /// Number of engines that responded in time.
    pub fn len(&self) -> usize {
        self.by_engine.len()
    }
}

/// The engines to query before a stream is placed. The list is empty if each change of load reaches all of the
/// `peers` known peers, as their reports are exact then, if the engine that has read the prompt is known, and
/// for services without engines.
pub fn engines_to_query(
    table: &UpstreamTable,
    demand: &Demand<'_>,
    peers: usize,
    rng: &mut fastrand::Rng,
) -> Vec<Upstream> {
    let needs_no_query = is_small_fleet(peers) || demand.prompt_location.is_some();
    if needs_no_query || demand.engine_memory.is_none() {
        return Vec::new();
    }
    // A query counts against an upstream's request limit.
    let by_cost = by_estimated_cost(table, demand, rng).into_iter();
    let unlimited = by_cost.filter(|s| !demand.limits.is_limited(s.key));
    let queried = unlimited.take(QUERIED_ENGINES);
    queried.map(|s| s.upstream.clone()).collect()
}

/// The engine of the lowest estimated cost, if it limits its request rate, so that the stream is offered to it
/// without a query. `None` if that engine is not limited, or if no engines are queried.
///
/// Limited engines are not queried, and engines that responded to a query are preferred. Without this rule, no
/// stream would reach a limited engine where engines are queried.
pub fn limited_engine_without_query(
    table: &UpstreamTable,
    demand: &Demand<'_>,
    peers: usize,
    rng: &mut fastrand::Rng,
) -> Option<Upstream> {
    let needs_no_query = is_small_fleet(peers) || demand.prompt_location.is_some();
    if needs_no_query || demand.engine_memory.is_none() || !demand.limits.any_limited() {
        return None;
    }
    let first = by_estimated_cost(table, demand, rng).into_iter().next()?;
    let is_limited = demand.limits.is_limited(first.key);
    is_limited.then(|| first.upstream.clone())
}
