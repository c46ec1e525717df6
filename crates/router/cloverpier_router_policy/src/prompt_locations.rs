//! Records which engine has read which prompt.
//!
//! - **Question.** Which engine continues the stream of a caller whose router crashed or was shut down?
//! - **Inputs.** The engines at which this router's streams run; those at which its peers' streams run, from
//!   heartbeats; the results of searches ([`crate::prompt_search`]).
//! - **Result.** The key of an engine, for 30 s after the last record.
//! - **Why.** The engine that ran the stream still has the prompt in its KV cache, so the stream continues there at
//!   once. Any other engine has to read the prompt again first, which takes seconds.
//!
//! [`PromptLocations`] owns the table. Entries are removed by age, and the oldest first where there are too many.

use crate::upstream::UpstreamKey;
use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

/// How long a location is valid: callers resume a stream within seconds, or not at all.
const LOCATION_TTL: Duration = Duration::from_secs(30);
/// Maximum number of locations, which take about a megabyte.
const MAX_LOCATIONS: usize = 20_000;

/// Identifies a prompt by the hash of the part of the prompt that no other prompt shares.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct PromptKey(pub u64);

#[derive(Clone, Copy, Debug)]
struct Location {
    upstream: UpstreamKey,
    at: Instant,
}

/// The engine that read each prompt most recently.
#[derive(Clone, Debug, Default)]
pub struct PromptLocations {
    by_prompt: HashMap<PromptKey, Location>,
    order: VecDeque<(Instant, PromptKey)>,
}

impl PromptLocations {
    /// Records that an engine reads a prompt; replaces an earlier location of the prompt.
    pub fn on_read(&mut self, prompt: PromptKey, upstream: UpstreamKey, now: Instant) {
        self.by_prompt
            .insert(prompt, Location { upstream, at: now });
        self.order.push_back((now, prompt));
        self.remove_expired(now);
    }

    /// Records the result of a search. A valid location of the prompt stays, as it is newer than the result.
    pub fn on_search_result(&mut self, prompt: PromptKey, upstream: UpstreamKey, now: Instant) {
        if self.location_of(prompt, now).is_none() {
            self.on_read(prompt, upstream, now);
        }
    }

    /// The engine that read a prompt most recently; `None` if no location is known or the location has expired.
    pub fn location_of(&self, prompt: PromptKey, now: Instant) -> Option<UpstreamKey> {
        let location = self.by_prompt.get(&prompt)?;
        let is_old = now.saturating_duration_since(location.at) > LOCATION_TTL;
        (!is_old).then_some(location.upstream)
    }

    /// Removes the locations at an engine, as its KV cache is empty after a restart.
    pub fn remove_upstream(&mut self, upstream: UpstreamKey) {
        self.by_prompt.retain(|_, at| at.upstream != upstream);
    }

    fn remove_expired(&mut self, now: Instant) {
        while let Some((at, prompt)) = self.order.front().copied() {
            let is_old = now.saturating_duration_since(at) > LOCATION_TTL;
            if !is_old && self.order.len() <= MAX_LOCATIONS {
                return;
            }
            self.order.pop_front();
            // A later read of the same prompt has its own entry in `order`.
            if self.by_prompt.get(&prompt).is_some_and(|p| p.at == at) {
                self.by_prompt.remove(&prompt);
            }
        }
    }
}
