//! Keeps configuration and upstreams as new as the platform's store.
//!
//! Four loops: one for each thing that is watched, and one that pings the store while the
//! watches wait. They own the revision that they have read up to. When to call, and how long
//! to wait after a failure, is decided in `cloverpier_router_policy::{store_watch, store_ping}`.
//!
//! After a failed call everything is read again, not only after lost history: a store that
//! drops its history cuts all watches a moment before, and one that was made anew in between
//! from the former revision received nothing for 5 s, past a change and a leaving.

use crate::configuration_copies::HeldConfiguration;
use crate::decision_log::log_named_event;
use crate::gossip::spread_upstreams;
use crate::rollout_store::{apply_change, read_orders};
use crate::router::Router;
use crate::source::{ConfigurationSource, Freshness, SourceError, UpstreamChanges};
use crate::store_events::{
    apply_configuration, live_routers, max_store_backoff, on_ping_result, on_store_lost,
    on_store_regained,
};
use crate::store_list::read_list;
use crate::store_view::{StoreLoop, StoreView, Watched};
use crate::upstream_updates::{apply_upstream_changes, apply_upstream_list, readable_changes};
use cloverpier_core::jitter;
use cloverpier_router_policy::first_read::{FirstRead, StartupState, first_read};
use cloverpier_router_policy::prelude::{Configuration, Upstream};
use cloverpier_router_policy::store_ping::{PING_SUSPICION_TIMEOUT, PING_TIMEOUT, PingPacing};
use cloverpier_router_policy::store_watch::{
    INITIAL_BACKOFF, UPSTREAM_WATCH_PAUSE, WATCH_WAIT, may_call,
};
use std::collections::HashMap;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

/// Where applied versions come from, in log lines.
const FROM_STORE: &str = "store";

/// The pauses after failed calls.
pub(crate) struct Backoff {
    pause: Duration,
    store_loop: StoreLoop,
}

impl Backoff {
    fn new(store_loop: StoreLoop) -> Self {
        Self {
            pause: INITIAL_BACKOFF,
            store_loop,
        }
    }

    fn on_success(&mut self, router: &Router) {
        router.metrics.store_calls.count("answered");
        router.store.on_success(router.now());
        self.pause = INITIAL_BACKOFF;
        on_store_regained(router, self.store_loop);
    }

    /// Records a failed call and waits before the next one.
    pub(crate) async fn after_failure(&mut self, router: &Router, error: &SourceError) {
        router.metrics.store_calls.count("failed");
        on_store_lost(router, self.store_loop, &error.to_string());
        let pause = jitter(&mut router.rng.borrow_mut(), self.pause);
        self.pause = (self.pause * 2).min(max_store_backoff(router));
        tokio::select! {
            () = router.timers.sleep(pause) => {}
            // A ping was answered, or the role is another one.
            () = router.store.loops_woken() => {}
        }
    }
}

/// Waits until this router serves, knows its peers and is to call the store.
async fn wait_for_turn(router: &Router) {
    loop {
        let woken = router.store.loops_woken();
        let now = router.now();
        match router.store.watches_from() {
            Some(at) if now < at => router.timers.sleep_until(at).await,
            Some(_) if may_call(router.store.role(), router.store.is_fresh(now)) => return,
            // The role will be another one, or this router will serve.
            _ => woken.await,
        }
    }
}

/// How often a router that waits for a peer looks whether it is to read by itself.
const FIRST_READ_PERIOD: Duration = Duration::from_millis(5);

/// Waits until a peer has handed on what is awaited, or this router is to read it.
async fn wait_for_first_read(router: &Router, random: f64, is_known: impl Fn(&StoreView) -> bool) {
    while !is_known(&router.store) && !is_first_read_due(router, random) {
        router.timers.sleep(FIRST_READ_PERIOD).await;
    }
}

/// Whether this router reads from the store although it has just started.
fn is_first_read_due(router: &Router, random: f64) -> bool {
    let started = router.lifecycle.started_at();
    let starting = StartupState {
        is_seed: is_seed(router),
        age: router.now().saturating_duration_since(started),
        has_peers: router.peers.has_heard_any(),
        peers: router.peers.count(),
        random,
    };
    first_read(&starting) == FirstRead::Now
}

