//! Chooses the upstream that gets one attempt of a request.
//!
//! - **Question.** Which upstream gets this attempt?
//! - **Inputs.** A [`Demand`]: the service, the load that the request adds, the upstreams that have
//!   failed the request, the engine that has read its prompt, and the upstreams with a reusable
//!   connection. The table of upstreams, with this router's own load, which is exact, and the load of
//!   its peers, which is up to a heartbeat old. The load that engines reported in reply to a query
//!   ([`crate::load_query`]).
//! - **Result.** A [`Choice`].
//! - **Why.** Upstreams that may be dead come last, whatever their load: an attempt at a dead upstream
//!   costs hundreds of milliseconds. Among the others, the cost is the estimated time that the request
//!   waits behind the load that is there already. Engines of about the same cost are ranked by the
//!   prompt's hash. This spreads the choices of routers that have the same estimates, and a prompt
//!   that is sent again reaches the engine that has read it.
//!
//! `cloverpierd` uses another rule, in `cloverpier_route::choose`: it queries its engines for their load,
//! so it compares two engines picked at random. A router queries engines only where its peers' reports are
//! incomplete; elsewhere it compares all engines by the load that the routers have in flight there.
//!
//! `candidates` decides which upstreams may get the attempt, `cost` estimates what each of them costs.
//! This module owns no state.

mod candidates;
mod cost;

pub(crate) use candidates::filtered;
pub(crate) use cost::{estimated_load, fits_kv_cache, has_room_where_brittle, memory_left};

use crate::load::Load;
use crate::load_query::ReportedLoad;
use crate::permit::LimitedUpstreams;
use crate::rollout::VersionRule;
use crate::stream_version::lookup::UnknownOrigin;
use crate::upstream::{Upstream, UpstreamKey, UpstreamState};
use crate::upstream_table::UpstreamTable;
use candidates::candidate_groups;
use cloverpier_core::{DataCentre, ServiceName, UpstreamName, rendezvous_rank};
use cost::{best_pace, cost, has_capacity};
use std::collections::HashSet;
use std::time::{Duration, Instant};

/// Engines whose costs exceed the lowest cost by at most this many prompt tokens count as equally cheap.
const COST_TOLERANCE_TOKENS: f64 = 3_000.0;

/// Fraction of the candidate engines, the cheapest ones, over which second and later attempts of
/// streams are spread, so that streams that lost their engines at the same time do not all go to one.
const RETRY_SPREAD_FRACTION: f64 = 0.25;

/// The properties of one attempt that decide which upstream gets it.
#[derive(Clone, Debug)]
pub struct Demand<'a> {
    /// The service whose upstreams are candidates.
    pub service: &'a ServiceName,
    /// This router's data centre; plain upstreams elsewhere cost more.
    pub home: &'a DataCentre,
    /// The load that the request adds at the upstream that gets it.
    pub load: Load,
    /// Capacity of an engine's KV cache in tokens; `None` for a service whose upstreams are not model engines.
    pub engine_memory: Option<u64>,
    /// A hash of the prompt, by which the same prompt prefers the same engine; `None` for a request without
    /// a prompt.
    pub affinity: Option<u64>,
    /// The engine that has read the prompt, for a request that continues an earlier one; `None` where no such
    /// engine is known.
    pub prompt_location: Option<UpstreamKey>,
    /// Whether the request continues an earlier one, so that some engine has read its prompt.
    pub is_continuation: bool,
    /// Upstreams that have failed the request or that its stream was moved away from; they are no candidates.
    pub tried: &'a [UpstreamName],
    /// Upstreams to which this router has an idle connection that can be used again.
    pub connected: &'a HashSet<UpstreamName>,
    /// A hash of the request's content if that content may be what crashes upstreams, else `None`. Such a
    /// request goes to the engine that runs the fewest other requests.
    pub suspect_content: Option<u64>,
    /// Whether upstreams without a free slot are candidates, too, unless they are brittle.
    pub overcommit: bool,
    /// The load that queried engines have just reported; empty where no engine was queried or replied.
    pub reported: &'a ReportedLoad,
    /// The versions of the service's software that may get the request, in order of preference.
    pub versions: &'a VersionRule,
    /// The upstreams that limit their own request rate. Those of them for which no permit is available are no
    /// candidates.
    pub limits: &'a LimitedUpstreams,
    /// The current time, by which suspicions and other observations expire.
    pub now: Instant,
}

