//! Completions: generations as callers ask for them.
//!
//! The way of a request: account and body are checked, the key is looked up, a new generation is
//! charged, placed, claimed if it may not be repeated, and started; then its answer is read.

use crate::admission::log_choice;
use crate::answers::{
    End, Live, NewAnswer, Opened, Reader, Reading, Spec, Start, open, spawn, unreachable,
};
use crate::app::App;
use crate::claims;
use crate::crashes::{self, Admitted};
use crate::error::{ApiError, Run};
use crate::web::app_of;
use crate::web::completion_body::{Completion, completion};
use crate::web::request::{
    Caller, Keyed, caller, keyed, last_event, may_take, raw_body, repeatable,
};
use crate::web::sse::{Shape, Writer};
use cloverpier_admit::QueuedRequest;
use cloverpier_answer::OwnedResponse;
use cloverpier_core::{hash_of, lock};
use cloverpier_crashes::Admission;
use cloverpier_record::Refusal;
use cloverpier_route::{Chosen, RouteRequest};
use salvo::http::HeaderValue;
use salvo::http::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderName};
use salvo::prelude::*;
use serde::Serialize;
use std::sync::Arc;
use std::time::Duration;

/// When a caller should retry after its answer moved to another router.
const MOVED_RETRY: Duration = Duration::from_millis(50);

#[derive(Serialize)]
struct Models {
    object: &'static str,
    data: Vec<Model>,
}

#[derive(Serialize)]
struct Model {
    id: cloverpier_core::ServiceName,
    object: &'static str,
}

/// Services that the caller may name as models.
#[handler]
pub async fn models(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    match caller(&app_of(depot), req) {
        Err(error) => error.render(res),
        Ok(caller) => {
            let services = caller.account.services.iter();
            let data = services.map(|id| Model {
                id: id.clone(),
                object: "model",
            });
            res.render(Json(Models {
                object: "list",
                data: data.collect(),
            }));
        }
    }
}

/// `POST /v1/completions`.
#[handler]
pub async fn completions(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    serve(&app_of(depot), req, res, Shape::Text).await;
}

/// `POST /v1/chat/completions`.
#[handler]
pub async fn chat(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    serve(&app_of(depot), req, res, Shape::Chat).await;
}

async fn serve(app: &Arc<App>, req: &mut Request, res: &mut Response, shape: Shape) {
    match prepare(app, req, shape).await {
        Err(error) => {
            app.metrics.count("completion.refused", 1);
            error.render(res);
        }
        Ok(ready) => answer(app, res, shape, ready).await,
    }
}

struct Ready {
    reader: Reader,
    shown: String,
    stream: bool,
    offset: u64,
}

async fn prepare(app: &Arc<App>, req: &mut Request, shape: Shape) -> Result<Ready, ApiError> {
    let caller = caller(app, req)?;
    let keyed = keyed(app, req, &caller.name)?;
    let last = last_event(req)?;
    let repeatable = repeatable(req)?.unwrap_or(true);
    let body = raw_body(req).await?;
    let mut ask = completion(&caller, &body, shape == Shape::Chat)?;
    // Whether it may be repeated is part of the request: a retry can't change it.
    ask.body = hash_of(&format!("{repeatable}/{}", ask.body));
    let spec = spec_of(&caller, &ask, repeatable);
    // A caller that resumes its answer is served while this router stops.
    if app.answers.get(&keyed.key).is_none() {
        may_take(app)?;
    }
    let opened = open(app, &keyed.key, ask.body, &spec, last.as_ref(), keyed.given).await?;
    let (live, offset) = match opened {
        Opened::Here { live, offset } => (live, offset),
        Opened::New(new) => (begin(app, &caller, &keyed, &ask, spec, new).await?, 0),
    };
    Ok(Ready {
        reader: live.read(offset, app.timers.clone()),
        shown: keyed.shown,
        stream: ask.stream,
        offset,
    })
}

fn spec_of(caller: &Caller, ask: &Completion, repeatable: bool) -> Spec {
    Spec {
        account: caller.name.clone(),
        service: ask.service.clone(),
        model: ask.model.clone(),
        prompt: Arc::clone(&ask.prompt),
        max_tokens: ask.max_tokens,
        priority: ask.priority,
        adapter: ask.adapter.clone(),
        copies: ask.config.copies,
        silence: Duration::from_millis(ask.config.silence_ms),
        adaptive_silence: ask.config.adaptive_silence,
        linger: Duration::from_millis(ask.config.linger_ms),
        repeatable,
    }
}

