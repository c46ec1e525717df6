//! Asking engines for their load before a stream is placed.
//!
//! - **Question.** Which engines are asked how busy they are before one of them gets a stream,
//!   how long is an answer waited for, and what does it say?
//! - **Inputs.** The engines that may get the stream and what this router believes of their
//!   load; the prompt's hash; how many routers place streams on the same engines.
//! - **Answer.** Some engines to ask, all at once; a timeout; a [`Load`] for each that answered.
//! - **Why.** What peers report is complete only while each change reaches all of them. Where
//!   it reaches a part of them, routers place at random, and many streams meet at one engine.
//!   Few questions for each stream cost the same at any number of routers, and the better of a
//!   few picked at random is close to the best of all (the power of two choices).
//!
//! The prompt's hash picks among engines that seem equal, so a router that knows nothing of a
//! former run asks the same engines for its prompt first ([`crate::prompt_search`]).
//!
//! Owns no state.

use crate::choice::{Demand, by_believed_cost};
use crate::heartbeat::reaches_all_peers;
use crate::load::Load;
use crate::upstream::{Upstream, UpstreamKey};
use crate::upstream_table::UpstreamTable;
use std::collections::HashMap;
use std::time::Duration;

/// Engines that are asked for each stream.
pub const QUERIED_ENGINES: usize = 3;
/// How long an answer is waited for, a new connection included. A stream waits that long only where
/// an engine says nothing, against an objective of seconds.
pub const QUERY_TIMEOUT: Duration = Duration::from_millis(30);

/// What an engine says of its load, about 100 ms after the fact.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// Requests that wait.
    pub queued: u32,
    /// Requests that run.
    pub running: u32,
    /// Running requests without an event so far: the engine is reading their prompts.
    pub reading: u32,
    /// Tokens in the KV cache that cannot be evicted, replicas included.
    pub used_tokens: u32,
}

impl EngineReport {
    /// The load that the report amounts to.  It does not say how long the prompts are that are
    /// still to be read; each counts like that of the request that asks, `typical`.
    pub fn load(&self, typical: Load) -> Load {
        let unread = self.queued.saturating_add(self.reading);
        let waiting_memory = self.queued.saturating_mul(typical.memory_tokens);
        Load {
            requests: self.queued.saturating_add(self.running),
            unread_tokens: unread.saturating_mul(typical.unread_tokens),
            memory_tokens: self.used_tokens.saturating_add(waiting_memory),
        }
    }
}

/// The load of the engines that answered; empty where none was asked.
#[derive(Clone, Debug, Default)]
pub struct ReportedLoad {
    by_engine: HashMap<UpstreamKey, Load>,
}

impl ReportedLoad {
    /// Records an engine's answer.
    pub fn insert(&mut self, engine: UpstreamKey, load: Load) {
        self.by_engine.insert(engine, load);
    }

    /// What an engine answered.
    pub fn of(&self, engine: UpstreamKey) -> Option<Load> {
        self.by_engine.get(&engine).copied()
    }

    /// Whether no engine answered, or none was asked.
    pub fn is_empty(&self) -> bool {
        self.by_engine.is_empty()
    }

    /// Number of engines that answered.
    pub fn len(&self) -> usize {
        self.by_engine.len()
    }
}

/// The engines to ask before a stream is placed. None where each change of load reaches all of
/// `peers` peers, as reports are exact then, and none where the engine that has read the prompt is
/// known.
pub fn engines_to_query(
    table: &UpstreamTable,
    demand: &Demand<'_>,
    peers: usize,
    rng: &mut fastrand::Rng,
) -> Vec<Upstream> {
    let is_known = reaches_all_peers(peers) || demand.prompt_location.is_some();
    if is_known || demand.engine_memory.is_none() {
        return Vec::new();
    }
    // A question is a request, too.
    let by_cost = by_believed_cost(table, demand, rng).into_iter();
    let unlimited = by_cost.filter(|s| !demand.limits.is_limited(s.key));
    let first = unlimited.take(QUERIED_ENGINES);
    first.map(|s| s.upstream.clone()).collect()
}

/// The engine that would be asked first and limits itself, so that it is offered the stream without a
/// question; `None` where none is asked.
///
/// Else no stream would reach one where engines are asked, as those that answer come first.
pub fn limited_in_place_of_a_query(
    table: &UpstreamTable,
    demand: &Demand<'_>,
    peers: usize,
    rng: &mut fastrand::Rng,
) -> Option<Upstream> {
    let is_known = reaches_all_peers(peers) || demand.prompt_location.is_some();
    if is_known || demand.engine_memory.is_none() || !demand.limits.any_limited() {
        return None;
    }
    let first = by_believed_cost(table, demand, rng).into_iter().next()?;
    let is_limited = demand.limits.is_limited(first.key);
    is_limited.then(|| first.upstream.clone())
}
