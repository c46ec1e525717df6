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
const MAX_SEARCH: Duration = Duration::from_millis(250);
const SEARCH_SHARE: f64 = 0.1;

/// How long a request waits for a search for the engine that has read its prompt.
///
/// A request with little time left is better sent anywhere than held.
pub fn search_timeout(time_left: Duration) -> Duration {
    time_left.mul_f64(SEARCH_SHARE).min(MAX_SEARCH)
}

/// A prompt, by the hash of the part that is its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct PromptKey(pub u64);

#[derive(Clone, Copy, Debug)]
struct Location {
    upstream: UpstreamKey,
    at: Instant,
}

/// The engine that read each prompt last.
#[derive(Clone, Debug, Default)]
pub struct PromptLocations {
    prompt_locations: HashMap<PromptKey, Location>,
    order: VecDeque<(Instant, PromptKey)>,
}

impl PromptLocations {
    /// Notes that an engine reads a prompt.
    pub fn on_read(&mut self, prompt: PromptKey, upstream: UpstreamKey, now: Instant) {
        self.prompt_locations
            .insert(prompt, Location { upstream, at: now });
        self.order.push_back((now, prompt));
        self.forget_old(now);
    }

    /// Notes that an engine was found to hold a prompt; what is known already counts more.
    pub fn on_found(&mut self, prompt: PromptKey, upstream: UpstreamKey, now: Instant) {
        if self.location_of(prompt, now).is_none() {
            self.on_read(prompt, upstream, now);
        }
    }

    /// The engine that read a prompt last.
    pub fn location_of(&self, prompt: PromptKey, now: Instant) -> Option<UpstreamKey> {
        let location = self.prompt_locations.get(&prompt)?;
        let is_old = now.saturating_duration_since(location.at) > REMEMBERED;
        (!is_old).then_some(location.upstream)
    }

    fn forget_old(&mut self, now: Instant) {
        while let Some((at, prompt)) = self.order.front().copied() {
            let is_old = now.saturating_duration_since(at) > REMEMBERED;
            if !is_old && self.order.len() <= MOST {
                return;
            }
            self.order.pop_front();
            // A later read of the same prompt has an entry of its own.
            if self
                .prompt_locations
                .get(&prompt)
                .is_some_and(|p| p.at == at)
            {
                self.prompt_locations.remove(&prompt);
            }
        }
    }
}
