//! The choice of an upstream for one request.
//!
//! Question: which upstream gets this request? Inputs: the view; what the request asks; what
//! failed it already. Answer: a choice with what was weighed, for the log. Two upstreams by
//! chance and the one with the prefix are compared, so that routers do not herd. The router on
//! the platform has no load reports and decides otherwise, in `cloverpier_router_policy::choice`.

use crate::view::{CLOSE, Known, View};
use cloverpier_core::{ServiceName, UpstreamName, rendezvous_rank};
use serde::Serialize;
use std::net::SocketAddr;
use std::time::Instant;

/// Cost of another data centre, in parts of a full upstream.
const FAR: f64 = 0.1;
/// Gain of a cached prefix, in parts of a full upstream.
const CACHED: f64 = 0.35;

/// What a request asks of an upstream.
#[derive(Clone, Debug)]
pub struct Ask {
    /// The service.
    pub service: ServiceName,
    /// Digest of the prompt's prefix, when there is one worth caching.
    pub prefix: Option<u64>,
    /// Upstreams that failed this request already.
    pub failed: Vec<UpstreamName>,
    /// Whether a full upstream will do: work that must go on now, or that is over at once.
    pub overcommit: bool,
    /// Set for a request that may be what ends upstreams, to a number that is its content's own: it
    /// goes to the upstream with the least load, where it harms the fewest others if it does.
    pub apart: Option<u64>,
}

impl Ask {
    /// An ask for any upstream of a service that has a place.
    pub fn new(service: ServiceName) -> Self {
        Self {
            service,
            prefix: None,
            failed: Vec::new(),
            overcommit: false,
            apart: None,
        }
    }
}

/// An upstream as it was weighed.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Weighed {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Its estimated load.
    pub load: u32,
    /// Its cost; the lowest is chosen.
    pub cost: f64,
    /// Whether it served the same prefix recently.
    pub cached: bool,
}

/// Why an upstream was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Why {
    /// It is the only one that can.
    Only,
    /// Its cost is the lowest of those weighed.
    LowestCost,
    /// All others are avoided or failed this request.
    LastResort,
    /// It has the least load, and the request is kept apart from others.
    Apart,
}

/// The upstream that was chosen.
#[derive(Clone, Debug, PartialEq)]
pub struct Chosen {
    /// Its name.
    pub upstream: UpstreamName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Why it was chosen.
    pub why: Why,
    /// The upstreams that were weighed, it among them.
    pub weighed: Vec<Weighed>,
}

/// The result of a choice.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// An upstream was chosen.
    Chosen(Chosen),
    /// Some take work, but all of them are full.
    Full,
    /// None takes work, or all of those that do want nothing for now.
    Nobody,
}

impl View {
    /// Chooses an upstream.
    pub fn choose(&self, ask: &Ask, now: Instant, rng: &mut fastrand::Rng) -> Choice {
        let mut takers = self.takers(&ask.service);
        takers.retain(|(_, known)| !known.wants_nothing(now));
        if takers.is_empty() {
            return Choice::Nobody;
        }
        let healthy =
            |(name, k): &(&UpstreamName, &Known)| !ask.failed.contains(name) && !k.avoided(now);
        // Beyond those that are known closely only where none of them is healthy.
        if takers.iter().take(CLOSE).any(healthy) {
            takers.truncate(CLOSE);
        }
        let mut able: Vec<_> = takers.iter().copied().filter(healthy).collect();
        let last_resort = able.is_empty();
        if last_resort {
            able = takers;
        }
        if !ask.overcommit {
            able.retain(|(_, k)| k.load(now) < k.upstream.slots);
        }
        if able.is_empty() {
            return Choice::Full;
        }
        let picked = match ask.apart {
            Some(content) => least_loaded(&able, content, now),
            None => pick(&able, ask, now, rng),
        };
        let weighed: Vec<Weighed> = picked
            .iter()
            .map(|(name, k)| self.weigh(name, k, ask, now))
            .collect();
        let why = match (last_resort, able.len()) {
            (true, _) => Why::LastResort,
            (_, 1) => Why::Only,
            _ if ask.apart.is_some() => Why::Apart,
            _ => Why::LowestCost,
        };
        best(weighed, why, self)
    }

    pub(crate) fn takers(&self, service: &ServiceName) -> Vec<(&UpstreamName, &Known)> {
        let names = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        names
            .iter()
            .filter(|name| self.takes_work(name))
            .filter_map(|name| self.known.get_key_value(name))
            .collect()
    }

    fn weigh(&self, name: &UpstreamName, known: &Known, ask: &Ask, now: Instant) -> Weighed {
        let load = known.load(now);
        let cached = ask.prefix.is_some_and(|p| known.has_prefix(p));
        let far = known.upstream.data_centre != self.home;
        let mut cost = f64::from(load) / f64::from(known.upstream.slots.max(1));
        if far {
            cost += FAR;
        }
        if cached {
            cost -= CACHED;
        }
        Weighed {
            upstream: name.clone(),
            load,
            cost,
            cached,
        }
    }
}

/// The one with the least load; of several the one that the content's number prefers, so that two
/// contents that lost the same upstreams part.
fn least_loaded<'a>(
    able: &[(&'a UpstreamName, &'a Known)],
    content: u64,
    now: Instant,
) -> Vec<(&'a UpstreamName, &'a Known)> {
    let ranked = rendezvous_rank(content, able, |(name, _)| name.as_str());
    let least = ranked.into_iter().min_by_key(|(_, known)| known.load(now));
    least.copied().into_iter().collect()
}

/// Two at random, and one that has the prefix.
fn pick<'a>(
    able: &[(&'a UpstreamName, &'a Known)],
    ask: &Ask,
    now: Instant,
    rng: &mut fastrand::Rng,
) -> Vec<(&'a UpstreamName, &'a Known)> {
    let mut picked = rng.choose_multiple(able.iter().copied(), 2);
    let with_prefix = ask.prefix.and_then(|prefix| {
        let having = able.iter().filter(|(_, k)| k.has_prefix(prefix));
        having.min_by_key(|(_, k)| k.load(now)).copied()
    });
    if let Some(one) = with_prefix
        && !picked.iter().any(|(name, _)| *name == one.0)
    {
        picked.push(one);
    }
    picked
}

fn best(weighed: Vec<Weighed>, why: Why, view: &View) -> Choice {
    let lowest = weighed.iter().min_by(|a, b| a.cost.total_cmp(&b.cost));
    let Some(upstream) = lowest.map(|w| w.upstream.clone()) else {
        return Choice::Full;
    };
    let Some(known) = view.known.get(&upstream) else {
        return Choice::Full;
    };
    Choice::Chosen(Chosen {
        address: known.upstream.address,
        upstream,
        why,
        weighed,
    })
}
