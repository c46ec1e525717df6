//! First events of attempts in the play, from their arrival at a router to the caller, and the figures that they yield.

use super::RecordTo;
use super::streams::Phase;
use super::world::{Event, World};
use cloverpier_router_policy::prelude::*;
use std::time::Duration;

impl World {
    /// The first event of an attempt arrives at the router.
    pub(super) fn on_first_event(&mut self, stream: usize, attempt: u32) {
        if !self.is_current(stream, attempt) {
            return;
        }
        let router = self.streams[stream].router;
        if self.routers[router].is_suspended {
            let later = Duration::from_millis(100);
            self.schedule_in(later, Event::FirstOutput { stream, attempt });
            return;
        }
        let Some(engine) = self.streams[stream].engine else {
            return;
        };
        let name = self.engines[engine].name.clone();
        if self.spec.heads_state_start {
            let start = self.engines[engine].start_time_ms;
            self.routers[router].table.on_start(&name, Some(start));
        }
        let Some(chosen) = self.streams[stream].chosen.clone() else {
            return;
        };
        if self.streams[stream].origin.is_some() {
            self.check_version(stream, attempt, &chosen);
        } else {
            self.begin_stream(stream, attempt, &chosen);
        }
    }

    /// Passes the first event of a later attempt on if its engine still has the version by which it was chosen.
    fn check_version(&mut self, stream: usize, attempt: u32, chosen: &Upstream) {
        let table = &self.routers[self.streams[stream].router].table;
        if StreamVersion::is_kept(chosen, table.get(&chosen.name)) {
            self.pass_first_event(stream, attempt);
        } else {
            self.on_attempt_failed(stream, chosen.name.clone());
        }
    }

    /// Determines the origin of a stream whose first event has arrived, and records it if needed.
    fn begin_stream(&mut self, stream: usize, attempt: u32, chosen: &Upstream) {
        let router = self.streams[stream].router;
        let state = self.routers[router].table.get(&chosen.name);
        let origin = StreamOrigin::of_first_event(&self.service, chosen, state);
        let needs_record = self.needs_record(router, &origin);
        let now = self.now;
        let state = &mut self.streams[stream];
        // The request that gets the first event names the stream.
        state.first_request = format!("request-{stream}-{attempt}");
        state.origin = Some(origin);
        state.acks.clear();
        if needs_record && self.spec.record_to != RecordTo::Nobody {
            state.phase = Phase::Recording { since: now };
            self.record_before_first_event(stream, attempt);
        } else {
            self.pass_first_event(stream, attempt);
        }
    }

    fn needs_record(&self, router: usize, origin: &StreamOrigin) -> bool {
        let is_mixed = self.routers[router].history.is_mixed(&self.service);
        is_mixed || origin.version.is_none() || !self.has_contact(router)
    }

    /// The caller gets an event of the present attempt.
    pub(super) fn pass_first_event(&mut self, stream: usize, attempt: u32) {
        if !self.is_current(stream, attempt) {
            return;
        }
        let Some(engine) = self.streams[stream].engine else {
            return;
        };
        let now = self.now;
        match self.streams[stream].phase {
            Phase::Recording { since } => self.outcome.record_times.push(now - since),
            Phase::Reading => {}
            _ => return,
        }
        self.note_version(stream, self.engines[engine].version);
        self.note_resumed(stream);
        let state = &mut self.streams[stream];
        state.phase = Phase::Flowing { since: now };
        state.tried.clear();
        let (left, router, origin) = (state.left, state.router, state.origin.clone());
        if let (Some(key), Some(origin)) = (self.key_of(stream), origin) {
            self.routers[router].relayed.insert(key, origin);
        }
        self.schedule_in(left, Event::StreamEnd { stream, attempt });
    }

    fn note_version(&mut self, stream: usize, version: u32) {
        let is_mixed = self.live_versions() > 1;
        let is_in_touch = is_mixed && self.is_in_touch(self.streams[stream].router);
        let state = &mut self.streams[stream];
        match state.began {
            None => {
                state.began = Some(version);
                state.began_in_touch = is_in_touch;
                self.outcome.began += 1;
            }
            Some(began) if began != version && !state.is_mixed => {
                state.is_mixed = true;
                self.outcome.mixed += 1;
            }
            Some(_) => {}
        }
    }

    fn note_resumed(&mut self, stream: usize) {
        let state = &mut self.streams[stream];
        let Some(resumed_at) = state.resumed_at.take() else {
            return;
        };
        state.retries = 0;
        let (returned, began) = (state.counts, state.began_in_touch);
        self.outcome.resume_times.push(self.now - resumed_at);
        self.outcome.resumed.went_on += 1;
        self.outcome.returned_in_touch.went_on += usize::from(returned);
        self.outcome.always_in_touch.went_on += usize::from(returned && began);
    }
}
