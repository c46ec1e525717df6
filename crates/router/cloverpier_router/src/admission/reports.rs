//! Reports to peers the streams that wait here, and applies the reports of peers.
//!
//! [`Reporter`] owns the time of the next report. `cloverpier_router_policy::admission::reports` decides how long a
//! report is valid and what it contains.

use crate::outbox::Recipients;
use crate::peer_messages::{AdmissionReport, PeerMessage};
use crate::router::Router;
use cloverpier_router_policy::admission::ServiceDemand;
use cloverpier_router_policy::admission::reports::MAX_SERVICES;
use cloverpier_router_policy::prelude::*;
use std::time::Instant;

/// Sends this router's demand to all peers of a small fleet.
#[derive(Default)]
pub(super) struct Reporter {
    /// When the next report is due; `None` before the first.
    next: Option<Instant>,
    /// Whether the last report said that streams wait or are in flight here.
    reported_any: bool,
}

impl Reporter {
    /// Sends a report if one is due. One without content is sent once, to end the former.
    pub fn send_if_due(&mut self, router: &Router) {
        let now = router.now();
        let is_due = self.next.is_none_or(|next| now >= next);
        if !is_due || router.peers.is_large() || router.peers.count() == 0 {
            return;
        }
        let services = own_demand(router);
        if services.is_empty() && !self.reported_any {
            return;
        }
        self.next = Some(now + router.settings().heartbeat);
        self.reported_any = !services.is_empty();
        let report = AdmissionReport {
            sender: router.settings().listen.peers,
            services,
        };
        let message = PeerMessage::AdmissionReport(report);
        router.peers.outbox.send(message, Recipients::All);
    }
}

/// This router's demand for the services for which streams wait here or at a peer.
fn own_demand(router: &Router) -> Vec<(ServiceKey, ServiceDemand)> {
    let configuration = router.store.configuration();
    let Some(configuration) = configuration else {
        return Vec::new();
    };
    let queue = router.admission.queue.borrow();
    let waiting_elsewhere = router.admission.peers.borrow().services_with_waiting();
    let waiting_here = queue.services();
    let mut demands = Vec::new();
    for service in &configuration.unindexed().services {
        let key = ServiceKey::of(&service.name);
        let waits = waiting_here.contains(&service.name) || waiting_elsewhere.contains(&key);
        if !waits || service.engine.is_none() {
            continue;
        }
        let mut demand = queue.demand(&service.name);
        demand.truncate();
        if demand != ServiceDemand::default() {
            demands.push((key, demand));
        }
    }
    demands.sort_by_key(|(_, demand)| std::cmp::Reverse(demand.total_waiting()));
    demands.truncate(MAX_SERVICES);
    demands
}

/// Applies a peer's report.
pub(crate) fn on_report(router: &Router, report: AdmissionReport, now: Instant) {
    if report.sender == router.settings().listen.peers {
        return;
    }
    let waits = report.services.iter().any(|(_, d)| d.total_waiting() > 0);
    let mut peers = router.admission.peers.borrow_mut();
    peers.on_report(report.sender, report.services, now);
    drop(peers);
    if waits {
        router.admission.on_waiting_elsewhere();
    }
}
