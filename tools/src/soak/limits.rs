//! What must hold of upstreams that limit themselves, seen by upstreams.

use super::checks::Report;
use super::harm_log::{Disturbance, Disturbed};
use super::load::Sent;
use crate::router_site::Site;
use cloverpier_core::{UpstreamName, lock};
use cloverpier_router_standin::ledger::{Arrival, Ledger, Said};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// From when on a limit counts, after it was named first.
const KNOWN_AFTER: Duration = Duration::from_millis(500);
/// The users' window.
const WINDOW: Duration = Duration::from_secs(4);
/// What may reach an upstream in it: this many times what its limit allows, and so many more.
const FACTOR: f64 = 1.5;
/// As above.
const LEEWAY: f64 = 5.0;

/// When an upstream named the same limit first and last.
struct Limited {
    per_second: f64,
    from: Instant,
    until: Instant,
}

/// Checks what reached upstreams while they named limits. All routers count, those that were harmed, too, but for what a
/// router sends as it runs again that stood still when the limit was named: it cannot know of it yet.
pub fn check_limits(site: &Site, sent: &[Sent], disturbed: &[Disturbed], report: &mut Report) {
    let ledger = lock(&site.ledger);
    let routers = sent.iter().map(|one| (one.request.id.as_str(), one.router));
    let routers: HashMap<&str, usize> = routers.collect();
    let frozen = disturbed.iter();
    let frozen: Vec<&Disturbed> = frozen
        .filter(|d| d.disturbance == Disturbance::Freeze)
        .collect();
    for (upstream, limited) in limits_of(&ledger) {
        let allowed = FACTOR * limited.per_second * WINDOW.as_secs_f64() + LEEWAY;
        let stood_still = |arrival: &Arrival| {
            let router = arrival.id.as_deref().and_then(|id| routers.get(id));
            frozen.iter().any(|d| {
                Some(&d.router) == router
                    && (d.from..d.until).contains(&limited.from)
                    && arrival.at < d.until + KNOWN_AFTER
            })
        };
        let most = most_in_a_window(&ledger, upstream, &limited, stood_still);
        if most as f64 > allowed {
            let found = format!(
                "{most} reached {upstream} in {WINDOW:?}, which takes {:.1} a second",
                limited.per_second
            );
            report.violation("limit", &found);
        }
    }
}

fn limits_of(ledger: &Ledger) -> HashMap<&UpstreamName, Limited> {
    let mut limits: HashMap<&UpstreamName, Limited> = HashMap::new();
    for statement in &ledger.statements {
        let Said::Limit(per_second) = statement.said else {
            continue;
        };
        let at = statement.at;
        let limited = limits.entry(&statement.upstream).or_insert(Limited {
            per_second,
            from: at,
            until: at,
        });
        // Where it names another one later, the highest counts.
        limited.per_second = limited.per_second.max(per_second);
        limited.until = at;
    }
    limits
}

fn most_in_a_window(
    ledger: &Ledger,
    upstream: &UpstreamName,
    limited: &Limited,
    is_passed_over: impl Fn(&Arrival) -> bool,
) -> usize {
    let from = limited.from + KNOWN_AFTER;
    let mut arrivals = ledger.arrived_between(upstream, from, limited.until);
    arrivals.retain(|arrival| !is_passed_over(arrival));
    let in_window = |from: Instant| {
        let until = from + WINDOW;
        let within = arrivals.iter().filter(|a| a.at >= from && a.at < until);
        within.count()
    };
    let counts = arrivals.iter().map(|first| in_window(first.at));
    counts.max().unwrap_or(0)
}
