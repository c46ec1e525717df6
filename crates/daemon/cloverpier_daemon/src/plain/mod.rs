//! Calls to plain services: repeatable ones, and ones that run at most once.
//!
//! A repeatable call goes to several upstreams ([`repeatable`]); one that runs at most once is claimed first
//! ([`crate::claims`]) and goes on only where no byte can have been received.

mod repeatable;

use crate::admission::{choose, log_choice, nobody, release};
use crate::app::App;
use crate::claims::{self, Written};
use crate::crashes::{self, Admitted, Turn};
use crate::error::{ApiError, Run};
use crate::statements;
use cloverpier_config::Repeatable;
use cloverpier_core::{RequestKey, ServiceName, UpstreamName, hash_of, lock};
use cloverpier_crashes::{Admission, ContentKey, LossCause, RequestContent};
use cloverpier_record::{Outcome, Record, Refusal, StoredResponse};
use cloverpier_route::{Choice, Chosen, RouteRequest};
use cloverpier_upstream::{PlainCall, PlainError, PlainResponse, UpstreamStatement, call_plain};
use reqwest::Method;
use salvo::http::StatusCode;
use std::sync::Arc;
use std::time::Duration;

/// Upstreams that a repeatable call is sent to at most.
const TRIES: u32 = 3;
/// The largest answer that is kept for a caller that asks again, in bytes: records travel between
/// members.
const KEEP_BODY: usize = 64 << 10;

/// The least pause before a retry when the key could not be stored.
const MIN_NOT_WRITTEN_RETRY_MS: u64 = 100;

/// Whether a call may be run again when its outcome is unknown.
pub fn may_repeat(rule: Repeatable, method: &Method, header: Option<bool>) -> bool {
    let by_rule = match rule {
        Repeatable::All => true,
        Repeatable::None => false,
        Repeatable::Reads => matches!(*method, Method::GET | Method::HEAD | Method::OPTIONS),
    };
    // A caller can forbid what the service allows, never the other way round.
    by_rule && header.unwrap_or(true)
}

/// Passes a call on.
///
/// # Errors
///
/// [`ApiError`] says whether the call was run.
pub async fn call(
    app: &Arc<App>,
    service: &ServiceName,
    key: &RequestKey,
    req: &PlainCall,
    repeatable: bool,
) -> Result<PlainResponse, ApiError> {
    if repeatable {
        repeatable::call(app, service, key, req).await
    } else {
        call_once(app, service, key, req).await
    }
}

/// Whose call it is and of what, as its repeats have it in common.
fn content<'a>(
    service: &'a ServiceName,
    key: &'a RequestKey,
    req: &'a PlainCall,
) -> RequestContent<'a> {
    RequestContent {
        account: key.account(),
        host: service.as_str(),
        method: req.method.as_str(),
        target: &req.path,
        body: &req.body,
    }
}

/// A place for a call, and its turn, if its content may do harm. Both last as long as this.
struct Placed<'a> {
    app: &'a App,
    chosen: Chosen,
    _turn: Option<Turn<'a>>,
}

impl Drop for Placed<'_> {
    fn drop(&mut self) {
        release(self.app, &self.chosen);
    }
}

/// Takes a place for a call, which is to be sent at once, unless its content ends upstreams.
async fn place<'a>(
    app: &'a App,
    service: &ServiceName,
    key: &RequestKey,
    content: ContentKey,
    failed: &[UpstreamName],
) -> Result<Placed<'a>, ApiError> {
    let Admitted { admission, turn } = crashes::admit(app, content).await;
    if admission == Admission::Blocked {
        return Err(crashes::stopped(Run::NotRun));
    }
    let mut ask = RouteRequest::new(service.clone());
    ask.isolation_key = admission.isolation_key(content);
    ask.failed = failed.to_vec();
    // Lookups are over at once: they never wait in line.
    ask.overcommit = true;
    match choose(app, &ask) {
        Choice::Chosen(chosen) => Ok(placed(app, service, key, chosen, turn)),
        Choice::Full | Choice::NoneAvailable => Err(nobody(app, service)),
    }
}

fn placed<'a>(
    app: &'a App,
    service: &ServiceName,
    key: &RequestKey,
    chosen: Chosen,
    turn: Option<Turn<'a>>,
) -> Placed<'a> {
    log_choice(app, key.as_str(), service, &chosen);
    turn.iter().for_each(Turn::on_sent);
    Placed {
        app,
        chosen,
        _turn: turn,
    }
}

