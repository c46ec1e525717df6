//! What an attempt would wait for at an upstream.
//!
//! Costs are in prompt tokens for model engines and in requests for plain upstreams. They rely
//! on the load that [`known_load`] gives; who is a candidate, and what follows from the costs, is
//! the parent module's. Owns no state.

use super::Demand;
use crate::load::Load;
use crate::upstream::UpstreamState;
use crate::upstream_table::UpstreamTable;

/// A running stream delays a newcomer like this many unread prompt tokens, and is delayed by it:
/// reading 8,000 tokens holds up each stream beside it for about 0.8 s.
const TOKENS_PER_RUNNING: f64 = 6_000.0;
/// Part of an engine's KV cache that may be filled; beyond it an engine preempts runs and reads
/// their prompts again.
const MAX_MEMORY_SHARE: f64 = 0.92;
/// Cost, in tokens, of an engine whose KV cache would overflow: more than that of any load that its
/// slots allow.
const OVERFULL_TOKENS: f64 = 200_000.0;

/// A plain upstream at which every request fails costs as much as one with this many requests more.
const FAILURE_REQUESTS: f64 = 12.0;
/// A plain upstream in another data centre costs as much as this many requests: a round trip of 2
/// to 3 ms against the time of a lookup.
const FAR_REQUESTS: f64 = 0.4;
/// A connection at hand saves as much as this many requests: new connections have a price and take
/// a round trip.
const CONNECTED_REQUESTS: f64 = 1.2;
/// Requests that may wait at a plain upstream, for each of its slots.
const WAITING_PER_SLOT: u32 = 2;
/// A pace below this many milliseconds is measurement noise.
const MIN_PACE_MS: f64 = 1.0;

/// The load at an upstream: what it said just now, or what this router has there if that is
/// more, as a report is some 100 ms old; else all that is believed.
pub(crate) fn known_load(
    table: &UpstreamTable,
    demand: &Demand<'_>,
    state: &UpstreamState,
) -> Load {
    match demand.reported.of(state.key) {
        Some(reported) => reported.at_least(state.own_load),
        None => table.load_at(state),
    }
}

/// Whether an upstream has a free slot, or a place in the queue of a plain one.
pub(super) fn has_capacity(
    table: &UpstreamTable,
    demand: &Demand<'_>,
    state: &UpstreamState,
) -> bool {
    let requests = known_load(table, demand, state).requests;
    let slots = state.upstream.slots.max(1);
    match demand.engine_memory {
        Some(_) => requests < slots,
        None => requests < slots * (1 + WAITING_PER_SLOT),
    }
}

/// Whether what the request adds fits into an engine's KV cache of `memory` tokens.
pub(crate) fn fits(
    table: &UpstreamTable,
    demand: &Demand<'_>,
    state: &UpstreamState,
    memory: u64,
) -> bool {
    let known = known_load(table, demand, state);
    let used = f64::from(known.memory_tokens) + f64::from(demand.load.memory_tokens);
    used <= memory as f64 * MAX_MEMORY_SHARE
}

/// The shortest known pace, in milliseconds; infinite where none is known.
pub(super) fn best_pace(states: &[&UpstreamState]) -> f64 {
    let paces = states.iter().map(|s| s.latency_ms);
    let known = paces.filter(|p| *p >= MIN_PACE_MS);
    known.fold(f64::INFINITY, f64::min)
}

/// How many times slower than the best an upstream is, 1 or more.
fn slowness(state: &UpstreamState, best_pace: f64) -> f64 {
    if best_pace.is_finite() && state.latency_ms > best_pace {
        state.latency_ms / best_pace
    } else {
        1.0
    }
}

/// What the attempt would wait for at an upstream, in the unit of its kind.
pub(super) fn cost(
    table: &UpstreamTable,
    demand: &Demand<'_>,
    state: &UpstreamState,
    best_pace: f64,
) -> f64 {
    match demand.engine_memory {
        Some(memory) => engine_cost(table, demand, state, best_pace, memory),
        None => plain_cost(table, demand, state, best_pace),
    }
}

/// Cost of an engine, in prompt tokens to be read before the first event.
fn engine_cost(
    table: &UpstreamTable,
    demand: &Demand<'_>,
    state: &UpstreamState,
    best_pace: f64,
    memory: u64,
) -> f64 {
    let load = known_load(table, demand, state);
    let unread = f64::from(load.unread_tokens) + f64::from(demand.load.unread_tokens);
    let running = f64::from(load.requests) * TOKENS_PER_RUNNING;
    let mut cost = (unread + running) * slowness(state, best_pace).sqrt();
    cost *= 1.0 + state.failure_rate;
    if !fits(table, demand, state, memory) {
        cost += OVERFULL_TOKENS;
    }
    cost
}

/// Cost of a plain upstream, in requests before this one.
fn plain_cost(
    table: &UpstreamTable,
    demand: &Demand<'_>,
    state: &UpstreamState,
    best_pace: f64,
) -> f64 {
    let requests = f64::from(known_load(table, demand, state).requests);
    let mut cost = requests + slowness(state, best_pace) - 1.0;
    cost += state.failure_rate * FAILURE_REQUESTS;
    if state.upstream.data_centre != *demand.home {
        cost += FAR_REQUESTS;
    }
    if demand.connected.contains(&state.upstream.name) {
        cost -= CONNECTED_REQUESTS;
    }
    cost
}
