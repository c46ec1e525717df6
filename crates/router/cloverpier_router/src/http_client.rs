//! Calls to one address: probes, searches, the store, peers; simple ones and large answers.
//!
//! Owns at most one kept connection, used again while it is whole. Callers that need to know
//! whether a byte was written use [`crate::connection`] itself.

use crate::connection::{BufferedRequest, Connection, describe_error};
use crate::wire_names::ResponseParts;
use bytes::{Bytes, BytesMut};
use cloverpier_timers::{Elapsed, Timers};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HOST, HeaderMap, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Request, Response, StatusCode};
use snafu::Snafu;
use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// A call got no answer.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// No connection came up.
    #[snafu(display("can't connect: {source}"))]
    Connect {
        /// What the system reports; [`io::ErrorKind::TimedOut`] when nothing came.
        source: io::Error,
    },
    /// The connection broke before the answer was whole.
    #[snafu(display("connection broke: {reason}"))]
    Broken {
        /// What the connection reports.
        reason: String,
    },
    /// No answer came in time.
    #[snafu(display("no answer in time"))]
    TimedOut,
    /// The caller gave the call up before an answer began.
    #[snafu(display("given up"))]
    GivenUp,
}

impl CallError {
    /// Whether the other side's host has no process at the address. A host or a network that cannot be
    /// reached, or a connection that is reset as it comes up, says nothing of the process.
    pub fn is_refused(&self) -> bool {
        self.connect_error() == Some(io::ErrorKind::ConnectionRefused)
    }

    /// Whether a connection was there, if only for a moment, and broke.
    pub fn is_break(&self) -> bool {
        let is_reset = self.connect_error() == Some(io::ErrorKind::ConnectionReset);
        is_reset || matches!(self, Self::Broken { .. })
    }

    fn connect_error(&self) -> Option<io::ErrorKind> {
        match self {
            Self::Connect { source } => Some(source.kind()),
            _ => None,
        }
    }
}

/// A whole answer to a simple call.
#[derive(Debug)]
pub struct HttpResponse {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

impl HttpResponse {
    /// What of it may speak of its sender.
    pub fn parts(&self) -> ResponseParts<'_> {
        ResponseParts {
            status: self.status,
            headers: &self.headers,
            body: Some(&self.body),
        }
    }
}

/// Bounds on the answer to a call for something large.
#[derive(Clone, Copy, Debug)]
pub struct DownloadTimeouts {
    /// From the call to the head of its answer, a new connection included.
    pub head: Duration,
    /// From the head, or a piece of the body, to the next one.
    pub stall: Duration,
}

/// Calls one address, over one kept connection.
#[derive(Debug)]
pub struct HttpClient {
    address: SocketAddr,
    connect_timeout: Duration,
    timers: Timers,
    kept: RefCell<Option<Connection>>,
}

impl HttpClient {
    /// A client without a connection yet.
    pub fn new(address: SocketAddr, connect_timeout: Duration, timers: Timers) -> Self {
        Self {
            address,
            connect_timeout,
            timers,
            kept: RefCell::new(None),
        }
    }

    /// Gets a path, the whole answer within `timeout`.
    ///
    /// # Errors
    ///
    /// [`CallError`]; the connection is given up then.
    pub async fn get(&self, path: &str, timeout: Duration) -> Result<HttpResponse, CallError> {
        let whole = self.within(timeout, self.get_unbounded(path)).await;
        whole.unwrap_or(Err(CallError::TimedOut))
    }

