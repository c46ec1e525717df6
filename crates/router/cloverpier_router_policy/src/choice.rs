//! The choice of an upstream for one attempt.
//!
//! - **Question.** Which upstream gets this attempt?
//! - **Inputs.** A [`Demand`]: service, the load that the request adds, upstreams that it
//!   was sent to already, where its prompt was read, connections at hand. The table of
//!   upstreams with this router's own load, exactly, and its peers', as reported up to a
//!   heartbeat ago. What engines said of their load when they were asked
//!   ([`crate::load_query`]).
//! - **Answer.** A [`Choice`].
//! - **Why.** Upstreams that may be dead come last, whatever their load: trying one costs
//!   hundreds of milliseconds. Among the others the cost is the time that the request would
//!   wait for the load before it. Engines that cost about the same are ranked by the
//!   prompt's hash: routers that see the same do not all choose the same engine, and a
//!   prompt that is sent again reaches the engine that has read it.
//!
//! `cloverpierd` chooses in `cloverpier_route::choose`, by another rule: it asks its
//! engines for their load, so two picked at random are compared; here engines are asked only
//! where peers' reports are incomplete, and else all are compared by what routers have in
//! flight there.
//!
//! Who may get the attempt is decided in `candidates`, what an upstream costs in `cost`. Owns no
//! state.

mod candidates;
mod cost;

pub(crate) use candidates::filtered;
pub(crate) use cost::{fits, known_load};

use crate::load::Load;
use crate::load_query::ReportedLoad;
use crate::permit::LimitedUpstreams;
use crate::rollout::VersionRule;
use crate::upstream::{Upstream, UpstreamKey, UpstreamState};
use crate::upstream_table::UpstreamTable;
use candidates::candidate_groups;
use cloverpier_core::{DataCentre, ServiceName, UpstreamName, rendezvous_rank};
use cost::{best_pace, cost, has_capacity};
use std::collections::HashSet;
use std::time::{Duration, Instant};

/// Engines whose costs differ by less, in tokens, count as equal.
const EQUAL_COST_TOKENS: f64 = 3_000.0;

/// Later attempts of streams are spread over this part of the engines, the cheapest ones, so
/// that streams that lost their engine together do not meet at one.
const SPREAD_OVER: f64 = 0.25;

/// What an attempt asks of an upstream.
#[derive(Clone, Debug)]
pub struct Demand<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// This router's data centre.
    pub home: &'a DataCentre,
    /// The load that the request adds.
    pub load: Load,
    /// Tokens that fit into an engine's KV cache; `None` for a plain service.
    pub engine_memory: Option<u64>,
    /// A hash of the prompt: the same prompt prefers the same engine.
    pub affinity: Option<u64>,
    /// The engine that has read the prompt, for a request that continues a former one.
    pub prompt_location: Option<UpstreamKey>,
    /// Whether the request continues a former one, so that some engine has read its prompt.
    pub is_continuation: bool,
    /// Upstreams that the request was sent to already.
    pub tried: &'a [UpstreamName],
    /// Upstreams to which a connection is at hand.
    pub connected: &'a HashSet<UpstreamName>,
    /// Set for a request that may be what ends upstreams, to a number that is its content's own: it
    /// goes to the engine that has the fewest others.
    pub apart: Option<u64>,
    /// Whether a full upstream will do.
    pub overcommit: bool,
    /// What engines said of their load just now.
    pub reported: &'a ReportedLoad,
    /// Which versions of the service's software may get it.
    pub versions: &'a VersionRule,
    /// The upstreams that limit themselves.
    pub limits: &'a LimitedUpstreams,
    /// The present moment.
    pub now: Instant,
}

impl Demand<'_> {
    /// Whether an upstream has failed the request already.
    fn is_later_attempt(&self) -> bool {
        !self.tried.is_empty()
    }
}

/// The result of a choice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choice {
    /// This upstream gets the attempt.
    Upstream(Upstream),
    /// None does.
    None(NoUpstream),
}

/// Why no upstream gets an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoUpstream {
    /// Some upstreams could take it, and all of them are full.
    AllFull,
    /// No upstream can take it.
    NoneUsable,
    /// All that could take it want nothing for now.
    AllWait,
    /// Those that could take it limit themselves, and there is no permit for it.
    AllLimited {
        /// After what time its caller should retry.
        retry: Duration,
    },
}

