//! Orders of engines under simulated loads (steady, a wave, a burst), while data centres crash or spot
//! engines are reclaimed.

use cloverpier_core::DataCentre;
use cloverpier_router_policy::singleton::autoscaling::{
    Autoscaler, EngineCapacity, EngineKind, EngineOrder, EnginePlan, Engines, OrderResult,
    ScalingBounds, ServiceLoad,
};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

const DATA_CENTRES: [&str; 4] = ["north", "east", "south", "west"];
const INITIAL_ENGINES: u32 = 45;
const BOOT_S: u64 = 4;

fn bounds() -> ScalingBounds {
    ScalingBounds {
        min: 1,
        max: 92,
        boot: Duration::from_secs(BOOT_S),
        spot_price: Some(0.22),
        prices: BTreeMap::new(),
    }
}

/// The engines of one data centre, and the engines that start there.
#[derive(Clone, Debug, Default)]
struct DataCentreState {
    engines: Engines,
    /// Whether the data centre refuses orders of spot engines.
    has_spot_shortage: bool,
    starting: Vec<(u64, u32)>,
}

/// A platform that carries out all orders, simulated in steps of a second.
struct SimulatedPlatform {
    scaler: Autoscaler,
    start: Instant,
    second: u64,
    data_centres: BTreeMap<DataCentre, DataCentreState>,
    orders: Vec<(u64, EngineOrder)>,
    /// The price of all engines so far, in seconds of one on-demand engine.
    cost: f64,
}

impl SimulatedPlatform {
    fn new(bounds: ScalingBounds) -> Self {
        let on_demand = Engines {
            on_demand: INITIAL_ENGINES,
            spot: 0,
        };
        let plan: EnginePlan = DATA_CENTRES
            .iter()
            .map(|dc| (DataCentre::new(dc), on_demand))
            .collect();
        let data_centres = plan.keys().map(|dc| {
            let state = DataCentreState {
                engines: on_demand,
                ..DataCentreState::default()
            };
            (dc.clone(), state)
        });
        Self {
            data_centres: data_centres.collect(),
            scaler: Autoscaler::new(bounds, plan),
            start: Instant::now(),
            second: 0,
            orders: Vec::new(),
            cost: 0.0,
        }
    }

    /// Simulates a second under a load, as a number of engines that it fills.
    fn step(&mut self, load: f64) {
        self.second += 1;
        let now = self.start + Duration::from_secs(self.second);
        for state in self.data_centres.values_mut() {
            let second = self.second;
            for (_, count) in state.starting.extract_if(.., |(at, _)| *at <= second) {
                state.engines.spot += count;
            }
            let Engines { on_demand, spot } = state.engines;
            self.cost += f64::from(on_demand) + 0.22 * f64::from(spot);
        }
        self.scaler.on_load(load, now);
        let listed = self.data_centres.iter();
        let listed = listed.map(|(dc, h)| (dc.clone(), h.engines.on_demand + h.engines.spot));
        let due = self.scaler.orders(&listed.collect(), now);
        for order in due {
            let result = self.apply(&order);
            self.scaler.on_result(&order, result, now);
            self.orders.push((self.second, order));
        }
    }

    fn apply(&mut self, order: &EngineOrder) -> OrderResult {
        let state = self.data_centres.get_mut(&order.data_centre).unwrap();
        match order.kind {
            EngineKind::OnDemand => state.engines.on_demand = order.count,
            EngineKind::Spot if state.has_spot_shortage => return OrderResult::Unavailable,
            EngineKind::Spot => {
                let starting: u32 = state.starting.iter().map(|(_, count)| count).sum();
                let more = order.count.saturating_sub(state.engines.spot + starting);
                state.engines.spot = state.engines.spot.min(order.count);
                state.starting.push((self.second + BOOT_S, more));
            }
        }
        OrderResult::Accepted
    }

    fn total(&self) -> u32 {
        let state = self.data_centres.values();
        state.map(|h| h.engines.on_demand + h.engines.spot).sum()
    }

    /// Engines that remain after the loss of the largest data centre.
    fn total_without_largest(&self) -> u32 {
        let of = |h: &DataCentreState| h.engines.on_demand + h.engines.spot;
        self.total() - self.data_centres.values().map(of).max().unwrap_or(0)
    }

