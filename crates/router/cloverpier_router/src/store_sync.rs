//! The loops that watch the platform's store and keep this router's data up to date.
//!
//! There are three loops: one each for the configuration, the upstreams and the orders of roll-outs. Each loop owns the
//! revision up to which it has read. `cloverpier_router_policy::{store_watch, first_read}` decide when to call the
//! store, and how long to wait after a failure. `store_pings` pings the store while the watches wait for changes.
//!
//! After any failed call a loop reads all of its data again, and not only when the store reports that it has
//! lost its history. A store that drops its history first ends all watches. A watch that is started between
//! the two events, from the last known revision, can receive nothing for 5 s, so that a change and the
//! shutdown of an upstream go unnoticed.

use crate::configuration_copies::ConfigurationWithCopies;
use crate::list_confirmation::{Polled, confirm_first_list, poll_list};
use crate::rollout_store::{apply_change, read_orders};
use crate::router::Router;
use crate::source::{ConfigurationSource, MixedServiceMarks, SourceError};
use crate::store_events::{
    apply_configuration, max_store_backoff, on_store_call_failed, on_store_call_succeeded,
};
use crate::store_list::read_list;
use crate::store_reads::apply_read_list;
use crate::store_view::{StoreLoop, StoreView, WatchedData};
use cloverpier_core::jitter;
use cloverpier_router_policy::first_read::{FirstRead, StartupState, first_read};
use cloverpier_router_policy::prelude::Configuration;
use cloverpier_router_policy::store_watch::{
    INITIAL_BACKOFF, UPSTREAM_WATCH_PAUSE, WATCH_WAIT, may_call,
};
use cloverpier_router_policy::watch_position::WatchPosition;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The source of versions that were read from the store, in log lines.
pub(crate) const FROM_STORE: &str = "store";

/// Exponential backoff of one loop's calls to the store, which also records whether the loop's calls fail.
pub(crate) struct Backoff {
    /// The pause after the next failed call, before randomisation.
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
        on_store_call_succeeded(router, self.store_loop);
    }

    /// Records a failed call. Then waits for a random time between half the pause and the whole, or until the
    /// loops are woken, and doubles the next pause.
    pub(crate) async fn after_failure(&mut self, router: &Router, error: &SourceError) {
        router.metrics.store_calls.count("failed");
        on_store_call_failed(router, self.store_loop, &error.to_string());
        if matches!(error, SourceError::HistoryLost) {
            // The watches of the other loops may hear nothing any more.
            router.list_checks.request_read();
        }
        let pause = jitter(&mut router.rng.borrow_mut(), self.pause);
        self.pause = (self.pause * 2).min(max_store_backoff(router));
        tokio::select! {
            () = router.timers.sleep(pause) => {}
            // The store responded to a ping again, or this router's watcher role has changed.
            () = router.store.loops_woken() => {}
        }
    }
}

/// Waits until this router may watch the store: it has served for long enough to have received other
/// watchers' reports, and its role includes calls to the store.
async fn wait_until_may_watch(router: &Router) {
    loop {
        let woken = router.store.loops_woken();
        let now = router.now();
        match router.store.watches_from() {
            Some(at) if now < at => router.timers.sleep_until(at).await,
            Some(_) if may_call(router.store.role(), router.store.is_fresh(now)) => return,
            // A change of the role, or the first configuration and list of upstreams, wakes the loops.
            _ => woken.await,
        }
    }
}

/// Interval at which a starting router that waits for data from a peer checks whether to read from the store
/// instead.
const FIRST_READ_PERIOD: Duration = Duration::from_millis(5);

/// Waits until a peer has delivered the data (`has_data`), or this router should read the data from the
/// store. `random` is [`StartupState::random`].
async fn wait_for_first_read(router: &Router, random: f64, has_data: impl Fn(&StoreView) -> bool) {
    while !has_data(&router.store) && !is_first_read_due(router, random) {
        router.timers.sleep(FIRST_READ_PERIOD).await;
    }
}

/// Whether this router, which has no data yet, should read from the store now instead of waiting for a peer.
fn is_first_read_due(router: &Router, random: f64) -> bool {
    let started = router.lifecycle.started_at();
    let starting = StartupState {
        is_seed: is_seed(router),
        age: router.now().saturating_duration_since(started),
        has_peers: router.peers.has_live_members(),
        peers: router.peers.count(),
        random,
    };
    first_read(&starting) == FirstRead::Now
}

/// Whether the settings name this router as a seed, or name no seeds.
pub(crate) fn is_seed(router: &Router) -> bool {
    let settings = router.settings();
    settings.seeds.is_empty() || settings.seeds.contains(&settings.listen.peers)
}

/// Reads and watches the configuration until the process ends.
pub(crate) async fn watch_configuration(router: Rc<Router>, source: Rc<impl ConfigurationSource>) {
    let mut backoff = Backoff::new(StoreLoop::Data(WatchedData::Configuration));
    let mut position: Option<WatchPosition> = None;
    let random = router.rng.borrow_mut().f64();
    loop {
        wait_for_first_read(&router, random, |store| store.configuration().is_some()).await;
        if router.store.configuration().is_some() {
            wait_until_may_watch(&router).await;
        }
        let change = match position {
            None => source.read_configuration().await,
            Some(position) => {
                let watch_cancelled = router.store.watches_restarted();
                source
                    .poll_configuration(position.after(), WATCH_WAIT, watch_cancelled)
                    .await
            }
        };
        match change {
            Ok(change) => {
                backoff.on_success(&router);
                let polled = Polled::new(change.has_content, change.revision);
                advance(&mut position, polled, router.now());
                if let Some(configuration) = change.configuration {
                    apply_from_store(&router, configuration).await;
                }
            }
            // The watch was cancelled, because the store may have dropped it. The next call starts a new one.
            Err(SourceError::Cancelled) => {}
            Err(error) => {
                position = None;
                backoff.after_failure(&router, &error).await;
            }
        }
    }
}

