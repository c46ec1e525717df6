//! The software versions that began streams, as far as this router records them for itself and for its peers.
//!
//! `cloverpier_router_policy::stream_version` decides which version a stream needs, which routers hold its record and
//! what their replies prove.
//!
//! | concern | module |
//! | --- | --- |
//! | sends the record of a stream before its first event, and again from time to time | [`write`] |
//! | finds out which version began a stream that a caller resumes | [`lookup`] |
//! | handles the messages of peers | [`serve`] |
//! | messages that wait for replies | [`pending`] |
//! | informs routers that start later of the versions that services had | [`marks`], [`version_records`] |
//!
//! [`StreamOrigins`] owns the records that this router holds, the streams that it relays, and the messages that wait for
//! replies.

pub(crate) mod lookup;
pub(crate) mod marks;
mod pending;
pub(crate) mod serve;
mod version_records;
pub(crate) mod write;

use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::stream_version::OriginRecords;
use cloverpier_router_policy::stream_version::lookup::LookupReply;
use pending::PendingMessages;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::Notify;

/// A stream that this router relays.
#[derive(Debug)]
struct RelayedStream {
    origin: StreamOrigin,
    /// Number of requests that continue the stream here at the moment; two while a caller's old request has not ended.
    requests: usize,
}

type RelayedStreams = Rc<RefCell<HashMap<StreamKey, RelayedStream>>>;

/// The records of this router, and the messages that wait for replies.
#[derive(Debug)]
pub(crate) struct StreamOrigins {
    records: RefCell<OriginRecords>,
    relayed: RelayedStreams,
    /// Records that were sent and wait for acknowledgements.
    unacknowledged: PendingMessages<SocketAddr>,
    /// Queries that wait for replies.
    queries: PendingMessages<(SocketAddr, LookupReply)>,
    /// Wakes the task that sends the records of all relayed streams.
    refresh_due: Notify,
    /// Wakes the task that records versions in the store.
    version_listed: Notify,
}

impl StreamOrigins {
    /// Creates the state of a starting router, without records. `first_number` is random, so that late replies to an
    /// earlier process at this address match no message of this one.
    pub fn new(first_number: u64) -> Self {
        Self {
            records: RefCell::default(),
            relayed: RelayedStreams::default(),
            unacknowledged: PendingMessages::new(first_number),
            queries: PendingMessages::new(first_number),
            refresh_due: Notify::new(),
            version_listed: Notify::new(),
        }
    }

    /// Has the records of all relayed streams sent now, because they have become necessary.
    pub fn refresh_now(&self) {
        self.refresh_due.notify_one();
    }

    /// Handles a version of a service that was not listed before: streams that began without a record need one from now
    /// on, and the store has to know the version.
    pub fn on_version_listed(&self) {
        self.refresh_now();
        self.version_listed.notify_one();
    }

    /// Waits until a version is listed that was not before.
    pub async fn version_listed(&self) {
        self.version_listed.notified().await;
    }
}

/// Keeps the record of a relayed stream at its holders until it is dropped.
#[derive(Debug)]
pub(crate) struct RelayedStreamGuard {
    relayed: RelayedStreams,
    stream: StreamKey,
}

impl RelayedStreamGuard {
    /// Adds a stream to those that this router relays.
    pub fn begin(origins: &StreamOrigins, record: OriginRecord) -> Self {
        let OriginRecord { stream, origin } = record;
        let mut relayed = origins.relayed.borrow_mut();
        let entry = relayed.entry(stream).or_insert(RelayedStream {
            origin,
            requests: 0,
        });
        entry.requests += 1;
        Self {
            relayed: Rc::clone(&origins.relayed),
            stream,
        }
    }
}

impl Drop for RelayedStreamGuard {
    fn drop(&mut self) {
        let mut relayed = self.relayed.borrow_mut();
        let Some(entry) = relayed.get_mut(&self.stream) else {
            return;
        };
        entry.requests -= 1;
        if entry.requests == 0 {
            relayed.remove(&self.stream);
        }
    }
}
