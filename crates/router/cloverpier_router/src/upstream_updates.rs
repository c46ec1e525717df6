//! Applies lists and changes of upstreams from the store or from peers.
//!
//! The table of upstreams (`cloverpier_router_policy::upstream_table`) decides their effect on upstreams.
//! This module carries out the consequences for restarted upstreams, roll-outs and the revision in force.
//! Owns no state.

use crate::decision_log::{ListCorrected, UpstreamDeparted, log_named_event};
use crate::restart;
use crate::router::Router;
use crate::source::{EntryChange, UnreadableEntry, UpstreamChanges, UpstreamList};
use crate::store_events::log_version;
use crate::store_sync::FROM_STORE;
use crate::store_view::WatchedData;
use crate::upstream_log::log_upstream_change;
use cloverpier_router_policy::prelude::*;
use std::time::Instant;

/// Applies a whole list of upstreams unless it is older than the one in force. Unreadable entries are logged
/// and count as missing. `from` is the source of the list in the log line.
pub(crate) fn apply_upstream_list(router: &Router, list: UpstreamList, from: &str) {
    log_unreadable(router, &list.unreadable);
    let now = router.now();
    let mut table = router.upstreams.borrow_mut();
    let former_revision = table.revision();
    let applied = table.apply_list(list.upstreams, list.revision, now);
    drop(table);
    if from == FROM_STORE && former_revision > 0 && applied.changes > 0 {
        log_correction(router, former_revision, &applied);
    }
    restart::on_restarted(router, &applied.restarted, now);
    record_versions(router, now);
    log_departures(router, &applied, list.revision, from);
    check_returned(router, &applied.returned);
    if applied.is_new {
        router.store.on_upstreams_received(now);
        router.list_checks.on_list_received(now);
        log_version(router, WatchedData::Upstreams, list.revision, from);
    }
}

/// The changes as the table of upstreams takes them. An entry that became unreadable counts as removed, or is
/// left out if its name is unreadable, too.
pub(crate) fn readable_changes(changes: &UpstreamChanges) -> Vec<UpstreamChange> {
    let readable = changes.changes.iter().filter_map(|change| match change {
        EntryChange::Readable(change) => Some(change.clone()),
        EntryChange::Unreadable(entry) => entry.name.clone().map(UpstreamChange::Gone),
    });
    readable.collect()
}

/// Applies changes of upstreams if their revision is newer than the one in force. Does not notify peers, whom
/// the next heartbeat informs of the revision.
pub(crate) fn apply_upstream_changes(router: &Router, changes: UpstreamChanges, from: &str) {
    let readable = readable_changes(&changes);
    let unreadable = changes
        .changes
        .into_iter()
        .filter_map(|change| match change {
            EntryChange::Readable(_) => None,
            EntryChange::Unreadable(entry) => Some(entry),
        });
    log_unreadable(router, &unreadable.collect::<Vec<_>>());
    let now = router.now();
    let mut table = router.upstreams.borrow_mut();
    let applied = table.apply_changes(readable, changes.revision, now);
    drop(table);
    restart::on_restarted(router, &applied.restarted, now);
    record_versions(router, now);
    log_departures(router, &applied, changes.revision, from);
    check_returned(router, &applied.returned);
    if applied.is_new {
        log_version(router, WatchedData::Upstreams, changes.revision, from);
    }
}

/// Logs that a whole list from the store differs from the list that was in force.
fn log_correction(router: &Router, former_revision: u64, applied: &AppliedUpdate) {
    let table = router.upstreams.borrow();
    let line = ListCorrected {
        former_revision,
        revision: table.revision(),
        changes: applied.changes,
        digest: table.digest(),
    };
    router.log.info("list.corrected", &line);
}

/// Has upstreams checked that are listed again after they had left.
fn check_returned(router: &Router, returned: &[Upstream]) {
    for upstream in returned {
        let reason = "its entry lists it again after it had left; it is checked first";
        log_upstream_change(&router.log, "server.suspected", upstream, reason, 0);
        router.suspicion_added.notify_one();
    }
}

/// Logs the upstreams that an update has taken off the list or shows as about to leave.
fn log_departures(router: &Router, applied: &AppliedUpdate, revision: u64, from: &str) {
    for (upstream, departure) in &applied.departed {
        let table = router.upstreams.borrow();
        let state = table.get(&upstream.name);
        let line = UpstreamDeparted {
            upstream: upstream.name.as_str(),
            address: upstream.address.to_string(),
            reason: *departure,
            own_requests: state.map_or(0, |state| state.own_load.requests),
            upstreams_revision: revision,
            from,
        };
        router.log.info("server.departed", &line);
    }
}

/// Logs all unreadable entries in one line, with the name and reason of the first.
fn log_unreadable(router: &Router, entries: &[UnreadableEntry]) {
    let Some(first) = entries.first() else { return };
    let name = first.name.as_ref().map_or("", |name| name.as_str());
    let reason = match entries.len() {
        1 => first.reason.clone(),
        count => format!("{}; and {} entries more", first.reason, count - 1),
    };
    log_named_event(&router.log, "server.unreadable", name, &reason);
}

/// Records which software versions the list of upstreams contains.
pub(crate) fn record_versions(router: &Router, now: Instant) {
    let table = router.upstreams.borrow();
    let mut history = router.version_history.borrow_mut();
    let has_new = history.on_listed(table.version_counts(), table.revision(), now);
    if has_new {
        router.stream_origins.on_version_listed();
    }
}
