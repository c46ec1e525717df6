//! Who reads configuration and upstreams from the store at a start.
//!
//! - **Question.** Does a router that has just started read them from the store now, or does it wait for
//!   a peer to hand them on?
//! - **Inputs.** Whether it is one of the seeds; how long ago it started; whether it has received messages
//!   from a peer, and how large the fleet is by what peers say.
//! - **Answer.** A [`FirstRead`].
//! - **Why.** What is read grows with accounts and upstreams, and the reads with the routers: 1,000 routers
//!   that start at once before 10,000 upstreams would have the store send 2 GB, which takes its link 16 s,
//!   and a configuration of 200 kB, which takes 1.6 s. So the seeds read, and a few others as soon as they
//!   know that the fleet is large, since seeds are busy with the routers that greet them. Those that have
//!   something double with each copy's time. Where nobody hands anything on, as the store is away from
//!   those that read, more and more of the others read, in the order of their random numbers.
//!
//! Which routers serve callers waits for this: after the loss of all routers nobody does before.
//!
//! Owns no state.

use crate::heartbeat::is_small_fleet;
use std::time::Duration;

/// A router that has received messages from no peer after this time reads by itself: seeds answer within a
/// few milliseconds, and within a tenth of a second where 1,000 routers greet them at once.
const FIRST_WORD: Duration = Duration::from_millis(250);
/// A router of a small fleet that was handed nothing after this time reads by itself: seeds have read
/// after some milliseconds.
const SMALL_FLEET: Duration = Duration::from_millis(100);
/// Routers of a large fleet that read at once, besides the seeds.
const FIRST_READERS: f64 = 4.0;
/// After this time as many others read, if they were handed nothing: a long list takes seconds on a small
/// VM.
const HANDED_WITHIN: Duration = Duration::from_secs(3);
/// After each such time twice as many have begun to.
const DOUBLING: Duration = Duration::from_millis(1_500);

/// A router that has just started.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StartupState {
    /// Whether the settings name it as a seed, or name none.
    pub is_seed: bool,
    /// How long ago it started.
    pub age: Duration,
    /// Whether it has received messages from a peer.
    pub has_peers: bool,
    /// Number of routers that peers speak of.
    pub peers: usize,
    /// Drawn evenly from 0 to 1 at the start.
    pub random: f64,
}

/// Whether the store is read now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FirstRead {
    /// Now.
    Now,
    /// Not before it is so old, unless something changes.
    NotBefore(Duration),
}

/// Decides whether a router reads by itself.
pub fn first_read(starting: &StartupState) -> FirstRead {
    let from = if starting.is_seed {
        Duration::ZERO
    } else if !starting.has_peers {
        FIRST_WORD
    } else if is_small_fleet(starting.peers) {
        SMALL_FLEET
    } else {
        large_fleet_wait(starting.random * starting.peers as f64)
    };
    if starting.age >= from {
        FirstRead::Now
    } else {
        FirstRead::NotBefore(from)
    }
}

/// How long a router waits that this many of a large fleet precede.
fn large_fleet_wait(before: f64) -> Duration {
    if before < FIRST_READERS {
        return Duration::ZERO;
    }
    let doublings = (before / FIRST_READERS).log2();
    HANDED_WITHIN + DOUBLING.mul_f64(doublings)
}
