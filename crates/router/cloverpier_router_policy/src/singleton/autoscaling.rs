//! How many engines each data centre should hold.
//!
//! - **Question.** How many engines of a service are ordered in each data centre, on demand and spot?
//! - **Inputs.** The streams in progress at all routers and the KV cache that they take; the
//!   operator's bounds and prices; how long an engine takes to start; which data centres have no spot
//!   engines to be had, and which engines are there.
//! - **Answer.** A [`Plan`]: two numbers for each data centre.
//! - **Why.** Every engine is paid for by the second, and a caller who is turned away costs more than
//!   the engines that would have served it. The load that counts is the highest of the last
//!   [`PEAK_WINDOW`]: an engine takes seconds to start, longer than callers wait. So few engines are
//!   ordered that the loss of any one data centre leaves enough for that load at
//!   [`TARGET_UTILISATION`]; spot engines of a data centre are taken away all at once, which is no worse.
//!   So spot engines carry most of it where they are cheaper, and some on demand are held everywhere.
//!   A data centre that has no spot engines to give is the one whose loss was planned for: only if that
//!   lasts longer than [`SHORTAGE`] are engines on demand ordered there in their place.
//!
//! The plan grows at once and shrinks only when it has been smaller for [`PEAK_WINDOW`], so no order is
//! taken back by the next one. On-demand engines are let go only when the spot engines that replace
//! them are there.
//!
//! [`Autoscaler`] owns the load of the recent past and the orders in force.

use cloverpier_core::DataCentre;
use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// The part of the engines' slots and KV cache that the highest load takes after the loss of a data
/// centre. The prompts of the streams that were lost are read again beside the running ones: with more
/// of them, callers wait longer for that than for a new stream.
const TARGET_UTILISATION: f64 = 0.55;
/// The highest load of this time counts: longer than engines take to start, and than most waves of the
/// load last.
const PEAK_WINDOW: Duration = Duration::from_secs(20);
/// The part of the engines of a data centre that is held on demand where spot engines are cheaper.
const ON_DEMAND_PART: f64 = 0.1;
/// A difference below this part of the engines of a data centre is not worth an order.
const LEAST_CHANGE: f64 = 0.1;
/// A shortage of spot engines that is over sooner is not worth engines on demand, which take some of
/// that time to start.
const SHORTAGE: Duration = Duration::from_secs(10);
/// A data centre that had no spot engines to give is asked again after this time.
pub const SPOT_RETRY: Duration = Duration::from_secs(2);
/// Beyond the time that an engine takes to start: the heartbeat that lists it.
const LISTING_TIME: Duration = Duration::from_secs(2);

/// The operator's bounds and prices for one service.
#[derive(Clone, Debug, PartialEq)]
pub struct ScalingBounds {
    /// Engines that a data centre holds at least, of both kinds together.
    pub min: u32,
    /// And at most.
    pub max: u32,
    /// How long an engine takes to start.
    pub boot: Duration,
    /// The price of a spot engine as a part of that of one on demand; `None` where there are none.
    pub spot_price: Option<f64>,
    /// The price of an engine on demand, by data centre.
    pub prices: BTreeMap<DataCentre, f64>,
}

/// What an engine holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineSize {
    /// Streams that it runs at once.
    pub slots: u32,
    /// Tokens that fit into its KV cache.
    pub memory_tokens: u64,
}

/// The load of a service at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// Streams in progress, and those that were turned away as all engines were full.
    pub streams: u64,
    /// Tokens in engines' KV caches, or to come there, those of replicas among them.
    pub memory_tokens: u64,
}

impl ServiceLoad {
    /// The load as a number of engines that it would fill.
    pub fn in_engines(self, size: EngineSize) -> f64 {
        let by_slots = self.streams as f64 / f64::from(size.slots.max(1));
        let by_memory = self.memory_tokens as f64 / size.memory_tokens.max(1) as f64;
        by_slots.max(by_memory)
    }
}

/// The kind of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EngineKind {
    /// It stays until it is let go.
    OnDemand,
    /// Cheaper; all of a data centre may be taken away at once.
    Spot,
}

/// Engines of one data centre, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Engines {
    /// On demand.
    pub on_demand: u32,
    /// Spot.
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

/// The engines that each data centre should hold.
pub type Plan = BTreeMap<DataCentre, Engines>;

