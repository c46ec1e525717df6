//! One attempt of a generation at one engine: started, followed to its end, called back or cancelled.
//!
//! Owns nothing beyond the attempt. [`super::run`] decides what follows; which tokens count is decided by
//! `cloverpier_answer`, how long an engine may be silent by `cloverpier_route`.

use crate::answers::failure::{Failure, Over, said_of, start_failure};
use crate::answers::live::Live;
use crate::answers::outbox::send_news;
use crate::app::App;
use crate::crashes;
use crate::statements;
use cloverpier_answer::{AttemptId, FinishReason, TokenOutcome, TokenSource};
use cloverpier_core::{UpstreamName, lock};
use cloverpier_route::{Chosen, StallTimeout};
use cloverpier_upstream::{EngineEvent, EventStream, GenerateBody, GenerationBody, StreamError};
use serde::Serialize;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How often a run checks whether anybody still wants its answer.
const ABANDON_CHECK: Duration = Duration::from_millis(500);

#[derive(Serialize)]
struct AttemptOver<'a> {
    request: &'a str,
    attempt: AttemptId,
    upstream: &'a UpstreamName,
    why: Failure,
    tokens: u64,
}

/// One attempt, which is called back if its content is stopped before its first token.
pub(super) async fn attempt_or_call_back(
    app: &Arc<App>,
    live: &Arc<Live>,
    chosen: &Chosen,
) -> Over {
    let before = live.look(|s| s.answer.len());
    let has_progress = || live.look(|s| s.answer.len()) > before;
    let over = tokio::select! {
        over = attempt(app, live, chosen) => over,
        () = crashes::called_back(app, live.spec.content_key(), has_progress) => Over::Stopped,
    };
    if matches!(over, Over::Stopped) {
        // Engines run on for a while without a reader, and this one must not begin.
        cancel(app, live, &chosen.upstream).await;
    }
    over
}

/// Records an attempt that failed.
pub(super) fn on_failed(app: &App, live: &Live, upstream: &UpstreamName, why: Failure) {
    lock(&app.view).on_failure(upstream, app.now());
    app.metrics.count("attempt.failed", 1);
    let (attempt, tokens) = live.look(|s| (s.answer.attempt(), s.answer.len()));
    app.log.warn(
        "attempt.failed",
        &AttemptOver {
            request: live.key.as_str(),
            attempt,
            upstream,
            why,
            tokens,
        },
    );
}

/// Cancels the present attempt at its engine, which runs on for a while without a reader.
pub(super) async fn cancel(app: &App, live: &Live, upstream: &UpstreamName) {
    let attempt = live.look(|s| s.answer.attempt());
    if let Some(address) = address_of(app, upstream) {
        let engine = app.engines.engine(address);
        engine.cancel(&generation_name(live, attempt)).await;
    }
}

/// Cancels what was given up for its engine's silence, without waiting: a paused engine would begin it when
/// it resumes.
pub(super) fn cancel_given_up(app: &Arc<App>, live: &Arc<Live>, upstream: &UpstreamName) {
    let (app, upstream) = (Arc::clone(app), upstream.clone());
    let attempt = live.look(|s| s.answer.attempt());
    let generation = generation_name(live, attempt);
    tokio::spawn(async move {
        if let Some(address) = address_of(&app, &upstream) {
            app.engines.engine(address).cancel(&generation).await;
        }
    });
}

fn address_of(app: &App, upstream: &UpstreamName) -> Option<std::net::SocketAddr> {
    lock(&app.view).upstream(upstream).map(|u| u.address)
}

fn generation_name(live: &Live, attempt: AttemptId) -> String {
    let AttemptId {
        term,
        opener,
        number,
    } = attempt;
    format!("{}#{term}.{opener:x}.{number}", live.key)
}

/// One attempt at one engine, from the accepted prefix on.
async fn attempt(app: &Arc<App>, live: &Arc<Live>, chosen: &Chosen) -> Over {
    let (attempt, prefix) = live.change(|s| {
        let attempt = s.answer.open_attempt();
        s.source = Some(TokenSource {
            upstream: chosen.upstream.clone(),
            attempt,
        });
        (attempt, s.answer.tokens_from(0).to_vec())
    });
    let body = GenerateBody {
        generation: generation_name(live, attempt),
        model: live.spec.model.clone(),
        prompt: Arc::clone(&live.spec.prompt),
        prefix,
        max_tokens: live.spec.max_tokens,
        priority: live.spec.priority,
        adapter: live.spec.adapter.clone(),
    };
    let engine = app.engines.engine(chosen.address);
    let limit = StallTimeout::new(live.spec.silence, false).first_token();
    let started = app.timers.timeout(limit, engine.generate(&body)).await;
    // Without an answer in time nothing was said.
    if let Some(said) = started.as_ref().ok().and_then(said_of) {
        statements::hear(app, &chosen.upstream, said);
    }
    match started {
        // Only the timeout can fail here.
        Err(_) => Over::Failed(Failure::NoAnswer),
        Ok(Err(error)) => Over::Failed(start_failure(&error)),
        Ok(Ok(stream)) => follow(app, live, attempt, stream).await,
    }
}

