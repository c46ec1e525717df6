//! What must hold of routers that are stopped as planned: they cut nothing that its upstream would have answered.

use super::checks::Report;
use super::harm_log::{Disturbance, Disturbed, HarmLog};
use super::load::Sent;
use super::plan::Injection;
use super::statements::with_harmed_links;
use crate::router_site::{FIXED_STREAM_PATH, GRACE, MAX_ATTEMPTS, RETRY_SLACK, Site};
use cloverpier_router_standin::caller::Outcome;
use cloverpier_router_standin::ledger::Ledger;
use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

/// A process that was started again is still coming up for so long.
const AFTERMATH: Duration = Duration::from_millis(500);
/// Requests that come this long after the signal may be cut at the end of the grace period if
/// their upstreams are silent: the users' bound.
const LAST_ANSWERED: Duration = Duration::from_secs(3);
/// A stream that was sent this many times has had its upstreams at fault.
const MOST_SENDS: usize = 4;
/// A stream may take this many times as long as the pauses between its events.
const DURATION_FACTOR: f64 = 1.25;
/// What a call takes at most, and what a stream takes besides.
const CALL_DURATION: Duration = Duration::from_millis(100);
/// The window of the retry budget: the routers' default.
const BUDGET_WINDOW: Duration = Duration::from_secs(10);

/// What was done in a run.
#[derive(Clone, Copy, Debug)]
pub struct Played<'a> {
    /// The plan.
    pub injections: &'a [Injection],
    /// What was harmed, and when.
    pub harms: &'a HarmLog,
}

/// Checks the requests of a run that were broken off.
pub fn check_planned_stops(
    site: &Site,
    sent: &[Sent],
    ledger: &Ledger,
    played: Played<'_>,
    report: &mut Report,
) {
    let Played { injections, harms } = played;
    let disturbed = &harms.routers;
    let retries = || Retries::new(site.routers.len(), sent, ledger, injections);
    let load = site.is_under_load().then(retries);
    let broken = sent
        .iter()
        .filter(|one| matches!(one.outcome, Outcome::Broken(_)));
    let broken = broken.filter(|one| is_own_fault(one, ledger, disturbed));
    for one in broken.filter(|one| !was_silence_waited_for(site, one, ledger, harms)) {
        let is_by_load = |retries: &Retries| {
            let was_refused = ledger.refused_last.contains(&one.request.id);
            was_refused
                || sends(one, ledger) >= MAX_ATTEMPTS as usize
                || retries.are_used_up(one, ledger)
                || was_still_at_work(one, ledger, disturbed)
        };
        if !load.as_ref().is_some_and(is_by_load) {
            let found = format!("{} was cut at front {}", one.request.id, one.router);
            report.violation("planned stop", &found);
        }
    }
}

/// How often a request was sent, refusals among them.
fn sends(sent: &Sent, ledger: &Ledger) -> usize {
    let id = Some(sent.request.id.as_str());
    let arrivals = ledger.arrivals.iter();
    arrivals
        .filter(|arrival| arrival.id.as_deref() == id)
        .count()
}

/// Whether nothing but a planned stop explains the cut of a request that could have been retried.
fn is_own_fault(sent: &Sent, ledger: &Ledger, disturbed: &[Disturbed]) -> bool {
    let during = |d: &&Disturbed| {
        d.router == sent.router && d.from <= sent.ended && sent.at <= d.until + AFTERMATH
    };
    let mut meanwhile = disturbed.iter().filter(during).peekable();
    let is_only_planned =
        meanwhile.peek().is_some() && meanwhile.all(|d| d.disturbance == Disturbance::Stop);
    let reached = ledger.reached.get(&sent.request.id).map_or(0, Vec::len);
    let is_repeatable = !sent.request.path.starts_with(FIXED_STREAM_PATH);
    // Sends that failed and requests that never reached an upstream are others' faults.
    let has_one_upstream = reached == 1 && reached < MOST_SENDS;
    is_only_planned
        && is_repeatable
        && has_one_upstream
        && !is_past_grace(sent, disturbed)
        && !was_upstream_waited_for(sent, ledger, disturbed)
}

