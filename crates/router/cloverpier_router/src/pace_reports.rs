//! Applies what upstreams state of their load and pace, and exchanges the paces of engines with peers.
//!
//! `cloverpier_router_policy::pace` decides what a statement is worth and what peers have to be told. Only engines are
//! reported: their work takes long enough for a report to arrive in time. The table of upstreams holds the paces; owns
//! no state.

use crate::decision_log::log_named_event;
use crate::outbox::Recipients;
use crate::peer_messages::{PaceReports, PeerMessage};
use crate::router::Router;
use cloverpier_router_policy::pace::LoadStatement;
use cloverpier_router_policy::prelude::*;
use std::time::Instant;

/// Applies the statement of a response's sender about its load.
pub(crate) fn on_statement(
    router: &Router,
    upstream: &Upstream,
    statement: &LoadStatement,
    now: Instant,
) {
    match statement {
        LoadStatement::Absent => {}
        LoadStatement::Stated(load) => {
            router.metrics.load_statements.count("stated");
            if let Some(pace) = load.pace {
                let mut table = router.upstreams.borrow_mut();
                table.on_stated_pace(&upstream.name, pace, now);
            }
        }
        LoadStatement::Unreadable(text) => {
            router.metrics.load_statements.count("unreadable");
            let mut table = router.upstreams.borrow_mut();
            let is_logged = table.on_unreadable_load(&upstream.name, now);
            drop(table);
            if is_logged {
                log_named_event(
                    &router.log,
                    "server.unreadable",
                    upstream.name.as_str(),
                    text,
                );
            }
        }
    }
}

/// Reports to peers the paces of engines that differ from what they know: in a small fleet to all, in a large one to 16
/// random ones. Called at each sending interval.
pub(crate) fn send_due(router: &Router, now: Instant) {
    // Without a configuration no engine is known.
    let Some(configuration) = router.store.configuration() else {
        return;
    };
    let is_engine = |state: &UpstreamState| {
        let service = configuration.service(&state.upstream.service);
        service.is_some_and(|service| service.engine.is_some())
    };
    let mut table = router.upstreams.borrow_mut();
    let upstreams = table.take_pace_reports(is_engine, now);
    drop(table);
    if upstreams.is_empty() {
        return;
    }
    let to = if router.peers.is_large() {
        Recipients::SmallSample
    } else {
        Recipients::All
    };
    let sender = router.settings().listen.peers;
    let message = PeerMessage::PaceReports(PaceReports { sender, upstreams });
    router.peers.outbox.send(message, to);
}

/// Applies a peer's reports.
pub(crate) fn on_reports(router: &Router, reports: &PaceReports, now: Instant) {
    let count = reports.upstreams.len();
    // A datagram holds fewer reports than u64 counts.
    router.metrics.load_statements.add("told", count as u64);
    let mut table = router.upstreams.borrow_mut();
    table.on_pace_reports(&reports.upstreams, now);
}

/// The path at which an upstream is probed: where a service's upstreams state their pace, the health path, whose
/// responses contain it.
pub(crate) fn probe_path(router: &Router, upstream: &Upstream) -> String {
    let report = router.wire_names.paths.engine_report;
    if !router.upstreams.borrow().states_pace(&upstream.service) {
        return report.to_owned();
    }
    let configuration = router.store.configuration();
    let service = configuration
        .as_ref()
        .and_then(|c| c.service(&upstream.service));
    service.map_or_else(|| report.to_owned(), |service| service.health_path.clone())
}
