//! A caller's request as it is relayed. [`crate::intake`] reads it off the wire. Owns all that the
//! attempts need, so that none of them touches the caller's connection again.

use crate::buffer_reservation::BufferReservation;
use crate::cancel_signal::CancelSignal;
use crate::wire_names::PromptSize;
use bytes::Bytes;
use cloverpier_crashes::{ContentKey, RequestContent};
use cloverpier_router_policy::permit::patience;
use cloverpier_router_policy::prelude::*;
use hyper::Method;
use hyper::header::HeaderMap;
use std::cell::OnceCell;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A caller's request, whole.
#[derive(Debug)]
pub(crate) struct RelayRequest {
    /// Its id, by the caller; empty where the caller gave none.
    pub id: String,
    /// Its method.
    pub method: Method,
    /// The host that it names, without a port.
    pub host: String,
    /// Path and query, as received.
    pub target: String,
    /// The headers that travel to upstreams with every attempt.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// What the body takes of the router's memory.
    pub _held: BufferReservation,
    /// The route that took it.
    pub route: Arc<Route>,
    /// The service picked for it.
    pub service: Arc<ServiceConfig>,
    /// The client account that it runs under; `None` on public routes.
    pub account: Option<Arc<ClientAccount>>,
    /// The version of the configuration that it was routed by.
    pub configuration_version: u64,
    /// When its head was read.
    pub arrived: Instant,
    /// When its time is over.
    pub deadline: Instant,
    /// The last event that the caller has, of a stream that it continues.
    pub last_event: Option<u64>,
    /// Its tokens, as the caller declared them.
    pub size: PromptSize,
    /// A hash of the part of its prompt that no other prompt shares.
    pub prompt: Option<PromptKey>,
    /// Its rank, 0 the highest.
    pub priority: u8,
    /// Calls its attempts back when its content is stopped.
    pub stop: CancelSignal,
    /// What its repeats have in common with it, once that was asked for.
    pub content_key: OnceCell<ContentKey>,
}

impl RelayRequest {
    /// What is left of its time.
    pub fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// The load that it adds to an upstream.
    pub fn load(&self) -> Load {
        Load {
            requests: 1,
            unread_tokens: self.size.prompt_tokens,
            memory_tokens: self.size.prompt_tokens + self.size.max_response_tokens,
        }
    }

    /// What its repeats have in common with it; a digest of the body, so only where it is needed.
    pub fn content_key(&self) -> ContentKey {
        let key = || ContentKey::of(&self.request_content());
        *self.content_key.get_or_init(key)
    }

    /// All that its repeats have in common with it.
    pub fn request_content(&self) -> RequestContent<'_> {
        RequestContent {
            // A request without an account has nobody's name.
            account: self.account.as_ref().map_or("", |account| &account.name),
            host: &self.host,
            method: self.method.as_str(),
            target: &self.target,
            body: &self.body,
        }
    }

    /// How long it waits for a permit where every upstream that could take it limits itself.
    pub fn patience(&self, now: Instant) -> Duration {
        patience(self.priority, self.route.objective, self.time_left(now))
    }

    /// Tokens that fit into the KV cache of an engine of its service; `None` for a plain
    /// service.
    pub fn engine_memory(&self) -> Option<u64> {
        self.service.engine.map(|engine| engine.memory_tokens)
    }
}
