//! Puts in force what the store or a peer says of upstreams.
//!
//! What a list or a change means is decided by the table of upstreams
//! (`cloverpier_router_policy::upstream_table`); what follows for this router's connections, runs
//! and versions is done here. Owns no state.

use crate::decision_log::log_named_event;
use crate::restart;
use crate::rollouts;
use crate::router::Router;
use crate::source::{ReadChange, UnreadableEntry, UpstreamChanges, UpstreamList};
use crate::store_events::log_version;
use crate::store_view::Watched;
use cloverpier_router_policy::prelude::*;

/// Puts a whole list of upstreams in force if it is not older. An entry that cannot be read names
/// no upstream.
pub(crate) fn apply_upstream_list(router: &Router, list: UpstreamList, from: &str) {
    log_unreadable(router, &list.unreadable);
    let now = router.now();
    let mut table = router.upstreams.borrow_mut();
    let applied = table.apply_list(list.upstreams, list.revision, now);
    drop(table);
    restart::on_restarted(router, &applied.restarted, now);
    rollouts::on_listed(router, &applied, now);
    if applied.is_new {
        router.store.on_upstreams_learned(now);
        log_version(router, Watched::Upstreams, list.revision, from);
    }
}

/// The changes that can be read; an entry that cannot be read any more names no upstream, as if it were
/// gone.
pub(crate) fn readable_changes(changes: &UpstreamChanges) -> Vec<UpstreamChange> {
    let readable = changes.changes.iter().filter_map(|change| match change {
        ReadChange::Readable(change) => Some(change.clone()),
        ReadChange::Unreadable(entry) => entry.name.clone().map(UpstreamChange::Gone),
    });
    readable.collect()
}

/// Puts changes of upstreams in force if they are new; peers learn of it by the next heartbeat.
pub(crate) fn apply_upstream_changes(router: &Router, changes: UpstreamChanges, from: &str) {
    let readable = readable_changes(&changes);
    let unreadable = changes
        .changes
        .into_iter()
        .filter_map(|change| match change {
            ReadChange::Readable(_) => None,
            ReadChange::Unreadable(entry) => Some(entry),
        });
    log_unreadable(router, &unreadable.collect::<Vec<_>>());
    let now = router.now();
    let mut table = router.upstreams.borrow_mut();
    let applied = table.apply_changes(readable, changes.revision, now);
    drop(table);
    restart::on_restarted(router, &applied.restarted, now);
    rollouts::on_listed(router, &applied, now);
    if applied.is_new {
        log_version(router, Watched::Upstreams, changes.revision, from);
    }
}

/// Logs entries that cannot be read, in one line whatever their number.
fn log_unreadable(router: &Router, entries: &[UnreadableEntry]) {
    let Some(first) = entries.first() else { return };
    let name = first.name.as_ref().map_or("", |name| name.as_str());
    let reason = match entries.len() {
        1 => first.reason.clone(),
        count => format!("{}; and {} entries more", first.reason, count - 1),
    };
    log_named_event(&router.log, "server.unreadable", name, &reason);
}
