//! Which process has opened a TCP connection of this machine, or which party a simulated one.
//!
//! Reads Linux's tables of sockets and of open files, so that a link can treat the connections of one process
//! differently.

use cloverpier_core::lock;
use cloverpier_net::{TcpStream, remote_party};
use std::collections::HashMap;
use std::fs;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

/// Words between the remote address of a row of the table and the inode.
const WORDS_TO_INODE: usize = 6;
/// How often the table is read for one connection, at most.
const MAX_READS: usize = 3;
/// How long a table that was read is searched again. The system takes milliseconds to write one, and a connection's
/// ports are not used again sooner.
const TABLE_AGE: Duration = Duration::from_millis(100);

/// The opener of an accepted connection. Clones share what is known of it.
#[derive(Clone, Debug)]
pub(crate) struct SocketOwner {
    connection: Arc<Connection>,
}

#[derive(Debug)]
struct Connection {
    /// The party that has opened a simulated connection.
    party: Option<u32>,
    /// Both ends of the connection as the opener sees them: its own address, and the remote one.
    ends: Option<(SocketAddr, SocketAddr)>,
    inode: OnceLock<String>,
    /// Whether a process has opened the connection, by the process's number.
    known: Mutex<HashMap<u32, bool>>,
}

impl SocketOwner {
    /// The opener of a connection that a listener has accepted.
    pub fn of_accepted(stream: &TcpStream) -> Self {
        let connection = Connection {
            party: remote_party(stream),
            ends: stream.peer_addr().ok().zip(stream.local_addr().ok()),
            inode: OnceLock::new(),
            known: Mutex::default(),
        };
        Self {
            connection: Arc::new(connection),
        }
    }

    /// Finds out which socket has opened the connection, on a thread on which that may take its time.
    pub async fn resolve(&self) {
        if self.connection.party.is_some() {
            return;
        }
        for _ in 0..MAX_READS {
            let (Some(ends), None) = (self.connection.ends, self.connection.inode.get()) else {
                return;
            };
            // Rows may be missing from a table that changes while it is read, so a missing row is not kept.
            if let Ok(Some(inode)) = tokio::task::spawn_blocking(move || inode_of(ends)).await {
                // Another clone may have set the same inode.
                let _ = self.connection.inode.set(inode);
            }
        }
    }

    /// Whether the process with this number has opened the connection; false if [`Self::resolve`] has not found out. The
    /// first result for a process is kept. The number of a party stands for a process on simulated connections.
    pub fn is(&self, process: u32) -> bool {
        if let Some(party) = self.connection.party {
            return party == process;
        }
        let Connection { inode, known, .. } = &*self.connection;
        let Some(inode) = inode.get() else {
            return false;
        };
        *lock(known)
            .entry(process)
            .or_insert_with(|| has_socket(process, inode))
    }
}

/// The inode of the socket with these ends, by the system's table of TCP sockets.
fn inode_of((local, remote): (SocketAddr, SocketAddr)) -> Option<String> {
    static LAST_TABLE: Mutex<Option<(Instant, String)>> = Mutex::new(None);
    let ends = format!(" {} {} ", table_entry(local)?, table_entry(remote)?);
    let mut last = lock(&LAST_TABLE);
    let recent = last.as_ref().filter(|(at, _)| at.elapsed() < TABLE_AGE);
    if let Some(inode) = recent.and_then(|(_, table)| find_inode(table, &ends)) {
        return Some(inode);
    }
    let now = Instant::now();
    let table = fs::read_to_string("/proc/net/tcp").ok()?;
    let (_, table) = last.insert((now, table));
    find_inode(table, &ends)
}

/// The inode in the row with these ends.
fn find_inode(table: &str, ends: &str) -> Option<String> {
    // The table has thousands of rows on a busy machine, so that only the row in question is split into words.
    let row = &table[table.find(ends)? + ends.len()..];
    row.split_whitespace()
        .nth(WORDS_TO_INODE)
        .map(str::to_owned)
}

/// An IPv4 address as the table writes it: the bytes of the address in the machine's order, and the port.
fn table_entry(address: SocketAddr) -> Option<String> {
    let IpAddr::V4(ip) = address.ip() else {
        return None;
    };
    let ip = u32::from_ne_bytes(ip.octets());
    Some(format!("{ip:08X}:{:04X}", address.port()))
}

/// Whether a process has the socket with this inode among its open files.
fn has_socket(process: u32, inode: &str) -> bool {
    let socket = format!("socket:[{inode}]");
    let Ok(files) = fs::read_dir(format!("/proc/{process}/fd")) else {
        return false;
    };
    let mut targets = files.flatten().flat_map(|file| fs::read_link(file.path()));
    targets.any(|target| target.to_str() == Some(&socket))
}
