//! What routers of a large fleet say of each other.
//!
//! Owns no state. Relies on nothing but the order of stamps, which a router raises with each change of
//! its own state.

use crate::peers::PeerState;
use cloverpier_core::DataCentre;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What a router is said to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// It runs, in this state.
    Alive(PeerState),
    /// It does not answer.
    Dead,
}

/// What is said of one router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// The router's address for peers.
    pub router: SocketAddr,
    /// Where it serves callers.
    pub callers: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// What it is.
    pub state: MemberState,
    /// Orders what is said of this router.
    pub stamp: u64,
}

/// A member that lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LiveMember<'a> {
    /// Its address for peers.
    pub router: SocketAddr,
    /// Where it serves callers.
    pub callers: SocketAddr,
    /// Its data centre.
    pub data_centre: &'a DataCentre,
    /// Whether it takes new callers.
    pub state: PeerState,
}

/// The result of hearing something of a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// Nothing new.
    Known,
    /// It was not known, or it is something else than it was.
    Changed,
    /// It says of itself that it runs, and it counts as dead here: it has to be informed.
    TakenForDead,
}

/// What a message of gossip says of members.
#[derive(Clone, Copy, Debug)]
pub struct GossipSeen<'a> {
    /// What the sender says of itself.
    pub sender: &'a MemberUpdate,
    /// Whether it waits for a message.
    pub wants_reply: bool,
    /// How many members it knows.
    pub members: usize,
    /// See [`Membership::digest`].
    pub digest: u64,
    /// What is new of others.
    pub updates: &'a [MemberUpdate],
}

/// What the sender of a message gets.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GossipReply {
    /// Whether the sender was not known, starts, or is something else than it was.
    pub is_newcomer: bool,
    /// What it has to know of itself: that it counts as dead.
    pub of_itself: Option<MemberUpdate>,
    /// Whether it gets a message.
    pub message: bool,
    /// Members that go into that message, as it knows few.
    pub sample: Vec<MemberUpdate>,
    /// Whether it is asked for all members, as it knows many more.
    pub ask_members: bool,
}
