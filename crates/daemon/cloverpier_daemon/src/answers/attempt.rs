//! One attempt of a generation at one engine: its order, its place there, its events.
//!
//! Owns these. [`super::race`] decides which attempt an answer takes its tokens from, `cloverpier_answer`
//! which tokens count.

use crate::admission::release_at;
use crate::answers::failure::{Failure, proof_of, said_of, start_failure};
use crate::answers::live::Live;
use crate::answers::order::{
    Arrived, Order, Starting, address_of, arrives, event_of, generate_at, generation_name,
    resume_at,
};
use crate::answers::quiet::QuietTime;
use crate::app::App;
use crate::crashes::Turn;
use crate::seeking::{Seeking, sought};
use crate::silence_log::Silent;
use crate::statements;
use cloverpier_answer::{AttemptId, TokenSource};
use cloverpier_core::{UpstreamName, lock};
use cloverpier_route::{Chosen, StallTimeout};
use cloverpier_upstream::{EngineEvent, EventStream, StartError};
use serde::Serialize;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::runtime::Handle;

/// How long a silence lasts beyond its timeout until the engine is asked for its generation, and how long
/// until it is asked again: longer than most pauses.
const ASK_AFTER: Duration = Duration::from_secs(2);
/// How often a stream reports at most that its engine has sent something.
const HEARD_PERIOD: Duration = Duration::from_millis(20);

#[derive(Serialize)]
struct AttemptOver<'a> {
    request: &'a str,
    attempt: AttemptId,
    upstream: &'a UpstreamName,
    why: Failure,
    tokens: u64,
}

/// What arrives from an engine.
pub(super) enum Heard {
    /// It has accepted the order.
    Accepted,
    Event(EngineEvent),
}

/// A place at an engine, which is given back when this is dropped.
struct Place<'a> {
    app: &'a Arc<App>,
    live: &'a Arc<Live>,
    id: AttemptId,
    upstream: UpstreamName,
    /// Whether the engine is known to stream to it.
    is_streaming: bool,
    /// Whether its attempt runs beside the answer's current one, and is cancelled when this is dropped.
    is_beside: bool,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        // Without a runtime the process ends.
        if self.is_beside && Handle::try_current().is_ok() {
            cancel_in_background(self.app, self.live, self.id, &self.upstream);
        }
        if self.is_streaming {
            lock(&self.app.view).on_stream_ended(&self.upstream);
        }
        release_at(self.app, &self.upstream);
    }
}

/// One attempt of a generation.
pub(super) struct Attempt<'a> {
    pub id: AttemptId,
    pub upstream: UpstreamName,
    pub begun: Instant,
    pub quiet: QuietTime,
    /// Whether its engine counts as one that it may have ended.
    pub is_reported_lost: bool,
    app: &'a Arc<App>,
    live: &'a Arc<Live>,
    order: Order,
    /// Whether it goes on with a generation of an earlier owner.
    is_resumed: bool,
    place: Place<'a>,
    heard_at: Instant,
    /// The question to the silent engine for its generation.
    asking: Seeking<'static, Result<EventStream, StartError>>,
    asked_at: Option<Instant>,
    turn: Option<Turn<'a>>,
}

impl<'a> Attempt<'a> {
    /// Orders the rest of an answer as its current attempt. The place is taken.
    pub fn order(
        app: &'a Arc<App>,
        live: &'a Arc<Live>,
        chosen: &Chosen,
        turn: Option<Turn<'a>>,
    ) -> Self {
        let id = live.change(|s| s.answer.open_attempt());
        set_source(live, id, &chosen.upstream);
        Self::ordered(app, live, chosen, id, turn)
    }

    /// Orders the rest of an answer beside its current attempt. The place is taken.
    pub fn order_beside(
        app: &'a Arc<App>,
        live: &'a Arc<Live>,
        chosen: &Chosen,
        turn: Option<Turn<'a>>,
    ) -> Self {
        let id = live.change(|s| s.answer.reserve_attempt());
        let mut this = Self::ordered(app, live, chosen, id, turn);
        this.place.is_beside = true;
        this
    }

