//! What must hold of upstreams that limit themselves, seen by upstreams.

use super::checks::Report;
use crate::router_site::Site;
use cloverpier_core::{UpstreamName, lock};
use cloverpier_router_standin::ledger::{Ledger, Said};
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

/// Checks what reached upstreams while they named limits. All routers count, those that were harmed, too.
pub fn check_limits(site: &Site, report: &mut Report) {
    let ledger = lock(&site.ledger);
    for (upstream, limited) in limits_of(&ledger) {
        let allowed = FACTOR * limited.per_second * WINDOW.as_secs_f64() + LEEWAY;
        let most = most_in_a_window(&ledger, upstream, &limited);
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

fn most_in_a_window(ledger: &Ledger, upstream: &UpstreamName, limited: &Limited) -> usize {
    let from = limited.from + KNOWN_AFTER;
    let arrivals = ledger.arrived_between(upstream, from, limited.until);
    let in_window = |from: Instant| {
        let until = from + WINDOW;
        let within = arrivals.iter().filter(|a| a.at >= from && a.at < until);
        within.count()
    };
    let counts = arrivals.iter().map(|first| in_window(first.at));
    counts.max().unwrap_or(0)
}
