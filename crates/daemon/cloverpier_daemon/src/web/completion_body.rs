//! The body of a completion request, checked field by field before anything is dispatched.
//!
//! An error names the first field that cannot stand, and nothing was run then.

use crate::error::ApiError;
use crate::web::request::Caller;
use cloverpier_config::{Service, ServiceKind};
use cloverpier_core::{AdapterName, ModelName, ServiceName, hash_of};
use salvo::http::StatusCode;
use serde_json::{Map, Value};
use std::sync::Arc;

/// Tokens of an answer where the caller does not say how many.
const DEFAULT_TOKENS: u64 = 256;

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
    pub adapter: Option<AdapterName>,
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
        // Both were checked against their bounds above.
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

fn adapter(caller: &Caller, fields: &Map<String, Value>) -> Result<Option<AdapterName>, ApiError> {
    if matches!(fields.get("adapter"), None | Some(Value::Null)) {
        return Ok(None);
    }
    let name = AdapterName::new(text(fields, "adapter")?);
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
