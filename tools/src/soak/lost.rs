//! No router ends what a sound upstream has: silence is no reason to end an answer before its time.

use super::checks::Report;
use super::harm_log::HarmLog;
use super::load::Sent;
use crate::router_site::Site;
use cloverpier_core::{UpstreamName, lock};
use cloverpier_router_standin::caller::Outcome;
use cloverpier_router_standin::ledger::{Arrival, Ledger};
use std::collections::HashMap;
use std::time::Instant;

/// The part of its time after which the end of an answer is not judged: what remains may be too short for what is
/// missing.
const JUDGED_SHARE: f64 = 0.7;

/// Checks that no answer was ended by a router although all that its upstreams did was to be silent.
pub fn check_lost(site: &Site, sent: &[Sent], harms: &HarmLog, report: &mut Report) {
    let ledger = lock(&site.ledger);
    let mut arrivals: HashMap<&str, Vec<&Arrival>> = HashMap::new();
    for arrival in &ledger.arrivals {
        if let Some(id) = arrival.id.as_deref() {
            arrivals.entry(id).or_default().push(arrival);
        }
    }
    let early = sent.iter().filter(|one| is_ended_early(site, one));
    let could_end_well = |one: &&Sent| {
        harms.could_answer(one.router, one.at, one.ended)
            && !harms.was_router_killed_before(one.ended)
    };
    for one in early.filter(could_end_well) {
        let arrivals = arrivals.get(one.request.id.as_str());
        let arrivals = arrivals.map_or(&[][..], Vec::as_slice);
        if let Some(upstream) = sound_upstream(one, arrivals, &ledger, harms) {
            let found = format!(
                "{} ({}) at front {} ended after {:?} with {:?}, and {upstream} was sound",
                one.request.id,
                one.request.path,
                one.router,
                one.ended.saturating_duration_since(one.at),
                one.outcome,
            );
            report.violation("lost", &found);
        }
    }
}

/// Whether a router ended a request without a whole answer, and with much of its time left.
fn is_ended_early(site: &Site, sent: &Sent) -> bool {
    let is_ended = matches!(
        sent.outcome,
        Outcome::Broken(_) | Outcome::Status(502 | 504, _)
    );
    let time = site.shortest_timeout(&sent.request.path);
    let time = time.min(sent.request.deadline);
    let took = sent.ended.saturating_duration_since(sent.at);
    is_ended && took <= time.mul_f64(JUDGED_SHARE)
}

/// The upstream that got a request last, if all that ran it did nothing but be silent from then until its end.
fn sound_upstream<'a>(
    sent: &Sent,
    arrivals: &[&'a Arrival],
    ledger: &Ledger,
    harms: &HarmLog,
) -> Option<&'a UpstreamName> {
    let id = &sent.request.id;
    let reached = ledger.reached.get(id)?;
    let ran = arrivals.iter().filter(|a| reached.contains(&a.upstream));
    let ran: Vec<&Arrival> = ran.copied().collect();
    let from = last_sent(sent, &ran);
    let has_met_fault = |arrival: &Arrival| {
        let met = ledger.faults_met.get(id);
        met.is_some_and(|upstreams| upstreams.contains(&arrival.upstream))
    };
    let is_sound = |arrival: &&Arrival| {
        let is_at_fault = arrival.at >= from && has_met_fault(arrival);
        !is_at_fault && harms.was_sound(&arrival.upstream, from, sent.ended)
    };
    let last = ran.last()?;
    ran.iter().all(is_sound).then_some(&last.upstream)
}

/// When a request reached the last upstream that got it before its end. What a silent upstream had not read by then
/// arrives later: then it is when the caller sent it.
fn last_sent(sent: &Sent, ran: &[&Arrival]) -> Instant {
    let before_end = ran.iter().map(|arrival| arrival.at);
    let before_end = before_end.filter(|at| *at <= sent.ended);
    before_end.max().unwrap_or(sent.at)
}
