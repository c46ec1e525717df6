//! Counts the streams that fit at engines.
//!
//! - **Question.** How many further streams does an engine take, and how many do all engines of a service take?
//! - **Inputs.** The load at the engines; the load that one stream adds; the bound on the time to its first event.
//! - **Result.** A number of streams.
//! - **Why.** An engine reads one prompt after the other, so unread prompts keep a new stream waiting while slots are
//!   free. Streams that would wait for longer than the bound wait in the router, where others can go before them. An
//!   engine without unread prompts has room however long the prompt is, because no other engine would read it sooner.
//!
//! Relies on the load that routers report to each other. Owns no state.

use crate::choice::{Demand, estimated_load, has_room_where_brittle, memory_left};
use crate::upstream::UpstreamState;
use crate::upstream_table::UpstreamTable;
use std::time::Duration;

/// Fraction of the tightest objective of a service's streams within which an engine has to send the first event of a
/// new stream. The rest of the objective covers the age of the reported load.
const FIRST_EVENT_FRACTION: f64 = 0.6;

/// The bound on the predicted first event at an engine, from the tightest objective of the service's streams.
pub fn first_event_bound(tightest_objective: Duration) -> Duration {
    tightest_objective.mul_f64(FIRST_EVENT_FRACTION)
}

/// Whether an engine takes the stream now: it has a free slot, its KV cache has the memory, and the first event is
/// predicted within `bound`.
pub(crate) fn has_room(
    table: &UpstreamTable,
    demand: &Demand<'_>,
    state: &UpstreamState,
    bound: Duration,
) -> bool {
    streams_that_fit(&Reading::new(table, demand, bound), table, demand, state) > 0
}

/// How the engines of a service read prompts like the demand's.
struct Reading {
    /// Prompt tokens that an engine reads within the bound at the usual pace; `None` if the rate is not known.
    tokens_within_bound: Option<f64>,
    /// Prompt tokens of one stream.
    prompt: f64,
}

impl Reading {
    fn new(table: &UpstreamTable, demand: &Demand<'_>, bound: Duration) -> Self {
        let rate = table.prompt_rates.tokens_per_ms(demand.service);
        Self {
            tokens_within_bound: rate.map(|rate| rate * bound.as_secs_f64() * 1e3),
            prompt: f64::from(demand.load.unread_tokens),
        }
    }

    /// The number of prompts that an engine reads within the bound, after `unread` other tokens. At least one if
    /// nothing is unread there.
    fn prompts_within(&self, unread: u32, pace: f64) -> u32 {
        let Some(tokens) = self.tokens_within_bound.filter(|_| self.prompt > 0.0) else {
            return u32::MAX;
        };
        // A conversion from float to integer saturates.
        let prompts = ((tokens / pace - f64::from(unread)) / self.prompt) as u32;
        prompts.max(u32::from(unread == 0))
    }
}

/// The number of streams like the demand's that an engine takes now.
fn streams_that_fit(
    reading: &Reading,
    table: &UpstreamTable,
    demand: &Demand<'_>,
    state: &UpstreamState,
) -> u32 {
    if state.brittleness.is_brittle() {
        return u32::from(has_room_where_brittle(table, demand, state));
    }
    let load = estimated_load(table, demand, state);
    let free_slots = state.upstream.slots.max(1).saturating_sub(load.requests);
    let free_memory = memory_left(demand, load);
    let by_memory = free_memory.checked_div(demand.load.memory_tokens);
    let by_reading = reading.prompts_within(load.unread_tokens, state.pace(demand.now));
    free_slots
        .min(by_memory.unwrap_or(free_slots))
        .min(by_reading)
}

/// The number of streams like the demand's that the usable engines of its service take now, over all routers. Without
/// a bound, which is set for services whose streams are ordered, the result is 0.
pub fn service_room(table: &UpstreamTable, demand: &Demand<'_>) -> u32 {
    let Some(bound) = table.first_event_bound(demand.service) else {
        return 0;
    };
    let reading = Reading::new(table, demand, bound);
    let engines = table.of_service(demand.service);
    let usable = engines.filter(|s| s.is_usable(demand.now) && !s.is_suspected_by_peer(demand.now));
    let allowed = usable.filter(|s| demand.versions.allows(s) && !demand.limits.is_excluded(s.key));
    allowed
        .map(|s| streams_that_fit(&reading, table, demand, s))
        .fold(0, u32::saturating_add)
}

/// The number of streams in flight at the engines of a service, over all routers.
pub fn streams_in_flight(table: &UpstreamTable, demand: &Demand<'_>) -> u32 {
    let engines = table.of_service(demand.service);
    engines
        .map(|s| table.load_at(s).requests)
        .fold(0, u32::saturating_add)
}
