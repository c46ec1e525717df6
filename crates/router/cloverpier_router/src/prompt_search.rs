//! Finds the engine that has read a prompt, where this router doesn't know it.
//!
//! A router that has just started knows nothing of the streams that callers come
//! back for. Engines tell which prompts they have cached of late, so the router
//! asks them: those first that are most likely to have read this prompt, until
//! one has, and none of them twice within a while.

use crate::decision_log::{PromptSearched, ms_since};
use crate::intake::RelayRequest;
use crate::router::Router;
use cloverpier_core::{ServiceName, hash_of};
use cloverpier_router_policy::prelude::*;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tokio::time::timeout;

/// How long one engine's answer is waited for.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// An engine is asked again only after this time.
const ASK_AGAIN: Duration = Duration::from_secs(10);
/// Engines asked at the same time.
const ASKED_AT_ONCE: usize = 8;

/// Which engines were asked of late for what they have cached.
#[derive(Debug, Default)]
pub(crate) struct Searches {
    probing_since: RefCell<HashMap<UpstreamKey, Instant>>,
    /// Questions that have no answer yet.
    open: Cell<usize>,
    /// Wakes those who wait when a question has ended.
    state_changed: Notify,
}

impl Searches {
    /// Notes that an engine is asked; false when it was of late.
    fn begin(&self, engine: UpstreamKey, now: Instant) -> bool {
        let mut probing_since = self.probing_since.borrow_mut();
        probing_since.retain(|_, at| now.saturating_duration_since(*at) < ASK_AGAIN);
        let is_new = !probing_since.contains_key(&engine);
        if is_new {
            probing_since.insert(engine, now);
            self.open.set(self.open.get() + 1);
        }
        is_new
    }

    fn end(&self) {
        self.open.set(self.open.get() - 1);
        self.state_changed.notify_waiters();
    }
}

/// Asks engines for a prompt that a request goes on with, unless it is known where it is.
pub(crate) async fn find_prompt(router: &Rc<Router>, request: &RelayRequest, prompt: PromptKey) {
    if place_of(router, prompt).is_some() {
        return;
    }
    let begun = Instant::now();
    let service = &request.service.name;
    let time_limit = search_timeout(request.time_left(begun));
    // Without an answer in time, the request goes on without it.
    let _ = timeout(time_limit, search(router, service, prompt)).await;
    let found = place_of(router, prompt);
    router.log.info(
        "prompt.searched",
        &PromptSearched {
            request: &request.id,
            service: service.as_str(),
            prompt,
            engines_asked_of_late: router.searches.probing_since.borrow().len(),
            found: found.is_some(),
            took_ms: ms_since(begun, Instant::now()),
        },
    );
}

fn place_of(router: &Router, prompt: PromptKey) -> Option<UpstreamKey> {
    let prompt_locations = router.prompt_locations.borrow();
    prompt_locations.location_of(prompt, Instant::now())
}

/// Asks one engine after the other, some at a time, until one has the prompt.
async fn search(router: &Rc<Router>, service: &ServiceName, prompt: PromptKey) {
    let engines = search_order(&router.upstreams.borrow(), service, prompt);
    for engine in engines {
        while router.searches.open.get() >= ASKED_AT_ONCE {
            router.searches.state_changed.notified().await;
        }
        if place_of(router, prompt).is_some() {
            return;
        }
        let key = UpstreamKey::of(&engine.name);
        if router.searches.begin(key, Instant::now()) {
            tokio::task::spawn_local(ask(Rc::clone(router), engine));
        }
    }
    while router.searches.open.get() > 0 && place_of(router, prompt).is_none() {
        router.searches.state_changed.notified().await;
    }
}

/// Asks one engine, and notes what it holds.
async fn ask(router: Rc<Router>, engine: Upstream) {
    let health = router.health.of(&engine, Instant::now());
    let path = router.wire_names.paths.engine_cache;
    let answer = health.caller.get(path, ANSWER_TIMEOUT).await;
    match answer.ok().filter(|a| a.status.is_success()) {
        Some(answer) => {
            router.metrics.probes.count("cache");
            let now = Instant::now();
            health.on_heartbeat_or_activity(now);
            let parts = (router.wire_names.cached_parts)(&answer.body);
            note_found(&router, &engine, &parts, now);
        }
        None => router.metrics.probes.count("cache-silent"),
    }
    router.searches.end();
}

fn note_found(router: &Router, engine: &Upstream, parts: &[String], now: Instant) {
    let key = UpstreamKey::of(&engine.name);
    let mut prompt_locations = router.prompt_locations.borrow_mut();
    for part in parts {
        prompt_locations.on_found(PromptKey(hash_of(part)), key, now);
    }
}
