//! Rendezvous hashing and seeded jitter.
//!
//! Functions without state. The hash is part of what routers agree on without talking
//! (who watches the store, who holds a slot), so it must be the same in every release.

use std::time::Duration;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// A stable hash of text, the same on every VM.
pub fn hash_of(text: &str) -> u64 {
    xxh3_64(text.as_bytes())
}

/// Orders nodes by rendezvous weight for a key, the heaviest first.
///
/// Removing a node leaves the order of the others as it was (Thaler and
/// Ravishankar, "Using name-based mappings to increase hit rates", 1998).
pub fn rank<T>(key: u64, nodes: &[T], name: impl Fn(&T) -> &str) -> Vec<&T> {
    let mut weighted: Vec<(u64, &T)> = nodes
        .iter()
        .map(|n| (xxh3_64_with_seed(name(n).as_bytes(), key), n))
        .collect();
    weighted.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| name(a.1).cmp(name(b.1))));
    weighted.into_iter().map(|(_, n)| n).collect()
}

/// Spreads a wait evenly over its half and its whole.
pub fn jitter(rng: &mut fastrand::Rng, wait: Duration) -> Duration {
    let ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
    Duration::from_millis(rng.u64(ms / 2..=ms))
}
