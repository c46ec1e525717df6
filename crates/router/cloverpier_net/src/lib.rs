//! The sockets of the router and of its stand-ins: the runtime's own, or simulated ones.
//!
//! Without the feature `simulation`, the types are those of `tokio::net`. With it, they are enums: a socket
//! that is opened while a [`simulated::Network`] is installed on the thread belongs to that network, and any
//! other one is the runtime's own. Owns no state without the feature. Relies on `tokio`.

#[cfg(feature = "simulation")]
mod either;
#[cfg(feature = "simulation")]
pub mod simulated;

#[cfg(feature = "simulation")]
pub use either::{
    OwnedReadHalf, OwnedWriteHalf, ReadHalf, TcpListener, TcpStream, UdpSocket, WriteHalf,
    remote_party, set_user_timeout, set_zero_linger,
};
#[cfg(not(feature = "simulation"))]
pub use runtime::{remote_party, set_user_timeout, set_zero_linger};
#[cfg(not(feature = "simulation"))]
pub use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf, ReadHalf, WriteHalf};
#[cfg(not(feature = "simulation"))]
pub use tokio::net::{TcpListener, TcpStream, UdpSocket};

use std::net::SocketAddr;

/// The address at which to listen for any free port of this machine.
pub fn any_loopback_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

#[cfg(not(feature = "simulation"))]
mod runtime {
    use super::{OwnedWriteHalf, TcpStream};
    use socket2::SockRef;
    use std::io;
    use std::time::Duration;

    /// The number of the party at the other end of a simulated connection; `None` for any other connection.
    pub fn remote_party(_stream: &TcpStream) -> Option<u32> {
        None
    }

    /// Sets how long sent bytes may stay unacknowledged before the connection ends (`TCP_USER_TIMEOUT`).
    ///
    /// # Errors
    ///
    /// The operating system's error.
    pub fn set_user_timeout(stream: &TcpStream, timeout: Duration) -> io::Result<()> {
        SockRef::from(stream).set_tcp_user_timeout(Some(timeout))
    }

    /// Has the connection end with a reset when it is closed.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    pub fn set_zero_linger(half: &OwnedWriteHalf) -> io::Result<()> {
        half.as_ref().set_zero_linger()
    }
}
