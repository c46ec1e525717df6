//! Which engine has read a prompt.
//!
//! - **Question.** At which engine does a caller continue whose router died or stopped?
//! - **Inputs.** Where this router's streams run, where its peers' run (by heartbeat), and
//!   what engines answered to a search ([`crate::prompt_search`]).
//! - **Answer.** An engine's key, for half a minute.
//! - **Why.** The engine that ran the stream still has the prompt in its KV cache, so the
//!   stream continues there at once, and at any other engine only after the prompt was read
//!   again, which takes seconds.
//!
//! [`PromptLocations`] owns the table; entries end by age or, where there are too many,
//! oldest first.

use crate::upstream::UpstreamKey;
use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

/// How long a location is kept: callers resume within seconds, or not at all.
const KEPT_FOR: Duration = Duration::from_secs(30);
/// Locations kept at most, about a megabyte.
const MAX_KEPT: usize = 20_000;

/// A prompt, by the hash of the part of it that no other prompt shares.
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
    by_prompt: HashMap<PromptKey, Location>,
    order: VecDeque<(Instant, PromptKey)>,
}

impl PromptLocations {
    /// Records that an engine reads a prompt.
    pub fn on_read(&mut self, prompt: PromptKey, upstream: UpstreamKey, now: Instant) {
        self.by_prompt
            .insert(prompt, Location { upstream, at: now });
        self.order.push_back((now, prompt));
        self.forget_old(now);
    }

    /// Records a search's result; a location that is known already is newer and stays.
    pub fn on_found(&mut self, prompt: PromptKey, upstream: UpstreamKey, now: Instant) {
        if self.location_of(prompt, now).is_none() {
            self.on_read(prompt, upstream, now);
        }
    }

    /// The engine that read a prompt last, if that is known.
    pub fn location_of(&self, prompt: PromptKey, now: Instant) -> Option<UpstreamKey> {
        let location = self.by_prompt.get(&prompt)?;
        let is_old = now.saturating_duration_since(location.at) > KEPT_FOR;
        (!is_old).then_some(location.upstream)
    }

    /// Forgets the prompts that an engine had read, as when it has started again.
    pub fn forget_upstream(&mut self, upstream: UpstreamKey) {
        self.by_prompt.retain(|_, at| at.upstream != upstream);
    }

    fn forget_old(&mut self, now: Instant) {
        while let Some((at, prompt)) = self.order.front().copied() {
            let is_old = now.saturating_duration_since(at) > KEPT_FOR;
            if !is_old && self.order.len() <= MAX_KEPT {
                return;
            }
            self.order.pop_front();
            // A later read of the same prompt has an entry of its own.
            if self.by_prompt.get(&prompt).is_some_and(|p| p.at == at) {
                self.by_prompt.remove(&prompt);
            }
        }
    }
}