impl Demand<'_> {
    /// Whether an earlier attempt of the request has ended at an upstream without completing the request.
    fn is_later_attempt(&self) -> bool {
        !self.tried.is_empty()
    }
}

/// The result of [`choose_upstream`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choice {
    /// This upstream gets the attempt.
    Upstream(Upstream),
    /// No upstream gets the attempt, for this reason.
    None(NoUpstream),
}

/// The reason why no upstream gets an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoUpstream {
    /// There are candidates, and none of them has a free slot or queue place.
    AllFull,
    /// There is no candidate: no upstream of the service is listed, or the attempt may use none of them.
    NoneUsable,
    /// The request continues a stream, which only upstreams of the software version that began it may do, and none of
    /// them is a candidate.
    NoneOfVersion {
        /// Whether upstreams of the version are listed, so that one may become usable soon.
        is_listed: bool,
    },
    /// The request continues a stream, and the software version that began the stream could not be determined.
    UnknownVersion(UnknownOrigin),
    /// All listed upstreams of the service have requested a pause (`Retry-After`) that has not ended.
    AllPaused,
    /// The candidates limit their own request rate, and there is no permit to send the request to one.
    AllRateLimited {
        /// The time after which the caller should retry.
        retry: Duration,
    },
    /// The candidates are full, and so many streams go before this one that it can't wait for its turn.
    NoTurn {
        /// The predicted time until its turn, if it can be served after it.
        retry_after: Option<Duration>,
    },
    /// The candidates are full, and this router shuts down, so that the request does not wait here.
    Stopping,
}

/// Chooses the upstream for an attempt: the engine that has read the prompt, else an upstream of about the
/// lowest cost.
pub fn choose_upstream(
    table: &UpstreamTable,
    demand: &Demand<'_>,
    rng: &mut fastrand::Rng,
) -> Choice {
    let groups = candidate_groups(table, demand);
    if groups.is_empty() {
        return Choice::None(no_candidate_reason(table, demand));
    }
    let by_group = groups.iter().map(|g| with_capacity(table, g, demand));
    let mut by_group = by_group.into_iter().enumerate();
    let Some((index, with_capacity)) = by_group.find(|(_, group)| !group.is_empty()) else {
        return Choice::None(NoUpstream::AllFull);
    };
    if index > 0 && waits_for_room(table, demand, &groups[0], &with_capacity) {
        return Choice::None(NoUpstream::AllFull);
    }
    match best_candidate(table, &with_capacity, demand, rng) {
        Some(state) => Choice::Upstream(state.upstream.clone()),
        None => Choice::None(NoUpstream::AllFull),
    }
}

/// Whether a stream waits for room at the preferred engines, instead of going to one that may be dead: streams of the
/// service are ordered, and a preferred engine is busy but has a free slot.
fn waits_for_room(
    table: &UpstreamTable,
    demand: &Demand<'_>,
    preferred: &[&UpstreamState],
    with_room: &[&UpstreamState],
) -> bool {
    let is_ordered = table.first_event_bound(demand.service).is_some();
    if demand.engine_memory.is_none() || !is_ordered {
        return false;
    }
    let suspect_data_centres = table.suspect_data_centres(demand.service, demand.now);
    let may_be_dead = |s: &&UpstreamState| {
        let is_suspected = s.is_suspected_by_peer(demand.now);
        is_suspected || suspect_data_centres.contains(&s.upstream.data_centre)
    };
    let has_free_slot =
        |s: &&UpstreamState| estimated_load(table, demand, s).requests < s.upstream.slots.max(1);
    with_room.iter().all(may_be_dead) && preferred.iter().any(has_free_slot)
}