    fn orders_since(&self, second: u64) -> Vec<&(u64, EngineOrder)> {
        self.orders.iter().filter(|(at, _)| *at > second).collect()
    }
}

#[test]
fn without_load_the_number_of_engines_stays_and_spot_engines_replace_on_demand_ones() {
    let mut platform = SimulatedPlatform::new(bounds());
    for _ in 0..30 {
        platform.step(0.0);
        assert!(
            platform.total() >= 4 * INITIAL_ENGINES * 9 / 10,
            "{}",
            platform.total()
        );
    }
    let spot: u32 = platform.data_centres.values().map(|h| h.engines.spot).sum();
    assert!(spot >= 4 * 40, "{spot} spot engines");
    let orders = platform.orders.len();
    assert!(orders <= 12, "{orders} orders");
}

#[test]
fn on_demand_engines_are_released_only_when_their_replacements_are_listed() {
    let mut platform = SimulatedPlatform::new(bounds());
    for _ in 0..10 {
        platform.step(60.0);
        assert!(
            platform.total() >= 4 * INITIAL_ENGINES * 9 / 10,
            "{}",
            platform.total()
        );
    }
}

#[test]
fn a_steady_load_has_enough_engines_after_the_loss_of_a_data_centre_and_few_more() {
    let mut platform = SimulatedPlatform::new(bounds());
    for _ in 0..60 {
        platform.step(50.0);
        // After the loss, at most six tenths of the remaining engines are filled.
        assert!(
            platform.total_without_largest() >= 84,
            "too few engines after the loss of a data centre"
        );
    }
    assert!(platform.total() <= 135, "{}", platform.total());
    let late = platform.orders_since(40);
    assert!(late.is_empty(), "{late:?}");
}

/// How long the remaining engines process prompts after the loss of a data centre whose streams spread
/// over them evenly. `load` is the number of engines that all streams fill, `slots` the number of
/// streams of an engine, and `prompt_time` the time that one prompt takes.
fn prompt_processing_time(
    load: f64,
    remaining: u32,
    slots: f64,
    prompt_time: Duration,
) -> Duration {
    let moved = load * slots / DATA_CENTRES.len() as f64;
    prompt_time.mul_f64(moved / f64::from(remaining))
}

#[test]
fn the_prompts_of_a_lost_data_centre_are_processed_again_within_the_objective() {
    let prompt_time = Duration::from_millis(1_040);
    let objective = Duration::from_millis(4_500);
    for load in [30.0, 70.0, 120.0] {
        let mut platform = SimulatedPlatform::new(bounds());
        for _ in 0..60 {
            platform.step(load);
        }
        let processing_time =
            prompt_processing_time(load, platform.total_without_largest(), 24.0, prompt_time);
        // The prompt of a new stream is processed after those of the lost streams.
        assert!(
            processing_time + prompt_time <= objective,
            "{load}: {processing_time:?}"
        );
    }
}

#[test]
fn a_wave_of_load_does_not_reduce_the_engines() {
    let mut platform = SimulatedPlatform::new(bounds());
    let load = |second: u64| 70.0 * (1.0 + 0.27 * (second as f64 * 0.571).sin());
    for second in 0..120 {
        platform.step(load(second));
        assert!(f64::from(platform.total_without_largest()) >= load(second));
    }
    let late = platform.orders_since(45);
    assert!(late.is_empty(), "{late:?}");
}

#[test]
fn a_higher_load_has_its_engines_after_one_start_time() {
    let mut platform = SimulatedPlatform::new(bounds());
    for _ in 0..60 {
        platform.step(50.0);
    }
    let before = platform.total();
    for _ in 0..BOOT_S + 2 {
        platform.step(110.0);
    }
    assert!(platform.total() > before);
    assert!(
        platform.total_without_largest() >= 110,
        "{}",
        platform.total()
    );
}

#[test]
fn a_short_shortage_of_spot_engines_causes_orders_only_in_its_data_centre() {
    let mut platform = SimulatedPlatform::new(bounds());
    for _ in 0..60 {
        platform.step(70.0);
    }
    let north = DataCentre::new("north");
    let state = platform.data_centres.get_mut(&north).unwrap();
    (state.engines.spot, state.has_spot_shortage) = (0, true);
    for _ in 0..8 {
        platform.step(75.0);
        // The plan allows for the loss of one data centre.
        assert!(platform.total() >= 75, "{}", platform.total());
    }
    platform
        .data_centres
        .get_mut(&north)
        .unwrap()
        .has_spot_shortage = false;
    for _ in 0..10 {
        platform.step(70.0);
    }
    assert!(platform.data_centres[&north].engines.spot > 0);
    let late_orders = platform.orders_since(60);
    assert!(late_orders.len() <= 6, "{late_orders:?}");
    assert!(
        late_orders
            .iter()
            .all(|(_, order)| order.data_centre == north)
    );
}

