//! Datagrams to other routers, sent at once.
//!
//! [`Datagrams`] owns the way to the socket; what waits for the next round of sending is in
//! [`crate::outbox`]. A datagram that is lost costs little: whatever matters is repeated, or asked for again.

use crate::decision_log::log_named_event;
use crate::metrics::CounterByKind;
use crate::peer_messages::{PeerMessage, encode};
use cloverpier_observe::Log;
use std::cell::OnceCell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::UdpSocket;

/// Sends datagrams over the socket that receives them.
#[derive(Debug)]
pub(crate) struct Datagrams {
    /// Set at the start, once the port is bound.
    socket: OnceCell<Rc<UdpSocket>>,
    log: Log,
    sent: CounterByKind,
    bytes: CounterByKind,
}

impl Datagrams {
    /// Datagrams that have no socket yet; they are counted by what they say.
    pub fn new(log: Log, sent: CounterByKind, bytes: CounterByKind) -> Self {
        Self {
            socket: OnceCell::new(),
            log,
            sent,
            bytes,
        }
    }

    /// Sends over this socket from now on.
    pub fn attach(&self, socket: Rc<UdpSocket>) {
        // A router listens once; a second socket would be as good.
        let _ = self.socket.set(socket);
    }

    /// Waits until the runtime has seen that the socket takes datagrams: before that each would be
    /// dropped, and peers would miss the first, which says that this router has just begun.
    pub async fn ready(&self) {
        let Some(socket) = self.socket.get() else {
            return;
        };
        if let Err(error) = socket.writable().await {
            log_named_event(&self.log, "peer.unsent", "peers", &error.to_string());
        }
    }

    /// Sends a message to some peers.
    pub fn send(&self, message: &PeerMessage, peers: &[SocketAddr]) {
        let Some(socket) = self.socket.get() else {
            return;
        };
        let bytes = match encode(message) {
            Ok(bytes) => bytes,
            Err(error) => {
                log_named_event(&self.log, "peer.unsent", "peers", &error.to_string());
                return;
            }
        };
        let (kind, count) = (message.kind(), peers.len() as u64);
        self.sent.add(kind, count);
        self.bytes.add(kind, bytes.len() as u64 * count);
        for peer in peers {
            // A datagram that the system does not take is like one that was lost.
            let _ = socket.try_send_to(&bytes, *peer);
        }
    }
}
