//! Runs a generation to its end, through as many attempts as it takes.
//!
//! One task a generation; [`super::race`] carries out the attempts that run at the same time. An attempt
//! that may have run ends a generation that may not be repeated.

use crate::admission::{choose, log_choice, nobody, release};
use crate::answers::attempt::{Attempt, cancel_current};
use crate::answers::failure::Over;
use crate::answers::live::{End, Live};
use crate::answers::race::Race;
use crate::answers::tries::{Tries, not_repeated};
use crate::app::App;
use crate::crashes::{self, Admitted, Turn};
use crate::error::{ApiError, Run};
use cloverpier_answer::TokenSource;
use cloverpier_core::lock;
use cloverpier_crashes::Admission;
use cloverpier_route::{CONTINUE_WITHIN, Choice, Chosen};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Pause between two looks for an engine that can continue an answer.
const GO_ON_PAUSE: Duration = Duration::from_millis(50);

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
            match go_on_there(app, live, &mut tries, source).await {
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
        let attempt = Attempt::order(app, live, &chosen, turn);
        if run_attempts(app, live, &mut tries, attempt).await == Tried::Ended {
            return;
        }
    }
}

/// What attempts did to their generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Tried {
    /// It is over.
    Ended,
    /// It goes on with another attempt.
    Failed,
}

/// An attempt, those that run beside it while it is silent, and what follows from their end.
async fn run_attempts(
    app: &Arc<App>,
    live: &Arc<Live>,
    tries: &mut Tries,
    first: Attempt<'_>,
) -> Tried {
    let before = live.look(|s| s.answer.len());
    let failure = match race_or_call_back(app, live, tries, first).await {
        Over::Failed(failure) => failure,
        Over::Stopped => {
            tries.may_have_run = true;
            end_stopped(app, live, tries);
            return Tried::Ended;
        }
        over => {
            conclude(app, live, &over).await;
            return Tried::Ended;
        }
    };
    let progressed = live.look(|s| s.answer.len()) > before;
    if let Some(error) = tries.after_last(app, live, failure, progressed) {
        live.end(End::Failed(error), app.now());
        return Tried::Ended;
    }
    Tried::Failed
}

/// The attempts, which are called back if their content is stopped before the first token.
async fn race_or_call_back(
    app: &Arc<App>,
    live: &Arc<Live>,
    tries: &mut Tries,
    first: Attempt<'_>,
) -> Over {
    let before = live.look(|s| s.answer.len());
    let has_progress = || live.look(|s| s.answer.len()) > before;
    let race = Race::new(app, live, tries, first);
    let over = tokio::select! {
        over = race.run() => over,
        () = crashes::called_back(app, live.spec.content_key(), has_progress) => Over::Stopped,
    };
    if matches!(over, Over::Stopped) {
        // Engines run on for a while without a reader, and this one must not begin.
        cancel_current(app, live).await;
    }
    over
}

fn end_stopped(app: &App, live: &Live, tries: &Tries) {
    app.metrics.count("answer.stopped", 1);
    let error = tries.error(crashes::stopped(Run::NotRun));
    live.end(End::Failed(error), app.now());
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
async fn go_on_there(
    app: &Arc<App>,
    live: &Arc<Live>,
    tries: &mut Tries,
    source: Option<TokenSource>,
) -> GoOn {
    let attempt = source.and_then(|source| Attempt::resume(app, live, &source));
    if let Some(attempt) = attempt {
        let over = race_or_call_back(app, live, tries, attempt).await;
        if !matches!(over, Over::Failed(_)) {
            conclude(app, live, &over).await;
            return GoOn::Ended;
        }
    }
    if live.spec.repeatable {
        return GoOn::Elsewhere;
    }
    live.end(End::Failed(not_repeated()), app.now());
    GoOn::Ended
}

async fn conclude(app: &Arc<App>, live: &Arc<Live>, over: &Over) {
    match over {
        Over::Finished => {
            if let Some(source) = live.look(|s| s.source.clone()) {
                lock(&app.view).on_success(&source.upstream);
            }
            crashes::on_completed(app, &live.spec.content());
            app.metrics.count("answer.finished", 1);
        }
        Over::Abandoned => {
            cancel_current(app, live).await;
            let error = ApiError::unknown("no caller read the answer");
            live.end(End::Failed(error), app.now());
        }
        // The new owner may go on with the stream of the same engine: leave it alone.
        Over::Moved | Over::Stopped | Over::Failed(_) => {}
    }
}

/// Finds an engine for an answer that has to go on.
async fn go_on_at(
    app: &App,
    live: &Live,
    tries: &Tries,
    apart: Option<u64>,
) -> Result<Chosen, ApiError> {
    let until = app.now() + CONTINUE_WITHIN;
    let mut request = tries.request_for_rest(live);
    request.isolation_key = apart;
    loop {
        if let Choice::Chosen(chosen) = choose(app, &request) {
            log_choice(app, live.key.as_str(), &live.spec.service, &chosen);
            return Ok(chosen);
        }
        if app.now() >= until || live.is_ended() {
            return Err(tries.error(nobody(app, &live.spec.service)));
        }
        app.timers.sleep(GO_ON_PAUSE).await;
    }
}
