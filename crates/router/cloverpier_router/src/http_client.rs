//! An HTTP client for calls to one address: an upstream to probe, the platform's store, another router.
//!
//! The client owns at most one idle connection and reuses it while it is open. Code that depends on whether a byte
//! of a request was written uses [`crate::connection`] directly.

use crate::connection::{BufferedRequest, Connection, describe_error};
use crate::wire_names::ResponseParts;
use bytes::{Bytes, BytesMut};
use cloverpier_timers::{Elapsed, Timers};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HOST, HeaderMap, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Request, Response, StatusCode};
use snafu::Snafu;
use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Maximum length in bytes of an upstream's response to a probe, a check or a query. The longest one lists the prompts in an
/// engine's cache.
pub(crate) const MAX_QUERY_RESPONSE: usize = 1024 * 1024;
/// Maximum length in bytes of a response of the store or of a peer. A value in the store holds a megabyte, and a page of
/// entries about as much.
const MAX_DOWNLOAD: usize = 8 * 1024 * 1024;

/// Why a call has no complete response. Log lines contain the messages as reasons, and tests match them.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// No connection could be opened.
    #[snafu(display("can't connect: {source}"))]
    Connect {
        /// The operating system's error; [`io::ErrorKind::TimedOut`] after the timeout for connecting.
        source: io::Error,
    },
    /// The connection broke before the response was complete, or the request could not be encoded.
    #[snafu(display("connection broke: {reason}"))]
    Broken {
        /// The HTTP library's error and its causes.
        reason: String,
    },
    /// The response is longer than the call accepts.
    #[snafu(display("the answer is longer than {limit} bytes"))]
    TooLong {
        /// The maximum length of the body in bytes.
        limit: usize,
    },
    /// The response did not arrive within the timeout.
    #[snafu(display("no answer in time"))]
    TimedOut,
    /// The code that made the call cancelled it before the head of a response arrived.
    #[snafu(display("call cancelled"))]
    Cancelled,
}

impl CallError {
    /// Whether the error proves that no process listens at the address: its host refused the connection. An
    /// unreachable host or network, or a reset while the connection is opened, proves nothing about the process.
    pub fn is_refused(&self) -> bool {
        self.connect_error_kind() == Some(io::ErrorKind::ConnectionRefused)
    }

    /// Whether a connection broke, during the call or while it was opened.
    pub fn is_break(&self) -> bool {
        let is_reset = self.connect_error_kind() == Some(io::ErrorKind::ConnectionReset);
        is_reset || matches!(self, Self::Broken { .. })
    }

    fn connect_error_kind(&self) -> Option<io::ErrorKind> {
        match self {
            Self::Connect { source } => Some(source.kind()),
            _ => None,
        }
    }
}

/// A response whose whole body is in memory.
#[derive(Debug)]
pub struct HttpResponse {
    /// The HTTP status.
    pub status: StatusCode,
    /// All headers of the response.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

impl HttpResponse {
    /// The parts of the response that the adapter decodes into a statement of the upstream about itself.
    pub fn parts(&self) -> ResponseParts<'_> {
        ResponseParts {
            status: self.status,
            headers: &self.headers,
            body: Some(&self.body),
        }
    }
}

/// Timeouts of [`HttpClient::download`].
#[derive(Clone, Copy, Debug)]
pub struct DownloadTimeouts {
    /// From the call to the head of the response, including the time to open a connection.
    pub head: Duration,
    /// From the head of the response, or a chunk of its body, to the next chunk.
    pub stall: Duration,
}

/// How long an idle connection is kept for the next call. One that was open may have gone silent without a reset, which
/// shows only when a response is missing; periodic calls are more frequent than this.
const IDLE_LIMIT: Duration = Duration::from_secs(1);

/// An HTTP client for one address. It reuses one connection for calls that follow each other within a second; calls that
/// overlap open connections of their own.
#[derive(Debug)]
pub struct HttpClient {
    address: SocketAddr,
    connect_timeout: Duration,
    timers: Timers,
    idle: RefCell<Option<IdleConnection>>,
}

/// A connection after a call.
#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    since: Instant,
}

impl HttpClient {
    /// Creates a client that has no connection yet.
    pub fn new(address: SocketAddr, connect_timeout: Duration, timers: Timers) -> Self {
        Self {
            address,
            connect_timeout,
            timers,
            idle: RefCell::new(None),
        }
    }

    /// Sends a `GET` request and reads the whole response within `timeout`.
    ///
    /// # Errors
    ///
    /// [`CallError`]; the connection is closed then.
    pub async fn get(&self, path: &str, timeout: Duration) -> Result<HttpResponse, CallError> {
        let response = self
            .with_timeout(timeout, self.get_without_timeout(path))
            .await;
        response.unwrap_or(Err(CallError::TimedOut))
    }

    /// Sends a `GET` request and reads a response that may be large. The head has to arrive within `timeouts.head`,
    /// and each chunk of the body within `timeouts.stall`; the total time is not limited. The call is cancelled if
    /// `cancelled` completes before the head arrives.
    ///
    /// # Errors
    ///
    /// [`CallError`]; the connection is closed then.
    pub async fn download(
        &self,
        path: &str,
        headers: HeaderMap,
        timeouts: DownloadTimeouts,
        cancelled: impl Future<Output = ()>,
    ) -> Result<HttpResponse, CallError> {
        let mut request = get_request(path, self.address)?;
        request.headers_mut().extend(headers);
        let (connection, response) = tokio::select! {
            sent = self.with_timeout(timeouts.head, self.send(request)) => sent??,
            () = cancelled => return Err(CallError::Cancelled),
        };
        let (head, mut body) = response.into_parts();
        let mut buffer = BytesMut::new();
        while let Some(frame) = self.with_timeout(timeouts.stall, body.frame()).await? {
            let frame = frame.map_err(|e| connection_broken(&e))?;
            // Trailers are ignored.
            if let Ok(chunk) = frame.into_data() {
                buffer.extend_from_slice(&chunk);
            }
            if buffer.len() > MAX_DOWNLOAD {
                return TooLongSnafu {
                    limit: MAX_DOWNLOAD,
                }
                .fail();
            }
        }
        Ok(self.finish(connection, head, buffer.freeze()))
    }

