//! Handles the messages of peers about the versions that began streams: keeps the records that they send, replies to
//! their queries, and passes acknowledgements and replies to the tasks that wait for them. Owns no state.

use super::lookup::{own_reply, wait_for_confirmation};
use crate::peer_messages::{
    OriginAck, OriginQuery, OriginRecordsMessage, OriginReply, PeerMessage,
};
use crate::router::Router;
use cloverpier_router_policy::stream_version::lookup::LookupReply;
use std::rc::Rc;
use std::time::Duration;

/// How long a reply waits for the store while this router starts. The peer waits for a little longer.
const CONFIRMATION_WAIT: Duration = Duration::from_millis(45);

/// Keeps the records that a peer sent, and acknowledges them if the peer waits for that.
pub(crate) fn on_records(router: &Router, message: OriginRecordsMessage) {
    let now = router.now();
    let mut records = router.stream_origins.records.borrow_mut();
    for record in message.records {
        records.write(record, now);
    }
    drop(records);
    if let Some(number) = message.number {
        let sender = router.settings().listen.peers;
        let ack = PeerMessage::OriginAck(OriginAck { sender, number });
        router.datagrams.send(&ack, &[message.sender]);
    }
}

/// Passes an acknowledgement to the stream that waits for it.
pub(crate) fn on_ack(router: &Router, ack: OriginAck) {
    let OriginAck { sender, number } = ack;
    router
        .stream_origins
        .unacknowledged
        .on_reply(number, sender);
}

/// Replies to a peer's query with the record that this router holds, and the versions of the service.
pub(crate) fn on_query(router: &Rc<Router>, query: OriginQuery) {
    if !router.store.is_confirming() {
        reply(router, &query);
        return;
    }
    let router = Rc::clone(router);
    tokio::task::spawn_local(async move {
        wait_for_confirmation(&router, CONFIRMATION_WAIT).await;
        reply(&router, &query);
    });
}

fn reply(router: &Router, query: &OriginQuery) {
    let LookupReply { origin, versions } = own_reply(router, query.stream, &query.service);
    let reply = PeerMessage::OriginReply(OriginReply {
        sender: router.settings().listen.peers,
        number: query.number,
        origin,
        versions,
    });
    router.datagrams.send(&reply, &[query.sender]);
}

/// Passes a reply to the lookup that waits for it.
pub(crate) fn on_reply(router: &Router, reply: OriginReply) {
    let OriginReply {
        sender,
        number,
        origin,
        versions,
    } = reply;
    let reply = LookupReply { origin, versions };
    router
        .stream_origins
        .queries
        .on_reply(number, (sender, reply));
}
