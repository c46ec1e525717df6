//! What a soak does to a site, drawn from its seed.

use cloverpier_router_standin::ledger::Fault;
use cloverpier_router_standin::link::Harm;
use cloverpier_router_standin::store::StoreFault;
use std::time::Duration;

/// The size of a site under soak.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Routers, each a process.
    pub routers: usize,
    /// Model engines.
    pub engines: usize,
    /// Plain upstreams.
    pub plain: usize,
}

impl Size {
    /// A size drawn from a seed; some are large.
    pub fn draw(rng: &mut fastrand::Rng, most_routers: usize) -> Self {
        let is_large = rng.u8(..10) == 0;
        let routers = if is_large {
            most_routers
        } else {
            rng.usize(2..=5)
        };
        Self {
            routers: routers.min(most_routers),
            engines: rng.usize(3..=6),
            plain: rng.usize(2..=4),
        }
    }
}

/// One harm, and how long it lasts.
#[derive(Clone, Debug)]
pub struct Injection {
    /// When it begins, from the start of the load.
    pub at: Duration,
    /// How long it lasts.
    pub lasts: Duration,
    /// What it does.
    pub action: Action,
}

/// What is done.
#[derive(Clone, Debug)]
pub enum Action {
    /// A router is stopped as planned, and started again once it has ended.
    StopRouter(usize),
    /// A router is killed, and started again later.
    KillRouter(usize),
    /// A router stands still.
    FreezeRouter(usize),
    /// A router is told to read its settings again.
    ReloadRouter(usize),
    /// A router loses its way to the store.
    HarmStoreLink(usize, Harm),
    /// An upstream crashes and comes back under another name.
    CrashUpstream(usize),
    /// An upstream's link is harmed.
    HarmUpstreamLink(usize, Harm),
    /// An upstream's connections are reset.
    ResetConnections(usize),
    /// An upstream does something wrong with a share of its requests.
    UpstreamFault(usize, Fault),
    /// The store misbehaves.
    StoreFault(StoreFault),
    /// The store forgets its history.
    ForgetHistory,
    /// The configuration changes.
    ChangeConfiguration,
    /// An upstream crashes and starts again under its name.
    StartAgain(usize),
    /// An upstream says in its answers alone that it leaves, and ends then; another start follows.
    Leave(usize),
    /// An upstream turns requests away and says for how long it wants nothing.
    AskToWait(usize, Duration),
    /// An upstream names a limit of so many requests a second.
    Limit(usize, f64),
    /// An upstream stands still.
    PauseUpstream(usize),
    /// An upstream does no work on requests, and answers questions.
    PauseWork(usize),
    /// The time-outs of routes change.
    ChangeTimeouts,
    /// One client account sends so many streams a second beside all others.
    Flood(u32),
    /// So many less urgent streams a second come beside all others.
    Burst(u32),
    /// An engine takes so many percent of the usual time for its work.
    SlowDown(usize, u32),
    /// Upstreams of another version are added, and their service is ordered to move to them.
    RollOut(RolloutPlan),
}

/// A roll-out of a soak.
#[derive(Clone, Copy, Debug)]
pub struct RolloutPlan {
    /// Whether engines are rolled out, or plain upstreams.
    pub is_of_engines: bool,
    /// Whether the new version fails half of its requests.
    pub is_bad: bool,
    /// Its upstreams.
    pub upstreams: usize,
    /// How long the operator gives it.
    pub duration: Duration,
}

impl Action {
    /// Whether callers of the load carry it out.
    pub fn is_load(&self) -> bool {
        matches!(self, Self::Flood(_) | Self::Burst(_))
    }

    /// Its kind, for the report.
    pub fn name(&self) -> &'static str {
        match self {
            Self::StopRouter(_) => "router stopped",
            Self::KillRouter(_) => "router killed",
            Self::FreezeRouter(_) => "router frozen",
            Self::ReloadRouter(_) => "router reloaded",
            Self::HarmStoreLink(..) => "router's way to the store harmed",
            Self::CrashUpstream(_) => "upstream crashed",
            Self::HarmUpstreamLink(..) => "upstream's link harmed",
            Self::ResetConnections(_) => "connections reset",
            Self::UpstreamFault(..) => "upstream at fault",
            Self::StoreFault(_) => "store at fault",
            Self::ForgetHistory => "history forgotten",
            Self::ChangeConfiguration => "configuration changed",
            Self::StartAgain(_) => "upstream started again",
            Self::Leave(_) => "upstream left",
            Self::AskToWait(..) => "upstream wanted nothing",
            Self::Limit(..) => "upstream limited itself",
            Self::PauseUpstream(_) => "upstream paused",
            Self::PauseWork(_) => "upstream's work paused",
            Self::ChangeTimeouts => "time-outs changed",
            Self::Flood(_) => "account flooded",
            Self::Burst(_) => "less urgent streams burst",
            Self::SlowDown(..) => "engine turned slow",
            Self::RollOut(_) => "version rolled out",
        }
    }
}

/// Draws the harms of a run; they may overlap and come in series.
pub fn draw_injections(rng: &mut fastrand::Rng, size: Size, length: Duration) -> Vec<Injection> {
    let mut injections = Vec::new();
    let mut at = Duration::from_millis(500);
    while at < length {
        let action = draw_action(rng, size);
        let lasts = Duration::from_millis(rng.u64(200..2_500));
        let in_series = if rng.u8(..5) == 0 {
            rng.usize(2..=3)
        } else {
            1
        };
        for step in 0..in_series {
            let offset = Duration::from_millis(rng.u64(50..400)) * u32::try_from(step).unwrap_or(0);
            injections.push(Injection {
                at: at + offset,
                lasts,
                action: action.clone(),
            });
        }
        at += Duration::from_millis(rng.u64(100..900));
    }
    injections.sort_by_key(|i| i.at);
    injections
}

