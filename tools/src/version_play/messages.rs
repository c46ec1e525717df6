//! Datagrams between the routers of the play, with delays and losses.

use super::world::{Event, World};
use cloverpier_router::peer_messages::{PeerMessage, encode};
use std::net::SocketAddr;
use std::time::Duration;

/// A datagram on its way.
#[derive(Clone, Debug)]
pub(super) struct Datagram {
    pub from: usize,
    pub message: PeerMessage,
    /// The stream, and its attempt, that waits for an acknowledgement.
    pub for_stream: Option<(usize, u32)>,
}

impl World {
    /// Sends a datagram to some routers, with delays and losses.
    pub(super) fn send(
        &mut self,
        from: usize,
        to: &[SocketAddr],
        message: &PeerMessage,
        stream: Option<(usize, u32)>,
    ) {
        // Routers do not send a message that cannot be encoded, either.
        let Ok(encoded) = encode(message) else {
            return;
        };
        for address in to {
            self.outcome.datagrams += 1;
            self.outcome.bytes += encoded.len();
            let Some(to) = self.by_address.get(address).copied() else {
                continue;
            };
            let is_lost = self.rng.f64() < self.spec.loss;
            if is_lost || !self.can_talk(from, to) {
                continue;
            }
            let delay = Duration::from_micros(self.rng.u64(300..2_500));
            let datagram = Box::new(Datagram {
                from,
                message: message.clone(),
                for_stream: stream,
            });
            self.schedule_in(delay, Event::Deliver { to, datagram });
        }
    }

    pub(super) fn on_datagram(&mut self, to: usize, datagram: Datagram) {
        if !self.is_running(to) {
            return;
        }
        if self.routers[to].is_suspended {
            self.routers[to].held.push(datagram);
            return;
        }
        let Datagram {
            from,
            message,
            for_stream,
        } = datagram;
        match message {
            PeerMessage::OriginRecords(message) => self.on_records(to, from, message, for_stream),
            PeerMessage::OriginAck(_) => self.on_ack(to, from, for_stream),
            PeerMessage::OriginQuery(query) => self.on_query(to, from, &query),
            PeerMessage::OriginReply(reply) => self.on_reply(to, reply),
            _ => {}
        }
    }
}
