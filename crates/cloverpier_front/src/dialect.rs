//! The words that the front speaks on the wire, as data.

use hyper::header::HeaderName;
use std::net::SocketAddr;
use std::time::Duration;

/// Tokens of a request, as its caller declares them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PromptSize {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens of the answer.
    pub answer_tokens: u32,
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
    /// The name of the tenant that holds the key, for servers.
    pub tenant: HeaderName,
    /// The name of the server that is meant.
    pub expected_server: HeaderName,
    /// The name of the server that answered a health check.
    pub answering_server: HeaderName,
    /// Set by a server that did not run the request.
    pub not_run: HeaderName,
    /// The server's mark on its answers.
    pub signature: HeaderName,
    /// The rank of a request at a server.
    pub priority: HeaderName,
    /// The last event that the caller has.
    pub last_event: HeaderName,
    /// Tokens of prompt and answer.
    pub prompt_size: HeaderName,
    /// The parts of the prompt.
    pub prompt_parts: HeaderName,
    /// Where a run's memory is copied to as it grows.
    pub backup_at: HeaderName,
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
    /// Whether a model engine answers at all; asked of an engine.
    pub engine_report: &'static str,
    /// Which prompts an engine has read of late; asked of an engine.
    pub engine_cache: &'static str,
}

/// All words that differ between deployments.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// Names of headers.
    pub headers: HeaderNames,
    /// Paths of calls.
    pub paths: Paths,
    /// Writes the directory's answer: addresses, and how long they may be kept.
    pub directory_answer: fn(&[SocketAddr], Duration) -> Vec<u8>,
    /// Writes where a copy of a run's memory lies: the engine and the run's request id.
    pub copy_name: fn(SocketAddr, &str) -> String,
    /// Reads the tokens of a request.
    pub prompt_size: fn(&str) -> Option<PromptSize>,
    /// The name of the part of a prompt that no other prompt shares, from all its parts.
    pub own_part: fn(&str) -> Option<&str>,
    /// Reads an engine's answer on what it has cached: the names of parts of prompts.
    pub cached_parts: fn(&[u8]) -> Vec<String>,
}

impl Default for Dialect {
    /// The product's own words.
    fn default() -> Self {
        Self {
            headers: HeaderNames {
                request_id: HeaderName::from_static("cloverpier-request"),
                deadline_ms: HeaderName::from_static("cloverpier-deadline-ms"),
                key: HeaderName::from_static("cloverpier-key"),
                tenant: HeaderName::from_static("cloverpier-account"),
                expected_server: HeaderName::from_static("cloverpier-expect-upstream"),
                answering_server: HeaderName::from_static("cloverpier-upstream"),
                not_run: HeaderName::from_static("cloverpier-not-run"),
                signature: HeaderName::from_static("cloverpier-signature"),
                priority: HeaderName::from_static("cloverpier-priority"),
                last_event: HeaderName::from_static("last-event-id"),
                prompt_size: HeaderName::from_static("cloverpier-tokens"),
                prompt_parts: HeaderName::from_static("cloverpier-prompt"),
                backup_at: HeaderName::from_static("cloverpier-backup"),
                resume_from: HeaderName::from_static("cloverpier-resume"),
            },
            paths: Paths {
                ready: "/ready",
                directory: "/addresses",
                engine_report: "/report",
                engine_cache: "/cache",
            },
            directory_answer: own_directory_answer,
            copy_name: own_copy_name,
            prompt_size: own_prompt_size,
            own_part: own_last_part,
            cached_parts: own_cached_parts,
        }
    }
}

fn own_directory_answer(addresses: &[SocketAddr], keep: Duration) -> Vec<u8> {
    let answer = serde_json::json!({ "routers": addresses, "keep_s": keep.as_secs_f64() });
    answer.to_string().into_bytes()
}

fn own_copy_name(engine: SocketAddr, request: &str) -> String {
    format!("{engine}/{request}")
}

fn own_prompt_size(text: &str) -> Option<PromptSize> {
    let (prompt, answer) = text.split_once(',')?;
    Some(PromptSize {
        prompt_tokens: prompt.trim().parse().ok()?,
        answer_tokens: answer.trim().parse().ok()?,
    })
}

fn own_last_part(parts: &str) -> Option<&str> {
    parts.rsplit(',').next().map(str::trim)
}

fn own_cached_parts(body: &[u8]) -> Vec<String> {
    serde_json::from_slice(body).unwrap_or_default()
}
