//! Chooses the engine that keeps a replica of a stream's KV cache, and decides whether a replica can be used.
//!
//! - **Question.** At which engine is the KV cache of a running stream replicated, so that the stream continues
//!   there when its own engine fails?
//! - **Inputs.** The engines and their load; the load of the stream; the engine that runs the stream.
//! - **Result.** An engine, or `None` where no engine has enough free KV cache.
//! - **Why.** The stream can resume only at an engine of the same software version. Without a replica, a stream whose
//!   engine fails waits about a second while another engine reads the prompt again. The engines of a data centre fail together, so the replica is kept in another data centre
//!   that does not seem dead. All routers see the same engine as the emptiest. If all chose it, they would fill
//!   it, and it would evict replicas; so the choice among about equally empty engines is random.
//!
//! Relies on the table of upstreams and on the estimates in [`crate::choice`]. Owns no state.

use crate::choice::{Demand, estimated_load, filtered, fits_kv_cache};
use crate::permit::LimitedUpstreams;
use crate::rollout::VersionRule;
use crate::upstream::{IncarnationNumber, Upstream, UpstreamState};
use crate::upstream_table::UpstreamTable;
use std::time::Instant;

/// Chooses an engine for the replica of a stream that runs at `primary`; `None` if the service has no engines or
/// none has enough free KV cache.
pub fn choose_replica(
    table: &UpstreamTable,
    demand: &Demand<'_>,
    primary: &Upstream,
    rng: &mut fastrand::Rng,
) -> Option<Upstream> {
    let candidates = replica_candidates(table, demand, primary);
    let memory_at = |s: &UpstreamState| estimated_load(table, demand, s).memory_tokens;
    let least = candidates.iter().map(|s| memory_at(s)).min()?;
    let most = least.saturating_add(demand.load.memory_tokens);
    let about_equally_empty = candidates.into_iter().filter(|s| memory_at(s) <= most);
    let chosen = rng.choice(about_equally_empty.collect::<Vec<_>>());
    chosen.map(|s| s.upstream.clone())
}

/// A replica of a stream's KV cache. It belongs to one start of an engine and is lost when the engine restarts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replica {
    engine: Upstream,
    /// `None` if the engine was no longer in the table when the replica was created; such a replica is never used.
    start: Option<IncarnationNumber>,
}

impl Replica {
    /// Records a replica that is created at an engine's current start.
    pub fn begin(table: &UpstreamTable, engine: Upstream) -> Self {
        let state = table.get(&engine.name);
        Self {
            start: state.map(UpstreamState::incarnation),
            engine,
        }
    }
}

/// The engine with the replica of a lost stream, if it can take the stream and has not restarted since the
/// replica was created. Streams resume there in preference to all other engines.
pub fn usable_replica(
    table: &UpstreamTable,
    versions: &VersionRule,
    limits: &LimitedUpstreams,
    replica: Option<&Replica>,
    now: Instant,
) -> Option<Upstream> {
    let replica = replica?;
    let state = table.get(&replica.engine.name)?;
    if limits.is_excluded(state.key) {
        return None;
    }
    let is_kept = state.is_usable(now) && replica.start == Some(state.incarnation());
    let is_allowed = versions.allows(state) && !state.is_unresponsive(now);
    (is_kept && is_allowed).then(|| replica.engine.clone())
}

/// The engines that have enough free KV cache for a replica, from the first of these lists that is not empty:
/// engines in another data centre that does not seem dead and that responded to a load query; engines in another
/// data centre that does not seem dead; engines in another data centre; engines in any data centre.
fn replica_candidates<'a>(
    table: &'a UpstreamTable,
    demand: &Demand<'_>,
    primary: &Upstream,
) -> Vec<&'a UpstreamState> {
    let primary_state = table.get(&primary.name);
    let (Some(memory), Some(primary_state)) = (demand.engine_memory, primary_state) else {
        return Vec::new();
    };
    let with_capacity: Vec<&UpstreamState> = table
        .of_service(demand.service)
        .filter(|s| s.is_usable(demand.now) && s.upstream.name != primary.name)
        .filter(|s| !s.is_suspected_by_peer(demand.now) && !s.is_unresponsive(demand.now))
        .filter(|s| demand.versions.may_hold_replica(s, primary_state))
        // Copying a KV cache would add load at an engine that limits its request rate.
        .filter(|s| !demand.limits.is_limited(s.key))
        .filter(|s| fits_kv_cache(table, demand, s, memory))
        .collect();
    let suspect_data_centres = table.suspect_data_centres(demand.service, demand.now);
    let is_remote = |s: &UpstreamState| s.upstream.data_centre != primary.data_centre;
    let is_healthy = |s: &UpstreamState| !suspect_data_centres.contains(&s.upstream.data_centre);
    let remote = filtered(&with_capacity, is_remote);
    let remote_and_healthy = filtered(&remote, is_healthy);
    let with_report = filtered(&remote_and_healthy, |s| demand.reported.of(s.key).is_some());
    let by_preference = [with_report, remote_and_healthy, remote, with_capacity];
    let found = by_preference.into_iter().find(|list| !list.is_empty());
    // If all lists are empty, no engine can keep a replica.
    found.unwrap_or_default()
}
