//! The queue of messages and reports for peers.
//!
//! [`Outbox`] owns what the next round of sending in [`crate::heartbeats`] sends, and the signal that starts
//! a round before the next heartbeat is due. Relies on that loop to drain the queues.

use crate::peer_messages::PeerMessage;
use cloverpier_core::UpstreamName;
use cloverpier_router_policy::prelude::*;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use tokio::sync::Notify;

/// The recipients of a message, which are resolved to addresses when it is sent.
#[derive(Clone, Debug)]
pub(crate) enum Recipients {
    /// All peers. In a large fleet, some routers of each data centre, which forward the message to the rest.
    All,
    /// All peers of a small fleet, or 96 random peers of a large one.
    LargeSample,
    /// 16 random peers, or all if there are fewer.
    SmallSample,
    /// Four random live routers of this router's data centre. A router of a large fleet forwards a message to
    /// them when it receives the message for the first time.
    ForwardTargets,
    /// The peers at these addresses.
    Only(Vec<SocketAddr>),
}

/// Messages and reports for the next round of sending.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    /// Upstreams whose load or suspicion has changed since the last round; may contain duplicates.
    changed_upstreams: RefCell<Vec<UpstreamName>>,
    /// Prompts that engines have started to read since the last round, each with its engine.
    new_prompt_locations: RefCell<Vec<(PromptKey, UpstreamKey)>>,
    /// Complete messages, each of which is sent once.
    outgoing: RefCell<Vec<(PeerMessage, Recipients)>>,
    /// New peers that are to be sent a first heartbeat.
    new_peers: RefCell<Vec<SocketAddr>>,
    /// Wakes the loop that sends.
    sender_woken: Notify,
    /// Whether to send a heartbeat in the next round, because the last one contains an old version or store
    /// age.
    heartbeat_due: Cell<bool>,
}

impl Outbox {
    /// Queues a first heartbeat to a new peer.
    pub fn queue_first_heartbeat(&self, peer: SocketAddr) {
        self.new_peers.borrow_mut().push(peer);
        self.sender_woken.notify_one();
    }

    /// Removes and returns at most `max_count` peers that are to be sent a first heartbeat.
    pub fn take_new_peers(&self, max_count: usize) -> Vec<SocketAddr> {
        let mut new = self.new_peers.borrow_mut();
        let count = new.len().min(max_count);
        new.drain(..count).collect()
    }

    /// Whether peers wait for a first heartbeat.
    pub fn has_new_peers(&self) -> bool {
        !self.new_peers.borrow().is_empty()
    }

    /// Queues a report of an upstream's load and suspicion, and wakes the sender.
    pub fn report_upstream(&self, upstream: &UpstreamName) {
        self.changed_upstreams.borrow_mut().push(upstream.clone());
        self.sender_woken.notify_one();
    }

    /// Queues a message, and wakes the sender.
    pub fn send(&self, message: PeerMessage, to: Recipients) {
        self.outgoing.borrow_mut().push((message, to));
        self.sender_woken.notify_one();
    }

    /// Removes and returns the queued messages.
    pub fn drain_outgoing(&self) -> Vec<(PeerMessage, Recipients)> {
        std::mem::take(&mut *self.outgoing.borrow_mut())
    }

    /// Queues a report of the engine that reads a prompt. The report is sent only if the same round also
    /// reports a changed upstream, as at the start of a stream; otherwise that round drops it.
    pub fn report_prompt_location(&self, prompt: PromptKey, engine: UpstreamKey) {
        let mut locations = self.new_prompt_locations.borrow_mut();
        locations.push((prompt, engine));
    }

    /// Makes the next round send a heartbeat to some peers, because a version or the reported store age has
    /// changed, and wakes the sender.
    pub fn schedule_heartbeat(&self) {
        self.heartbeat_due.set(true);
        self.sender_woken.notify_one();
    }

    /// Whether to send a heartbeat in this round; clears the request.
    pub fn take_heartbeat_due(&self) -> bool {
        self.heartbeat_due.take()
    }

    /// Removes and returns the upstreams to report.
    pub fn drain_changed_upstreams(&self) -> Vec<UpstreamName> {
        std::mem::take(&mut *self.changed_upstreams.borrow_mut())
    }

    /// Removes and returns the prompt locations to report.
    pub fn drain_prompt_locations(&self) -> Vec<(PromptKey, UpstreamKey)> {
        std::mem::take(&mut *self.new_prompt_locations.borrow_mut())
    }

    /// Wakes the sender without queueing anything here, when members have left or died.
    pub fn wake(&self) {
        self.sender_woken.notify_one();
    }

    /// Waits until the sender is woken.
    pub async fn sender_woken(&self) {
        self.sender_woken.notified().await;
    }
}