/// Whether the grace period was over when a request ended: a router that stands still as it is told to stop begins to
/// stop later, and the platform kills it meanwhile.
fn is_past_grace(sent: &Sent, disturbed: &[Disturbed]) -> bool {
    let of_router = disturbed.iter().filter(|d| d.router == sent.router);
    let mut stops = of_router.filter(|d| d.disturbance == Disturbance::Stop);
    stops.any(|stop| (stop.from + GRACE..=stop.until + AFTERMATH).contains(&sent.ended))
}

/// Whether a request was cut where the process had to end: its upstream never answered, and was
/// waited for until the last sixth of the time that the stop had.
fn was_upstream_waited_for(sent: &Sent, ledger: &Ledger, disturbed: &[Disturbed]) -> bool {
    ledger.unanswered.contains(&sent.request.id) && is_at_end_of_grace(sent, disturbed)
}

/// The same for a stream that waited at its engine, or that the engine had begun late: the engine saw it end before its
/// last event.
fn was_still_at_work(sent: &Sent, ledger: &Ledger, disturbed: &[Disturbed]) -> bool {
    ledger.stopped.contains(&sent.request.id) && is_at_end_of_grace(sent, disturbed)
}

/// The same for a request whose upstream was silent for so long that what was left of the time was not enough.
fn was_silence_waited_for(site: &Site, sent: &Sent, ledger: &Ledger, harms: &HarmLog) -> bool {
    let reached = ledger.reached.get(&sent.request.id).into_iter().flatten();
    let silences = reached.map(|name| harms.silence_of(name, sent.at, sent.ended));
    let silent = silences.max().unwrap_or_default();
    let took = sent.ended.saturating_duration_since(sent.at);
    let awake = took.saturating_sub(silent);
    let is_stream = sent.request.prompt.is_some();
    let usual = if is_stream {
        site.stream_duration()
    } else {
        Duration::ZERO
    };
    let is_too_short = awake < usual.mul_f64(DURATION_FACTOR) + CALL_DURATION;
    silent > Duration::ZERO && is_too_short && is_at_end_of_grace(sent, &harms.routers)
}

fn is_at_end_of_grace(sent: &Sent, disturbed: &[Disturbed]) -> bool {
    let mut stops = disturbed.iter().filter(|d| d.router == sent.router);
    stops
        .any(|stop| sent.at <= stop.from + LAST_ANSWERED && sent.ended >= stop.from + GRACE * 5 / 6)
}

/// When each router sent requests once more, as upstreams saw it.
struct Retries {
    routers: usize,
    /// The beginnings of the names of upstreams whose answers may not have arrived.
    harmed: Vec<String>,
    by_router: HashMap<usize, Vec<Instant>>,
}

impl Retries {
    fn new(routers: usize, sent: &[Sent], ledger: &Ledger, injections: &[Injection]) -> Self {
        let of = sent.iter().map(|one| (one.request.id.as_str(), one.router));
        let of: HashMap<&str, usize> = of.collect();
        let mut by_router: HashMap<usize, Vec<Instant>> = HashMap::new();
        let mut first = HashSet::new();
        for arrival in &ledger.arrivals {
            let Some(id) = arrival.id.as_deref() else {
                continue;
            };
            if let Some(router) = of.get(id).filter(|_| !first.insert(id)) {
                by_router.entry(*router).or_default().push(arrival.at);
            }
        }
        Self {
            routers,
            harmed: with_harmed_links(injections),
            by_router,
        }
    }

    /// Whether a stream's upstream broke it off, or was harmed in the run, while its router had sent so many retries that the budget may have
    /// granted no other: half of the slack that falls to one router.
    fn are_used_up(&self, sent: &Sent, ledger: &Ledger) -> bool {
        let window = sent.ended.checked_sub(BUDGET_WINDOW)..=Some(sent.ended);
        let retries = self.by_router.get(&sent.router).into_iter().flatten();
        let count = retries.filter(|at| window.contains(&Some(**at))).count();
        let id = &sent.request.id;
        let last = ledger.reached.get(id).and_then(|reached| reached.last());
        let is_harmed =
            last.is_some_and(|name| self.harmed.iter().any(|h| name.as_str().starts_with(h)));
        let was_lost = ledger.cut_streams.contains(id) || is_harmed;
        was_lost && count * self.routers * 2 >= RETRY_SLACK
    }
}
