//! Silences of sound upstreams, drawn from a seed: of one, of some, of all at once, one soon after the other, and what
//! goes on beside them.

use super::plan::{Action, Injection, Size};
use cloverpier_router_standin::store::StoreFault;
use std::time::Duration;

/// Silences of the same upstreams that follow one another, at most.
const MOST_IN_SERIES: usize = 3;
/// What else happens during one silence, at most.
const MOST_BESIDE: usize = 3;

/// What an upstream does during its silence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Silence {
    /// It answers questions, and sends nothing for requests.
    Answering,
    /// Nothing that is sent to it or by it arrives.
    Frozen,
}

impl Silence {
    fn of(self, upstream: usize) -> Action {
        match self {
            Self::Answering => Action::PauseWork(upstream),
            Self::Frozen => Action::PauseUpstream(upstream),
        }
    }
}

/// Draws silences from random numbers of their own: what others draw from a seed stays the same.
pub fn draw_silences(rng: &mut fastrand::Rng, size: Size, length: Duration) -> Vec<Injection> {
    let mut injections = Vec::new();
    let mut at = Duration::from_millis(rng.u64(300..900));
    while at < length {
        at = draw_series(rng, size, at, &mut injections);
        at += Duration::from_millis(rng.u64(300..1_200));
    }
    injections
}

/// Draws silences of the same upstreams, one soon after the other; returns when the last one ends.
fn draw_series(
    rng: &mut fastrand::Rng,
    size: Size,
    mut at: Duration,
    injections: &mut Vec<Injection>,
) -> Duration {
    let upstreams = draw_upstreams(rng, size);
    let silence = if rng.bool() {
        Silence::Answering
    } else {
        Silence::Frozen
    };
    for _ in 0..rng.usize(1..=MOST_IN_SERIES) {
        let lasts = draw_length(rng);
        injections.extend(upstreams.iter().map(|upstream| Injection {
            at,
            lasts,
            action: silence.of(*upstream),
        }));
        for _ in 0..rng.usize(0..=MOST_BESIDE) {
            injections.push(Injection {
                at: at + lasts.mul_f64(rng.f64()),
                lasts: Duration::from_millis(rng.u64(200..2_500)),
                action: draw_beside(rng, size),
            });
        }
        at += lasts + Duration::from_millis(rng.u64(50..600));
    }
    at
}

/// Which upstreams are silent together.
fn draw_upstreams(rng: &mut fastrand::Rng, size: Size) -> Vec<usize> {
    let all = size.engines + size.plain;
    match rng.u8(..5) {
        0 => vec![rng.usize(..all)],
        1 => {
            let share = 0.3 + 0.5 * rng.f64();
            (0..all).filter(|_| rng.f64() < share).collect()
        }
        2 => (0..size.engines).collect(),
        _ => (0..all).collect(),
    }
}

/// How long a silence lasts: half of them are short.
fn draw_length(rng: &mut fastrand::Rng) -> Duration {
    let ms = if rng.bool() {
        rng.u64(200..1_200)
    } else {
        rng.u64(1_000..4_000)
    };
    Duration::from_millis(ms)
}

/// What happens during a silence.
fn draw_beside(rng: &mut fastrand::Rng, size: Size) -> Action {
    let router = rng.usize(..size.routers);
    let upstream = rng.usize(..size.engines + size.plain);
    match rng.u8(..10) {
        0 | 1 => Action::ChangeConfiguration,
        2 | 3 => Action::ChangeTimeouts,
        4 => Action::ReloadRouter(router),
        5 => Action::StopRouter(router),
        6 => Action::KillRouter(router),
        7 => Action::FreezeRouter(router),
        8 => Action::CrashUpstream(upstream),
        _ => Action::StoreFault(StoreFault::Silent),
    }
}
