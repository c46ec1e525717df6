//! Which peers are sent what, and how long it counts.
//!
//! - **Question.** Who gets this heartbeat or change, and after what silence is a peer not
//!   considered alive any more?
//! - **Inputs.** The heartbeat interval of the settings; the peers that are known; whether
//!   peers rely on this router for the store.
//! - **Answer.** Addresses; durations.
//! - **Why.** Datagrams cost processor time and bytes, which must not grow with the fleet.
//!   So a router sends each heartbeat to a bounded part of its peers, in turns, and a peer
//!   counts as alive for as many turns as one heartbeat from it takes. A lost datagram costs
//!   little: the next heartbeat repeats everything.
//!
//! `cloverpierd`'s heartbeats find members to remove (`cloverpier_member::detector`); these only
//! carry load, budgets and updates over datagrams, as nothing of safety depends on a peer here.
//!
//! Owns the bounds of what one message holds. The messages themselves are the carrying-out
//! crate's.

use std::net::SocketAddr;
use std::time::Duration;

/// Peers that get each heartbeat; with more of them they take turns.
const PEERS_PER_TURN: usize = 16;
/// Heartbeats of a peer that may be lost in a row.
const MAX_LOST: u32 = 3;
/// A peer is alive for at least this long after its last heartbeat, also where heartbeats are
/// frequent: a VM may be paused.
const MIN_PEER_TIMEOUT: Duration = Duration::from_millis(1_100);
/// A report of load counts for at least this long.
const MIN_LOAD_TTL: Duration = Duration::from_millis(1_500);
/// Changes of load are sent while there are at most this many peers, so that they reach all; beyond
/// it engines are asked ([`crate::load_query`]) and this many peers learn of suspicions alone.
const MAX_PEERS_PER_CHANGE: usize = 96;

/// Peers that one heartbeat mentions, by which routers discover each other; an address takes 15
/// bytes of some 250.
pub const MENTIONED_PEERS: usize = 3;
/// Peers that the first heartbeat to a peer mentions.
pub const MENTIONED_TO_NEW_PEER: usize = 16;
/// New peers that are sent a first heartbeat at the same time; the others follow after
/// [`MIN_SEND_PAUSE`].
pub const MAX_NEW_PEERS_PER_ROUND: usize = 32;
/// Upstreams, suspects or prompts in one message; with 64 of each a message stays within
/// [`MAX_DATAGRAM`].
pub const MAX_ENTRIES: usize = 64;
/// Bytes of the longest datagram that is read.
pub const MAX_DATAGRAM: usize = 8_192;
/// Least pause between two rounds of sending, so that a burst of changes is one message.
pub const MIN_SEND_PAUSE: Duration = Duration::from_millis(10);
/// How often the seeds of the settings are taken up again, as all peers may have been forgotten.
pub const SEED_PERIOD: Duration = Duration::from_secs(2);

/// How long after its last heartbeat a peer is considered alive.
pub fn peer_timeout(heartbeat_interval: Duration, known_peers: usize) -> Duration {
    let turns = u32::try_from(known_peers.div_ceil(PEERS_PER_TURN)).unwrap_or(u32::MAX);
    let between_two = heartbeat_interval * turns.max(1);
    (between_two * MAX_LOST).max(MIN_PEER_TIMEOUT)
}

/// How long a peer's report of load counts.
pub fn load_ttl(peer_timeout: Duration) -> Duration {
    peer_timeout.max(MIN_LOAD_TTL)
}

/// Where the turns among peers have got to.
#[derive(Clone, Copy, Debug, Default)]
pub struct HeartbeatRotation {
    next: usize,
}

impl HeartbeatRotation {
    /// The peers that get the next heartbeat: all, where peers rely on this router for the
    /// store or are few; else those whose turn it is.
    pub fn next_peers(
        &mut self,
        mut peers: Vec<SocketAddr>,
        serves_peers: bool,
    ) -> Vec<SocketAddr> {
        if peers.len() <= PEERS_PER_TURN || serves_peers {
            return peers;
        }
        peers.sort_unstable();
        let start = self.next % peers.len();
        self.next = self.next.wrapping_add(PEERS_PER_TURN);
        peers.rotate_left(start);
        peers.truncate(PEERS_PER_TURN);
        peers
    }
}

/// The peers that are notified at once that a version has changed: all, where peers rely on this
/// router for the store or are few; else some picked at random, so that whoever looks for the
/// version learns of many routers that have it. In turns, routers would notify the same peers at the
/// same time.
pub fn version_recipients(
    peers: Vec<SocketAddr>,
    serves_peers: bool,
    rng: &mut fastrand::Rng,
) -> Vec<SocketAddr> {
    if peers.len() <= PEERS_PER_TURN || serves_peers {
        return peers;
    }
    rng.choose_multiple(peers, PEERS_PER_TURN)
}

/// Whether a peer that is not known gets a first message because another one mentioned it. In a large
/// fleet gossip names all members: 1,000 routers that greet each other are a million messages of
/// 2 kB within two seconds.
pub fn contacts_mentioned_peers(known_peers: usize) -> bool {
    is_small_fleet(known_peers)
}

/// Whether a change reaches all peers, so that their load is known exactly.
pub fn is_small_fleet(known_peers: usize) -> bool {
    known_peers <= MAX_PEERS_PER_CHANGE
}

/// The peers that get a change at once: all, or some picked at random where they are many.
pub fn change_recipients(peers: Vec<SocketAddr>, rng: &mut fastrand::Rng) -> Vec<SocketAddr> {
    if is_small_fleet(peers.len()) {
        return peers;
    }
    rng.choose_multiple(peers, MAX_PEERS_PER_CHANGE)
}