/// Applies a configuration that was read from the store, if it is newer than the one in force.
pub(crate) async fn apply_from_store(router: &Router, configuration: Configuration) {
    if configuration.version > router.store.configuration_version() {
        let configuration = ConfigurationWithCopies::from_configuration(configuration).await;
        apply_configuration(router, configuration, FROM_STORE);
    }
}

/// Reads and watches the list of upstreams until the process ends.
pub(crate) async fn watch_upstreams(
    router: Rc<Router>,
    source: Rc<impl ConfigurationSource + MixedServiceMarks>,
) {
    let mut backoff = Backoff::new(StoreLoop::Data(WatchedData::Upstreams));
    let mut position: Option<WatchPosition> = None;
    let random = router.rng.borrow_mut().f64();
    loop {
        wait_for_first_read(&router, random, StoreView::has_upstreams).await;
        if router.store.has_upstreams() {
            wait_until_may_watch(&router).await;
            // Peers may have delivered newer changes than the last watch.
            if let Some(position) = &mut position {
                position.on_content(router.upstreams.borrow().revision());
            }
        }
        let (began, known_revision) = (router.now(), router.upstreams.borrow().revision());
        let result = match position {
            None => {
                let read = read_upstreams(&router, &*source, &mut backoff, random).await;
                read.map(|revision| revision.map(Polled::Content))
            }
            Some(position) => tokio::select! {
                polled = poll_list(&router, &*source, position.after(), WATCH_WAIT) => polled.map(Some),
                () = router.store.watches_restarted() => continue,
            },
        };
        match result {
            // The read was abandoned, as a peer has delivered the list or this router stopped watching.
            Ok(None) => {}
            Ok(Some(polled)) => {
                backoff.on_success(&router);
                advance(&mut position, polled, router.now());
                confirm_first_list(&router, &*source).await;
                let is_changed = router.upstreams.borrow().revision() != known_revision;
                // A store that cuts its watches at once must not be called without a pause.
                let is_cut = router.now() < began + UPSTREAM_WATCH_PAUSE;
                if is_changed || is_cut {
                    router.timers.sleep(UPSTREAM_WATCH_PAUSE).await;
                }
            }
            Err(error) => {
                position = None;
                backoff.after_failure(&router, &error).await;
            }
        }
    }
}

/// Moves the position of a watch on by a response; the first response sets it.
fn advance(position: &mut Option<WatchPosition>, polled: Polled, now: Instant) {
    match (polled, position.as_mut()) {
        (Polled::NoChanges(revision), Some(position)) => position.on_no_changes(revision, now),
        (polled, _) => *position = Some(WatchPosition::after_content(polled.revision())),
    }
}

/// Reads and watches the orders of roll-outs until the process ends. Returns at once if the settings don't
/// enable roll-outs.
pub(crate) async fn watch_rollouts(router: Rc<Router>, source: Rc<impl ConfigurationSource>) {
    let mut backoff = Backoff::new(StoreLoop::Rollouts);
    let mut position: Option<WatchPosition> = None;
    if router.exposure_bounds().is_none() {
        return;
    }
    loop {
        wait_until_may_watch(&router).await;
        let result = match position {
            None => {
                let read = read_orders(&router, &*source).await;
                read.map(Polled::Content)
            }
            Some(position) => tokio::select! {
                changes = source.poll_rollouts(position.after(), WATCH_WAIT) => {
                    changes.map(|changes| {
                        let polled = Polled::new(!changes.changes.is_empty(), changes.revision);
                        for change in changes.changes {
                            apply_change(&router, change, FROM_STORE);
                        }
                        polled
                    })
                }
                () = router.store.watches_restarted() => continue,
            },
        };
        match result {
            Ok(polled) => {
                backoff.on_success(&router);
                advance(&mut position, polled, router.now());
            }
            Err(error) => {
                position = None;
                backoff.after_failure(&router, &error).await;
            }
        }
    }
}

/// Reads and applies the whole list of upstreams. Returns its revision, or `None` if the read was abandoned
/// because the list is no longer needed.
///
/// After the start, the orders of roll-outs are read first, because a router that has a new version's
/// upstreams must already limit the requests that go there.
async fn read_upstreams(
    router: &Router,
    source: &impl ConfigurationSource,
    backoff: &mut Backoff,
    random: f64,
) -> Result<Option<u64>, SourceError> {
    let is_startup = !router.store.has_upstreams();
    if is_startup && router.exposure_bounds().is_some() {
        read_orders(router, source).await?;
    }
    let is_wanted = || {
        if is_startup {
            !router.store.has_upstreams() && is_first_read_due(router, random)
        } else {
            may_call(router.store.role(), router.store.is_fresh(router.now()))
        }
    };
    let sent_at = router.now();
    let list = read_list(router, source, Some(backoff), is_wanted).await?;
    let Some(list) = list else {
        return Ok(None);
    };
    let revision = list.revision;
    // Whether services had several versions before is read next.
    router.store.set_confirming(is_startup);
    apply_read_list(router, list, sent_at);
    Ok(Some(revision))
}