/// An order for one data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The data centre.
    pub data_centre: DataCentre,
    /// Which engines.
    pub kind: EngineKind,
    /// How many it should hold.
    pub count: u32,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderResult {
    /// It is in force.
    Accepted,
    /// None can be had there now.
    NoneToBeHad,
}

/// Plans the engines of one service.
#[derive(Clone, Debug)]
pub struct Autoscaler {
    bounds: ScalingBounds,
    /// What each data centre was ordered to hold, or held when nothing was ordered yet.
    in_force: Plan,
    /// Engines of all data centres when nothing was ordered yet.
    first_total: u32,
    /// When the first load was seen.
    loaded_since: Option<Instant>,
    /// The highest loads, in engines, the latest last: each is higher than those after it.
    peaks: VecDeque<(Instant, f64)>,
    /// When a data centre was last ordered to hold more, or the same once more.
    grown: BTreeMap<DataCentre, Instant>,
    /// Data centres that have no spot engines to give.
    without_spot: BTreeMap<DataCentre, Refused>,
}

/// When spot engines were refused.
#[derive(Clone, Copy, Debug)]
struct Refused {
    first: Instant,
    last: Instant,
}

impl Autoscaler {
    /// A planner that has seen no load yet, where the data centres hold this many engines, or were
    /// ordered to hold them by the former holder of the lease.
    pub fn new(bounds: ScalingBounds, in_force: Plan) -> Self {
        Self {
            bounds,
            first_total: in_force.values().map(|engines| engines.total()).sum(),
            in_force,
            loaded_since: None,
            peaks: VecDeque::new(),
            grown: BTreeMap::new(),
            without_spot: BTreeMap::new(),
        }
    }

    /// Puts other bounds in force.
    pub fn set_bounds(&mut self, bounds: ScalingBounds) {
        self.bounds = bounds;
    }

    /// What the data centres are ordered to hold.
    pub fn in_force(&self) -> &Plan {
        &self.in_force
    }

    /// The highest load of the last [`PEAK_WINDOW`], in engines.
    pub fn peak(&self) -> f64 {
        self.peaks.front().map_or(0.0, |(_, load)| *load)
    }

