//! Load that is more than the engines of a site can serve, drawn from a seed: an account that floods, less urgent
//! streams that burst, engines that turn slow, and routers that end meanwhile.

use super::plan::{Action, Injection, Size};
use cloverpier_adapter::platform_wire_names;
use cloverpier_adapter_standin::engine_shape;
use cloverpier_router_standin::upstream::EngineSpec;
use std::time::Duration;

/// Prompt tokens that a stand-in engine reads in a millisecond: a stream's prompt takes it a tenth of a second.
const TOKENS_PER_MS: f64 = 10.0;
/// Tokens that its memory holds: about ten streams.
const MEMORY_TOKENS: u32 = 14_000;
/// Requests that wait at an engine at most.
const MAX_WAITING: usize = 25;

/// The engines of a site under load.
pub fn engine_spec() -> EngineSpec {
    EngineSpec {
        shape: engine_shape(),
        token_counts: platform_wire_names().token_counts,
        tokens_per_ms: TOKENS_PER_MS,
        memory_tokens: MEMORY_TOKENS,
        max_waiting: MAX_WAITING,
        states_pace: true,
    }
}

/// Draws a flood that lasts longer than half of the run, from random numbers of its own, and what goes on beside it.
pub fn draw_load(rng: &mut fastrand::Rng, size: Size, length: Duration) -> Vec<Injection> {
    let flood = Injection {
        at: Duration::from_millis(rng.u64(300..1_000)),
        lasts: length.mul_f64(0.5 + rng.f64() * 0.2),
        action: Action::Flood(rng.u32(60..160)),
    };
    let mut injections = draw_router_ends(rng, size, &flood);
    if rng.bool() {
        injections.push(Injection {
            at: length.mul_f64(rng.f64() / 2.0),
            lasts: Duration::from_millis(rng.u64(1_000..4_000)),
            action: Action::Burst(rng.u32(40..100)),
        });
    }
    for _ in 0..rng.usize(1..=size.engines.div_ceil(2)) {
        injections.push(Injection {
            at: length.mul_f64(rng.f64() * 0.7),
            lasts: Duration::from_millis(rng.u64(1_000..6_000)),
            action: Action::SlowDown(rng.usize(..size.engines), rng.u32(200..600)),
        });
    }
    injections.push(flood);
    injections
}

/// A router or two that are stopped or killed while many requests wait there.
fn draw_router_ends(rng: &mut fastrand::Rng, size: Size, flood: &Injection) -> Vec<Injection> {
    let mut ends = Vec::new();
    for _ in 0..rng.usize(1..=2) {
        let router = rng.usize(..size.routers);
        let action = if rng.bool() {
            Action::StopRouter(router)
        } else {
            Action::KillRouter(router)
        };
        ends.push(Injection {
            at: flood.at + flood.lasts.mul_f64(0.2 + rng.f64() * 0.7),
            lasts: Duration::from_millis(rng.u64(200..2_500)),
            action,
        });
    }
    ends
}
