//! Plays the harms of a run: begins each in time, and ends it when it is due.

use super::checks::Report;
use super::harm_log::HarmLog;
use super::harms::{USUAL_PACE, begin, end, has_ended};
use super::plan::{Action, Injection};
use super::processes::ProcessCheck;
use super::site_changes::roll_out;
use crate::process::Process;
use crate::router_site::{Return, Site};
use cloverpier_router_standin::link::Harm;
use cloverpier_router_standin::store::StoreFault;
use std::io;
use std::time::{Duration, Instant};

/// How an upstream comes back that a request has crashed.
const CRASH_RETURN: Return = Return::SameName(Duration::from_millis(1_200));
/// How often the running harms are looked at.
const STEP: Duration = Duration::from_millis(10);
/// A router that was asked to stop ends within its grace, and some.
const STOP_PATIENCE: Duration = Duration::from_secs(10);

/// A harm that goes on.
struct Running {
    until: Instant,
    action: Action,
    /// The process that it struck; a later start at its place is another one.
    process: Option<u32>,
}

/// Plays the harms; returns what was harmed, and when.
pub async fn play(
    site: &mut Site,
    injections: &[Injection],
    report: &mut Report,
) -> io::Result<HarmLog> {
    let start = Instant::now();
    let mut running: Vec<Running> = Vec::new();
    let mut harms = HarmLog::default();
    let mut processes = ProcessCheck::default();
    for injection in injections {
        while start.elapsed() < injection.at {
            tokio::time::sleep(STEP).await;
            processes.look(site, report, |id| is_stopping(&running, id));
            end_due(site, &mut running, &mut harms, report).await?;
        }
        if let Action::RollOut(plan) = &injection.action {
            report.count(injection.action.name());
            report.rollouts.push(roll_out(site, *plan).await?);
            continue;
        }
        let until = Instant::now() + injection.lasts;
        if begin(site, &injection.action, &mut harms) {
            report.count(injection.action.name());
            running.push(Running {
                until,
                process: process_of(site, &injection.action),
                action: injection.action.clone(),
            });
        }
    }
    while !running.is_empty() {
        tokio::time::sleep(STEP).await;
        processes.look(site, report, |id| is_stopping(&running, id));
        end_due(site, &mut running, &mut harms, report).await?;
    }
    Ok(harms)
}

/// Whether a process was told to end.
fn is_stopping(running: &[Running], process: u32) -> bool {
    running.iter().any(|harm| harm.process == Some(process))
}

/// The number of the process that a planned stop is to end.
fn process_of(site: &Site, action: &Action) -> Option<u32> {
    let Action::StopRouter(router) = action else {
        return None;
    };
    let process = site.routers[*router].process.as_ref();
    process.map(Process::id)
}

async fn end_due(
    site: &mut Site,
    running: &mut Vec<Running>,
    harms: &mut HarmLog,
    report: &mut Report,
) -> io::Result<()> {
    site.play_crashes(CRASH_RETURN).await?;
    let now = Instant::now();
    let (due, rest) = std::mem::take(running)
        .into_iter()
        .partition(|r| r.until <= now);
    *running = rest;
    for harm in due {
        if !end(site, &harm.action, harm.process, harms).await? {
            if now > harm.until + STOP_PATIENCE {
                report.violation("stop", &format!("{:?} doesn't end", harm.action));
                if let Action::StopRouter(router) = harm.action {
                    site.routers[router].process = None;
                }
            }
            running.push(harm);
        }
    }
    Ok(())
}

/// Ends whatever may still go on, so that recovery can be checked.
///
/// # Errors
///
/// What the system reports at a start.
pub async fn heal(site: &mut Site) -> io::Result<()> {
    while site.is_any_crashed() {
        site.play_crashes(CRASH_RETURN).await?;
        tokio::time::sleep(STEP).await;
    }
    site.store.set_fault(StoreFault::None);
    for index in 0..site.routers.len() {
        let router = &mut site.routers[index];
        router.store_link.set_harm(Harm::None);
        if router.process.as_mut().is_none_or(has_ended) {
            site.start_router(index)?;
        }
    }
    for upstream in &site.upstreams {
        upstream.link.set_harm(Harm::None);
        upstream.stand_in.set_random_fault(None);
        upstream.stand_in.set_paused(false);
        upstream.stand_in.ask_to_wait(None);
        upstream.stand_in.limit(None);
        upstream.stand_in.set_pace(USUAL_PACE);
    }
    Ok(())
}
