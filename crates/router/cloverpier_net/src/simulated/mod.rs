//! A network in memory, on the clock of the runtime: connections and datagrams between parties.
//!
//! A *party* is whatever stands still, ends or is cut off as a whole, such as a router. Its sockets are those
//! that it opens while [`as_party`] runs its code. Bytes arrive after a random delay of the network's seed and in
//! order; the path from one party to another can be silent, and connections can be reset. A party that does
//! not run still has its connections accepted and its bytes buffered, as by an operating system.
//!
//! Not simulated: the end of connections by `TCP_USER_TIMEOUT`, and partial writes.
//!
//! Owns the listeners, the connections and the paths. Relies on a runtime whose clock is paused.

mod connection;
mod datagram;
mod listener;
mod stream;

pub(crate) use datagram::DatagramSocket;
pub(crate) use listener::Listener;
pub(crate) use stream::{Half, Stream};

use connection::SharedConnection;
use datagram::Inbox;
use listener::AcceptQueue;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The first port that is handed out.
const FIRST_PORT: u16 = 10_000;

/// One side of paths: what stands still, ends or is cut off as a whole.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Party(pub u32);

/// All that runs outside [`as_party`].
pub const OUTSIDE: Party = Party(0);

thread_local! {
    static INSTALLED: RefCell<Option<Network>> = const { RefCell::new(None) };
    static RUNNING: Cell<Party> = const { Cell::new(OUTSIDE) };
}

/// Runs code of a party: the sockets that it opens are that party's.
pub fn as_party<T>(party: Party, run: impl FnOnce() -> T) -> T {
    let former = RUNNING.replace(party);
    let done = run();
    RUNNING.set(former);
    done
}

/// How the network treats what is sent.
#[derive(Clone, Debug)]
pub struct NetworkSpec {
    /// Seeds delays and losses.
    pub seed: u64,
    /// How long bytes and datagrams take.
    pub delay: RangeInclusive<Duration>,
    /// The share of datagrams that are lost.
    pub datagram_loss: f64,
}

/// A network; clones share it.
#[derive(Clone, Debug)]
pub struct Network {
    state: Arc<Mutex<State>>,
    /// Notified when a path is not silent any more.
    reopened: Arc<Notify>,
}

#[derive(Debug)]
struct State {
    spec: NetworkSpec,
    rng: fastrand::Rng,
    next_port: u16,
    listeners: BTreeMap<SocketAddr, AcceptQueue>,
    inboxes: BTreeMap<SocketAddr, Inbox>,
    connections: Vec<Weak<Mutex<connection::Connection>>>,
    /// The silent paths, by sender and receiver, and since when.
    silent: BTreeMap<(Party, Party), Instant>,
}

/// Removes the network from the thread when it is dropped.
#[derive(Debug)]
pub struct Installed(());

impl Drop for Installed {
    fn drop(&mut self) {
        INSTALLED.set(None);
    }
}

impl Network {
    /// Creates a network without sockets.
    pub fn new(spec: NetworkSpec) -> Self {
        let state = State {
            rng: fastrand::Rng::with_seed(spec.seed),
            spec,
            next_port: FIRST_PORT,
            listeners: BTreeMap::new(),
            inboxes: BTreeMap::new(),
            connections: Vec::new(),
            silent: BTreeMap::new(),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            reopened: Arc::new(Notify::new()),
        }
    }

    /// Has the sockets that this thread opens belong to this network, until the result is dropped.
    #[must_use]
    pub fn install(&self) -> Installed {
        INSTALLED.set(Some(self.clone()));
        Installed(())
    }

    /// The network that is installed on this thread.
    pub fn current() -> Option<Self> {
        INSTALLED.with_borrow(Clone::clone)
    }

    /// An address at which nobody listens, which is handed out once.
    pub fn free_address(&self) -> SocketAddr {
        self.state().free_address()
    }

    /// Silences the path from one party to another, or opens it. What is sent on a silent path arrives after it
    /// has opened; datagrams are lost.
    pub fn set_silent(&self, from: Party, to: Party, is_silent: bool) {
        let now = Instant::now();
        if is_silent {
            self.state().silent.entry((from, to)).or_insert(now);
            return;
        }
        if self.state().silent.remove(&(from, to)).is_none() {
            return;
        }
        for connection in self.open_connections() {
            let delay = self.state().delay();
            lock(&connection).reopen(from, to, now + delay);
        }
        self.reopened.notify_waiters();
    }

    /// Resets all connections between two parties, at both ends.
    pub fn reset_connections(&self, one: Party, other: Party) {
        for connection in self.open_connections() {
            let mut connection = lock(&connection);
            if connection.is_between(one, other) {
                connection.reset(Instant::now());
            }
        }
    }

    fn open_connections(&self) -> Vec<SharedConnection> {
        let connections = &mut self.state().connections;
        connections.retain(|connection| connection.strong_count() > 0);
        connections.iter().filter_map(Weak::upgrade).collect()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Since when the path is silent; `None` for an open one.
    fn silent_since(&self, from: Party, to: Party) -> Option<Instant> {
        self.state().silent.get(&(from, to)).copied()
    }

    /// Waits until what one party sends to another arrives, for what is sent first.
    async fn pass(&self, from: Party, to: Party) {
        loop {
            let reopened = self.reopened.notified();
            if self.silent_since(from, to).is_none() {
                break;
            }
            reopened.await;
        }
        let delay = self.state().delay();
        tokio::time::sleep(delay).await;
    }
}

impl State {
    fn delay(&mut self) -> Duration {
        let (least, most) = (*self.spec.delay.start(), *self.spec.delay.end());
        let spread = u64::try_from((most - least).as_micros()).unwrap_or(u64::MAX);
        least + Duration::from_micros(self.rng.u64(0..=spread))
    }

    fn free_address(&mut self) -> SocketAddr {
        loop {
            let address = SocketAddr::from(([127, 0, 0, 1], self.next_port));
            self.next_port = self.next_port.checked_add(1).unwrap_or(FIRST_PORT);
            if !self.listeners.contains_key(&address) && !self.inboxes.contains_key(&address) {
                return address;
            }
        }
    }

    /// The address to bind: the given one, or a free one for port 0.
    fn address_to_bind(&mut self, address: SocketAddr, is_taken: bool) -> io::Result<SocketAddr> {
        match address.port() {
            0 => Ok(self.free_address()),
            _ if is_taken => Err(io::ErrorKind::AddrInUse.into()),
            _ => Ok(address),
        }
    }
}

fn running_party() -> Party {
    RUNNING.get()
}

fn lock<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}
