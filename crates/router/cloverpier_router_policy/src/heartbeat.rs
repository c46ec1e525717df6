//! Recipients of heartbeats and changes, and the time for which a peer's heartbeat and load report are valid.
//!
//! - **Question.** Which peers receive this heartbeat or change, and after what silence is a peer no longer
//!   considered alive?
//! - **Inputs.** The heartbeat interval from the settings; the addresses of all peers; whether peers rely on
//!   this router to watch the store.
//! - **Result.** Addresses of recipients; durations.
//! - **Why.** Datagrams cost processor time and bandwidth, and the number that a router sends must not grow
//!   with the fleet. So a router sends each heartbeat to a bounded number of peers in rotation, and the
//!   timeout of a peer grows with the length of the rotation. The loss of a datagram matters little, because
//!   the next heartbeat repeats the whole state.
//!
//! The daemon `cloverpierd` has heartbeats of its own, which detect members to remove
//! (`cloverpier_member::detector`). The router's heartbeats only carry load, budgets and versions, and no
//! safety property depends on them.
//!
//! Owns the bounds on the contents of one message. The crate `cloverpier_router` defines the messages.

use std::net::SocketAddr;
use std::time::Duration;

/// Number of peers that receive each heartbeat. In a fleet with more peers, recipients rotate.
const PEERS_PER_HEARTBEAT: usize = 16;
/// Number of intervals between a peer's heartbeats for which the peer is considered alive without a further
/// one, so that single lost datagrams don't matter.
const TIMEOUT_INTERVALS: u32 = 3;
/// Minimum timeout of a peer, however frequent heartbeats are, as a paused VM sends none.
const MIN_PEER_TIMEOUT: Duration = Duration::from_millis(1_100);
/// Minimum time for which a peer's load report is valid.
const MIN_LOAD_TTL: Duration = Duration::from_millis(1_500);
/// Maximum number of peers that receive a change at once, and the maximum number of peers in a small fleet.
/// In a small fleet, load changes reach all peers. In a larger one, routers query the engines for their load
/// ([`crate::load_query`]), and a change carries only suspicions, to this many random peers.
const MAX_PEERS_PER_CHANGE: usize = 96;

/// Number of random peers that each heartbeat names, by which routers discover each other. An address takes
/// 15 of the heartbeat's approximately 250 bytes.
pub const MENTIONED_PEERS: usize = 3;
/// Number of random peers that the first heartbeat to a new peer names.
pub const MENTIONED_TO_NEW_PEER: usize = 16;
/// Maximum number of new peers that are sent a first heartbeat in one round of sending. Further new peers
/// follow after [`MIN_SEND_PAUSE`].
pub const MAX_NEW_PEERS_PER_ROUND: usize = 32;
/// Maximum number of load reports, of suspected upstreams and of prompt locations in one message. With 64 of
/// each, a message stays within [`MAX_DATAGRAM`].
pub const MAX_ENTRIES: usize = 64;
/// Length in bytes of the longest datagram that a router accepts.
pub const MAX_DATAGRAM: usize = 8_192;
/// Minimum pause between two rounds of sending, so that a burst of changes goes into one message.
pub const MIN_SEND_PAUSE: Duration = Duration::from_millis(10);
/// Interval at which the seeds from the settings are added to the peers again, because all peers may have
/// been removed after a long silence.
pub const SEED_PERIOD: Duration = Duration::from_secs(2);

/// How long after its last heartbeat a peer is considered alive in a small fleet. Large fleets use
/// [`crate::membership::MEMBER_TIMEOUT`].
pub fn peer_timeout(heartbeat_interval: Duration, known_peers: usize) -> Duration {
    let turns = u32::try_from(known_peers.div_ceil(PEERS_PER_HEARTBEAT)).unwrap_or(u32::MAX);
    let interval_per_peer = heartbeat_interval * turns.max(1);
    (interval_per_peer * TIMEOUT_INTERVALS).max(MIN_PEER_TIMEOUT)
}

/// How long a peer's load report is valid: as long as the peer is considered alive after a heartbeat, but at least
/// 1.5 s.
pub fn load_ttl(peer_timeout: Duration) -> Duration {
    peer_timeout.max(MIN_LOAD_TTL)
}

/// The position in the rotation of heartbeats among peers.
#[derive(Clone, Copy, Debug, Default)]
pub struct HeartbeatRotation {
    next: usize,
}

impl HeartbeatRotation {
    /// Returns the recipients of the next heartbeat, and advances the rotation. All peers receive it if there
    /// are at most 16, or if they rely on this router to watch the store (`serves_peers`).
    pub fn next_peers(
        &mut self,
        mut peers: Vec<SocketAddr>,
        serves_peers: bool,
    ) -> Vec<SocketAddr> {
        if peers.len() <= PEERS_PER_HEARTBEAT || serves_peers {
            return peers;
        }
        peers.sort_unstable();
        let start = self.next % peers.len();
        self.next = self.next.wrapping_add(PEERS_PER_HEARTBEAT);
        peers.rotate_left(start);
        peers.truncate(PEERS_PER_HEARTBEAT);
        peers
    }
}

/// The peers to notify at once of a new version of the configuration or of the upstreams. All peers are
/// notified if there are at most 16, or if they rely on this router to watch the store (`serves_peers`).
/// Otherwise 16 random ones are, so that a router without the version receives notices from many routers that
/// have it. With a rotation, routers would notify the same peers at the same time.
pub fn version_recipients(
    peers: Vec<SocketAddr>,
    serves_peers: bool,
    rng: &mut fastrand::Rng,
) -> Vec<SocketAddr> {
    if peers.len() <= PEERS_PER_HEARTBEAT || serves_peers {
        return peers;
    }
    rng.choose_multiple(peers, PEERS_PER_HEARTBEAT)
}

/// Whether a router sends a first heartbeat to a new peer that another peer's heartbeat named. It does not in
/// a large fleet, where gossip delivers all members: if 1,000 routers all sent each other first heartbeats,
/// that would be a million messages of 2 kB within two seconds.
pub fn contacts_mentioned_peers(known_peers: usize) -> bool {
    is_small_fleet(known_peers)
}

/// Whether a fleet is small enough for each change to be sent to all peers, so that a router has the exact
/// load that its peers put on each upstream. Large fleets use gossip and load queries instead.
pub fn is_small_fleet(known_peers: usize) -> bool {
    known_peers <= MAX_PEERS_PER_CHANGE
}

/// The peers that are sent a change at once: all of them in a small fleet, 96 random ones in a large one.
pub fn change_recipients(peers: Vec<SocketAddr>, rng: &mut fastrand::Rng) -> Vec<SocketAddr> {
    if is_small_fleet(peers.len()) {
        return peers;
    }
    rng.choose_multiple(peers, MAX_PEERS_PER_CHANGE)
}
