//! The consequences of new configurations, of failed and successful calls to the store, and of changed
//! watcher roles: data is applied, peers are notified, and changes are logged.
//!
//! Owns no state; [`crate::store_view`] holds it. `cloverpier_router_policy::store_watch` decides which
//! routers watch the store.

use crate::admission;
use crate::configuration_copies::ConfigurationWithCopies;
use crate::decision_log::{VersionApplied, WatcherRoleChanged, log_named_event};
use crate::router::Router;
use crate::store_view::{StoreLoop, WatchedData};
use cloverpier_router_policy::store_watch::{
    OwnWatcherState, fresh_watchers, max_backoff, watcher_role,
};
use cloverpier_router_policy::suspicion::MIN_OUTAGE;
use std::time::{Duration, Instant};

/// Applies a configuration if it is newer than the one in force. Peers are notified at once, as they can
/// fetch it from any router that has it. `from` is its source in the log line.
pub(crate) fn apply_configuration(
    router: &Router,
    configuration: ConfigurationWithCopies,
    from: &str,
) {
    let version = configuration.index().version();
    let services = configuration.index().unindexed().services.iter();
    let services = services.map(|s| s.name.clone()).collect();
    if router.store.set_configuration(configuration) {
        router.upstreams.borrow_mut().set_services(services);
        admission::update_bounds(router);
        router.store.on_data_received(router.now());
        router.peers.outbox.schedule_heartbeat();
        log_version(router, WatchedData::Configuration, version, from);
    }
}

/// Logs that a version of the configuration or of the upstreams was applied. `from` is its source: the store
/// or a peer.
pub(crate) fn log_version(router: &Router, watched: WatchedData, version: u64, from: &str) {
    let line = VersionApplied {
        what: watched.name(),
        version,
        from,
    };
    router.log.info("version.taken", &line);
}

/// Records a failed call of a loop. The first of consecutive failures is logged, and peers are notified if no
/// other call failed before.
pub(crate) fn on_store_call_failed(router: &Router, store_loop: StoreLoop, reason: &str) {
    let was_failing = router.store.is_failing();
    if !router.store.set_failing(store_loop, true) {
        log_named_event(&router.log, "dependency.lost", store_loop.name(), reason);
    }
    report_call_status_change(router, was_failing);
}

/// Records a successful call of a loop. The first success after failures is logged, and peers are notified if
/// no other call fails.
pub(crate) fn on_store_call_succeeded(router: &Router, store_loop: StoreLoop) {
    let was_failing = router.store.is_failing();
    if router.store.set_failing(store_loop, false) {
        log_named_event(
            &router.log,
            "dependency.regained",
            store_loop.name(),
            "the store responds",
        );
    }
    report_call_status_change(router, was_failing);
}

/// Records whether the store responds to pings. Peers are notified if that changes whether any call fails.
pub(crate) fn on_ping_result(router: &Router, has_succeeded: bool) {
    let was_failing = router.store.is_failing();
    router.store.set_pings_failing(!has_succeeded);
    report_call_status_change(router, was_failing);
}

/// Notifies peers at once if this router watches the store and its calls have begun or stopped to fail.
fn report_call_status_change(router: &Router, was_failing: bool) {
    if router.store.is_failing() != was_failing && router.store.role().watches() {
        router.peers.outbox.schedule_heartbeat();
    }
}

/// Decides this router's role as a watcher of the store again, and logs when this router starts or stops to
/// watch.
pub(crate) fn decide_watcher_role(router: &Router, now: Instant) {
    let peers = router.peers.ready(now, router.peer_timeout());
    let settings = router.settings();
    let own = OwnWatcherState {
        address: settings.listen.peers,
        data_centre: settings.data_centre.clone(),
        is_fresh: router.store.is_fresh(now),
    };
    let has_contact = own.is_fresh || !fresh_watchers(&peers).is_empty();
    if router.store.set_contact(has_contact, now) && !has_contact {
        router.stream_origins.refresh_now();
    }
    let lost_for = router.store.contact_lost_for(now);
    if lost_for.is_some_and(|lost_for| lost_for >= MIN_OUTAGE) {
        router.upstreams.borrow_mut().on_store_away(now);
    }
    let role = watcher_role(&own, &peers);
    let previous = router.store.set_role(role);
    if previous == role {
        return;
    }
    router.store.wake_loops();
    if previous.watches() != role.watches() {
        let line = WatcherRoleChanged {
            watches: role.watches(),
            live_peers: peers.len(),
            role,
        };
        router.log.info("store.following", &line);
    }
}

/// Maximum pause between calls to a store that does not respond.
pub(crate) fn max_store_backoff(router: &Router) -> Duration {
    max_backoff(router.store.role(), live_routers(router))
}

/// Number of routers that are alive, this one included.
pub(crate) fn live_routers(router: &Router) -> usize {
    let timeout = router.peer_timeout();
    1 + router.peers.live(router.now(), timeout).len()
}
