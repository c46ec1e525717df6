//! Records which engine has read which prompt.
//!
//! Owns the locations of prompts, the prompts of the streams that this router relays at present, and the state
//! of searches. [`crate::prompt_search`] queries engines. `cloverpier_router_policy::{prompt_locations,
//! prompt_search}` decide how long a location is valid and which engines are queried.

use crate::outbox::Outbox;
use cloverpier_core::UpstreamName;
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::prompt_search::SearchState;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;
use tokio::sync::Notify;

/// The engines that have read prompts, and the searches for them.
#[derive(Debug, Default)]
pub(crate) struct Prompts {
    /// The engine that read each prompt most recently, from this router's streams, peers and searches.
    pub locations: RefCell<PromptLocations>,
    /// The engine at which each stream of this router runs, by the stream's prompt; sent to peers in heartbeats.
    running_locations: Rc<RefCell<HashMap<PromptKey, UpstreamKey>>>,
    /// The queries of all searches of this router.
    pub searches: RefCell<SearchState>,
    /// Wakes the searches that wait for a query, when a query has ended.
    pub query_ended: Notify,
}

impl Prompts {
    /// The engine that read a prompt most recently; `None` if it is not known or the record has expired.
    pub fn location_of(&self, prompt: PromptKey, now: Instant) -> Option<UpstreamKey> {
        self.locations.borrow().location_of(prompt, now)
    }

    /// Records at which engines the streams of a peer run, from the peer's report.
    pub fn on_peer_locations(&self, reported: Vec<(PromptKey, UpstreamKey)>, now: Instant) {
        let mut locations = self.locations.borrow_mut();
        for (prompt, engine) in reported {
            locations.on_read(prompt, engine, now);
        }
    }

    /// The prompts of the streams that this router relays at present, with the engines that have read them.
    pub fn running_locations(&self) -> Vec<(PromptKey, UpstreamKey)> {
        let running_locations = self.running_locations.borrow();
        running_locations
            .iter()
            .map(|(p, engine)| (*p, *engine))
            .collect()
    }
}

/// Keeps the location of a running stream's prompt in the heartbeats to peers until the guard is dropped.
#[derive(Debug)]
pub(crate) struct PromptLocationGuard {
    running_locations: Rc<RefCell<HashMap<PromptKey, UpstreamKey>>>,
    prompt: PromptKey,
    engine: UpstreamKey,
}

impl PromptLocationGuard {
    /// Records that an engine is about to read a prompt, and reports that to peers at once.
    pub fn begin(
        prompts: &Prompts,
        outbox: &Outbox,
        prompt: PromptKey,
        engine: &UpstreamName,
        now: Instant,
    ) -> Self {
        let engine = UpstreamKey::of(engine);
        prompts.locations.borrow_mut().on_read(prompt, engine, now);
        prompts
            .running_locations
            .borrow_mut()
            .insert(prompt, engine);
        outbox.report_prompt_location(prompt, engine);
        Self {
            running_locations: Rc::clone(&prompts.running_locations),
            prompt,
            engine,
        }
    }
}

impl Drop for PromptLocationGuard {
    fn drop(&mut self) {
        let mut running_locations = self.running_locations.borrow_mut();
        // If the stream was moved to another engine, the entry belongs to the guard of that attempt.
        if running_locations.get(&self.prompt) == Some(&self.engine) {
            running_locations.remove(&self.prompt);
        }
    }
}