    /// Gets something large: its head within `bounds.head`, and then each next piece within
    /// `bounds.stall`; the whole may take as long as pieces arrive.  The call ends when
    /// `given_up` completes before the head.
    ///
    /// # Errors
    ///
    /// [`CallError`]; the connection is given up then.
    pub async fn download(
        &self,
        path: &str,
        headers: HeaderMap,
        bounds: DownloadTimeouts,
        given_up: impl Future<Output = ()>,
    ) -> Result<HttpResponse, CallError> {
        let mut request = get_request(path, self.address)?;
        request.headers_mut().extend(headers);
        let (connection, response) = tokio::select! {
            sent = self.within(bounds.head, self.send(request)) => sent??,
            () = given_up => return Err(CallError::GivenUp),
        };
        let (head, mut body) = response.into_parts();
        let mut whole = BytesMut::new();
        while let Some(frame) = self.within(bounds.stall, body.frame()).await? {
            let frame = frame.map_err(|e| broken(&e))?;
            // Trailers say nothing that a caller needs.
            if let Ok(piece) = frame.into_data() {
                whole.extend_from_slice(&piece);
            }
        }
        Ok(self.finish(connection, head, whole.freeze()))
    }

    /// Puts a body of JSON at a path, the whole answer within `timeout`.
    ///
    /// # Errors
    ///
    /// [`CallError`]; what was put may be there all the same, or come to be there later.
    pub async fn put(
        &self,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<HttpResponse, CallError> {
        let request = Request::put(path)
            .header(HOST, self.address.to_string())
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|e| broken(&e))?;
        let whole = self.within(timeout, self.answer_to(request)).await;
        whole.unwrap_or(Err(CallError::TimedOut))
    }

    /// Makes a call with headers and a body.
    ///
    /// # Errors
    ///
    /// [`CallError`].
    pub async fn call(
        &self,
        request: Request<Bytes>,
        timeout: Duration,
    ) -> Result<HttpResponse, CallError> {
        let mut request = request.map(Full::new);
        let host = HeaderValue::from_str(&self.address.to_string()).map_err(|e| broken(&e))?;
        request.headers_mut().insert(HOST, host);
        let whole = self.within(timeout, self.answer_to(request)).await;
        whole.unwrap_or(Err(CallError::TimedOut))
    }

    async fn get_unbounded(&self, path: &str) -> Result<HttpResponse, CallError> {
        self.answer_to(get_request(path, self.address)?).await
    }

    async fn answer_to(&self, request: BufferedRequest) -> Result<HttpResponse, CallError> {
        let (connection, response) = self.send(request).await?;
        let (head, body) = response.into_parts();
        let body = body.collect().await.map_err(|e| broken(&e))?;
        Ok(self.finish(connection, head, body.to_bytes()))
    }

    async fn send(
        &self,
        request: BufferedRequest,
    ) -> Result<(Connection, Response<Incoming>), CallError> {
        let mut connection = self.connection().await?;
        let sent = connection.send(request).await;
        let response = sent.map_err(|broke| broken(&broke.error))?;
        Ok((connection, response))
    }

    /// Keeps the connection of an answer that is whole.
    fn finish(&self, connection: Connection, head: Parts, body: Bytes) -> HttpResponse {
        *self.kept.borrow_mut() = Some(connection);
        HttpResponse {
            status: head.status,
            headers: head.headers,
            body,
        }
    }

    async fn connection(&self) -> Result<Connection, CallError> {
        let kept = self.kept.borrow_mut().take();
        if let Some(mut connection) = kept
            && connection.wait_until_ready().await
        {
            return Ok(connection);
        }
        // It is kept while it is whole, however long it is idle.
        let opened = Connection::open(
            self.address,
            self.connect_timeout,
            Duration::MAX,
            &self.timers,
        );
        opened.await.map_err(|source| CallError::Connect { source })
    }

    async fn within<T>(
        &self,
        bound: Duration,
        answer: impl Future<Output = T>,
    ) -> Result<T, CallError> {
        let answer = self.timers.timeout(bound, answer).await;
        answer.map_err(|Elapsed| CallError::TimedOut)
    }
}

/// A request without a body.
pub(crate) fn get_request(path: &str, address: SocketAddr) -> Result<BufferedRequest, CallError> {
    let request = Request::builder()
        .uri(path)
        .header(HOST, address.to_string());
    let request = request.body(Full::new(Bytes::new()));
    request.map_err(|e| broken(&e))
}

fn broken(error: &dyn std::error::Error) -> CallError {
    CallError::Broken {
        reason: describe_error(error),
    }
}
