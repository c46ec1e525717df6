//! Sends the records of streams to the routers that hold them.
//!
//! `cloverpier_router_policy::stream_version` decides whether records are needed and who holds them. Datagrams may be
//! lost and holders may restart, so the records of all relayed streams are sent again each second. Owns no state:
//! [`super::StreamOrigins`] owns it.

use crate::peer_messages::{OriginRecordsMessage, PeerMessage};
use crate::router::Router;
use cloverpier_core::ServiceName;
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::store_watch::ReadyPeer;
use cloverpier_router_policy::stream_version::holders::{
    ACK_TIMEOUT, HolderCandidates, MIN_ACKS, REFRESH_PERIOD,
};
use cloverpier_router_policy::stream_version::lookup::REPEAT_AFTER;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// After this time since its start, a router has received a heartbeat from every running peer.
const PEER_DISCOVERY_TIME: Duration = Duration::from_secs(2);
/// Maximum number of records in one message. A record takes about 50 bytes and the name of the version, which may be 250
/// bytes long without exceeding the longest datagram.
const MAX_RECORDS_PER_MESSAGE: usize = 24;

/// The state of this router that determines which streams need records at other routers.
struct RecordNeed {
    /// The services that have upstreams of several versions, or had them until recently.
    mixed: HashSet<ServiceKey>,
    /// Whether this router or a peer reaches the store. Without that, upstreams of a new version may serve unnoticed.
    has_contact: bool,
}

impl RecordNeed {
    fn now(router: &Router) -> Self {
        let history = router.version_history.borrow();
        Self {
            mixed: history.mixed_services().map(ServiceKey::of).collect(),
            has_contact: router.store.has_contact(),
        }
    }

    fn applies_to(&self, origin: &StreamOrigin) -> bool {
        !self.has_contact || origin.version.is_none() || self.mixed.contains(&origin.service)
    }
}

/// Whether a stream with this origin needs a record at other routers now.
pub(crate) fn needs_record(router: &Router, origin: &StreamOrigin) -> bool {
    RecordNeed::now(router).applies_to(origin)
}

/// The versions of a service that should begin no streams yet, because another router's list may lack them.
pub(crate) fn held_versions(
    router: &Router,
    service: &ServiceName,
    now: Instant,
) -> Vec<StreamVersion> {
    let uptime = now.saturating_duration_since(router.lifecycle.started_at());
    let has_discovered_peers = uptime >= PEER_DISCOVERY_TIME;
    let lowest = router.peers.lowest_upstreams_revision();
    let lowest = lowest.filter(|_| has_discovered_peers);
    let history = router.version_history.borrow();
    history.held_for_streams(service, lowest, now)
}

/// Sends the record of a stream to its holders, and waits until enough of them hold it, at most for [`ACK_TIMEOUT`].
/// Returns the number of acknowledgements.
///
/// The stream goes on without them: if this router dies then, other routers do not know the version of the stream, and
/// refuse to continue it.
pub(crate) async fn secure_record(router: &Router, record: OriginRecord) -> usize {
    let now = router.now();
    let origins = &router.stream_origins;
    origins.records.borrow_mut().write(record.clone(), now);
    let peers = ready_peers(router);
    let holders = HolderCandidates::new(&peers).holders(record.stream);
    let needed = holders.len().min(MIN_ACKS);
    if needed == 0 {
        return 0;
    }
    let mut pending = origins.unacknowledged.begin();
    let message = PeerMessage::OriginRecords(OriginRecordsMessage {
        sender: router.settings().listen.peers,
        number: Some(pending.number),
        records: vec![record],
    });
    router.datagrams.send(&message, &holders);
    let deadline = now + ACK_TIMEOUT;
    let mut acked = HashSet::new();
    let mut repeat_at = Some(now + REPEAT_AFTER);
    while acked.len() < needed {
        // The message is repeated once.
        let wait_until = repeat_at.unwrap_or(deadline);
        match router.timers.timeout_at(wait_until, pending.next()).await {
            Ok(holder) => {
                acked.insert(holder);
            }
            // No acknowledgement arrived before the repetition was due.
            Err(_) if repeat_at.take().is_some() => {
                let silent = without(&holders, &acked);
                router.datagrams.send(&message, &silent);
            }
            // The deadline has passed.
            Err(_) => break,
        }
    }
    acked.len()
}

fn without(holders: &[SocketAddr], acked: &HashSet<SocketAddr>) -> Vec<SocketAddr> {
    let silent = holders.iter().filter(|holder| !acked.contains(holder));
    silent.copied().collect()
}

/// Sends the records of all relayed streams that need them, each [`REFRESH_PERIOD`] and when they become necessary,
/// until the process ends.
pub(crate) async fn refresh_records(router: Rc<Router>) {
    loop {
        tokio::select! {
            () = router.timers.sleep(REFRESH_PERIOD) => {}
            () = router.stream_origins.refresh_due.notified() => {}
        }
        send_records(&router);
    }
}

fn send_records(router: &Router) {
    let records = records_to_refresh(router);
    if records.is_empty() {
        return;
    }
    let now = router.now();
    let peers = ready_peers(router);
    let candidates = HolderCandidates::new(&peers);
    let mut by_holder: HashMap<SocketAddr, Vec<OriginRecord>> = HashMap::new();
    for record in records {
        for holder in candidates.holders(record.stream) {
            by_holder.entry(holder).or_default().push(record.clone());
        }
        let mut held = router.stream_origins.records.borrow_mut();
        held.write(record, now);
    }
    let sender = router.settings().listen.peers;
    for (holder, records) in by_holder {
        for records in records.chunks(MAX_RECORDS_PER_MESSAGE) {
            let message = PeerMessage::OriginRecords(OriginRecordsMessage {
                sender,
                number: None,
                records: records.to_vec(),
            });
            router.datagrams.send(&message, &[holder]);
        }
    }
}

fn records_to_refresh(router: &Router) -> Vec<OriginRecord> {
    let relayed = router.stream_origins.relayed.borrow();
    if relayed.is_empty() {
        return Vec::new();
    }
    let need = RecordNeed::now(router);
    let needed = relayed
        .iter()
        .filter(|(_, stream)| need.applies_to(&stream.origin));
    let records = needed.map(|(stream, relayed)| OriginRecord {
        stream: *stream,
        origin: relayed.origin.clone(),
    });
    records.collect()
}

/// The peers that are alive and ready, from which the holders of records are chosen.
pub(super) fn ready_peers(router: &Router) -> Vec<ReadyPeer> {
    router.peers.ready(router.now(), router.peer_timeout())
}
