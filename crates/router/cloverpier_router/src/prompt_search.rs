//! Finds the engine that has read a prompt, where this router does not know it.
//!
//! A router that has just started knows nothing of the streams that callers resume;
//! engines list the prompts that they have cached. Which to ask, how many at once and how long
//! the request waits is decided in `cloverpier_router_policy::prompt_search`; what is found
//! goes into [`crate::prompts`].

use crate::call_kind::CallKind;
use crate::decision_log::{PromptSearched, ms_since};
use crate::engine_call::ask_engine;
use crate::relay_request::RelayRequest;
use crate::router::Router;
use cloverpier_core::{ServiceName, hash_of};
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::prompt_search::{
    FIRST_QUERIED, FIRST_RESPONSES_TIMEOUT, RESPONSE_TIMEOUT, search_order, search_timeout,
};
use std::rc::Rc;

/// Asks engines for a prompt that a request continues with, unless its location is known.
pub(crate) async fn find_prompt(router: &Rc<Router>, request: &RelayRequest, prompt: PromptKey) {
    if is_located(router, prompt) {
        return;
    }
    let begun = router.now();
    let service = &request.service.name;
    let timeout = search_timeout(request.time_left(begun));
    // Without an answer in time the request goes on without it; the log line below says so.
    let _ = router
        .timers
        .timeout(timeout, search(router, service, prompt))
        .await;
    router.log.info(
        "prompt.searched",
        &PromptSearched {
            request: &request.id,
            service: service.as_str(),
            prompt,
            recently_queried: router.prompts.searches.borrow().recently_queried(),
            found: is_located(router, prompt),
            took_ms: ms_since(begun, router.now()),
        },
    );
}

fn is_located(router: &Router, prompt: PromptKey) -> bool {
    router.prompts.location_of(prompt, router.now()).is_some()
}

/// Asks one engine after the other, some at a time, until one has the prompt.
async fn search(router: &Rc<Router>, service: &ServiceName, prompt: PromptKey) {
    let prompts = &router.prompts;
    let engines = search_order(&router.upstreams.borrow(), service, prompt, router.now());
    // A question is a request, too.
    let engines = engines.into_iter();
    let engines = engines.filter(|engine| !router.upstream_limits.is_limited(engine));
    for (index, engine) in engines.enumerate() {
        if index == FIRST_QUERIED {
            let first = wait_for_answers(router, prompt);
            // The result does not matter: the loop checks whether the prompt is located.
            let _ = router.timers.timeout(FIRST_RESPONSES_TIMEOUT, first).await;
        }
        while !prompts.searches.borrow().has_capacity() {
            prompts.question_ended.notified().await;
        }
        if is_located(router, prompt) {
            return;
        }
        let key = UpstreamKey::of(&engine.name);
        let is_new = prompts.searches.borrow_mut().begin(key, router.now());
        if is_new {
            tokio::task::spawn_local(ask(Rc::clone(router), engine));
        }
    }
    wait_for_answers(router, prompt).await;
}

/// Waits until all questions have ended or one has found the prompt.
async fn wait_for_answers(router: &Router, prompt: PromptKey) {
    let prompts = &router.prompts;
    while prompts.searches.borrow().open_queries() > 0 && !is_located(router, prompt) {
        prompts.question_ended.notified().await;
    }
}

/// Asks one engine, and records what it holds.
async fn ask(router: Rc<Router>, engine: Upstream) {
    let path = router.wire_names.paths.engine_cache;
    let asking = ask_engine(&router, &engine, path, CallKind::CacheQuery);
    let answer = router.timers.timeout(RESPONSE_TIMEOUT, asking).await;
    match answer {
        Ok(Ok(asked)) if asked.answer.status.is_success() => {
            router.metrics.probes.count("cache");
            if !asked.is_outdated {
                let parts = (router.wire_names.cached_prompt_parts)(&asked.answer.body);
                record_found(&router, &engine, &parts);
            }
        }
        // Counted; the search goes on with the other engines.
        Ok(_) | Err(_) => router.metrics.probes.count("cache-silent"),
    }
    router.prompts.searches.borrow_mut().end();
    router.prompts.question_ended.notify_waiters();
}

fn record_found(router: &Router, engine: &Upstream, parts: &[String]) {
    let now = router.now();
    let key = UpstreamKey::of(&engine.name);
    let mut locations = router.prompts.locations.borrow_mut();
    for part in parts {
        locations.on_search_result(PromptKey(hash_of(part)), key, now);
    }
}
