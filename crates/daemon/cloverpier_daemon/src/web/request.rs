//! What callers send besides a completion's body: account, key, headers, and whether this
//! router may take requests at all.
//!
//! Everything is checked before anything is dispatched, so an error here means "not run" and
//! names the header or field.

use crate::app::App;
use crate::error::ApiError;
use crate::members::Standing;
use cloverpier_answer::EventId;
use cloverpier_config::{Account, Config, Service};
use cloverpier_core::{AccountName, RequestKey, ServiceName, jitter, lock};
use futures_util::StreamExt;
use salvo::http::StatusCode;
use salvo::prelude::*;
use std::sync::Arc;
use std::time::Duration;

/// The largest body of a caller, in bytes.
const MAX_BODY: usize = 4 << 20;
/// What is read of a body that is too large, in bytes, before the connection is closed on it.
const DISCARD_MOST: usize = 64 << 20;
/// Characters of an idempotency key at most.
const MAX_KEY: usize = 200;

/// When a caller should retry, jittered, if it has to use another router meanwhile.
const ELSEWHERE_RETRY: Duration = Duration::from_secs(1);

/// A caller that presented a valid key.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Its account.
    pub name: AccountName,
    /// The account's rules.
    pub account: Arc<Account>,
    /// The configuration that it was checked against.
    pub config: Arc<Config>,
}

/// Refuses new requests where this router must not take any.
///
/// # Errors
///
/// [`ApiError`], not run.
pub fn may_take(app: &App) -> Result<(), ApiError> {
    let wait = jitter(&mut lock(&app.rng), ELSEWHERE_RETRY);
    if app.is_stopping() {
        let message = "this router is about to stop; use another address";
        return Err(ApiError::busy("stopping", message, wait));
    }
    must_have_learned(app)?;
    match lock(&app.cluster).standing(app.now()) {
        Standing::Good => Ok(()),
        Standing::Alone => {
            let message = "this router is cut off; use another address";
            Err(ApiError::busy("cut_off", message, wait))
        }
    }
}

/// Refuses requests while this router knows no configuration: judged by none, a valid key looked
/// unknown, and its caller was turned away for good.
fn must_have_learned(app: &App) -> Result<(), ApiError> {
    if app.has_learned() {
        return Ok(());
    }
    let wait = jitter(&mut lock(&app.rng), ELSEWHERE_RETRY);
    let message = "this router has not learned the configuration yet; use another address";
    Err(ApiError::busy("starting", message, wait))
}

/// Finds the account whose key a caller presents.
///
/// The key has the form `account.secret`, so that one digest is compared, in
/// constant time, however many accounts there are.
///
/// # Errors
///
/// [`ApiError`] when there is no such account, the key is wrong, or no configuration is known
/// yet.
pub fn caller(app: &App, req: &Request) -> Result<Caller, ApiError> {
    must_have_learned(app)?;
    // No header is no key, which is that of no account.
    let header = req.header::<String>("Authorization").unwrap_or_default();
    let key = header.strip_prefix("Bearer ").unwrap_or_default().trim();
    let config = app.config();
    let wrong = || {
        let message = "expected \"Bearer\" and the key of an account";
        let error = ApiError::not_run(StatusCode::UNAUTHORIZED, "unknown_key", message);
        error.at("Authorization")
    };
    let (name, _) = key.split_once('.').ok_or_else(wrong)?;
    let name = AccountName::new(name);
    let account = config.accounts.get(&name).ok_or_else(wrong)?;
    if !account.key_sha256.matches(key) {
        return Err(wrong());
    }
    let account = Arc::clone(account);
    Ok(Caller {
        name,
        account,
        config,
    })
}

