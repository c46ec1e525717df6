//! Runs a generation to its end, through as many attempts as it takes.
//!
//! One task a generation. Which tokens count is decided by `cloverpier_answer`, how long an
//! engine may be silent by `cloverpier_route`. An attempt that may have run ends a generation
//! that may not be repeated.

use crate::admission::{choose, log_choice, nobody, release};
use crate::answers::failure::{Failure, Over, said_of, start_failure};
use crate::answers::live::{End, Live};
use crate::answers::outbox::send_news;
use crate::app::App;
use crate::crashes::{self, Admitted, Turn};
use crate::error::{ApiError, Run};
use crate::statements;
use cloverpier_answer::{AttemptId, FinishReason, Source, TokenStep};
use cloverpier_core::{UpstreamName, hash_of, lock};
use cloverpier_crashes::{Admission, Loss};
use cloverpier_route::{Ask, Choice, Chosen, Silence};
use cloverpier_upstream::{EngineEvent, EventStream, GenerateBody, GenerationBody, StreamError};
use serde::Serialize;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// How long an answer waits for an engine that can continue it.
const GO_ON_WITHIN: Duration = Duration::from_secs(20);
/// Pause between two looks for one.
const GO_ON_PAUSE: Duration = Duration::from_millis(50);
/// Attempts in a row without a token after which an answer is given up.
const BARREN: u32 = 8;
/// How often a run checks whether anybody still wants its answer.
const ABANDON_CHECK: Duration = Duration::from_millis(500);

/// How a generation starts.
#[derive(Debug)]
pub enum Start {
    /// At an upstream whose place is taken.
    At(Chosen),
    /// After an earlier owner: with the stream that an engine may still run for it.
    TakenOver(Option<Source>),
}

#[derive(Serialize)]
struct AttemptOver<'a> {
    request: &'a str,
    attempt: AttemptId,
    upstream: &'a UpstreamName,
    why: Failure,
    tokens: u64,
}

/// Generates an answer in a task of its own.
pub fn spawn(app: &Arc<App>, live: &Arc<Live>, start: Start) {
    live.running.store(true, Ordering::Relaxed);
    let (app, live) = (Arc::clone(app), Arc::clone(live));
    tokio::spawn(async move {
        run(&app, &live, start).await;
        live.running.store(false, Ordering::Relaxed);
        let used = live.look(|s| s.answer.len());
        let unused = u64::from(live.spec.max_tokens).saturating_sub(used);
        app.admission.give_back(&live.spec.account, unused);
    });
}

async fn run(app: &Arc<App>, live: &Arc<Live>, start: Start) {
    let mut tries = Tries::default();
    let mut next = match start {
        Start::At(chosen) => Some(chosen),
        Start::TakenOver(source) => {
            // The earlier owner may have had it run.
            tries.may_have_run = true;
            match go_on_there(app, live, source).await {
                GoOn::Ended => return,
                GoOn::Elsewhere => None,
            }
        }
    };
    let content = live.spec.content_key();
    loop {
        let Admitted { admission, turn } = crashes::admit(app, content).await;
        if admission == Admission::Stopped {
            if let Some(unused) = next {
                release(app, &unused);
            }
            return end_stopped(app, live, &tries);
        }
        let Some(chosen) = next.take() else {
            // It may wait there for long, and is admitted anew before it is sent.
            match go_on_at(app, live, &tries, admission.apart(content)).await {
                Ok(chosen) => next = Some(chosen),
                Err(error) => return live.end(End::Failed(error), app.now()),
            }
            continue;
        };
        turn.iter().for_each(Turn::on_sent);
        let begun = app.now();
        let before = live.look(|s| s.answer.len());
        let over = attempt_or_call_back(app, live, &chosen).await;
        release(app, &chosen);
        let failure = match over {
            Over::Failed(failure) => failure,
            Over::Stopped => {
                tries.may_have_run = true;
                return end_stopped(app, live, &tries);
            }
            over => return conclude(app, live, &chosen.upstream, &over).await,
        };
        on_failed(app, live, &chosen.upstream, failure);
        on_loss(app, live, &chosen.upstream, failure, begun);
        tries.may_have_run |= failure.may_have_run();
        if failure.may_have_run() && !live.spec.repeatable {
            return end_unknown(app, live);
        }
        let progressed = live.look(|s| s.answer.len()) > before;
        tries.barren = if progressed { 0 } else { tries.barren + 1 };
        if tries.barren >= BARREN {
            let error = tries.error(nobody(app, &live.spec.service));
            return live.end(End::Failed(error), app.now());
        }
        tries.failed.push(chosen.upstream);
    }
}

/// What a generation's attempts have come to.
#[derive(Debug, Default)]
struct Tries {
    /// Engines that failed it.
    failed: Vec<UpstreamName>,
    /// Attempts in a row without a token.
    barren: u32,
    /// Whether an engine may have run it.
    may_have_run: bool,
}

impl Tries {
    /// An error that ends the generation, true to whether it ran.
    fn error(&self, error: ApiError) -> ApiError {
        if self.may_have_run {
            error.with_run(Run::Unknown)
        } else {
            error
        }
    }
}

fn end_stopped(app: &App, live: &Live, tries: &Tries) {
    app.metrics.count("answer.stopped", 1);
    let error = tries.error(crashes::stopped(Run::NotRun));
    live.end(End::Failed(error), app.now());
}

