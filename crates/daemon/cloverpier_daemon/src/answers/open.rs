//! Opens an answer for a caller: a new one, one that runs here, or one of another router.
//!
//! Which of these it is follows from the event identifier that the caller sends and from what holders of
//! copies answer; `cloverpier_answer` decides it. Owns no state: answers in progress are
//! [`crate::answers::live`]'s.

use crate::answers::directory::asked;
use crate::answers::live::{End, Live, Spec};
use crate::answers::run::{Start, spawn};
use crate::app::App;
use crate::error::{ApiError, Run};
use cloverpier_answer::{
    EventId, OwnedResponse, ResponseCopy, ResumePoint, SealReply, Takeover, TakeoverStep,
};
use cloverpier_core::{MemberId, RequestKey, lock};
use cloverpier_peer::{PeerReply, PeerRequest};
use futures_util::future::join_all;
use salvo::http::StatusCode;
use serde::Serialize;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// How long a member may take to say where a copy is.
const ASK_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a holder may take to seal a term.
const SEAL_TIMEOUT: Duration = Duration::from_millis(600);
/// When a caller should retry while its answer cannot be reached.
const COME_BACK: Duration = Duration::from_millis(700);

/// What opening an answer came to.
#[derive(Debug)]
pub enum Opened {
    /// The answer is here; the caller goes on at this offset.
    Here {
        /// The answer.
        live: Arc<Live>,
        /// Tokens that the caller has.
        offset: u64,
    },
    /// Nothing is known of it.
    New(NewAnswer),
}

/// An answer of which nothing is known.
#[derive(Clone, Copy, Debug)]
pub struct NewAnswer {
    /// The first term that no other router uses.
    pub term: u64,
    /// Whether a member that may know of it did not reply.
    pub may_be_elsewhere: bool,
}

#[derive(Serialize)]
struct TakenOver<'a> {
    request: &'a str,
    from: &'a MemberId,
    term: u64,
    tokens: u64,
}

/// Opens the answer to a request; `retry` says that the caller may have sent it before.
///
/// # Errors
///
/// [`ApiError`] when the caller has tokens that can't be found, or others than those known.
pub async fn open(
    app: &Arc<App>,
    key: &RequestKey,
    body: u64,
    spec: &Spec,
    last: Option<&EventId>,
    retry: bool,
) -> Result<Opened, ApiError> {
    if let Some(live) = usable_here(app, key).await {
        check_body(live.body, body)?;
        let offset = match last {
            Some(last) => go_on(live.look(|s| s.answer.resume_at(last.tokens, last.chain)))?,
            None => 0,
        };
        return Ok(Opened::Here { live, offset });
    }
    if !retry {
        return Ok(Opened::New(NewAnswer {
            term: 1,
            may_be_elsewhere: false,
        }));
    }
    let located = holders_of(app, key, last).await;
    let sealed = seal_all(app, key, &located.holders).await?;
    let Some(held) = sealed.held else {
        return match last {
            Some(last) if last.tokens > 0 => Err(not_found(sealed.has_missing_replies)),
            _ => Ok(Opened::New(NewAnswer {
                term: sealed.term,
                may_be_elsewhere: sealed.has_missing_replies || located.has_missing_replies,
            })),
        };
    };
    check_body(held.body_digest, body)?;
    take_over(app, key, spec, held, sealed.term, last)
}

/// An answer that this router owns still.
///
/// A caller that retries may have been at another router meanwhile, which
/// took the answer over at a holder that this one gave up: ask before it goes
/// on here.
async fn usable_here(app: &App, key: &RequestKey) -> Option<Arc<Live>> {
    let live = app.answers.get(key)?;
    if !live.is_useless() && live.spec.copies > 0 {
        let term = live.look(|s| s.answer.term());
        let mut holders = holders_of(app, key, None).await.holders;
        holders.extend(live.look(|s| s.copy.holder().cloned()));
        let replies = holders.iter().map(|h| seal(app, key, term, h));
        let replies = join_all(replies).await;
        let refused = |r: &SealReply| matches!(r, SealReply::Refused { .. });
        if replies.iter().flatten().any(refused) {
            live.end(End::TakenOver, app.now());
        }
    }
    if live.is_useless() {
        lock(&app.answers.live).remove(key);
        return None;
    }
    Some(live)
}

fn check_body(known: u64, body: u64) -> Result<(), ApiError> {
    if known == body {
        return Ok(());
    }
    let message = "the key was used for another request";
    let error = ApiError::not_run(StatusCode::UNPROCESSABLE_ENTITY, "key_reused", message);
    Err(error.at("Idempotency-Key"))
}

