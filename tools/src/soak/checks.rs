//! What must hold, whatever was done, seen by callers and upstreams.

use super::load::Sent;
use super::plan::Size;
use super::planned_stops::{Played, check_planned_stops};
use crate::router_site::{ACCOUNT, FIXED_STREAM_PATH, FLOOD_ACCOUNT, FLOOD_KEY, Site, UNSAFE_PATH};
use cloverpier_core::lock;
use cloverpier_router_policy::prelude::Upstream;
use cloverpier_router_standin::caller::Outcome;
use cloverpier_router_standin::ledger::Ledger;
use std::collections::{BTreeMap, HashSet};
use std::fmt;
use std::path::PathBuf;
use std::time::Duration;

/// Violations that a report tells in full.
const MOST_TOLD: usize = 12;

/// The part of a service's requests that a bad version may get, and requests besides: as the site's
/// settings say.
const EXPOSURE_SHARE: f64 = 0.1;
/// As above.
const EXPOSURE_SLACK: f64 = 50.0;

/// Something that must never be.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The check that found it.
    pub check: &'static str,
    /// What was found.
    pub found: String,
}

/// What was done and found in one run.
#[derive(Clone, Debug)]
pub struct Report {
    /// The seed; runs it again.
    pub seed: u64,
    /// The site's size.
    pub size: Size,
    /// Where the logs lie.
    pub dir: PathBuf,
    /// How often each harm was done.
    pub injected: BTreeMap<&'static str, u32>,
    /// How requests ended.
    pub outcomes: BTreeMap<String, u32>,
    /// The most memory that a router held, in megabytes.
    pub peak_memory_mb: u64,
    /// Roll-outs that were ordered.
    pub rollouts: Vec<PlayedRollout>,
    /// What must never be, and was.
    pub violations: Vec<Violation>,
}

/// A roll-out that was ordered.
#[derive(Clone, Debug)]
pub struct PlayedRollout {
    /// The service.
    pub service: &'static str,
    /// Whether the new version fails half of its requests.
    pub is_bad: bool,
    /// Its upstreams, by their positions.
    pub upstreams: Vec<usize>,
    /// Requests that had reached the service before.
    pub reached_before: usize,
}

impl Report {
    /// A report of a run that begins.
    pub fn new(seed: u64, size: Size, dir: PathBuf) -> Self {
        Self {
            seed,
            size,
            dir,
            injected: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            peak_memory_mb: 0,
            rollouts: Vec::new(),
            violations: Vec::new(),
        }
    }

    /// Counts a harm.
    pub fn count(&mut self, harm: &'static str) {
        *self.injected.entry(harm).or_default() += 1;
    }

    /// Notes a violation.
    pub fn violation(&mut self, check: &'static str, found: &str) {
        self.violations.push(Violation {
            check,
            found: found.to_owned(),
        });
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let harms: u32 = self.injected.values().sum();
        let requests: u32 = self.outcomes.values().sum();
        let size = self.size;
        writeln!(
            f,
            "seed {}: {} routers, {} engines, {} plain upstreams; {harms} harms, {requests} requests, {} violations",
            self.seed,
            size.routers,
            size.engines,
            size.plain,
            self.violations.len()
        )?;
        writeln!(f, "  harms: {:?}", self.injected)?;
        writeln!(f, "  ends: {:?}", self.outcomes)?;
        writeln!(f, "  most memory of a router: {} MB", self.peak_memory_mb)?;
        for violation in self.violations.iter().take(MOST_TOLD) {
            writeln!(f, "  BROKEN {}: {}", violation.check, violation.found)?;
        }
        if !self.violations.is_empty() {
            writeln!(f, "  logs in {}", self.dir.display())?;
        }
        Ok(())
    }
}

/// Requests that have reached a service's upstreams, and those of them that reached some.
fn reached(site: &Site, service: &str, some: &[usize]) -> (usize, usize) {
    // Upstreams lock their state before the ledger, so none is asked while the ledger is locked: the
    // other order has stopped a whole run for good.
    let listed = site.upstreams.iter().map(|u| u.stand_in.listed());
    let listed: Vec<Upstream> = listed.collect();
    let all = listed.iter().enumerate();
    let of_service = all.filter(|(_, listed)| listed.service.as_str() == service);
    let ledger = lock(&site.ledger);
    let (mut total, mut of_some) = (0, 0);
    for (index, listed) in of_service {
        // A crash gives the upstream at a position another name, with the same beginning.
        let name = listed.name.to_string();
        let position = name.rsplit_once('-').map_or(name.as_str(), |(all, _)| all);
        let is_its = |reached: &str| reached.rsplit_once('-').is_some_and(|(p, _)| p == position);
        let runs = ledger.reached.values().flatten();
        let count = runs.filter(|reached| is_its(reached.as_str())).count();
        total += count;
        of_some += if some.contains(&index) { count } else { 0 };
    }
    (total, of_some)
}

