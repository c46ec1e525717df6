//! Attempts of the play's streams at engines.

use super::streams::Phase;
use super::world::{Event, World};
use cloverpier_core::{DataCentre, UpstreamName};
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::stream_version::UPSTREAM_RETURN_WAIT;
use std::collections::HashSet;
use std::time::Duration;

/// How long an engine reads a prompt before the first event of an attempt.
const READING_MS: (u64, u64) = (300, 1_100);
/// An attempt at an engine that is dead takes so long to fail.
pub(super) const FAILED_ATTEMPT: Duration = Duration::from_millis(10);

impl World {
    /// Sends a stream to an engine that its router may choose.
    pub(super) fn send_attempt(&mut self, stream: usize) {
        match self.choose_engine(stream) {
            Ok(upstream) => self.attempt_at(stream, &upstream),
            Err(reason) => self.on_no_engine(stream, reason),
        }
    }

    fn choose_engine(&mut self, stream: usize) -> Result<Upstream, NoUpstream> {
        let now = self.instant();
        let state = &self.streams[stream];
        let router = &self.routers[state.router];
        let held = router.history.held_for_streams(
            &self.service,
            self.lowest_peer_revision(state.router),
            now,
        );
        let mut versions = VersionRule::ANY.avoiding(held);
        if let Some(origin) = &state.origin {
            let none = NoUpstream::NoneOfVersion { is_listed: false };
            let began = origin.version_now(&router.table).ok_or(none)?;
            versions = versions.for_stream(began);
        }
        let demand = Demand {
            service: &self.service,
            home: &DataCentre::new("hall-0"),
            load: Load {
                requests: 1,
                ..Load::default()
            },
            engine_memory: Some(88_000),
            affinity: Some(self.rng.u64(..)),
            prompt_location: None,
            is_continuation: state.began.is_some(),
            tried: &state.tried,
            connected: &HashSet::new(),
            suspect_content: None,
            overcommit: true,
            reported: &ReportedLoad::default(),
            versions: &versions,
            limits: &LimitedUpstreams::NONE,
            now,
        };
        match choose_upstream(&router.table, &demand, &mut self.rng) {
            Choice::Upstream(upstream) => Ok(upstream),
            Choice::None(reason) => Err(reason),
        }
    }

    fn attempt_at(&mut self, stream: usize, upstream: &Upstream) {
        let alive = self
            .engine_of(&upstream.name)
            .filter(|e| self.engines[*e].is_alive);
        self.streams[stream].attempt += 1;
        let attempt = self.streams[stream].attempt;
        let Some(engine) = alive else {
            let router = self.streams[stream].router;
            let now = self.instant();
            self.routers[router].table.suspect(&upstream.name, now);
            self.on_attempt_failed(stream, upstream.name.clone());
            return;
        };
        let state = &mut self.streams[stream];
        state.engine = Some(engine);
        state.chosen = Some(upstream.clone());
        state.phase = Phase::Reading;
        let (least, most) = READING_MS;
        let reading = self.ms_between(least, most);
        self.schedule_in(reading, Event::FirstOutput { stream, attempt });
    }

    /// An attempt failed before its first event; the next one follows.
    pub(super) fn on_attempt_failed(&mut self, stream: usize, engine: UpstreamName) {
        let state = &mut self.streams[stream];
        state.engine = None;
        state.attempt += 1;
        state.tried.push(engine);
        if !matches!(state.phase, Phase::Waiting { .. }) {
            state.phase = Phase::Waiting { since: self.now };
        }
        let attempt = state.attempt;
        self.schedule_in(FAILED_ATTEMPT, Event::RetryEngine { stream, attempt });
    }

    fn on_no_engine(&mut self, stream: usize, reason: NoUpstream) {
        let now = self.now;
        let state = &mut self.streams[stream];
        let since = match state.phase {
            Phase::Waiting { since } => since,
            _ => now,
        };
        let is_listed = !matches!(reason, NoUpstream::NoneOfVersion { is_listed: false });
        let is_within_response = state.began.is_some() && state.resumed_at.is_none();
        let is_over = now >= since + UPSTREAM_RETURN_WAIT;
        if is_listed && !is_over && (is_within_response || state.began.is_none()) {
            state.phase = Phase::Waiting { since };
            state.attempt += 1;
            let attempt = state.attempt;
            self.schedule_in(
                Duration::from_millis(50),
                Event::RetryEngine { stream, attempt },
            );
            return;
        }
        if is_within_response {
            // The response breaks off, and the caller resumes the stream elsewhere.
            self.outcome.stranded += 1;
            self.break_stream(stream);
            return;
        }
        self.refuse(stream, is_listed);
    }

    pub(super) fn retry_engine(&mut self, stream: usize, attempt: u32) {
        if self.is_current(stream, attempt) {
            self.send_attempt(stream);
        }
    }
}
