//! What callers send, checked before anything is dispatched.

use crate::app::App;
use crate::error::ApiError;
use crate::members::Standing;
use cloverpier_answer::EventId;
use cloverpier_config::{Account, Config, Service, ServiceKind};
use cloverpier_core::{AccountName, ModelName, RequestKey, ServiceName, hash_of, jitter, lock};
use futures_util::StreamExt;
use salvo::http::StatusCode;
use salvo::prelude::*;
use serde_json::{Map, Value};
use std::sync::Arc;
use std::time::Duration;

/// The largest body of a caller, in bytes. Chosen, not measured.
const MAX_BODY: usize = 4 << 20;
/// What is read of a body that is too large, in bytes, before the connection is closed on it.
/// Chosen, not measured.
const DISCARD_MOST: usize = 64 << 20;
/// Characters of an idempotency key at most. Chosen, not measured.
const MAX_KEY: usize = 200;
/// Tokens of an answer where the caller does not say how many. Chosen, not measured.
const DEFAULT_TOKENS: u64 = 256;

/// When a caller comes back that has to use another router meanwhile, jittered.  Chosen, not
/// measured.
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
    if !app.has_learned() {
        let message = "this router has not learned the configuration yet; use another address";
        return Err(ApiError::busy("starting", message, wait));
    }
    match lock(&app.cluster).standing(app.now()) {
        Standing::Good => Ok(()),
        Standing::Alone => {
            let message = "this router is cut off; use another address";
            Err(ApiError::busy("cut_off", message, wait))
        }
    }
}

/// Finds the account whose key a caller presents.
///
/// The key has the form `account.secret`, so that one digest is compared, in
/// constant time, however many accounts there are.
///
/// # Errors
///
/// [`ApiError`] when there is no such account or the key is wrong.
pub fn caller(app: &App, req: &Request) -> Result<Caller, ApiError> {
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

/// A completion request after its checks.
#[derive(Clone, Debug)]
pub struct Completion {
    /// The service's name.
    pub service: ServiceName,
    /// The service.
    pub config: Service,
    /// The model that its engines load.
    pub model: ModelName,
    /// The prompt.
    pub prompt: Arc<str>,
    /// The most tokens.
    pub max_tokens: u32,
    /// The priority.
    pub priority: u8,
    /// The adapter.
    pub adapter: Option<cloverpier_core::AdapterName>,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Digest of the body.
    pub body: u64,
}

/// Reads and checks a completion request.
///
/// # Errors
///
/// [`ApiError`] that names the first field that can't stand.
pub fn completion(caller: &Caller, body: &[u8], chat: bool) -> Result<Completion, ApiError> {
    let fields: Map<String, Value> = serde_json::from_slice(body).map_err(|e| {
        let message = format!("expected a JSON object: {e}");
        let error = ApiError::not_run(StatusCode::BAD_REQUEST, "invalid_json", message);
        error.at("body")
    })?;
    let name = text(&fields, "model")?;
    let (service, config) = caller.service(&name, "model")?;
    let ServiceKind::Model { model } = config.kind.clone() else {
        return Err(ApiError::field("model", "expected a model service"));
    };
    let prompt = if chat {
        chat_prompt(&fields)?
    } else {
        text(&fields, "prompt")?
    };
    let most = u64::from(config.max_tokens);
    let asked = number(&fields, "max_tokens", 1, most)?;
    let priority = number(
        &fields,
        "priority",
        0,
        u64::from(caller.account.max_priority),
    )?;
    let digest = hash_of(&format!("{chat}{}", String::from_utf8_lossy(body)));
    Ok(Completion {
        adapter: adapter(caller, &fields)?,
        stream: flag(&fields, "stream")?,
        max_tokens: u32::try_from(asked.unwrap_or(DEFAULT_TOKENS.min(most))).unwrap_or(1),
        priority: u8::try_from(priority.unwrap_or(0)).unwrap_or(0),
        prompt: Arc::from(prompt),
        body: digest,
        service,
        config,
        model,
    })
}

fn text(fields: &Map<String, Value>, name: &str) -> Result<String, ApiError> {
    let found = fields.get(name).and_then(Value::as_str);
    match found {
        Some(text) if !text.is_empty() => Ok(text.to_owned()),
        _ => Err(ApiError::field(name, "expected a text that is not empty")),
    }
}

fn number(
    fields: &Map<String, Value>,
    name: &str,
    low: u64,
    high: u64,
) -> Result<Option<u64>, ApiError> {
    match fields.get(name) {
        None | Some(Value::Null) => Ok(None),
        Some(value) => {
            let found = value.as_u64().filter(|n| (low..=high).contains(n));
            let message = format!("expected a whole number from {low} to {high}");
            found
                .map(Some)
                .ok_or_else(|| ApiError::field(name, message))
        }
    }
}

fn flag(fields: &Map<String, Value>, name: &str) -> Result<bool, ApiError> {
    match fields.get(name) {
        None | Some(Value::Null) => Ok(false),
        Some(value) => value
            .as_bool()
            .ok_or_else(|| ApiError::field(name, "expected true or false")),
    }
}

fn adapter(
    caller: &Caller,
    fields: &Map<String, Value>,
) -> Result<Option<cloverpier_core::AdapterName>, ApiError> {
    if matches!(fields.get("adapter"), None | Some(Value::Null)) {
        return Ok(None);
    }
    let name = cloverpier_core::AdapterName::new(text(fields, "adapter")?);
    if caller.account.adapters.contains(&name) {
        return Ok(Some(name));
    }
    let message = format!("account {} may not use adapter {name}", caller.name);
    let error = ApiError::not_run(StatusCode::FORBIDDEN, "adapter_not_allowed", message);
    Err(error.at("adapter"))
}

fn chat_prompt(fields: &Map<String, Value>) -> Result<String, ApiError> {
    let expected = "expected a list of messages, each with the texts role and content";
    let wrong = || ApiError::field("messages", expected);
    let messages = fields.get("messages").and_then(Value::as_array);
    let messages = messages.filter(|m| !m.is_empty()).ok_or_else(wrong)?;
    let mut lines = Vec::with_capacity(messages.len());
    for message in messages {
        let role = message.get("role").and_then(Value::as_str);
        let content = message.get("content").and_then(Value::as_str);
        let (role, content) = role.zip(content).ok_or_else(wrong)?;
        lines.push(format!("{role}: {content}"));
    }
    Ok(lines.join("\n"))
}