/// Requests that have reached a service's upstreams.
pub fn reached_since_start(site: &Site, service: &str) -> usize {
    reached(site, service, &[]).0
}

/// Checks that bad versions got no more than their share. A run in which the store was harmed is
/// passed over: an order that nobody could read binds nobody.
pub fn check_exposure(site: &Site, report: &mut Report) {
    let harms = ["store at fault", "router's way to the store harmed"];
    if harms.iter().any(|harm| report.injected.contains_key(harm)) {
        return;
    }
    for rollout in report.rollouts.clone().iter().filter(|r| r.is_bad) {
        let (all, exposed) = reached(site, rollout.service, &rollout.upstreams);
        let since = all.saturating_sub(rollout.reached_before);
        let bound = EXPOSURE_SHARE * since as f64 + EXPOSURE_SLACK;
        if exposed as f64 > bound {
            let found = format!("a bad version got {exposed} of {since} requests");
            report.violation("exposure", &found);
        }
    }
}

/// Checks all requests of a run.
pub fn check_requests(site: &Site, sent: &[Sent], played: Played<'_>, report: &mut Report) {
    let ledger = lock(&site.ledger);
    for one in sent {
        let caller = one.request.id.split('-').next().unwrap_or_default();
        let name = format!("{} ({caller})", name_of(&one.outcome));
        *report.outcomes.entry(name).or_default() += 1;
        check_answer(one, report);
        check_runs(one, &ledger, report);
    }
    if ledger.leaked_keys > 0 {
        report.violation("keys", "a caller's key reached a server");
    }
    if ledger.unexpected > 0 {
        report.violation("instance", "a request named no server");
    }
    check_accounts(sent, &ledger, report);
    check_planned_stops(site, sent, &ledger, played, report);
}

/// Every request ran as the client account whose key it carried.
fn check_accounts(sent: &[Sent], ledger: &Ledger, report: &mut Report) {
    let flooding = sent
        .iter()
        .filter(|one| one.request.key.as_deref() == Some(FLOOD_KEY));
    let flooding: HashSet<&str> = flooding.map(|one| one.request.id.as_str()).collect();
    let expected = |id: &str| {
        if flooding.contains(id) {
            FLOOD_ACCOUNT
        } else {
            ACCOUNT
        }
    };
    if let Some((id, account)) = ledger.accounts.iter().find(|(id, a)| *a != expected(id)) {
        report.violation("tenant", &format!("{id} ran as {account}"));
    }
}

fn name_of(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Whole => "whole".to_owned(),
        Outcome::Status(status, _) => status.to_string(),
        Outcome::Broken(_) => "broken off".to_owned(),
        Outcome::Unreachable => "no connection".to_owned(),
        Outcome::TimedOut => "no answer".to_owned(),
        Outcome::Wrong(_) => "wrong".to_owned(),
    }
}

/// No answer is mixed, torn or another's; a proper request is never called improper.
fn check_answer(sent: &Sent, report: &mut Report) {
    let told = format!("{}: {:?}", sent.request.id, sent.outcome);
    match &sent.outcome {
        Outcome::Wrong(_) => report.violation("answer", &told),
        Outcome::Status(400..=407 | 409..=420 | 422..=428 | 430..=499, _) => {
            report.violation("denied", &told);
        }
        // A stream that can go on nowhere is begun again; to come back with it is in vain.
        Outcome::Status(503, None) if !is_late(sent) && sent.request.resumes.is_none() => {
            report.violation("come back", &told);
        }
        _ => {}
    }
}

/// A refusal at the end of its time can't tell when to retry.
fn is_late(sent: &Sent) -> bool {
    let took = sent.ended.saturating_duration_since(sent.at);
    took + Duration::from_millis(100) >= sent.request.deadline.min(Duration::from_secs(3))
}

/// At most once; and a refusal means never.
fn check_runs(sent: &Sent, ledger: &Ledger, report: &mut Report) {
    let path = &sent.request.path;
    if !path.starts_with(UNSAFE_PATH) && !path.starts_with(FIXED_STREAM_PATH) {
        return;
    }
    let runs = ledger.runs.get(&sent.request.id).copied().unwrap_or(0);
    if runs > 1 {
        let found = format!("{} ran {runs} times", sent.request.id);
        report.violation("at most once", &found);
    }
    if matches!(sent.outcome, Outcome::Status(429 | 503, _)) && runs > 0 {
        let found = format!("{} was refused and ran", sent.request.id);
        report.violation("refusal", &found);
    }
}
