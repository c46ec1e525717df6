//! What the routers of the model tell each other of upstreams that leave.

use super::HEARTBEAT;
use super::world::{Event, World};
use cloverpier_core::UpstreamName;
use cloverpier_router::peer_messages::{LeavingReports, PeerMessage, encode};
use cloverpier_router_policy::dissemination::{is_within_repeat_window, sends_missed_facts};
use cloverpier_router_policy::leaving::split_into_messages;
use cloverpier_router_policy::prelude::*;
use std::net::SocketAddr;
use std::time::Duration;

/// From what is learned to the peers: a pause between two datagrams and the way, at least and at most.
const LEAST_DELAY: Duration = Duration::from_millis(2);
/// As above.
const MOST_DELAY: Duration = Duration::from_millis(14);

impl World {
    /// Tells all peers of an upstream that leaves.
    pub(super) fn send_to_all(&mut self, router: usize, upstream: &UpstreamName) {
        let now = self.instant();
        let state = &mut self.routers[router];
        state.last_report = Some(now);
        let reports = state.table.leaving_reports_of(upstream, now);
        let all: Vec<usize> = (0..self.spec.routers).collect();
        self.tell(router, &reports, &all);
    }

    fn tell(&mut self, from: usize, reports: &[LeavingReport], to: &[usize]) {
        let sender = SocketAddr::from(([10, 0, 0, 1], 7_104));
        for upstreams in split_into_messages(reports) {
            let message = PeerMessage::LeavingReports(LeavingReports {
                sender,
                upstreams: upstreams.clone(),
            });
            // All that the model sends can be written.
            let bytes = encode(&message).map_or(0, |bytes| bytes.len());
            self.routers[from].bytes += bytes * to.len();
            let message = self.messages.len();
            self.messages.push(upstreams);
            for router in to.iter().copied().filter(|router| *router != from) {
                if self.arrives(from, router) {
                    let way = (MOST_DELAY - LEAST_DELAY).mul_f64(self.rng.f64());
                    self.schedule_in(LEAST_DELAY + way, Event::Message { router, message });
                }
            }
        }
    }

    fn arrives(&mut self, from: usize, to: usize) -> bool {
        let is_lost = self.rng.f64() < self.spec.loss;
        let is_cut = self.routers[from].is_cut_off || self.routers[to].is_cut_off;
        !is_lost && !is_cut
    }

    pub(super) fn on_reports(&mut self, router: usize, message: usize) {
        let now = self.instant();
        let state = &mut self.routers[router];
        if !state.is_up {
            return;
        }
        let new = state
            .table
            .on_peer_leaving_reports(&self.messages[message], now);
        if !new.is_empty() {
            state.last_report = Some(now);
        }
    }

    pub(super) fn heartbeat(&mut self, router: usize) {
        self.schedule_in(HEARTBEAT, Event::Heartbeat { router });
        let now = self.instant();
        let state = &self.routers[router];
        if state.is_up && is_within_repeat_window(state.last_report, now) {
            let reports = state.table.recent_leaving_reports(now);
            let peer = self.rng.usize(..self.spec.routers);
            self.tell(router, &reports, &[peer]);
        }
    }

    /// Peers hear of a router that has started anew or was cut off, a heartbeat later, and tell it what
    /// it may have missed; it tells them, too.
    pub(super) fn announce_start(&mut self, router: usize) {
        let now = self.instant();
        let peers: Vec<usize> = (0..self.spec.routers).filter(|p| *p != router).collect();
        for peer in &peers {
            let tells = sends_missed_facts(peers.len(), &mut self.rng);
            if tells && self.routers[*peer].is_up {
                let reports = self.routers[*peer].table.leaving_reports(now);
                self.tell(*peer, &reports, &[router]);
            }
        }
        let reports = self.routers[router].table.leaving_reports(now);
        self.tell(router, &reports, &peers);
    }
}
