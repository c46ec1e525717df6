//! Selection of the starting routers that read configuration and upstreams from the store.
//!
//! - **Question.** Does a router that has just started read configuration and upstreams from the store now,
//!   or does it wait until a peer delivers them?
//! - **Inputs.** Whether the router is a seed; how long ago it started; whether it has received messages from
//!   a peer; the size of the fleet as peers report it.
//! - **Result.** A [`FirstRead`].
//! - **Why.** The size of a read grows with the client accounts and upstreams, and the number of reads with
//!   the routers. If 1,000 routers with 10,000 upstreams started at once and all read, the store would send
//!   2 GB of upstreams, which occupy its link for 16 s, and 1,000 configurations of 200 kB, which take 1.6 s.
//!   So only the seeds read at once, and a few other routers as soon as peers report that the fleet is large,
//!   because the seeds are busy with the first heartbeats of all other routers. The number of routers that
//!   have the data doubles with the time of each copy. If no peer delivers the data, for example because the
//!   reading routers can't reach the store, more and more of the other routers read, in the order of their
//!   random numbers.
//!
//! A router serves callers only after it has the data, so after the loss of all routers no caller is served
//! before.
//!
//! Owns no state.

use crate::heartbeat::is_small_fleet;
use std::time::Duration;

/// A router that has received no message from a peer this long after its start reads from the store. Seeds
/// reply to a first heartbeat within a few milliseconds, and within 100 ms if 1,000 routers send them one at
/// once.
const NO_PEER_TIMEOUT: Duration = Duration::from_millis(250);
/// A router of a small fleet that has no data from a peer this long after its start reads from the store; the
/// seeds' own reads take a few milliseconds.
const SMALL_FLEET_DELAY: Duration = Duration::from_millis(100);
/// Expected number of routers of a large fleet that read at once, in addition to the seeds.
const IMMEDIATE_READERS: f64 = 4.0;
/// How long the other routers of a large fleet wait for data from a peer before the first of them read from the
/// store; a long list of upstreams takes seconds on a small VM.
const LARGE_FLEET_DELAY: Duration = Duration::from_secs(3);
/// In this time, the number of routers of a large fleet that have begun to read from the store doubles, as long
/// as no peer delivers the data.
const READER_DOUBLING_TIME: Duration = Duration::from_millis(1_500);

/// The state of a router that has just started, as far as its first read from the store depends on it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StartupState {
    /// Whether the settings name this router as a seed, or name no seeds.
    pub is_seed: bool,
    /// Time since the start of the process.
    pub age: Duration,
    /// Whether this router has received a message from a peer.
    pub has_peers: bool,
    /// Number of peers, as messages from peers show it.
    pub peers: usize,
    /// A number drawn once at the start, uniformly distributed between 0 and 1. Routers with smaller numbers
    /// read earlier.
    pub random: f64,
}

/// Whether a starting router reads from the store now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FirstRead {
    /// The router reads now.
    Now,
    /// The router reads when this time has passed since its start, unless its [`StartupState`] changes before.
    NotBefore(Duration),
}

/// Decides whether a starting router reads configuration and upstreams from the store.
pub fn first_read(starting: &StartupState) -> FirstRead {
    let read_age = if starting.is_seed {
        Duration::ZERO
    } else if !starting.has_peers {
        NO_PEER_TIMEOUT
    } else if is_small_fleet(starting.peers) {
        SMALL_FLEET_DELAY
    } else {
        large_fleet_delay(starting.random * starting.peers as f64)
    };
    if starting.age >= read_age {
        FirstRead::Now
    } else {
        FirstRead::NotBefore(read_age)
    }
}

/// How long after its start a router of a large fleet reads from the store if `preceding_routers` others have
/// smaller random numbers. The first [`IMMEDIATE_READERS`] don't wait.
fn large_fleet_delay(preceding_routers: f64) -> Duration {
    if preceding_routers < IMMEDIATE_READERS {
        return Duration::ZERO;
    }
    let doublings = (preceding_routers / IMMEDIATE_READERS).log2();
    LARGE_FLEET_DELAY + READER_DOUBLING_TIME.mul_f64(doublings)
}
