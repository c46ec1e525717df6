//! Changes of a site that its operators make: configurations, roll-outs.

use super::checks::{PlayedRollout, reached_since_start};
use super::plan::RolloutPlan;
use crate::router_site::{ENGINES, PLAIN, Site, add_routes, remove_added_routes};
use cloverpier_router_policy::prelude::{Configuration, Route};
use cloverpier_router_standin::ledger::Fault;
use std::io;
use std::time::Duration;

/// The version that is rolled out; the others say that they run `v1`.
const NEW_VERSION: &str = "v2";
/// Share of its requests that a bad version fails.
const BAD_SHARE: f64 = 0.5;
/// Routes that make a configuration large: as many as the users' largest change adds.
const MANY_ROUTES: usize = 1_400;

/// The time-out of each other configuration, in place of the one that it had before.
const CHANGED_TIMEOUTS: [(Duration, Duration); 2] = [
    (Duration::from_secs(20), Duration::from_secs(15)),
    (Duration::from_secs(3), Duration::from_millis(2_500)),
];

/// Adds a version's upstreams and orders its roll-out.
pub async fn roll_out(site: &mut Site, plan: RolloutPlan) -> io::Result<PlayedRollout> {
    let service = if plan.is_of_engines { ENGINES } else { PLAIN };
    let reached_before = reached_since_start(site, service);
    let upstreams = site
        .add_version(service, NEW_VERSION, plan.upstreams)
        .await?;
    if plan.is_bad {
        for index in &upstreams {
            let fault = Some((Fault::Fail, BAD_SHARE));
            site.upstreams[*index].stand_in.set_random_fault(fault);
        }
    }
    site.order_rollout(service, NEW_VERSION, plan.duration);
    Ok(PlayedRollout {
        service,
        is_bad: plan.is_bad,
        upstreams,
        reached_before,
    })
}

/// Every other change makes the configuration large: 23 copies at a time of one of this size
/// once kept reports of leaving upstreams from a fleet for seconds.
pub fn toggle_many_routes(configuration: &mut Configuration) {
    if !remove_added_routes(configuration) {
        add_routes(configuration, MANY_ROUTES);
    }
}

/// Adds a route that nobody uses, or removes it.
pub fn toggle_route(configuration: &mut Configuration) {
    const NAME: &str = "passing";
    if configuration.routes.iter().any(|r| r.name == NAME) {
        configuration.routes.retain(|r| r.name != NAME);
        return;
    }
    let like = configuration.routes.first().cloned();
    configuration.routes.extend(like.map(|route| Route {
        name: NAME.to_owned(),
        prefix: "/passing/".to_owned(),
        ..route
    }));
}

/// Shortens the time-outs of all routes, or sets them back.
pub fn toggle_timeouts(configuration: &mut Configuration) {
    for route in &mut configuration.routes {
        for (usual, short) in CHANGED_TIMEOUTS {
            if route.timeout == usual {
                route.timeout = short;
            } else if route.timeout == short {
                route.timeout = usual;
            }
        }
    }
}
