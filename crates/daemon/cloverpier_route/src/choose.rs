//! The choice of an upstream for a request.
//!
//! From the router's view of its upstreams, [`UpstreamView::choose`] compares two upstreams that
//! are sampled at random, and one that recently received the same prompt prefix. Sampling avoids
//! that all routers choose the same upstream at the same time. The result contains the compared
//! upstreams, for the log. The router of the platform has no load reports and uses another rule, in
//! `cloverpier_router_policy::choice`.

use crate::view::{MAX_TRACKED, UpstreamEntry, UpstreamView};
use cloverpier_core::{ServiceName, UpstreamName, rendezvous_rank};
use serde::Serialize;
use std::net::SocketAddr;
use std::time::Instant;

/// Added to the cost of an upstream in another data centre. A cost of 1 is the load of a full
/// upstream.
const REMOTE_COST: f64 = 0.1;
/// Subtracted from the cost of an upstream that recently received the same prefix. A cost of 1 is
/// the load of a full upstream.
const CACHED_PREFIX_BONUS: f64 = 0.35;

/// The properties of a request that determine the choice of its upstream.
#[derive(Clone, Debug)]
pub struct RouteRequest {
    /// The service that the request addresses.
    pub service: ServiceName,
    /// Digest of the prompt's prefix; `None` if no prefix is worth caching.
    pub prefix: Option<u64>,
    /// Upstreams at which this request has already failed. They are chosen only as a last resort.
    pub failed: Vec<UpstreamName>,
    /// Whether a full upstream may be chosen: for a generation that must continue immediately, and
    /// for short calls, which never wait in the queue.
    pub overcommit: bool,
    /// `None` for most requests. Set to a hash of the content if the content is suspected to crash
    /// upstreams. The request is then sent to the upstream with the least load, where a crash
    /// affects the fewest other requests.
    pub isolation_key: Option<u64>,
}

impl RouteRequest {
    /// Creates a request for any upstream of a service that has a free slot.
    pub fn new(service: ServiceName) -> Self {
        Self {
            service,
            prefix: None,
            failed: Vec::new(),
            overcommit: false,
            isolation_key: None,
        }
    }
}

/// An upstream that was compared with others.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct WeighedUpstream {
    /// The name of the upstream.
    pub upstream: UpstreamName,
    /// The estimated number of requests at the upstream.
    pub load: u32,
    /// The load relative to the upstream's slots (its capacity in concurrent requests), adjusted
    /// for its data centre and the cached prefix. The upstream with the lowest cost is chosen.
    pub cost: f64,
    /// Whether the upstream recently received the same prefix from this router.
    pub cached: bool,
}

/// Why an upstream was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChoiceReason {
    /// The upstream is the only eligible one: all others are full, avoided after a failure, or have
    /// already failed for this request.
    Only,
    /// The upstream has the lowest cost of those that were compared.
    LowestCost,
    /// Every upstream is avoided after failures, or has already failed for this request.
    LastResort,
    /// The upstream has the least load, and the content of the request is suspected to crash
    /// upstreams.
    #[serde(rename = "apart")]
    Isolated,
}

/// The upstream that was chosen.
#[derive(Clone, Debug, PartialEq)]
pub struct Chosen {
    /// The name of the upstream.
    pub upstream: UpstreamName,
    /// The address of the upstream.
    pub address: SocketAddr,
    /// Why the upstream was chosen.
    pub reason: ChoiceReason,
    /// The upstreams that were compared, including the chosen one.
    pub weighed: Vec<WeighedUpstream>,
}

/// The result of a choice.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// An upstream was chosen.
    Chosen(Chosen),
    /// Some upstreams accept requests, but none of them has capacity for another one.
    Full,
    /// No upstream accepts requests, or all that do have requested a pause.
    NoneAvailable,
}

impl UpstreamView {
    /// Chooses an upstream for a request.
    ///
    /// An upstream that is leaving or in a wait period is never chosen. An upstream that is avoided
    /// after a failure is chosen only as a last resort.
    pub fn choose(&self, request: &RouteRequest, now: Instant, rng: &mut fastrand::Rng) -> Choice {
        let mut accepting_upstreams = self.accepting_upstreams(&request.service);
        accepting_upstreams.retain(|(_, entry)| !entry.in_wait_period(now));
        if accepting_upstreams.is_empty() {
            return Choice::NoneAvailable;
        }
        let healthy = |(name, k): &(&UpstreamName, &UpstreamEntry)| {
            !request.failed.contains(name) && !k.is_avoided(now)
        };
        // Upstreams that this router does not track are considered only if no tracked upstream is
        // healthy.
        if accepting_upstreams.iter().take(MAX_TRACKED).any(healthy) {
            accepting_upstreams.truncate(MAX_TRACKED);
        }
        let mut eligible: Vec<_> = accepting_upstreams
            .iter()
            .copied()
            .filter(healthy)
            .collect();
        let last_resort = eligible.is_empty();
        if last_resort {
            eligible = accepting_upstreams;
        }
        if !request.overcommit {
            eligible.retain(|(_, k)| k.estimated_load(now) < k.upstream.slots);
        }
        if eligible.is_empty() {
            return Choice::Full;
        }
        self.choose_among(&eligible, last_resort, request, now, rng)
    }

