//! What this router sends its peers next.
//!
//! Owns the messages, reports and greetings that wait for the next round of [`crate::heartbeats`], and the
//! signal that begins one early.

use crate::peer_messages::PeerMessage;
use cloverpier_core::UpstreamName;
use cloverpier_router_policy::prelude::*;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use tokio::sync::Notify;

/// Who gets a message.
#[derive(Clone, Debug)]
pub(crate) enum Recipients {
    /// All peers.
    All,
    /// All, or where they are many some of them, who hand it on.
    LargeSample,
    /// A few of them, picked at random.
    SmallSample,
    /// Those that whoever gets something for the first time passes it on to, in a large fleet.
    ForwardTargets,
    /// These.
    Only(Vec<SocketAddr>),
}

/// What waits to be sent.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    /// Upstreams of which the load or a suspicion is to be reported at once.
    changed_upstreams: RefCell<Vec<UpstreamName>>,
    /// Prompts that engines began to read since the last report.
    new_prompt_locations: RefCell<Vec<(PromptKey, UpstreamKey)>>,
    /// Messages that are sent as they are, each once.
    outgoing: RefCell<Vec<(PeerMessage, Recipients)>>,
    /// Peers that were not known before, to be sent a first heartbeat.
    new_peers: RefCell<Vec<SocketAddr>>,
    /// Wakes the sender of datagrams.
    sender_woken: Notify,
    /// Whether a heartbeat is due at once, as the last one says something older.
    heartbeat_due: Cell<bool>,
}

impl Outbox {
    /// Has a first heartbeat sent to a peer.
    pub fn queue_first_heartbeat(&self, peer: SocketAddr) {
        self.new_peers.borrow_mut().push(peer);
        self.sender_woken.notify_one();
    }

    /// Takes some of the peers that are to be sent a first heartbeat.
    pub fn take_new_peers(&self, most: usize) -> Vec<SocketAddr> {
        let mut new = self.new_peers.borrow_mut();
        let count = new.len().min(most);
        new.drain(..count).collect()
    }

    /// Whether some are left.
    pub fn has_new_peers(&self) -> bool {
        !self.new_peers.borrow().is_empty()
    }

    /// Has an upstream's load, or a suspicion of it, reported at once.
    pub fn report_upstream(&self, upstream: &UpstreamName) {
        self.changed_upstreams.borrow_mut().push(upstream.clone());
        self.sender_woken.notify_one();
    }

    /// Has a message sent.
    pub fn send(&self, message: PeerMessage, to: Recipients) {
        self.outgoing.borrow_mut().push((message, to));
        self.sender_woken.notify_one();
    }

    /// Empties the list of messages to send.
    pub fn drain_outgoing(&self) -> Vec<(PeerMessage, Recipients)> {
        std::mem::take(&mut *self.outgoing.borrow_mut())
    }

    /// Has the location of a prompt reported with the next change.
    pub fn report_prompt_location(&self, prompt: PromptKey, engine: UpstreamKey) {
        let mut locations = self.new_prompt_locations.borrow_mut();
        locations.push((prompt, engine));
    }

    /// Has a heartbeat sent at once: a version here has changed.
    pub fn schedule_heartbeat(&self) {
        self.heartbeat_due.set(true);
        self.sender_woken.notify_one();
    }

    /// Whether a heartbeat is due at once; it counts as sent then.
    pub fn take_heartbeat_due(&self) -> bool {
        self.heartbeat_due.take()
    }

    /// Empties the list of upstreams to report.
    pub fn drain_changed_upstreams(&self) -> Vec<UpstreamName> {
        std::mem::take(&mut *self.changed_upstreams.borrow_mut())
    }

    /// Empties the list of prompt locations to report.
    pub fn drain_prompt_locations(&self) -> Vec<(PromptKey, UpstreamKey)> {
        std::mem::take(&mut *self.new_prompt_locations.borrow_mut())
    }

    /// Has the sender of datagrams look for messages.
    pub fn wake(&self) {
        self.sender_woken.notify_one();
    }

    /// Waits until there is something to report.
    pub async fn sender_woken(&self) {
        self.sender_woken.notified().await;
    }
}