    fn ordered(
        app: &'a Arc<App>,
        live: &'a Arc<Live>,
        chosen: &Chosen,
        id: AttemptId,
        turn: Option<Turn<'a>>,
    ) -> Self {
        let start = generate_at(app, live, id, chosen.address);
        Self {
            turn,
            ..Self::new(app, live, id, chosen.upstream.clone(), start)
        }
    }

    /// Goes on with the generation of an earlier owner; `None` if its engine is not known any more.
    pub fn resume(app: &'a Arc<App>, live: &'a Arc<Live>, source: &TokenSource) -> Option<Self> {
        let address = address_of(app, &source.upstream)?;
        let offset = live.look(|s| s.answer.len());
        let start = resume_at(app, live, source.attempt, address);
        let now = app.now();
        lock(&app.view).on_started(&source.upstream, None, now);
        live.change(|s| s.answer.adopt_attempt(source.attempt));
        set_source(live, source.attempt, &source.upstream);
        let this = Self::new(app, live, source.attempt, source.upstream.clone(), start);
        let quiet = if offset > 0 {
            QuietTime::of_resumed(stall_timeout(live), now)
        } else {
            QuietTime::of_new(stall_timeout(live), now)
        };
        Some(Self {
            is_resumed: true,
            quiet,
            ..this
        })
    }

    fn new(
        app: &'a Arc<App>,
        live: &'a Arc<Live>,
        id: AttemptId,
        upstream: UpstreamName,
        start: Starting,
    ) -> Self {
        let now = app.now();
        Self {
            id,
            upstream: upstream.clone(),
            begun: now,
            quiet: QuietTime::of_new(stall_timeout(live), now),
            is_reported_lost: false,
            app,
            live,
            order: Order::Sent(start),
            is_resumed: false,
            place: Place {
                app,
                live,
                id,
                upstream,
                is_streaming: false,
                is_beside: false,
            },
            heard_at: now,
            asking: None,
            asked_at: None,
            turn: None,
        }
    }

    /// Waits for what arrives next. Nothing is lost if the wait is dropped.
    pub async fn next(&mut self) -> Result<Heard, Failure> {
        loop {
            let arrived = tokio::select! {
                biased;
                arrived = arrives(&mut self.order) => arrived,
                answered = sought(&mut self.asking) => {
                    self.on_answered(answered)?;
                    continue;
                }
            };
            let started = match arrived {
                Arrived::Event(event) => return event_of(event).map(Heard::Event),
                Arrived::Start(started) => started,
            };
            if let Some(said) = said_of(&started) {
                statements::hear(self.app, &self.upstream, said);
            }
            let stream = started.map_err(|error| start_failure(&error))?;
            if self.is_resumed {
                self.app.metrics.count("attempt.resumed", 1);
            }
            self.order = Order::Open(stream);
            return Ok(Heard::Accepted);
        }
    }

    /// Asks the silent engine for its generation from the last token on, if it has accepted it: the process
    /// or the connection may be gone. Not within a pause as they are common, for all to go on at once.
    pub fn ask_for_it(&mut self, now: Instant) {
        let is_accepted = matches!(self.order, Order::Open(_));
        let is_due = self.quiet.quiet_for(now) >= self.quiet.limit() + ASK_AFTER;
        let is_recent = self.asked_at.is_some_and(|at| now < at + ASK_AFTER);
        if !is_accepted || !is_due || is_recent || self.asking.is_some() {
            return;
        }
        let Some(address) = address_of(self.app, &self.upstream) else {
            return;
        };
        self.asked_at = Some(now);
        self.asking = Some(resume_at(self.app, self.live, self.id, address));
    }

    /// Takes the answer of the engine. A stream takes the place of the former one, whose connection may be
    /// lost.
    fn on_answered(&mut self, answered: Result<EventStream, StartError>) -> Result<(), Failure> {
        self.asking = None;
        match answered {
            Ok(stream) => self.order = Order::Open(stream),
            Err(error) => {
                if let Some(failure) = proof_of(&error) {
                    return Err(failure);
                }
            }
        }
        Ok(())
    }