#[test]
fn spot_engines_unavailable_for_long_are_replaced_on_demand_until_they_return() {
    let mut platform = SimulatedPlatform::new(bounds());
    for _ in 0..60 {
        platform.step(70.0);
    }
    let north = DataCentre::new("north");
    let state = platform.data_centres.get_mut(&north).unwrap();
    (state.engines.spot, state.has_spot_shortage) = (0, true);
    for _ in 0..20 {
        platform.step(70.0);
    }
    assert!(
        platform.total_without_largest() >= 70,
        "{}",
        platform.total()
    );
    platform
        .data_centres
        .get_mut(&north)
        .unwrap()
        .has_spot_shortage = false;
    for _ in 0..40 {
        platform.step(70.0);
    }
    let engines = &platform.data_centres[&north].engines;
    assert!(engines.spot > 20 && engines.on_demand <= 5, "{engines:?}");
}

#[test]
fn running_spot_engines_stay_while_no_more_are_available() {
    let mut platform = SimulatedPlatform::new(bounds());
    for _ in 0..60 {
        platform.step(60.0);
    }
    for state in platform.data_centres.values_mut() {
        state.has_spot_shortage = true;
    }
    for _ in 0..30 {
        platform.step(90.0);
    }
    let on_demand = platform.data_centres.values().map(|h| h.engines.on_demand);
    let on_demand: u32 = on_demand.sum();
    assert!(
        platform.total_without_largest() >= 90,
        "{}",
        platform.total()
    );
    assert!(on_demand < 90, "{on_demand} on demand");
}

#[test]
fn spot_engines_that_are_not_cheaper_are_not_ordered() {
    for spot_price in [None, Some(1.0)] {
        let mut platform = SimulatedPlatform::new(ScalingBounds {
            spot_price,
            ..bounds()
        });
        for _ in 0..60 {
            platform.step(50.0);
        }
        let kinds = platform.orders.iter().map(|(_, order)| order.kind);
        assert!(kinds.clone().all(|kind| kind == EngineKind::OnDemand));
        assert!(platform.total_without_largest() >= 70);
        assert!(platform.total() <= 135, "{}", platform.total());
    }
}

#[test]
fn on_demand_engines_carry_the_load_if_no_spot_engines_are_available() {
    let mut platform = SimulatedPlatform::new(bounds());
    for state in platform.data_centres.values_mut() {
        state.has_spot_shortage = true;
    }
    for _ in 0..60 {
        platform.step(100.0);
        assert!(
            platform.total_without_largest() >= 100,
            "{}",
            platform.total()
        );
    }
}

#[test]
fn a_data_centre_that_crashes_for_a_second_causes_no_orders() {
    let mut platform = SimulatedPlatform::new(bounds());
    for _ in 0..60 {
        platform.step(70.0);
    }
    // The streams move to other engines, the load stays, and the engines remain listed for some seconds.
    for _ in 0..5 {
        platform.step(75.0);
    }
    assert!(platform.orders_since(60).is_empty());
}

#[test]
fn spot_engines_cost_less_than_half_of_the_initial_engines() {
    let mut platform = SimulatedPlatform::new(bounds());
    for _ in 0..60 {
        platform.step(70.0);
    }
    let initial_cost = 60.0 * 4.0 * f64::from(INITIAL_ENGINES);
    assert!(
        platform.cost < initial_cost / 2.0,
        "{} of {initial_cost}",
        platform.cost
    );
}

#[test]
fn the_scarcer_of_slots_and_memory_determines_the_load() {
    let size = EngineCapacity {
        slots: 24,
        memory_tokens: 55_000,
    };
    let load = |streams, memory_tokens| ServiceLoad {
        streams,
        memory_tokens,
    };
    assert!((load(48, 55_000).in_engines(size) - 2.0).abs() < 1e-9);
    assert!((load(24, 165_000).in_engines(size) - 3.0).abs() < 1e-9);
}
