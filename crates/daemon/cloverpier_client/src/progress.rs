//! An answer as its events arrive, over one connection or several.
//!
//! Owns the tokens so far, their count and digest; an event is taken only where its id follows on
//! them.

use crate::caller::{Answer, CallError, Generate, Got};
use crate::events::Event;
use cloverpier_core::TokenDigest;
use reqwest::StatusCode;
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

/// An answer on its way.
#[derive(Debug)]
pub(crate) struct Progress {
    pub(crate) key: String,
    pub(crate) tokens: Vec<Got>,
    pub(crate) last: Option<String>,
    chain: TokenDigest,
    proved: bool,
    repeated: u64,
    pub(crate) connections: u32,
}

/// What an event contains.
pub(crate) enum Step {
    Token,
    Nothing,
    Done,
    Failed(Option<CallError>),
}

impl Progress {
    pub(crate) fn new(ask: &Generate) -> Self {
        Self {
            key: ask.key.clone(),
            tokens: Vec::new(),
            last: None,
            chain: TokenDigest::EMPTY,
            proved: false,
            repeated: 0,
            connections: 0,
        }
    }

    pub(crate) fn answer(self) -> Answer {
        Answer {
            tokens: self.tokens,
            proved: self.proved,
            repeated: self.repeated,
            connections: self.connections,
        }
    }

    pub(crate) fn take(&mut self, event: &Event, from: SocketAddr, now: Instant) -> Step {
        if event.data == "[DONE]" {
            return Step::Done;
        }
        // Data that is no JSON counts as having no fields; as a token it is an empty one, and the
        // digest of the whole answer shows that something is missing.
        let data: Value = serde_json::from_str(&event.data).unwrap_or_default();
        if event.kind.as_deref() == Some("error") {
            return self.failed(&data);
        }
        if let Some(id) = &event.id {
            return self.token(id, &data, from, now);
        }
        let told = &data["cloverpier"];
        if told.is_object() {
            let count = told["tokens"].as_u64() == Some(self.tokens.len() as u64);
            let digest = told["digest"].as_str() == Some(&self.chain.to_string());
            self.proved = count && digest;
        }
        Step::Nothing
    }

    fn token(&mut self, id: &str, data: &Value, from: SocketAddr, now: Instant) -> Step {
        let text = data["choices"][0]["text"].as_str().unwrap_or_default();
        let number = id.split('.').next().and_then(|n| n.parse::<u64>().ok());
        if number.is_some_and(|n| n <= self.tokens.len() as u64) {
            self.repeated += 1;
        }
        self.chain = self.chain.push(text);
        self.tokens.push(Got {
            text: Arc::from(text),
            at: now,
            from,
        });
        self.last = Some(id.to_owned());
        Step::Token
    }

    fn failed(&self, data: &Value) -> Step {
        let error = &data["error"];
        if error["code"] == "moved" || error["retry_after_ms"].is_u64() {
            return Step::Failed(None);
        }
        Step::Failed(Some(CallError::Refused {
            status: StatusCode::OK.as_u16(),
            run: error["run"].as_str().unwrap_or_default().to_owned(),
            body: data.to_string(),
        }))
    }
}