/// Goes on with the stream of an earlier owner's engine; `None` when it isn't there any more.
pub(super) async fn resume(app: &Arc<App>, live: &Arc<Live>, source: &TokenSource) -> Option<Over> {
    let address = address_of(app, &source.upstream)?;
    let offset = live.look(|s| s.answer.len());
    let body = GenerationBody {
        generation: generation_name(live, source.attempt),
        offset,
    };
    let engine = app.engines.engine(address);
    let started = app
        .timers
        .timeout(live.spec.silence, engine.resume(&body))
        .await;
    // Late, refused or broken are one here: the caller of this starts a new attempt.
    let started = started.ok()?;
    if let Some(said) = said_of(&started) {
        statements::hear(app, &source.upstream, said);
    }
    // As above.
    let stream = started.ok()?;
    live.change(|s| {
        s.answer.adopt_attempt(source.attempt);
        s.source = Some(source.clone());
    });
    app.metrics.count("attempt.resumed", 1);
    let now = app.now();
    lock(&app.view).on_started(&source.upstream, None, now);
    let over = follow(app, live, source.attempt, stream).await;
    lock(&app.view).on_ended(&source.upstream);
    if let Over::Failed(failure) = over {
        on_failed(app, live, &source.upstream, failure);
    }
    Some(over)
}

/// Takes a stream's events until it ends, fails, falls silent or nobody wants them any more.
async fn follow(
    app: &Arc<App>,
    live: &Arc<Live>,
    attempt: AttemptId,
    mut stream: EventStream,
) -> Over {
    let mut quiet = QuietTime::new(live, app.now());
    loop {
        let wait = quiet.left(app.now()).min(ABANDON_CHECK);
        let event = app.timers.timeout(wait, stream.next()).await;
        if live.is_useless() {
            return Over::Moved;
        }
        if live.is_abandoned(app.now()) {
            return Over::Abandoned;
        }
        let Ok(event) = event else {
            if quiet.left(app.now()).is_zero() {
                return Over::Failed(Failure::Silent);
            }
            continue;
        };
        quiet.on_event(app.now());
        match take(live, attempt, event) {
            Taken::GoOn => {
                if !stream.has_buffered_event() {
                    send_news(app, live);
                }
            }
            Taken::Over(over) => {
                send_news(app, live);
                return over;
            }
        }
    }
}

/// How long a stream has been quiet, and how long it may be.
struct QuietTime {
    silence: StallTimeout,
    last_event: Instant,
    limit: Duration,
    first: bool,
}

impl QuietTime {
    fn new(live: &Live, now: Instant) -> Self {
        let silence = StallTimeout::new(live.spec.silence, live.spec.adaptive_silence);
        Self {
            limit: silence.first_token(),
            silence,
            last_event: now,
            first: true,
        }
    }

    /// The rest of the limit; zero once it is used up.
    fn left(&self, now: Instant) -> Duration {
        let quiet = now.saturating_duration_since(self.last_event);
        self.limit.saturating_sub(quiet)
    }

    /// The wait for the first event is no gap between two tokens, so nothing is learned from it.
    fn on_event(&mut self, now: Instant) {
        if !std::mem::take(&mut self.first) {
            let gap = now.saturating_duration_since(self.last_event);
            self.silence.on_gap(gap);
        }
        self.last_event = now;
        self.limit = self.silence.next_token();
    }
}

enum Taken {
    GoOn,
    Over(Over),
}

fn take(live: &Live, attempt: AttemptId, event: Result<Option<EngineEvent>, StreamError>) -> Taken {
    let event = match event {
        Ok(Some(event)) => event,
        Ok(None) => return Taken::Over(Over::Failed(Failure::Closed)),
        Err(StreamError::ConnectionBroken { .. }) => {
            return Taken::Over(Over::Failed(Failure::ConnectionBroken));
        }
        // All other errors are of the form of an event.
        Err(_) => return Taken::Over(Over::Failed(Failure::Unreadable)),
    };
    let (step, last) = live.change(|s| match event {
        EngineEvent::Token { offset, text } => (s.answer.on_token(attempt, offset, text), false),
        EngineEvent::Finish { at, length } => {
            let reason = if length {
                FinishReason::Length
            } else {
                FinishReason::Stop
            };
            (s.answer.on_finish(attempt, at, reason), true)
        }
    });
    match step {
        TokenOutcome::Accepted if last => Taken::Over(Over::Finished),
        TokenOutcome::Accepted | TokenOutcome::Repeated => Taken::GoOn,
        TokenOutcome::Gap => Taken::Over(Over::Failed(Failure::TokensMissing)),
        TokenOutcome::Late | TokenOutcome::Closed => Taken::Over(Over::Moved),
    }
}
