//! Membership updates, and the inputs and results of processing a gossip message.
//!
//! Owns no state. Relies on the order of stamps: a router raises its stamp with each change of its own state.

use crate::peers::PeerState;
use cloverpier_core::DataCentre;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The state of a router in a membership update.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// The router runs and is in this state.
    Alive(PeerState),
    /// The router did not reply to probes.
    Dead,
}

/// The state of one router, as routers report it to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// The router's address for peers, which identifies the router.
    pub router: SocketAddr,
    /// The address at which the router serves callers.
    pub callers: SocketAddr,
    /// The data centre in which the router runs.
    pub data_centre: DataCentre,
    /// Whether the router is alive, and if so, its state between its start and its shutdown.
    pub state: MemberState,
    /// Orders updates about this router: the highest stamp is the newest. With equal stamps, `Dead` overrides
    /// `Alive`. The router raises its stamp with each change of its state, and to refute its death.
    pub stamp: u64,
}

/// A member that is recorded as alive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LiveMember<'a> {
    /// The member's address for peers.
    pub router: SocketAddr,
    /// The address at which the member serves callers.
    pub callers: SocketAddr,
    /// The data centre in which the member runs.
    pub data_centre: &'a DataCentre,
    /// The member's state between its start and its shutdown.
    pub state: PeerState,
}

/// The effect of an update on a router's record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateOutcome {
    /// The recorded state and address for callers stay the same, or the update was ignored.
    Unchanged,
    /// The update's router had no record here, or its recorded state or address for callers changed.
    Changed,
    /// The sender of a message is recorded as dead with a stamp at least as high as its own. The sender has to
    /// receive that record, and then refutes it with a higher stamp.
    RecordedDead,
}

/// The membership contents of a received gossip message.
#[derive(Clone, Copy, Debug)]
pub struct ReceivedGossip<'a> {
    /// The state that the sender reports for itself.
    pub sender: &'a MemberUpdate,
    /// Whether the sender requires a gossip message as a reply, because it probes this router or has just
    /// started.
    pub wants_reply: bool,
    /// Number of live members in the sender's record, without the sender.
    pub members: usize,
    /// The digest of the sender's record; see [`super::Membership::digest`].
    pub digest: u64,
    /// Updates about other routers.
    pub updates: &'a [MemberUpdate],
}

/// The messages to send back to the sender of a gossip message.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GossipReply {
    /// Whether the sender had no record here, is starting, or changed its state or address for callers. The
    /// sender may then lack facts that other routers received earlier.
    pub is_new_or_changed: bool,
    /// This router's record of the sender as dead, which the sender has to refute; `None` if the sender is not
    /// recorded as dead, or if its message already refuted the record.
    pub dead_update: Option<MemberUpdate>,
    /// Whether the sender is sent a gossip message.
    pub send_gossip: bool,
    /// Random members to add to the gossip message for the sender; empty unless the sender requires a reply and
    /// has fewer members than this router.
    pub sample: Vec<MemberUpdate>,
    /// Whether to request the sender's member list, because this router's record lacks members or updates.
    pub request_members: bool,
}
