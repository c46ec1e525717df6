//! The signs of life of one upstream.
//!
//! The silence of one attempt does not tell whether its upstream stands still. Events of all attempts of
//! this router at the upstream and its responses to load queries do. Owns what was seen of one upstream;
//! the caller passes the time.

use std::time::{Duration, Instant};

/// Time without a response to a load query after which the upstream counts as silent: many times the
/// step of an engine, between two of which it responds.
const LATE_LOAD_RESPONSE: Duration = Duration::from_millis(250);
/// How long a load query without a response counts, if no further one is sent.
const LOAD_QUERY_LIFETIME: Duration = Duration::from_secs(10);
/// How long the silence of an attempt counts after it was last reported: no longer than most pauses,
/// as nothing tells that an upstream without attempts has resumed.
const SILENCE_LIFETIME: Duration = Duration::from_secs(2);

/// A load query without a response, and those since.
#[derive(Clone, Copy, Debug)]
struct UnansweredQueries {
    since: Instant,
    last: Instant,
}

/// What this router has seen of an upstream.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SignsOfLife {
    /// Attempts of this router that have received a token and wait for the next one.
    streaming: u32,
    /// When an attempt last reported an event.
    heard_at: Option<Instant>,
    /// When an attempt last reported that it had received nothing for its timeout.
    silent_at: Option<Instant>,
    unanswered: Option<UnansweredQueries>,
}

impl SignsOfLife {
    pub(crate) fn on_streaming(&mut self, now: Instant) {
        self.streaming += 1;
        self.heard_at = Some(now);
    }

    pub(crate) fn on_stream_ended(&mut self) {
        self.streaming = self.streaming.saturating_sub(1);
    }

    pub(crate) fn on_heard(&mut self, now: Instant) {
        self.heard_at = Some(now);
    }

    pub(crate) fn on_silent(&mut self, now: Instant) {
        self.silent_at = Some(now);
    }

    pub(crate) fn on_load_query(&mut self, now: Instant) {
        let since = self.unanswered.map_or(now, |queries| queries.since);
        self.unanswered = Some(UnansweredQueries { since, last: now });
    }

    pub(crate) fn on_load_response(&mut self) {
        self.unanswered = None;
    }

    /// Whether the upstream seems to stand still. `limit` is the stall timeout of the one that asks: half
    /// of it without an event of any stream is enough here, as upstreams that pause together do not begin
    /// at the same instant.
    pub(crate) fn is_silent(&self, limit: Duration, now: Instant) -> bool {
        let is_older = |at: Instant, age| now.saturating_duration_since(at) >= age;
        let has_silent_attempt = self.silent_at > self.heard_at
            && self
                .silent_at
                .is_some_and(|at| !is_older(at, SILENCE_LIFETIME));
        let has_silent_streams =
            self.streaming > 0 && self.heard_at.is_some_and(|at| is_older(at, limit / 2));
        let leaves_queries = self.unanswered.is_some_and(|queries| {
            is_older(queries.since, LATE_LOAD_RESPONSE)
                && !is_older(queries.last, LOAD_QUERY_LIFETIME)
        });
        has_silent_attempt || has_silent_streams || leaves_queries
    }
}
