//! Sockets that are the runtime's own or simulated: which one is decided when they are opened.
//!
//! The methods are those of `tokio::net` that the router and its stand-ins use. Owns no state.

mod bytes;

use crate::simulated::{DatagramSocket, Half, Listener, Network, Stream};
use socket2::SockRef;
use std::io;
use std::net::SocketAddr;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::tcp;

/// A TCP connection.
#[derive(Debug)]
#[expect(missing_docs, reason = "the variants say which kind of socket it is")]
pub enum TcpStream {
    Runtime(tokio::net::TcpStream),
    Simulated(Stream),
}

/// A TCP listener.
#[derive(Debug)]
#[expect(missing_docs, reason = "the variants say which kind of socket it is")]
pub enum TcpListener {
    Runtime(tokio::net::TcpListener),
    Simulated(Listener),
}

/// A UDP socket.
#[derive(Debug)]
#[expect(missing_docs, reason = "the variants say which kind of socket it is")]
pub enum UdpSocket {
    Runtime(tokio::net::UdpSocket),
    Simulated(DatagramSocket),
}

/// The reading half of a borrowed connection.
#[derive(Debug)]
#[expect(missing_docs, reason = "the variants say which kind of socket it is")]
pub enum ReadHalf<'a> {
    Runtime(tcp::ReadHalf<'a>),
    Simulated(Half),
}

/// The writing half of a borrowed connection.
#[derive(Debug)]
#[expect(missing_docs, reason = "the variants say which kind of socket it is")]
pub enum WriteHalf<'a> {
    Runtime(tcp::WriteHalf<'a>),
    Simulated(Half),
}

/// The reading half of an owned connection.
#[derive(Debug)]
#[expect(missing_docs, reason = "the variants say which kind of socket it is")]
pub enum OwnedReadHalf {
    Runtime(tcp::OwnedReadHalf),
    Simulated(Half),
}

/// The writing half of an owned connection, which ends what is sent when it is dropped.
#[derive(Debug)]
#[expect(missing_docs, reason = "the variants say which kind of socket it is")]
pub enum OwnedWriteHalf {
    Runtime(tcp::OwnedWriteHalf),
    Simulated(SimulatedWriteHalf),
}

/// A simulated writing half, which ends what is sent when it is dropped.
#[derive(Debug)]
pub struct SimulatedWriteHalf {
    half: Half,
    is_forgotten: bool,
}

impl SimulatedWriteHalf {
    fn half_mut(&mut self) -> &mut Half {
        &mut self.half
    }
}

impl Drop for SimulatedWriteHalf {
    fn drop(&mut self) {
        if !self.is_forgotten {
            self.half.shut_down();
        }
    }
}

/// The number of the party at the other end of a simulated connection; `None` for any other connection.
pub fn remote_party(stream: &TcpStream) -> Option<u32> {
    match stream {
        TcpStream::Runtime(_) => None,
        TcpStream::Simulated(stream) => Some(stream.remote_party().0),
    }
}

/// Sets how long sent bytes may stay unacknowledged before the connection ends (`TCP_USER_TIMEOUT`). Has no effect
/// on simulated connections.
///
/// # Errors
///
/// The operating system's error.
pub fn set_user_timeout(stream: &TcpStream, timeout: Duration) -> io::Result<()> {
    match stream {
        TcpStream::Runtime(stream) => SockRef::from(stream).set_tcp_user_timeout(Some(timeout)),
        TcpStream::Simulated(_) => Ok(()),
    }
}

/// Has the connection end with a reset when it is closed.
///
/// # Errors
///
/// The operating system's error.
pub fn set_zero_linger(half: &OwnedWriteHalf) -> io::Result<()> {
    match half {
        OwnedWriteHalf::Runtime(half) => half.as_ref().set_zero_linger(),
        OwnedWriteHalf::Simulated(write) => {
            write.half.set_zero_linger();
            Ok(())
        }
    }
}

impl TcpStream {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// The operating system's error, or that of the simulated network.
    pub async fn connect(to: SocketAddr) -> io::Result<Self> {
        match Network::current() {
            None => Ok(Self::Runtime(tokio::net::TcpStream::connect(to).await?)),
            Some(network) => Ok(Self::Simulated(Stream::connect(network, to).await?)),
        }
    }

