//! Estimates what an attempt costs at an upstream.
//!
//! A cost stands for the time that the request would wait. It is counted in prompt tokens for model
//! engines and in requests for plain upstreams. The parent module selects the candidates and compares their
//! costs. Relies on the load that [`estimated_load`] returns. Owns no state.

use super::Demand;
use crate::admission::room::has_room;
use crate::load::Load;
use crate::upstream::UpstreamState;
use crate::upstream_table::UpstreamTable;
use std::time::Instant;

/// Cost of one running stream at an engine, in prompt tokens. A running stream delays a new request, and the
/// new request delays it: reading a prompt of 8,000 tokens holds up each stream at the engine for about
/// 0.8 s.
const RUNNING_STREAM_COST_TOKENS: f64 = 6_000.0;
/// Fraction of an engine's KV cache that may be filled. Beyond it, the engine preempts running requests and
/// later reads their prompts again.
const MAX_KV_CACHE_FRACTION: f64 = 0.92;
/// Extra cost, in prompt tokens, of an engine whose KV cache would overflow: higher than the cost of any load
/// that an engine's slots allow.
const KV_CACHE_OVERFLOW_COST_TOKENS: f64 = 200_000.0;

/// Extra cost, in requests, of a plain upstream at which every request fails; it scales with the failure rate.
const FAILURE_COST_REQUESTS: f64 = 12.0;
/// Extra cost, in requests, of a plain upstream in another data centre. The value relates the round trip of 2
/// to 3 ms between data centres to the time that an upstream takes for a lookup.
const REMOTE_COST_REQUESTS: f64 = 0.4;
/// Discount, in requests, for a plain upstream to which an idle connection can be used again: a new connection
/// has a cost of its own and takes a round trip.
const CONNECTION_DISCOUNT_REQUESTS: f64 = 1.2;
/// Requests per slot that may wait in the queue of a plain upstream.
const QUEUED_PER_SLOT: u32 = 2;
/// Smoothed request times below this many milliseconds do not count as the best time, as measurement noise
/// dominates them.
const MIN_PACE_MS: f64 = 1.0;

/// The load at an upstream. If the upstream replied to the attempt's load query, it is the reported load or
/// this router's own load there, whichever is higher in each field, as a report is about 100 ms old. Otherwise
/// it is the sum of this router's load and the load that peers reported.
pub(crate) fn estimated_load(
    table: &UpstreamTable,
    demand: &Demand<'_>,
    state: &UpstreamState,
) -> Load {
    match demand.reported.of(state.key) {
        Some(reported) => reported.max_by_field(state.own_load),
        None => table.load_at(state),
    }
}

/// Whether an engine has room ([`crate::admission::room`]), or only a free slot where streams are not ordered, or a plain
/// upstream a free slot or queue place; a brittle one has less room ([`crate::brittle`]).
pub(super) fn has_capacity(
    table: &UpstreamTable,
    demand: &Demand<'_>,
    state: &UpstreamState,
) -> bool {
    if state.brittleness.is_brittle() {
        return has_room_where_brittle(table, demand, state);
    }
    let requests = estimated_load(table, demand, state).requests;
    let slots = state.upstream.slots.max(1);
    match (
        demand.engine_memory,
        table.first_event_bound(demand.service),
    ) {
        (Some(_), Some(bound)) => has_room(table, demand, state, bound),
        (Some(_), None) => requests < slots,
        (None, _) => requests < slots.saturating_mul(1 + QUEUED_PER_SLOT),
    }
}

/// Whether a brittle upstream takes the request.
pub(crate) fn has_room_where_brittle(
    table: &UpstreamTable,
    demand: &Demand<'_>,
    state: &UpstreamState,
) -> bool {
    let requests = estimated_load(table, demand, state).requests;
    let slots = state.upstream.slots.max(1);
    let own = state.own_load.requests;
    state.brittleness.has_room(own, requests, slots)
}