/// Admits a new generation and starts it.
async fn begin(
    app: &Arc<App>,
    caller: &Caller,
    keyed: &Keyed,
    ask: &Completion,
    spec: Spec,
    new: NewAnswer,
) -> Result<Arc<Live>, ApiError> {
    let content = spec.content_key();
    // Each attempt takes its own turn.
    let Admitted { admission, turn: _ } = crashes::admit(app, content).await;
    if admission == Admission::Blocked {
        return Err(crashes::stopped(Run::NotRun));
    }
    let chosen = admit(app, caller, ask, admission.isolation_key(content)).await?;
    if !spec.repeatable
        && let Err(refusal) = claims::claim(app, &keyed.key, ask.body).await
    {
        lock(&app.view).on_ended(&chosen.upstream);
        return Err(refused(refusal, new.may_be_elsewhere));
    }
    log_choice(app, keyed.key.as_str(), &ask.service, &chosen);
    let answer = OwnedResponse::new(new.term, app.opener());
    let live = Live::new(keyed.key.clone(), ask.body, spec, answer, app.now());
    match register(app, &live) {
        Registered::New => {
            spawn(app, &live, Start::At(chosen));
            Ok(live)
        }
        Registered::Known(other) => {
            lock(&app.view).on_ended(&chosen.upstream);
            Ok(other)
        }
    }
}

/// Charges the account and takes a place at an engine.
async fn admit(
    app: &App,
    caller: &Caller,
    ask: &Completion,
    apart: Option<u64>,
) -> Result<Chosen, ApiError> {
    let account = &caller.account;
    app.admission
        .charge(app, &caller.name, account, ask.max_tokens)
        .await?;
    let mut route = RouteRequest::new(ask.service.clone());
    route.prefix = Some(hash_of(&ask.prompt));
    route.isolation_key = apart;
    let waiting = QueuedRequest {
        account: caller.name.clone(),
        weight: account.weight,
        priority: ask.priority,
        cost: ask.max_tokens,
        max_wait: Duration::from_millis(ask.config.queue_ms),
    };
    let placed = app.admission.place(app, route, &waiting).await;
    placed.inspect_err(|_| {
        let unused = u64::from(ask.max_tokens);
        app.admission.give_back(&caller.name, unused);
    })
}

/// Whether an answer is the only one of its key.
enum Registered {
    /// It is.
    New,
    /// The same key was sent twice at once: this one serves both.
    Known(Arc<Live>),
}

fn register(app: &App, live: &Arc<Live>) -> Registered {
    let mut all = lock(&app.answers.live);
    if let Some(other) = all.get(&live.key).filter(|l| !l.is_useless()) {
        return Registered::Known(Arc::clone(other));
    }
    all.insert(live.key.clone(), Arc::clone(live));
    Registered::New
}

/// The error of a claim that was refused. Where a member that may know of the answer is silent, an earlier
/// request may have begun it: it can be found there later.
fn refused(refusal: Refusal, may_be_elsewhere: bool) -> ApiError {
    match refusal {
        Refusal::NotWritten { retry_ms } if may_be_elsewhere => {
            crate::plain::not_written(retry_ms).with_run(Run::Unknown)
        }
        Refusal::NotWritten { retry_ms } => crate::plain::not_written(retry_ms),
        Refusal::Taken(_) if may_be_elsewhere => unreachable(),
        Refusal::Taken(_) => {
            ApiError::unknown("the request was sent before and may not be repeated")
        }
    }
}

async fn answer(app: &Arc<App>, res: &mut Response, shape: Shape, ready: Ready) {
    if let Ok(shown) = HeaderValue::from_str(&ready.shown) {
        let name = HeaderName::from_static("idempotency-key");
        res.headers_mut().insert(name, shown);
    }
    let writer = Writer::new(shape, &ready.shown, &ready.reader.live().spec.service);
    if !ready.stream {
        return whole(res, writer, ready.reader).await;
    }
    app.metrics.count("completion.streams", 1);
    let headers = res.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    let state = (ready.reader, writer, ready.offset, false);
    res.stream(futures_util::stream::unfold(
        state,
        |(mut reader, writer, offset, over)| async move {
            if over {
                return None;
            }
            let reading = reader.next().await;
            let (text, over) = writer.events(&reading);
            Some((
                Ok::<_, std::io::Error>(text),
                (reader, writer, offset, over),
            ))
        },
    ));
}

/// Answers with the whole text at once.
async fn whole(res: &mut Response, writer: Writer, mut reader: Reader) {
    let mut text = String::new();
    loop {
        match reader.next().await {
            Reading::Tokens { tokens, .. } => {
                for (token, _) in &tokens {
                    text.push_str(token);
                }
            }
            Reading::Finish(finish) => {
                res.render(Text::Json(writer.whole(&text, finish)));
                return;
            }
            Reading::End(End::Failed(error)) => return error.render(res),
            Reading::End(End::TakenOver) => return moved().render(res),
            Reading::Wait => {}
        }
    }
}

/// The answer goes on at another router.
pub fn moved() -> ApiError {
    let message = "the answer goes on at another router; ask again with Last-Event-ID";
    let error = ApiError::busy("moved", message, MOVED_RETRY);
    error.with_run(Run::Unknown)
}
