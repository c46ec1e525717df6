//! Callers that send far more streams than usual for a while, as the plan says.

use super::load::{Callers, call_like_a_client};
use super::plan::{Action, Injection};
use crate::router_site::{FIXED_STREAM_PATH, FLOOD_KEY, LATER_PATH, STREAM_PATH, Site};
use cloverpier_router_standin::caller::CallerRequest;
use std::time::Duration;
use tokio::task::JoinSet;

/// What the ids of the flooding account's requests begin with.
pub const FLOOD: &str = "flood";
/// What the ids of the less urgent streams of a burst begin with.
const BURST: &str = "burst";
/// Requests of one flood or burst that are in flight at most.
const MOST_IN_FLIGHT: usize = 400;

/// Starts the callers of a run's floods and bursts. They end by themselves.
pub fn start(
    site: &Site,
    callers: &Callers,
    injections: &[Injection],
    rng: &mut fastrand::Rng,
    tasks: &mut JoinSet<()>,
) {
    for injection in injections {
        let (name, requests, per_second) = match injection.action {
            Action::Flood(per_second) => (FLOOD, flood_requests(site), per_second),
            Action::Burst(per_second) => (BURST, vec![site.request("", LATER_PATH)], per_second),
            _ => continue,
        };
        let load = ExtraLoad {
            name,
            requests,
            at: injection.at,
            lasts: injection.lasts,
            pause: Duration::from_secs(1) / per_second,
        };
        tasks.spawn(play(callers.clone(), load, rng.fork()));
    }
}

/// Most streams of the flooding account may be taken up elsewhere, and the others run once at most.
fn flood_requests(site: &Site) -> Vec<CallerRequest> {
    let paths = [STREAM_PATH, STREAM_PATH, STREAM_PATH, FIXED_STREAM_PATH];
    let request = |path| CallerRequest {
        key: Some(FLOOD_KEY.to_owned()),
        ..site.request("", path)
    };
    paths.into_iter().map(request).collect()
}

/// Requests that come for a while.
struct ExtraLoad {
    /// What their ids begin with.
    name: &'static str,
    /// Of which each is one, drawn.
    requests: Vec<CallerRequest>,
    at: Duration,
    lasts: Duration,
    /// Pause between two requests.
    pause: Duration,
}

async fn play(callers: Callers, load: ExtraLoad, mut rng: fastrand::Rng) {
    tokio::time::sleep(load.at).await;
    let until = tokio::time::Instant::now() + load.lasts;
    let mut calls = JoinSet::new();
    let mut count = 0;
    while tokio::time::Instant::now() < until {
        tokio::time::sleep(load.pause).await;
        while calls.try_join_next().is_some() {}
        if calls.len() >= MOST_IN_FLIGHT {
            continue;
        }
        count += 1;
        let request = load.requests[rng.usize(..load.requests.len())].clone();
        let (callers, rng) = (callers.clone(), rng.fork());
        let id = format!("{}-{count}", load.name);
        calls.spawn(async move { call_like_a_client(&callers, request, &id, rng).await });
    }
    while calls.join_next().await.is_some() {}
}
