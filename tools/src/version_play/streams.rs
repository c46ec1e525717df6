//! Streams of the play, from a caller's first request to the last event.

use super::Harm;
use super::attempts::FAILED_ATTEMPT;
use super::world::{Event, World};
use cloverpier_core::UpstreamName;
use cloverpier_router_policy::prelude::*;
use std::collections::HashSet;
use std::time::Duration;

/// How long an engine writes a whole stream.
const WRITING_MS: (u64, u64) = (2_500, 5_500);
/// From the end of a router to the request by which a caller resumes its stream.
const RETURN_MS: (u64, u64) = (30, 500);
/// How often a caller resumes a stream that it was told to retry.
const MAX_RETRIES: u32 = 2;
const ACCOUNT: &str = "account";

/// Where a stream is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Its caller is about to send a request.
    Returning,
    /// Its router looks up which version began it.
    LookingUp,
    /// Its router lacks an engine of its version since a moment.
    Waiting { since: Duration },
    /// An engine reads its prompt.
    Reading,
    /// The first event waits for acknowledgements of the record.
    Recording { since: Duration },
    /// Events flow.
    Flowing { since: Duration },
    /// It is whole, or its caller has given up.
    Over,
}

/// One stream.
#[derive(Clone, Debug)]
pub(super) struct Stream {
    /// The id of the request that got the first event.
    pub first_request: String,
    pub router: usize,
    pub engine: Option<usize>,
    /// The list entry by which its engine was chosen.
    pub chosen: Option<Upstream>,
    pub phase: Phase,
    /// Numbers attempts, so that events of former ones are ignored.
    pub attempt: u32,
    /// The version that wrote the first event that the caller got, as it was.
    pub began: Option<u32>,
    /// How the stream began, as its router knows.
    pub origin: Option<StreamOrigin>,
    /// How much of it is still to be written.
    pub left: Duration,
    /// Engines that have failed the present request.
    pub tried: Vec<UpstreamName>,
    /// When the caller sent the first of the requests by which it resumes the stream.
    pub resumed_at: Option<Duration>,
    /// Whether the caller sent that request to a router in touch while versions mixed.
    pub counts: bool,
    pub retries: u32,
    pub acks: HashSet<usize>,
    pub needed_acks: usize,
    pub is_mixed: bool,
    /// Whether the router that sent its first event was in touch then, while versions mixed.
    pub began_in_touch: bool,
}

impl World {
    pub(super) fn on_arrival(&mut self) {
        self.schedule_next_arrival();
        let index = self.streams.len();
        let (least, most) = WRITING_MS;
        let left = self.ms_between(least, most);
        self.streams.push(Stream {
            first_request: format!("request-{index}"),
            router: 0,
            engine: None,
            chosen: None,
            phase: Phase::Returning,
            attempt: 0,
            began: None,
            origin: None,
            left,
            tried: Vec::new(),
            resumed_at: None,
            counts: false,
            retries: 0,
            acks: HashSet::new(),
            needed_acks: 0,
            is_mixed: false,
            began_in_touch: false,
        });
        self.outcome.new += 1;
        self.schedule_in(Duration::ZERO, Event::Request { stream: index });
    }

    /// The name of a stream among routers.
    pub(super) fn key_of(&self, stream: usize) -> Option<StreamKey> {
        StreamKey::new(ACCOUNT, &self.streams[stream].first_request)
    }

    pub(super) fn on_request(&mut self, stream: usize) {
        let serving: Vec<usize> = (0..self.routers.len())
            .filter(|r| self.serves(*r))
            .collect();
        let Some(router) = self.rng.choice(serving) else {
            self.schedule_in(Duration::from_millis(200), Event::Request { stream });
            return;
        };
        let counts = self.live_versions() > 1 && self.is_in_touch(router);
        let now = self.now;
        let state = &mut self.streams[stream];
        state.router = router;
        state.attempt += 1;
        state.tried.clear();
        state.engine = None;
        state.origin = None;
        if state.began.is_none() {
            self.send_attempt(stream);
            return;
        }
        state.phase = Phase::LookingUp;
        if state.retries == 0 {
            state.resumed_at = Some(now);
            state.counts = counts;
            let began = state.began_in_touch;
            self.outcome.resumed.asked += 1;
            self.outcome.returned_in_touch.asked += usize::from(counts);
            self.outcome.always_in_touch.asked += usize::from(counts && began);
        }
        self.begin_lookup(stream);
    }

