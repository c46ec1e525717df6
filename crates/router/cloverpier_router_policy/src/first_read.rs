//! Who reads configuration and upstreams from the store at a start.
//!
//! - **Question.** Does a router that has just started read them from the store now, or does it wait for
//!   a peer to hand them on?
//! - **Inputs.** Whether it is one of the seeds; how long ago it started; whether it has heard from a
//!   peer, and how large the fleet is by what peers say.
//! - **Answer.** A [`FirstRead`].
//! - **Why.** What is read grows with accounts and upstreams, and the reads with the routers: 1,000
//!   routers that start at once before 10,000 upstreams would have the store send 2 GB, which takes its
//!   link 16 s, and a configuration of 200 kB, which takes 1.6 s. So the seeds read, and those that have
//!   something double with each copy's time. Where no peer answers, or none hands on in time what a few
//!   routers may as well read, each reads by itself.
//!
//! Owns no state.

use crate::heartbeat::reaches_all_peers;
use std::time::Duration;

/// A router that has heard from no peer after this time reads by itself: seeds answer within a few
/// milliseconds, and within a tenth of a second where 1,000 routers greet them at once.
const FIRST_WORD: Duration = Duration::from_millis(250);
/// A router of a small fleet that was handed nothing after this time reads by itself: seeds have read
/// after some milliseconds.
const SMALL_FLEET: Duration = Duration::from_millis(100);
/// A router of a large fleet that was handed nothing after this time reads by itself.
const HANDED_WITHIN: Duration = Duration::from_secs(3);
/// Those that read by themselves after that spread over this time.
const SPREAD: Duration = Duration::from_secs(4);

/// A router that has just started.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Starting {
    /// Whether the settings name it as a seed, or name none.
    pub is_seed: bool,
    /// How long ago it started.
    pub age: Duration,
    /// Whether it has heard from a peer.
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
pub fn first_read(starting: &Starting) -> FirstRead {
    let from = if starting.is_seed {
        Duration::ZERO
    } else if !starting.has_peers {
        FIRST_WORD
    } else if reaches_all_peers(starting.peers) {
        SMALL_FLEET
    } else {
        HANDED_WITHIN + SPREAD.mul_f64(starting.random)
    };
    if starting.age >= from {
        FirstRead::Now
    } else {
        FirstRead::NotBefore(from)
    }
}
