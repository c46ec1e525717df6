//! HTTP calls to plain services.
//!
//! An error distinguishes whether bytes of the request may have reached the service. The caller
//! passes in an HTTP client that doesn't reuse connections: if the service closes an idle connection
//! while a request is being sent, it is uncertain whether the request arrived.

use crate::head::{HeadError, check_head};
use crate::statement::UpstreamStatement;
use bytes::Bytes;
use cloverpier_body::{BodyError, read_body};
use reqwest::{Client, Method};
use snafu::{ResultExt, Snafu};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Maximum length of a plain service's response in bytes: the whole response is in memory.
const MAX_PLAIN_BYTES: usize = 32 << 20;

/// A call as the router forwards it to the service.
#[derive(Clone, Debug)]
pub struct PlainCall {
    /// The method of the caller's request.
    pub method: Method,
    /// Path and query, with the leading slash.
    pub path: String,
    /// The `Content-Type` of the body; `None` if the caller sent none.
    pub content_type: Option<String>,
    /// The idempotency key of the request, sent in the `Idempotency-Key` header.
    pub key: String,
    /// The body of the caller's request.
    pub body: Bytes,
    /// Timeout of the whole call, from connecting to the end of the response.
    pub timeout: Duration,
}

/// A plain service's response.
#[derive(Clone, Debug)]
pub struct PlainResponse {
    /// The HTTP status.
    pub status: u16,
    /// The `Content-Type` of the body; `None` if the header is absent or not ASCII text.
    pub content_type: Option<Arc<str>>,
    /// The whole body.
    pub body: Bytes,
    /// The announcements in the response's headers; empty if the response is a stored one.
    pub statement: UpstreamStatement,
}

/// The reason why a call has no response.
#[derive(Debug, Snafu)]
pub enum PlainError {
    /// No connection to the server was established: the call was not executed.
    #[snafu(display("no connection to the server: {source}"))]
    NotReached {
        /// The error of the HTTP client.
        source: reqwest::Error,
    },
    /// The connection broke, or the timeout passed, before the response was complete: the call may
    /// have been executed.
    #[snafu(display("no complete response from the server: {source}"))]
    NoResponse {
        /// The error of the HTTP client.
        source: reqwest::Error,
    },
    /// The response has a head that no response may have: the call may have been executed.
    #[snafu(display("no valid response from the server: {source}"))]
    InvalidHead {
        /// What is wrong.
        source: HeadError,
    },
    /// The response is longer than the router holds: the call may have been executed.
    #[snafu(display("the response from the server is longer than {limit} bytes"))]
    TooLong {
        /// The maximum length in bytes.
        limit: usize,
    },
}

impl PlainError {
    /// Whether the server may have crashed while it executed the call: an established connection
    /// broke before the timeout.
    pub fn may_be_crash(&self) -> bool {
        matches!(self, Self::NoResponse { source } if !source.is_timeout())
    }
}

/// Forwards a call to the server at `address` and returns its response, whatever the status.
///
/// `http` must not reuse connections (see the module).
///
/// # Errors
///
/// [`PlainError::NotReached`] is the only error that proves that the call was not executed.
pub async fn call_plain(
    http: &Client,
    address: SocketAddr,
    call: &PlainCall,
) -> Result<PlainResponse, PlainError> {
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
            PlainError::NotReached { source }
        } else {
            PlainError::NoResponse { source }
        }
    })?;
    check_head(&res).context(InvalidHeadSnafu)?;
    let status = res.status().as_u16();
    let statement = UpstreamStatement::from_response(&res);
    let kind = res.headers().get("Content-Type");
    // A content type that is not ASCII text is omitted from the response.
    let content_type = kind.and_then(|v| v.to_str().ok()).map(Arc::from);
    let body = read_body(res, MAX_PLAIN_BYTES).await;
    let body = body.map_err(|error| match error {
        BodyError::Broken { source } => PlainError::NoResponse { source },
        BodyError::TooLong { limit } => PlainError::TooLong { limit },
    })?;
    Ok(PlainResponse {
        status,
        content_type,
        body,
        statement,
    })
}
