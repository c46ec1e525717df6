//! One HTTP/1.1 client connection, to an upstream, a peer or the store.
//!
//! A [`Connection`] owns the TCP connection and the task that drives it. Dropping it closes the connection, and resets it if
//! a request is in flight, which cancels that request. A failed send reports whether any byte of the request was written, as the retry
//! rules depend on that. This is the reason for `hyper`'s connection-level API: `reqwest`, which `cloverpierd`
//! uses (`cloverpier_upstream`), does not report whether a byte was written on a reused connection.

use crate::abandonable_stream::{AbandonableStream, Abandonment};
use crate::tunnel::OpenTunnel;
use bytes::Bytes;
use cloverpier_net::{TcpStream, set_user_timeout};
use cloverpier_timers::{Elapsed, Timers};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::task::AbortHandle;

/// The operating system closes a connection if sent bytes are not acknowledged within this time
/// (`TCP_USER_TIMEOUT`). It is a fallback: liveness checks and call timeouts normally end the wait earlier.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum number of bytes that are read ahead from a connection. If a caller reads slowly, the bytes beyond that
/// stay with the upstream. The head of a response has to fit.
const READ_BUFFER: usize = 32 * 1024;

/// A request whose whole body is in memory.
pub(crate) type BufferedRequest = Request<Full<Bytes>>;

/// The failure to send a request or to receive the head of its response.
#[derive(Debug)]
pub(crate) struct SendError {
    /// Whether no byte of the request was written, so that the request can't have run.
    pub was_unsent: bool,
    /// The HTTP library's error; an I/O error is among its causes.
    pub error: hyper::Error,
}

/// The way that a connection takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Via {
    /// From this router to the address itself.
    Direct,
    /// In a tunnel through the peer with this address.
    Peer(SocketAddr),
}

/// An open connection, which is closed when this is dropped.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    /// Has the TCP connection, or that of the tunnel, be reset.
    abandonment: Abandonment,
    /// The way that the connection takes.
    pub via: Via,
    /// When the opening of the connection began.
    pub opened_at: Instant,
    /// The tunnel that carries the connection; `None` for a direct connection.
    tunnel: Option<OpenTunnel>,
    /// Number of requests that were sent on this connection, including failed sends.
    pub requests: u32,
    /// How long the server keeps the connection open while it is idle; the pool uses it only for a shorter time.
    pub idle_timeout: Duration,
}

impl Drop for Connection {
    fn drop(&mut self) {
        if !self.sender.is_ready() {
            self.abandonment.mark();
        }
        self.driver.abort();
    }
}

impl Connection {
    /// Opens a TCP connection within `timeout` and prepares it for HTTP/1.1. `idle_timeout` applies until the
    /// server announces another one.
    ///
    /// # Errors
    ///
    /// The operating system's error, or [`io::ErrorKind::TimedOut`] after `timeout`.
    pub async fn open(
        address: SocketAddr,
        timeout: Duration,
        idle_timeout: Duration,
        timers: &Timers,
    ) -> io::Result<Self> {
        let opened_at = timers.now();
        let stream = AbandonableStream::new(open_stream(address, timeout, timers).await?);
        let abandonment = stream.abandonment();
        let (sender, driver) = start_http(stream).await?;
        Ok(Self {
            sender,
            driver,
            abandonment,
            via: Via::Direct,
            opened_at,
            tunnel: None,
            requests: 0,
            idle_timeout,
        })
    }

    /// Prepares a tunnel through a peer for HTTP/1.1. `abandonment` is that of the connection to the peer, `opened_at` is
    /// when the opening of the tunnel began, and `tunnel` counts the tunnel as open while the connection exists.
    ///
    /// # Errors
    ///
    /// The HTTP library's error.
    pub async fn over_tunnel(
        stream: impl AsyncRead + AsyncWrite + Unpin + 'static,
        abandonment: Abandonment,
        tunnel: OpenTunnel,
        opened_at: Instant,
        idle_timeout: Duration,
    ) -> io::Result<Self> {
        let (sender, driver) = start_http(stream).await?;
        Ok(Self {
            sender,
            driver,
            abandonment,
            via: Via::Peer(tunnel.peer),
            opened_at,
            tunnel: Some(tunnel),
            requests: 0,
            idle_timeout,
        })
    }

    /// The id of the tunnel that carries the connection; `None` for a direct connection.
    pub fn tunnel_id(&self) -> Option<u64> {
        self.tunnel.as_ref().map(|tunnel| tunnel.id)
    }

    /// Whether the connection can carry another request now.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Whether the connection is closed, by either side.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Waits until the exchange on the connection has ended. Returns false if the connection can't carry another
    /// request.
    pub async fn wait_until_ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// [`SendError`], which reports whether any byte of the request was written.
    pub async fn send(
        &mut self,
        request: BufferedRequest,
    ) -> Result<Response<Incoming>, SendError> {
        self.requests += 1;
        let sent = self.sender.try_send_request(request).await;
        sent.map_err(|mut failure| SendError {
            was_unsent: failure.take_message().is_some(),
            error: failure.into_error(),
        })
    }
}

/// Opens a TCP connection within `timeout`.
///
/// # Errors
///
/// The operating system's error, or [`io::ErrorKind::TimedOut`] after `timeout`.
pub(crate) async fn open_stream(
    address: SocketAddr,
    timeout: Duration,
    timers: &Timers,
) -> io::Result<TcpStream> {
    let connecting = timers.timeout(timeout, TcpStream::connect(address));
    let stream = connecting
        .await
        .map_err(|Elapsed| io::ErrorKind::TimedOut)??;
    stream.set_nodelay(true)?;
    set_user_timeout(&stream, UNACKNOWLEDGED_TIMEOUT)?;
    Ok(stream)
}

/// Prepares a byte stream for HTTP/1.1, and starts the task that drives it.
async fn start_http(
    stream: impl AsyncRead + AsyncWrite + Unpin + 'static,
) -> io::Result<(SendRequest<Full<Bytes>>, AbortHandle)> {
    let mut client = http1::Builder::new();
    client.max_buf_size(READ_BUFFER);
    let handshake = client.handshake(TokioIo::new(stream)).await;
    let (sender, driver) = handshake.map_err(io::Error::other)?;
    let driver = tokio::task::spawn_local(async move {
        // The task that waits for a response receives the connection's errors.
        let _ = driver.await;
    });
    Ok((sender, driver.abort_handle()))
}

/// Formats an error and its causes in one line, separated by colons.
pub(crate) fn describe_error(error: &dyn Error) -> String {
    let mut text = error.to_string();
    for cause in causes(error) {
        text.push_str(": ");
        text.push_str(&cause.to_string());
    }
    text
}

/// The kind of the first I/O error among the causes of `error`; `None` if no cause is an I/O error.
pub(crate) fn find_io_error_kind(error: &dyn Error) -> Option<io::ErrorKind> {
    let mut found = causes(error).filter_map(|cause| cause.downcast_ref::<io::Error>());
    found.next().map(io::Error::kind)
}

fn causes<'a>(error: &'a (dyn Error + 'a)) -> impl Iterator<Item = &'a (dyn Error + 'static)> {
    std::iter::successors(error.source(), |cause| {
        let cause: &'a (dyn Error + 'static) = *cause;
        cause.source()
    })
}