/// Draws what concerns versions and starts of upstreams, from random numbers of its own: what
/// [`draw_injections`] draws from a seed stays the same.
pub fn draw_versions(rng: &mut fastrand::Rng, size: Size, length: Duration) -> Vec<Injection> {
    let upstreams = size.engines + size.plain;
    let mut injections = Vec::new();
    for _ in 0..rng.usize(0..3) {
        injections.push(Injection {
            at: length.mul_f64(rng.f64()),
            lasts: Duration::from_millis(rng.u64(100..1_500)),
            action: Action::StartAgain(rng.usize(..upstreams)),
        });
    }
    if rng.bool() {
        let plan = RolloutPlan {
            is_of_engines: rng.bool(),
            is_bad: rng.bool(),
            upstreams: rng.usize(1..=3),
            duration: Duration::from_millis(rng.u64(3_000..8_000)),
        };
        injections.push(Injection {
            at: length.mul_f64(rng.f64() / 3.0),
            lasts: Duration::ZERO,
            action: Action::RollOut(plan),
        });
    }
    injections
}

/// Draws what upstreams say of themselves, from random numbers of its own likewise.
pub fn draw_statements(rng: &mut fastrand::Rng, size: Size, length: Duration) -> Vec<Injection> {
    let upstreams = size.engines + size.plain;
    let mut injections = Vec::new();
    for _ in 0..rng.usize(1..4) {
        let upstream = rng.usize(..upstreams);
        let action = if rng.bool() {
            Action::Leave(upstream)
        } else {
            Action::AskToWait(upstream, Duration::from_millis(rng.u64(600..3_000)))
        };
        injections.push(Injection {
            at: length.mul_f64(rng.f64() / 2.0),
            // Longer than the users' bound on requests to one that leaves.
            lasts: Duration::from_millis(rng.u64(1_000..4_500)),
            action,
        });
    }
    injections
}

/// Draws limits that upstreams name, from random numbers of its own likewise. Each lasts to the end.
pub fn draw_limits(rng: &mut fastrand::Rng, size: Size, length: Duration) -> Vec<Injection> {
    let upstreams = size.engines + size.plain;
    let mut injections = Vec::new();
    for _ in 0..rng.usize(1..=3) {
        let upstream = rng.usize(..upstreams);
        let per_second = 0.5 + rng.f64() * 4.0;
        injections.push(Injection {
            at: length.mul_f64(rng.f64() / 3.0),
            // Some end and others do not.
            lasts: length.mul_f64(0.5 + rng.f64()),
            action: Action::Limit(upstream, per_second),
        });
    }
    injections
}

/// Draws pauses of upstreams, of one or of all at once.
pub fn draw_pauses(rng: &mut fastrand::Rng, size: Size, length: Duration) -> Vec<Injection> {
    let upstreams = size.engines + size.plain;
    let mut injections = Vec::new();
    let mut at = Duration::from_millis(rng.u64(50..500));
    while at < length {
        let lasts = Duration::from_millis(rng.u64(20..2_500));
        let paused = if rng.u8(..4) == 0 {
            0..upstreams
        } else {
            let one = rng.usize(..upstreams);
            one..one + 1
        };
        injections.extend(paused.map(|upstream| Injection {
            at,
            lasts,
            action: Action::PauseUpstream(upstream),
        }));
        at += Duration::from_millis(rng.u64(100..900));
    }
    injections
}

fn draw_action(rng: &mut fastrand::Rng, size: Size) -> Action {
    let router = rng.usize(..size.routers);
    let upstream = rng.usize(..size.engines + size.plain);
    match rng.u8(..16) {
        0 | 1 => Action::StopRouter(router),
        2 => Action::KillRouter(router),
        3 => Action::FreezeRouter(router),
        4 => Action::ReloadRouter(router),
        5 => Action::HarmStoreLink(router, draw_harm(rng)),
        6 | 7 => Action::CrashUpstream(upstream),
        8 | 9 => Action::HarmUpstreamLink(upstream, draw_harm(rng)),
        10 => Action::ResetConnections(upstream),
        11 | 12 => Action::UpstreamFault(upstream, draw_fault(rng)),
        13 => Action::StoreFault(draw_store_fault(rng)),
        14 => Action::ForgetHistory,
        _ => Action::ChangeConfiguration,
    }
}

fn draw_harm(rng: &mut fastrand::Rng) -> Harm {
    match rng.u8(..3) {
        0 => Harm::Delay(Duration::from_millis(rng.u64(5..150))),
        1 => Harm::CutBack,
        _ => Harm::Silence,
    }
}

fn draw_fault(rng: &mut fastrand::Rng) -> Fault {
    let faults = [
        Fault::LoseAnswer,
        Fault::BreakOff,
        Fault::WrongId,
        Fault::Unsigned,
        Fault::Surplus,
        Fault::Mute,
        Fault::Fail,
        Fault::ResetUnframed,
    ];
    faults[rng.usize(..faults.len())]
}

fn draw_store_fault(rng: &mut fastrand::Rng) -> StoreFault {
    let faults = [StoreFault::Busy, StoreFault::Silent, StoreFault::Reset];
    faults[rng.usize(..faults.len())]
}
