//! Deals the room of a service among the ranks of the streams that wait.
//!
//! - **Question.** Which part of the waiting streams of each rank is sent now?
//! - **Inputs.** The room of the service; the number of streams of each rank that wait at all routers.
//! - **Result.** A fraction of each rank, which each router applies to its own streams of that rank.
//! - **Why.** All routers compute the same fractions from the same reports, so the streams that they send add up to
//!   the room on average, and to at most the room plus one stream for each router that has a fraction to round. With
//!   reports that are `n` turns old, they add up to at most `n + 1` times the room.
//!
//! Owns no state.

use super::order::Rank;
use std::collections::BTreeMap;
use std::time::Duration;

/// Interval between two turns of one router. Routers begin at a random time.
pub const TURN_INTERVAL: Duration = Duration::from_millis(50);
/// Fraction of the room that goes to streams other than the first rank's, so that no rank waits for as long as streams
/// of a better rank arrive.
const LEAST_SHARE: f64 = 0.1;

/// The fraction of the waiting streams of each rank that is sent now, from 0 to 1.
pub fn deal(room: u32, waiting: &[(Rank, u32)]) -> BTreeMap<Rank, f64> {
    let mut ordered: Vec<(Rank, f64)> = waiting
        .iter()
        .filter(|(_, count)| *count > 0)
        .map(|(rank, count)| (*rank, f64::from(*count)))
        .collect();
    ordered.sort_unstable_by_key(|(rank, _)| *rank);
    let room = f64::from(room);
    let behind_first: f64 = ordered.iter().skip(1).map(|(_, count)| count).sum();
    let least = (room * LEAST_SHARE).min(behind_first);
    let mut left = room - least;
    let mut dealt = BTreeMap::new();
    for (index, (rank, count)) in ordered.iter().enumerate() {
        let from_least = if index == 0 {
            0.0
        } else {
            least * count / behind_first
        };
        let in_order = left.min(count - from_least);
        left -= in_order;
        dealt.insert(*rank, ((in_order + from_least) / count).clamp(0.0, 1.0));
    }
    dealt
}

/// Rounds a number of streams up or down at random, so that the mean of the results is the number.
pub fn round_at_random(streams: f64, rng: &mut fastrand::Rng) -> usize {
    let whole = streams.max(0.0).floor();
    let is_up = rng.f64() < streams - whole;
    whole as usize + usize::from(is_up)
}
