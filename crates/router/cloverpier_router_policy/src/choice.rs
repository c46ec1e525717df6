//! The choice of a upstream for one request.
//!
//! The cost of a upstream is the load before the request there: this router's
//! own exactly, its peers' as they reported it a moment ago. Upstreams that fail
//! more often than others, or are slower, cost more.

use crate::load::Load;
use crate::prompt_locations::PromptKey;
use crate::upstream::{Upstream, UpstreamKey, UpstreamState};
use crate::upstream_table::UpstreamTable;
use cloverpier_core::{DataCentre, ServiceName, UpstreamName, rank};
use serde::Serialize;
use std::collections::{BTreeMap, HashSet};
use std::time::Instant;

/// A running request slows a newcomer as much as so many unread tokens.
const TOKENS_PER_RUNNING: f64 = 6_000.0;
/// A failure rate of one costs as much as so many requests.
const FAILURE_REQUESTS: f64 = 12.0;
/// Another data centre costs as much as so many requests at a plain service.
const FAR_REQUESTS: f64 = 0.4;
/// A kept connection saves as much as so many requests at a plain service.
const CONNECTED_REQUESTS: f64 = 1.2;
/// Part of an engine's memory that is filled before it is shunned.
const FILLED_PART: f64 = 0.92;
/// Cost, in tokens, of an engine whose memory would overflow.
const OVERFULL_TOKENS: f64 = 200_000.0;
/// Engines whose costs differ by less are taken for equal.
const ABOUT_THE_SAME_TOKENS: f64 = 3000.0;
/// Requests that may wait at a plain upstream, for each of its slots.
const WAITING_PER_SLOT: u32 = 2;
/// A pace below this many milliseconds tells nothing.
const MIN_PACE_MS: f64 = 1.0;

/// What a request asks of a upstream.
#[derive(Clone, Debug)]
pub struct Demand<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// Where this router stands.
    pub home: &'a DataCentre,
    /// What the request adds.
    pub load: Load,
    /// Tokens that fit into an engine's memory; `None` at a plain service.
    pub engine_memory: Option<u64>,
    /// A hash of the prompt: the same prompt prefers the same engine.
    pub affinity: Option<u64>,
    /// The engine that has read the prompt for an earlier request that this one goes on with.
    pub prompt_location: Option<UpstreamKey>,
    /// Whether an engine may have read the prompt already, for an earlier request.
    pub is_continuation: bool,
    /// Upstreams that this request was sent to already.
    pub tried: &'a [UpstreamName],
    /// Upstreams to which a connection is at hand.
    pub connected: &'a HashSet<UpstreamName>,
    /// Whether a full upstream will do.
    pub overcommit: bool,
    /// The present moment.
    pub now: Instant,
}

/// What came of a choice.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub enum Choice {
    /// This upstream gets the request.
    Upstream(Upstream),
    /// Upstreams take load, and all are full.
    Full,
    /// No upstream takes load.
    Nobody,
}

/// Chooses the upstream with the lowest cost; equal ones by chance.
///
/// Engines that cost about the same are told apart by the prompt's hash, so
/// that routers that see the same don't all choose the same engine, and a
/// prompt that comes back finds the engine that has read it.
pub fn choose_upstream(
    table: &UpstreamTable,
    demand: &Demand<'_>,
    rng: &mut fastrand::Rng,
) -> Choice {
    let able = candidates(table, demand);
    if able.is_empty() {
        return Choice::Nobody;
    }
    let open: Vec<&UpstreamState> = able
        .into_iter()
        .filter(|s| demand.overcommit || has_place(table, demand, s))
        .collect();
    let prompt_location = open.iter().find(|s| Some(s.key) == demand.prompt_location);
    if let Some(state) = prompt_location {
        return Choice::Upstream(state.upstream.clone());
    }
    let best_pace = best_pace(&open);
    let cost = |s: &UpstreamState| cost(table, demand, s, best_pace);
    let chosen = match (demand.engine_memory, demand.affinity) {
        (Some(_), Some(prompt)) => by_prompt(&open, cost, prompt, tolerance(demand), demand.home),
        _ => cheapest(&open, cost, rng),
    };
    match chosen {
        Some(state) => Choice::Upstream(state.upstream.clone()),
        None => Choice::Full,
    }
}

