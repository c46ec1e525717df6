//! Where prompts have been read of late.
//!
//! A caller whose router dies comes back with the same prompt, at another
//! router. The engine that ran it still has the prompt in memory, so it goes
//! on there at once, and elsewhere only after the prompt is read again.

use crate::upstream::UpstreamKey;
use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

/// How long an engine is remembered for a prompt.
const REMEMBERED: Duration = Duration::from_secs(30);
/// Prompts remembered at most; the oldest give way.
const MOST: usize = 20_000;

/// A request waits for a search for so long at most, and for this part of the time it has left.
const LONGEST_SEARCH: Duration = Duration::from_millis(250);
const SEARCH_PART: f64 = 0.1;

/// How long a request waits for a search for the engine that has read its prompt.
///
/// A request with little time left is better sent anywhere than held.
pub fn search_patience(time_left: Duration) -> Duration {
    time_left.mul_f64(SEARCH_PART).min(LONGEST_SEARCH)
}

/// A prompt, by the hash of the part that is its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct PromptKey(pub u64);

#[derive(Clone, Copy, Debug)]
struct Place {
    upstream: UpstreamKey,
    at: Instant,
}

/// The engine that read each prompt last.
#[derive(Clone, Debug, Default)]
pub struct PromptPlaces {
    places: HashMap<PromptKey, Place>,
    order: VecDeque<(Instant, PromptKey)>,
}

impl PromptPlaces {
    /// Notes that an engine reads a prompt.
    pub fn on_read(&mut self, prompt: PromptKey, upstream: UpstreamKey, now: Instant) {
        self.places.insert(prompt, Place { upstream, at: now });
        self.order.push_back((now, prompt));
        self.forget_old(now);
    }

    /// Notes that an engine was found to hold a prompt; what is known already counts more.
    pub fn on_found(&mut self, prompt: PromptKey, upstream: UpstreamKey, now: Instant) {
        if self.engine_of(prompt, now).is_none() {
            self.on_read(prompt, upstream, now);
        }
    }

    /// The engine that read a prompt last.
    pub fn engine_of(&self, prompt: PromptKey, now: Instant) -> Option<UpstreamKey> {
        let place = self.places.get(&prompt)?;
        let is_old = now.saturating_duration_since(place.at) > REMEMBERED;
        (!is_old).then_some(place.upstream)
    }

    fn forget_old(&mut self, now: Instant) {
        while let Some((at, prompt)) = self.order.front().copied() {
            let is_old = now.saturating_duration_since(at) > REMEMBERED;
            if !is_old && self.order.len() <= MOST {
                return;
            }
            self.order.pop_front();
            // A later read of the same prompt has an entry of its own.
            if self.places.get(&prompt).is_some_and(|p| p.at == at) {
                self.places.remove(&prompt);
            }
        }
    }
}
