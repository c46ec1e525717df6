//! How many engines each data centre should hold.
//!
//! - **Question.** How many engines of a service are ordered in each data centre, on demand and spot?
//! - **Inputs.** The streams in progress at all routers and the KV cache that they take; the
//!   operator's bounds and prices; the start time of an engine; the data centres that refuse spot
//!   engines at present; the engines that are listed.
//! - **Outcome.** An [`EnginePlan`]: two numbers for each data centre.
//! - **Why.** Every engine is billed by the second, and a rejected caller costs more than the engines
//!   that would have served the request. The load that counts is the highest of the last
//!   [`PEAK_WINDOW`], as an engine takes seconds to start, longer than callers wait. The plan has just
//!   enough engines that the loss of any one data centre leaves [`TARGET_UTILISATION`] at that load. A
//!   provider may reclaim all spot engines of a data centre at once, which is no worse than that loss.
//!   So spot engines carry most of the load where they are cheaper, and every data centre also holds
//!   some on demand. A data centre without available spot engines counts as the lost one: on-demand
//!   engines replace its spot engines only after [`SPOT_SHORTAGE_TOLERANCE`].
//!
//! The plan grows at once, and shrinks only after the peak load has been lower for [`PEAK_WINDOW`], so
//! that consecutive orders do not cancel each other. On-demand engines are released only when the spot
//! engines that replace them are listed.
//!
//! [`Autoscaler`] owns the load of the recent past and the orders that the platform accepted.

use cloverpier_core::DataCentre;
use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// The fraction of the engines' slots and KV cache that the peak load takes after the loss of a data
/// centre. The remaining engines process the prompts of the lost streams again, beside the streams that
/// they run: at a higher utilisation, callers would wait longer for that than for a new stream.
const TARGET_UTILISATION: f64 = 0.55;
/// The period whose peak load counts: longer than engines take to start, and than most waves of the
/// load last.
const PEAK_WINDOW: Duration = Duration::from_secs(20);
/// The fraction of a data centre's engines that is held on demand where spot engines are cheaper.
const ON_DEMAND_FRACTION: f64 = 0.1;
/// The smallest change that is worth an order, as a fraction of a data centre's engines.
const MIN_CHANGE_FRACTION: f64 = 0.1;
/// How long a shortage of spot engines lasts before on-demand engines replace them. On-demand engines
/// take part of that time to start, so they would not help in a shorter shortage.
const SPOT_SHORTAGE_TOLERANCE: Duration = Duration::from_secs(10);
/// How long a data centre that refused spot engines receives no further order of spot engines.
pub const SPOT_RETRY_INTERVAL: Duration = Duration::from_secs(2);
/// The time from an engine's start until a heartbeat lists it, which adds to the start time.
const LISTING_DELAY: Duration = Duration::from_secs(2);

/// The operator's bounds and prices for the engines of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct ScalingBounds {
    /// The smallest number of engines of a data centre, of both kinds together.
    pub min: u32,
    /// The largest number of engines of a data centre, of both kinds together.
    pub max: u32,
    /// How long an engine takes to start.
    pub boot: Duration,
    /// The price of a spot engine as a fraction of an on-demand engine's; `None` without spot engines.
    pub spot_price: Option<f64>,
    /// The price of an on-demand engine, by data centre; the plan does not depend on it.
    pub prices: BTreeMap<DataCentre, f64>,
}

/// The capacity of one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineCapacity {
    /// The number of streams that the engine runs at once.
    pub slots: u32,
    /// The number of tokens that fit into the engine's KV cache.
    pub memory_tokens: u64,
}

/// The load of a service at one moment, at one router or at all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// Streams in progress.
    pub streams: u64,
    /// Tokens that streams in progress hold or will hold in engines' KV caches, including replicas.
    pub memory_tokens: u64,
}