/// Whether others begin with this router.
fn is_seed(router: &Router) -> bool {
    let settings = router.settings();
    settings.seeds.is_empty() || settings.seeds.contains(&settings.listen.peers)
}

/// Watches the configuration until the process ends.
pub(crate) async fn watch_configuration(router: Rc<Router>, source: Rc<impl ConfigurationSource>) {
    let mut backoff = Backoff::new(StoreLoop::Of(Watched::Configuration));
    let mut revision: Option<u64> = None;
    let random = router.rng.borrow_mut().f64();
    loop {
        wait_for_first_read(&router, random, |store| store.configuration().is_some()).await;
        if router.store.configuration().is_some() {
            wait_for_turn(&router).await;
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
                revision = None;
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
    let mut backoff = Backoff::new(StoreLoop::Of(Watched::Upstreams));
    let mut revision: Option<u64> = None;
    let random = router.rng.borrow_mut().f64();
    loop {
        wait_for_first_read(&router, random, StoreView::knows_upstreams).await;
        if router.store.knows_upstreams() {
            wait_for_turn(&router).await;
            // Peers may have sent newer changes than the last watch returned.
            let known = router.upstreams.borrow().revision();
            revision = revision.map(|at| at.max(known));
        }
        let reached = match revision {
            None => read_upstreams(&router, &*source, &mut backoff, random).await,
            Some(at) => tokio::select! {
                changes = source.poll_upstreams(at, WATCH_WAIT) => {
                    changes.map(|changes| Some(apply_changes(&router, changes)))
                }
                () = router.store.watch_ended() => continue,
            },
        };
        match reached {
            // A peer has handed it on meanwhile, or is about to.
            Ok(None) => {}
            Ok(Some(at)) => {
                backoff.on_success(&router);
                revision = Some(at);
                router.timers.sleep(UPSTREAM_WATCH_PAUSE).await;
            }
            Err(error) => {
                revision = None;
                backoff.after_failure(&router, &error).await;
            }
        }
    }
}

/// Watches the orders of roll-outs until the process ends, where they are in force.
pub(crate) async fn watch_rollouts(router: Rc<Router>, source: Rc<impl ConfigurationSource>) {
    let mut backoff = Backoff::new(StoreLoop::Rollouts);
    let mut revision: Option<u64> = None;
    if router.exposure_bounds().is_none() {
        return;
    }
    loop {
        wait_for_turn(&router).await;
        let reached = match revision {
            None => read_orders(&router, &*source, Freshness::Newest).await,
            Some(at) => tokio::select! {
                changes = source.poll_rollouts(at, WATCH_WAIT) => {
                    changes.map(|changes| {
                        for change in changes.changes {
                            apply_change(&router, change, FROM_STORE);
                        }
                        changes.revision
                    })
                }
                () = router.store.watch_ended() => continue,
            },
        };
        match reached {
            Ok(at) => {
                backoff.on_success(&router);
                revision = Some(at);
            }
            Err(error) => {
                revision = None;
                backoff.after_failure(&router, &error).await;
            }
        }
    }
}

/// Reads the whole list; returns the revision reached, or `None` if the list is not wanted any more.
///
/// The orders of roll-outs are read before, at a start: whoever learns of a new version's upstreams
/// has to know that few requests may go there.
///
/// A list that may be old costs a tenth and does for a router that has just started, as peers and
/// the watch supply later changes.  After a failed call the list replaces a watch that may have
/// missed changes, so it has to be new.
async fn read_upstreams(
    router: &Router,
    source: &impl ConfigurationSource,
    backoff: &mut Backoff,
    random: f64,
) -> Result<Option<u64>, SourceError> {
    let freshness = if router.store.knows_upstreams() {
        Freshness::Newest
    } else {
        Freshness::MayBeOld
    };
    let is_start = freshness == Freshness::MayBeOld && router.exposure_bounds().is_some();
    if is_start {
        read_orders(router, source, freshness).await?;
    }
    let is_wanted = || match freshness {
        Freshness::MayBeOld => !router.store.knows_upstreams() && is_first_read_due(router, random),
        Freshness::Newest => may_call(router.store.role(), router.store.is_fresh(router.now())),
    };
    let list = read_list(router, source, freshness, backoff, is_wanted).await?;
    let Some(list) = list else {
        return Ok(None);
    };
    if is_start && has_several_versions(&list.upstreams) {
        // The order may be younger than what was read of it.
        read_orders(router, source, Freshness::Newest).await?;
    }
    let revision = list.revision;
    apply_upstream_list(router, list, FROM_STORE);
    Ok(Some(revision))
}

/// Whether upstreams of one service run several versions, as during a roll-out.
fn has_several_versions(upstreams: &[Upstream]) -> bool {
    let mut first = HashMap::new();
    upstreams.iter().any(|upstream| {
        let version = upstream.version();
        *first.entry(&upstream.service).or_insert(version) != version
    })
}

/// Applies what a watch returned; gives the revision reached.
fn apply_changes(router: &Router, changes: UpstreamChanges) -> u64 {
    let revision = changes.revision;
    let count = changes.changes.len();
    if count > 0 {
        let from = format!("{FROM_STORE}, {count} changes");
        let known = router.upstreams.borrow().revision();
        let readable = readable_changes(&changes);
        apply_upstream_changes(router, changes, &from);
        // The others learn it from this router.
        if !spread_upstreams(router, known, revision, readable) {
            router.peers.outbox.report_version();
        }
    }
    revision
}

/// Pings the store while watches wait, or before they begin, until the process ends.
pub(crate) async fn ping_store(router: Rc<Router>, source: Rc<impl ConfigurationSource>) {
    let mut pacing = PingPacing::default();
    let mut is_silent = false;
    loop {
        // Before it serves, a router's first reads show whether the store answers.
        while !router.store.is_serving() && !is_seed(&router) {
            router.store.loops_woken().await;
        }
        let role = router.store.role();
        let random = || router.rng.borrow_mut().f64();
        let Some(pause) = pacing.pause(role, live_routers(&router), random) else {
            router.store.loops_woken().await;
            continue;
        };
        tokio::select! {
            () = router.timers.sleep(pause) => {}
            () = router.store.loops_woken() => {}
        }
        if router.store.role() != role {
            continue;
        }
        let result = ping(&router, &*source).await;
        pacing.on_result(result.is_ok(), role, live_routers(&router));
        match result {
            Ok(()) => on_ping_answered(&router, &mut is_silent),
            Err(error) => on_ping_failed(&router, &error, &mut is_silent),
        }
    }
}

/// Pings the store once; peers learn of a suspicion before the ping is over.
async fn ping(router: &Router, source: &impl ConfigurationSource) -> Result<(), SourceError> {
    let mut ping = pin!(source.ping(PING_TIMEOUT));
    if let Ok(result) = router
        .timers
        .timeout(PING_SUSPICION_TIMEOUT, &mut ping)
        .await
    {
        return result;
    }
    on_ping_result(router, false);
    ping.await
}

fn on_ping_failed(router: &Router, error: &SourceError, is_silent: &mut bool) {
    router.metrics.store_calls.count("ping-failed");
    on_ping_result(router, false);
    if !std::mem::replace(is_silent, true) {
        log_named_event(&router.log, "store.silent", "ping", &error.to_string());
    }
}

fn on_ping_answered(router: &Router, is_silent: &mut bool) {
    router.metrics.store_calls.count("ping-answered");
    if std::mem::take(is_silent) {
        // A store that was silent may have swallowed the watches, too.
        router.store.end_watches();
    }
    let was_fresh = router.store.is_fresh(router.now());
    router.store.on_success(router.now());
    on_ping_result(router, true);
    on_store_regained(router, StoreLoop::Of(Watched::Configuration));
    on_store_regained(router, StoreLoop::Of(Watched::Upstreams));
    on_store_regained(router, StoreLoop::Rollouts);
    if !was_fresh {
        router.store.wake_loops();
    }
}