    /// Sends a `PUT` request with a JSON body and reads the whole response within `timeout`.
    ///
    /// # Errors
    ///
    /// [`CallError`]; the server may still have applied the request, or apply it later.
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
            .map_err(|e| connection_broken(&e))?;
        let response = self
            .with_timeout(timeout, self.buffered_response(request))
            .await;
        response.unwrap_or(Err(CallError::TimedOut))
    }

    /// Sends any request, with a `Host` header added, and reads the whole response within `timeout`.
    ///
    /// # Errors
    ///
    /// [`CallError`]; the server may still have applied the request, or apply it later.
    pub async fn call(
        &self,
        request: Request<Bytes>,
        timeout: Duration,
    ) -> Result<HttpResponse, CallError> {
        let mut request = request.map(Full::new);
        let host =
            HeaderValue::from_str(&self.address.to_string()).map_err(|e| connection_broken(&e))?;
        request.headers_mut().insert(HOST, host);
        let response = self
            .with_timeout(timeout, self.buffered_response(request))
            .await;
        response.unwrap_or(Err(CallError::TimedOut))
    }

    async fn get_without_timeout(&self, path: &str) -> Result<HttpResponse, CallError> {
        self.buffered_response(get_request(path, self.address)?)
            .await
    }

    async fn buffered_response(&self, request: BufferedRequest) -> Result<HttpResponse, CallError> {
        let (connection, response) = self.send(request).await?;
        let (head, body) = response.into_parts();
        let body = read_body(body, MAX_DOWNLOAD).await?;
        Ok(self.finish(connection, head, body))
    }

    async fn send(
        &self,
        request: BufferedRequest,
    ) -> Result<(Connection, Response<Incoming>), CallError> {
        let mut connection = self.take_or_open().await?;
        let sent = connection.send(request).await;
        let response = sent.map_err(|failure| connection_broken(&failure.error))?;
        Ok((connection, response))
    }

    /// Keeps the connection for the next call and returns the complete response.
    fn finish(&self, connection: Connection, head: Parts, body: Bytes) -> HttpResponse {
        *self.idle.borrow_mut() = Some(IdleConnection {
            connection,
            since: self.timers.now(),
        });
        HttpResponse {
            status: head.status,
            headers: head.headers,
            body,
        }
    }

    async fn take_or_open(&self) -> Result<Connection, CallError> {
        let idle = self.idle.borrow_mut().take();
        let now = self.timers.now();
        let is_recent =
            |idle: &IdleConnection| now.saturating_duration_since(idle.since) <= IDLE_LIMIT;
        if let Some(mut idle) = idle.filter(is_recent)
            && idle.connection.wait_until_ready().await
        {
            return Ok(idle.connection);
        }
        // The limit above applies, and not an idle timeout of the connection.
        let opened = Connection::open(
            self.address,
            self.connect_timeout,
            Duration::MAX,
            &self.timers,
        );
        opened.await.map_err(|source| CallError::Connect { source })
    }

    async fn with_timeout<T>(
        &self,
        timeout: Duration,
        work: impl Future<Output = T>,
    ) -> Result<T, CallError> {
        let result = self.timers.timeout(timeout, work).await;
        result.map_err(|Elapsed| CallError::TimedOut)
    }
}

/// Sends a `GET` request on an open connection and reads the whole response. `address` is the server's, for the
/// `Host` header.
///
/// # Errors
///
/// [`CallError::Broken`]; the connection can't be used any more then.
pub(crate) async fn get_over(
    connection: &mut Connection,
    address: SocketAddr,
    path: &str,
) -> Result<HttpResponse, CallError> {
    let sent = connection.send(get_request(path, address)?).await;
    let response = sent.map_err(|failure| connection_broken(&failure.error))?;
    let (head, body) = response.into_parts();
    Ok(HttpResponse {
        status: head.status,
        headers: head.headers,
        body: read_body(body, MAX_QUERY_RESPONSE).await?,
    })
}

/// Reads a whole body into memory.
///
/// # Errors
///
/// [`CallError::TooLong`] if it is longer than `limit` bytes, [`CallError::Broken`] if the connection broke.
pub(crate) async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, CallError> {
    match Limited::new(body, limit).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => TooLongSnafu { limit }.fail(),
        Err(error) => Err(connection_broken(error.as_ref())),
    }
}

/// Creates a `GET` request with a `Host` header and without a body.
pub(crate) fn get_request(path: &str, address: SocketAddr) -> Result<BufferedRequest, CallError> {
    let request = Request::builder()
        .uri(path)
        .header(HOST, address.to_string());
    let request = request.body(Full::new(Bytes::new()));
    request.map_err(|e| connection_broken(&e))
}

fn connection_broken(error: &(dyn std::error::Error + 'static)) -> CallError {
    CallError::Broken {
        reason: describe_error(error),
    }
}
