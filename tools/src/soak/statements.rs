//! What must hold of upstreams that say that they leave or want nothing, seen by callers and upstreams.

use super::checks::Report;
use super::harm_log::Disturbed;
use super::load::Sent;
use super::plan::{Action, Injection};
use crate::router_site::Site;
use cloverpier_core::{UpstreamName, lock};
use cloverpier_router_standin::caller::Outcome;
use cloverpier_router_standin::ledger::{Arrival, Ledger, Said};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// A request that is sent so long after its router passed on an answer that says that an upstream
/// leaves does not reach it: the users' bound.
const DRAIN: Duration = Duration::from_secs(2);
/// What is under way may reach an upstream so long after it has said that it wants nothing: the users'
/// bound.
const UNDER_WAY: Duration = Duration::from_millis(500);
/// Requests of one router that may reach it after that: the users' bound.
const MOST_WHILE_WAITING: usize = 2;

/// Checks what reached upstreams after they had spoken of themselves.
pub fn check_statements(
    site: &Site,
    sent: &[Sent],
    injections: &[Injection],
    disturbed: &[Disturbed],
    report: &mut Report,
) {
    let ledger = lock(&site.ledger);
    let by_id: HashMap<&str, &Sent> = sent.iter().map(|s| (s.request.id.as_str(), s)).collect();
    check_leavings(&ledger, &by_id, disturbed, report);
    check_waits(&ledger, &by_id, injections, disturbed, report);
}

/// Whether a router was harmed between two moments; it may have forgotten what it knew.
fn was_disturbed(disturbed: &[Disturbed], router: usize, from: Instant, until: Instant) -> bool {
    let of_router = disturbed.iter().filter(|d| d.router == router);
    of_router
        .into_iter()
        .any(|d| d.from <= until && d.until >= from)
}

fn check_leavings(
    ledger: &Ledger,
    by_id: &HashMap<&str, &Sent>,
    disturbed: &[Disturbed],
    report: &mut Report,
) {
    let mut passed_on: HashMap<(usize, &UpstreamName), Instant> = HashMap::new();
    for statement in ledger.statements.iter().filter(|s| s.said == Said::Leaving) {
        let sent = statement.id.as_ref().and_then(|id| by_id.get(id.as_str()));
        // An answer that did not come through may not have reached the router either.
        let Some(sent) = sent.filter(|s| s.outcome == Outcome::Whole) else {
            continue;
        };
        let key = (sent.router, &statement.upstream);
        passed_on.entry(key).or_insert(sent.ended);
    }
    for arrival in ledger.arrivals.iter().filter(|a| a.leaves) {
        let sent = arrival.id.as_ref().and_then(|id| by_id.get(id.as_str()));
        let Some(sent) = sent else { continue };
        let Some(at) = passed_on.get(&(sent.router, &arrival.upstream)) else {
            continue;
        };
        if sent.at > *at + DRAIN && !was_disturbed(disturbed, sent.router, *at, sent.at) {
            let found = format!(
                "{} reached {}, which had said that it leaves",
                sent.request.id, arrival.upstream
            );
            report.violation("leaving", &found);
        }
    }
}

/// Upstreams of which it is not sure that their answers arrive, by the beginnings of their names.
pub fn with_harmed_links(injections: &[Injection]) -> Vec<String> {
    let harmed = injections.iter().filter_map(|i| match i.action {
        Action::HarmUpstreamLink(upstream, _)
        | Action::ResetConnections(upstream)
        | Action::CrashUpstream(upstream)
        | Action::StartAgain(upstream)
        | Action::Leave(upstream)
        | Action::UpstreamFault(upstream, _) => Some(format!("server-{upstream}-")),
        _ => None,
    });
    harmed.collect()
}

fn check_waits(
    ledger: &Ledger,
    by_id: &HashMap<&str, &Sent>,
    injections: &[Injection],
    disturbed: &[Disturbed],
    report: &mut Report,
) {
    let harmed = with_harmed_links(injections);
    let is_harmed = |name: &UpstreamName| harmed.iter().any(|h| name.as_str().starts_with(h));
    for statement in ledger.statements.iter().filter(|s| !is_harmed(&s.upstream)) {
        let Said::Wait(wait) = statement.said else {
            continue;
        };
        let sent = statement.id.as_ref().and_then(|id| by_id.get(id.as_str()));
        let Some(told) = sent else { continue };
        let (from, until) = (statement.at + UNDER_WAY, statement.at + wait);
        if was_disturbed(disturbed, told.router, statement.at, until) {
            continue;
        }
        let of_router = |arrival: &&Arrival| {
            let sent = arrival.id.as_ref().and_then(|id| by_id.get(id.as_str()));
            sent.is_some_and(|sent| sent.router == told.router)
        };
        let arrived = ledger.arrived_between(&statement.upstream, from, until);
        let count = arrived.iter().filter(of_router).count();
        if count > MOST_WHILE_WAITING {
            let found = format!(
                "{count} reached {}, which wanted nothing",
                statement.upstream
            );
            report.violation("wait", &found);
        }
    }
}
