//! Records of streams in the play: sent to their holders, acknowledged, sent again.

use super::RecordTo;
use super::streams::Phase;
use super::world::{Event, World};
use cloverpier_router::peer_messages::{OriginAck, OriginRecordsMessage, PeerMessage};
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::store_watch::ReadyPeer;
use cloverpier_router_policy::stream_version::holders::{ACK_TIMEOUT, HolderCandidates, MIN_ACKS};
use std::collections::BTreeMap;
use std::net::SocketAddr;

impl World {
    /// The routers that get the record of a stream.
    fn holders(&self, stream: StreamKey, candidates: &Candidates<'_>) -> Vec<SocketAddr> {
        match self.spec.record_to {
            RecordTo::Holders => candidates.holders.holders(stream),
            RecordTo::All => candidates.peers.iter().map(|peer| peer.peer).collect(),
            RecordTo::Nobody => Vec::new(),
        }
    }

    /// Sends the record of a stream whose first event has arrived, and lets the event wait for acknowledgements.
    pub(super) fn record_before_first_event(&mut self, stream: usize, attempt: u32) {
        let router = self.streams[stream].router;
        let (Some(key), Some(origin)) = (self.key_of(stream), self.streams[stream].origin.clone())
        else {
            return;
        };
        let record = OriginRecord {
            stream: key,
            origin,
        };
        let now = self.instant();
        self.routers[router].records.write(record.clone(), now);
        let peers = self.ready_peers(router);
        let holders = self.holders(key, &Candidates::new(&peers));
        let needed = holders.len().min(MIN_ACKS);
        self.streams[stream].needed_acks = needed;
        if needed == 0 {
            self.pass_first_event(stream, attempt);
            return;
        }
        let message = PeerMessage::OriginRecords(OriginRecordsMessage {
            sender: self.routers[router].address,
            number: Some(u64::from(attempt)),
            records: vec![record],
        });
        self.send(router, &holders, &message, Some((stream, attempt)));
        self.schedule_in(ACK_TIMEOUT, Event::RecordTimeout { stream, attempt });
    }

    /// Sends the records of the streams that a router relays, if several versions may serve.
    pub(super) fn send_records(&mut self, router: usize) {
        if self.spec.record_to == RecordTo::Nobody {
            return;
        }
        let records = self.records_to_refresh(router);
        if records.is_empty() {
            return;
        }
        let now = self.instant();
        let peers = self.ready_peers(router);
        let candidates = Candidates::new(&peers);
        // The order of the messages is the same in each play of a seed.
        let mut by_holder: BTreeMap<SocketAddr, Vec<OriginRecord>> = BTreeMap::new();
        for record in records {
            for holder in self.holders(record.stream, &candidates) {
                by_holder.entry(holder).or_default().push(record.clone());
            }
            self.routers[router].records.write(record, now);
        }
        let sender = self.routers[router].address;
        for (holder, mut records) in by_holder {
            records.sort_by_key(|record| record.stream);
            let message = PeerMessage::OriginRecords(OriginRecordsMessage {
                sender,
                number: None,
                records,
            });
            self.send(router, &[holder], &message, None);
        }
    }

    /// The records of the streams that a router relays, as far as they are needed.
    fn records_to_refresh(&self, router: usize) -> Vec<OriginRecord> {
        let is_needed =
            self.routers[router].history.is_mixed(&self.service) || !self.has_contact(router);
        let relayed = &self.routers[router].relayed;
        let needed = relayed
            .iter()
            .filter(|(_, origin)| is_needed || origin.version.is_none());
        let records = needed.map(|(stream, origin)| OriginRecord {
            stream: *stream,
            origin: origin.clone(),
        });
        records.collect()
    }

    pub(super) fn on_records(
        &mut self,
        to: usize,
        from: usize,
        message: OriginRecordsMessage,
        stream: Option<(usize, u32)>,
    ) {
        let now = self.instant();
        for record in message.records {
            self.routers[to].records.write(record, now);
        }
        if let Some(number) = message.number {
            let sender = self.routers[to].address;
            let ack = PeerMessage::OriginAck(OriginAck { sender, number });
            let recipient = self.routers[from].address;
            self.send(to, &[recipient], &ack, stream);
        }
    }

    pub(super) fn on_ack(&mut self, to: usize, from: usize, stream: Option<(usize, u32)>) {
        let Some((stream, attempt)) = stream.filter(|(s, attempt)| self.is_current(*s, *attempt))
        else {
            return;
        };
        let state = &mut self.streams[stream];
        if state.router != to || !matches!(state.phase, Phase::Recording { .. }) {
            return;
        }
        state.acks.insert(from);
        if state.acks.len() >= state.needed_acks {
            self.pass_first_event(stream, attempt);
        }
    }
}

/// The routers that a router may send records to.
struct Candidates<'a> {
    peers: &'a [ReadyPeer],
    holders: HolderCandidates<'a>,
}

impl<'a> Candidates<'a> {
    fn new(peers: &'a [ReadyPeer]) -> Self {
        let holders = HolderCandidates::new(peers);
        Self { peers, holders }
    }
}
