//! Runs a generation to its end, through as many attempts as it takes.
//!
//! One task a generation; [`super::attempt`] carries out one attempt. An attempt that may have run ends a
//! generation that may not be repeated.

use crate::admission::{choose, log_choice, nobody, release};
use crate::answers::attempt::{attempt_or_call_back, cancel, cancel_given_up, on_failed, resume};
use crate::answers::failure::{Failure, Over};
use crate::answers::live::{End, Live};
use crate::app::App;
use crate::crashes::{self, Admitted, Turn};
use crate::error::{ApiError, Run};
use cloverpier_answer::TokenSource;
use cloverpier_core::{UpstreamName, hash_of, lock};
use cloverpier_crashes::{Admission, LossCause};
use cloverpier_route::{Choice, Chosen, RouteRequest};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// How long an answer waits for an engine that can continue it.
const GO_ON_WITHIN: Duration = Duration::from_secs(20);
/// Pause between two looks for one.
const GO_ON_PAUSE: Duration = Duration::from_millis(50);
/// Attempts in a row without a token after which an answer is given up.
const BARREN: u32 = 8;

/// How a generation starts.
#[derive(Debug)]
pub enum Start {
    /// At an upstream whose place is taken.
    At(Chosen),
    /// After an earlier owner: with the stream that an engine may still run for it.
    TakenOver(Option<TokenSource>),
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
        if admission == Admission::Blocked {
            if let Some(unused) = next {
                release(app, &unused);
            }
            return end_stopped(app, live, &tries);
        }
        let Some(chosen) = next.take() else {
            // That may take long: others need not wait for it, and it is admitted anew before it is sent.
            drop(turn);
            match go_on_at(app, live, &tries, admission.isolation_key(content)).await {
                Ok(chosen) => next = Some(chosen),
                Err(error) => return live.end(End::Failed(error), app.now()),
            }
            continue;
        };
        turn.iter().for_each(Turn::on_sent);
        if try_at(app, live, &mut tries, chosen).await == Tried::Ended {
            return;
        }
    }
}

/// What one attempt did to its generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Tried {
    /// It is over.
    Ended,
    /// It goes on with another attempt.
    Failed,
}

/// One attempt, whose turn it is, and what follows from its end.
async fn try_at(app: &Arc<App>, live: &Arc<Live>, tries: &mut Tries, chosen: Chosen) -> Tried {
    let begun = app.now();
    let before = live.look(|s| s.answer.len());
    let over = attempt_or_call_back(app, live, &chosen).await;
    release(app, &chosen);
    let failure = match over {
        Over::Failed(failure) => failure,
        Over::Stopped => {
            tries.may_have_run = true;
            end_stopped(app, live, tries);
            return Tried::Ended;
        }
        over => {
            conclude(app, live, &chosen.upstream, &over).await;
            return Tried::Ended;
        }
    };
    on_failed(app, live, &chosen.upstream, failure);
    on_loss(app, live, &chosen.upstream, failure, begun);
    let progressed = live.look(|s| s.answer.len()) > before;
    if let Some(error) = tries.after_failure(app, live, failure, progressed) {
        live.end(End::Failed(error), app.now());
        return Tried::Ended;
    }
    tries.failed.push(chosen.upstream);
    Tried::Failed
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
    /// Counts an attempt that failed; the error where no other may follow.
    fn after_failure(
        &mut self,
        app: &App,
        live: &Live,
        failure: Failure,
        progressed: bool,
    ) -> Option<ApiError> {
        self.may_have_run |= failure.may_have_run();
        if failure.may_have_run() && !live.spec.repeatable {
            return Some(not_repeated());
        }
        self.barren = if progressed { 0 } else { self.barren + 1 };
        (self.barren >= BARREN).then(|| self.error(nobody(app, &live.spec.service)))
    }

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
    if loss == LossCause::UpstreamSilent {
        cancel_given_up(app, live, upstream);
    }
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
async fn go_on_there(app: &Arc<App>, live: &Arc<Live>, source: Option<TokenSource>) -> GoOn {
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
    live.end(End::Failed(not_repeated()), app.now());
    GoOn::Ended
}

fn not_repeated() -> ApiError {
    ApiError::unknown("the engine failed and the request may not be repeated")
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

/// Finds an engine for an answer that has to go on: ahead of new work, full ones included.
async fn go_on_at(
    app: &App,
    live: &Live,
    tries: &Tries,
    apart: Option<u64>,
) -> Result<Chosen, ApiError> {
    let until = app.now() + GO_ON_WITHIN;
    let mut ask = RouteRequest::new(live.spec.service.clone());
    ask.prefix = Some(hash_of(&live.spec.prompt));
    ask.failed = tries.failed.clone();
    ask.overcommit = true;
    ask.isolation_key = apart;
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