impl Caller {
    /// A service that the account may call.
    ///
    /// # Errors
    ///
    /// [`ApiError`] when there is none of that name or the account may not call it.
    pub fn service(&self, name: &str, field: &str) -> Result<(ServiceName, Service), ApiError> {
        let name = ServiceName::new(name);
        let Some(service) = self.config.services.get(&name) else {
            let message = format!("no service {name}");
            let error = ApiError::not_run(StatusCode::NOT_FOUND, "unknown_model", message);
            return Err(error.at(field));
        };
        if !self.account.services.contains(&name) {
            let message = format!("account {} may not call {name}", self.name);
            let error = ApiError::not_run(StatusCode::FORBIDDEN, "service_not_allowed", message);
            return Err(error.at(field));
        }
        Ok((name, service.clone()))
    }
}

/// The key of a request, and whether the caller chose it.
#[derive(Clone, Debug)]
pub struct Keyed {
    /// The key.
    pub key: RequestKey,
    /// The idempotency key as it is shown to the caller.
    pub shown: String,
    /// Whether the caller sent it, so that it may have been sent before.
    pub given: bool,
}

/// Reads `Idempotency-Key`, or makes one up.
///
/// # Errors
///
/// [`ApiError`] when it is too long or not visible ASCII.
pub fn keyed(app: &App, req: &Request, account: &AccountName) -> Result<Keyed, ApiError> {
    let given = req.header::<String>("Idempotency-Key");
    let shown = match &given {
        Some(key) => key.clone(),
        None => format!("{}-{}", app.me.id, app.number()),
    };
    let plain = shown.chars().all(|c| c.is_ascii_graphic() && c != '#');
    if shown.is_empty() || shown.len() > MAX_KEY || !plain {
        let message = format!("expected 1 to {MAX_KEY} visible ASCII characters other than '#'");
        return Err(ApiError::field("Idempotency-Key", message));
    }
    Ok(Keyed {
        key: RequestKey::of(account, &shown),
        shown,
        given: given.is_some(),
    })
}

/// Reads `Cloverpier-Repeatable`.
///
/// # Errors
///
/// [`ApiError`] when it is neither `true` nor `false`.
pub fn repeatable(req: &Request) -> Result<Option<bool>, ApiError> {
    match req.header::<String>("Cloverpier-Repeatable").as_deref() {
        None => Ok(None),
        Some("true") => Ok(Some(true)),
        Some("false") => Ok(Some(false)),
        Some(_) => Err(ApiError::field(
            "Cloverpier-Repeatable",
            "expected true or false",
        )),
    }
}

/// Reads `Last-Event-ID`.
///
/// # Errors
///
/// [`ApiError`] when it isn't an identifier that a router sent.
pub fn last_event(req: &Request) -> Result<Option<EventId>, ApiError> {
    let Some(text) = req.header::<String>("Last-Event-ID") else {
        return Ok(None);
    };
    let message = "expected the id of an event of this answer";
    let parsed = EventId::parse(&text);
    parsed
        .map(Some)
        .ok_or_else(|| ApiError::field("Last-Event-ID", message))
}

/// Reads a body.
///
/// # Errors
///
/// [`ApiError`] when it is too large or broken off.
pub async fn raw_body(req: &mut Request) -> Result<bytes::Bytes, ApiError> {
    // Without a declared length the limit below still holds.
    let declared = req.header::<usize>("Content-Length").unwrap_or(0);
    let too_large = || {
        let message = format!("expected at most {MAX_BODY} bytes");
        let error = ApiError::not_run(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large", message);
        error.at("body")
    };
    if declared > MAX_BODY {
        discard(req).await;
        return Err(too_large());
    }
    match req.payload_with_max_size(MAX_BODY).await {
        Ok(bytes) => Ok(bytes.clone()),
        // A body that broke off is answered the same way; its caller is seldom there to read it.
        Err(_) => Err(too_large()),
    }
}

/// Reads on without keeping anything: a caller that is still sending when the connection is
/// closed never sees the error.
async fn discard(req: &mut Request) {
    let mut body = req.take_body();
    let mut read = 0;
    while let Some(Ok(chunk)) = body.next().await {
        read += chunk.into_data().map_or(0, |data| data.len());
        if read > DISCARD_MOST {
            return;
        }
    }
}