impl ServiceLoad {
    /// The number of engines that the load fills, by slots or by KV cache, whichever is more.
    pub fn in_engines(self, capacity: EngineCapacity) -> f64 {
        let by_slots = self.streams as f64 / f64::from(capacity.slots.max(1));
        let by_memory = self.memory_tokens as f64 / capacity.memory_tokens.max(1) as f64;
        by_slots.max(by_memory)
    }
}

/// How an engine is billed, and whether the provider may reclaim it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EngineKind {
    /// The engine runs until an order releases it.
    OnDemand,
    /// Cheaper; the provider may reclaim all engines of this kind in a data centre at once.
    Spot,
}

/// Numbers of engines of one data centre, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Engines {
    /// The number of on-demand engines.
    pub on_demand: u32,
    /// The number of spot engines.
    pub spot: u32,
}

impl Engines {
    fn total(self) -> u32 {
        self.on_demand.saturating_add(self.spot)
    }

    fn of(self, kind: EngineKind) -> u32 {
        match kind {
            EngineKind::OnDemand => self.on_demand,
            EngineKind::Spot => self.spot,
        }
    }
}

/// The number of engines that each data centre should hold, by kind.
pub type EnginePlan = BTreeMap<DataCentre, Engines>;

/// An order to the platform for one kind of engines in one data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineOrder {
    /// The data centre that the order is for.
    pub data_centre: DataCentre,
    /// The kind of engines that the order sets the number of.
    pub kind: EngineKind,
    /// The number of engines of this kind that the data centre should hold, not the difference.
    pub count: u32,
}

/// The platform's response to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderResult {
    /// The order is accepted and replaces the earlier one.
    Accepted,
    /// The data centre has no engines of this kind available now.
    #[serde(rename = "none-to-be-had")]
    Unavailable,
}

/// Plans the engines of one service.
#[derive(Clone, Debug)]
pub struct Autoscaler {
    bounds: ScalingBounds,
    /// The last accepted order of each data centre, or the engines found there before any order.
    ordered: EnginePlan,
    /// The number of engines of all data centres at the creation of this planner.
    initial_total: u32,
    /// When a load above 0 was first recorded.
    first_load_at: Option<Instant>,
    /// Peak loads as numbers of engines, the oldest first; each is higher than all after it.
    peaks: VecDeque<(Instant, f64)>,
    /// When an accepted order last kept or raised the number of engines of a data centre.
    last_growth: BTreeMap<DataCentre, Instant>,
    /// Data centres whose last order of spot engines was refused.
    spot_refusals: BTreeMap<DataCentre, SpotRefusals>,
}

/// The first and the last refusal of spot engines by a data centre since it last accepted an order of
/// them.
#[derive(Clone, Copy, Debug)]
struct SpotRefusals {
    first: Instant,
    last: Instant,
}

impl Autoscaler {
    /// Creates a planner without any recorded load. `ordered` is the plan of the lease's previous holder,
    /// or the engines that the data centres hold if there is none.
    pub fn new(bounds: ScalingBounds, ordered: EnginePlan) -> Self {
        Self {
            bounds,
            initial_total: ordered.values().map(|engines| engines.total()).sum(),
            ordered,
            first_load_at: None,
            peaks: VecDeque::new(),
            last_growth: BTreeMap::new(),
            spot_refusals: BTreeMap::new(),
        }
    }

    /// Replaces the operator's bounds, which the next orders follow.
    pub fn set_bounds(&mut self, bounds: ScalingBounds) {
        self.bounds = bounds;
    }

    /// The last accepted order of each data centre, or the engines found there before any order.
    pub fn ordered(&self) -> &EnginePlan {
        &self.ordered
    }

    /// The highest load of the last [`PEAK_WINDOW`], as a number of engines.
    pub fn peak(&self) -> f64 {
        self.peaks.front().map_or(0.0, |(_, load)| *load)
    }