    /// Whether a further event has arrived.
    pub fn has_buffered_event(&self) -> bool {
        matches!(&self.order, Order::Open(stream) if stream.has_buffered_event())
    }

    /// Whether its engine has sent a part of the answer.
    pub fn has_sent(&self) -> bool {
        self.place.is_streaming
    }

    /// Makes it the answer's current attempt.
    pub fn make_current(&mut self) {
        if std::mem::take(&mut self.place.is_beside) {
            self.live.change(|s| s.answer.adopt_attempt(self.id));
            set_source(self.live, self.id, &self.upstream);
        }
    }

    /// Records that an event has arrived.
    pub fn on_event(&mut self, now: Instant) {
        self.quiet.on_event(now);
        self.asking = None;
        if !std::mem::replace(&mut self.place.is_streaming, true) {
            lock(&self.app.view).on_streaming(&self.upstream, now);
            self.heard_at = now;
        } else if now.saturating_duration_since(self.heard_at) >= HEARD_PERIOD {
            lock(&self.app.view).on_heard(&self.upstream, now);
            self.heard_at = now;
        }
    }

    /// What it fails by if it ends now, as nothing arrives.
    pub fn silence(&self) -> Failure {
        match self.order {
            Order::Sent(_) => Failure::NoAnswer,
            Order::Open(_) => Failure::Silent,
        }
    }

    /// Whether its failure says something of its engine. One that has no generation to go on with, or does
    /// not answer for it, has failed in nothing.
    pub fn counts_against_engine(&self) -> bool {
        !self.is_resumed || matches!(self.order, Order::Open(_))
    }

    /// The silence of its engine, for the log.
    pub fn silent(&self, now: Instant) -> Silent<'_> {
        Silent {
            request: self.live.key.as_str(),
            upstream: &self.upstream,
            silent_for: self.quiet.quiet_for(now),
        }
    }

    /// Logs and counts its failure.
    pub fn log_failure(&self, why: Failure) {
        let line = AttemptOver {
            request: self.live.key.as_str(),
            attempt: self.id,
            upstream: &self.upstream,
            why,
            tokens: self.live.look(|s| s.answer.len()),
        };
        self.app.metrics.count("attempt.failed", 1);
        self.app.log.warn("attempt.failed", &line);
    }

    /// Lets others with the same content have their turn.
    pub fn end_turn(&mut self) {
        self.turn = None;
    }
}

fn stall_timeout(live: &Live) -> StallTimeout {
    StallTimeout::new(live.spec.silence, live.spec.adaptive_silence)
}

fn set_source(live: &Live, attempt: AttemptId, upstream: &UpstreamName) {
    let upstream = upstream.clone();
    live.change(|s| s.source = Some(TokenSource { upstream, attempt }));
}

/// Cancels the answer's current attempt at its engine, which runs on for a while without a reader.
pub(super) async fn cancel_current(app: &App, live: &Live) {
    let Some(source) = live.look(|s| s.source.clone()) else {
        return;
    };
    cancel(app, live, source.attempt, &source.upstream).await;
}

async fn cancel(app: &App, live: &Live, attempt: AttemptId, upstream: &UpstreamName) {
    if let Some(address) = address_of(app, upstream) {
        let engine = app.engines.engine(address);
        engine.cancel(&generation_name(live, attempt)).await;
    }
}

/// Cancels an attempt without waiting: a paused engine would begin it when it resumes.
pub(super) fn cancel_in_background(
    app: &Arc<App>,
    live: &Arc<Live>,
    attempt: AttemptId,
    upstream: &UpstreamName,
) {
    let (app, live, upstream) = (Arc::clone(app), Arc::clone(live), upstream.clone());
    tokio::spawn(async move { cancel(&app, &live, attempt, &upstream).await });
}
