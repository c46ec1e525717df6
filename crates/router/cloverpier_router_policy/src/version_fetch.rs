//! From which peer newer versions are fetched.
//!
//! - **Question.** Does a live peer have a newer configuration or list of upstreams, and
//!   which one is asked for it?
//! - **Inputs.** The version in force here; the versions that live peers reported.
//! - **Answer.** One of the peers with the newest version, by chance, or none.
//! - **Why.** Most routers do not watch the store, so this is how versions reach them; by
//!   chance, since all routers see the same peers.

use std::net::SocketAddr;
use std::time::Duration;

/// A router that watches the store gives it this much time to deliver a version before it
/// fetches it from a peer.  Chosen, not measured.
pub const STORE_FIRST: Duration = Duration::from_millis(400);
/// How long a fetch may take, and its connection.  Chosen, not measured.
pub const FETCH_TIMEOUT: Duration = Duration::from_millis(800);
/// Versions are compared at least this often, also without a heartbeat that shows a newer
/// one.  Chosen, not measured.
pub const COMPARE_PERIOD: Duration = Duration::from_millis(500);
/// Pause after a fetch that failed; the next one goes to any of the newest peers again.
/// Chosen, not measured.
pub const FAILURE_PAUSE: Duration = Duration::from_millis(100);

/// The peer to fetch from, where one of `peers` has a version above `known`.
pub fn peer_to_fetch_from(
    known: u64,
    peers: impl IntoIterator<Item = (SocketAddr, u64)>,
    rng: &mut fastrand::Rng,
) -> Option<SocketAddr> {
    let peers: Vec<(SocketAddr, u64)> = peers.into_iter().collect();
    let newest = peers.iter().map(|(_, version)| *version).max()?;
    if newest <= known {
        return None;
    }
    let with_newest = peers.into_iter().filter(|(_, version)| *version == newest);
    let addresses: Vec<SocketAddr> = with_newest.map(|(peer, _)| peer).collect();
    rng.choice(addresses)
}
