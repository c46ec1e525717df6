//! Simulated listeners: connections wait here until their party accepts them.
//!
//! Owns the queues of connections. Relies on [`super::stream`] to open them.

use super::stream::Stream;
use super::{Network, Party, running_party};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::Notify;

/// A listener, which refuses new connections when it is dropped.
#[derive(Debug)]
pub struct Listener {
    network: Network,
    address: SocketAddr,
    arrived: Arc<Notify>,
}

/// The connections that a listener has yet to accept.
#[derive(Debug)]
pub(super) struct AcceptQueue {
    party: Party,
    waiting: VecDeque<Stream>,
    arrived: Arc<Notify>,
}

impl Drop for Listener {
    fn drop(&mut self) {
        let queue = self.network.state().listeners.remove(&self.address);
        // Dropped after the network's lock is free, as they take it.
        for stream in queue.into_iter().flat_map(|queue| queue.waiting) {
            stream.half().set_zero_linger();
        }
    }
}

impl Listener {
    /// Listens at an address; at a free one for port 0.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::AddrInUse`].
    pub fn bind(network: Network, address: SocketAddr) -> io::Result<Self> {
        let mut state = network.state();
        let is_taken = state.listeners.contains_key(&address);
        let address = state.address_to_bind(address, is_taken)?;
        let arrived = Arc::new(Notify::new());
        let queue = AcceptQueue {
            party: running_party(),
            waiting: VecDeque::new(),
            arrived: Arc::clone(&arrived),
        };
        state.listeners.insert(address, queue);
        drop(state);
        Ok(Self {
            network,
            address,
            arrived,
        })
    }

    pub fn local_addr(&self) -> SocketAddr {
        self.address
    }

    /// Waits for the next connection.
    pub async fn accept(&self) -> (Stream, SocketAddr) {
        loop {
            let arrived = self.arrived.notified();
            if let Some(stream) = self.next() {
                let remote = stream.peer_addr();
                return (stream, remote);
            }
            arrived.await;
        }
    }

    fn next(&self) -> Option<Stream> {
        let mut state = self.network.state();
        state.listeners.get_mut(&self.address)?.waiting.pop_front()
    }
}

impl Network {
    /// The party that listens at an address; `None` if none does.
    pub(super) fn listening_party(&self, address: SocketAddr) -> Option<Party> {
        self.state()
            .listeners
            .get(&address)
            .map(|queue| queue.party)
    }

    /// Gives a new connection to the listener at an address. Without one the connection is dropped.
    pub(super) fn queue(&self, address: SocketAddr, stream: Stream) {
        let mut state = self.state();
        let Some(queue) = state.listeners.get_mut(&address) else {
            drop(state);
            drop(stream);
            return;
        };
        queue.waiting.push_back(stream);
        queue.arrived.notify_one();
    }
}
