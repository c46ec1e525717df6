//! What follows from changes of the platform's store: a configuration is put in force, peers are told that
//! calls fail, this router begins or ends to watch.
//!
//! Owns no state: [`crate::store_view`] does. Who watches is decided in
//! `cloverpier_router_policy::store_watch`.

use crate::configuration_copies::HeldConfiguration;
use crate::decision_log::{VersionApplied, WatcherRoleChanged, log_named_event};
use crate::router::Router;
use crate::store_view::{StoreLoop, Watched};
use cloverpier_router_policy::store_watch::{OwnWatcherState, max_backoff, watcher_role};
use std::time::{Duration, Instant};

/// Puts a configuration in force if it is newer; peers are notified at once, as any router that
/// has it can hand it on.
pub(crate) fn apply_configuration(router: &Router, held: HeldConfiguration, from: &str) {
    let version = held.configuration().version();
    let services = held.configuration().unindexed().services.iter();
    let services = services.map(|s| s.name.clone()).collect();
    if router.store.set_configuration(held) {
        router.upstreams.borrow_mut().set_services(services);
        router.store.on_learned(router.now());
        router.peers.outbox.report_version();
        log_version(router, Watched::Configuration, version, from);
    }
}

pub(crate) fn log_version(router: &Router, watched: Watched, version: u64, from: &str) {
    let line = VersionApplied {
        what: watched.name(),
        version,
        from,
    };
    router.log.info("version.taken", &line);
}

/// Records that calls fail; the first failure in a row is logged and reported to peers.
pub(crate) fn on_store_lost(router: &Router, store_loop: StoreLoop, reason: &str) {
    let failed = router.store.fails();
    if !router.store.set_fails(store_loop, true) {
        log_named_event(&router.log, "dependency.lost", store_loop.name(), reason);
    }
    report_change_of_calls(router, failed);
}

/// Records that calls succeed; the first success after failures is logged and reported to peers.
pub(crate) fn on_store_regained(router: &Router, store_loop: StoreLoop) {
    let failed = router.store.fails();
    if router.store.set_fails(store_loop, false) {
        log_named_event(
            &router.log,
            "dependency.regained",
            store_loop.name(),
            "it answers",
        );
    }
    report_change_of_calls(router, failed);
}

/// Records whether pings are answered; peers are notified of a change.
pub(crate) fn on_ping_result(router: &Router, is_answered: bool) {
    let failed = router.store.fails();
    router.store.set_pings_fail(!is_answered);
    report_change_of_calls(router, failed);
}

/// Has peers notified at once that calls fail now, or succeed again.
fn report_change_of_calls(router: &Router, failed: bool) {
    if router.store.fails() != failed && router.store.role().watches() {
        router.peers.outbox.report_version();
    }
}

/// Decides this router's role as a watcher of the store, and logs when it begins or ends to
/// watch.
pub(crate) fn decide_watcher_role(router: &Router, now: Instant) {
    let peers = router.peers.ready(now, router.peer_timeout());
    let settings = router.settings();
    let own = OwnWatcherState {
        address: settings.listen.peers,
        data_centre: settings.data_centre.clone(),
        is_fresh: router.store.is_fresh(now),
    };
    let role = watcher_role(&own, &peers);
    let former = router.store.set_role(role);
    if former == role {
        return;
    }
    router.store.wake_loops();
    if former.watches() != role.watches() {
        let line = WatcherRoleChanged {
            watches: role.watches(),
            live_peers: peers.len(),
            role,
        };
        router.log.info("store.following", &line);
    }
}

/// The longest pause between calls to a store that does not answer.
pub(crate) fn max_store_backoff(router: &Router) -> Duration {
    max_backoff(router.store.role(), live_routers(router))
}

/// Number of routers that are alive, this one included.
pub(crate) fn live_routers(router: &Router) -> usize {
    let timeout = router.peer_timeout();
    1 + router.peers.live(router.now(), timeout).len()
}