    /// Records the present load, as a number of engines that it fills.
    pub fn on_load(&mut self, load: f64, now: Instant) {
        if load > 0.0 {
            self.first_load_at.get_or_insert(now);
        }
        while self.peaks.back().is_some_and(|(_, peak)| *peak <= load) {
            self.peaks.pop_back();
        }
        self.peaks.push_back((now, load));
        let is_old = |at: Instant| now.saturating_duration_since(at) > PEAK_WINDOW;
        while self.peaks.front().is_some_and(|(at, _)| is_old(*at)) {
            self.peaks.pop_front();
        }
    }

    /// Records the platform's response to an order.
    pub fn on_result(&mut self, order: &EngineOrder, result: OrderResult, now: Instant) {
        let data_centre = &order.data_centre;
        if result == OrderResult::Unavailable {
            if order.kind == EngineKind::Spot {
                let refusals = SpotRefusals {
                    first: now,
                    last: now,
                };
                let refusal_entry = self.spot_refusals.entry(data_centre.clone());
                refusal_entry.or_insert(refusals).last = now;
            }
            return;
        }
        let engines = self.ordered.entry(data_centre.clone()).or_default();
        if order.count >= engines.of(order.kind) {
            self.last_growth.insert(data_centre.clone(), now);
        }
        match order.kind {
            EngineKind::OnDemand => engines.on_demand = order.count,
            EngineKind::Spot => {
                engines.spot = order.count;
                self.spot_refusals.remove(data_centre);
            }
        }
    }

    /// The orders that are due now. `listed` is the number of engines in the list of upstreams, by data
    /// centre.
    pub fn orders(&self, listed: &BTreeMap<DataCentre, u32>, now: Instant) -> Vec<EngineOrder> {
        let required_engines = self.required_engines(now);
        let mut due = Vec::new();
        for (data_centre, ordered) in &self.ordered {
            // A data centre that is not in the list has no listed engines.
            let listed = listed.get(data_centre).copied().unwrap_or(0);
            let target = self.target_engines(data_centre, required_engines, *ordered, listed, now);
            due.extend(self.spot_order(data_centre, *ordered, target, listed, now));
            due.extend(self.on_demand_order(data_centre, *ordered, target, listed));
        }
        due
    }

    /// The number of engines that each data centre should hold, of both kinds together.
    fn required_engines(&self, now: Instant) -> u32 {
        let data_centres = self.ordered.len().max(1) as f64;
        let needed = self.peak() / TARGET_UTILISATION;
        // After the loss of one data centre the others still hold the needed engines.
        let required_engines = needed / (data_centres - 1.0).max(1.0);
        let minimum = if self.has_full_peak_window(now) {
            0.0
        } else {
            // The operator may have chosen the present number of engines for an expected load, so the
            // plan does not go below that number before a whole window of load is recorded.
            f64::from(self.initial_total) / data_centres
        };
        let required_engines = required_engines.max(minimum).ceil() as u32;
        required_engines.clamp(self.bounds.min.min(self.bounds.max), self.bounds.max)
    }

    fn has_full_peak_window(&self, now: Instant) -> bool {
        self.first_load_at
            .is_some_and(|since| now.saturating_duration_since(since) > PEAK_WINDOW)
    }

    /// The engines that a data centre should hold, by kind: `required_engines` in total, plus on-demand
    /// engines that replace unlisted spot engines during a long shortage.
    fn target_engines(
        &self,
        data_centre: &DataCentre,
        required_engines: u32,
        ordered: Engines,
        listed: u32,
        now: Instant,
    ) -> Engines {
        let is_spot_cheaper = self.bounds.spot_price.is_some_and(|price| price < 1.0);
        if !is_spot_cheaper {
            return Engines {
                on_demand: required_engines,
                spot: 0,
            };
        }
        let on_demand = (f64::from(required_engines) * ON_DEMAND_FRACTION).ceil() as u32;
        let on_demand = on_demand.max(self.bounds.min).min(required_engines);
        let spot = required_engines - on_demand;
        let refusals = self.spot_refusals.get(data_centre);
        if refusals
            .is_some_and(|r| now.saturating_duration_since(r.first) > SPOT_SHORTAGE_TOLERANCE)
        {
            let listed_spot = listed.saturating_sub(ordered.on_demand);
            let on_demand = required_engines.saturating_sub(listed_spot).max(on_demand);
            return Engines { on_demand, spot };
        }
        Engines { on_demand, spot }
    }

