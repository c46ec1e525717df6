//! Plays of a model in simulated time, several at a time. Owns nothing.

use std::thread;

/// Plays at the same time.
const THREADS: u64 = 4;

/// Plays seeds from a first one on.
pub fn play_all<T: Send + 'static>(
    first_seed: u64,
    seeds: u64,
    play: impl Fn(u64) -> T + Copy + Send + 'static,
) -> Vec<T> {
    let part = move |thread: u64| {
        let own = (0..seeds).filter(move |n| n % THREADS == thread);
        own.map(|n| play(first_seed + n)).collect::<Vec<_>>()
    };
    let threads: Vec<_> = (0..THREADS)
        .map(|n| thread::spawn(move || part(n)))
        .collect();
    let mut outcomes = Vec::new();
    for thread in threads {
        match thread.join() {
            Ok(played) => outcomes.extend(played),
            // A play that panics has met a fault of the decisions; the others still count.
            Err(_) => eprintln!("a play has panicked; its thread's are missing"),
        }
    }
    outcomes
}
