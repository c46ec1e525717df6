//! Searches for the engine that has read a prompt, if this router has no record of that engine.
//!
//! A router that has just started has no records of the streams that callers resume, so it queries engines for
//! the prompts that they have cached. `cloverpier_router_policy::prompt_search` decides which engines are queried,
//! how many at once, and how long the request waits. The results are recorded in [`crate::prompts`]. Owns no
//! state.

use crate::call_kind::CallKind;
use crate::decision_log::{PromptSearched, ms_since};
use crate::engine_query::query_engine;
use crate::relay_request::RelayRequest;
use crate::router::Router;
use cloverpier_core::{ServiceName, hash_of};
use cloverpier_router_policy::prelude::*;
use cloverpier_router_policy::prompt_search::{
    FIRST_QUERIED, FIRST_RESPONSES_TIMEOUT, RESPONSE_TIMEOUT, search_order, search_timeout,
};
use std::rc::Rc;

/// Waits until the engine that has read a prompt is located or the search times out. Returns at once if the engine
/// is known already. The location is recorded in [`crate::prompts`].
pub(crate) async fn find_prompt(router: &Rc<Router>, request: &RelayRequest, prompt: PromptKey) {
    if is_located(router, prompt) {
        return;
    }
    let started_at = router.now();
    let service = &request.service.name;
    let timeout = search_timeout(request.time_left(started_at));
    // After a timeout the request is sent without a location; the log line below has `found: false`.
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
            took_ms: ms_since(started_at, router.now()),
        },
    );
}

fn is_located(router: &Router, prompt: PromptKey) -> bool {
    router.prompts.location_of(prompt, router.now()).is_some()
}

/// Queries the engines of a service, the likely ones first and a few at a time, until one has the prompt or all
/// have responded or timed out.
async fn search(router: &Rc<Router>, service: &ServiceName, prompt: PromptKey) {
    let prompts = &router.prompts;
    let engines = search_order(&router.upstreams.borrow(), service, prompt, router.now());
    // A query counts against an upstream's request limit, so engines with a limit are not queried.
    let engines = engines.into_iter();
    let engines = engines.filter(|engine| !router.upstream_limits.is_limited(engine));
    for (index, engine) in engines.enumerate() {
        if index == FIRST_QUERIED {
            let first = wait_for_responses(router, prompt);
            // The result is ignored because the loop checks below whether the prompt is located.
            let _ = router.timers.timeout(FIRST_RESPONSES_TIMEOUT, first).await;
        }
        while !prompts.searches.borrow().has_capacity() {
            prompts.query_ended.notified().await;
        }
        if is_located(router, prompt) {
            return;
        }
        let key = UpstreamKey::of(&engine.name);
        let is_new = prompts.searches.borrow_mut().begin(key, router.now());
        if is_new {
            tokio::task::spawn_local(query_cached_parts(Rc::clone(router), engine));
        }
    }
    wait_for_responses(router, prompt).await;
}

/// Waits until this router has no open prompt query, including those of other requests' searches, or the prompt
/// is located.
async fn wait_for_responses(router: &Router, prompt: PromptKey) {
    let prompts = &router.prompts;
    while prompts.searches.borrow().open_queries() > 0 && !is_located(router, prompt) {
        prompts.query_ended.notified().await;
    }
}

/// Queries one engine, and records which prompt parts it has cached. One of a prompt's parts is shared with no
/// other prompt; the hash of that part's name is the prompt's key.
async fn query_cached_parts(router: Rc<Router>, engine: Upstream) {
    let path = router.wire_names.paths.engine_cache;
    let query = query_engine(&router, &engine, path, CallKind::CacheQuery);
    let result = router.timers.timeout(RESPONSE_TIMEOUT, query).await;
    match result {
        Ok(Ok(engine_response)) if engine_response.response.status.is_success() => {
            router.metrics.probes.count("cache");
            if !engine_response.is_of_previous_incarnation {
                let cached_parts =
                    (router.wire_names.cached_prompt_parts)(&engine_response.response.body);
                record_cached_parts(&router, &engine, &cached_parts);
            }
        }
        // An error status, a broken connection or a timeout: the search continues with the other engines.
        Ok(_) | Err(_) => router.metrics.probes.count("cache-silent"),
    }
    router.prompts.searches.borrow_mut().end();
    router.prompts.query_ended.notify_waiters();
}

fn record_cached_parts(router: &Router, engine: &Upstream, cached_parts: &[String]) {
    let now = router.now();
    let key = UpstreamKey::of(&engine.name);
    let mut locations = router.prompts.locations.borrow_mut();
    for part_name in cached_parts {
        locations.on_search_result(PromptKey(hash_of(part_name)), key, now);
    }
}