async fn try_at(
    app: &Arc<App>,
    content: &RequestContent<'_>,
    chosen: &Chosen,
    req: &PlainCall,
) -> Result<PlainResponse, PlainError> {
    let begun = app.now();
    let result = call_plain(&app.plain, chosen.address, req).await;
    match &result {
        Ok(answer) => {
            lock(&app.view).on_success(&chosen.upstream);
            statements::hear(app, &chosen.upstream, &answer.statement);
            crashes::on_completed(app, content);
        }
        Err(error) => {
            // Whatever the cause, it counts as a failure of the upstream.
            lock(&app.view).on_failure(&chosen.upstream, app.now());
            if error.may_be_crash() {
                let ran_for = app.now().saturating_duration_since(begun);
                crashes::on_lost(
                    app,
                    content,
                    &chosen.upstream,
                    LossCause::ConnectionBroken,
                    ran_for,
                );
            }
        }
    }
    result
}

fn body_digest(req: &PlainCall) -> u64 {
    let body = String::from_utf8_lossy(&req.body);
    hash_of(&format!("{} {}\n{body}", req.method, req.path))
}

/// Claims the key, dispatches once, and writes down its outcome.
async fn call_once(
    app: &Arc<App>,
    service: &ServiceName,
    key: &RequestKey,
    req: &PlainCall,
) -> Result<PlainResponse, ApiError> {
    let body = body_digest(req);
    let written = match claims::claim(app, key, body).await {
        Ok(written) => written,
        Err(Refusal::NotWritten { retry_ms }) => return Err(not_written(retry_ms)),
        Err(Refusal::Taken(record)) => return from_record(record, body),
    };
    // From here on the outcome is written down even if the caller goes away.
    let task = dispatch(Arc::clone(app), service.clone(), written, req.clone());
    let done = tokio::spawn(task).await;
    done.unwrap_or_else(|_| Err(ApiError::unknown("the dispatch failed")))
}

async fn dispatch(
    app: Arc<App>,
    service: ServiceName,
    written: Written,
    req: PlainCall,
) -> Result<PlainResponse, ApiError> {
    let content = content(&service, &written.key, &req);
    let content_key = ContentKey::of(&content);
    let mut failed = Vec::new();
    for _ in 0..TRIES {
        let placed = place(&app, &service, &written.key, content_key, &failed).await;
        let placed = match placed {
            Ok(placed) => placed,
            Err(error) => {
                claims::release(&app, &written).await;
                return Err(error);
            }
        };
        let result = try_at(&app, &content, &placed.chosen, &req).await;
        let upstream = placed.chosen.upstream.clone();
        drop(placed);
        match result {
            Ok(answer) => {
                let outcome = Outcome::Done(stored(&answer));
                claims::settle(&app, &written, &outcome).await;
                return Ok(answer);
            }
            // No byte can have reached it: another one may be tried.
            Err(PlainError::NotReached { .. }) => failed.push(upstream),
            Err(
                PlainError::NoResponse { .. }
                | PlainError::InvalidHead { .. }
                | PlainError::TooLong { .. },
            ) => {
                claims::settle(&app, &written, &Outcome::Unknown).await;
                return Err(ApiError::unknown(
                    "the upstream did not answer; it may have run the call",
                ));
            }
        }
    }
    claims::release(&app, &written).await;
    Err(nobody(&app, &service))
}

fn stored(answer: &PlainResponse) -> StoredResponse {
    let keep = answer.body.len() <= KEEP_BODY;
    StoredResponse {
        status: answer.status,
        content_type: answer.content_type.clone(),
        body: keep.then(|| answer.body.to_vec()),
    }
}

/// The claim could not be written everywhere: nothing was run.
pub fn not_written(retry_ms: u64) -> ApiError {
    let wait = Duration::from_millis(retry_ms.max(MIN_NOT_WRITTEN_RETRY_MS));
    let message = "the request could not be written down at all holders";
    ApiError::busy("not_written", message, wait)
}

/// Answers a key that was claimed before.
fn from_record(record: Record, body: u64) -> Result<PlainResponse, ApiError> {
    if record.request_digest != body {
        let message = "the key was used for another request";
        let error = ApiError::not_run(StatusCode::UNPROCESSABLE_ENTITY, "key_reused", message);
        return Err(error.at("Idempotency-Key"));
    }
    match record.outcome {
        Outcome::Claimed | Outcome::Unknown => Err(ApiError::unknown(
            "the request was sent before and its outcome isn't known",
        )),
        Outcome::Done(StoredResponse {
            status,
            content_type,
            body: Some(body),
        }) => Ok(PlainResponse {
            status,
            content_type,
            body: body.into(),
            statement: UpstreamStatement::default(),
        }),
        Outcome::Done(_) => {
            let message = "the request was run before; its answer was too large to keep";
            let error = ApiError::not_run(StatusCode::CONFLICT, "already_done", message);
            Err(error.with_run(Run::Done))
        }
    }
}
