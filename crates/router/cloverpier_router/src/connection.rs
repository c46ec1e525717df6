//! One HTTP/1.1 connection to a upstream, and simple calls over it.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HeaderMap;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use snafu::Snafu;
use socket2::SockRef;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// Bytes that the peer's system hasn't acknowledged for this long end a connection.
const UNACKNOWLEDGED_AT_MOST: Duration = Duration::from_secs(3);

/// A request with its whole body.
pub(crate) type WholeRequest = Request<Full<Bytes>>;

/// Sending over a connection failed.
#[derive(Debug)]
pub(crate) struct SendFailure {
    /// Whether no byte of the request was written.
    pub unsent: bool,
    /// What happened.
    pub reason: String,
}

/// An open connection, closed when dropped.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    /// Requests that it has carried.
    pub requests: u32,
    /// When it was put aside last.
    pub idle_since: Instant,
    /// How long the upstream keeps it when it rests.
    pub idle_limit: Duration,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    /// Connects.
    ///
    /// # Errors
    ///
    /// What the system reports, or [`io::ErrorKind::TimedOut`] after `time_limit`.
    pub async fn open(
        address: SocketAddr,
        time_limit: Duration,
        idle_limit: Duration,
    ) -> io::Result<Self> {
        let connecting = timeout(time_limit, TcpStream::connect(address));
        let stream = connecting.await.map_err(|_| io::ErrorKind::TimedOut)??;
        stream.set_nodelay(true)?;
        SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_AT_MOST))?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, driver) = handshake.map_err(io::Error::other)?;
        let driver = tokio::task::spawn_local(async move {
            // Its errors reach whoever waits for an answer.
            let _ = driver.await;
        });
        Ok(Self {
            sender,
            driver: driver.abort_handle(),
            requests: 0,
            idle_since: Instant::now(),
            idle_limit,
        })
    }

    /// Whether the connection can carry another request now.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Whether the connection is over.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Waits until the connection has ended its last exchange; false when it can't be used again.
    pub async fn settle(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// [`SendFailure`], which tells whether anything was written.
    pub async fn send(&mut self, request: WholeRequest) -> Result<Response<Incoming>, SendFailure> {
        self.requests += 1;
        let sent = self.sender.try_send_request(request).await;
        sent.map_err(|mut failure| SendFailure {
            unsent: failure.take_message().is_some(),
            reason: describe(failure.error()),
        })
    }
}

/// An error with its causes, in one line.
pub(crate) fn describe(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}

/// A call brought no answer.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// No connection came up.
    #[snafu(display("can't connect: {reason}"))]
    Connect {
        /// What the system reports.
        reason: String,
        /// Whether the other side refused, rather than said nothing.
        refused: bool,
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
}

/// A whole answer to a simple call.
#[derive(Debug)]
pub struct HttpAnswer {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// Calls one address, over one kept connection.
#[derive(Debug)]
pub struct HttpClient {
    address: SocketAddr,
    connect_timeout: Duration,
    kept: RefCell<Option<Connection>>,
}

impl HttpClient {
    /// A caller without a connection yet.
    pub fn new(address: SocketAddr, connect_timeout: Duration) -> Self {
        Self {
            address,
            connect_timeout,
            kept: RefCell::new(None),
        }
    }

    /// Gets a path, the whole answer within `time_limit`.
    ///
    /// # Errors
    ///
    /// [`CallError`]; the connection is given up then.
    pub async fn get(&self, path: &str, time_limit: Duration) -> Result<HttpAnswer, CallError> {
        let whole = timeout(time_limit, self.get_unbounded(path)).await;
        whole.unwrap_or(Err(CallError::TimedOut))
    }

    async fn get_unbounded(&self, path: &str) -> Result<HttpAnswer, CallError> {
        let mut connection = self.connection().await?;
        let request = simple_request(path, self.address)?;
        let sent = connection.send(request).await;
        let response = sent.map_err(|failure| CallError::Broken {
            reason: failure.reason,
        })?;
        let (head, body) = response.into_parts();
        let body = body.collect().await.map_err(|e| CallError::Broken {
            reason: describe(&e),
        })?;
        *self.kept.borrow_mut() = Some(connection);
        Ok(HttpAnswer {
            status: head.status,
            headers: head.headers,
            body: body.to_bytes(),
        })
    }

    async fn connection(&self) -> Result<Connection, CallError> {
        let kept = self.kept.borrow_mut().take();
        if let Some(mut connection) = kept
            && connection.settle().await
        {
            return Ok(connection);
        }
        let opened = Connection::open(self.address, self.connect_timeout, Duration::MAX).await;
        opened.map_err(|e| CallError::Connect {
            reason: e.to_string(),
            refused: e.kind() != io::ErrorKind::TimedOut,
        })
    }
}

fn simple_request(path: &str, address: SocketAddr) -> Result<WholeRequest, CallError> {
    let request = Request::builder()
        .uri(path)
        .header(hyper::header::HOST, address.to_string());
    let request = request.body(Full::new(Bytes::new()));
    request.map_err(|e| CallError::Broken {
        reason: e.to_string(),
    })
}
