//! Names and formats on the wire that differ between deployments, as data.
//!
//! Filled by the adapter of a platform; the router knows each by its meaning alone.

use cloverpier_router_policy::load_query::EngineReport;
use cloverpier_router_policy::prelude::UpstreamStatement;
use hyper::StatusCode;
use hyper::header::{HeaderMap, HeaderName};
use std::net::SocketAddr;
use std::time::Duration;

/// Tokens of a request, as its caller declares them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenCounts {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the answer at most.
    pub max_response_tokens: u32,
}

/// An upstream's answer, as far as it has arrived.
#[derive(Clone, Copy, Debug)]
pub struct ResponseParts<'a> {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: &'a HeaderMap,
    /// Its body, where that is whole and speaks of the upstream: the answer to a question.
    pub body: Option<&'a [u8]>,
}

/// Names of headers, each by its meaning.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// The id of one request of a caller; also on answers.
    pub request_id: HeaderName,
    /// Milliseconds that are left for the request.
    pub deadline_ms: HeaderName,
    /// The caller's key.
    pub key: HeaderName,
    /// The name of the client account that holds the key, for upstreams.
    pub account: HeaderName,
    /// The name of the upstream that is meant.
    pub expected_upstream: HeaderName,
    /// The name of the upstream that answered a health check.
    pub responding_upstream: HeaderName,
    /// Set in all answers of an upstream that leaves.
    pub leaving: HeaderName,
    /// Names how many requests a second an upstream in need takes from all routers together.
    pub limit: HeaderName,
    /// Set by an upstream that did not run the request.
    pub not_run: HeaderName,
    /// The upstream's mark on its answers.
    pub signature: HeaderName,
    /// The rank of a request at an upstream.
    pub priority: HeaderName,
    /// The last event that the caller has.
    pub last_event: HeaderName,
    /// Tokens of prompt and answer.
    pub token_counts: HeaderName,
    /// The parts of the prompt.
    pub prompt_parts: HeaderName,
    /// Where a run's memory is copied to as it grows.
    pub replica_at: HeaderName,
    /// Where the copy of a run's memory lies.
    pub resume_from: HeaderName,
}

/// Paths of calls.
#[derive(Clone, Debug)]
pub struct Paths {
    /// Whether this router takes callers; asked of this router.
    pub ready: &'static str,
    /// Which routers take callers; asked of this router.
    pub directory: &'static str,
    /// How busy a model engine is, and whether it answers at all; asked of an engine.
    pub engine_report: &'static str,
    /// Which prompts an engine has read recently; asked of an engine.
    pub engine_cache: &'static str,
}

/// Everything on the wire that differs between deployments.
#[derive(Clone, Debug)]
pub struct WireNames {
    /// Names of headers.
    pub headers: HeaderNames,
    /// Headers that only routers and upstreams set. What a caller wrote there does not reach an
    /// upstream, which would act on it: reserve memory, fetch another run's KV cache.
    pub not_forwarded: Vec<HeaderName>,
    /// Paths of calls.
    pub paths: Paths,
    /// Writes the directory's answer: addresses, and how long they may be kept.
    pub directory_response: fn(&[SocketAddr], Duration) -> Vec<u8>,
    /// Names a replica of a run's KV cache, by its engine and the run's request id.
    pub replica_id: fn(SocketAddr, &str) -> String,
    /// Reads the tokens of a request.
    pub token_counts: fn(&str) -> Option<TokenCounts>,
    /// The name of the part of a prompt that no other prompt shares, from all its parts.
    pub unique_part: fn(&str) -> Option<&str>,
    /// Reads what an upstream's answer says of the upstream.
    pub statement: fn(&ResponseParts<'_>) -> UpstreamStatement,
    /// Reads an engine's answer on its load; nothing where it is not such an answer.
    pub engine_load: fn(&[u8]) -> Option<EngineReport>,
    /// Reads an engine's answer on what it has cached: the names of parts of prompts.
    pub cached_prompt_parts: fn(&[u8]) -> Vec<String>,
}
