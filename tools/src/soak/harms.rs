//! How each harm begins and ends.

use super::harm_log::{Disturbance, HarmLog};
use super::plan::Action;
use super::site_changes::{toggle_many_routes, toggle_route, toggle_timeouts};
use crate::process::Process;
use crate::router_site::Site;
use cloverpier_router_standin::link::Harm;
use cloverpier_router_standin::store::StoreFault;
use std::io;
use std::time::Instant;

/// Share of the requests that an upstream at fault treats wrongly.
const FAULT_SHARE: f64 = 0.3;
/// The pace of an engine that nothing slows, in percent.
pub const USUAL_PACE: u32 = 100;

/// Begins a harm; false when it doesn't fit what goes on.
pub fn begin(site: &mut Site, action: &Action, harms: &mut HarmLog) -> bool {
    harms.begin_upstream(action, Instant::now());
    match action {
        Action::StopRouter(router) => disturb(site, *router, Disturbance::Stop, harms, |process| {
            process.terminate();
        }),
        Action::KillRouter(router) => {
            let is_running = disturb(site, *router, Disturbance::Kill, harms, Process::kill);
            site.routers[*router].process = None;
            is_running
        }
        Action::FreezeRouter(router) => {
            disturb(site, *router, Disturbance::Freeze, harms, Process::freeze)
        }
        Action::ReloadRouter(router) => {
            let process = &site.routers[*router].process;
            process.as_ref().map(Process::hang_up).is_some()
        }
        // It has no end, and is played apart.
        Action::RollOut(_) => false,
        other => {
            begin_outside_routers(site, other);
            true
        }
    }
}

/// Begins a harm to what surrounds the routers.
fn begin_outside_routers(site: &mut Site, action: &Action) {
    match action {
        Action::HarmStoreLink(router, harm) => site.routers[*router].store_link.set_harm(*harm),
        Action::CrashUpstream(upstream) | Action::StartAgain(upstream) => {
            site.crash_upstream(*upstream);
        }
        Action::Leave(upstream) => site.upstreams[*upstream].stand_in.leave(),
        Action::AskToWait(upstream, wait) => {
            site.upstreams[*upstream].stand_in.ask_to_wait(Some(*wait));
        }
        Action::Limit(upstream, per_second) => {
            site.upstreams[*upstream].stand_in.limit(Some(*per_second));
        }
        Action::HarmUpstreamLink(upstream, harm) => site.upstreams[*upstream].link.set_harm(*harm),
        Action::PauseUpstream(upstream) => site.pause_upstream(*upstream, true),
        Action::PauseWork(upstream) => site.upstreams[*upstream].stand_in.set_paused(true),
        Action::ResetConnections(upstream) => site.upstreams[*upstream].link.cut_connections(),
        Action::UpstreamFault(upstream, fault) => {
            let fault = Some((*fault, FAULT_SHARE));
            site.upstreams[*upstream].stand_in.set_random_fault(fault);
        }
        Action::SlowDown(upstream, percent) => {
            site.upstreams[*upstream].stand_in.set_pace(*percent);
        }
        Action::StoreFault(fault) => site.store.set_fault(*fault),
        Action::ForgetHistory => site.store.forget_history(),
        Action::ChangeConfiguration => site.change_configuration(|c| {
            toggle_route(c);
            toggle_many_routes(c);
        }),
        Action::ChangeTimeouts => site.change_configuration(toggle_timeouts),
        // The callers of the load know by themselves when it begins and ends.
        Action::Flood(_) | Action::Burst(_) => {}
        Action::StopRouter(_)
        | Action::KillRouter(_)
        | Action::FreezeRouter(_)
        | Action::ReloadRouter(_)
        | Action::RollOut(_) => {}
    }
}

/// Acts on a router's process, and notes that the router is disturbed from now on; `false` where
/// no process runs.
fn disturb(
    site: &mut Site,
    router: usize,
    disturbance: Disturbance,
    harms: &mut HarmLog,
    act: impl FnOnce(&mut Process),
) -> bool {
    let Some(process) = &mut site.routers[router].process else {
        return false;
    };
    harms.begin_router(router, disturbance, Instant::now());
    act(process);
    true
}

/// Ends a harm that struck a process, if any; false while it can't be ended yet.
pub async fn end(
    site: &mut Site,
    action: &Action,
    struck: Option<u32>,
    harms: &mut HarmLog,
) -> io::Result<bool> {
    let from = Instant::now();
    match action {
        Action::StopRouter(router) => {
            if !restart_stopped(site, *router, struck)? {
                return Ok(false);
            }
            harms.end_router(*router, Instant::now());
        }
        Action::KillRouter(router) => {
            if site.routers[*router].process.is_none() {
                site.start_router(*router)?;
            }
            harms.end_router(*router, Instant::now());
        }
        Action::FreezeRouter(router) => {
            if let Some(process) = &mut site.routers[*router].process {
                process.wake();
            }
            harms.end_freeze(*router, Instant::now());
        }
        other => {
            end_outside_routers(site, other).await?;
            harms.end_upstream(other, from, Instant::now());
        }
    }
    Ok(true)
}

/// Ends a harm to what surrounds the routers.
async fn end_outside_routers(site: &mut Site, action: &Action) -> io::Result<()> {
    match action {
        Action::HarmStoreLink(router, _) => site.routers[*router].store_link.set_harm(Harm::None),
        Action::CrashUpstream(upstream) | Action::Leave(upstream) => {
            site.restart_upstream(*upstream).await?;
        }
        Action::AskToWait(upstream, _) => site.upstreams[*upstream].stand_in.ask_to_wait(None),
        Action::Limit(upstream, _) => site.upstreams[*upstream].stand_in.limit(None),
        Action::StartAgain(upstream) => site.start_upstream_again(*upstream).await?,
        Action::HarmUpstreamLink(upstream, _) => {
            site.upstreams[*upstream].link.set_harm(Harm::None);
        }
        Action::PauseUpstream(upstream) => site.pause_upstream(*upstream, false),
        Action::PauseWork(upstream) => site.upstreams[*upstream].stand_in.set_paused(false),
        Action::UpstreamFault(upstream, _) => {
            site.upstreams[*upstream].stand_in.set_random_fault(None);
        }
        Action::SlowDown(upstream, _) => {
            site.upstreams[*upstream].stand_in.set_pace(USUAL_PACE);
        }
        Action::StoreFault(_) => site.store.set_fault(StoreFault::None),
        Action::StopRouter(_)
        | Action::KillRouter(_)
        | Action::FreezeRouter(_)
        | Action::ReloadRouter(_)
        | Action::Flood(_)
        | Action::Burst(_)
        | Action::ResetConnections(_)
        | Action::ForgetHistory
        | Action::ChangeConfiguration
        | Action::ChangeTimeouts
        | Action::RollOut(_) => {}
    }
    Ok(())
}

/// Starts a router again that was told to stop; false while it has not ended by itself yet.
fn restart_stopped(site: &mut Site, router: usize, stopped: Option<u32>) -> io::Result<bool> {
    let process = site.routers[router].process.as_mut();
    let is_same = process.as_ref().map(|p| p.id()) == stopped;
    if !is_same {
        return Ok(true);
    }
    if !process.is_none_or(has_ended) {
        return Ok(false);
    }
    site.start_router(router)?;
    Ok(true)
}

/// Whether a process has ended by itself.
pub fn has_ended(process: &mut Process) -> bool {
    process.has_ended()
}