    /// Chooses among upstreams that are all eligible; `last_resort` if none of them is healthy.
    pub(crate) fn choose_among(
        &self,
        eligible: &[(&UpstreamName, &UpstreamEntry)],
        last_resort: bool,
        request: &RouteRequest,
        now: Instant,
        rng: &mut fastrand::Rng,
    ) -> Choice {
        let candidates = match request.isolation_key {
            Some(isolation_key) => least_loaded(eligible, isolation_key, now),
            None => sample_candidates(eligible, request, now, rng),
        };
        let weighed: Vec<WeighedUpstream> = candidates
            .iter()
            .map(|(name, k)| self.weigh(name, k, request, now))
            .collect();
        let reason = match (last_resort, eligible.len()) {
            (true, _) => ChoiceReason::LastResort,
            (_, 1) => ChoiceReason::Only,
            _ if request.isolation_key.is_some() => ChoiceReason::Isolated,
            _ => ChoiceReason::LowestCost,
        };
        choose_lowest_cost(weighed, reason, self)
    }

    pub(crate) fn accepting_upstreams(
        &self,
        service: &ServiceName,
    ) -> Vec<(&UpstreamName, &UpstreamEntry)> {
        let names = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        names
            .iter()
            .filter(|name| self.accepts_work(name))
            .filter_map(|name| self.upstreams.get_key_value(name))
            .collect()
    }

    fn weigh(
        &self,
        name: &UpstreamName,
        entry: &UpstreamEntry,
        request: &RouteRequest,
        now: Instant,
    ) -> WeighedUpstream {
        let load = entry.estimated_load(now);
        let cached = request.prefix.is_some_and(|p| entry.has_prefix(p));
        let is_remote = entry.upstream.data_centre != self.own_data_centre;
        let mut cost = f64::from(load) / f64::from(entry.upstream.slots.max(1));
        if is_remote {
            cost += REMOTE_COST;
        }
        if cached {
            cost -= CACHED_PREFIX_BONUS;
        }
        WeighedUpstream {
            upstream: name.clone(),
            load,
            cost,
            cached,
        }
    }
}

/// The upstream with the least load. Ties are broken by rendezvous hash of the content, so that two
/// suspect contents that failed at the same upstreams go to different ones.
fn least_loaded<'a>(
    eligible: &[(&'a UpstreamName, &'a UpstreamEntry)],
    isolation_key: u64,
    now: Instant,
) -> Vec<(&'a UpstreamName, &'a UpstreamEntry)> {
    let ranked = rendezvous_rank(isolation_key, eligible, |(name, _)| name.as_str());
    let least = ranked
        .into_iter()
        .min_by_key(|(_, entry)| entry.estimated_load(now));
    least.copied().into_iter().collect()
}

/// Two upstreams at random, and the least loaded one with the prefix.
fn sample_candidates<'a>(
    eligible: &[(&'a UpstreamName, &'a UpstreamEntry)],
    request: &RouteRequest,
    now: Instant,
    rng: &mut fastrand::Rng,
) -> Vec<(&'a UpstreamName, &'a UpstreamEntry)> {
    let mut candidates = rng.choose_multiple(eligible.iter().copied(), 2);
    let cached_upstream = request.prefix.and_then(|prefix| {
        let with_same_prefix = eligible.iter().filter(|(_, k)| k.has_prefix(prefix));
        with_same_prefix
            .min_by_key(|(_, k)| k.estimated_load(now))
            .copied()
    });
    if let Some(one) = cached_upstream
        && !candidates.iter().any(|(name, _)| *name == one.0)
    {
        candidates.push(one);
    }
    candidates
}

fn choose_lowest_cost(
    weighed: Vec<WeighedUpstream>,
    reason: ChoiceReason,
    view: &UpstreamView,
) -> Choice {
    let lowest = weighed.iter().min_by(|a, b| a.cost.total_cmp(&b.cost));
    let Some(upstream) = lowest.map(|w| w.upstream.clone()) else {
        return Choice::Full;
    };
    let Some(entry) = view.upstreams.get(&upstream) else {
        return Choice::Full;
    };
    Choice::Chosen(Chosen {
        address: entry.upstream.address,
        upstream,
        reason,
        weighed,
    })
}
