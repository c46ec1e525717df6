//! Carries out changes of the blocked request contents: cancels the attempts of requests whose content is now blocked,
//! and logs which contents are blocked and unblocked.
//!
//! The crash registry in `cloverpier_crashes` decides which contents are blocked. Owns no state: [`super::state`]
//! does.

use super::neighbours::upstream_name;
use crate::decision_log::{ContentBlocked, ContentUnblocked};
use crate::relay_request::RelayRequest;
use crate::router::Router;
use cloverpier_crashes::prelude::*;
use std::rc::{Rc, Weak};
use std::time::Instant;

/// Applies the crash limit and the cleared contents of reloaded settings.
pub(crate) fn on_settings(router: &Router) {
    let settings = router.settings();
    let mut tracker = router.crashes.tracker.borrow_mut();
    let cleared = settings.crashes.cleared.clone();
    tracker.registry.configure(settings.crashes.limit, cleared);
    drop(tracker);
    apply_block_changes(router, "settings", router.now());
}

/// Adds a request to those whose attempts are cancelled if the content of the request becomes blocked.
pub(crate) fn track_request(router: &Router, request: &Rc<RelayRequest>) {
    let mut requests = router.crashes.requests.borrow_mut();
    // Finished requests are removed only when the list would have to grow, so that a request takes amortized constant
    // time.
    if requests.len() == requests.capacity() {
        requests.retain(|request| request.strong_count() > 0);
    }
    requests.push(Rc::downgrade(request));
}

/// Cancels the attempts of requests whose content is now blocked, and logs the contents that were blocked or unblocked
/// since the last call. `from` is the cause of the changes in the log lines, such as the peer that reported a crash.
pub(crate) fn apply_block_changes(router: &Router, from: &str, now: Instant) {
    let changed = router
        .crashes
        .tracker
        .borrow_mut()
        .registry
        .take_block_changes(now);
    for content in &changed.blocked {
        log_blocked(router, *content, from, now);
        cancel_attempts(router, *content);
    }
    for content in &changed.unblocked {
        router.metrics.crashes.count("cleared");
        let line = ContentUnblocked {
            content: content.to_string(),
            from,
        };
        router.log.info("content.cleared", &line);
    }
    let blocked = router.crashes.tracker.borrow().registry.blocked(now).len();
    let blocked = i64::try_from(blocked).unwrap_or(i64::MAX);
    router.metrics.blocked_contents.set(blocked);
}

fn cancel_attempts(router: &Router, content: ContentKey) {
    let tracked = router.crashes.requests.borrow();
    let requests = tracked.iter().filter_map(Weak::upgrade);
    for request in requests.filter(|request| request.content_key() == content) {
        request.cancel.cancel();
    }
}

fn log_blocked(router: &Router, content: ContentKey, from: &str, now: Instant) {
    router.metrics.crashes.count("stopped");
    let reports = router
        .crashes
        .tracker
        .borrow()
        .registry
        .reports(&[content], now);
    let crashes = reports.iter().flat_map(|report| &report.crashes);
    let crashes = crashes.filter(|crash| !crash.is_disregarded).map(|crash| {
        let upstream = upstream_name(router, crash.id.upstream);
        format!("{upstream}, {} ms ago", crash.age_ms)
    });
    let line = ContentBlocked {
        content: content.to_string(),
        crashes: crashes.collect(),
        from,
    };
    router.log.info("content.stopped", &line);
}