/// Chooses the engine that keeps a copy of a run's memory, in another data centre if it can be.
pub fn choose_replica(
    table: &UpstreamTable,
    demand: &Demand<'_>,
    primary: &Upstream,
    rng: &mut fastrand::Rng,
) -> Option<Upstream> {
    let memory = demand.engine_memory?;
    let roomy: Vec<&UpstreamState> = table
        .of_service(demand.service)
        .filter(|s| s.is_usable() && s.upstream.name != primary.name)
        .filter(|s| !s.is_suspected_by_peer(demand.now))
        .filter(|s| fits(table, s, demand.load, memory))
        .collect();
    let suspected_by_peer = table.suspect_data_centres(demand.service, demand.now);
    let is_far = |s: &UpstreamState| s.upstream.data_centre != primary.data_centre;
    let is_sound = |s: &UpstreamState| !suspected_by_peer.contains(&s.upstream.data_centre);
    let far_and_sound = those(&roomy, |s| is_far(s) && is_sound(s));
    let preferred = [far_and_sound, those(&roomy, is_far), roomy];
    let pool = preferred.into_iter().find(|pool| !pool.is_empty())?;
    let memory_at = |s: &UpstreamState| table.load_at(s).memory_tokens;
    let least = pool.iter().map(|s| memory_at(s)).min()?;
    // Routers that see the same would all choose the emptiest, and fill it.
    let most = least.saturating_add(demand.load.memory_tokens);
    let about_as_empty = pool.into_iter().filter(|s| memory_at(s) <= most);
    let chosen = rng.choice(about_as_empty.collect::<Vec<_>>());
    chosen.map(|s| s.upstream.clone())
}

/// The engines of a service in the order in which they are likely to have read a prompt.
///
/// Each router prefers its own data centre and then the prompt's hash, so the
/// engines of each data centre are taken in turn, by the hash.
pub fn search_order(
    table: &UpstreamTable,
    service: &ServiceName,
    prompt: PromptKey,
) -> Vec<Upstream> {
    let usable = table.of_service(service).filter(|s| s.is_usable());
    let mut by_centre: BTreeMap<&DataCentre, Vec<&UpstreamState>> = BTreeMap::new();
    for state in usable {
        let centre = by_centre.entry(&state.upstream.data_centre);
        centre.or_default().push(state);
    }
    let mut ranked: Vec<(usize, &Upstream)> = Vec::new();
    for states in by_centre.values() {
        let in_order = rank(prompt.0, states, |s| s.upstream.name.as_str());
        let in_order = in_order.into_iter().enumerate();
        ranked.extend(in_order.map(|(location, s)| (location, &s.upstream)));
    }
    ranked.sort_by_key(|(location, _)| *location);
    ranked
        .into_iter()
        .map(|(_, upstream)| upstream.clone())
        .collect()
}

/// Usable upstreams that nobody doubts, in data centres that seem well; else usable ones; else suspects; else, where the whole list is empty, those
/// whose entries vanished just now: the platform's outages do that to living upstreams.
fn candidates<'a>(table: &'a UpstreamTable, demand: &Demand<'_>) -> Vec<&'a UpstreamState> {
    let untried = |states: Vec<&'a UpstreamState>| -> Vec<&'a UpstreamState> {
        let untried = |s: &&UpstreamState| !demand.tried.contains(&s.upstream.name);
        states.into_iter().filter(untried).collect()
    };
    let of_service = || table.of_service(demand.service);
    let usable = untried(of_service().filter(|s| s.is_usable()).collect());
    let suspected_by_peer = table.suspect_data_centres(demand.service, demand.now);
    let undoubted = |s: &UpstreamState| !s.is_suspected_by_peer(demand.now);
    let sound =
        |s: &UpstreamState| undoubted(s) && !suspected_by_peer.contains(&s.upstream.data_centre);
    for trusted in [those(&usable, sound), those(&usable, undoubted)] {
        if !trusted.is_empty() {
            return trusted;
        }
    }
    if !usable.is_empty() {
        return usable;
    }
    let listed: Vec<&UpstreamState> = of_service().filter(|s| s.is_listed()).collect();
    if !listed.is_empty() {
        return untried(listed);
    }
    let may_be_back = |s: &&UpstreamState| s.may_still_serve() && s.vanished_recently(demand.now);
    untried(of_service().filter(may_be_back).collect())
}