    /// A router has found out how a stream began, or that nobody knows. `may_retry` is whether the caller is told to.
    pub(super) fn on_looked_up(
        &mut self,
        stream: usize,
        found: Option<StreamOrigin>,
        may_retry: bool,
    ) {
        match found {
            Some(origin) => {
                self.streams[stream].origin = Some(origin);
                self.send_attempt(stream);
            }
            None => self.refuse(stream, may_retry),
        }
    }

    pub(super) fn refuse(&mut self, stream: usize, may_retry: bool) {
        let state = &mut self.streams[stream];
        state.retries += 1;
        if !may_retry || state.retries > MAX_RETRIES {
            state.phase = Phase::Over;
            return;
        }
        state.phase = Phase::Returning;
        let pause = self.ms_between(300, 600);
        self.schedule_in(pause, Event::Request { stream });
    }

    pub(super) fn is_current(&self, stream: usize, attempt: u32) -> bool {
        let state = &self.streams[stream];
        state.attempt == attempt && state.phase != Phase::Over && state.phase != Phase::Returning
    }

    pub(super) fn on_stream_end(&mut self, stream: usize, attempt: u32) {
        if !self.is_current(stream, attempt) {
            return;
        }
        self.streams[stream].phase = Phase::Over;
        let (router, key) = (self.streams[stream].router, self.key_of(stream));
        if let Some(key) = key {
            self.routers[router].relayed.remove(&key);
        }
    }

    /// Breaks the streams at an engine: their routers look for another one.
    pub(super) fn break_streams_at(&mut self, engine: usize) {
        for stream in 0..self.streams.len() {
            let is_there = self.streams[stream].engine == Some(engine);
            let is_running = matches!(
                self.streams[stream].phase,
                Phase::Reading | Phase::Recording { .. } | Phase::Flowing { .. }
            );
            if !is_there || !is_running {
                continue;
            }
            self.stop_writing(stream);
            let name = self.engines[engine].name.clone();
            let state = &mut self.streams[stream];
            state.engine = None;
            state.attempt += 1;
            state.tried.push(name);
            if state.began.is_none() {
                // No event has left for the caller, so any version may write the first one.
                state.origin = None;
            }
            state.phase = Phase::Waiting { since: self.now };
            let attempt = state.attempt;
            self.schedule_in(FAILED_ATTEMPT, Event::RetryEngine { stream, attempt });
        }
    }

    /// Breaks the streams that a router relays: their callers resume them.
    pub(super) fn break_streams_of(&mut self, router: usize) {
        for stream in 0..self.streams.len() {
            let state = &self.streams[stream];
            let is_over = matches!(state.phase, Phase::Over | Phase::Returning);
            if state.router == router && !is_over {
                self.break_stream(stream);
            }
        }
    }

    pub(super) fn break_stream(&mut self, stream: usize) {
        self.stop_writing(stream);
        let state = &mut self.streams[stream];
        state.phase = Phase::Returning;
        state.attempt += 1;
        state.engine = None;
        state.resumed_at = None;
        let (least, most) = RETURN_MS;
        let pause = self.ms_between(least, most);
        self.schedule_in(pause, Event::Request { stream });
    }

    fn stop_writing(&mut self, stream: usize) {
        let now = self.now;
        let state = &mut self.streams[stream];
        if let Phase::Flowing { since } = state.phase {
            state.left = state.left.saturating_sub(now - since);
        }
    }

    /// Whether releases are played.
    pub(super) fn has_releases(&self) -> bool {
        self.spec.harm != Harm::Calm
    }
}
