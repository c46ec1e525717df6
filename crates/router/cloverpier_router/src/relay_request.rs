//! The state of a caller's request while this router relays it.
//!
//! [`RelayRequest`] is created by [`crate::intake`] and owns everything that attempts need, so that no attempt
//! reads from the caller's connection.

use crate::buffer_reservation::BufferReservation;
use crate::cancel_signal::CancelSignal;
use crate::wire_names::TokenCounts;
use bytes::Bytes;
use cloverpier_crashes::{ContentKey, RequestContent};
use cloverpier_router_policy::permit::max_permit_wait;
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::stream_version::lookup::UnknownOrigin;
use hyper::Method;
use hyper::header::HeaderMap;
use std::cell::OnceCell;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The stream that a request begins or resumes.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestedStream {
    /// Identifies the stream for this request and those that resume it; `None` if the caller gave its request no id, or
    /// resumes a stream without naming it.
    pub key: Option<StreamKey>,
    /// The id of the request in whose response the caller received the first event; `None` for a new stream, and if the
    /// caller does not name it.
    pub resumes: Option<Arc<str>>,
    /// How the stream began; `None` for a new one, and the reason if it could not be determined.
    pub origin: Option<Result<StreamOrigin, UnknownOrigin>>,
}

/// A caller's request with its body, the route and service that were picked for it, and its deadline.
#[derive(Debug)]
pub(crate) struct RelayRequest {
    /// The request id that the caller set; empty if the caller set none.
    pub id: String,
    /// The HTTP method.
    pub method: Method,
    /// The requested host in lower case, without a port; empty if the request has no host.
    pub host: String,
    /// Path and query, as received.
    pub target: String,
    /// The headers that upstreams receive with every attempt.
    pub headers: HeaderMap,
    /// The whole body, which is kept for retries.
    pub body: Bytes,
    /// The share of the router's buffer memory that the body takes.
    pub _reservation: BufferReservation,
    /// The route that matches the request's host and path.
    pub route: Arc<Route>,
    /// The service that was picked at random from the route's targets.
    pub service: Arc<ServiceConfig>,
    /// The client account of the caller's key. `None` if the configuration has no client accounts, or on a public
    /// route for a caller without a known key.
    pub account: Option<Arc<ClientAccount>>,
    /// The version of the configuration by which the request was routed.
    pub configuration_version: u64,
    /// When the head of the request was read.
    pub arrived: Instant,
    /// When the request's timeout ends: the shorter one of the route's and the caller's timeouts.
    pub deadline: Instant,
    /// The id of the last event that the caller has received of the stream that it resumes; `None` for a new
    /// stream.
    pub last_event: Option<u64>,
    /// The stream that the request begins or resumes.
    pub stream: RequestedStream,
    /// The tokens of prompt and response that the caller declared; 0 where it declared none.
    pub token_counts: TokenCounts,
    /// A hash of the part of the prompt that no other prompt contains; `None` if the caller declared no parts.
    pub prompt: Option<PromptKey>,
    /// The request's priority, 0 the highest.
    pub priority: u8,
    /// Cancels the attempts of this request once its content is blocked for crashing upstreams.
    pub cancel: CancelSignal,
    /// The cached result of [`Self::content_key`].
    pub content_key: OnceCell<ContentKey>,
}

impl RelayRequest {
    /// The time left until the deadline; zero once it has passed.
    pub fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// The load that the request adds to an upstream that runs it.
    pub fn load(&self) -> Load {
        Load {
            requests: 1,
            unread_tokens: self.token_counts.prompt_tokens,
            memory_tokens: self.token_counts.prompt_tokens + self.token_counts.max_response_tokens,
        }
    }

    /// The key that all retries of the request share, by which crashes of upstreams are attributed to its content.
    /// The key is computed on first use only, because that hashes the whole body.
    pub fn content_key(&self) -> ContentKey {
        let key = || ContentKey::of(&self.request_content());
        *self.content_key.get_or_init(key)
    }

    /// The properties that are the same in all retries of the request, also in those that the caller sends.
    pub fn request_content(&self) -> RequestContent<'_> {
        RequestContent {
            // The name is empty for a request without a client account.
            account: self.account.as_ref().map_or("", |account| &account.name),
            host: &self.host,
            method: self.method.as_str(),
            target: &self.target,
            body: &self.body,
        }
    }

    /// How long the request waits for a permit if all upstreams that could run it limit their request rate.
    pub fn max_permit_wait(&self, now: Instant) -> Duration {
        max_permit_wait(self.priority, self.route.objective, self.time_left(now))
    }

    /// The number of tokens that fit into the KV cache of an engine of the request's service; `None` if the
    /// service has no model engines.
    pub fn engine_memory(&self) -> Option<u64> {
        self.service.engine.map(|engine| engine.memory_tokens)
    }
}
