//! Which engines are asked for their pace before a stream is placed.
//!
//! An engine that has turned slow while it was idle shows it to nobody, and the first stream there would be late. The
//! health path answers at once, so a stream waits for a round trip, and not at all where the pace is known. Owns no
//! state.

use crate::choice::{Demand, by_estimated_cost};
use crate::upstream::{Upstream, UpstreamState};
use crate::upstream_table::UpstreamTable;
use std::time::Duration;

/// Number of engines of the lowest cost whose pace has to be known before a stream is placed: a few, as the engines of a
/// data centre may be slow together.
const COMPARED_ENGINES: usize = 3;
/// The age at which a pace is asked for again.
const MAX_AGE: Duration = Duration::from_secs(1);

/// The engines to ask, all at once, before a stream is placed. Empty where no upstream of the service states its pace, and
/// for a stream that goes to the engine that has read its prompt.
pub fn engines_to_ask(
    table: &UpstreamTable,
    demand: &Demand<'_>,
    rng: &mut fastrand::Rng,
) -> Vec<Upstream> {
    let needs_pace = demand.engine_memory.is_some() && demand.prompt_location.is_none();
    if !needs_pace || !table.states_pace(demand.service) {
        return Vec::new();
    }
    let is_known = |state: &UpstreamState| {
        let age = state.known_pace.age(demand.now);
        age.is_some_and(|age| age <= MAX_AGE)
    };
    // A query counts against an upstream's request limit.
    let by_cost = by_estimated_cost(table, demand, rng).into_iter();
    let unlimited = by_cost.filter(|s| !demand.limits.is_limited(s.key));
    let compared = unlimited.take(COMPARED_ENGINES);
    let unknown = compared.filter(|s| !is_known(s));
    unknown.map(|s| s.upstream.clone()).collect()
}