/// The reason why an attempt has no candidate.
fn no_candidate_reason(table: &UpstreamTable, demand: &Demand<'_>) -> NoUpstream {
    if table.wait_of_service(demand.service, demand.now).is_some() {
        return NoUpstream::AllPaused;
    }
    if demand.versions.required().is_none() {
        return NoUpstream::NoneUsable;
    }
    let mut of_service = table.of_service(demand.service);
    NoUpstream::NoneOfVersion {
        is_listed: of_service.any(|s| s.is_listed() && demand.versions.allows(s)),
    }
}

/// The preferred upstream among candidates that have capacity.
fn best_candidate<'a>(
    table: &UpstreamTable,
    candidates: &[&'a UpstreamState],
    demand: &Demand<'_>,
    rng: &mut fastrand::Rng,
) -> Option<&'a UpstreamState> {
    if let (Some(content), Some(_)) = (demand.suspect_content, demand.engine_memory) {
        return fewest_requests(table, candidates, demand, content);
    }
    let has_read_prompt = candidates
        .iter()
        .find(|s| Some(s.key) == demand.prompt_location);
    if let Some(state) = has_read_prompt {
        return Some(*state);
    }
    let best_pace = best_pace(candidates);
    let cost = |s: &UpstreamState| cost(table, demand, s, best_pace);
    match (demand.engine_memory, demand.affinity) {
        (Some(_), Some(prompt)) if demand.is_later_attempt() => {
            spread_by_prompt(candidates, cost, prompt)
        }
        (Some(_), Some(prompt)) => preferred_by_prompt(candidates, cost, prompt, demand),
        _ => cheapest(candidates, cost, rng),
    }
}

/// The engine that runs the fewest requests. Ties are broken by the hash of the request's content, so that
/// two contents that lost the same engines go to different engines.
///
/// A request that crashes its engine also ends the other streams there. Two requests that both ran at two
/// crashed engines must not share a third: the crash could not be attributed to either of them. Without
/// the hash, routers that choose at the same moment send both to the same engine.
fn fewest_requests<'a>(
    table: &UpstreamTable,
    engines: &[&'a UpstreamState],
    demand: &Demand<'_>,
    content: u64,
) -> Option<&'a UpstreamState> {
    let requests = |s: &UpstreamState| estimated_load(table, demand, s).requests;
    let fewest = engines.iter().map(|s| requests(s)).min()?;
    let least = filtered(engines, |s| requests(s) == fewest);
    let ranked = rendezvous_rank(content, &least, |s| s.upstream.name.as_str());
    ranked.first().map(|s| **s)
}

/// The candidates of a group that have capacity. If any of them has reported its load in reply to a query,
/// only these count, as the load of the others is not known well enough.
fn with_capacity<'a>(
    table: &UpstreamTable,
    candidates: &[&'a UpstreamState],
    demand: &Demand<'_>,
) -> Vec<&'a UpstreamState> {
    let may_overcommit = |s: &UpstreamState| demand.overcommit && !s.brittleness.is_brittle();
    let free = filtered(candidates, |s| {
        may_overcommit(s) || has_capacity(table, demand, s)
    });
    let with_report = filtered(&free, |s| demand.reported.of(s.key).is_some());
    if with_report.is_empty() {
        free
    } else {
        with_report
    }
}