fn go_on(resume: ResumePoint) -> Result<u64, ApiError> {
    match resume {
        ResumePoint::From(offset) => Ok(offset),
        ResumePoint::Behind { .. } => Err(not_found(true)),
        ResumePoint::Diverged => {
            let message = "the tokens that the caller has are not those of this answer";
            let error = ApiError::not_run(StatusCode::CONFLICT, "answer_diverged", message);
            Err(error.at("Last-Event-ID").with_run(Run::Unknown))
        }
    }
}

/// The error for a key that was dispatched before, while a member that may know its answer is silent.
pub fn unreachable() -> ApiError {
    not_found(true)
}

/// The rest of an answer isn't known here: it may be found again, or it is lost.
fn not_found(may_come_back: bool) -> ApiError {
    if may_come_back {
        let message = "a router that holds the rest of the answer can't be reached";
        let error = ApiError::busy("answer_unreachable", message, COME_BACK);
        return error.with_run(Run::Unknown);
    }
    let message = "the rest of the answer is not known any more; ask without Last-Event-ID";
    let error = ApiError::not_run(StatusCode::GONE, "answer_unknown", message);
    error.at("Last-Event-ID").with_run(Run::Unknown)
}

/// Members that may hold a copy.
struct Located {
    holders: BTreeSet<MemberId>,
    /// Whether a member that keeps notes of where copies are did not answer.
    has_missing_replies: bool,
}

/// Members that may hold a copy: as the caller says, as the directory says, and this one.
async fn holders_of(app: &App, key: &RequestKey, last: Option<&EventId>) -> Located {
    let mut holders = BTreeSet::new();
    holders.extend(last.and_then(|l| l.holder.clone()));
    holders.extend(lock(&app.answers.directory).holder(key));
    holders.insert(app.me.id.clone());
    let list = app.members();
    let request = PeerRequest::Locate { key: key.clone() };
    let others = asked(&list, key);
    let others = others.iter().filter(|id| **id != app.me.id);
    let replies = others.map(|id| app.ask(id, &request, ASK_TIMEOUT));
    let mut has_missing_replies = false;
    for reply in join_all(replies).await {
        match reply {
            Some(PeerReply::Located { holder }) => holders.extend(holder),
            Some(_) | None => has_missing_replies = true,
        }
    }
    Located {
        holders,
        has_missing_replies,
    }
}

struct Sealed {
    term: u64,
    held: Option<ResponseCopy>,
    /// Whether a holder did not answer.
    has_missing_replies: bool,
}

/// Seals all earlier terms at every holder, and finds the newest copy.
async fn seal_all(
    app: &App,
    key: &RequestKey,
    holders: &BTreeSet<MemberId>,
) -> Result<Sealed, ApiError> {
    let mut takeover = Takeover::new();
    let mut step = takeover.start();
    loop {
        match step {
            TakeoverStep::Seal { term } => {
                let replies = holders.iter().map(|h| seal(app, key, term, h));
                step = takeover.on_replies(join_all(replies).await);
            }
            TakeoverStep::Own {
                term,
                held,
                has_missing_replies,
            } => {
                return Ok(Sealed {
                    term,
                    held,
                    has_missing_replies,
                });
            }
            TakeoverStep::Contended => {
                let message = "another router is taking the answer over";
                return Err(ApiError::busy("contended", message, COME_BACK));
            }
        }
    }
}

async fn seal(app: &App, key: &RequestKey, term: u64, holder: &MemberId) -> Option<SealReply> {
    if *holder == app.me.id {
        let now = app.now();
        let mut copies = lock(&app.answers.copies);
        return Some(copies.seal(key, term, &app.me.id, now));
    }
    let request = PeerRequest::Seal {
        key: key.clone(),
        term,
        owner: app.me.id.clone(),
    };
    match app.ask(holder, &request, SEAL_TIMEOUT).await? {
        PeerReply::Seal(reply) => Some(reply),
        _ => None,
    }
}

fn take_over(
    app: &Arc<App>,
    key: &RequestKey,
    spec: &Spec,
    held: ResponseCopy,
    term: u64,
    last: Option<&EventId>,
) -> Result<Opened, ApiError> {
    let answer = OwnedResponse::resumed(term, app.opener(), held.tokens, held.finish);
    let offset = match last {
        Some(last) => go_on(answer.resume_at(last.tokens, last.chain))?,
        None => 0,
    };
    app.metrics.count("answer.taken_over", 1);
    app.log.info(
        "answer.taken_over",
        &TakenOver {
            request: key.as_str(),
            from: &held.owner,
            term,
            tokens: answer.len(),
        },
    );
    let finished = answer.finish().is_some();
    let live = Live::new(
        key.clone(),
        held.body_digest,
        spec.clone(),
        answer,
        app.now(),
    );
    lock(&app.answers.live).insert(key.clone(), Arc::clone(&live));
    if finished {
        live.mark_over(app.now());
    } else {
        super::outbox::send_news(app, &live);
        spawn(app, &live, Start::TakenOver(held.source));
    }
    Ok(Opened::Here { live, offset })
}
