//! A request that crashes whichever upstream runs it, repeated at any router while upstreams pause; and what must
//! hold of it, seen by upstreams and by the callers of other requests.

use super::checks::Report;
use super::load::Sent;
use crate::router_site::{STREAM_PATH, Site};
use cloverpier_core::lock;
use cloverpier_router_standin::caller::{Outcome, call};
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// The body of the request.
pub const CRASHING: &str = "crashes whoever runs it";
/// Within this time of the third crash all routers know of it: the users' bound.
const CONTACT: Duration = Duration::from_secs(3);
/// Times that the request may reach an upstream after that.
const MOST_LATE_ARRIVALS: usize = 3;
/// The status by which callers learn that coming again does not help.
const NOT_AGAIN: u16 = 400;
/// How long the last ones may wait for their answers.
const LAST_ANSWERS: Duration = Duration::from_secs(2);
/// Between two repeats, in milliseconds.
const REPEAT_MS: std::ops::Range<u64> = 100..1_000;

/// A caller that repeats the request.
#[derive(Debug)]
pub struct Repeats {
    stop: watch::Sender<bool>,
    task: JoinSet<()>,
}

impl Repeats {
    /// Starts the caller.
    pub fn start(site: &Site, mut rng: fastrand::Rng) -> Self {
        let routers: Vec<_> = site.routers.iter().map(|router| router.callers).collect();
        let names = site.names.clone();
        let mut request = site.request("", STREAM_PATH);
        request.body = CRASHING.to_owned();
        let (stop, stopped) = watch::channel(false);
        let mut task = JoinSet::new();
        task.spawn(async move {
            let mut calls = JoinSet::new();
            for count in 0.. {
                if *stopped.borrow() {
                    break;
                }
                request.id = format!("crashing-{count}");
                let router = routers[rng.usize(..routers.len())];
                let (request, names) = (request.clone(), names.clone());
                calls.spawn(async move { call(router, &names, &request).await });
                tokio::time::sleep(Duration::from_millis(rng.u64(REPEAT_MS))).await;
            }
            // Those that still wait leave.
            let _ = tokio::time::timeout(LAST_ANSWERS, calls.join_all()).await;
        });
        Self { stop, task }
    }

    /// Ends it; waits for what is in flight.
    pub async fn stop(self) {
        self.stop.send_replace(true);
        self.task.join_all().await;
    }
}

/// Checks that the content was stopped in time, and no other one.
pub fn check_crashes(site: &Site, sent: &[Sent], report: &mut Report) {
    let ledger = lock(&site.ledger);
    for _ in &ledger.crashes {
        report.count("upstream ended by the request");
    }
    if let Some(third) = ledger.third_crash() {
        let arrivals = ledger.crashing_arrivals.iter();
        let late = arrivals.filter(|a| a.at > third + CONTACT).count();
        if late > MOST_LATE_ARRIVALS {
            let found = format!("{late} arrivals later than {CONTACT:?} after the third crash");
            report.violation("crashing", &found);
        }
    }
    for one in sent {
        if matches!(one.outcome, Outcome::Status(NOT_AGAIN, _)) {
            let found = format!("{} crashes nothing and was stopped", one.request.id);
            report.violation("crashing", &found);
        }
    }
}
