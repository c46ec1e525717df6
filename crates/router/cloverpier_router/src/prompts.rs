//! Which engine has read which prompt, as far as this router knows.
//!
//! Owns the locations of prompts, the prompts of streams that run through this router, and
//! the state of searches. [`crate::prompt_search`] asks engines; how long a location counts
//! and whom to ask is decided in `cloverpier_router_policy`.

use crate::outbox::Outbox;
use cloverpier_core::UpstreamName;
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::prompt_search::SearchState;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;
use tokio::sync::Notify;

/// Locations of prompts, and searches for them.
#[derive(Debug, Default)]
pub(crate) struct Prompts {
    pub locations: RefCell<PromptLocations>,
    /// Where the prompts of running streams were read, for heartbeats.
    running: Rc<RefCell<HashMap<PromptKey, UpstreamKey>>>,
    pub searches: RefCell<SearchState>,
    /// Wakes the tasks that wait for a search when a question has ended.
    pub question_ended: Notify,
}

impl Prompts {
    /// The engine that has read a prompt, if that is known.
    pub fn location_of(&self, prompt: PromptKey, now: Instant) -> Option<UpstreamKey> {
        self.locations.borrow().location_of(prompt, now)
    }

    /// Records where peers' streams run.
    pub fn on_peer_locations(&self, reported: Vec<(PromptKey, UpstreamKey)>, now: Instant) {
        let mut locations = self.locations.borrow_mut();
        for (prompt, engine) in reported {
            locations.on_read(prompt, engine, now);
        }
    }

    /// Where the prompts of this router's running streams were read.
    pub fn running(&self) -> Vec<(PromptKey, UpstreamKey)> {
        let running = self.running.borrow();
        running.iter().map(|(p, engine)| (*p, *engine)).collect()
    }
}

/// A running stream; peers get the location of its prompt until this is dropped.
#[derive(Debug)]
pub(crate) struct RunningStream {
    running: Rc<RefCell<HashMap<PromptKey, UpstreamKey>>>,
    prompt: PromptKey,
    engine: UpstreamKey,
}

impl RunningStream {
    /// Records where a prompt is being read, and reports it to peers.
    pub fn begin(
        prompts: &Prompts,
        outbox: &Outbox,
        prompt: PromptKey,
        engine: &UpstreamName,
        now: Instant,
    ) -> Self {
        let engine = UpstreamKey::of(engine);
        prompts.locations.borrow_mut().on_read(prompt, engine, now);
        prompts.running.borrow_mut().insert(prompt, engine);
        outbox.report_prompt_location(prompt, engine);
        Self {
            running: Rc::clone(&prompts.running),
            prompt,
            engine,
        }
    }
}

impl Drop for RunningStream {
    fn drop(&mut self) {
        let mut running = self.running.borrow_mut();
        // The stream may have moved to another engine, which has an entry of its own.
        if running.get(&self.prompt) == Some(&self.engine) {
            running.remove(&self.prompt);
        }
    }
}
