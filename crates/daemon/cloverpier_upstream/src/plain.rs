//! Calls to a plain service.
//!
//! A failure says whether a byte can have reached the service. No connection is kept, as one that
//! closes while a call is sent leaves that open.

use crate::statement::UpstreamStatement;
use bytes::Bytes;
use reqwest::{Client, Method};
use snafu::Snafu;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// A call as it is passed on.
#[derive(Clone, Debug)]
pub struct PlainCall {
    /// The method.
    pub method: Method,
    /// Path and query, with the leading slash.
    pub path: String,
    /// The content type of the body.
    pub content_type: Option<String>,
    /// The request's key, passed on as `Idempotency-Key`.
    pub key: String,
    /// The body.
    pub body: Bytes,
    /// The longest wait for an answer.
    pub timeout: Duration,
}

/// A plain service's answer.
#[derive(Clone, Debug)]
pub struct PlainAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: Option<Arc<str>>,
    /// The body.
    pub body: Bytes,
    /// What the server says of itself; nothing where the answer is one that was kept.
    pub said: UpstreamStatement,
}

/// Why a call has no answer.
#[derive(Debug, Snafu)]
pub enum PlainError {
    /// The server was never reached: the call did not run.
    #[snafu(display("no connection: {source}"))]
    NeverSent {
        /// What the call ran into.
        source: reqwest::Error,
    },
    /// The connection broke or no answer came in time: the call may have run.
    #[snafu(display("no answer: {source}"))]
    NoReply {
        /// What the call ran into.
        source: reqwest::Error,
    },
}

impl PlainError {
    /// Whether the server may have ended while it had the call: the connection broke before the time
    /// was over.
    pub fn may_be_end_of_upstream(&self) -> bool {
        matches!(self, Self::NoReply { source } if !source.is_timeout())
    }
}

/// Passes a call on.
///
/// # Errors
///
/// [`PlainError`] says whether the call certainly did not run: only a
/// connection that was never made proves it.
pub async fn call_plain(
    http: &Client,
    address: SocketAddr,
    call: &PlainCall,
) -> Result<PlainAnswer, PlainError> {
    let url = format!("http://{address}{}", call.path);
    let mut req = http
        .request(call.method.clone(), url)
        .timeout(call.timeout)
        .header("Idempotency-Key", &call.key)
        .body(call.body.clone());
    if let Some(kind) = &call.content_type {
        req = req.header("Content-Type", kind);
    }
    let res = req.send().await.map_err(|source| {
        if source.is_connect() {
            PlainError::NeverSent { source }
        } else {
            PlainError::NoReply { source }
        }
    })?;
    let status = res.status().as_u16();
    let said = UpstreamStatement::of(&res);
    let kind = res.headers().get("Content-Type");
    // A type that is no text is left out of the answer.
    let content_type = kind.and_then(|v| v.to_str().ok()).map(Arc::from);
    let body = res
        .bytes()
        .await
        .map_err(|source| PlainError::NoReply { source })?;
    Ok(PlainAnswer {
        status,
        content_type,
        body,
        said,
    })
}
