//! Simulated datagram sockets: datagrams may be lost and may overtake one another.
//!
//! Owns the datagrams that were sent and not received. Relies on the network for delays and losses.

use super::{Network, Party, running_party};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Datagrams that a socket keeps until they are received; later ones are lost.
const MAX_UNREAD: usize = 1_024;

/// A socket, which receives nothing any more when it is dropped.
#[derive(Debug)]
pub struct DatagramSocket {
    network: Network,
    party: Party,
    address: SocketAddr,
    sent: Arc<Notify>,
}

/// What was sent to a socket and not received.
#[derive(Debug)]
pub(super) struct Inbox {
    party: Party,
    /// By the time of arrival and the order of sending.
    datagrams: BTreeMap<(Instant, u64), Datagram>,
    next: u64,
    sent: Arc<Notify>,
}

#[derive(Debug)]
struct Datagram {
    from: SocketAddr,
    bytes: Vec<u8>,
}

impl Drop for DatagramSocket {
    fn drop(&mut self) {
        self.network.state().inboxes.remove(&self.address);
    }
}

impl DatagramSocket {
    /// Binds an address; a free one for port 0.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::AddrInUse`].
    pub fn bind(network: Network, address: SocketAddr) -> io::Result<Self> {
        let mut state = network.state();
        let is_taken = state.inboxes.contains_key(&address);
        let address = state.address_to_bind(address, is_taken)?;
        let (party, sent) = (running_party(), Arc::new(Notify::new()));
        let inbox = Inbox {
            party,
            datagrams: BTreeMap::new(),
            next: 0,
            sent: Arc::clone(&sent),
        };
        state.inboxes.insert(address, inbox);
        drop(state);
        Ok(Self {
            network,
            party,
            address,
            sent,
        })
    }

    pub fn local_addr(&self) -> SocketAddr {
        self.address
    }

    /// Sends a datagram; nobody learns whether it is lost.
    pub fn send_to(&self, bytes: &[u8], to: SocketAddr) {
        let state = &mut *self.network.state();
        let arrives_at = Instant::now() + state.delay();
        let is_lost = state.rng.f64() < state.spec.datagram_loss;
        let Some(inbox) = state.inboxes.get_mut(&to) else {
            return;
        };
        let is_silent = state.silent.contains_key(&(self.party, inbox.party));
        if is_lost || is_silent || inbox.datagrams.len() >= MAX_UNREAD {
            return;
        }
        let datagram = Datagram {
            from: self.address,
            bytes: bytes.to_vec(),
        };
        inbox.next += 1;
        inbox.datagrams.insert((arrives_at, inbox.next), datagram);
        inbox.sent.notify_one();
    }

    /// Waits for the next datagram.
    pub async fn recv_from(&self, buf: &mut [u8]) -> (usize, SocketAddr) {
        loop {
            let sent = self.sent.notified();
            let Some(arrives_at) = self.first_arrival() else {
                sent.await;
                continue;
            };
            if arrives_at <= Instant::now() {
                if let Some(datagram) = self.take_first() {
                    let count = datagram.bytes.len().min(buf.len());
                    buf[..count].copy_from_slice(&datagram.bytes[..count]);
                    return (count, datagram.from);
                }
                continue;
            }
            tokio::select! {
                biased;
                // An earlier one may have been sent.
                () = sent => {}
                () = tokio::time::sleep_until(arrives_at) => {}
            }
        }
    }

    fn first_arrival(&self) -> Option<Instant> {
        let state = self.network.state();
        let inbox = state.inboxes.get(&self.address)?;
        inbox.datagrams.keys().next().map(|(at, _)| *at)
    }

    fn take_first(&self) -> Option<Datagram> {
        let mut state = self.network.state();
        let inbox = state.inboxes.get_mut(&self.address)?;
        inbox.datagrams.pop_first().map(|(_, datagram)| datagram)
    }
}
