//! The engine that keeps a replica of a run's KV cache.
//!
//! - **Question.** Where does a run's KV cache grow a second time, so that the stream
//!   continues there when its engine dies?
//! - **Inputs.** The engines and the load known there, the run's own load, its engine.
//! - **Answer.** An engine, or none where no engine has room.
//! - **Why.** Without a replica a stream whose engine dies waits about a second while its
//!   prompt is read again. Engines of one data centre die together, so the replica is kept
//!   in another one that does not seem dead. Routers see the same engine as the emptiest; if
//!   all chose it they would fill it, and it would let replicas go.

use crate::choice::{Demand, filtered, fits, known_load};
use crate::permit::LimitedUpstreams;
use crate::rollout::VersionRule;
use crate::upstream::{IncarnationNumber, Upstream, UpstreamState};
use crate::upstream_table::UpstreamTable;
use std::time::Instant;

/// Chooses an engine for the replica of a run at `primary`.
pub fn choose_replica(
    table: &UpstreamTable,
    demand: &Demand<'_>,
    primary: &Upstream,
    rng: &mut fastrand::Rng,
) -> Option<Upstream> {
    let candidates = preferred(table, demand, primary);
    let memory_at = |s: &UpstreamState| known_load(table, demand, s).memory_tokens;
    let least = candidates.iter().map(|s| memory_at(s)).min()?;
    let most = least.saturating_add(demand.load.memory_tokens);
    let about_as_empty = candidates.into_iter().filter(|s| memory_at(s) <= most);
    let chosen = rng.choice(about_as_empty.collect::<Vec<_>>());
    chosen.map(|s| s.upstream.clone())
}

/// A replica of a run's KV cache, at one start of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replica {
    engine: Upstream,
    /// `None` where the engine was forgotten before the replica began.
    start: Option<IncarnationNumber>,
}

impl Replica {
    /// A replica that begins to grow at an engine.
    pub fn begin(table: &UpstreamTable, engine: Upstream) -> Self {
        let state = table.get(&engine.name);
        Self {
            start: state.map(UpstreamState::incarnation),
            engine,
        }
    }
}

/// The engine with the replica of a lost run, if it can take the run and has not started again
/// since: streams resume there before anywhere else.
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
    let is_allowed = !versions.bars(state.upstream.version());
    (is_kept && is_allowed).then(|| replica.engine.clone())
}

/// Engines with room: those in another data centre that does not seem dead, and of them those
/// that answered a load query if any did; else those in another data centre, else any.
fn preferred<'a>(
    table: &'a UpstreamTable,
    demand: &Demand<'_>,
    primary: &Upstream,
) -> Vec<&'a UpstreamState> {
    let Some(memory) = demand.engine_memory else {
        return Vec::new();
    };
    let with_room: Vec<&UpstreamState> = table
        .of_service(demand.service)
        .filter(|s| s.is_usable(demand.now) && s.upstream.name != primary.name)
        .filter(|s| !s.is_suspected_by_peer(demand.now))
        .filter(|s| demand.versions.takes_replica(s))
        // What is copied there is work that it did not ask for.
        .filter(|s| !demand.limits.is_limited(s.key))
        .filter(|s| fits(table, demand, s, memory))
        .collect();
    let suspect_data_centres = table.suspect_data_centres(demand.service, demand.now);
    let is_far = |s: &UpstreamState| s.upstream.data_centre != primary.data_centre;
    let is_sound = |s: &UpstreamState| !suspect_data_centres.contains(&s.upstream.data_centre);
    let far = filtered(&with_room, is_far);
    let far_and_sound = filtered(&far, is_sound);
    let asked = filtered(&far_and_sound, |s| demand.reported.of(s.key).is_some());
    let by_preference = [asked, far_and_sound, far, with_room];
    let found = by_preference.into_iter().find(|list| !list.is_empty());
    // All lists are empty: no engine can hold a replica.
    found.unwrap_or_default()
}
