//! The faults themselves, one at a time, sometimes two at once.

use crate::fleet::Fleet;
use crate::scenarios::Options;
use crate::scenarios::chaos::Over;
use cloverpier_daemon_standin::{EngineFaults, LinkFaults, PlatformFaults, ServiceFaults};
use fastrand::Rng;
use std::io;
use std::time::{Duration, Instant};

const PAUSE_MS: std::ops::Range<u64> = 200..900;
const STOP_WITHIN: Duration = Duration::from_secs(40);
/// A leaving upstream gets no new work once so much time has passed.
const LEAVES_WITHIN: Duration = Duration::from_secs(3);
const WATCH_LEFT: Duration = Duration::from_secs(3);

/// What was brought about, and what showed meanwhile.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Struck {
    pub(super) faults: u64,
    pub(super) new_work_after_leaving: u64,
    pub(super) stops_that_did_not_end: u64,
}

pub(super) async fn run(fleet: &mut Fleet, options: Options, over: &Over) -> io::Result<Struck> {
    let mut rng = Rng::with_seed(options.seed);
    let until = Instant::now() + Duration::from_secs(options.seconds);
    let mut struck = Struck::default();
    while Instant::now() < until {
        tokio::time::sleep(Duration::from_millis(rng.u64(PAUSE_MS))).await;
        struck.faults += 1;
        one(fleet, &mut rng, &mut struck).await?;
    }
    over.set();
    heal(fleet).await?;
    Ok(struck)
}

async fn one(fleet: &mut Fleet, rng: &mut Rng, struck: &mut Struck) -> io::Result<()> {
    let router = rng.usize(0..fleet.routers.len());
    let engine = rng.usize(0..fleet.engines.len());
    let wait = Duration::from_millis(rng.u64(300..4_000));
    match rng.u8(0..15) {
        0 | 1 => {
            fleet.routers[router].process.kill();
            tokio::time::sleep(wait).await;
            fleet.restart_router(router)?;
        }
        2 | 3 => {
            fleet.routers[router].process.freeze();
            tokio::time::sleep(wait).await;
            fleet.routers[router].process.wake();
        }
        4 | 5 => {
            fleet.engines[engine].process.kill();
            tokio::time::sleep(wait).await;
            fleet.restart_engine(engine)?;
        }
        6 => freeze_engine(fleet, engine, wait).await,
        7 => {
            // Engine and router at once.
            fleet.engines[engine].process.kill();
            fleet.routers[router].process.kill();
            tokio::time::sleep(wait).await;
            fleet.restart_engine(engine)?;
            fleet.restart_router(router)?;
        }
        8 => platform_down(fleet, router, wait).await?,
        9 => lose_answers(fleet, rng).await,
        10 => drain(fleet, engine, struck).await,
        11 | 12 => cut(fleet, router, rng, wait).await,
        13 => cut_from_platform(fleet, router, wait).await,
        _ => stop(fleet, router, struck).await?,
    }
    Ok(())
}

/// A link to a router carries nothing, one way or both.
async fn cut(fleet: &Fleet, router: usize, rng: &mut Rng, wait: Duration) {
    let link = &fleet.peer_links[router];
    let both = rng.bool();
    let faults = LinkFaults {
        cut_there: both || rng.bool(),
        cut_back: true,
        delay_ms: 0,
    };
    fleet.link_faults(link, faults).await;
    tokio::time::sleep(wait * 2).await;
    fleet.link_faults(link, LinkFaults::default()).await;
}

/// A router doesn't reach the platform, and its peers do.
async fn cut_from_platform(fleet: &Fleet, router: usize, wait: Duration) {
    let link = &fleet.platform_links[router];
    let faults = LinkFaults {
        cut_there: true,
        cut_back: true,
        delay_ms: 0,
    };
    fleet.link_faults(link, faults).await;
    tokio::time::sleep(wait).await;
    fleet.link_faults(link, LinkFaults::default()).await;
}

async fn freeze_engine(fleet: &Fleet, engine: usize, wait: Duration) {
    let freeze = EngineFaults {
        freeze: true,
        ..EngineFaults::default()
    };
    fleet.engine_faults(engine, &freeze).await;
    tokio::time::sleep(wait).await;
    fleet.engine_faults(engine, &EngineFaults::default()).await;
}

/// The platform is down, and a router restarts meanwhile.
async fn platform_down(fleet: &mut Fleet, router: usize, wait: Duration) -> io::Result<()> {
    let down = PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    };
    fleet.platform_faults(&down).await;
    tokio::time::sleep(wait / 2).await;
    fleet.routers[router].process.kill();
    fleet.restart_router(router)?;
    tokio::time::sleep(wait).await;
    fleet.platform_faults(&PlatformFaults::default()).await;
    Ok(())
}

async fn lose_answers(fleet: &Fleet, rng: &mut Rng) {
    let platform = PlatformFaults {
        lose_answers: rng.u32(1..4),
        slow_ms: rng.u64(0..200),
        ..PlatformFaults::default()
    };
    fleet.platform_faults(&platform).await;
    let service = ServiceFaults {
        lose_answers: rng.u32(1..6),
        slow_ms: rng.u64(0..300),
        ..ServiceFaults::default()
    };
    fleet.service_faults(0, &service).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    fleet.platform_faults(&PlatformFaults::default()).await;
    fleet.service_faults(0, &ServiceFaults::default()).await;
}

/// Drains an engine and looks whether it gets work after all; then it comes back.
async fn drain(fleet: &mut Fleet, engine: usize, struck: &mut Struck) {
    let name = fleet.engines[engine].name.clone();
    let mut told = false;
    for router in &fleet.routers {
        told |= fleet.operator_at(router).leave(&name).await.is_ok();
        if told {
            break;
        }
    }
    if !told {
        return;
    }
    tokio::time::sleep(LEAVES_WITHIN).await;
    let before = fleet.engine_counts().await[engine].started;
    tokio::time::sleep(WATCH_LEFT).await;
    let after = fleet.engine_counts().await[engine].started;
    if after > before {
        struck.new_work_after_leaving += after - before;
        eprintln!("{name} got {} generations after it left", after - before);
    }
    fleet.bring_back(engine).await;
}

async fn stop(fleet: &mut Fleet, router: usize, struck: &mut Struck) -> io::Result<()> {
    fleet.routers[router].process.terminate();
    let until = Instant::now() + STOP_WITHIN;
    while !fleet.routers[router].process.has_ended() {
        if Instant::now() >= until {
            struck.stops_that_did_not_end += 1;
            eprintln!("{} did not stop", fleet.routers[router].vm);
            fleet.routers[router].process.kill();
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    fleet.restart_router(router)
}

async fn heal(fleet: &mut Fleet) -> io::Result<()> {
    fleet.platform_faults(&PlatformFaults::default()).await;
    fleet.service_faults(0, &ServiceFaults::default()).await;
    for i in 0..fleet.engines.len() {
        if fleet.engines[i].process.has_ended() {
            fleet.restart_engine(i)?;
        }
        fleet.engine_faults(i, &EngineFaults::default()).await;
    }
    for link in fleet.peer_links.iter().chain(&fleet.platform_links) {
        fleet.link_faults(link, LinkFaults::default()).await;
    }
    for i in 0..fleet.routers.len() {
        fleet.routers[i].process.wake();
        if fleet.routers[i].process.has_ended() {
            fleet.restart_router(i)?;
        }
    }
    Ok(())
}