    /// Records the present load, in engines that it would fill.
    pub fn on_load(&mut self, load: f64, now: Instant) {
        if load > 0.0 {
            self.loaded_since.get_or_insert(now);
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

    /// Records what became of an order.
    pub fn on_result(&mut self, order: &Order, result: OrderResult, now: Instant) {
        let data_centre = &order.data_centre;
        if result == OrderResult::NoneToBeHad {
            if order.kind == EngineKind::Spot {
                let refused = Refused {
                    first: now,
                    last: now,
                };
                let known = self.without_spot.entry(data_centre.clone());
                known.or_insert(refused).last = now;
            }
            return;
        }
        let engines = self.in_force.entry(data_centre.clone()).or_default();
        if order.count >= engines.of(order.kind) {
            self.grown.insert(data_centre.clone(), now);
        }
        match order.kind {
            EngineKind::OnDemand => engines.on_demand = order.count,
            EngineKind::Spot => {
                engines.spot = order.count;
                self.without_spot.remove(data_centre);
            }
        }
    }

    /// The orders that are due, where this many engines are listed in each data centre.
    pub fn orders(&self, listed: &BTreeMap<DataCentre, u32>, now: Instant) -> Vec<Order> {
        let share = self.share(now);
        let mut due = Vec::new();
        for (data_centre, held) in &self.in_force {
            // None are listed in a data centre that the list does not name.
            let listed = listed.get(data_centre).copied().unwrap_or(0);
            let wanted = self.wanted(data_centre, share, *held, listed, now);
            due.extend(self.spot_order(data_centre, *held, wanted, listed, now));
            due.extend(self.on_demand_order(data_centre, *held, wanted, listed));
        }
        due
    }

    /// Engines that each data centre should hold.
    fn share(&self, now: Instant) -> u32 {
        let data_centres = self.in_force.len().max(1) as f64;
        let needed = self.peak() / TARGET_UTILISATION;
        // The loss of one of them leaves what is needed.
        let share = needed / (data_centres - 1.0).max(1.0);
        let least = if self.has_seen_enough(now) {
            0.0
        } else {
            // What is there was chosen by somebody who may have known the load.
            f64::from(self.first_total) / data_centres
        };
        let share = share.max(least).ceil() as u32;
        share.clamp(self.bounds.min.min(self.bounds.max), self.bounds.max)
    }

    fn has_seen_enough(&self, now: Instant) -> bool {
        self.loaded_since
            .is_some_and(|since| now.saturating_duration_since(since) > PEAK_WINDOW)
    }

    /// Both kinds, where a data centre is to hold `share` of them.
    fn wanted(
        &self,
        data_centre: &DataCentre,
        share: u32,
        held: Engines,
        listed: u32,
        now: Instant,
    ) -> Engines {
        let is_spot_cheaper = self.bounds.spot_price.is_some_and(|price| price < 1.0);
        if !is_spot_cheaper {
            return Engines {
                on_demand: share,
                spot: 0,
            };
        }
        let on_demand = (f64::from(share) * ON_DEMAND_PART).ceil() as u32;
        let on_demand = on_demand.max(self.bounds.min).min(share);
        let spot = share - on_demand;
        let refused = self.without_spot.get(data_centre);
        if refused.is_some_and(|r| now.saturating_duration_since(r.first) > SHORTAGE) {
            let spot_there = listed.saturating_sub(held.on_demand);
            let on_demand = share.saturating_sub(spot_there).max(on_demand);
            return Engines { on_demand, spot };
        }
        Engines { on_demand, spot }
    }

    fn spot_order(
        &self,
        data_centre: &DataCentre,
        held: Engines,
        wanted: Engines,
        listed: u32,
        now: Instant,
    ) -> Option<Order> {
        if let Some(refused) = self.without_spot.get(data_centre) {
            let is_due = now.saturating_duration_since(refused.last) >= SPOT_RETRY;
            let count = wanted.spot.min(self.room_for_spot(held));
            return (is_due && count > 0).then(|| order(data_centre, EngineKind::Spot, count));
        }
        let count = wanted.spot.min(self.room_for_spot(held));
        let is_missing = count > 0 && self.is_missing(data_centre, held, listed, now);
        let is_due = is_missing
            || match count.cmp(&held.spot) {
                Ordering::Equal => false,
                Ordering::Greater => is_worth_it(held, held.spot, count),
                Ordering::Less => {
                    is_worth_it(held, held.spot, count) && !self.grew_lately(data_centre, now)
                }
            };
        is_due.then(|| order(data_centre, EngineKind::Spot, count))
    }

    fn room_for_spot(&self, held: Engines) -> u32 {
        self.bounds.max.saturating_sub(held.on_demand)
    }

    fn on_demand_order(
        &self,
        data_centre: &DataCentre,
        held: Engines,
        wanted: Engines,
        listed: u32,
    ) -> Option<Order> {
        let count = wanted.on_demand;
        let is_due = match count.cmp(&held.on_demand) {
            Ordering::Equal => false,
            Ordering::Greater => true,
            // What replaces them is there.
            Ordering::Less => {
                let replaced = wanted.spot.min(self.room_for_spot(held)) <= held.spot;
                replaced && !is_short(held.total(), listed)
            }
        };
        let is_due = is_due && is_worth_it(held, held.on_demand, count);
        is_due.then(|| order(data_centre, EngineKind::OnDemand, count))
    }

    /// Whether engines that were ordered long enough ago are not listed.
    fn is_missing(
        &self,
        data_centre: &DataCentre,
        held: Engines,
        listed: u32,
        now: Instant,
    ) -> bool {
        let starting = self.bounds.boot + LISTING_TIME;
        let is_starting = self
            .grown
            .get(data_centre)
            .is_some_and(|at| now.saturating_duration_since(*at) < starting);
        held.spot > 0 && !is_starting && is_short(held.total(), listed)
    }

    fn grew_lately(&self, data_centre: &DataCentre, now: Instant) -> bool {
        self.grown
            .get(data_centre)
            .is_some_and(|at| now.saturating_duration_since(*at) < PEAK_WINDOW)
    }
}

fn is_short(held: u32, listed: u32) -> bool {
    f64::from(listed) < f64::from(held) * (1.0 - LEAST_CHANGE)
}

/// Whether an order of `wanted` engines of a kind in place of `present` ones is worth its call.
fn is_worth_it(held: Engines, present: u32, wanted: u32) -> bool {
    f64::from(present.abs_diff(wanted)) > f64::from(held.total()) * LEAST_CHANGE
}

fn order(data_centre: &DataCentre, kind: EngineKind, count: u32) -> Order {
    Order {
        data_centre: data_centre.clone(),
        kind,
        count,
    }
}
