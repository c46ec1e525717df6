//! What the routers of the model tell each other, and how they are killed, cut off and started anew.

use super::world::{Event, LIMIT, World};
use super::{Counting, Trouble};
use cloverpier_crashes::prelude::*;
use cloverpier_router::peer_messages::{CrashReports, PeerMessage, encode};
use cloverpier_router_policy::crash_reports::{is_reported, split_into_messages};
use cloverpier_router_policy::dissemination::{is_within_repeat_window, sends_missed_facts};
use std::net::SocketAddr;
use std::time::Duration;

/// How often a router sends heartbeats.
pub(super) const HEARTBEAT: Duration = Duration::from_millis(200);
/// From a judgement to the peers: a pause between two datagrams and the way, at least and at most.
const LEAST_DELAY: Duration = Duration::from_millis(2);
const MOST_DELAY: Duration = Duration::from_millis(14);
/// From one look at open attempts to the next, at least.
const LEAST_PAUSE: Duration = Duration::from_millis(1);
/// Routers that are killed when they see a crash of one content.
const KILLED_PER_CONTENT: usize = 2;
/// A router that was killed is back after this time, and heard a heartbeat later.
const START: Duration = Duration::from_millis(800);

impl World {
    pub(super) fn judge(&mut self, router: usize) {
        self.ask_unclear(router);
        let now = self.instant();
        let neighbours = self.neighbours();
        let state = &mut self.routers[router];
        let judged = state.cases.record_confirmed(now, neighbours);
        let told = judged
            .iter()
            .filter(|j| is_reported(&j.context, j.crash_count));
        let told: Vec<ContentKey> = told.map(|j| j.attempt.content).collect();
        let reports = state.cases.registry.reports(&told, now);
        if !reports.is_empty() {
            state.last_report = Some(now);
            let all: Vec<usize> = (0..self.spec.routers).collect();
            self.tell(router, reports, &all);
        }
        self.judge_again(router);
        self.call_back(router);
    }

    /// Has a router judge when its cases have something to do next.
    fn judge_again(&mut self, router: usize) {
        let now = self.instant();
        let state = &mut self.routers[router];
        let Some(at) = state.cases.next_due(now) else {
            return;
        };
        let at = at.max(now + LEAST_PAUSE);
        let is_scheduled = state
            .judges_at
            .is_some_and(|known| known > now && known <= at);
        if !is_scheduled {
            state.judges_at = Some(at);
            self.schedule_in(at - now, Event::Judge { router });
        }
    }

    /// The engines beside one, as far as they explain its end.
    pub(super) fn neighbours(&self) -> impl Fn(&UpstreamEvent) -> NeighbourCounts + Copy + use<> {
        let (engines, counting) = (self.spec.engines as u32, self.spec.counting);
        move |_| match counting {
            Counting::Weighed => NeighbourCounts {
                in_service: engines - 1,
                in_data_centre: engines / 4 - 1,
            },
            // Nothing beside an end explains it.
            Counting::Plain => NeighbourCounts::default(),
        }
    }

    fn tell(&mut self, from: usize, reports: Vec<ContentReport>, to: &[usize]) {
        let sender = SocketAddr::from(([10, 0, 0, 1], 7_104));
        for contents in split_into_messages(reports) {
            let message = PeerMessage::CrashReports(CrashReports {
                sender,
                contents: contents.clone(),
            });
            // All that the model sends can be written.
            let bytes = encode(&message).map_or(0, |bytes| bytes.len());
            self.routers[from].bytes += bytes * to.len();
            let message = self.messages.len();
            self.messages.push(contents);
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
        let changed = state.cases.registry.merge(&self.messages[message], now);
        if !changed.is_empty() {
            state.last_report = Some(now);
            self.call_back(router);
        }
    }

    pub(super) fn heartbeat(&mut self, router: usize) {
        self.schedule_in(HEARTBEAT, Event::Heartbeat { router });
        let now = self.instant();
        let state = &self.routers[router];
        if state.is_up && is_within_repeat_window(state.last_report, now) {
            let peer = self.rng.usize(..self.spec.routers);
            self.send_suspects(router, &[peer]);
        }
    }

    fn send_suspects(&mut self, router: usize, to: &[usize]) {
        let now = self.instant();
        let book = &self.routers[router].cases.registry;
        let reports = book.reports(&book.suspect_or_blocked(now), now);
        self.tell(router, reports, to);
    }

    /// Whether a router is killed at the moment at which it sees a request break off.
    pub(super) fn is_killed_now(&mut self, request: usize) -> bool {
        let content = self.requests[request].crashing;
        let Some(content) = content.filter(|_| self.spec.trouble == Trouble::KilledAtCrash) else {
            return false;
        };
        self.killed_at[content] += 1;
        self.killed_at[content] <= KILLED_PER_CONTENT
    }

    /// A router loses what it knows, and its requests.
    pub(super) fn kill(&mut self, router: usize) {
        let state = &mut self.routers[router];
        state.is_up = false;
        state.cases = CrashTracker::new(LIMIT, CrashTimestamp::ProcessStart);
        state.last_report = None;
        for request in self.requests.iter_mut().filter(|r| r.router == router) {
            request.is_done = true;
        }
        for run in &mut self.runs {
            run.is_alive &= self.requests[run.request].router != router;
        }
        self.schedule_in(START + HEARTBEAT, Event::Started { router });
    }

    /// Peers hear of a router that has started anew, and tell it what it may have missed.
    pub(super) fn on_started(&mut self, router: usize) {
        self.routers[router].is_up = true;
        self.routers[router].in_touch_since = self.now;
        for peer in 0..self.spec.routers {
            let tells = sends_missed_facts(self.spec.routers - 1, &mut self.rng);
            if tells && self.routers[peer].is_up {
                self.send_suspects(peer, &[router]);
            }
        }
    }

    /// Routers that were cut off hear of the others again, and the others of them.
    pub(super) fn heal(&mut self) {
        let healed = (0..self.spec.routers).filter(|router| self.routers[*router].is_cut_off);
        let healed: Vec<usize> = healed.collect();
        for router in &healed {
            self.routers[*router].is_cut_off = false;
            self.routers[*router].in_touch_since = self.now;
        }
        let all: Vec<usize> = (0..self.spec.routers).collect();
        for router in healed {
            self.on_started(router);
            if sends_missed_facts(self.spec.routers - 1, &mut self.rng) {
                self.send_suspects(router, &all);
            }
        }
    }
}