/// One attempt, which is called back if its content is stopped before its first token.
async fn attempt_or_call_back(app: &Arc<App>, live: &Arc<Live>, chosen: &Chosen) -> Over {
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

async fn cancel(app: &App, live: &Live, upstream: &UpstreamName) {
    let attempt = live.look(|s| s.answer.attempt());
    if let Some(address) = address_of(app, upstream) {
        let engine = app.engines.engine(address);
        engine.cancel(&generation_name(live, attempt)).await;
    }
}

/// Records an attempt that was lost at an engine, and cancels one that was given up there.
fn on_loss(
    app: &Arc<App>,
    live: &Arc<Live>,
    upstream: &UpstreamName,
    failure: Failure,
    begun: Instant,
) {
    let Some(loss) = failure.loss() else {
        return;
    };
    let ran_for = app.now().saturating_duration_since(begun);
    crashes::on_lost(app, &live.spec.content(), upstream, loss, ran_for);
    if loss == Loss::GivenUp {
        cancel_given_up(app, live, upstream);
    }
}

/// Cancels what was given up for its engine's silence, without waiting: a paused engine would begin it when
/// it resumes.
fn cancel_given_up(app: &Arc<App>, live: &Arc<Live>, upstream: &UpstreamName) {
    let (app, upstream) = (Arc::clone(app), upstream.clone());
    let attempt = live.look(|s| s.answer.attempt());
    let generation = generation_name(live, attempt);
    tokio::spawn(async move {
        if let Some(address) = address_of(&app, &upstream) {
            app.engines.engine(address).cancel(&generation).await;
        }
    });
}

/// Whether an answer of another router has to go on at another engine.
enum GoOn {
    Ended,
    Elsewhere,
}

/// Goes on with the stream of an earlier owner, if its engine still runs it.
///
/// What may not be repeated goes on nowhere else: the earlier owner has
/// dispatched it.
async fn go_on_there(app: &Arc<App>, live: &Arc<Live>, source: Option<Source>) -> GoOn {
    if let Some(source) = source {
        let over = resume(app, live, &source).await;
        if let Some(over) = over.filter(|o| !matches!(o, Over::Failed(_))) {
            conclude(app, live, &source.upstream, &over).await;
            return GoOn::Ended;
        }
    }
    if live.spec.repeatable {
        return GoOn::Elsewhere;
    }
    end_unknown(app, live);
    GoOn::Ended
}

fn end_unknown(app: &App, live: &Live) {
    let error = ApiError::unknown("the engine failed and the request may not be repeated");
    live.end(End::Failed(error), app.now());
}

fn on_failed(app: &App, live: &Live, upstream: &UpstreamName, why: Failure) {
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

async fn conclude(app: &Arc<App>, live: &Arc<Live>, upstream: &UpstreamName, over: &Over) {
    match over {
        Over::Finished => {
            lock(&app.view).on_success(upstream);
            crashes::on_completed(app, &live.spec.content());
            app.metrics.count("answer.finished", 1);
        }
        Over::Abandoned => {
            cancel(app, live, upstream).await;
            let error = ApiError::unknown("no caller read the answer");
            live.end(End::Failed(error), app.now());
        }
        // The new owner may go on with the stream of the same engine: leave it alone.
        Over::Moved | Over::Stopped | Over::Failed(_) => {}
    }
}

fn address_of(app: &App, upstream: &UpstreamName) -> Option<std::net::SocketAddr> {
    lock(&app.view).upstream(upstream).map(|u| u.address)
}

/// Finds an engine for an answer that has to go on: ahead of new work, full ones included.
async fn go_on_at(
    app: &App,
    live: &Live,
    tries: &Tries,
    apart: Option<u64>,
) -> Result<Chosen, ApiError> {
    let until = app.now() + GO_ON_WITHIN;
    let mut ask = Ask::new(live.spec.service.clone());
    ask.prefix = Some(hash_of(&live.spec.prompt));
    ask.failed = tries.failed.clone();
    ask.overcommit = true;
    ask.apart = apart;
    loop {
        if let Choice::Chosen(chosen) = choose(app, &ask) {
            log_choice(app, live.key.as_str(), &live.spec.service, &chosen);
            return Ok(chosen);
        }
        if app.now() >= until || live.is_ended() {
            return Err(tries.error(nobody(app, &live.spec.service)));
        }
        app.timers.sleep(GO_ON_PAUSE).await;
    }
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
        s.source = Some(Source {
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
    let limit = Silence::new(live.spec.silence, false).first_token();
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
async fn resume(app: &Arc<App>, live: &Arc<Live>, source: &Source) -> Option<Over> {
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
                if !stream.has_buffered() {
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
    silence: Silence,
    last_event: Instant,
    limit: Duration,
    first: bool,
}

impl QuietTime {
    fn new(live: &Live, now: Instant) -> Self {
        let silence = Silence::new(live.spec.silence, live.spec.adaptive_silence);
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
        Err(StreamError::Lost { .. }) => {
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
        TokenStep::Accepted if last => Taken::Over(Over::Finished),
        TokenStep::Accepted | TokenStep::Repeated => Taken::GoOn,
        TokenStep::Gap => Taken::Over(Over::Failed(Failure::TokensMissing)),
        TokenStep::Late | TokenStep::Closed => Taken::Over(Over::Moved),
    }
}
