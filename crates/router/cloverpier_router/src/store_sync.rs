//! Keeps configuration and upstreams as new as the platform's store.
//!
//! Three loops: one for each thing that is watched, and one that pings the store while the
//! watches wait. They own the revision that they have read up to. When to call, and how long
//! to wait after a failure, is decided in `cloverpier_router_policy::store_watch`.

use crate::configuration_copies::HeldConfiguration;
use crate::router::Router;
use crate::source::{ConfigurationSource, SourceError, UpstreamChanges};
use crate::store_view::{
    Watched, apply_configuration, apply_upstream_changes, apply_upstream_list, log_dependency,
    max_store_backoff, on_store_lost, on_store_regained,
};
use cloverpier_core::jitter;
use cloverpier_router_policy::prelude::Configuration;
use cloverpier_router_policy::store_watch::{
    CallPacing, CallStep, GATHER_PERIOD, INITIAL_BACKOFF, PING_PERIOD, PING_TIMEOUT, WATCH_WAIT,
};
use std::rc::Rc;
use std::time::Duration;

/// Where applied versions come from, in log lines.
const FROM_STORE: &str = "store";

/// The pauses after failed calls.
struct Backoff {
    pause: Duration,
    watched: Watched,
}

impl Backoff {
    fn new(watched: Watched) -> Self {
        Self {
            pause: INITIAL_BACKOFF,
            watched,
        }
    }

    fn on_success(&mut self, router: &Router) {
        router.metrics.store_calls.count("answered");
        router.store.on_success(router.now());
        self.pause = INITIAL_BACKOFF;
        on_store_regained(router, self.watched);
    }

    /// Records a failed call and waits before the next one.
    async fn after_failure(&mut self, router: &Router, error: &SourceError) {
        router.metrics.store_calls.count("failed");
        on_store_lost(router, self.watched, &error.to_string());
        let pause = jitter(&mut router.rng.borrow_mut(), self.pause);
        self.pause = (self.pause * 2).min(max_store_backoff(router));
        tokio::time::sleep(pause).await;
    }
}

/// Waits where it is not this router's turn; true when the store is to be called now.
async fn may_call(pacing: &mut CallPacing, router: &Router) -> bool {
    let step = pacing.step(router.store.role(), || router.rng.borrow_mut().f64());
    let pause = match step {
        CallStep::Call => return true,
        CallStep::CheckAfter(pause) => pause,
        CallStep::CheckAfterPart(part) => max_store_backoff(router).mul_f64(part),
    };
    tokio::time::sleep(pause).await;
    false
}

/// Watches the configuration until the process ends.
pub(crate) async fn watch_configuration(router: Rc<Router>, source: Rc<impl ConfigurationSource>) {
    let mut backoff = Backoff::new(Watched::Configuration);
    let mut pacing = CallPacing::default();
    let mut revision: Option<u64> = None;
    loop {
        let is_known = router.store.configuration().is_some();
        if is_known && !may_call(&mut pacing, &router).await {
            continue;
        }
        let change = match revision {
            None => source.read_configuration().await,
            Some(at) => {
                let given_up = router.store.watch_ended();
                source.poll_configuration(at, WATCH_WAIT, given_up).await
            }
        };
        match change {
            Ok(change) => {
                backoff.on_success(&router);
                revision = Some(change.revision);
                if let Some(configuration) = change.configuration {
                    apply_from_store(&router, configuration).await;
                }
            }
            // The store swallowed the watch, or may have; the next one asks anew.
            Err(SourceError::GivenUp) => {}
            Err(error) => {
                revision = revision.filter(|_| error != SourceError::HistoryLost);
                backoff.after_failure(&router, &error).await;
            }
        }
    }
}

async fn apply_from_store(router: &Router, configuration: Configuration) {
    if configuration.version > router.store.configuration_version() {
        let held = HeldConfiguration::index(configuration).await;
        apply_configuration(router, held, FROM_STORE);
    }
}

/// Watches the list of upstreams until the process ends.
pub(crate) async fn watch_upstreams(router: Rc<Router>, source: Rc<impl ConfigurationSource>) {
    let mut backoff = Backoff::new(Watched::Upstreams);
    let mut pacing = CallPacing::default();
    let mut revision: Option<u64> = None;
    loop {
        if router.store.knows_upstreams() {
            if !may_call(&mut pacing, &router).await {
                continue;
            }
            // Peers may have sent newer changes than the last watch returned.
            let known = router.upstreams.borrow().revision();
            revision = revision.map(|at| at.max(known));
        }
        let reached = match revision {
            None => read_upstreams(&router, &*source).await,
            Some(at) => tokio::select! {
                changes = source.poll_upstreams(at, WATCH_WAIT) => {
                    changes.map(|changes| apply_changes(&router, changes))
                }
                () = router.store.watch_ended() => continue,
            },
        };
        match reached {
            Ok(at) => {
                backoff.on_success(&router);
                revision = Some(at);
                tokio::time::sleep(GATHER_PERIOD).await;
            }
            Err(error) => {
                revision = revision.filter(|_| error != SourceError::HistoryLost);
                backoff.after_failure(&router, &error).await;
            }
        }
    }
}

/// Reads the whole list; returns the revision reached.
async fn read_upstreams(
    router: &Router,
    source: &impl ConfigurationSource,
) -> Result<u64, SourceError> {
    let list = source.read_upstreams().await?;
    let revision = list.revision;
    apply_upstream_list(router, list, FROM_STORE);
    Ok(revision)
}

/// Applies what a watch returned; gives the revision reached.
fn apply_changes(router: &Router, changes: UpstreamChanges) -> u64 {
    let revision = changes.revision;
    let count = changes.changes.len();
    if count > 0 {
        let from = format!("{FROM_STORE}, {count} changes");
        apply_upstream_changes(router, changes, &from);
        // The others learn it from this router.
        router.peers.report_version();
    }
    revision
}

/// Pings the store while watches wait, until the process ends.
pub(crate) async fn ping_store(router: Rc<Router>, source: Rc<impl ConfigurationSource>) {
    let mut is_silent = false;
    loop {
        tokio::time::sleep(PING_PERIOD).await;
        if !router.store.role().pings(router.store.fails()) {
            continue;
        }
        match source.ping(PING_TIMEOUT).await {
            Ok(()) => {
                if std::mem::take(&mut is_silent) {
                    // A store that was silent may have swallowed the watches, too.
                    router.store.end_watches();
                }
                router.metrics.store_calls.count("ping-answered");
                router.store.on_success(router.now());
                on_store_regained(&router, Watched::Configuration);
                on_store_regained(&router, Watched::Upstreams);
            }
            Err(error) => {
                router.metrics.store_calls.count("ping-failed");
                if !std::mem::replace(&mut is_silent, true) {
                    log_dependency(&router, "store.silent", "ping", &error.to_string());
                }
            }
        }
    }
}
