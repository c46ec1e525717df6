//! The state of a generated response whose events arrive over one connection or several.
//!
//! Owns the tokens received so far and their digest. Tokens are taken in the order of their arrival;
//! a repeated or missing one shows in the digest, which is compared with the router's at the end.

use crate::caller::{CallError, GenerateRequest, GeneratedResponse, ReceivedToken};
use crate::events::Event;
use cloverpier_core::TokenDigest;
use reqwest::StatusCode;
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

/// The received part of a generated response, and what is necessary to request the rest.
#[derive(Debug)]
pub(crate) struct Progress {
    /// The idempotency key; empty until the router's response has the key that it assigned.
    pub(crate) key: String,
    pub(crate) tokens: Vec<ReceivedToken>,
    /// The id of the last token's event; `None` before the first token.
    pub(crate) last_event_id: Option<String>,
    digest: TokenDigest,
    is_verified: bool,
    repeated: u64,
    /// Number of connections attempted for this response.
    pub(crate) connections: u32,
}

/// The effect of an event on the generated response.
pub(crate) enum EventOutcome {
    /// A token was added.
    Token,
    /// The event has no token; it may contain the router's count and digest.
    Ignored,
    /// The response is complete.
    Done,
    /// The router ended the stream with an error; `None` if the rest can be requested again.
    Failed(Option<CallError>),
}

impl Progress {
    pub(crate) fn new(request: &GenerateRequest) -> Self {
        Self {
            key: request.key.clone(),
            tokens: Vec::new(),
            last_event_id: None,
            digest: TokenDigest::EMPTY,
            is_verified: false,
            repeated: 0,
            connections: 0,
        }
    }

    pub(crate) fn into_response(self) -> GeneratedResponse {
        GeneratedResponse {
            tokens: self.tokens,
            is_verified: self.is_verified,
            repeated: self.repeated,
            connections: self.connections,
        }
    }

    pub(crate) fn on_event(
        &mut self,
        event: &Event,
        from: SocketAddr,
        now: Instant,
    ) -> EventOutcome {
        if event.data == "[DONE]" {
            return EventOutcome::Done;
        }
        // Invalid JSON is treated as an object without fields. If the event has a token, the token is
        // empty, and the digest of the whole response shows the error.
        let data: Value = serde_json::from_str(&event.data).unwrap_or_default();
        if event.kind.as_deref() == Some("error") {
            return self.on_error(&data);
        }
        if let Some(id) = &event.id {
            return self.on_token(id, &data, from, now);
        }
        let summary = &data["cloverpier"];
        if summary.is_object() {
            let count = summary["tokens"].as_u64() == Some(self.tokens.len() as u64);
            let digest = summary["digest"].as_str() == Some(&self.digest.to_string());
            self.is_verified = count && digest;
        }
        EventOutcome::Ignored
    }

    fn on_token(&mut self, id: &str, data: &Value, from: SocketAddr, now: Instant) -> EventOutcome {
        let text = data["choices"][0]["text"].as_str().unwrap_or_default();
        let number = id.split('.').next().and_then(|n| n.parse::<u64>().ok());
        if number.is_some_and(|n| n <= self.tokens.len() as u64) {
            self.repeated += 1;
        }
        self.digest = self.digest.push(text);
        self.tokens.push(ReceivedToken {
            text: Arc::from(text),
            at: now,
            from,
        });
        self.last_event_id = Some(id.to_owned());
        EventOutcome::Token
    }

    fn on_error(&self, data: &Value) -> EventOutcome {
        let error = &data["error"];
        if error["code"] == "moved" || error["retry_after_ms"].is_u64() {
            return EventOutcome::Failed(None);
        }
        EventOutcome::Failed(Some(CallError::Refused {
            status: StatusCode::OK.as_u16(),
            run: error["run"].as_str().unwrap_or_default().to_owned(),
            body: data.to_string(),
        }))
    }
}
