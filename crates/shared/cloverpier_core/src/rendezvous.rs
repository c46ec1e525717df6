//! Rendezvous hashing and random jitter.
//!
//! Owns no state. Routers agree by these hashes, without messages, on which of them watches the store or
//! holds a slot. The hashes must therefore be the same in every release.

use std::time::Duration;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// A hash of text that is the same on every VM and in every release.
pub fn hash_of(text: &str) -> u64 {
    xxh3_64(text.as_bytes())
}

/// Sorts nodes by their rendezvous weight for a key, from the highest to the lowest.
///
/// Removing a node does not change the order of the others (Thaler and Ravishankar, "Using name-based
/// mappings to increase hit rates", 1998).
pub fn rendezvous_rank<T>(key: u64, nodes: &[T], name: impl Fn(&T) -> &str) -> Vec<&T> {
    let mut weighted: Vec<(u64, &T)> = nodes
        .iter()
        .map(|n| (xxh3_64_with_seed(name(n).as_bytes(), key), n))
        .collect();
    weighted.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| name(a.1).cmp(name(b.1))));
    weighted.into_iter().map(|(_, n)| n).collect()
}

/// A random duration from half of `duration` to all of it, uniformly distributed, in whole milliseconds.
pub fn jitter(rng: &mut fastrand::Rng, duration: Duration) -> Duration {
    let ms = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
    Duration::from_millis(rng.u64(ms / 2..=ms))
}