    /// Has small writes be sent at once.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    pub fn set_nodelay(&self, is_set: bool) -> io::Result<()> {
        match self {
            Self::Runtime(stream) => stream.set_nodelay(is_set),
            Self::Simulated(_) => Ok(()),
        }
    }

    /// Has the connection end with a reset when it is closed.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    pub fn set_zero_linger(&self) -> io::Result<()> {
        match self {
            Self::Runtime(stream) => stream.set_zero_linger(),
            Self::Simulated(stream) => {
                stream.half().set_zero_linger();
                Ok(())
            }
        }
    }

    /// The address of this end.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        match self {
            Self::Runtime(stream) => stream.local_addr(),
            Self::Simulated(stream) => Ok(stream.local_addr()),
        }
    }

    /// The address of the other end.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    pub fn peer_addr(&self) -> io::Result<SocketAddr> {
        match self {
            Self::Runtime(stream) => stream.peer_addr(),
            Self::Simulated(stream) => Ok(stream.peer_addr()),
        }
    }

    /// Completes when a read may not wait.
    pub fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self {
            Self::Runtime(stream) => stream.poll_read_ready(cx),
            Self::Simulated(stream) => stream.half().poll_read_ready(cx),
        }
    }

    /// Reads what has arrived.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::WouldBlock`] if nothing has; else the error of the connection.
    pub fn try_read(&self, buf: &mut [u8]) -> io::Result<usize> {
        match self {
            Self::Runtime(stream) => stream.try_read(buf),
            Self::Simulated(stream) => stream.half().try_read(buf),
        }
    }

    /// Waits for bytes and copies them without taking them.
    ///
    /// # Errors
    ///
    /// The error of the connection.
    pub async fn peek(&self, buf: &mut [u8]) -> io::Result<usize> {
        match self {
            Self::Runtime(stream) => stream.peek(buf).await,
            Self::Simulated(stream) => stream.half().peek(buf).await,
        }
    }

    /// Borrows the two halves.
    pub fn split(&mut self) -> (ReadHalf<'_>, WriteHalf<'_>) {
        match self {
            Self::Runtime(stream) => {
                let (read, write) = stream.split();
                (ReadHalf::Runtime(read), WriteHalf::Runtime(write))
            }
            Self::Simulated(stream) => {
                let half = stream.half();
                (
                    ReadHalf::Simulated(half.clone()),
                    WriteHalf::Simulated(half.clone()),
                )
            }
        }
    }

    /// Parts the connection into its two halves.
    pub fn into_split(self) -> (OwnedReadHalf, OwnedWriteHalf) {
        match self {
            Self::Runtime(stream) => {
                let (read, write) = stream.into_split();
                (OwnedReadHalf::Runtime(read), OwnedWriteHalf::Runtime(write))
            }
            Self::Simulated(stream) => {
                let half = stream.half().clone();
                let write = SimulatedWriteHalf {
                    half: half.clone(),
                    is_forgotten: false,
                };
                (
                    OwnedReadHalf::Simulated(half),
                    OwnedWriteHalf::Simulated(write),
                )
            }
        }
    }
}

impl OwnedWriteHalf {
    /// Drops the half without an end of what is sent.
    pub fn forget(self) {
        match self {
            Self::Runtime(half) => half.forget(),
            Self::Simulated(mut write) => write.is_forgotten = true,
        }
    }
}

impl TcpListener {
    /// Listens at an address; at a free port for port 0.
    ///
    /// # Errors
    ///
    /// The operating system's error, or that of the simulated network.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        match Network::current() {
            None => Ok(Self::Runtime(tokio::net::TcpListener::bind(address).await?)),
            Some(network) => Ok(Self::Simulated(Listener::bind(network, address)?)),
        }
    }

    /// Where it listens.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        match self {
            Self::Runtime(listener) => listener.local_addr(),
            Self::Simulated(listener) => Ok(listener.local_addr()),
        }
    }

    /// Waits for the next connection.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    pub async fn accept(&self) -> io::Result<(TcpStream, SocketAddr)> {
        match self {
            Self::Runtime(listener) => {
                let (stream, remote) = listener.accept().await?;
                Ok((TcpStream::Runtime(stream), remote))
            }
            Self::Simulated(listener) => {
                let (stream, remote) = listener.accept().await;
                Ok((TcpStream::Simulated(stream), remote))
            }
        }
    }
}

impl UdpSocket {
    /// Binds an address; a free port for port 0.
    ///
    /// # Errors
    ///
    /// The operating system's error, or that of the simulated network.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        match Network::current() {
            None => Ok(Self::Runtime(tokio::net::UdpSocket::bind(address).await?)),
            Some(network) => Ok(Self::Simulated(DatagramSocket::bind(network, address)?)),
        }
    }

    /// The address that it is bound to.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        match self {
            Self::Runtime(socket) => socket.local_addr(),
            Self::Simulated(socket) => Ok(socket.local_addr()),
        }
    }

    /// Waits until the socket takes datagrams.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    pub async fn writable(&self) -> io::Result<()> {
        match self {
            Self::Runtime(socket) => socket.writable().await,
            Self::Simulated(_) => Ok(()),
        }
    }

    /// Sends a datagram if that does not have to wait.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    pub fn try_send_to(&self, bytes: &[u8], to: SocketAddr) -> io::Result<usize> {
        match self {
            Self::Runtime(socket) => socket.try_send_to(bytes, to),
            Self::Simulated(socket) => {
                socket.send_to(bytes, to);
                Ok(bytes.len())
            }
        }
    }

    /// Waits for the next datagram.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    pub async fn recv_from(&self, buf: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        match self {
            Self::Runtime(socket) => socket.recv_from(buf).await,
            Self::Simulated(socket) => Ok(socket.recv_from(buf).await),
        }
    }
}