/// The engines of the first candidate group by estimated cost. The engines of about the lowest cost come first, in
/// the order of the prompt's hash, or in random order for a request without a prompt; the others follow by cost.
pub(crate) fn by_estimated_cost<'a>(
    table: &'a UpstreamTable,
    demand: &Demand<'_>,
    rng: &mut fastrand::Rng,
) -> Vec<&'a UpstreamState> {
    let groups = candidate_groups(table, demand);
    let Some(candidates) = groups.into_iter().next() else {
        return Vec::new();
    };
    let best_pace = best_pace(&candidates);
    let cost = |s: &UpstreamState| cost(table, demand, s, best_pace);
    let least = candidates
        .iter()
        .map(|s| cost(s))
        .fold(f64::INFINITY, f64::min);
    let most = least + tolerance(demand);
    let (equal, mut dearer): (Vec<_>, Vec<_>) =
        candidates.into_iter().partition(|s| cost(s) <= most);
    let prompt = demand.affinity.unwrap_or_else(|| rng.u64(..));
    let ranked = rendezvous_rank(prompt, &equal, |s| s.upstream.name.as_str());
    dearer.sort_by(|a, b| cost(a).total_cmp(&cost(b)));
    ranked.into_iter().copied().chain(dearer).collect()
}

/// The excess over the lowest cost, in prompt tokens, up to which an engine counts as equally cheap.
///
/// For a continuation it is at least the length of the prompt: the engine that has read the prompt saves that
/// reading, and the prompt's hash ranks this engine first among equals.
fn tolerance(demand: &Demand<'_>) -> f64 {
    if demand.is_continuation {
        f64::from(demand.load.unread_tokens).max(COST_TOLERANCE_TOKENS)
    } else {
        COST_TOLERANCE_TOKENS
    }
}

/// The engine that the prompt's hash prefers among the engines of about the lowest cost.
fn preferred_by_prompt<'a>(
    engines: &[&'a UpstreamState],
    cost: impl Fn(&UpstreamState) -> f64,
    prompt: u64,
    demand: &Demand<'_>,
) -> Option<&'a UpstreamState> {
    let least = engines
        .iter()
        .map(|s| cost(s))
        .fold(f64::INFINITY, f64::min);
    let most = least + tolerance(demand);
    let equal = filtered(engines, |s| cost(s) <= most);
    let ranked = rendezvous_rank(prompt, &equal, |s| s.upstream.name.as_str());
    ranked.first().map(|s| **s)
}

/// The engine that the prompt's hash prefers among the cheapest [`RETRY_SPREAD_FRACTION`] of the engines.
///
/// When an engine or a whole data centre fails, many routers choose again within milliseconds and with the
/// same load estimates. The one engine that seems idle to all of them may seem so only because it has just
/// lost its own streams, and choosing the cheapest engine would send all streams there.
fn spread_by_prompt<'a>(
    engines: &[&'a UpstreamState],
    cost: impl Fn(&UpstreamState) -> f64,
    prompt: u64,
) -> Option<&'a UpstreamState> {
    let mut by_cost: Vec<(f64, &UpstreamState)> = engines.iter().map(|s| (cost(s), *s)).collect();
    by_cost.sort_by(|(a, _), (b, _)| a.total_cmp(b));
    let count = (by_cost.len() as f64 * RETRY_SPREAD_FRACTION).ceil() as usize;
    by_cost.truncate(count);
    let cheaper: Vec<&UpstreamState> = by_cost.into_iter().map(|(_, s)| s).collect();
    let ranked = rendezvous_rank(prompt, &cheaper, |s| s.upstream.name.as_str());
    ranked.first().map(|s| **s)
}

/// The upstream of lowest cost; ties are broken at random with equal probability.
fn cheapest<'a>(
    states: &[&'a UpstreamState],
    cost: impl Fn(&UpstreamState) -> f64,
    rng: &mut fastrand::Rng,
) -> Option<&'a UpstreamState> {
    let mut best: Option<(f64, &UpstreamState)> = None;
    let mut ties = 0usize;
    for state in states {
        let cost = cost(state);
        let is_tie = best.is_some_and(|(lowest, _)| cost == lowest);
        let is_lower = best.is_none_or(|(lowest, _)| cost < lowest);
        if is_lower {
            best = Some((cost, state));
            ties = 1;
        } else if is_tie {
            // Reservoir sampling: each of the tied upstreams is kept with the same probability.
            ties += 1;
            if rng.usize(..ties) == 0 {
                best = Some((cost, state));
            }
        }
    }
    best.map(|(_, state)| state)
}