/// Chooses an upstream: the one that has read the prompt, else the one of lowest cost.
pub fn choose_upstream(
    table: &UpstreamTable,
    demand: &Demand<'_>,
    rng: &mut fastrand::Rng,
) -> Choice {
    let groups = candidate_groups(table, demand);
    if groups.is_empty() {
        return Choice::None(why_none(table, demand));
    }
    let by_group = groups.iter().map(|g| with_capacity(table, g, demand));
    let Some(with_capacity) = by_group.into_iter().find(|group| !group.is_empty()) else {
        return Choice::None(NoUpstream::AllFull);
    };
    match best_of(table, &with_capacity, demand, rng) {
        Some(state) => Choice::Upstream(state.upstream.clone()),
        None => Choice::None(NoUpstream::AllFull),
    }
}

/// Why nobody is a candidate.
fn why_none(table: &UpstreamTable, demand: &Demand<'_>) -> NoUpstream {
    match table.wait_of_service(demand.service, demand.now) {
        Some(_) => NoUpstream::AllWait,
        None => NoUpstream::NoneUsable,
    }
}

/// The best of candidates with capacity.
fn best_of<'a>(
    table: &UpstreamTable,
    candidates: &[&'a UpstreamState],
    demand: &Demand<'_>,
    rng: &mut fastrand::Rng,
) -> Option<&'a UpstreamState> {
    if let (Some(content), Some(_)) = (demand.apart, demand.engine_memory) {
        return least_shared(table, candidates, demand, content);
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

/// The engine that runs the fewest requests; of several the one that the content's number prefers, so
/// that two contents that lost the same engines part.
///
/// A request that ends its engine takes the streams beside it along, and a request that lost two
/// engines beside another one must not meet it at a third: routers that choose at the same moment by
/// the same rule send both to the same engine.
fn least_shared<'a>(
    table: &UpstreamTable,
    engines: &[&'a UpstreamState],
    demand: &Demand<'_>,
    content: u64,
) -> Option<&'a UpstreamState> {
    let requests = |s: &UpstreamState| known_load(table, demand, s).requests;
    let fewest = engines.iter().map(|s| requests(s)).min()?;
    let least = filtered(engines, |s| requests(s) == fewest);
    let ranked = rendezvous_rank(content, &least, |s| s.upstream.name.as_str());
    ranked.first().map(|s| **s)
}

/// The candidates of a group with capacity: those that said how busy they are, if any did, as too little is
/// known of the others.
fn with_capacity<'a>(
    table: &UpstreamTable,
    candidates: &[&'a UpstreamState],
    demand: &Demand<'_>,
) -> Vec<&'a UpstreamState> {
    let free = filtered(candidates, |s| {
        demand.overcommit || has_capacity(table, demand, s)
    });
    let answered = filtered(&free, |s| demand.reported.of(s.key).is_some());
    if answered.is_empty() { free } else { answered }
}

/// The engines that may get the attempt, those of about the least cost first, by what this
/// router believes; among these in the order that the prompt's hash gives, or in a random one.
pub(crate) fn by_believed_cost<'a>(
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

/// How much more than the cheapest, in tokens, an engine may cost that counts as equal.
///
/// The engine that has read the prompt of a continuation is worth the reading that it spares.
fn tolerance(demand: &Demand<'_>) -> f64 {
    if demand.is_continuation {
        f64::from(demand.load.unread_tokens).max(EQUAL_COST_TOKENS)
    } else {
        EQUAL_COST_TOKENS
    }
}

/// Among the engines of about the least cost, the one that the prompt's hash prefers.
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

/// Among the cheaper engines, the one that the prompt's hash prefers, whichever is the cheapest.
///
/// Where an engine dies or a data centre does, many routers choose anew within milliseconds, by
/// the same beliefs: the one engine that has just lost its streams, too, seems the only idle one.
fn spread_by_prompt<'a>(
    engines: &[&'a UpstreamState],
    cost: impl Fn(&UpstreamState) -> f64,
    prompt: u64,
) -> Option<&'a UpstreamState> {
    let mut by_cost: Vec<(f64, &UpstreamState)> = engines.iter().map(|s| (cost(s), *s)).collect();
    by_cost.sort_by(|(one, _), (other, _)| one.total_cmp(other));
    let count = (by_cost.len() as f64 * SPREAD_OVER).ceil() as usize;
    by_cost.truncate(count);
    let cheaper: Vec<&UpstreamState> = by_cost.into_iter().map(|(_, s)| s).collect();
    let ranked = rendezvous_rank(prompt, &cheaper, |s| s.upstream.name.as_str());
    ranked.first().map(|s| **s)
}

/// The upstream of lowest cost; equal ones have the same chance.
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
            // Reservoir sampling keeps each of equal ones with the same chance.
            ties += 1;
            if rng.usize(..ties) == 0 {
                best = Some((cost, state));
            }
        }
    }
    best.map(|(_, state)| state)
}
