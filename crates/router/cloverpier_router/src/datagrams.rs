//! Immediate sending of datagrams to other routers.
//!
//! [`Datagrams`] owns the reference to the socket. [`crate::outbox`] holds the messages that wait for the
//! next round of sending. Datagrams are neither acknowledged nor retransmitted here: senders of messages that
//! must arrive repeat them, or receivers request the content again.

use crate::decision_log::log_named_event;
use crate::metric_kinds::CounterByKind;
use crate::peer_messages::{PeerMessage, encode};
use cloverpier_net::UdpSocket;
use cloverpier_observe::Log;
use std::cell::OnceCell;
use std::net::SocketAddr;
use std::rc::Rc;

/// Sends datagrams from the socket on which this router also receives them.
#[derive(Debug)]
pub(crate) struct Datagrams {
    /// Set at the start, once the port is bound; until then nothing is sent.
    socket: OnceCell<Rc<UdpSocket>>,
    log: Log,
    /// Counts sent datagrams, by kind of message.
    sent: CounterByKind,
    /// Counts sent bytes, by kind of message.
    bytes: CounterByKind,
}

impl Datagrams {
    /// Creates a sender without a socket. `sent` and `bytes` are the metrics for datagrams and bytes.
    pub fn new(log: Log, sent: CounterByKind, bytes: CounterByKind) -> Self {
        Self {
            socket: OnceCell::new(),
            log,
            sent,
            bytes,
        }
    }

    /// Sets the socket to send from.
    pub fn attach(&self, socket: Rc<UdpSocket>) {
        // A router binds its port once. With a second call, the first socket stays in use.
        let _ = self.socket.set(socket);
    }

    /// Waits until the runtime has registered the socket as writable. Datagrams sent before are dropped, and
    /// peers would miss the first one, which reports that this router has just started.
    pub async fn ready(&self) {
        let Some(socket) = self.socket.get() else {
            return;
        };
        if let Err(error) = socket.writable().await {
            log_named_event(&self.log, "peer.unsent", "peers", &error.to_string());
        }
    }

    /// Sends one datagram with the message to each peer. Does nothing without a socket.
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
            // A datagram that the operating system does not accept counts as lost.
            let _ = socket.try_send_to(&bytes, *peer);
        }
    }
}