/// The tokens that an engine's KV cache still takes beside its load; unlimited for a service without engines. The whole
/// cache counts, as requests add fewer tokens than they may.
pub(crate) fn memory_left(demand: &Demand<'_>, load: Load) -> u32 {
    let Some(memory) = demand.engine_memory else {
        return u32::MAX;
    };
    // More tokens than the type can hold count as its maximum.
    let memory = u32::try_from(memory).unwrap_or(u32::MAX);
    memory.saturating_sub(load.memory_tokens)
}

/// Whether the tokens that the request adds fit into an engine's KV cache of `memory` tokens, up to
/// [`MAX_KV_CACHE_FRACTION`].
pub(crate) fn fits_kv_cache(
    table: &UpstreamTable,
    demand: &Demand<'_>,
    state: &UpstreamState,
    memory: u64,
) -> bool {
    let load = estimated_load(table, demand, state);
    let used = f64::from(load.memory_tokens) + f64::from(demand.load.memory_tokens);
    used <= memory as f64 * MAX_KV_CACHE_FRACTION
}

/// The shortest smoothed request time of the upstreams, in milliseconds; infinite where none is known.
pub(super) fn best_pace(states: &[&UpstreamState]) -> f64 {
    let paces = states.iter().map(|s| s.latency_ms);
    let known = paces.filter(|p| *p >= MIN_PACE_MS);
    known.fold(f64::INFINITY, f64::min)
}

/// How much longer a request takes at a plain upstream, at least 1: what the upstream has just stated, else the ratio of
/// its smoothed request time to the best one; 1 where nothing is known.
fn slowness(state: &UpstreamState, best_pace: f64, now: Instant) -> f64 {
    if let Some(present) = state.known_pace.present_factor(now) {
        return present.max(1.0);
    }
    if best_pace.is_finite() && state.latency_ms > best_pace {
        state.latency_ms / best_pace
    } else {
        1.0
    }
}

/// The cost of an attempt at an upstream: prompt tokens for an engine, requests for a plain upstream.
pub(super) fn cost(
    table: &UpstreamTable,
    demand: &Demand<'_>,
    state: &UpstreamState,
    best_pace: f64,
) -> f64 {
    match demand.engine_memory {
        Some(memory) => engine_cost(table, demand, state, memory),
        None => plain_cost(table, demand, state, best_pace),
    }
}

/// The cost of an engine: the time until the request's first event and the delay of the streams there, in prompt tokens
/// that an engine of the usual pace reads in that time.
fn engine_cost(
    table: &UpstreamTable,
    demand: &Demand<'_>,
    state: &UpstreamState,
    memory: u64,
) -> f64 {
    let load = estimated_load(table, demand, state);
    let unread = f64::from(load.unread_tokens) + f64::from(demand.load.unread_tokens);
    let running = f64::from(load.requests) * RUNNING_STREAM_COST_TOKENS;
    let mut cost = (unread + running) * state.pace(demand.now);
    cost *= 1.0 + state.failure_rate;
    if !fits_kv_cache(table, demand, state, memory) {
        cost += KV_CACHE_OVERFLOW_COST_TOKENS;
    }
    cost
}

/// The cost of a plain upstream, in requests that it has to serve before this one.
fn plain_cost(
    table: &UpstreamTable,
    demand: &Demand<'_>,
    state: &UpstreamState,
    best_pace: f64,
) -> f64 {
    let requests = f64::from(estimated_load(table, demand, state).requests);
    let mut cost = requests + slowness(state, best_pace, demand.now) - 1.0;
    cost += state.failure_rate * FAILURE_COST_REQUESTS;
    if state.upstream.data_centre != *demand.home {
        cost += REMOTE_COST_REQUESTS;
    }
    if demand.connected.contains(&state.upstream.name) {
        cost -= CONNECTION_DISCOUNT_REQUESTS;
    }
    cost
}