fn those<'a>(
    states: &[&'a UpstreamState],
    which: impl Fn(&UpstreamState) -> bool,
) -> Vec<&'a UpstreamState> {
    states.iter().copied().filter(|s| which(s)).collect()
}

fn has_place(table: &UpstreamTable, demand: &Demand<'_>, state: &UpstreamState) -> bool {
    let requests = table.load_at(state).requests;
    let slots = state.upstream.slots.max(1);
    match demand.engine_memory {
        Some(_) => requests < slots,
        None => requests < slots * (1 + WAITING_PER_SLOT),
    }
}

fn fits(table: &UpstreamTable, state: &UpstreamState, load: Load, memory: u64) -> bool {
    let used = f64::from(table.load_at(state).memory_tokens) + f64::from(load.memory_tokens);
    used <= memory as f64 * FILLED_PART
}

fn best_pace(states: &[&UpstreamState]) -> f64 {
    let paces = states.iter().map(|s| s.pace_ms);
    let known = paces.filter(|p| *p >= MIN_PACE_MS);
    known.fold(f64::INFINITY, f64::min)
}

/// How many times slower than the best a upstream is.
fn slowness(state: &UpstreamState, best_pace: f64) -> f64 {
    if best_pace.is_finite() && state.pace_ms > best_pace {
        state.pace_ms / best_pace
    } else {
        1.0
    }
}

fn cost(table: &UpstreamTable, demand: &Demand<'_>, state: &UpstreamState, best_pace: f64) -> f64 {
    match demand.engine_memory {
        Some(memory) => engine_cost(table, demand, state, best_pace, memory),
        None => plain_cost(table, demand, state, best_pace),
    }
}

fn engine_cost(
    table: &UpstreamTable,
    demand: &Demand<'_>,
    state: &UpstreamState,
    best_pace: f64,
    memory: u64,
) -> f64 {
    let load = table.load_at(state);
    let unread = f64::from(load.unread_tokens) + f64::from(demand.load.unread_tokens);
    let running = f64::from(load.requests) * TOKENS_PER_RUNNING;
    let mut cost = (unread + running) * slowness(state, best_pace).sqrt();
    cost *= 1.0 + state.failure_rate;
    if !fits(table, state, demand.load, memory) {
        cost += OVERFULL_TOKENS;
    }
    cost
}

fn plain_cost(
    table: &UpstreamTable,
    demand: &Demand<'_>,
    state: &UpstreamState,
    best_pace: f64,
) -> f64 {
    let requests = f64::from(table.load_at(state).requests);
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

/// How much more than the cheapest an engine may cost, in tokens.
fn tolerance(demand: &Demand<'_>) -> f64 {
    if demand.is_continuation {
        f64::from(demand.load.unread_tokens).max(ABOUT_THE_SAME_TOKENS)
    } else {
        ABOUT_THE_SAME_TOKENS
    }
}

/// Among the engines that cost about the least, the one that the prompt's hash prefers.
fn by_prompt<'a>(
    states: &[&'a UpstreamState],
    cost: impl Fn(&UpstreamState) -> f64,
    prompt: u64,
    tolerance: f64,
    home: &DataCentre,
) -> Option<&'a UpstreamState> {
    let costs: Vec<f64> = states.iter().map(|s| cost(s)).collect();
    let least = costs.iter().copied().fold(f64::INFINITY, f64::min);
    let near = states
        .iter()
        .zip(&costs)
        .filter(|(_, c)| **c <= least + tolerance);
    let near: Vec<&UpstreamState> = near.map(|(s, _)| *s).collect();
    let at_home: Vec<&UpstreamState> = near
        .iter()
        .copied()
        .filter(|s| s.upstream.data_centre == *home)
        .collect();
    let near = if at_home.is_empty() { near } else { at_home };
    let ranked = rank(prompt, &near, |s| s.upstream.name.as_str());
    ranked.first().map(|s| **s)
}

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