    fn spot_order(
        &self,
        data_centre: &DataCentre,
        ordered: Engines,
        target: Engines,
        listed: u32,
        now: Instant,
    ) -> Option<EngineOrder> {
        if let Some(refusals) = self.spot_refusals.get(data_centre) {
            let is_due = now.saturating_duration_since(refusals.last) >= SPOT_RETRY_INTERVAL;
            let count = target.spot.min(self.spot_capacity(ordered));
            return (is_due && count > 0).then(|| order(data_centre, EngineKind::Spot, count));
        }
        let count = target.spot.min(self.spot_capacity(ordered));
        let lacks_engines = count > 0 && self.lacks_engines(data_centre, ordered, listed, now);
        let is_due = lacks_engines
            || match count.cmp(&ordered.spot) {
                Ordering::Equal => false,
                Ordering::Greater => exceeds_min_change(ordered, ordered.spot, count),
                Ordering::Less => {
                    exceeds_min_change(ordered, ordered.spot, count)
                        && !self.grew_recently(data_centre, now)
                }
            };
        is_due.then(|| order(data_centre, EngineKind::Spot, count))
    }

    fn spot_capacity(&self, ordered: Engines) -> u32 {
        self.bounds.max.saturating_sub(ordered.on_demand)
    }

    fn on_demand_order(
        &self,
        data_centre: &DataCentre,
        ordered: Engines,
        target: Engines,
        listed: u32,
    ) -> Option<EngineOrder> {
        let count = target.on_demand;
        let is_due = match count.cmp(&ordered.on_demand) {
            Ordering::Equal => false,
            Ordering::Greater => true,
            // Only when the spot engines that replace them are listed.
            Ordering::Less => {
                let replaced = target.spot.min(self.spot_capacity(ordered)) <= ordered.spot;
                replaced && !is_below_ordered(ordered.total(), listed)
            }
        };
        let is_due = is_due && exceeds_min_change(ordered, ordered.on_demand, count);
        is_due.then(|| order(data_centre, EngineKind::OnDemand, count))
    }

    /// Whether engines are not listed although their order is old enough for them to have started.
    fn lacks_engines(
        &self,
        data_centre: &DataCentre,
        ordered: Engines,
        listed: u32,
        now: Instant,
    ) -> bool {
        let starting = self.bounds.boot + LISTING_DELAY;
        let is_starting = self
            .last_growth
            .get(data_centre)
            .is_some_and(|at| now.saturating_duration_since(*at) < starting);
        ordered.spot > 0 && !is_starting && is_below_ordered(ordered.total(), listed)
    }

    fn grew_recently(&self, data_centre: &DataCentre, now: Instant) -> bool {
        self.last_growth
            .get(data_centre)
            .is_some_and(|at| now.saturating_duration_since(*at) < PEAK_WINDOW)
    }
}

fn is_below_ordered(ordered: u32, listed: u32) -> bool {
    f64::from(listed) < f64::from(ordered) * (1.0 - MIN_CHANGE_FRACTION)
}

/// Whether changing the number of one kind of engines from `current` to `target` is worth an order.
fn exceeds_min_change(ordered: Engines, current: u32, target: u32) -> bool {
    f64::from(current.abs_diff(target)) > f64::from(ordered.total()) * MIN_CHANGE_FRACTION
}

fn order(data_centre: &DataCentre, kind: EngineKind, count: u32) -> EngineOrder {
    EngineOrder {
        data_centre: data_centre.clone(),
        kind,
        count,
    }
}
