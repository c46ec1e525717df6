//! Which process has opened a TCP connection of this machine, or which party a simulated one.
//!
//! Looks up the opener's socket once, by [`crate::socket_diag`], and searches Linux's tables of open files for the
//! socket, so that a link can treat the connections of one process differently. Owns what is known of one connection.

use crate::socket_diag::socket_inode;
use cloverpier_core::lock;
use cloverpier_net::{TcpStream, remote_party};
use std::collections::HashMap;
use std::fs;
use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::{Arc, Mutex};

/// The opener of an accepted connection. Clones share what is known of it.
#[derive(Clone, Debug)]
pub(crate) struct SocketOwner {
    connection: Arc<Connection>,
}

/// What identifies the opener.
#[derive(Clone, Copy, Debug)]
enum Opener {
    /// The party of a simulated connection; its number stands for a process.
    Party(u32),
    /// The inode of the opener's socket; `None` if the opener had closed the socket by the time of the lookup.
    Socket(Option<u32>),
}

#[derive(Debug)]
struct Connection {
    opener: Opener,
    /// Whether a process has opened the connection, by the process's number.
    known: Mutex<HashMap<u32, bool>>,
}

impl SocketOwner {
    /// Looks up the opener of a connection that a listener has accepted.
    ///
    /// # Errors
    ///
    /// The connection has ended, or the system does not tell who opened the connection.
    pub fn of_accepted(stream: &TcpStream) -> io::Result<Self> {
        let connection = Connection {
            opener: opener_of(stream)?,
            known: Mutex::default(),
        };
        Ok(Self {
            connection: Arc::new(connection),
        })
    }

    /// Whether the process with this number has opened the connection. The first result for a process is kept.
    pub fn is(&self, process: u32) -> bool {
        let Connection { opener, known } = &*self.connection;
        match *opener {
            Opener::Party(party) => party == process,
            Opener::Socket(None) => false,
            Opener::Socket(Some(inode)) => *lock(known)
                .entry(process)
                .or_insert_with(|| has_socket(process, inode)),
        }
    }
}

fn opener_of(stream: &TcpStream) -> io::Result<Opener> {
    if let Some(party) = remote_party(stream) {
        return Ok(Opener::Party(party));
    }
    // The remote address of the accepted end is the local address of the opener's end.
    let (local, remote) = (ipv4(stream.peer_addr()?)?, ipv4(stream.local_addr()?)?);
    Ok(Opener::Socket(socket_inode(local, remote)?))
}

fn ipv4(address: SocketAddr) -> io::Result<SocketAddrV4> {
    match address {
        SocketAddr::V4(address) => Ok(address),
        SocketAddr::V6(_) => Err(io::Error::from(io::ErrorKind::Unsupported)),
    }
}

/// Whether a process has the socket with this inode among its open files.
fn has_socket(process: u32, inode: u32) -> bool {
    let socket = format!("socket:[{inode}]");
    let Ok(files) = fs::read_dir(format!("/proc/{process}/fd")) else {
        return false;
    };
    let mut targets = files.flatten().flat_map(|file| fs::read_link(file.path()));
    targets.any(|target| target.to_str() == Some(&socket))
}
