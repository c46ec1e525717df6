//! The ends of simulated connections as byte streams.
//!
//! Owns the timers of reads and writes that wait. Relies on [`super::connection`] for what has arrived.

use super::connection::{Connection, End, Found, SharedConnection, Side};
use super::{Network, Party, lock, running_party};
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Instant, Sleep};

/// One end of a connection, which is closed when this is dropped.
#[derive(Debug)]
pub struct Stream {
    half: Half,
}

/// A handle of one end; the end is closed when all its handles are dropped.
#[derive(Clone, Debug)]
pub struct Half {
    shared: Arc<OpenEnd>,
}

#[derive(Debug)]
struct OpenEnd {
    network: Network,
    connection: SharedConnection,
    side: Side,
    own: (Party, SocketAddr),
    remote: (Party, SocketAddr),
    read_timer: Mutex<Timer>,
    write_timer: Mutex<Timer>,
}

/// Wakes a task that waits for a time.
#[derive(Debug, Default)]
struct Timer(Option<Pin<Box<Sleep>>>);

impl Timer {
    /// Has the task be polled again at a time.
    fn arm(&mut self, at: Option<Instant>, cx: &mut Context<'_>) {
        self.0 = at.map(|at| Box::pin(tokio::time::sleep_until(at)));
        if let Some(sleep) = &mut self.0
            && sleep.as_mut().poll(cx).is_ready()
        {
            cx.waker().wake_by_ref();
        }
    }
}

impl Drop for OpenEnd {
    fn drop(&mut self) {
        let now = Instant::now();
        let is_silent = self.network.silent_since(self.own.0, self.remote.0);
        let arrives_at = now + self.network.state().delay();
        lock(&self.connection).close(self.side, now, arrives_at, is_silent.is_some());
    }
}

impl Stream {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::ConnectionRefused`] if nobody listens at the address.
    pub async fn connect(network: Network, to: SocketAddr) -> io::Result<Self> {
        let from = running_party();
        let listener = network.listening_party(to);
        network.pass(from, listener.unwrap_or_default()).await;
        let Some(listener) = network.listening_party(to) else {
            network.pass(listener.unwrap_or_default(), from).await;
            return Err(io::ErrorKind::ConnectionRefused.into());
        };
        let own = network.free_address();
        let connection = Connection::new(End::new(from, own), End::new(listener, to));
        let connection = Arc::new(Mutex::new(connection));
        let weak = Arc::downgrade(&connection);
        network.state().connections.push(weak);
        let opened = Self::new(&network, &connection, 0);
        network.queue(to, Self::new(&network, &connection, 1));
        network.pass(listener, from).await;
        Ok(opened)
    }

    fn new(network: &Network, connection: &SharedConnection, side: Side) -> Self {
        let ends = &lock(connection).ends;
        let named = |end: &End| (end.party, end.address);
        let end = OpenEnd {
            network: network.clone(),
            connection: Arc::clone(connection),
            side,
            own: named(&ends[side]),
            remote: named(&ends[1 - side]),
            read_timer: Mutex::default(),
            write_timer: Mutex::default(),
        };
        let shared = Arc::new(end);
        Self {
            half: Half { shared },
        }
    }

    pub fn local_addr(&self) -> SocketAddr {
        self.half.shared.own.1
    }

    pub fn peer_addr(&self) -> SocketAddr {
        self.half.shared.remote.1
    }

    pub fn remote_party(&self) -> Party {
        self.half.shared.remote.0
    }

    /// A handle of this end.
    pub fn half(&self) -> &Half {
        &self.half
    }

    pub fn half_mut(&mut self) -> &mut Half {
        &mut self.half
    }
}

impl Half {
    pub fn set_zero_linger(&self) {
        lock(&self.shared.connection).set_zero_linger(self.shared.side);
    }

    /// Ends what this end sends.
    pub fn shut_down(&self) {
        let arrives_at = Instant::now() + self.shared.network.state().delay();
        lock(&self.shared.connection).shut_down(self.shared.side, arrives_at);
    }

    /// Completes when a read would not wait.
    pub fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.find() {
            Err(error) => Poll::Ready(Err(error)),
            Ok(Found::Ready) => Poll::Ready(Ok(())),
            Ok(Found::Nothing(until)) => {
                lock(&self.shared.connection).wait_to_read(self.shared.side, cx.waker());
                lock(&self.shared.read_timer).arm(until, cx);
                Poll::Pending
            }
        }
    }

    /// Reads what has arrived.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::WouldBlock`] if nothing has; [`io::ErrorKind::ConnectionReset`].
    pub fn try_read(&self, buf: &mut [u8]) -> io::Result<usize> {
        match self.find()? {
            Found::Ready => Ok(lock(&self.shared.connection).take(self.shared.side, buf)),
            Found::Nothing(_) => Err(io::ErrorKind::WouldBlock.into()),
        }
    }

    /// Waits for bytes and copies them without taking them.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::ConnectionReset`].
    pub async fn peek(&self, buf: &mut [u8]) -> io::Result<usize> {
        std::future::poll_fn(|cx| self.poll_read_ready(cx)).await?;
        Ok(lock(&self.shared.connection).peek(self.shared.side, buf))
    }

    fn find(&self) -> io::Result<Found> {
        let shared = &self.shared;
        let silent_since = shared.network.silent_since(shared.remote.0, shared.own.0);
        lock(&shared.connection).find(shared.side, Instant::now(), silent_since)
    }
}

impl AsyncRead for Half {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if buf.remaining() == 0 {
            return Poll::Ready(Ok(()));
        }
        ready!(self.poll_read_ready(cx))?;
        let read = self.try_read(buf.initialize_unfilled())?;
        buf.advance(read);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Half {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let shared = &self.shared;
        let now = Instant::now();
        let arrives_at = now + shared.network.state().delay();
        let mut connection = lock(&shared.connection);
        if let Some(sent) = connection.send(shared.side, buf, now, arrives_at)? {
            return Poll::Ready(Ok(sent));
        }
        connection.wait_to_write(shared.side, cx.waker());
        lock(&shared.write_timer).arm(connection.reset_at(shared.side), cx);
        Poll::Pending
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.shut_down();
        Poll::Ready(Ok(()))
    }
}
