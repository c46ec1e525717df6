//! What all routers of a large fleet know of the watchers of the store.
//!
//! - **Question.** How long ago did each watcher reach the store, and which versions does it have?
//! - **Inputs.** What watchers say of themselves, as it was passed on; moments.
//! - **Answer.** The age of each watcher's last successful call; what goes into the next message.
//! - **Why.** Whoever does not watch relies on the watchers ([`crate::store_watch`]), and steps in where
//!   they do not reach the store. In a large fleet they don't send to all: what each said last goes
//!   from router to router with the messages that are sent anyway, and ages on its way.
//!
//! [`WatcherBeats`] owns the last word of each watcher.

use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// What a watcher said counts for this long: twice the time in which it reaches all.
const BEAT_TTL: Duration = Duration::from_secs(5);
/// Watchers in one message: those chosen, and as many that replace them.
const BEATS_PER_MESSAGE: usize = 6;

/// What a watcher says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatcherBeat {
    /// The watcher's address for peers.
    pub router: SocketAddr,
    /// Orders what it says; later runs of its process go on with greater numbers.
    pub number: u64,
    /// Milliseconds since its last successful call to the store; not fresh where calls fail.
    pub store_age_ms: u32,
}

/// A beat, and when it came.
#[derive(Clone, Copy, Debug)]
struct Known {
    beat: WatcherBeat,
    at: Instant,
}

impl Known {
    fn store_age(&self, now: Instant) -> Duration {
        let age = Duration::from_millis(self.beat.store_age_ms.into());
        age + now.saturating_duration_since(self.at)
    }
}

/// The last beats of the watchers.
#[derive(Clone, Debug, Default)]
pub struct WatcherBeats {
    known: HashMap<SocketAddr, Known>,
}

impl WatcherBeats {
    /// Records a beat; returns whether it is newer than what was known.
    pub fn on_beat(&mut self, beat: WatcherBeat, now: Instant) -> bool {
        let known = self.known.get(&beat.router);
        if known.is_some_and(|known| known.beat.number >= beat.number) {
            return false;
        }
        self.known.insert(beat.router, Known { beat, at: now });
        true
    }

    /// The age of a router's last successful call to the store; `None` where it is not known to watch.
    pub fn store_age(&self, router: SocketAddr, now: Instant) -> Option<Duration> {
        self.recent(now)
            .find(|known| known.beat.router == router)
            .map(|known| known.store_age(now))
    }

    /// The routers that are known to watch.
    pub fn watchers(&self, now: Instant) -> Vec<SocketAddr> {
        self.recent(now).map(|known| known.beat.router).collect()
    }

    /// The beats for the next message, those that reached the store last first.
    pub fn for_message(&self, now: Instant) -> Vec<WatcherBeat> {
        let mut recent: Vec<&Known> = self.recent(now).collect();
        recent.sort_by_key(|known| (known.store_age(now), known.beat.router));
        recent.truncate(BEATS_PER_MESSAGE);
        let aged = recent.into_iter().map(|known| WatcherBeat {
            store_age_ms: ms(known.store_age(now)),
            ..known.beat
        });
        aged.collect()
    }

    /// Forgets what counts no more.
    pub fn forget_old(&mut self, now: Instant) {
        let is_recent = |known: &Known| now.saturating_duration_since(known.at) <= BEAT_TTL;
        self.known.retain(|_, known| is_recent(known));
    }

    fn recent(&self, now: Instant) -> impl Iterator<Item = &Known> {
        let recent = move |known: &&Known| now.saturating_duration_since(known.at) <= BEAT_TTL;
        self.known.values().filter(recent)
    }
}

fn ms(age: Duration) -> u32 {
    // An age beyond 49 days is as good as 49 days.
    u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
}
