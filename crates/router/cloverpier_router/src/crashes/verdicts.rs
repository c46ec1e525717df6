//! Puts verdicts on contents in force: calls back requests that are under way, and logs what changed.
//!
//! The verdicts are the book's (`cloverpier_crashes`). Owns no state: [`super::state`] does.

use super::neighbours::upstream_name;
use crate::decision_log::{ContentBlocked, ContentUnblocked};
use crate::relay_request::RelayRequest;
use crate::router::Router;
use cloverpier_crashes::prelude::*;
use std::rc::{Rc, Weak};
use std::time::Instant;

/// Puts new settings in force.
pub(crate) fn on_settings(router: &Router) {
    let settings = router.settings();
    let mut cases = router.crashes.cases.borrow_mut();
    let cleared = settings.crashes.cleared.clone();
    cases.registry.configure(settings.crashes.limit, cleared);
    drop(cases);
    apply_verdicts(router, "settings", router.now());
}

/// Has a request called back if its content is stopped while it is under way.
pub(crate) fn track(router: &Router, request: &Rc<RelayRequest>) {
    let mut in_flight = router.crashes.in_flight.borrow_mut();
    // Cleared only when the list would have to grow: in constant time a request on average.
    if in_flight.len() == in_flight.capacity() {
        in_flight.retain(|request| request.strong_count() > 0);
    }
    in_flight.push(Rc::downgrade(request));
}

/// Calls back requests whose content has come to be stopped, and logs what has changed.
pub(crate) fn apply_verdicts(router: &Router, from: &str, now: Instant) {
    let changed = router
        .crashes
        .cases
        .borrow_mut()
        .registry
        .take_block_changes(now);
    for content in &changed.blocked {
        log_stop(router, *content, from, now);
        call_back(router, *content);
    }
    for content in &changed.unblocked {
        router.metrics.crashes.count("cleared");
        let line = ContentUnblocked {
            content: content.to_string(),
            from,
        };
        router.log.info("content.cleared", &line);
    }
    let stopped = router.crashes.cases.borrow().registry.blocked(now).len();
    let stopped = i64::try_from(stopped).unwrap_or(i64::MAX);
    router.metrics.blocked_contents.set(stopped);
}

fn call_back(router: &Router, content: ContentKey) {
    let in_flight = router.crashes.in_flight.borrow();
    let requests = in_flight.iter().filter_map(Weak::upgrade);
    for request in requests.filter(|request| request.content_key() == content) {
        request.cancel.cancel();
    }
}

fn log_stop(router: &Router, content: ContentKey, from: &str, now: Instant) {
    router.metrics.crashes.count("stopped");
    let reports = router
        .crashes
        .cases
        .borrow()
        .registry
        .reports(&[content], now);
    let ends = reports.iter().flat_map(|report| &report.crashes);
    let ends = ends.filter(|end| !end.is_disregarded).map(|end| {
        let upstream = upstream_name(router, end.id.upstream);
        format!("{upstream}, {} ms ago", end.age_ms)
    });
    let line = ContentBlocked {
        content: content.to_string(),
        crashes: ends.collect(),
        from,
    };
    router.log.info("content.stopped", &line);
}
