//! Every router serves again once all harm is over.

use super::checks::Report;
use super::load::path_at;
use crate::router_site::Site;
use cloverpier_router_standin::caller::Outcome;
use futures_util::future::join_all;
use std::time::{Duration, Instant};

/// Routers have to serve again this long after the last harm.
const RECOVERY: Duration = Duration::from_secs(20);
/// Requests that are asked of each router after the last harm.
const LAST_REQUESTS: usize = 6;
/// Pause before a router is asked again that did not serve.
const PAUSE: Duration = Duration::from_millis(50);

/// Checks all routers at once.
pub async fn check_recovery(site: &Site, report: &mut Report) {
    let until = Instant::now() + RECOVERY;
    let routers = 0..site.routers.len();
    let checks = join_all(routers.map(|router| until_it_serves(site, router, until))).await;
    for (router, outcome) in checks.into_iter().enumerate() {
        if let Err(outcome) = outcome {
            let found = format!("front {router} doesn't serve again: {outcome:?}");
            report.violation("recovery", &found);
        }
    }
}

/// Asks a router until it has served the last requests; what came of a request if that takes too long.
async fn until_it_serves(site: &Site, router: usize, until: Instant) -> Result<(), Outcome> {
    let mut served = 0;
    let mut asked = 0;
    while served < LAST_REQUESTS {
        asked += 1;
        let request = site.request(&format!("last-{router}-{asked}"), path_at(asked));
        let outcome = site.call(router, &request).await;
        if outcome == Outcome::Whole {
            served += 1;
        } else if Instant::now() > until {
            return Err(outcome);
        } else {
            tokio::time::sleep(PAUSE).await;
        }
    }
    Ok(())
}
