//! The names and formats on the wire that differ between platforms.
//!
//! The platform's adapter provides them as [`WireNames`]; the router refers to them only by their meaning. Owns no
//! state.

use cloverpier_router_policy::load_query::EngineReport;
use cloverpier_router_policy::prelude::UpstreamStatement;
use hyper::StatusCode;
use hyper::header::{HeaderMap, HeaderName};
use std::net::SocketAddr;
use std::time::Duration;

/// The token counts that a caller declares for a request to a model engine; 0 if the caller declares none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenCounts {
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Maximum number of tokens in the response.
    pub max_response_tokens: u32,
}

/// The parts of an upstream's response that can contain statements of the upstream about itself.
#[derive(Clone, Copy, Debug)]
pub struct ResponseParts<'a> {
    /// The HTTP status.
    pub status: StatusCode,
    /// All headers of the response.
    pub headers: &'a HeaderMap,
    /// The whole body of a response to a probe, check or query, which describes the upstream. `None` for the response
    /// to a caller's request.
    pub body: Option<&'a [u8]>,
}

/// The names of headers. A name is the same in callers' requests and in requests to upstreams.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// The id that a caller gives a request. Upstreams repeat the id in their responses.
    pub request_id: HeaderName,
    /// The milliseconds that are left until the request's deadline.
    pub deadline_ms: HeaderName,
    /// The API key that identifies the client account of a caller.
    pub key: HeaderName,
    /// The name of the client account to which the key belongs. The router sets this header in requests to upstreams.
    pub account: HeaderName,
    /// The name of the upstream to which a request is sent. Another process at the address rejects the request.
    pub expected_upstream: HeaderName,
    /// The name of the upstream that sent a response: a response to a probe or check, or the rejection of a request
    /// for another upstream.
    pub responding_upstream: HeaderName,
    /// Set in all responses of an upstream that announces that it is leaving.
    pub leaving: HeaderName,
    /// The number of requests per second that an upstream accepts from all routers together. Only upstreams that limit
    /// their request rate set this header.
    pub rate_limit: HeaderName,
    /// Set in all responses of an upstream that crashes if it has to refuse more requests within a second for lack of
    /// room than the value says.
    pub max_refusals: HeaderName,
    /// The load of the upstream, in responses of some upstreams: requests that run, requests that wait, slots, and how long
    /// work takes there.
    pub load: HeaderName,
    /// Set in the response of an upstream that did not run the request.
    pub not_run: HeaderName,
    /// The signature by which upstreams mark their responses. The router checks only that a successful response has
    /// one.
    pub signature: HeaderName,
    /// The priority of a request at an engine, 0 the highest.
    pub priority: HeaderName,
    /// The id of the last event of a stream that the caller has received.
    pub last_event: HeaderName,
    /// The id of the request in whose response the caller received the first event of the stream that it resumes.
    pub resumed_request: HeaderName,
    /// The number of tokens in the prompt, and the maximum number of tokens in the response.
    pub token_counts: HeaderName,
    /// The names of all parts of the prompt.
    pub prompt_parts: HeaderName,
    /// The address of the engine to which the KV cache of a stream is replicated while it grows.
    pub replica_at: HeaderName,
    /// The id of the KV cache replica from which a stream is resumed.
    pub resume_from: HeaderName,
}

/// The paths of HTTP requests about routers and engines, as opposed to callers' requests to services.
#[derive(Clone, Debug)]
pub struct Paths {
    /// Served by this router: whether the router accepts callers' requests.
    pub ready: &'static str,
    /// Served by this router: the addresses of the routers that accept callers' requests.
    pub directory: &'static str,
    /// Served by model engines: the engine's load. Probes request this path, too.
    pub engine_report: &'static str,
    /// Served by model engines: the prompts in the engine's cache. The path may have a query string.
    pub engine_cache: &'static str,
}

/// The names and formats on the wire that differ between platforms.
#[derive(Clone, Debug)]
pub struct WireNames {
    /// The names of headers.
    pub headers: HeaderNames,
    /// Headers that only routers and upstreams may set. The router removes them from callers' requests, as an upstream
    /// would act on them, for example reserve memory or fetch the KV cache of another request.
    pub not_forwarded: Vec<HeaderName>,
    /// The paths of HTTP requests about routers and engines.
    pub paths: Paths,
    /// Encodes the response to a directory request, from addresses and the time for which callers may keep them.
    pub directory_response: fn(&[SocketAddr], Duration) -> Vec<u8>,
    /// Formats the id of a KV cache replica, from the address of the engine that has the replica and the request id.
    pub replica_id: fn(SocketAddr, &str) -> String,
    /// Parses the header of token counts; `None` if the header is malformed.
    pub token_counts: fn(&str) -> Option<TokenCounts>,
    /// Extracts, from the header of prompt parts, the name of the part that no other prompt contains.
    pub unique_part: fn(&str) -> Option<&str>,
    /// Decodes what a response states about the upstream that sent it.
    pub statement: fn(&ResponseParts<'_>) -> UpstreamStatement,
    /// Decodes an engine's response to a load query; `None` if the body has another format.
    pub engine_load: fn(&[u8]) -> Option<EngineReport>,
    /// Decodes an engine's response to a cache query into the names of the prompt parts in its cache; empty if the body
    /// has another format.
    pub cached_prompt_parts: fn(&[u8]) -> Vec<String>,
}
