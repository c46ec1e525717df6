//! Lookup of a single TCP socket of this machine, by its two ends.
//!
//! Asks Linux by `sock_diag(7)`. The lookup takes microseconds on any machine, where `/proc/net/tcp` takes tens of
//! milliseconds with thousands of connections, closed ones included. Relies on `linux/inet_diag.h` and
//! `linux/netlink.h` for the layout of the messages. Owns no state.

use rustix::net::{
    AddressFamily, RecvFlags, SendFlags, SocketFlags, SocketType, netlink, recv, send, socket_with,
};
use std::io;
use std::net::SocketAddrV4;

/// Length of a netlink message header in bytes.
const HEADER_LEN: usize = 16;
/// Length of the request for one socket in bytes, without the header.
const REQUEST_LEN: usize = 56;
/// Buffer for a response: longer than the response with all its attributes.
const RESPONSE_LEN: usize = 1_024;
/// `SOCK_DIAG_BY_FAMILY`: the type of requests and of responses with a socket.
const SOCK_DIAG_BY_FAMILY: u16 = 20;
/// `NLMSG_ERROR`: the type of a response with an error number.
const ERROR: u16 = 2;
/// `NLM_F_REQUEST`.
const REQUEST: u16 = 1;
/// `IPPROTO_TCP`.
const TCP: u8 = 6;
/// Sockets in any state.
const ALL_STATES: u32 = u32::MAX;
/// `INET_DIAG_NOCOOKIE`: the request does not name a socket by its cookie.
const NO_COOKIE: u32 = u32::MAX;
/// Place of the message type in a header.
const TYPE_AT: usize = 4;
/// Place of the inode in a response.
const INODE_AT: usize = HEADER_LEN + 68;

/// The inode of the TCP socket with the address `local` that is connected to `remote`; `None` if there is none, or if
/// no process has the socket open any more.
///
/// # Errors
///
/// The kernel refuses the request, or its response is malformed.
pub(crate) fn socket_inode(local: SocketAddrV4, remote: SocketAddrV4) -> io::Result<Option<u32>> {
    let flags = SocketFlags::CLOEXEC;
    let kind = SocketType::DGRAM;
    let socket = socket_with(
        AddressFamily::NETLINK,
        kind,
        flags,
        Some(netlink::SOCK_DIAG),
    )?;
    send(&socket, &request(local, remote), SendFlags::empty())?;
    let mut response = [0; RESPONSE_LEN];
    // The kernel has queued the response by the end of `send`.
    let (len, _) = recv(&socket, &mut response, RecvFlags::DONTWAIT)?;
    parse(&response[..len])
}

/// The request for the socket with these ends.
fn request(local: SocketAddrV4, remote: SocketAddrV4) -> Vec<u8> {
    let len = u32::try_from(HEADER_LEN + REQUEST_LEN).unwrap_or(u32::MAX);
    let mut bytes = Vec::with_capacity(HEADER_LEN + REQUEST_LEN);
    bytes.extend(len.to_ne_bytes());
    bytes.extend(SOCK_DIAG_BY_FAMILY.to_ne_bytes());
    bytes.extend(REQUEST.to_ne_bytes());
    // Sequence number and port id: the socket carries one request.
    bytes.extend([0; 8]);
    bytes.extend([AddressFamily::INET.as_raw() as u8, TCP, 0, 0]);
    bytes.extend(ALL_STATES.to_ne_bytes());
    bytes.extend(local.port().to_be_bytes());
    bytes.extend(remote.port().to_be_bytes());
    for address in [local, remote] {
        bytes.extend(address.ip().octets());
        // The rest of an IPv6 address.
        bytes.extend([0; 12]);
    }
    let any_interface = 0_u32;
    for word in [any_interface, NO_COOKIE, NO_COOKIE] {
        bytes.extend(word.to_ne_bytes());
    }
    bytes
}

/// Reads the inode from a response; an inode of 0 belongs to a socket that no process has open.
fn parse(response: &[u8]) -> io::Result<Option<u32>> {
    let message_type = word_at(response, TYPE_AT)?.to_ne_bytes();
    match u16::from_ne_bytes([message_type[0], message_type[1]]) {
        SOCK_DIAG_BY_FAMILY => Ok(Some(word_at(response, INODE_AT)?).filter(|inode| *inode != 0)),
        ERROR => {
            let error_number = word_at(response, HEADER_LEN)?.cast_signed();
            let error = io::Error::from_raw_os_error(-error_number);
            match error.kind() {
                io::ErrorKind::NotFound => Ok(None),
                _ => Err(error),
            }
        }
        other => Err(malformed(&format!("unexpected message type {other}"))),
    }
}

/// The 32-bit word at a place of a response.
fn word_at(response: &[u8], at: usize) -> io::Result<u32> {
    let bytes = response.get(at..at + 4);
    let bytes = bytes.and_then(|bytes| bytes.try_into().ok());
    let bytes: [u8; 4] = bytes.ok_or_else(|| malformed("short message"))?;
    Ok(u32::from_ne_bytes(bytes))
}

fn malformed(found: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, found)
}
