//! One HTTP/1.1 connection to an upstream, a peer or the store.
//!
//! Owns the connection and the task that drives it; both end when it is dropped, which is
//! how a request is cancelled. Tells whether a byte of a request was written, on which the
//! retry rules depend. Relies on `hyper` at the level of connections: `reqwest`, which
//! `cloverpierd` uses (`cloverpier_upstream`), does not say whether a byte went out on a kept
//! connection.

use bytes::Bytes;
use cloverpier_timers::{Elapsed, Timers};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// Bytes that the peer's system has not acknowledged for this long end a connection
/// (`TCP_USER_TIMEOUT`). A last resort behind the verdicts on silence, which come earlier.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);

/// Bytes that are read ahead from a connection at most: what a caller reads slowly stays beyond that
/// with the upstream. The head of an answer has to fit.
const READ_BUFFER: usize = 32 * 1024;

/// A request with its whole body.
pub(crate) type BufferedRequest = Request<Full<Bytes>>;

/// Sending over a connection failed.
#[derive(Debug)]
pub(crate) struct SendError {
    /// Whether no byte of the request was written.
    pub was_unsent: bool,
    /// What happened.
    pub error: hyper::Error,
}

/// An open connection, closed when dropped.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    /// Requests that it has carried.
    pub requests: u32,
    /// How long the other side keeps it when it is idle.
    pub idle_timeout: Duration,
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
    /// What the system reports, or [`io::ErrorKind::TimedOut`] after `timeout`.
    pub async fn open(
        address: SocketAddr,
        timeout: Duration,
        idle_timeout: Duration,
        timers: &Timers,
    ) -> io::Result<Self> {
        let connecting = timers.timeout(timeout, TcpStream::connect(address));
        let stream = connecting
            .await
            .map_err(|Elapsed| io::ErrorKind::TimedOut)??;
        stream.set_nodelay(true)?;
        SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
        let mut client = http1::Builder::new();
        client.max_buf_size(READ_BUFFER);
        let handshake = client.handshake(TokioIo::new(stream)).await;
        let (sender, driver) = handshake.map_err(io::Error::other)?;
        let driver = tokio::task::spawn_local(async move {
            // Its errors reach whoever waits for an answer.
            let _ = driver.await;
        });
        Ok(Self {
            sender,
            driver: driver.abort_handle(),
            requests: 0,
            idle_timeout,
        })
    }

    /// Whether the connection can carry another request now.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Whether the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Waits until the connection has ended its last exchange; false when it cannot be used
    /// again.
    pub async fn wait_until_ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// [`SendError`], which says whether anything was written.
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

/// An error with its causes, in one line for people.
pub(crate) fn describe_error(error: &dyn Error) -> String {
    let mut text = error.to_string();
    for cause in causes(error) {
        text.push_str(": ");
        text.push_str(&cause.to_string());
    }
    text
}

/// The kind of the system's error among the causes of an error, if there is one.
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
